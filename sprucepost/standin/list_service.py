"""The simulated list service: serves what machines report, with a delay, by watch and by full fetch.

Each change becomes visible ``late_ms`` after it was reported. The service has a limited capacity: it handles
``lines_per_s`` entries per second, one call after another, and rejects a call that would wait for longer than
``call_wait_ms``.
"""

from __future__ import annotations

import heapq
from collections import deque
from typing import Any

from sprucepost.loop import Loop, Timer
from sprucepost.standin.orders import OrderService
from sprucepost.v1 import fleet_pb2 as pb
from sprucepost.wire.server import Method, ServerCall
from sprucepost.wire.status import Code, RpcError

HEARTBEAT_MS = 1000.0
HISTORY_MS = 60_000.0  # how long former entries are kept, for lists that go back in time
CALL_COST_ENTRIES = 20.0  # fixed cost of a call, in entries


class ListService:
    """The list's state, its RPC methods and its orders."""

    def __init__(
        self, loop: Loop, late_ms: float = 800.0, lines_per_s: float = 20_000.0, call_wait_ms: float = 2000.0
    ) -> None:
        self.loop, self.late_ms = loop, late_ms
        self._lines_per_s, self._max_call_wait_ms = lines_per_s, call_wait_ms
        self._entries: dict[str, pb.ListedMachine] = {}
        self._pending: list[tuple[float, int, pb.ListedMachine]] = []
        self._sequence = 0
        self._visible_at: dict[str, float] = {}
        self._watchers: dict[ServerCall, None] = {}
        self._free_at = 0.0
        self._timer: Timer | None = None
        self.down = False
        self._wrong_list: list[pb.ListedMachine] | None = None  # served in place of the true list
        self._history: deque[tuple[float, str, pb.ListedMachine | None]] = (
            deque()
        )  # time, name and former entry of each change
        loop.call_later(HEARTBEAT_MS, self._send_heartbeat)

    def methods(self) -> dict[str, Method]:
        """Return the RPC methods of the list."""
        return {
            "/sprucepost.v1.Fleet/Watch": Method(attach=self._watch),
            "/sprucepost.v1.Fleet/Fetch": Method(attach=self._fetch),
            "/sprucepost.v1.Fleet/Report": Method(attach=self._report),
        }

    # Reports of machines

    def _report(self, call: ServerCall) -> None:
        call.on_message = lambda data: self.receive_entries(pb.MachineReport.FromString(data).entries)
        call.on_end = call.finish

    def receive_entries(self, entries: Any) -> None:
        """Queue entries that become visible after the delay, those of one machine in the order of their reports."""
        for entry in entries:
            self._sequence += 1
            # Never before an earlier entry of the same machine, also when the delay has just been shortened.
            visible_at = self._visible_at[entry.name] = max(
                self.loop.now() + self.late_ms, self._visible_at.get(entry.name, 0.0)
            )
            heapq.heappush(self._pending, (visible_at, self._sequence, entry))
        self._set_timer()

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._pending:
            self._timer = self.loop.call_later(self._pending[0][0] - self.loop.now(), self._apply_due)

    def _apply_due(self) -> None:
        self._timer = None
        changed: dict[str, pb.ListedMachine] = {}
        while self._pending and self._pending[0][0] <= self.loop.now():
            entry = heapq.heappop(self._pending)[2]
            changed[entry.name] = entry
            self._history.append((self.loop.now(), entry.name, self._entries.get(entry.name)))
            if entry.state == pb.MACHINE_STATE_GONE:
                self._entries.pop(entry.name, None)
            else:
                self._entries[entry.name] = entry
        while self._history and self._history[0][0] < self.loop.now() - HISTORY_MS:
            self._history.popleft()
        if changed and self._wrong_list is None:
            self._broadcast(
                pb.FleetUpdate(entries=list(changed.values()), beat_ms=HEARTBEAT_MS, now_ms=self.loop.wall()),
                len(changed),
            )
        self._set_timer()

    # Calls of placers

    def _broadcast(self, update: pb.FleetUpdate, entry_count: int) -> None:
        data = update.SerializeToString()
        self._free_at = (
            max(self._free_at, self.loop.now()) + entry_count * len(self._watchers) / self._lines_per_s * 1000.0
        )
        for call in list(self._watchers):
            if call.full:
                call.finish(RpcError(Code.RESOURCE_EXHAUSTED, "reads too slowly"))
            else:
                call.send(data)

    def _send_heartbeat(self) -> None:
        self.loop.call_later(HEARTBEAT_MS, self._send_heartbeat)
        self._broadcast(pb.FleetUpdate(beat_ms=HEARTBEAT_MS, now_ms=self.loop.wall()), 0)

    def _full_list(self) -> bytes:
        entries = list(self._entries.values()) if self._wrong_list is None else self._wrong_list
        return pb.FleetUpdate(
            whole=True, entries=entries, beat_ms=HEARTBEAT_MS, now_ms=self.loop.wall()
        ).SerializeToString()

    def _admit(self, call: ServerCall, answer: Any) -> None:
        """Answer the call in its turn, or reject it."""
        now = self.loop.now()
        wait = max(0.0, self._free_at - now)
        if self.down or wait > self._max_call_wait_ms:
            call.finish(RpcError(Code.UNAVAILABLE, "the list is down" if self.down else "the list is busy"))
            return
        cost = (CALL_COST_ENTRIES + len(self._entries)) / self._lines_per_s * 1000.0
        self._free_at = now + wait + cost
        self.loop.call_later(wait + cost, lambda: answer() if call.end_status is None else None)

    def _watch(self, call: ServerCall) -> None:
        def answer() -> None:
            call.send(self._full_list())
            self._watchers[call] = None

        def remove_watcher(status: RpcError) -> None:
            self._watchers.pop(call, None)

        call.on_message = lambda data: self._admit(call, answer)
        call.on_done = remove_watcher

    def _fetch(self, call: ServerCall) -> None:
        def answer() -> None:
            call.send(self._full_list())
            call.finish()

        call.on_message = lambda data: self._admit(call, answer)

    # Orders

    def orders(self) -> OrderService:
        """Return the handlers of the orders that the list takes."""
        return OrderService(
            {"down": self._down, "late": self._set_delay, "lie": self._set_wrong_list, "truth": self._clear_wrong_list}
        )

    def _set_wrong_list(self, kind: str, back_ms: float = 0.0, machines: list[str] | None = None) -> dict[str, Any]:
        """Serve a wrong list, and send it to all watchers at once.

        Kinds are ``empty``, ``back`` (the list of ``back_ms`` ago) and ``gone`` (without ``machines``).
        """
        if kind == "empty":
            self._wrong_list = []
        elif kind == "back":
            former = dict(self._entries)
            for at, name, before in reversed(self._history):
                if at < self.loop.now() - back_ms:
                    break
                if before is None:
                    former.pop(name, None)
                else:
                    former[name] = before
            self._wrong_list = list(former.values())
        elif kind == "gone":
            self._wrong_list = [entry for name, entry in self._entries.items() if name not in (machines or [])]
        else:
            raise ValueError(f"no lie {kind!r}")
        self._broadcast_full_list()
        return {"named": len(self._wrong_list)}

    def _clear_wrong_list(self) -> dict[str, Any]:
        self._wrong_list = None
        self._broadcast_full_list()
        return {}

    def _broadcast_full_list(self) -> None:
        data = self._full_list()
        for call in list(self._watchers):
            call.send(data)

    def _down(self, down: bool) -> dict[str, Any]:
        self.down = down
        if down:
            for call in list(self._watchers):
                call.finish(RpcError(Code.UNAVAILABLE, "the list is down"))
        return {}

    def _set_delay(self, late_ms: float) -> dict[str, Any]:
        self.late_ms = late_ms
        return {}
