"""File descriptors: idle clients take all they can get while discovery goes down and comes back."""

from __future__ import annotations

import contextlib
import errno
import json
import os
import signal
import socket
from collections import Counter
from pathlib import Path
from typing import Any

import pytest

from sprucepost.loop import Acceptor, Address, Co, Sock, Transport, sleep
from sprucepost.loop.epoll import EpollLoop
from sprucepost.node import binary
from sprucepost.node.binary import Kind
from sprucepost.node.descriptors import Descriptors
from sprucepost.node.jsonl import Line, MessageType
from tests.node.platform import BulletinServer, Host, Link, Platform, run_on_platform, settings, setup, wait_for_message
from tests.node.program import Program, connected, passes_test, running
from tests.node.test_crossings import patient, release
from tests.wire.support import wait_for

LIMIT = 256  # the smallest limit that the platform sets
PROVEN, SILENT = 120, 180  # idle clients that have been served once, and those that never send a whole task
KEEPALIVE_MS = 400.0  # short, so that idle connections are closed by the hundred, again and again
SIDS = [f"de5c5aa5c7e{n:05x}" for n in range(2000)]
RUNNING, SLOW, FRONT = "5a" * 8, "5b" * 8, "5c" * 8
SMALL = "cores:0.01;memory:0.01;service:00000000000000ff"


class IdleClient:
    """Holds an idle connection. When it is closed, the client connects again at once, and keeps the old connection half open
    until it has lost the next one too."""

    def __init__(self, platform: Platform, address: Address, number: int, seen: Counter[str]) -> None:
        self._platform, self._address, self._number, self._seen = platform, address, number, seen
        self._socks: list[Sock] = []
        self._connections = 0
        self._on = True
        self._dial()

    def stop(self) -> None:
        """Close all its sockets, and do not connect again."""
        self._on = False
        for sock in self._socks:
            self._platform.loop.watch(sock, None, None)
            sock.close()

    def _dial(self) -> None:
        if not self._on:
            return
        sock = self._platform.loop.dial(self._address)
        self._socks.append(sock)
        self._platform.loop.watch(sock, None, lambda: self._connected(sock))

    def _connected(self, sock: Sock) -> None:
        try:
            self._send_something(sock)
        except OSError:
            self._seen["reset"] += 1
            self._reconnect(sock)
            return
        self._platform.loop.watch(sock, lambda: self._read(sock), None)

    def _send_something(self, sock: Sock) -> None:
        """Send nothing, a part of a message, a test, or a task that is released at once."""
        self._connections += 1
        sid = f"{self._number:08x}{self._connections:08x}"
        if self._number < PROVEN:
            sock.send(setup(sid, FIGURES=SMALL) + release(sid))
        else:
            test = binary.encode(Kind.TEST, sid, [(binary.Code.CAUSE, b"\0")])
            sock.send([b"", setup(sid)[:20], test][self._number % 3])

    def _read(self, sock: Sock) -> None:
        try:
            data = sock.recv(65536)
        except OSError:
            data = b""
        if data == b"":
            self._seen["closed"] += 1
            self._reconnect(sock)

    def _reconnect(self, sock: Sock) -> None:
        self._platform.loop.watch(sock, None, None)
        while len(self._socks) > 1:
            self._socks.pop(0).close()
        self._platform.loop.call_later(10.0, self._dial)


class UsualClients:
    """Sends one task every 20 ms, each on a new connection that is closed after the answer."""

    def __init__(self, platform: Platform, program: Program) -> None:
        self._platform, self._program = platform, program
        self.sent, self.answered, self.on, self.done = 0, 0, True, False

    def run(self) -> Co[None]:
        """Run until ``on`` is false."""
        while self.on:
            sid = SIDS[self.sent]
            self.sent += 1
            with socket.create_connection(self._program.address) as sock:  # at once, however busy this loop is
                sock.setblocking(False)
                sock.send(setup(sid, FIGURES=SMALL))
                self.answered += yield from self._answered(sock, sid)
            yield from sleep(20)
        self.done = True

    def _answered(self, sock: socket.socket, sid: str) -> Co[bool]:
        """Wait for the answer of that task; what comes before it may concern other clients at this address."""
        decoder, messages = binary.Decoder(), list[binary.Message]()

        def received() -> bool:
            with contextlib.suppress(BlockingIOError):
                messages.extend(decoder.feed(sock.recv(65536)))
            return any(message.task == sid for message in messages)

        yield from wait_for(received, 8000)
        return [message.kind for message in messages if message.task == sid][:1] == [Kind.ANSWER]


