"""Clients that leave: no attempt is sent later than 50 ms after the kernel received the client's bytes; 100 ms are allowed.

Time is simulated (:mod:`tests.node.stepped_loop`): a decision or a read takes as long as the test says, on any machine.
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
from sprucepost.node import binary, dispatch, hosts, jsonl, new_tasks
from sprucepost.node.attempt import Attempt
from sprucepost.node.binary import Code, Kind
from sprucepost.node.descriptors import Descriptors
from sprucepost.node.host import Host as HostState
from sprucepost.node.host import HostLink
from sprucepost.node.jsonl import MessageType
from tests.node.platform import Host, Link, Platform, run_on_platform, setup, wait_for_message
from tests.node.stepped_loop import SteppedLoop, wait_for_buffered_bytes, wait_until_readable
from tests.node.test_crossings import (
    OTHER_SERVICE_FIGURES,
    SIDS,
    RawOwner,
    after_each_decision,
    offered_sids,
    patient,
    release,
    warm,
)
from tests.wire.support import wait_for

MAX_DELAY_MS = 50.0  # from the client's bytes in the placer's kernel to an attempt's bytes
BUSY_MS = 60.0  # how long the placer is busy meanwhile: over the limit, and as long as a batch on a third of a core
LEAVING_SID, STAYING_SID = SIDS[1], SIDS[2]
WAYS_TO_LEAVE = ["close", "half-close", "reset", "cancel", "cancel on another connection", "cancel on a new connection"]


class AttemptRecorder:
    """Records when the last byte of each attempt was sent."""

    def __init__(self, loop: SteppedLoop, monkeypatch: pytest.MonkeyPatch) -> None:
        self.sent: list[tuple[str, float]] = []
        original = EpollSock.send

        def send(sock: EpollSock, data: bytes | memoryview) -> int:
            written = original(sock, data)
            for line in bytes(data[:written]).split(b"\n")[:-1]:
                if line.startswith(b'{"msg":"open"'):
                    [found] = jsonl.Decoder().feed(line + b"\n")
                    self.sent.append((found.sid, loop.time))
            return written

        monkeypatch.setattr(EpollSock, "send", send)

    def times(self, sid: str) -> list[float]:
        """Return when each attempt of that task was sent, in ms."""
        return [at for name, at in self.sent if name == sid]

    def late(self, sid: str, left_at: float) -> list[float]:
        """Return the delays, in ms, of attempts that were sent too late after the client had left."""
        return [at - left_at for at in self.times(sid) if at > left_at + MAX_DELAY_MS]


class Client:
    """A client with two connections, and the way in which it leaves."""

    def __init__(self, platform: Platform, loop: SteppedLoop, how: str) -> None:
        self.platform, self.loop, self.how = platform, loop, how
        self.own, self.other = RawOwner(platform), RawOwner(platform)
        self.new: socket.socket | None = None
        self.left_at: float | None = None

    def connect_and_place(self) -> Co[None]:
        """Place a task on each connection, so that the placer has accepted and read both."""
        for raw, sid in ((self.own, SIDS[390]), (self.other, SIDS[391])):
            raw.send(setup(sid, FIGURES=OTHER_SERVICE_FIGURES))
            assert (yield from raw.next_message()).kind == Kind.ANSWER

    def send_set_up(self, sid: str = LEAVING_SID) -> None:
        self.own.send(setup(sid))

    def leave(self) -> None:
        """Leave; the placer's kernel has received it when this returns, and the placer is then busy for ``BUSY_MS``."""
        owners = self.platform.service.owners
        fd = self.own.placer_link(self.platform).transport._sock.fd  # type: ignore[attr-defined]
        if self.how == "close":
            self.own.close()
        elif self.how == "half-close":
            self.own.half_close()
        elif self.how == "reset":
            self.own.reset()
        elif self.how == "cancel":
            self.own.send(release(LEAVING_SID))
        elif self.how == "cancel on another connection":
            fd = self.other.placer_link(self.platform).transport._sock.fd  # type: ignore[attr-defined]
            self.other.send(release(LEAVING_SID))
        else:
            fd = owners._acceptor._listener.fd  # type: ignore[attr-defined]
            self.new = socket.create_connection(self.platform.service.config.listen)
            self.new.send(release(LEAVING_SID))
        wait_until_readable(fd)
        self.left_at = self.loop.time
        self.loop.time += BUSY_MS

    def close(self) -> None:
        for sock in (self.own.sock, self.other.sock, self.new):
            if sock is not None:
                sock.close()


