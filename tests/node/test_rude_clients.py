"""Clients that misuse the placer take neither the service of others, nor a connection without end, nor its memory."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from itertools import count
from pathlib import Path

import pytest

from sprucepost.loop import Co, sleep
from sprucepost.node import binary, dispatch, useless_messages
from sprucepost.node.binary import Kind
from tests.node.platform import Platform, run_on_platform, setup
from tests.node.stepped_loop import SteppedLoop
from tests.node.test_clients_that_left import LEAVING_SID, AttemptRecorder, Client
from tests.node.test_crossings import SIDS, patient, release, warm
from tests.node.virtual import LISTEN, Placer, VirtualSock, run_virtual
from tests.wire.support import wait_for

REACTION_LIMIT_MS = 3000.0  # within which every client is owed a refusal, an error or a close
USELESS = binary.encode(Kind.PROGRESS, "5c" * 8)  # means nothing, and is never answered
AT_HOST = "cores:0.01;memory:0.01;service:{service};at:{host}"


def ids() -> Iterator[str]:
    return (f"7e{n:014x}" for n in count(1))


def handed_over(sid: str, host: str = "s-0", service: str = "b4d65521") -> bytes:
    """Return the set-up of a task that this host is said to run."""
    return setup(sid, FIGURES=AT_HOST.format(service=service, host=host), LEFT=None)


class Flooder:
    """A client whose connection always has more to read; each read takes a while."""

    def __init__(self, client: Client, loop: SteppedLoop, first: bytes = b"") -> None:
        self._sock, self._loop, self._rest = client.other.sock, loop, bytearray(first)
        self._link = client.other.placer_link(client.platform)
        self._on_data = self._link.transport.on_data
        self._link.transport.on_data = self._read
        self._send()

    def _read(self, data: bytes) -> None:
        self._on_data(data)
        self._loop.time += dispatch.POLL_AGE_MAX_MS / 5
        self._send()

    def _send(self) -> None:
        with contextlib.suppress(BlockingIOError):
            while True:
                self._rest.extend(b"" if self._rest else USELESS * 2000)
                del self._rest[: self._sock.send(self._rest)]

    def stop(self) -> None:
        self._link.transport.on_data = self._on_data


# Guards against attempts that wait for input that comes after them, from another client at the same address.
def test_a_flood_delays_no_attempt_of_another_client_at_its_address(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(useless_messages, "BURST", 1e9)  # the connection is not ended for what it sends
    loop = SteppedLoop()
    attempts = AttemptRecorder(loop, monkeypatch)

    def body(platform: Platform) -> Co[None]:
        platform.host("s-1")
        platform.start(settings=patient())
        yield from warm(platform, SIDS[0])
        client = Client(platform, loop, "cancel")
        yield from client.connect_and_place()
        flooder = Flooder(client, loop)
        yield from sleep(100)
        sent_at = loop.now()
        client.send_set_up()
        yield from wait_for(lambda: attempts.times(LEAVING_SID), 200)
        assert attempts.times(LEAVING_SID)[0] - sent_at < 100.0
        flooder.stop()
        client.close()

    run_on_platform(tmp_path, body, loop)


# Guards against a host that counts as silent for all clients since one client's flood held back its own attempts.
def test_no_host_is_blamed_for_an_attempt_that_its_owners_flood_holds_back(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(useless_messages, "BURST", 1e9)
    loop = SteppedLoop()

    def body(platform: Platform) -> Co[None]:
        platform.host("s-1")
        platform.start()
        yield from warm(platform, SIDS[0])
        client = Client(platform, loop, "cancel")
        yield from client.connect_and_place()
        flooder = Flooder(client, loop, first=setup(SIDS[1]))
        counters = platform.service.counters
        yield from wait_for(lambda: counters["ended_moot"] + counters["ended_connect_failed"], 2000)
        assert not counters["ended_connect_failed"] and not platform.service.driver.scheduler.machines["s-1"].suspicions
        flooder.stop()
        client.close()

    run_on_platform(tmp_path, body, loop)


# Guards against a connection that is kept although it floods, and against the loss of its open requests.
def test_a_connection_that_floods_is_ended_after_its_open_requests_are_answered(tmp_path: Path) -> None:
    def body(placer: Placer) -> Co[None]:
        numbers = ids()
        floods: list[Callable[[], bytes]] = [
            lambda: USELESS,
            lambda: release(next(numbers)),
            lambda: binary.encode(Kind.TEST, next(numbers)),
            lambda: setup(next(numbers), CLASS="nobody"),
            lambda: setup(sid := next(numbers)) + release(sid),
        ]
        for n, make in enumerate(floods):
            sock = placer.loop.arrive(LISTEN, f"127.0.0.8:{n + 1}", setup(SIDS[n]))
            for _ in range(30):
                sock.inbox.append(b"".join(make() for _ in range(100)))
                yield from sleep(10)
            assert sock.ended and placer.service.counters["owner_useless"] == n + 1
            answers = [message for message in binary.Decoder().feed(bytes(sock.sent)) if message.task == SIDS[n]]
            assert [message.kind for message in answers] == [Kind.RELEASE]

    run_virtual(tmp_path, body)


def _taken_back(number: int) -> Callable[[Placer, VirtualSock], Co[None]]:
    def play(placer: Placer, sock: VirtualSock) -> Co[None]:
        """All set-ups are taken back at once."""
        sock.inbox.append(b"".join(setup(sid) + release(sid) for sid in SIDS[:number]))
        yield from sleep(REACTION_LIMIT_MS)

    return play


def _useless_messages(placer: Placer, sock: VirtualSock) -> Co[None]:
    for _ in range(30):
        sock.inbox.append(USELESS)
        yield from sleep(REACTION_LIMIT_MS / 30)


def _after_a_task(placer: Placer, sock: VirtualSock) -> Co[None]:
    """A task is placed and has ended; after that come messages that mean nothing."""
    sock.inbox.append(handed_over(SIDS[0]) + release(SIDS[0]))
    yield from _useless_messages(placer, sock)


def _released_before(placer: Placer, sock: VirtualSock) -> Co[None]:
    """The id was released on another connection before its set-up comes."""
    placer.loop.arrive(LISTEN, "127.0.0.9:2", release(SIDS[0]))
    yield from sleep(50)
    sock.inbox.append(setup(SIDS[0]))
    yield from sleep(REACTION_LIMIT_MS)


def _alone_at_its_address(placer: Placer, sock: VirtualSock) -> Co[None]:
    """The connection that brought the task of this address has gone."""
    other = placer.loop.arrive(LISTEN, "127.0.0.8:2", handed_over(SIDS[0]))
    yield from sleep(50)
    other.inbox.append(b"")
    yield from _useless_messages(placer, sock)


UNANSWERED = [
    _taken_back(1), _taken_back(300), _useless_messages, _after_a_task, _released_before, _alone_at_its_address,
]  # fmt: skip


# Guards against a connection that is kept without an end although its client gets nothing on it (issue 57).
def test_every_client_gets_an_answer_or_the_end_of_its_connection(tmp_path: Path) -> None:
    for play in UNANSWERED:

        def body(placer: Placer, play: Callable[[Placer, VirtualSock], Co[None]] = play) -> Co[None]:
            sock = placer.loop.arrive(LISTEN, "127.0.0.8:1")
            yield from play(placer, sock)
            assert sock.sent or sock.ended, play.__doc__ or play.__name__

        run_virtual(tmp_path, body)


# Guards against memory that grows with each set-up by which a client says that a host runs a task.
def test_tasks_that_one_client_hands_over_take_no_more_than_its_share_of_memory(tmp_path: Path) -> None:
    def body(placer: Placer) -> Co[None]:
        flooder = placer.loop.arrive(LISTEN, "127.0.0.8:1")
        numbers = ids()
        for _ in range(100):
            flooder.inbox.append(b"".join(handed_over(next(numbers)) for _ in range(100)))
            yield from sleep(5)
        assert len(placer.service.tasks.ledger) * 4096 <= 64 * 2**20 / 4 + 4096
        refused = binary.Decoder().feed(bytes(flooder.sent))
        assert refused and all(message.kind == Kind.RELEASE and message.cause == 34 for message in refused)
        usual = placer.loop.arrive(LISTEN, "127.0.0.8:2", handed_over(SIDS[0]))
        yield from sleep(50)
        assert SIDS[0] in placer.service.tasks.placed["s-0"] and not usual.sent

    run_virtual(tmp_path, body)
