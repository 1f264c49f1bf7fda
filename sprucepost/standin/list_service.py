"""The list of machines: what they report, told late, by watch and by full fetch, within a limited capacity.

Each change becomes visible ``late_ms`` after it was reported. The service handles ``lines_per_s`` entries a second, one
call after another; a call that would wait for more than ``call_wait_ms`` is turned away.
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

BEAT_MS = 1000.0
PAST_MS = 60_000.0  # how far back it remembers what it showed
CALL_COST_ENTRIES = 20.0  # a call costs as much as so many entries


class ListService:
    """The list's state and service."""

    def __init__(
        self, loop: Loop, late_ms: float = 800.0, lines_per_s: float = 20_000.0, call_wait_ms: float = 2000.0
    ) -> None:
        self.loop, self.late_ms = loop, late_ms
        self._lines_per_s, self._call_wait = lines_per_s, call_wait_ms
        self._entries: dict[str, pb.ListedMachine] = {}
        self._coming: list[tuple[float, int, pb.ListedMachine]] = []
        self._order = 0
        self._shown_at: dict[str, float] = {}
        self._watchers: dict[ServerCall, None] = {}
        self._free_at = 0.0
        self._timer: Timer | None = None
        self.down = False
        self._lie: list[pb.ListedMachine] | None = None  # what it tells instead of the truth
        self._past: deque[tuple[float, str, pb.ListedMachine | None]] = deque()  # what was shown before each change
        loop.call_later(BEAT_MS, self._beat)

    def methods(self) -> dict[str, Method]:
        return {
            "/sprucepost.v1.Fleet/Watch": Method(attach=self._watch),
            "/sprucepost.v1.Fleet/Fetch": Method(attach=self._fetch),
            "/sprucepost.v1.Fleet/Report": Method(attach=self._report),
        }

    # What machines say

    def _report(self, call: ServerCall) -> None:
        call.on_message = lambda data: self.hear(pb.MachineReport.FromString(data).entries)
        call.on_end = call.finish

    def hear(self, entries: Any) -> None:
        """Entries that become visible later; of one machine, in the order in which they were told."""
        for entry in entries:
            self._order += 1
            # Never before what was told of it earlier, also when the lateness has just shrunk.
            shown = self._shown_at[entry.name] = max(
                self.loop.now() + self.late_ms, self._shown_at.get(entry.name, 0.0)
            )
            heapq.heappush(self._coming, (shown, self._order, entry))
        self._set_timer()

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._coming:
            self._timer = self.loop.call_later(self._coming[0][0] - self.loop.now(), self._show)

    def _show(self) -> None:
        self._timer = None
        changed: dict[str, pb.ListedMachine] = {}
        while self._coming and self._coming[0][0] <= self.loop.now():
            entry = heapq.heappop(self._coming)[2]
            changed[entry.name] = entry
            self._past.append((self.loop.now(), entry.name, self._entries.get(entry.name)))
            if entry.state == pb.MACHINE_STATE_GONE:
                self._entries.pop(entry.name, None)
            else:
                self._entries[entry.name] = entry
        while self._past and self._past[0][0] < self.loop.now() - PAST_MS:
            self._past.popleft()
        if changed and self._lie is None:
            self._tell(
                pb.FleetUpdate(entries=list(changed.values()), beat_ms=BEAT_MS, now_ms=self.loop.wall()), len(changed)
            )
        self._set_timer()

    # What placers ask

    def _tell(self, update: pb.FleetUpdate, lines: int) -> None:
        data = update.SerializeToString()
        self._free_at = max(self._free_at, self.loop.now()) + lines * len(self._watchers) / self._lines_per_s * 1000.0
        for call in list(self._watchers):
            if call.full:
                call.finish(RpcError(Code.RESOURCE_EXHAUSTED, "reads too slowly"))
            else:
                call.send(data)

    def _beat(self) -> None:
        self.loop.call_later(BEAT_MS, self._beat)
        self._tell(pb.FleetUpdate(beat_ms=BEAT_MS, now_ms=self.loop.wall()), 0)

    def _whole(self) -> bytes:
        entries = list(self._entries.values()) if self._lie is None else self._lie
        return pb.FleetUpdate(whole=True, entries=entries, beat_ms=BEAT_MS, now_ms=self.loop.wall()).SerializeToString()

    def _admit(self, call: ServerCall, answer: Any) -> None:
        """Answer in turn, or turn the call away."""
        now = self.loop.now()
        wait = max(0.0, self._free_at - now)
        if self.down or wait > self._call_wait:
            call.finish(RpcError(Code.UNAVAILABLE, "the list is down" if self.down else "the list is busy"))
            return
        cost = (CALL_COST_ENTRIES + len(self._entries)) / self._lines_per_s * 1000.0
        self._free_at = now + wait + cost
        self.loop.call_later(wait + cost, lambda: answer() if call.end_status is None else None)

    def _watch(self, call: ServerCall) -> None:
        def answer() -> None:
            call.send(self._whole())
            self._watchers[call] = None

        def left(status: RpcError) -> None:
            self._watchers.pop(call, None)

        call.on_message = lambda data: self._admit(call, answer)
        call.on_done = left

    def _fetch(self, call: ServerCall) -> None:
        def answer() -> None:
            call.send(self._whole())
            call.finish()

        call.on_message = lambda data: self._admit(call, answer)

    # Orders

    def orders(self) -> OrderService:
        return OrderService({"down": self._down, "late": self._late, "lie": self._tell_lie, "truth": self._tell_truth})

    def _tell_lie(self, kind: str, back_ms: float = 0.0, machines: list[str] | None = None) -> dict[str, Any]:
        """``empty``; ``back``: as it was so long ago; ``gone``: without those machines. All watchers hear it at once."""
        if kind == "empty":
            self._lie = []
        elif kind == "back":
            then = dict(self._entries)
            for at, name, before in reversed(self._past):
                if at < self.loop.now() - back_ms:
                    break
                if before is None:
                    then.pop(name, None)
                else:
                    then[name] = before
            self._lie = list(then.values())
        elif kind == "gone":
            self._lie = [entry for name, entry in self._entries.items() if name not in (machines or [])]
        else:
            raise ValueError(f"no lie {kind!r}")
        self._tell_whole()
        return {"named": len(self._lie)}

    def _tell_truth(self) -> dict[str, Any]:
        self._lie = None
        self._tell_whole()
        return {}

    def _tell_whole(self) -> None:
        data = self._whole()
        for call in list(self._watchers):
            call.send(data)

    def _down(self, down: bool) -> dict[str, Any]:
        self.down = down
        if down:
            for call in list(self._watchers):
                call.finish(RpcError(Code.UNAVAILABLE, "the list is down"))
        return {}

    def _late(self, late_ms: float) -> dict[str, Any]:
        self.late_ms = late_ms
        return {}