def call_at_offer(platform: Platform, sid: str, number: int, call: Callable[[], None]) -> None:
    """Call ``call`` once the scheduler has decided on the task's ``number``-th attempt, before that is sent."""
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

    after_each_decision(platform, act)


# States in which the request waits when its client leaves; each function returns once the client has left


def first_attempt(platform: Platform, host: Host, client: Client, monkeypatch: pytest.MonkeyPatch) -> Co[None]:
    call_at_offer(platform, LEAVING_SID, 1, client.leave)
    client.send_set_up()
    yield from wait_for(lambda: client.left_at is not None)


def queued(platform: Platform, host: Host, client: Client, monkeypatch: pytest.MonkeyPatch) -> Co[None]:
    """The request is queued behind others, one of which is handled in each batch."""
    monkeypatch.setattr(new_tasks, "MAX_NEW_TASKS_PER_BATCH", 1)
    call_at_offer(platform, LEAVING_SID, 1, client.leave)
    client.other.send(b"".join(setup(sid, FIGURES=OTHER_SERVICE_FIGURES) for sid in SIDS[300:304]))
    client.send_set_up()
    yield from wait_for(lambda: client.left_at is not None)


def next_attempt(platform: Platform, host: Host, client: Client, monkeypatch: pytest.MonkeyPatch) -> Co[None]:
    """The first attempt has been refused."""
    host.on_open = lambda link, line: link.send(MessageType.CLOSE, line.sid, code=102)
    call_at_offer(platform, LEAVING_SID, 2, client.leave)
    client.send_set_up()
    yield from wait_for(lambda: client.left_at is not None)


def refused_in_one_turn(platform: Platform, host: Host, client: Client, monkeypatch: pytest.MonkeyPatch) -> Co[None]:
    """The host's refusal is read first, and the client's leaving in the same turn."""

    def refuse(link: Link, line: jsonl.Line) -> None:
        if client.left_at is not None:
            return
        link.send(MessageType.CLOSE, line.sid, code=102)
        link.transport.flush()
        [our_link] = [
            candidate for candidate in platform.service.hosts.hosts["s-1"].links if LEAVING_SID in candidate.open
        ]
        wait_until_readable(our_link.transport._sock.fd)  # type: ignore[attr-defined]
        client.leave()

    host.on_open = refuse
    client.send_set_up()
    yield from wait_for(lambda: client.left_at is not None)


def call_after_answer(platform: Platform, sid: str, call: Callable[[], None]) -> None:
    """Call ``call`` once a host has answered that task, before requests that wait for its connection are served."""
    original = platform.service.tasks.handle_answer

    def answered(attempt: Attempt, line: jsonl.Line) -> None:
        original(attempt, line)
        if attempt.sid == sid:
            call()

    platform.service.tasks.handle_answer = answered  # type: ignore[method-assign]


def waiting_for_connection(platform: Platform, host: Host, client: Client, monkeypatch: pytest.MonkeyPatch) -> Co[None]:
    """The host has its maximum of connections, and none can be used: on each, half an answer has arrived."""
    platform.service.hosts._descriptors.guaranteed_share = 2
    busy, half_answers = SIDS[310:312], list[tuple[Link, bytes]]()

    def send_half_answer(link: Link, line: jsonl.Line) -> None:
        whole = jsonl.encode(MessageType.READY, line.sid, None, None, jsonl.quoted("x"))
        link.transport.write(whole[:9])
        half_answers.append((link, whole[9:]))

    host.on_open = send_half_answer
    for sid in busy:
        client.other.send(setup(sid, FIGURES=OTHER_SERVICE_FIGURES))
    known_host = platform.service.hosts.hosts["s-1"]
    yield from wait_for(
        lambda: len(half_answers) == 2 and all(link.decoder.buffered_bytes for link in known_host.links)
    )
    host.on_open = lambda link, line: None
    client.send_set_up()
    yield from wait_for(lambda: len(known_host.waiting) == 1)
    call_after_answer(platform, busy[0], client.leave)
    for link, rest in half_answers:
        link.transport.write(rest)
    yield from wait_for(lambda: client.left_at is not None)


