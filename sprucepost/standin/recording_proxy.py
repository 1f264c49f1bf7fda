"""The tap: a TCP relay between every pair, which records all bytes and spoils the connections on order.

Of the end that is judged (a placer) it records what that end sent as it comes in, and what it was told as it goes out: bytes
that the tap holds back have not been told.

One listener for each target; the client is known by the local address it connects from. Conditions hold for as long as
they are set, by client, target and direction: ``delay_ms``, ``rate`` (bytes a second), ``hold`` (nothing passes, nothing is
lost: a black hole that ends when the condition does). Blows happen once: ``reset``, ``half_close``, ``truncate`` (so many
more bytes, then a reset).
"""

from __future__ import annotations

import fnmatch
from collections import deque
from dataclasses import dataclass
from typing import Any

from sprucepost.loop import Acceptor, Address, Loop, Sock, Timer, Transport
from sprucepost.standin.orders import OrderService
from sprucepost.wire.capture import CaptureWriter

HELD_MOST = 4 * 1024 * 1024  # bytes kept for one direction; over that the sender has to wait


@dataclass(frozen=True)
class LinkCondition:
    """What a link suffers. ``up`` is from client to target."""

    client: str = "*"
    target: str = "*"
    up: bool = True
    down: bool = True
    delay_ms: float = 0.0
    rate: float = 0.0
    hold: bool = False
    cut_zone: str = ""  # holds where exactly one end is in that zone

    def touches(self, client: str, target: str, zones: dict[str, str]) -> bool:
        if self.cut_zone:
            return (zones.get(client) == self.cut_zone) != (zones.get(target) == self.cut_zone)
        return fnmatch.fnmatchcase(client, self.client) and fnmatch.fnmatchcase(target, self.target)


