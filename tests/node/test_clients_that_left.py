"""Clients that left: no attempt is sent more than 50 ms after the client's bytes lay in our kernel, half of the 100 allowed.

Time is stepped (:mod:`tests.node.stepped_loop`): a decision or a read takes as long as a test says, on any machine.
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from sprucepost import interface as i
from sprucepost.loop import Co, Transport, connect, sleep
from sprucepost.loop.epoll import EpollSock
from sprucepost.node import binary, dispatch, hosts, jsonl, tasks
from sprucepost.node.attempt import Attempt
from sprucepost.node.binary import Code, Kind
from sprucepost.node.descriptors import Descriptors
from sprucepost.node.host import Host as HostState
from sprucepost.node.host import HostLink
from sprucepost.node.jsonl import MessageType
from tests.node.platform import Host, Link, Platform, run_on_platform, setup, wait_for_message
from tests.node.stepped_loop import SteppedLoop, wait_for_buffered_bytes, wait_until_readable
from tests.node.test_crossings import OTHER, SIDS, Raw, deciding, opened, patient, release, warm
from tests.wire.support import wait_for

ALLOWED_MS = 50.0  # between the client's bytes in our kernel and an attempt's bytes
BUSY_MS = 60.0  # what the placer does meanwhile takes: more than is allowed, and a batch on a third of a core
LEAVING, STAYING = SIDS[1], SIDS[2]
WAYS = ["close", "half-close", "reset", "give-up", "give-up on another connection", "give-up on a new connection"]


class Attempts:
    """When each attempt's last byte was sent."""

    def __init__(self, loop: SteppedLoop, monkeypatch: pytest.MonkeyPatch) -> None:
        self.sent: list[tuple[str, float]] = []
        real = EpollSock.send

        def send(sock: EpollSock, data: bytes | memoryview) -> int:
            took = real(sock, data)
            for line in bytes(data[:took]).split(b"\n")[:-1]:
                if line.startswith(b'{"msg":"open"'):
                    [found] = jsonl.Decoder().feed(line + b"\n")
                    self.sent.append((found.sid, loop.time))
            return took

        monkeypatch.setattr(EpollSock, "send", send)

    def times(self, sid: str) -> list[float]:
        return [at for name, at in self.sent if name == sid]

    def late(self, sid: str, left_at: float) -> list[float]:
        """How long after the client had left, where that was too long."""
        return [at - left_at for at in self.times(sid) if at > left_at + ALLOWED_MS]


class Client:
    """A client with two connections that have been read, and how it leaves."""

    def __init__(self, platform: Platform, loop: SteppedLoop, way: str) -> None:
        self.platform, self.loop, self.way = platform, loop, way
        self.own, self.other = Raw(platform), Raw(platform)
        self.new: socket.socket | None = None
        self.left_at: float | None = None

    def known(self) -> Co[None]:
        """Both connections have been taken and read."""
        for raw, sid in ((self.own, SIDS[390]), (self.other, SIDS[391])):
            raw.send(setup(sid, FIGURES=OTHER))
            assert (yield from raw.message()).kind == Kind.ANSWER

    def ask(self, sid: str = LEAVING) -> None:
        self.own.send(setup(sid))

    def leave(self) -> None:
        """Leave; it lies in the placer's kernel when this returns. What the placer does next takes ``BUSY_MS``."""
        owners = self.platform.service.owners
        fd = self.own.taken(self.platform).transport._sock.fd  # type: ignore[attr-defined]
        if self.way == "close":
            self.own.close()
        elif self.way == "half-close":
            self.own.half_close()
        elif self.way == "reset":
            self.own.reset()
        elif self.way == "give-up":
            self.own.send(release(LEAVING))
        elif self.way == "give-up on another connection":
            fd = self.other.taken(self.platform).transport._sock.fd  # type: ignore[attr-defined]
            self.other.send(release(LEAVING))
        else:
            fd = owners._acceptor._listener.fd  # type: ignore[attr-defined]
            self.new = socket.create_connection(self.platform.service.config.listen)
            self.new.send(release(LEAVING))
        wait_until_readable(fd)
        self.left_at = self.loop.time
        self.loop.time += BUSY_MS

    def close(self) -> None:
        for sock in (self.own.sock, self.other.sock, self.new):
            if sock is not None:
                sock.close()