def waiting_for_descriptor(platform: Platform, host: Host, client: Client, monkeypatch: pytest.MonkeyPatch) -> Co[None]:
    """The only connection to the host is in use, and there is no descriptor for another."""
    unanswered: list[tuple[Link, str]] = []
    host.on_open = lambda link, line: unanswered.append((link, line.sid))
    client.other.send(setup(SIDS[310], FIGURES=OTHER_SERVICE_FIGURES))
    yield from wait_for(lambda: unanswered)
    monkeypatch.setattr(platform.service.hosts, "_descriptors", Descriptors(0, lambda: 0))
    known_host = platform.service.hosts.hosts["s-1"]
    for idle in [link for link in known_host.links if not link.open]:
        platform.service.hosts.end(known_host, idle, "idle")
    client.send_set_up()
    yield from wait_for(lambda: len(known_host.waiting) == 1)
    call_after_answer(platform, SIDS[310], client.leave)
    [(link, sid)] = unanswered
    link.send(MessageType.READY, sid, text="x")
    yield from wait_for(lambda: client.left_at is not None)


def waiting_for_dial(
    platform: Platform, host: Host, client: Client, monkeypatch: pytest.MonkeyPatch, dial_ms: float = 50.0
) -> Co[None]:
    """There is no connection to the host; the client leaves just before one is established."""
    known_host, original, dial = platform.service.hosts.hosts["s-1"], HostLink, connect

    def make_link(*args: Any) -> HostLink:
        if client.left_at is None and known_host.waiting:
            client.leave()
        return original(*args)

    def slow_connect(*args: Any) -> Co[Transport]:
        yield from sleep(dial_ms)
        return (yield from dial(*args))

    monkeypatch.setattr(hosts, "HostLink", make_link)
    monkeypatch.setattr(hosts, "connect", slow_connect)
    for link in list(known_host.links):
        platform.service.hosts.end(known_host, link, "idle")
    client.send_set_up()
    yield from wait_for(lambda: client.left_at is not None)


def waiting_for_slow_dial(platform: Platform, host: Host, client: Client, monkeypatch: pytest.MonkeyPatch) -> Co[None]:
    """Like :func:`waiting_for_dial`, with a dial that takes half a second."""
    yield from waiting_for_dial(platform, host, client, monkeypatch, dial_ms=500.0)


WAITING_STATES = [
    first_attempt, queued, next_attempt, refused_in_one_turn, waiting_for_connection, waiting_for_descriptor,
    waiting_for_dial, waiting_for_slow_dial,
]  # fmt: skip


@pytest.mark.parametrize("how", WAYS_TO_LEAVE)
@pytest.mark.parametrize("wait_state", WAITING_STATES, ids=lambda wait_state: wait_state.__name__)
def test_no_attempt_is_sent_for_a_client_that_left(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, wait_state: Callable[..., Co[None]], how: str
) -> None:
    loop = SteppedLoop()
    attempts = AttemptRecorder(loop, monkeypatch)

    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start(settings=patient())
        staying = yield from warm(platform, SIDS[0])
        client = Client(platform, loop, how)
        yield from client.connect_and_place()
        yield from wait_state(platform, host, client, monkeypatch)
        assert client.left_at is not None
        yield from wait_for(lambda: platform.service.counters["given_up"] == 1)
        yield from sleep(300)
        assert not attempts.late(LEAVING_SID, client.left_at)
        assert not platform.service.hosts.hosts["s-1"].waiting
        assert not any(LEAVING_SID in link.open for link in platform.service.owners.links)
        host.on_open = lambda link, line: link.send(MessageType.READY, line.sid, text="x")
        staying.transport.write(setup(STAYING_SID))
        yield from wait_for_message(staying, STAYING_SID, Kind.ANSWER)
        client.close()

    run_on_platform(tmp_path, body, loop)


@pytest.mark.parametrize("how", WAYS_TO_LEAVE)
@pytest.mark.parametrize(
    "wait_state", [next_attempt, waiting_for_slow_dial], ids=lambda wait_state: wait_state.__name__
)
def test_no_attempt_is_sent_during_shutdown_for_a_client_that_left(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, wait_state: Callable[..., Co[None]], how: str
) -> None:
    loop = SteppedLoop()
    attempts = AttemptRecorder(loop, monkeypatch)

    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start(settings=patient())
        yield from warm(platform, SIDS[0])
        client = Client(platform, loop, how)
        yield from client.connect_and_place()
        platform.service.begin_shutdown()
        yield from wait_state(platform, host, client, monkeypatch)
        assert client.left_at is not None
        yield from wait_for(lambda: platform.service.finished, 10_000)
        assert not attempts.late(LEAVING_SID, client.left_at) and platform.service.counters["given_up"] == 1
        client.close()

    run_on_platform(tmp_path, body, loop)


# What a poll of the sockets must reach