def short_tasks(host: Host) -> None:
    """The host ends each task after 20 ms, except ``RUNNING``, and leaves the answer of ``SLOW`` to the test."""

    def run(link: Link, line: Line) -> None:
        if line.sid == SLOW:
            return
        link.send(MessageType.READY, line.sid, text="x")
        if line.sid != RUNNING:
            host.platform.loop.call_later(20.0, lambda: link.send(MessageType.CLOSE, line.sid, code=16))

    host.on_open = run


def take_down(platform: Platform, how: str) -> None:
    """Kill discovery's process, or stop it: then the system accepts connections, and nobody answers."""
    platform.bulletin.mode = "silent"
    if how == "killed":
        platform.bulletin.acceptor.close()


def bring_back(platform: Platform, how: str) -> None:
    platform.bulletin.mode = "answers"
    if how == "killed":
        platform.bulletin.acceptor = Acceptor(
            platform.loop, platform.loop.listen(platform.bulletin.acceptor.address), platform.bulletin._take
        )


@pytest.mark.parametrize("how", ["killed", "stopped"])
def test_idle_clients_take_all_descriptors_while_discovery_is_down(tmp_path: Path, how: str) -> None:
    found = settings()
    found["policy_limits"]["keepalive"] = KEEPALIVE_MS
    seen: Counter[str] = Counter()
    most = [0]

    def body(platform: Platform) -> Co[None]:
        for n in range(12):
            short_tasks(platform.host(f"s-{n}"))
        platform.bulletin.publish(*(host.entry() for host in platform.hosts.values()), everything=True)
        limits = {"cores": 1.0, "memory_mb": 64, "sockets": LIMIT}
        with running(platform, LIMIT, settings=found, limits=limits) as program:

            def count() -> None:
                if program.process.returncode is None:
                    most[0] = max(most[0], program.descriptors())
                    platform.loop.call_later(2.0, count)

            usual = yield from passes_test(platform, program, FRONT)
            usual.transport.write(setup(RUNNING, FIGURES=SMALL) + setup(SLOW, LEFT="20000"))
            yield from wait_for_message(usual, RUNNING, Kind.ANSWER)
            count()
            idle = [IdleClient(platform, program.address, n, seen) for n in range(PROVEN)]
            yield from wait_for(lambda: seen["closed"] >= PROVEN / 2, 8000)  # closed as idle, in one step
            idle += [IdleClient(platform, program.address, PROVEN + n, seen) for n in range(SILENT)]
            others = UsualClients(platform, program)
            platform._scope.spawn(others.run(), "usual clients")
            yield from wait_for(lambda: seen["closed"] > PROVEN + SILENT, 8000)
            take_down(platform, how)
            yield from wait_for(lambda: len(program.lines("bulletin_failed")) >= 3, 8000)
            yield from sleep(1500)
            yield from passes_test(platform, program, FRONT)
            failed, requested = len(program.lines("bulletin_failed")), len(platform.bulletin.requests)
            bring_back(platform, how)
            platform.bulletin.publish(platform.host("newer").entry())
            yield from wait_for(lambda: 2 in platform.bulletin.requests, 15_000)  # event 2 has been applied
            assert len(program.lines("bulletin_failed")) <= failed + 1, "the first dial after its return succeeds"
            assert platform.bulletin.requests[requested:][:1] == [1]
            path = tmp_path / "config.json"
            path.write_text(json.dumps({**json.loads(path.read_text()), "name": "moved"}))
            os.kill(program.process.pid, signal.SIGHUP)
            yield from wait_for(lambda: program.lines("reloaded"), 8000)
            others.on = False
            yield from wait_for(lambda: others.done, 8000)
            for client in idle:
                client.stop()
            for host in platform.hosts.values():
                for line in host.lines(MessageType.OPEN):
                    if line.sid == SLOW:
                        host.links[-1].send(MessageType.READY, SLOW, text="x")
            assert not usual.ended, "a client with an open task keeps its connection"
            faults = [line for line in program.lines() if "Too many open files" in str(line.get("why"))]
            assert not faults and not program.lines("reload_refused") and not program.lines("host_not_connected")
            assert most[0] < LIMIT, "one descriptor is left for a file or a dial"
            assert others.sent == others.answered > 5

    run_on_platform(tmp_path, body)