class _Way:
    """One direction of a relayed connection."""

    def __init__(self, pipe: ProxiedConnection, source: Transport, sink: Transport, up: bool) -> None:
        self.pipe, self.source, self.sink, self.up = pipe, source, sink, up
        self.queue: deque[tuple[float, bytes]] = deque()  # due, data; empty data is the stream's end
        self.held = 0
        self.free_at = 0.0
        self.truncate_after: int | None = None
        self._timer: Timer | None = None
        source.on_data = self._data
        source.on_end = lambda: self._data(b"")
        source.on_lost = lambda error: pipe.break_off()
        sink.on_drained = self._pass

    def _data(self, data: bytes) -> None:
        tap, now = self.pipe.tap, self.pipe.tap.loop.now()
        if data and self.up != self.pipe.judged_target:
            tap.record(self.pipe, self.up, data, self.source.waited_ms)  # what the judged end has sent
        delay, rate = self.pipe.delay(self.up)
        if rate:
            self.free_at = max(self.free_at, now) + len(data) / rate * 1000.0
        due = max(now + delay, self.free_at if rate else 0.0, self.queue[-1][0] if self.queue else 0.0)
        self.queue.append((due, data))
        self.held += len(data)
        if self.held > HELD_MOST:
            self.source.pause()
        self._pass()

    def _pass(self) -> None:
        """Let out what is due."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        now = self.pipe.tap.loop.now()
        while self.queue and not self.pipe.held(self.up) and not self.sink.closed:
            due, data = self.queue[0]
            if due > now:
                self._timer = self.pipe.tap.loop.call_later(due - now, self._pass)
                return
            if self.sink.buffered > HELD_MOST:
                return
            self.queue.popleft()
            self.held -= len(data)
            if self.truncate_after is not None:
                data = data[: self.truncate_after]
                self.truncate_after -= len(data)
            if data:
                if self.up == self.pipe.judged_target:
                    self.pipe.tap.record(self.pipe, self.up, data)  # what the judged end is told
                self.sink.write(data)
            elif self.truncate_after is None:
                self.sink.shutdown_write()
            if self.truncate_after == 0:
                self.pipe.break_off(after_flush=True)
                return
        if self.held <= HELD_MOST // 2:
            self.source.resume()

    def kick(self) -> None:
        self._pass()


class ProxiedConnection:
    """One relayed connection."""

    def __init__(self, tap: RecordingProxy, client: str, target: str, near: Transport, far: Transport) -> None:
        self.tap, self.client, self.target, self.near, self.far = tap, client, target, near, far
        self.number = tap.capture.opened(tap.loop.wall(), client, target) if tap.capture is not None else 0
        self.up = _Way(self, near, far, True)
        self.down = _Way(self, far, near, False)
        self.judged_target = target.startswith(tap.judged)
        self.over = False

    def held(self, up: bool) -> bool:
        return any(c.hold and (c.up if up else c.down) for c in self.tap.conditions_of(self))

    def delay(self, up: bool) -> tuple[float, float]:
        found = [c for c in self.tap.conditions_of(self) if (c.up if up else c.down)]
        base = self.tap.latency(self.client, self.target)
        return base + sum(c.delay_ms for c in found), min((c.rate for c in found if c.rate), default=0.0)

    def break_off(self, after_flush: bool = False) -> None:
        """Both ends see a reset; with ``after_flush`` in the next turn, when what was written is out."""
        if self.over:
            return
        self.over = True
        self.tap.connections.pop(self, None)
        if self.tap.capture is not None:
            self.tap.capture.closed(self.tap.loop.wall(), self.number)
        if after_flush:
            self.tap.loop.call_later(1.0, self._abort)
        else:
            self._abort()

    def _abort(self) -> None:
        self.near.abort()
        self.far.abort()


class RecordingProxy:
    """All relays. ``names`` gives a client's name by its address, ``zones`` the room of each client and target."""

    def __init__(self, loop: Loop, capture: CaptureWriter | None = None) -> None:
        self.loop, self.capture = loop, capture
        self._stopped = False
        self.judged = "placer"  # how the names of those begin whose sending and hearing is judged
        self.same_ms = self.cross_ms = 0.0
        self.names: dict[str, str] = {}
        self.zones: dict[str, str] = {}
        self.connections: dict[ProxiedConnection, None] = {}
        self.targets: dict[str, Address] = {}
        self._acceptors: dict[str, Acceptor] = {}
        self._conditions: dict[str, LinkCondition] = {}
        self._of: dict[tuple[str, str], list[LinkCondition]] = {}

    def add(self, name: str, target: Address, listen: Address = ("127.0.0.1", 0)) -> Address:
        """Relay to ``target``; the address to connect to instead."""
        self.targets[name] = target
        acceptor = Acceptor(self.loop, self.loop.listen(listen), lambda sock: self._take(name, sock))
        self._acceptors[name] = acceptor
        return acceptor.address

    def move(self, name: str, target: Address) -> None:
        """The target listens elsewhere from now on."""
        self.targets[name] = target

    def _take(self, name: str, sock: Sock) -> None:
        ip = sock.peer.rpartition(":")[0]
        client = self.names.get(ip, ip)
        if self._stopped:
            sock.close(reset=True)
            return
        try:
            far = self.loop.dial(self.targets[name])
        except OSError:
            sock.close(reset=True)
            return
        pipe = ProxiedConnection(self, client, name, Transport(self.loop, sock), Transport(self.loop, far))
        self.connections[pipe] = None

        def connected() -> None:
            self.loop.watch(far, None, None)
            if pipe.over or far.connect_error() is not None:
                pipe.break_off()
                return
            pipe.near.start()
            pipe.far.start()

        self.loop.watch(far, None, connected)

    def latency(self, client: str, target: str) -> float:
        """One way, ms: within a room or between two; 0 where a room is not known."""
        here, there = self.zones.get(client), self.zones.get(target)
        return 0.0 if not here or not there else self.same_ms if here == there else self.cross_ms

    def record(self, pipe: ProxiedConnection, up: bool, data: bytes, late: float = 0.0) -> None:
        if self.capture is not None:
            self.capture.data(self.loop.wall(), pipe.number, up, data, late)

    def conditions_of(self, pipe: ProxiedConnection) -> list[LinkCondition]:
        key = (pipe.client, pipe.target)
        if key not in self._of:
            self._of[key] = [c for c in self._conditions.values() if c.touches(*key, self.zones)]
        return self._of[key]

    # Spoiling

    def set_condition(self, name: str, condition: LinkCondition | None) -> None:
        """Set or lift a condition; what it held back passes at once."""
        if condition is None:
            self._conditions.pop(name, None)
        else:
            self._conditions[name] = condition
        self._of.clear()
        for pipe in list(self.connections):
            pipe.up.kick()
            pipe.down.kick()

    def break_connections(
        self, kind: str, client: str = "*", target: str = "*", up: bool = True, after: int = 0
    ) -> int:
        """``reset``, ``half_close`` or ``truncate`` (after so many more bytes one way); how many connections it met."""
        met = [
            pipe
            for pipe in list(self.connections)
            if fnmatch.fnmatchcase(pipe.client, client) and fnmatch.fnmatchcase(pipe.target, target)
        ]
        for pipe in met:
            way = pipe.up if up else pipe.down
            if kind == "reset":
                pipe.break_off()
            elif kind == "half_close":
                way.sink.shutdown_write()
            elif kind == "truncate":
                way.truncate_after = after
            else:
                raise ValueError(f"no blow {kind!r}")
        return len(met)

    # Orders

    def stop(self) -> None:
        """Break off every connection, and record nothing more: the file is about to be closed, and in the loop's last turn
        bytes may still wait to be passed on. What is not recorded is not relayed."""
        for pipe in list(self.connections):
            pipe.break_off()
        self.capture, self._stopped = None, True

    def orders(self) -> OrderService:
        return OrderService(
            {
                "add": self._add,
                "set": self._set,
                "lift": self._lift,
                "blow": self._blow,
                "name": self._name,
                "latency": self._latency,
            }
        )

    def _add(self, name: str, target: str, zone: str = "", listen: str = "127.0.0.1:0") -> dict[str, Any]:
        host, _, port = target.rpartition(":")
        here, _, at = listen.rpartition(":")
        if name in self._acceptors:
            self.move(name, (host, int(port)))
            address = self._acceptors[name].address
        else:
            address = self.add(name, (host, int(port)), (here, int(at)))
        self.zones[name] = zone
        self._of.clear()
        return {"port": address[1]}

    def _name(self, ip: str, name: str, zone: str = "") -> dict[str, Any]:
        self.names[ip], self.zones[name] = name, zone
        self._of.clear()
        return {}

    def _latency(self, same_ms: float, cross_ms: float) -> dict[str, Any]:
        self.same_ms, self.cross_ms = same_ms, cross_ms
        return {}

    def _set(self, name: str, **condition: Any) -> dict[str, Any]:
        self.set_condition(name, LinkCondition(**condition))
        return {}

    def _lift(self, name: str) -> dict[str, Any]:
        self.set_condition(name, None)
        return {}

    def _blow(self, kind: str, client: str = "*", target: str = "*", up: bool = True, after: int = 0) -> dict[str, Any]:
        return {"met": self.break_connections(kind, client, target, up, after)}