def run_while_busy(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    busy: Callable[[Platform, Client], None],
    prepare: Callable[[Platform], Co[None]] | None = None,
    sockets: int = 1024,
) -> None:
    """Call ``busy`` between the decision on a client's request and its sending, and check that no attempt is sent late.

    ``busy`` has the client leave. A request that another client sends afterwards must be served.
    """
    loop = SteppedLoop()
    attempts = AttemptRecorder(loop, monkeypatch)

    def body(platform: Platform) -> Co[None]:
        platform.host("s-1")
        platform.start(settings=patient(), limits={"cores": 1.0, "memory_mb": 64, "sockets": sockets})
        staying = yield from warm(platform, SIDS[0])
        client = Client(platform, loop, "cancel on another connection")
        yield from client.connect_and_place()
        if prepare is not None:
            yield from prepare(platform)
        call_at_offer(platform, LEAVING_SID, 1, lambda: busy(platform, client))
        client.send_set_up()
        yield from wait_for(lambda: platform.service.counters["given_up"] == 1)
        yield from sleep(300)
        assert client.left_at is not None and not attempts.late(LEAVING_SID, client.left_at)
        staying.transport.write(setup(STAYING_SID))
        yield from wait_for_message(staying, STAYING_SID, Kind.ANSWER)
        client.close()

    run_on_platform(tmp_path, body, loop)