def at_its_offer(platform: Platform, sid: str, number: int, call: Callable[[], None]) -> None:
    """Call it once the module has decided on the task's ``number``-th attempt, before that is carried out."""
    seen: list[i.Offer] = []

    def act(events: list[i.Event], actions: list[i.Action]) -> None:
        mine = [
            action
            for action in actions
            if isinstance(action, i.Offer)
            and (entry := platform.service.tasks.ledger.by_request(action.request)) is not None
            and entry.name == sid
        ]
        if len(seen) < number <= len(seen) + len(mine):
            call()
        seen.extend(mine)

    deciding(platform, act)


# Where the request waits when its client leaves; each returns once that has happened


def first_attempt(platform: Platform, host: Host, client: Client, monkeypatch: pytest.MonkeyPatch) -> Co[None]:
    at_its_offer(platform, LEAVING, 1, client.leave)
    client.ask()
    yield from wait_for(lambda: client.left_at is not None)


def in_the_queue(platform: Platform, host: Host, client: Client, monkeypatch: pytest.MonkeyPatch) -> Co[None]:
    """Behind others, one a batch, each of which costs as much."""
    monkeypatch.setattr(tasks, "MAX_NEW_TASKS_PER_BATCH", 1)
    at_its_offer(platform, LEAVING, 1, client.leave)
    client.other.send(b"".join(setup(sid, FIGURES=OTHER) for sid in SIDS[300:304]))
    client.ask()
    yield from wait_for(lambda: client.left_at is not None)


def next_attempt(platform: Platform, host: Host, client: Client, monkeypatch: pytest.MonkeyPatch) -> Co[None]:
    """The first one has been refused."""
    host.on_open = lambda link, line: link.send(MessageType.CLOSE, line.sid, code=102)
    at_its_offer(platform, LEAVING, 2, client.leave)
    client.ask()
    yield from wait_for(lambda: client.left_at is not None)


def refused_in_one_wake_up(platform: Platform, host: Host, client: Client, monkeypatch: pytest.MonkeyPatch) -> Co[None]:
    """The host's refusal is read first, the client's end lies right behind it."""

    def refuse(link: Link, line: jsonl.Line) -> None:
        if client.left_at is not None:
            return
        link.send(MessageType.CLOSE, line.sid, code=102)
        link.transport.flush()
        [ours] = [mine for mine in platform.service.hosts.hosts["s-1"].links if LEAVING in mine.open]
        wait_until_readable(ours.transport._sock.fd)  # type: ignore[attr-defined]
        client.leave()

    host.on_open = refuse
    client.ask()
    yield from wait_for(lambda: client.left_at is not None)


def at_an_answer(platform: Platform, sid: str, call: Callable[[], None]) -> None:
    """Call it once a host has answered that task, before what waits for its connection is looked at."""
    real = platform.service.tasks.handle_answer

    def answered(attempt: Attempt, line: jsonl.Line) -> None:
        real(attempt, line)
        if attempt.sid == sid:
            call()

    platform.service.tasks.handle_answer = answered  # type: ignore[method-assign]


def for_a_connection(platform: Platform, host: Host, client: Client, monkeypatch: pytest.MonkeyPatch) -> Co[None]:
    """There may be no more to its host, and on none of them can be written: half a line has come there."""
    platform.service.hosts._descriptors.guaranteed_share = 2
    busy, halves = SIDS[310:312], list[tuple[Link, bytes]]()

    def half(link: Link, line: jsonl.Line) -> None:
        whole = jsonl.encode(MessageType.READY, line.sid, None, None, jsonl.quoted("x"))
        link.transport.write(whole[:9])
        halves.append((link, whole[9:]))

    host.on_open = half
    for sid in busy:
        client.other.send(setup(sid, FIGURES=OTHER))
    ours = platform.service.hosts.hosts["s-1"]
    yield from wait_for(lambda: len(halves) == 2 and all(link.decoder.buffered_bytes for link in ours.links))
    host.on_open = lambda link, line: None
    client.ask()
    yield from wait_for(lambda: len(ours.waiting) == 1)
    at_an_answer(platform, busy[0], client.leave)
    for link, rest in halves:
        link.transport.write(rest)
    yield from wait_for(lambda: client.left_at is not None)


