"""Processes of hosts, owners and a list around placers on virtual sockets; what a process runs is known exactly.

A process that dies resets its connections and cuts its tasks, and another one may start at its address. Time passes in steps
of ``STEP_MS``; while the placers' loop is late, hosts and owners act and no placer reads anything.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from sprucepost.loop import Address, Co, Scope, in_scope, sleep
from sprucepost.node import binary, jsonl
from sprucepost.node.binary import Code, Kind
from sprucepost.node.jsonl import MessageType
from tests.node.platform import setup
from tests.node.virtual import DISCOVERY, Placer, SocketLoop, VirtualSock, host_address

STEP_MS = 5.0
SLICE_MS, STOPPED_MS = 30.0, 60.0  # of placers that have a third of a core
ACCEPT_MS = 20.0  # from a set-up's arrival at a host to its answer
DOUBT_MS = 8050.0  # from the end of all connections until a task, of which nothing shows that it stands, is told over
FIRST_ADDRESS = host_address(0)
FIGURES = "cores:1;memory:2;service:00000000b4d65521"


@dataclass(eq=False)
class Process:
    """One process of a host, from its start to its death."""

    uid: str
    address: tuple[str, int]
    started_at: float  # Unix ms
    connections: list[VirtualSock] = field(default_factory=list)
    answers_due: dict[str, tuple[float, VirtualSock]] = field(default_factory=dict)  # set-ups that it will accept
    standing: dict[str, VirtualSock | None] = field(default_factory=dict)  # tasks, with the connection of the set-up
    unsent: list[str] = field(default_factory=list)  # ended tasks, to be released on the next connection as well
    alive: bool = True
    accept_ms: float = ACCEPT_MS
    broken_at: list[float] = field(default_factory=list)  # when it has ended all its connections, alive
    is_cut_off: bool = False  # neither reads nor sends, and no dial comes up

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Return its entry in the list."""
        host, port = self.address
        return {
            "uid": self.uid, "endpoint": f"{host}:{port}", "az": "room-a", "model": "std", "pod_group": 0,
            "state": "SERVING", "boot_ms": self.started_at, "open": [32.0, 64.0], **changes,
        }  # fmt: skip

    def may_be_in_doubt(self, at: float) -> bool:
        """Return whether nothing may show at that time that it is the process of before: it has ended all connections."""
        return any(broken_at <= at <= broken_at + DOUBT_MS for broken_at in self.broken_at)


class OwnerConnection:
    """An owner's connection to a placer. All that it is told is in ``told``: when, task, kind and cause."""

    def __init__(self, platform: VirtualPlatform, placer: Placer, sock: VirtualSock) -> None:
        self.platform, self.placer, self.sock = platform, placer, sock
        self.told: list[tuple[float, str, int, int | None]] = []
        self.closed = False  # whether the owner has ended it: it reads nothing more
        self._decoder = binary.Decoder()

    def submit(self, *sids: str, at: str = "", **changes: Any) -> None:
        """Send set-ups; with ``at`` they hand over tasks that this host holds."""
        figures = f"{FIGURES};at:{at}" if at else FIGURES
        self.sock.inbox.append(b"".join(setup(sid, FIGURES=figures, **changes) for sid in sids))

    def end_tasks(self, *sids: str) -> None:
        """Release tasks: they are not wanted any more."""
        cause = [(Code.CAUSE, bytes([16]))]
        self.sock.inbox.append(b"".join(binary.encode(Kind.RELEASE, sid, cause) for sid in sids))

    def close(self, how: str = "close") -> None:
        """Close the connection, or reset it; what lies unread is not read."""
        self.closed = True
        self.sock.inbox.append(ConnectionResetError(104, "reset") if how == "reset" else b"")

    def read(self) -> None:
        """Note what the placer has sent."""
        data, self.sock.sent = bytes(self.sock.sent), bytearray()
        if self.closed:
            return
        now = self.platform.loop.time
        self.told += [(now, message.task, message.kind, message.cause) for message in self._decoder.feed(data)]

    def kinds(self, sid: str) -> list[int]:
        """Return the kinds of the messages about a task."""
        return [kind for _, task, kind, _ in self.told if task == sid]