class Shortage:
    """While ``on``, the system has no descriptor for dials and files."""

    def __init__(self, platform: Platform, monkeypatch: pytest.MonkeyPatch) -> None:
        self.on, self.refused = False, 0
        dial, read = platform.loop.dial, Path.open

        def short_dial(address: Address, source: str | None = None) -> Sock:
            self._refuse()
            return dial(address, source)

        def short_open(path: Path, mode: str = "r") -> Any:
            self._refuse()
            return read(path, mode)

        monkeypatch.setattr(platform.loop, "dial", short_dial)
        monkeypatch.setattr(Path, "open", short_open)

    def _refuse(self) -> None:
        if self.on:
            self.refused += 1
            raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))


def test_a_dial_without_a_descriptor_counts_against_no_host(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against taking a host for dead, and losing its tasks, when this machine is out of descriptors."""

    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start(settings=patient())
        shortage = Shortage(platform, monkeypatch)
        owner = yield from platform.owner()
        shortage.on = True
        owner.transport.write(setup(SIDS[0]))
        yield from wait_for(lambda: shortage.refused >= 2)
        assert not platform.service.counters["connect_failed"] and not platform.service.counters["ended_connect_failed"]
        shortage.on = False
        yield from wait_for_message(owner, SIDS[0], Kind.ANSWER)
        assert [line.sid for line in host.lines(MessageType.OPEN)] == [SIDS[0]]
        assert platform.service.counters["offers"] == 1

    run_on_platform(tmp_path, body)


def test_a_reload_without_a_descriptor_is_retried(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a placer that keeps polling an old discovery: SIGHUP comes once, so it must not be rejected."""

    def body(platform: Platform) -> Co[None]:
        platform.host("s-1")
        platform.start()
        yield from wait_for(lambda: platform.bulletin.requests)
        old, platform.bulletin = platform.bulletin, BulletinServer(platform)
        platform.bulletin.items = list(old.items)
        path = tmp_path / "config.json"
        path.write_text(json.dumps({**json.loads(path.read_text()), "bulletin": platform.bulletin.address}))
        shortage = Shortage(platform, monkeypatch)
        shortage.on = True
        platform.service.reload()
        assert shortage.refused == 1 and not platform.bulletin.requests
        shortage.on = False
        yield from wait_for(lambda: platform.bulletin.requests)
        assert any("reload_delayed" in line for line in platform.lines)

    run_on_platform(tmp_path, body)


def test_no_more_descriptors_are_used_than_the_system_allows(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        short_tasks(platform.host("s-1"))
        platform.bulletin.publish(*(host.entry() for host in platform.hosts.values()), everything=True)
        seen: Counter[str] = Counter()
        with running(platform, 64, limits={"cores": 1.0, "memory_mb": 64, "sockets": LIMIT}) as program:
            yield from passes_test(platform, program, FRONT)
            idle = [IdleClient(platform, program.address, PROVEN + n, seen) for n in range(100)]
            yield from wait_for(lambda: seen["closed"] > 100, 8000)
            os.kill(program.process.pid, signal.SIGHUP)
            yield from wait_for(lambda: program.lines("reloaded"), 8000)
            usual = yield from connected(platform, program)
            usual.transport.write(setup(SIDS[0], FIGURES=SMALL))
            yield from wait_for_message(usual, SIDS[0], Kind.ANSWER)
            for client in idle:
                client.stop()
            assert not program.lines("reload_delayed") and not program.lines("host_not_connected")

    run_on_platform(tmp_path, body)


def test_the_oldest_lingering_closes_are_cut_first() -> None:
    """64 descriptors: 8 for the process itself, 4 reserved for lingering closes."""
    connections = [0]
    descriptors = Descriptors(64, lambda: connections[0])
    loop = EpollLoop(1)
    listener = loop.listen(("127.0.0.1", 0))
    try:
        ending = []
        for _ in range(6):
            transport = Transport(loop, loop.dial(listener.address))
            transport.linger_ms = 1000.0
            descriptors.close(transport)
            ending.append(transport)
        assert descriptors.closing == 6 and descriptors.available() == 52
        connections[0] = 49
        descriptors.reclaim()
        assert not any(transport.socket_closed for transport in ending), "56 are shared, and one more connection fits"
        connections[0] = 52
        descriptors.reclaim()
        assert [transport.socket_closed for transport in ending] == [True, True, True, False, False, False]
        assert descriptors.closing == 3 and descriptors.available() == 0
        for transport in ending:
            transport.end_linger()
        assert descriptors.closing == 0
    finally:
        listener.close()
        loop.close()