def for_a_descriptor(platform: Platform, host: Host, client: Client, monkeypatch: pytest.MonkeyPatch) -> Co[None]:
    """The one connection to its host is taken, and there is no descriptor for another."""
    taken: list[tuple[Link, str]] = []
    host.on_open = lambda link, line: taken.append((link, line.sid))
    client.other.send(setup(SIDS[310], FIGURES=OTHER))
    yield from wait_for(lambda: taken)
    monkeypatch.setattr(platform.service.hosts, "_descriptors", Descriptors(0, lambda: 0))
    ours = platform.service.hosts.hosts["s-1"]
    for idle in [link for link in ours.links if not link.open]:
        platform.service.hosts._end(ours, idle, "idle")
    client.ask()
    yield from wait_for(lambda: len(ours.waiting) == 1)
    at_an_answer(platform, SIDS[310], client.leave)
    [(link, sid)] = taken
    link.send(MessageType.READY, sid, text="x")
    yield from wait_for(lambda: client.left_at is not None)


def for_a_dial(
    platform: Platform, host: Host, client: Client, monkeypatch: pytest.MonkeyPatch, dial_ms: float = 50.0
) -> Co[None]:
    """There is no connection to its host; one comes up, and the client has just left."""
    ours, real, dial = platform.service.hosts.hosts["s-1"], HostLink, connect

    def link_made(*args: Any) -> HostLink:
        if client.left_at is None and ours.waiting:
            client.leave()
        return real(*args)

    def dialled(*args: Any) -> Co[Transport]:
        yield from sleep(dial_ms)
        return (yield from dial(*args))

    monkeypatch.setattr(hosts, "HostLink", link_made)
    monkeypatch.setattr(hosts, "connect", dialled)
    for link in list(ours.links):
        platform.service.hosts._end(ours, link, "idle")
    client.ask()
    yield from wait_for(lambda: client.left_at is not None)


def for_a_late_dial(platform: Platform, host: Host, client: Client, monkeypatch: pytest.MonkeyPatch) -> Co[None]:
    """Likewise, half a second later."""
    yield from for_a_dial(platform, host, client, monkeypatch, dial_ms=500.0)


WAITS = [
    first_attempt, in_the_queue, next_attempt, refused_in_one_wake_up, for_a_connection, for_a_descriptor, for_a_dial,
    for_a_late_dial,
]  # fmt: skip


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("waits", WAITS, ids=lambda waits: waits.__name__)
def test_no_attempt_is_sent_for_a_client_that_left(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, waits: Callable[..., Co[None]], way: str
) -> None:
    loop = SteppedLoop()
    attempts = Attempts(loop, monkeypatch)

    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start(settings=patient())
        staying = yield from warm(platform, SIDS[0])
        client = Client(platform, loop, way)
        yield from client.known()
        yield from waits(platform, host, client, monkeypatch)
        assert client.left_at is not None
        yield from wait_for(lambda: platform.service.counters["given_up"] == 1)
        yield from sleep(300)
        assert not attempts.late(LEAVING, client.left_at)
        assert not platform.service.hosts.hosts["s-1"].waiting
        assert not any(LEAVING in link.open for link in platform.service.owners.links)
        host.on_open = lambda link, line: link.send(MessageType.READY, line.sid, text="x")
        staying.transport.write(setup(STAYING))
        yield from wait_for_message(staying, STAYING, Kind.ANSWER)
        client.close()

    run_on_platform(tmp_path, body, loop)


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("waits", [next_attempt, for_a_late_dial], ids=lambda waits: waits.__name__)
def test_a_process_that_is_to_end_sends_nothing_for_a_client_that_left(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, waits: Callable[..., Co[None]], way: str
) -> None:
    loop = SteppedLoop()
    attempts = Attempts(loop, monkeypatch)

    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start(settings=patient())
        yield from warm(platform, SIDS[0])
        client = Client(platform, loop, way)
        yield from client.known()
        platform.service.begin_shutdown()
        yield from waits(platform, host, client, monkeypatch)
        assert client.left_at is not None
        yield from wait_for(lambda: platform.service.finished, 10_000)
        assert not attempts.late(LEAVING, client.left_at) and platform.service.counters["given_up"] == 1
        client.close()

    run_on_platform(tmp_path, body, loop)


# What a look must reach


