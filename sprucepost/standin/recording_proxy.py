"""Recording proxy: a TCP relay between all processes, which records all bytes and injects connection faults on order.

The rules are checked on placers, so bytes are recorded from a placer's point of view: what it sends when the proxy
receives it, and what it receives when the proxy forwards it. Bytes that the proxy holds back do not count as received.

Each target has a listener of its own; a client is identified by the local address that it connects from. Conditions
apply as long as they are set, by client, target and direction: ``delay_ms``, ``rate`` (bytes per second) and ``hold``
(nothing is forwarded and nothing lost, until the condition is lifted). Breaks happen once: ``reset``, ``half_close``
and ``truncate`` (a reset after a number of further bytes).
"""

from __future__ import annotations

import fnmatch
from collections import deque
from dataclasses import dataclass
from typing import Any

from sprucepost.loop import Acceptor, Address, Loop, Sock, Timer, Transport
from sprucepost.standin.orders import OrderService
from sprucepost.wire.capture import CaptureWriter

MAX_BUFFERED_BYTES = 4 * 1024 * 1024  # per direction; above it the proxy stops reading from the sender


@dataclass(frozen=True)
class LinkCondition:
    """A condition of the links between clients and targets, as name patterns. ``up`` is from client to target."""

    client: str = "*"
    target: str = "*"
    up: bool = True
    down: bool = True
    delay_ms: float = 0.0
    rate: float = 0.0
    hold: bool = False
    cut_zone: str = ""  # applies to links with exactly one end in that zone, whatever the patterns

    def applies_to(self, client: str, target: str, zones: dict[str, str]) -> bool:
        """Return whether the condition applies to a link."""
        if self.cut_zone:
            return (zones.get(client) == self.cut_zone) != (zones.get(target) == self.cut_zone)
        return fnmatch.fnmatchcase(client, self.client) and fnmatch.fnmatchcase(target, self.target)