class VirtualPlatform:
    """Placers with all that surrounds them. ``on_started`` is called when a task begins to stand at a process."""

    def __init__(self, loop: SocketLoop, scope: Scope, folder: Path) -> None:
        self.loop, self._scope, self._folder = loop, scope, folder
        self.placers: list[Placer] = []
        self.processes: list[Process] = []
        self.owners: list[OwnerConnection] = []
        self.events: list[dict[str, Any]] = []
        self.offers: Counter[str] = Counter()  # set-ups that hosts have received, by task
        self.on_started: Callable[[Process, str], None] = lambda process, sid: None
        self.on_ended: Callable[[Process, str], None] = lambda process, sid: None
        self._dials_seen = 0
        self._dials_waiting: list[tuple[Address, VirtualSock]] = []  # of hosts that are cut off
        self._half_open: list[tuple[Address, VirtualSock]] = []  # connections of processes that have vanished
        self._vanished: set[Address] = set()  # addresses at which no machine answers
        self.resets_unknown_connections = True  # whether a machine answers what comes on one of the process before it
        self.came_up_at: dict[VirtualSock, float] = {}  # when each connection to a host came up
        self._decoders: dict[VirtualSock, jsonl.Decoder] = {}
        self._owner_ports = self._placers_started = 0
        self.is_sliced = False  # whether the placers have a third of a core
        self._slice_ends_at = 0.0

    # Placers and owners

    def start_placer(self, **changes: Any) -> Placer:
        """Start a placer that knows the list's events so far."""
        self._placers_started += 1
        number = self._placers_started
        folder = self._folder / f"n{number}"
        folder.mkdir()
        listen = f"127.0.0.{9 + number}:2905"
        limits = {"cores": 1.0, "memory_mb": 64, "sockets": 512}
        known = {"no": len(self.events), "items": list(self.events)}
        document = {"name": f"n{number}", "listen": listen, "limits": limits, "known": known, **changes}
        placer = Placer(self.loop, self._scope, folder, document)
        self.placers.append(placer)
        return placer

    def kill_placer(self, placer: Placer) -> None:
        """End a placer: its connections are reset, and nothing that it still does has an effect."""
        self.placers.remove(placer)
        placer.give_up_dials()
        hosts, owners = placer.service.hosts, placer.service.owners
        hosts._dial = lambda host: None  # type: ignore[method-assign]
        for host in list(hosts.hosts.values()):
            for link in list(host.links):
                link.transport.abort()
        for owner_link in list(owners.links):
            owner_link.transport.abort()
        owners._acceptor.close()

    def connect(self, placer: Placer, address: str = "127.0.2.1") -> OwnerConnection:
        """Have an owner connect to the placer."""
        self._owner_ports += 1
        listen = placer.service.config.listen
        owner = OwnerConnection(self, placer, self.loop.arrive(listen, f"{address}:{self._owner_ports}"))
        self.owners.append(owner)
        return owner

    # Hosts

    def start_process(self, uid: str, address: tuple[str, int] = FIRST_ADDRESS) -> Process:
        """Start a process of a host."""
        assert all(not each.alive or each.address != address for each in self.processes)
        self._vanished.discard(address)
        process = Process(uid, address, self.loop.wall())
        self.processes.append(process)
        return process

    def kill(self, process: Process, how: str = "reset", refuses_dials: bool = True) -> None:
        """End a process; its connections are reset, closed, or stay open and silent. Without ``refuses_dials`` dials wait
        until another process starts at the address, as they do where the connections are silent."""
        process.alive = False
        ended = list(process.standing)
        process.standing.clear()
        process.answers_due.clear()
        if how == "silence" or not refuses_dials:
            self._vanished.add(process.address)
        if how == "silence":
            self._half_open += [(process.address, sock) for sock in process.connections]
            process.connections.clear()
        else:
            self.end_connections(process, how)
        for sid in ended:
            self.on_ended(process, sid)

    def end_connections(self, process: Process, how: str = "reset") -> None:
        """Reset or close all connections of a process; set-ups open there are given up."""
        process.broken_at.append(self.loop.time)
        for sock in process.connections:
            sock.inbox.append(ConnectionResetError(104, "reset") if how == "reset" else b"")
        process.connections.clear()
        process.answers_due.clear()

    def end_connection(self, process: Process, how: str = "reset") -> None:
        """Reset, close or forget the oldest connection of a process; others stay."""
        sock = process.connections.pop(0)
        for sid in [sid for sid, (_, of) in process.answers_due.items() if of is sock]:
            del process.answers_due[sid]
        if how != "forget":
            sock.inbox.append(ConnectionResetError(104, "reset") if how == "reset" else b"")

    def end_task(self, process: Process, sid: str, cause: int = 16) -> bool:
        """End a task; return whether its release could be sent."""
        sock = process.standing.pop(sid)
        self.on_ended(process, sid)
        is_open = sock in process.connections
        targets = [sock] if is_open and sock is not None else list(process.connections)
        for each in targets:
            each.inbox.append(jsonl.encode(MessageType.CLOSE, sid, code=cause))
        process.unsent.append(sid)
        return bool(targets)

    def note(self, process: Process, sid: str) -> None:
        """Have a process send a note on a task that stands there, on the connection of its set-up or else on all."""
        sock = process.standing[sid]
        targets = [sock] if sock in process.connections else list(process.connections)
        for each in targets:
            assert each is not None
            each.inbox.append(jsonl.encode(MessageType.EVENT, sid, {"note": "cores", "value": "1"}))

    def _step_hosts(self) -> None:
        dials, self._dials_waiting = self._dials_waiting + self.loop.dialled[self._dials_seen :], []
        self._dials_seen = len(self.loop.dialled)
        for address, sock in dials:
            if address != DISCOVERY and not sock.closed:
                self._take_dial(address, sock)
        for address, sock in list(self._half_open):
            if sock.sent and address not in self._vanished and self.resets_unknown_connections:
                sock.inbox.append(ConnectionResetError(104, "reset"))  # the machine knows no such connection
                self._half_open.remove((address, sock))
        for process in self.processes:
            if process.alive and not process.is_cut_off:
                self._step_process(process)

    def _take_dial(self, address: Address, sock: VirtualSock) -> None:
        process = next((each for each in self.processes if each.alive and each.address == address), None)
        if address in self._vanished or (process is not None and process.is_cut_off):
            self._dials_waiting.append((address, sock))
            return
        sock.up = True
        if process is None:
            sock.error = ConnectionRefusedError(111, "Connection refused")
            return
        process.connections.append(sock)
        self.came_up_at[sock] = self.loop.time
        self._decoders[sock] = jsonl.Decoder()
        for sid in process.unsent:
            sock.inbox.append(jsonl.encode(MessageType.CLOSE, sid, code=16))
        process.unsent.clear()

    def _step_process(self, process: Process) -> None:
        for sock in list(process.connections):
            data, sock.sent = bytes(sock.sent), bytearray()
            for line in self._decoders[sock].feed(data):
                self._take_line(process, sock, line)
            if sock.ended:
                process.connections.remove(sock)
                for sid in [sid for sid, (_, of) in process.answers_due.items() if of is sock]:
                    del process.answers_due[sid]
        for sid, (due, sock) in list(process.answers_due.items()):
            if due <= self.loop.time:
                del process.answers_due[sid]
                self.run_task(process, sid, sock)
                sock.inbox.append(jsonl.encode(MessageType.READY, sid, text=jsonl.quoted(f"by {process.uid}")))

    def run_task(self, process: Process, sid: str, sock: VirtualSock | None = None) -> None:
        """Have a task stand at a process; without a connection it has been set up by another placer, or long ago."""
        process.standing[sid] = sock
        self.on_started(process, sid)

    def _take_line(self, process: Process, sock: VirtualSock, line: jsonl.Line) -> None:
        if line.type is MessageType.OPEN:
            self.offers[line.sid] += 1
            process.answers_due[line.sid] = (self.loop.time + process.accept_ms, sock)
        elif line.type is MessageType.PROBE:
            sock.inbox.append(jsonl.encode(MessageType.PROBED, line.sid, code=1))
        elif line.type is MessageType.CLOSE:
            process.answers_due.pop(line.sid, None)
            if line.sid in process.standing:
                del process.standing[line.sid]
                self.on_ended(process, line.sid)

    # The list

    def tell(self, *entries: dict[str, Any], everything: bool = False) -> None:
        """Publish an event of the list, and have all placers read it now."""
        self.publish(*entries, everything=everything)
        self.deliver()

    def publish(self, *entries: dict[str, Any], everything: bool = False) -> None:
        """Publish an event of the list; the placers read it with the next :meth:`deliver`."""
        number = len(self.events) + 1
        roster = {"rev": number, "all": everything, "targets": list(entries)}
        self.events.append({"no": number, "roster": roster})

    def deliver(self) -> None:
        """Have all placers read the events that they have not read yet, in one document."""
        for placer in self.placers:
            last = placer.service.feed.bulletin.last_number
            document = {"no": len(self.events), "items": self.events[last:]}
            update = placer.service.feed.bulletin.apply(document)
            if update is not None:
                placer.service._on_bulletin(update)

    # Time

    def run(self, duration_ms: float) -> Co[None]:
        """Let time pass."""
        ends = self.loop.time + duration_ms
        while self.loop.time < ends:
            self._step_hosts()
            for owner in self.owners:
                owner.read()
            yield from sleep(STEP_MS)
            if self.is_sliced and self.loop.time >= self._slice_ends_at:
                self.be_late(STOPPED_MS)
                self._slice_ends_at = self.loop.time + SLICE_MS

    def be_late(self, duration_ms: float) -> None:
        """Let time pass without a turn of the placers' loop: hosts go on."""
        ends = self.loop.time + duration_ms
        while self.loop.time < ends:
            self._step_hosts()
            self.loop.time += STEP_MS


def run_on_virtual_platform(folder: Path, body: Callable[[VirtualPlatform], Co[None]]) -> None:
    """Run a test's coroutine on a platform without placers or hosts."""
    loop = SocketLoop()

    def main(scope: Scope) -> Co[None]:
        yield from body(VirtualPlatform(loop, scope, folder))
        scope.cancel()

    loop.run(lambda: in_scope(main))