def placed_while(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    busy: Callable[[Platform, Client], None],
    prepare: Callable[[Platform], Co[None]] | None = None,
    sockets: int = 1024,
) -> None:
    """``busy`` happens between the decision on a client's request and the wire, and has the client give it up: nothing may
    be sent for it, and what comes afterwards is served."""
    loop = SteppedLoop()
    attempts = Attempts(loop, monkeypatch)

    def body(platform: Platform) -> Co[None]:
        platform.host("s-1")
        platform.start(settings=patient(), limits={"cores": 1.0, "memory_mb": 64, "sockets": sockets})
        staying = yield from warm(platform, SIDS[0])
        client = Client(platform, loop, "give-up on another connection")
        yield from client.known()
        if prepare is not None:
            yield from prepare(platform)
        at_its_offer(platform, LEAVING, 1, lambda: busy(platform, client))
        client.ask()
        yield from wait_for(lambda: platform.service.counters["given_up"] == 1)
        yield from sleep(300)
        assert client.left_at is not None and not attempts.late(LEAVING, client.left_at)
        staying.transport.write(setup(STAYING))
        yield from wait_for_message(staying, STAYING, Kind.ANSWER)
        client.close()

    run_on_platform(tmp_path, body, loop)


def test_a_give_up_behind_two_thousand_readable_sockets(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """One wait of the system's names 1,023 sockets unless it is asked for more."""
    others: list[Raw] = []

    def prepare(platform: Platform) -> Co[None]:
        for _ in range(40):
            others.extend(Raw(platform) for _ in range(50))
            yield from sleep(2)
        yield from wait_for(lambda: len(platform.service.owners.links) > 2000)

    def busy(platform: Platform, client: Client) -> None:
        for n, raw in enumerate(others):
            raw.send(binary.encode(Kind.TEST, f"{n:016x}", [(Code.CAUSE, b"\0")]))
        client.leave()

    placed_while(tmp_path, monkeypatch, busy, prepare, sockets=8192)
    for raw in others:
        raw.close()


def test_a_give_up_on_the_last_of_two_hundred_new_connections(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    newcomers: list[Raw] = []

    def busy(platform: Platform, client: Client) -> None:
        newcomers.extend(Raw(platform) for _ in range(200))
        client.way = "give-up on a new connection"
        client.leave()

    placed_while(tmp_path, monkeypatch, busy)
    for raw in newcomers:
        raw.close()


@pytest.mark.parametrize("way", ["close", "half-close", "reset"])
def test_an_end_that_lies_behind_other_bytes(tmp_path: Path, monkeypatch: pytest.MonkeyPatch, way: str) -> None:
    """One read takes the bytes, and only the next one finds the end."""

    def busy(platform: Platform, client: Client) -> None:
        client.way = way
        client.own.send(binary.encode(Kind.TEST, "0" * 16, [(Code.CAUSE, b"\0")]))
        client.leave()

    placed_while(tmp_path, monkeypatch, busy)


def filler() -> bytes:
    """More than one read takes, in messages that mean nothing."""
    parameters = [(Code.CAUSE, bytes([16])), (Code.DESCRIPTION, bytes(15_000))]
    return b"".join(binary.encode(Kind.RELEASE, sid, parameters) for sid in SIDS[200:206])


@pytest.mark.parametrize("own", [True, False])
def test_a_give_up_that_lies_deeper_than_one_read_reaches(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, own: bool
) -> None:
    """Also where the connection is another one of that client's: it waits until that has been read."""

    def busy(platform: Platform, client: Client) -> None:
        raw = client.own if own else client.other
        sock = raw.taken(platform).transport._sock._sock  # type: ignore[attr-defined]
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        data = filler() + release(LEAVING)
        raw.sock.setblocking(True)
        raw.sock.sendall(data)
        raw.sock.setblocking(False)
        wait_for_buffered_bytes(sock, len(data))
        client.left_at = platform.loop.now()
        assert isinstance(platform.loop, SteppedLoop)
        platform.loop.time += BUSY_MS

    placed_while(tmp_path, monkeypatch, busy)


def test_a_client_with_much_unread_holds_nobody_elses_attempts(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A connection has its part of each turn, and only what its own client asked for waits for the rest."""
    loop = SteppedLoop()
    attempts = Attempts(loop, monkeypatch)

    def body(platform: Platform) -> Co[None]:
        platform.host("s-1")
        platform.start(settings=patient())
        yield from warm(platform, SIDS[0])
        client = Client(platform, loop, "give-up")
        yield from client.known()
        loud = client.other.taken(platform)
        loud.owner_address = "127.0.0.2"  # as if it called from another host
        rest, reads, take = bytearray(), [0], loud.transport.on_data

        def flood(data: bytes = b"") -> None:
            """Each read takes longer than a look may be old, and then there is more."""
            take(data)
            reads[0] += 1
            loop.time += dispatch.POLL_AGE_MAX_MS + 1.0
            rest.extend(b"" if rest else filler())
            with contextlib.suppress(BlockingIOError):
                del rest[: client.other.sock.send(rest)]

        loud.transport.on_data = flood
        flood()
        client.ask()
        yield from wait_for(lambda: attempts.times(LEAVING))
        assert reads[0] > 1
        loud.transport.on_data = take
        client.close()

    run_on_platform(tmp_path, body, loop)


def test_a_give_up_on_a_connection_that_we_are_closing(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def busy(platform: Platform, client: Client) -> None:
        link = client.other.taken(platform)
        fd = link.transport._sock.fd  # type: ignore[attr-defined]
        platform.service.owners.disconnect(link, "idle")
        client.other.send(release(LEAVING))
        wait_until_readable(fd)
        client.left_at = platform.loop.now()
        assert isinstance(platform.loop, SteppedLoop)
        platform.loop.time += BUSY_MS

    placed_while(tmp_path, monkeypatch, busy)


# How old a look may be


def shared_connections(platform: Platform) -> Co[None]:
    """A host to which there are two connections, and may be no more: all attempts of a batch are sent at once."""
    host = platform.host("s-1")
    platform.start(settings=patient())
    platform.service.hosts._descriptors.guaranteed_share = 2
    owner = yield from platform.owner()
    host.on_open = lambda link, line: None
    for sid in SIDS[350:352]:
        owner.transport.write(setup(sid))
    yield from wait_for(lambda: len(opened(host)) == 2)
    host.on_open = lambda link, line: link.send(MessageType.READY, line.sid, text="x")
    for link in host.links:
        link.send(MessageType.READY, link.received[0].sid, text="x")
    for sid in SIDS[350:352]:
        yield from wait_for_message(owner, sid, Kind.ANSWER)


def test_what_comes_during_a_long_look_is_read_by_another(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    noise: list[Raw] = []

    def prepare(platform: Platform) -> Co[None]:
        noise.append(Raw(platform))
        yield from wait_for(lambda: len(platform.service.owners.links) == 4)

    def busy(platform: Platform, client: Client) -> None:
        assert isinstance(platform.loop, SteppedLoop)

        def reading() -> None:
            platform.loop.on_read = lambda: None  # type: ignore[attr-defined]
            client.leave()

        platform.loop.on_read = reading
        noise[0].send(binary.encode(Kind.TEST, "0" * 16, [(Code.CAUSE, b"\0")]))
        wait_until_readable(noise[0].taken(platform).transport._sock.fd)  # type: ignore[attr-defined]

    placed_while(tmp_path, monkeypatch, busy, prepare)
    noise[0].close()


@pytest.mark.parametrize("way", WAYS)
def test_attempts_that_are_sent_one_after_another(tmp_path: Path, monkeypatch: pytest.MonkeyPatch, way: str) -> None:
    """The least worth of a batch, and so the last, leaves while the first is sent."""
    loop = SteppedLoop()
    attempts = Attempts(loop, monkeypatch)

    def body(platform: Platform) -> Co[None]:
        yield from shared_connections(platform)
        client = Client(platform, loop, way)
        yield from client.known()
        ours = platform.service.hosts
        real = ours._write

        def write(host: HostState, link: HostLink, attempt: Attempt) -> None:
            real(host, link, attempt)
            if client.left_at is None and attempt.sid in SIDS[320:323]:
                assert not attempts.times(LEAVING), "it is not the first one"
                client.leave()

        ours._write = write  # type: ignore[method-assign]
        client.other.send(b"".join(setup(sid, CLASS="bill", KEY=sid) for sid in SIDS[320:323]))
        client.ask()
        yield from wait_for(lambda: platform.service.counters["given_up"] == 1)
        yield from sleep(300)
        assert client.left_at is not None and not attempts.late(LEAVING, client.left_at)
        client.close()

    run_on_platform(tmp_path, body, loop)


def test_no_decision_comes_between_the_look_and_the_wire(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Of two in a batch the first is found to have left, of which the module is told in the same turn. That takes as long as
    a batch, and the second one leaves at its beginning."""
    loop = SteppedLoop()
    attempts = Attempts(loop, monkeypatch)

    def body(platform: Platform) -> Co[None]:
        yield from shared_connections(platform)
        client, gone, closed = Client(platform, loop, "give-up on another connection"), Raw(platform), list[bool]()
        yield from client.known()
        yield from wait_for(lambda: len(platform.service.owners.links) == 4)

        def act(events: list[i.Event], actions: list[i.Action]) -> None:
            if not closed and sum(isinstance(action, i.Offer) for action in actions) == 2:
                closed.append(True)
                fd = gone.taken(platform).transport._sock.fd  # type: ignore[attr-defined]
                gone.close()
                wait_until_readable(fd)
            elif any(isinstance(event, i.RequestAbandoned) for event in events) and client.left_at is None:
                client.leave()

        deciding(platform, act)
        gone.send(setup(SIDS[331]))
        client.ask()
        yield from wait_for(lambda: client.left_at is not None)
        yield from sleep(300)
        assert client.left_at is not None and not attempts.late(LEAVING, client.left_at)
        assert not attempts.times(SIDS[331]) and len(attempts.times(LEAVING)) == 1
        client.close()

    run_on_platform(tmp_path, body, loop)


def test_while_reading_takes_all_time_nothing_is_sent(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Each read takes longer than a look may be old, and there is always more to read: a give-up might lie behind it."""
    loop = SteppedLoop()
    attempts = Attempts(loop, monkeypatch)

    def body(platform: Platform) -> Co[None]:
        platform.host("s-1")
        platform.start(settings=patient())
        yield from warm(platform, SIDS[0])
        client, noise = Client(platform, loop, "give-up"), Raw(platform)
        yield from client.known()
        test = binary.encode(Kind.TEST, "0" * 16, [(Code.CAUSE, b"\0")])

        def reading() -> None:
            loop.time += dispatch.POLL_AGE_MAX_MS + 1.0
            noise.send(test)

        client.ask()
        noise.send(test)
        loop.on_read = reading
        yield from wait_for(lambda: platform.service.counters["dispatch_held"] >= 3)
        assert not attempts.times(LEAVING)
        loop.on_read = lambda: None
        yield from wait_for(lambda: attempts.times(LEAVING))
        noise.close()
        client.close()

    run_on_platform(tmp_path, body, loop)


# What goes out as before


def test_a_dial_that_fails_during_the_look_ends_nothing_that_can_be_written(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    loop = SteppedLoop()
    attempts = Attempts(loop, monkeypatch)

    def body(platform: Platform) -> Co[None]:
        platform.host("s-1")
        platform.start(settings=patient())
        owner = yield from warm(platform, SIDS[0])
        ours, poll_until_fresh, failed = platform.service.hosts.hosts["s-1"], loop.poll_until_fresh, list[bool]()

        def look(most_ms: float) -> bool:
            if ours.waiting and not failed:
                failed.append(True)
                platform.service.hosts._not_connected(ours, OSError("no way there"), loop.wall())
            return poll_until_fresh(most_ms)

        loop.poll_until_fresh = look  # type: ignore[method-assign]
        owner.transport.write(setup(LEAVING))
        yield from wait_for_message(owner, LEAVING, Kind.ANSWER)
        assert failed and len(attempts.times(LEAVING)) == 1
        assert not platform.service.counters["ended_connect_failed"]

    run_on_platform(tmp_path, body, loop)


def test_a_connection_on_which_a_health_check_was_just_written_is_used(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start(settings=patient())
        owner = yield from warm(platform, SIDS[0])
        known = platform.service.hosts.hosts["s-1"]
        [link] = known.links
        at_its_offer(platform, LEAVING, 1, lambda: platform.service.hosts._health.check(known, link))
        owner.transport.write(setup(LEAVING))
        yield from wait_for_message(owner, LEAVING, Kind.ANSWER)
        assert len(host.links) == 1 and opened(host) == [SIDS[0], LEAVING]

    run_on_platform(tmp_path, body, SteppedLoop())