class _Direction:
    """One direction of a relayed connection."""

    def __init__(self, connection: ProxiedConnection, source: Transport, sink: Transport, up: bool) -> None:
        self.connection, self.source, self.sink, self.up = connection, source, sink, up
        self.queue: deque[tuple[float, bytes]] = deque()  # due time and data; empty data is the end of the stream
        self.buffered_bytes = 0
        self.free_at = 0.0
        self.truncate_after: int | None = None
        self._timer: Timer | None = None
        source.on_data = self._receive_data
        source.on_end = lambda: self._receive_data(b"")
        source.on_lost = lambda error: connection.reset()
        sink.on_drained = self._forward_due

    def _receive_data(self, data: bytes) -> None:
        proxy, now = self.connection.proxy, self.connection.proxy.loop.now()
        if data and self.up != self.connection.target_is_recorded:
            proxy.record(self.connection, self.up, data, self.source.waited_ms)  # sent by the recorded end
        delay, rate = self.connection.delay(self.up)
        if rate:
            self.free_at = max(self.free_at, now) + len(data) / rate * 1000.0
        due = max(now + delay, self.free_at if rate else 0.0, self.queue[-1][0] if self.queue else 0.0)
        self.queue.append((due, data))
        self.buffered_bytes += len(data)
        if self.buffered_bytes > MAX_BUFFERED_BYTES:
            self.source.pause()
        self._forward_due()

    def _forward_due(self) -> None:
        """Forward all data that is due."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        now = self.connection.proxy.loop.now()
        while self.queue and not self.connection.is_held(self.up) and not self.sink.closed:
            due, data = self.queue[0]
            if due > now:
                self._timer = self.connection.proxy.loop.call_later(due - now, self._forward_due)
                return
            if self.sink.buffered > MAX_BUFFERED_BYTES:
                return
            self.queue.popleft()
            self.buffered_bytes -= len(data)
            if self.truncate_after is not None:
                data = data[: self.truncate_after]
                self.truncate_after -= len(data)
            if data:
                if self.up == self.connection.target_is_recorded:
                    self.connection.proxy.record(self.connection, self.up, data)  # received by the recorded end
                self.sink.write(data)
            elif self.truncate_after is None:
                self.sink.shutdown_write()
            if self.truncate_after == 0:
                self.connection.reset(after_flush=True)
                return
        if self.buffered_bytes <= MAX_BUFFERED_BYTES // 2:
            self.source.resume()

    def flush(self) -> None:
        """Forward data that a change of conditions has released."""
        self._forward_due()


class ProxiedConnection:
    """One relayed connection."""

    def __init__(
        self, proxy: RecordingProxy, client: str, target: str, client_side: Transport, target_side: Transport
    ) -> None:
        self.proxy, self.client, self.target, self.client_side, self.target_side = (
            proxy,
            client,
            target,
            client_side,
            target_side,
        )
        self.number = proxy.capture.opened(proxy.loop.wall(), client, target) if proxy.capture is not None else 0
        self.up = _Direction(self, client_side, target_side, True)
        self.down = _Direction(self, target_side, client_side, False)
        self.target_is_recorded = target.startswith(proxy.recorded_prefix)
        self.closed = False

    def is_held(self, up: bool) -> bool:
        """Return whether a condition holds this direction."""
        return any(c.hold and (c.up if up else c.down) for c in self.proxy.conditions_of(self))

    def delay(self, up: bool) -> tuple[float, float]:
        """Return the delay in ms and the rate limit in bytes per second (0: none) of this direction."""
        found = [c for c in self.proxy.conditions_of(self) if (c.up if up else c.down)]
        base = self.proxy.latency(self.client, self.target)
        return base + sum(c.delay_ms for c in found), min((c.rate for c in found if c.rate), default=0.0)

    def reset(self, after_flush: bool = False) -> None:
        """Reset both ends; with ``after_flush`` 1 ms later, when the data written so far has been sent."""
        if self.closed:
            return
        self.closed = True
        self.proxy.connections.pop(self, None)
        if self.proxy.capture is not None:
            self.proxy.capture.closed(self.proxy.loop.wall(), self.number)
        if after_flush:
            self.proxy.loop.call_later(1.0, self._abort)
        else:
            self._abort()

    def _abort(self) -> None:
        self.client_side.abort()
        self.target_side.abort()


class RecordingProxy:
    """The proxy of a run. ``names`` gives a client's name by its address, ``zones`` the zone of each client and
    target."""

    def __init__(self, loop: Loop, capture: CaptureWriter | None = None) -> None:
        self.loop, self.capture = loop, capture
        self._stopped = False
        self.recorded_prefix = "placer"  # name prefix of the processes from whose point of view bytes are recorded
        self.same_ms = self.cross_ms = 0.0
        self.names: dict[str, str] = {}
        self.zones: dict[str, str] = {}
        self.connections: dict[ProxiedConnection, None] = {}
        self.targets: dict[str, Address] = {}
        self._acceptors: dict[str, Acceptor] = {}
        self._conditions: dict[str, LinkCondition] = {}
        self._conditions_by_pair: dict[tuple[str, str], list[LinkCondition]] = {}

    def add(self, name: str, target: Address, listen: Address = ("127.0.0.1", 0)) -> Address:
        """Relay to ``target``, and return the address at which clients connect to it."""
        self.targets[name] = target
        acceptor = Acceptor(self.loop, self.loop.listen(listen), lambda sock: self._accept(name, sock))
        self._acceptors[name] = acceptor
        return acceptor.address

    def set_target(self, name: str, target: Address) -> None:
        """Relay new connections to another address of the target."""
        self.targets[name] = target

    def _accept(self, name: str, sock: Sock) -> None:
        ip = sock.peer.rpartition(":")[0]
        client = self.names.get(ip, ip)
        if self._stopped:
            sock.close(reset=True)
            return
        try:
            target_side = self.loop.dial(self.targets[name])
        except OSError:
            sock.close(reset=True)
            return
        connection = ProxiedConnection(
            self, client, name, Transport(self.loop, sock), Transport(self.loop, target_side)
        )
        self.connections[connection] = None

        def connected() -> None:
            self.loop.watch(target_side, None, None)
            if connection.closed or target_side.connect_error() is not None:
                connection.reset()
                return
            connection.client_side.start()
            connection.target_side.start()

        self.loop.watch(target_side, None, connected)

    def latency(self, client: str, target: str) -> float:
        """Return the one-way latency in ms, within a zone or between two; 0 if a zone is not known."""
        client_zone, target_zone = self.zones.get(client), self.zones.get(target)
        return (
            0.0 if not client_zone or not target_zone else self.same_ms if client_zone == target_zone else self.cross_ms
        )

    def record(self, connection: ProxiedConnection, up: bool, data: bytes, waited_ms: float = 0.0) -> None:
        """Record data that the recorded end has sent or received."""
        if self.capture is not None:
            self.capture.data(self.loop.wall(), connection.number, up, data, waited_ms)

    def conditions_of(self, connection: ProxiedConnection) -> list[LinkCondition]:
        """Return the conditions that apply to a connection."""
        key = (connection.client, connection.target)
        if key not in self._conditions_by_pair:
            self._conditions_by_pair[key] = [c for c in self._conditions.values() if c.applies_to(*key, self.zones)]
        return self._conditions_by_pair[key]

    # Faults

    def set_condition(self, name: str, condition: LinkCondition | None) -> None:
        """Set a condition, or lift it with None; data that it held back is forwarded at once."""
        if condition is None:
            self._conditions.pop(name, None)
        else:
            self._conditions[name] = condition
        self._conditions_by_pair.clear()
        for connection in list(self.connections):
            connection.up.flush()
            connection.down.flush()

    def break_connections(
        self, kind: str, client: str = "*", target: str = "*", up: bool = True, after: int = 0
    ) -> int:
        """Break all matching connections, and return how many there were.

        Kinds are ``reset``, ``half_close`` and ``truncate`` (a reset after ``after`` more bytes in one direction).
        """
        matching = [
            connection
            for connection in list(self.connections)
            if fnmatch.fnmatchcase(connection.client, client) and fnmatch.fnmatchcase(connection.target, target)
        ]
        for connection in matching:
            direction = connection.up if up else connection.down
            if kind == "reset":
                connection.reset()
            elif kind == "half_close":
                direction.sink.shutdown_write()
            elif kind == "truncate":
                direction.truncate_after = after
            else:
                raise ValueError(f"no blow {kind!r}")
        return len(matching)

    def stop(self) -> None:
        """Reset all connections and stop recording.

        The capture file is about to be closed, and in the loop's last turn data may still wait to be forwarded; data
        that is not recorded is not forwarded.
        """
        for connection in list(self.connections):
            connection.reset()
        self.capture, self._stopped = None, True

    # Orders

    def orders(self) -> OrderService:
        """Return the handlers of the orders that the proxy takes."""
        return OrderService(
            {
                "add": self._add_target,
                "set": self._set_condition,
                "lift": self._lift_condition,
                "blow": self._break_connections,
                "name": self._name_client,
                "latency": self._set_latency,
            }
        )

    def _add_target(self, name: str, target: str, zone: str = "", listen: str = "127.0.0.1:0") -> dict[str, Any]:
        host, _, port = target.rpartition(":")
        listen_host, _, listen_port = listen.rpartition(":")
        if name in self._acceptors:
            self.set_target(name, (host, int(port)))
            address = self._acceptors[name].address
        else:
            address = self.add(name, (host, int(port)), (listen_host, int(listen_port)))
        self.zones[name] = zone
        self._conditions_by_pair.clear()
        return {"port": address[1]}

    def _name_client(self, ip: str, name: str, zone: str = "") -> dict[str, Any]:
        self.names[ip], self.zones[name] = name, zone
        self._conditions_by_pair.clear()
        return {}

    def _set_latency(self, same_ms: float, cross_ms: float) -> dict[str, Any]:
        self.same_ms, self.cross_ms = same_ms, cross_ms
        return {}

    def _set_condition(self, name: str, **condition: Any) -> dict[str, Any]:
        self.set_condition(name, LinkCondition(**condition))
        return {}

    def _lift_condition(self, name: str) -> dict[str, Any]:
        self.set_condition(name, None)
        return {}

    def _break_connections(
        self, kind: str, client: str = "*", target: str = "*", up: bool = True, after: int = 0
    ) -> dict[str, Any]:
        return {"met": self.break_connections(kind, client, target, up, after)}