def test_a_cancellation_behind_two_thousand_readable_sockets(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """One epoll_wait reports at most 1,023 sockets unless the caller asks for more."""
    others: list[RawOwner] = []

    def prepare(platform: Platform) -> Co[None]:
        for _ in range(40):
            others.extend(RawOwner(platform) for _ in range(50))
            yield from sleep(2)
        yield from wait_for(lambda: len(platform.service.owners.links) > 2000)

    def busy(platform: Platform, client: Client) -> None:
        for n, raw in enumerate(others):
            raw.send(binary.encode(Kind.TEST, f"{n:016x}", [(Code.CAUSE, b"\0")]))
        client.leave()

    run_while_busy(tmp_path, monkeypatch, busy, prepare, sockets=8192)
    for raw in others:
        raw.close()


def test_a_cancellation_on_the_last_of_two_hundred_new_connections(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    new_owners: list[RawOwner] = []

    def busy(platform: Platform, client: Client) -> None:
        new_owners.extend(RawOwner(platform) for _ in range(200))
        client.how = "cancel on a new connection"
        client.leave()

    run_while_busy(tmp_path, monkeypatch, busy)
    for raw in new_owners:
        raw.close()


@pytest.mark.parametrize("how", ["close", "half-close", "reset"])
def test_a_connections_end_behind_other_bytes(tmp_path: Path, monkeypatch: pytest.MonkeyPatch, how: str) -> None:
    """The first read takes the bytes, and only the next one finds the end."""

    def busy(platform: Platform, client: Client) -> None:
        client.how = how
        client.own.send(binary.encode(Kind.TEST, "0" * 16, [(Code.CAUSE, b"\0")]))
        client.leave()

    run_while_busy(tmp_path, monkeypatch, busy)


def filler() -> bytes:
    """Return more bytes than one read takes, in releases of unknown tasks."""
    parameters = [(Code.CAUSE, bytes([16])), (Code.DESCRIPTION, bytes(15_000))]
    return b"".join(binary.encode(Kind.RELEASE, sid, parameters) for sid in SIDS[200:206])


@pytest.mark.parametrize("own", [True, False])
def test_a_cancellation_behind_more_bytes_than_one_read_takes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, own: bool
) -> None:
    """The request waits until its client's connections have been read, whichever of them has the cancellation."""

    def busy(platform: Platform, client: Client) -> None:
        raw = client.own if own else client.other
        sock = raw.placer_link(platform).transport._sock._sock  # type: ignore[attr-defined]
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        data = filler() + release(LEAVING_SID)
        raw.sock.setblocking(True)
        raw.sock.sendall(data)
        raw.sock.setblocking(False)
        wait_for_buffered_bytes(sock, len(data))
        client.left_at = platform.loop.now()
        assert isinstance(platform.loop, SteppedLoop)
        platform.loop.time += BUSY_MS

    run_while_busy(tmp_path, monkeypatch, busy)


def test_a_client_with_much_unread_data_delays_no_other_clients_attempts(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A connection is read for a part of each turn; only its own client's requests wait for the rest."""
    loop = SteppedLoop()
    attempts = AttemptRecorder(loop, monkeypatch)

    def body(platform: Platform) -> Co[None]:
        platform.host("s-1")
        platform.start(settings=patient())
        yield from warm(platform, SIDS[0])
        client = Client(platform, loop, "cancel")
        yield from client.connect_and_place()
        flooder = client.other.placer_link(platform)
        flooder.owner_address = "127.0.0.2"  # as if it connected from another host
        rest, read_count, on_data = bytearray(), [0], flooder.transport.on_data

        def flood(data: bytes = b"") -> None:
            """Each read takes longer than the maximum age of a poll, and then there is more to read."""
            on_data(data)
            read_count[0] += 1
            loop.time += dispatch.POLL_AGE_MAX_MS + 1.0
            rest.extend(b"" if rest else filler())
            with contextlib.suppress(BlockingIOError):
                del rest[: client.other.sock.send(rest)]

        flooder.transport.on_data = flood
        flood()
        client.send_set_up()
        yield from wait_for(lambda: attempts.times(LEAVING_SID))
        assert read_count[0] > 1
        flooder.transport.on_data = on_data
        client.close()

    run_on_platform(tmp_path, body, loop)


def test_a_cancellation_on_a_connection_that_the_placer_is_closing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def busy(platform: Platform, client: Client) -> None:
        link = client.other.placer_link(platform)
        fd = link.transport._sock.fd  # type: ignore[attr-defined]
        platform.service.owners.disconnect(link, "idle")
        client.other.send(release(LEAVING_SID))
        wait_until_readable(fd)
        client.left_at = platform.loop.now()
        assert isinstance(platform.loop, SteppedLoop)
        platform.loop.time += BUSY_MS

    run_while_busy(tmp_path, monkeypatch, busy)


# The age of a poll


def start_with_shared_connections(platform: Platform) -> Co[None]:
    """Start with a host at its maximum of two connections: all attempts of a batch are sent at once."""
    host = platform.host("s-1")
    platform.start(settings=patient())
    platform.service.hosts._descriptors.guaranteed_share = 2
    owner = yield from platform.owner()
    host.on_open = lambda link, line: None
    for sid in SIDS[350:352]:
        owner.transport.write(setup(sid))
    yield from wait_for(lambda: len(offered_sids(host)) == 2)
    host.on_open = lambda link, line: link.send(MessageType.READY, line.sid, text="x")
    for link in host.links:
        link.send(MessageType.READY, link.received[0].sid, text="x")
    for sid in SIDS[350:352]:
        yield from wait_for_message(owner, sid, Kind.ANSWER)


def test_data_that_arrives_during_a_long_poll_is_read_by_the_next_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    noisy: list[RawOwner] = []

    def prepare(platform: Platform) -> Co[None]:
        noisy.append(RawOwner(platform))
        yield from wait_for(lambda: len(platform.service.owners.links) == 4)

    def busy(platform: Platform, client: Client) -> None:
        assert isinstance(platform.loop, SteppedLoop)

        def reading() -> None:
            platform.loop.on_read = lambda: None  # type: ignore[attr-defined]
            client.leave()

        platform.loop.on_read = reading
        noisy[0].send(binary.encode(Kind.TEST, "0" * 16, [(Code.CAUSE, b"\0")]))
        wait_until_readable(noisy[0].placer_link(platform).transport._sock.fd)  # type: ignore[attr-defined]

    run_while_busy(tmp_path, monkeypatch, busy, prepare)
    noisy[0].close()


@pytest.mark.parametrize("how", WAYS_TO_LEAVE)
def test_a_client_that_leaves_while_earlier_attempts_of_its_batch_are_sent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, how: str
) -> None:
    """The client of the least worth in a batch, whose attempt is sent last, leaves while the first is sent."""
    loop = SteppedLoop()
    attempts = AttemptRecorder(loop, monkeypatch)

    def body(platform: Platform) -> Co[None]:
        yield from start_with_shared_connections(platform)
        client = Client(platform, loop, how)
        yield from client.connect_and_place()
        our_hosts = platform.service.hosts
        original = our_hosts._write

        def write(host: HostState, link: HostLink, attempt: Attempt) -> None:
            original(host, link, attempt)
            if client.left_at is None and attempt.sid in SIDS[320:323]:
                assert not attempts.times(LEAVING_SID), "its attempt is not the first one"
                client.leave()

        our_hosts._write = write  # type: ignore[method-assign]
        client.other.send(b"".join(setup(sid, CLASS="bill", KEY=sid) for sid in SIDS[320:323]))
        client.send_set_up()
        yield from wait_for(lambda: platform.service.counters["given_up"] == 1)
        yield from sleep(300)
        assert client.left_at is not None and not attempts.late(LEAVING_SID, client.left_at)
        client.close()

    run_on_platform(tmp_path, body, loop)


def test_no_decision_is_made_between_the_poll_and_the_sending(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Of two clients in a batch the first is found to have left, and the scheduler handles this event in the same turn.

    That takes as long as a batch, and the second client leaves at its beginning.
    """
    loop = SteppedLoop()
    attempts = AttemptRecorder(loop, monkeypatch)

    def body(platform: Platform) -> Co[None]:
        yield from start_with_shared_connections(platform)
        client, leaving_first, closed = (
            Client(platform, loop, "cancel on another connection"),
            RawOwner(platform),
            list[bool](),
        )
        yield from client.connect_and_place()
        yield from wait_for(lambda: len(platform.service.owners.links) == 4)

        def act(events: list[i.Event], actions: list[i.Action]) -> None:
            if not closed and sum(isinstance(action, i.Offer) for action in actions) == 2:
                closed.append(True)
                fd = leaving_first.placer_link(platform).transport._sock.fd  # type: ignore[attr-defined]
                leaving_first.close()
                wait_until_readable(fd)
            elif any(isinstance(event, i.RequestAbandoned) for event in events) and client.left_at is None:
                client.leave()

        after_each_decision(platform, act)
        leaving_first.send(setup(SIDS[331]))
        client.send_set_up()
        yield from wait_for(lambda: client.left_at is not None)
        yield from sleep(300)
        assert client.left_at is not None and not attempts.late(LEAVING_SID, client.left_at)
        assert not attempts.times(SIDS[331]) and len(attempts.times(LEAVING_SID)) == 1
        client.close()

    run_on_platform(tmp_path, body, loop)


def test_no_attempt_is_sent_while_reading_never_finishes(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Each read takes longer than the maximum age of a poll, and a cancellation may always follow in unread data."""
    loop = SteppedLoop()
    attempts = AttemptRecorder(loop, monkeypatch)

    def body(platform: Platform) -> Co[None]:
        platform.host("s-1")
        platform.start(settings=patient())
        yield from warm(platform, SIDS[0])
        client, noisy = Client(platform, loop, "cancel"), RawOwner(platform)
        yield from client.connect_and_place()
        test = binary.encode(Kind.TEST, "0" * 16, [(Code.CAUSE, b"\0")])

        def reading() -> None:
            loop.time += dispatch.POLL_AGE_MAX_MS + 1.0
            noisy.send(test)

        client.send_set_up()
        noisy.send(test)
        loop.on_read = reading
        yield from wait_for(lambda: platform.service.counters["dispatch_held"] >= 3)
        assert not attempts.times(LEAVING_SID)
        loop.on_read = lambda: None
        yield from wait_for(lambda: attempts.times(LEAVING_SID))
        noisy.close()
        client.close()

    run_on_platform(tmp_path, body, loop)


# What is sent all the same


def test_a_dial_that_fails_during_the_poll_ends_no_attempt_that_can_be_sent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    loop = SteppedLoop()
    attempts = AttemptRecorder(loop, monkeypatch)

    def body(platform: Platform) -> Co[None]:
        platform.host("s-1")
        platform.start(settings=patient())
        owner = yield from warm(platform, SIDS[0])
        known_host, poll_until_fresh, failed = platform.service.hosts.hosts["s-1"], loop.poll_until_fresh, list[bool]()

        def poll_after_failure(most_ms: float) -> bool:
            if known_host.waiting and not failed:
                failed.append(True)
                platform.service.hosts._not_connected(known_host, OSError("no route to host"), loop.wall())
            return poll_until_fresh(most_ms)

        loop.poll_until_fresh = poll_after_failure  # type: ignore[method-assign]
        owner.transport.write(setup(LEAVING_SID))
        yield from wait_for_message(owner, LEAVING_SID, Kind.ANSWER)
        assert failed and len(attempts.times(LEAVING_SID)) == 1
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
        call_at_offer(platform, LEAVING_SID, 1, lambda: platform.service.hosts._health.check(known, link))
        owner.transport.write(setup(LEAVING_SID))
        yield from wait_for_message(owner, LEAVING_SID, Kind.ANSWER)
        assert len(host.links) == 1 and offered_sids(host) == [SIDS[0], LEAVING_SID]

    run_on_platform(tmp_path, body, SteppedLoop())
