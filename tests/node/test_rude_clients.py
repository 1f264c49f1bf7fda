"""Clients that misuse the placer take neither the service of others, nor a connection without end, nor its memory."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from itertools import count
from pathlib import Path

import pytest

from sprucepost.loop import Co, sleep
from sprucepost.node import binary, dispatch, owner_link, useless_messages
from sprucepost.node.binary import Kind
from sprucepost.node.client_shares import ClientShares, max_handed_over_tasks
from sprucepost.node.connection_states import ConnectionState
from sprucepost.node.early_messages import EarlyMessage, EarlyMessageCache
from sprucepost.node.fair_queue import FairQueue
from sprucepost.node.jsonl import MessageType
from tests.node.platform import Platform, run_on_platform, setup, wait_for_message
from tests.node.stepped_loop import SteppedLoop
from tests.node.test_clients_that_left import LEAVING_SID, AttemptRecorder, Client
from tests.node.test_crossings import SIDS, RawOwner, patient, release, warm
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
    monkeypatch.setattr(
        useless_messages, "MANY", 10**9
    )  # the attempt is decided on before the connection counts as flooding
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


def _always_one_open(placer: Placer, sock: VirtualSock) -> Co[None]:
    """Each set-up is taken back right after the next one has come."""
    numbers = ids()
    last = next(numbers)
    sock.inbox.append(setup(last))
    for _ in range(30):
        data = b""
        for sid in (next(numbers) for _ in range(10)):
            data += setup(sid) + release(last)
            last = sid
        sock.inbox.append(data)
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
    _taken_back(1), _taken_back(300), _always_one_open, _useless_messages, _after_a_task, _released_before,
    _alone_at_its_address,
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


# Guards against one client's open requests that leave no room for another's.
def test_a_client_with_few_open_requests_is_admitted_beside_one_that_fills_the_limit(tmp_path: Path) -> None:
    def body(placer: Placer) -> Co[None]:
        numbers = ids()
        flooder = placer.loop.arrive(LISTEN, "127.0.0.8:1")
        for _ in range(30):
            flooder.inbox.append(b"".join(setup(next(numbers), LEFT="6000") for _ in range(20)))
            yield from sleep(1)
        counters = placer.service.counters
        assert counters["turned_away"] and placer.service.tasks.ledger.open <= placer.service.owners._max_open_tasks
        refused = counters["turned_away"]
        placer.loop.arrive(LISTEN, "127.0.0.8:2", b"".join(setup(sid) for sid in SIDS[:8]))
        yield from sleep(50)
        assert counters["turned_away"] == refused

    run_virtual(tmp_path, body)


# Guards against one client's releases that push out what another client has cancelled before its request was read.
def test_releases_of_unknown_tasks_displace_those_of_the_same_client() -> None:
    cache, numbers = EarlyMessageCache(retention_ms=8000.0, max_tasks=64), ids()
    cache.record(SIDS[0], EarlyMessage.CANCELLED_BY_OWNER, 0.0, source="usual")
    for _ in range(1000):
        cache.record(next(numbers), EarlyMessage.CANCELLED_BY_OWNER, 1.0, source="rude")
    assert len(cache) == 64 and cache.get(SIDS[0], 2.0) is not None
    cache.expire(10_000.0)
    assert len(cache) == 0 and not cache._by_source and not cache._sources


def test_shares_leave_space_for_a_client_that_holds_little() -> None:
    for clients in range(1, 200, 7):
        shares = ClientShares(1000)
        while admitted := [client for client in range(clients) if shares.admits(client)]:
            for client in admitted:
                if shares.admits(client):
                    shares.add(client)
        assert len(shares) <= 1000 and shares.admits("new"), f"{clients} clients"
        shares.add("new")
        for client in range(clients):
            shares.remove(client)
    assert max_handed_over_tasks(64 * 2**20) == 4096


# Guards against a client whose requests wait behind all that others have queued.
def test_a_request_of_a_client_without_queued_ones_goes_first() -> None:
    queue: FairQueue[str] = FairQueue()
    for n in range(30):
        queue.put(n % 3, f"flood {n % 3}", 0.0)
    assert [queue.pop() for _ in range(4)] == ["flood 2", "flood 1", "flood 0", "flood 2"]
    queue.put("usual", "first", 1.0)
    assert queue.pop() == "first"
    queue.put("usual", "second", 2.0)
    assert [queue.pop() for _ in range(4)] == ["flood 1", "flood 0", "flood 2", "second"], "one turn in each round"
    queue.put("held", "held", 3.0)
    assert (
        queue.pop(lambda item: item != "held") == "flood 1" and queue.oldest_arrival(lambda item: item == "held") == 3.0
    )
    while (item := queue.pop(lambda item: item != "held")) is not None:
        assert item.startswith("flood")
    assert queue and queue.pop() == "held" and not queue


# Guards against an attempt that waits again and again for what other connections of its address bring after it was due.
def test_an_attempt_waits_for_others_only_until_what_came_before_it_is_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def body(platform: Platform) -> Co[None]:
        platform.start()
        owner, other = RawOwner(platform), RawOwner(platform)
        yield from wait_for(lambda: len(platform.service.owners.links) == 2)
        mine, others = owner.placer_link(platform), other.placer_link(platform)
        now = platform.loop.now()
        platform.service.owners._unread_links[others] = None
        monkeypatch.setattr(type(others.transport), "has_unread_backlog", property(lambda it: it is others.transport))
        others.unread_since = now
        assert not mine.input_read(now) and mine.input_read(now - 1.0) and not others.input_read(now - 1.0)
        others.unread_since = now - owner_link.FLOODING_AFTER_MS
        assert mine.input_read(now)
        owner.close()
        other.close()

    run_on_platform(tmp_path, body)


# Guards against a release that goes to another client at its owner's address, which hears nothing of its task's end.
def test_a_release_goes_to_a_connection_on_which_tasks_have_been_answered(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start()
        usual = yield from warm(platform, SIDS[0])
        other = yield from warm(platform, SIDS[1])
        rude = RawOwner(platform)
        rude.send(setup(SIDS[2]) + release(SIDS[2]))
        yield from wait_for(lambda: platform.service.counters["given_up"])
        other.transport.close()
        yield from wait_for(lambda: len(platform.service.owners.links) == 2)
        host.links[-1].send(MessageType.CLOSE, SIDS[1], code=16)
        yield from wait_for_message(usual, SIDS[1], Kind.RELEASE)
        rude.close()

    run_on_platform(tmp_path, body)


# Guards against a flood that is handled while a close lingers, and against the loss of releases that cross a close.
def test_releases_that_cross_a_close_are_handled_up_to_one_reads_worth(tmp_path: Path) -> None:
    def body(placer: Placer) -> Co[None]:
        sock = placer.loop.arrive(LISTEN, "127.0.0.8:1", b"".join(handed_over(sid) for sid in SIDS[:3]))
        yield from sleep(50)
        [link] = placer.service.owners.links
        placer.service.owners.disconnect(link, "idle")
        for sid in SIDS[:2]:
            sock.inbox.append(release(sid))
            yield from sleep(10)
        assert list(placer.service.tasks.placed["s-0"]) == [SIDS[2]]
        sock.inbox.append(USELESS * 1500)
        sock.inbox.append(release(SIDS[2]))
        yield from sleep(20)
        assert list(placer.service.tasks.placed["s-0"]) == [SIDS[2]]

    run_virtual(tmp_path, body)


# Guards against the end of a connection whose client confirms each refusal, as the protocol lets it.
def test_confirmations_of_refusals_are_of_use(tmp_path: Path) -> None:
    def body(placer: Placer) -> Co[None]:
        sock, numbers, confirmed = placer.loop.arrive(LISTEN, "127.0.0.8:1"), ids(), 0
        for _ in range(150):
            sock.inbox.append(b"".join(setup(next(numbers), LEFT="3") for _ in range(8)))
            yield from sleep(10)
            refused = binary.Decoder().feed(bytes(sock.sent))
            assert all(message.kind == Kind.RELEASE for message in refused)
            sock.inbox.append(b"".join(binary.encode(Kind.RELEASED, message.task) for message in refused[confirmed:]))
            confirmed = len(refused)
        assert confirmed >= 1100 and not sock.ended and not placer.service.counters["owner_useless"]
        assert not placer.service.owners.states()[ConnectionState.UNANSWERED]

    run_virtual(tmp_path, body)
