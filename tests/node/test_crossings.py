"""Races between messages: a request, answer, release or cancellation that arrives between two steps of the placer.

The placer and the simulated platform run on one loop, so what a test sends in one turn lies unread when the placer's turn
comes. What a test does right after a decision (:func:`after_each_decision`) comes between that decision and the sending.
"""

from __future__ import annotations

import contextlib
import random
import socket
import struct
import time
from collections.abc import Callable, Iterable
from itertools import count
from pathlib import Path
from typing import Any

import pytest

from sprucepost import interface as i
from sprucepost import loop
from sprucepost.loop import Co, connect, current, sleep
from sprucepost.node import binary, health, hosts, new_tasks
from sprucepost.node.attempt import Attempt
from sprucepost.node.binary import Code, Kind
from sprucepost.node.host import HostLink
from sprucepost.node.jsonl import Line, MessageType
from sprucepost.node.owner_link import OwnerLink
from tests.node.platform import Host, Link, Platform, messages_for, run_on_platform, settings, setup, wait_for_message
from tests.wire.support import wait_for

SIDS = [f"c0055aa5c7e{n:05x}" for n in range(400)]
PLACED_SID = SIDS[0]  # the task that most tests place first
OTHER_SERVICE_FIGURES = "cores:1;memory:2;service:00000000aaaa5521"


def release(sid: str, cause: int = 16) -> bytes:
    """Return an owner's encoded release; before the answer it cancels the request."""
    return binary.encode(Kind.RELEASE, sid, [(Code.CAUSE, bytes([cause]))])


class RawOwner:
    """An owner's plain socket: each operation has taken effect when the call returns."""

    def __init__(self, platform: Platform) -> None:
        self.sock = socket.create_connection(platform.service.config.listen)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.setblocking(False)
        self.decoder = binary.Decoder()

    def send(self, data: bytes) -> None:
        self.sock.send(data)

    def close(self) -> None:
        self.sock.close()

    def half_close(self) -> None:
        self.sock.shutdown(socket.SHUT_WR)

    def reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()

    def placer_link(self, platform: Platform) -> OwnerLink:
        """Return the placer's end of this connection."""
        port = self.sock.getsockname()[1]
        [link] = [link for link in platform.service.owners.links if link.transport.peer.endswith(f":{port}")]
        return link

    def receive(self) -> list[binary.Message] | None:
        """Return the messages that have arrived; None after the end of the stream."""
        try:
            data = self.sock.recv(65536)
        except BlockingIOError:
            return []
        return self.decoder.feed(data) if data else None

    def next_message(self) -> Co[binary.Message]:
        found: list[binary.Message] = []

        def has_arrived() -> bool:
            found.extend(self.receive() or [])
            return bool(found)

        yield from wait_for(has_arrived)
        return found[0]


def after_each_decision(platform: Platform, act: Callable[[list[i.Event], list[i.Action]], None]) -> None:
    """Have ``act`` called after each of the scheduler's decisions, before its actions are carried out."""
    scheduler = platform.service.driver.scheduler
    handle = scheduler.handle

    def handled(now: float, events: list[i.Event]) -> list[i.Action]:
        actions = handle(now, events)
        act(events, actions)
        return actions

    scheduler.handle = handled  # type: ignore[method-assign]


def call_at_first_offer(actions: Iterable[i.Action], call: Callable[[], None], done: list[bool]) -> None:
    """Call ``call`` at the first offer among the actions; ``done`` is filled by then."""
    if not done and any(isinstance(action, i.Offer) for action in actions):
        done.append(True)
        call()


def offered_sids(*found: Host) -> list[str]:
    """Return the tasks that these hosts have been offered."""
    return [line.sid for host in found for line in host.lines(MessageType.OPEN)]


def warm(platform: Platform, sid: str) -> Co[Link]:
    """Connect an owner and place one task of it, so that there is a connection to a host."""
    owner = yield from platform.owner()
    owner.transport.write(setup(sid))
    yield from wait_for_message(owner, sid, Kind.ANSWER)
    return owner


def two_connections(platform: Platform, host: Host) -> Co[Link]:
    """Connect an owner and place two tasks of it at the same time, so that there are two connections to the host."""
    owner = yield from platform.owner()
    host.on_open = lambda link, line: None
    for sid in SIDS[:2]:
        owner.transport.write(setup(sid))
    yield from wait_for(lambda: len(offered_sids(host)) == 2)
    for link, sid in zip(host.links, offered_sids(host), strict=True):
        link.send(MessageType.READY, sid, text="x")
    for sid in SIDS[:2]:
        yield from wait_for_message(owner, sid, Kind.ANSWER)
    return owner


def patient() -> dict[str, Any]:
    """Return settings that give an attempt seconds, so that none times out on a busy machine."""
    found = settings()
    for each in found["classes"]:
        each["objective"] = 20_000.0
    return found


def start_with_placed_task(platform: Platform) -> Co[tuple[Host, Link]]:
    """Start the placer with one host, and place a task of one owner."""
    host = platform.host("s-1")
    platform.start()
    return host, (yield from warm(platform, SIDS[0]))


# Clients that leave while their request waits


def leave(how: str, platform: Platform, owner: RawOwner, other: RawOwner, sid: str) -> None:
    if how == "close":
        owner.close()
    elif how == "half-close":
        owner.half_close()
    elif how == "reset":
        owner.reset()
    elif how == "cancel":
        owner.send(release(sid))
    else:  # on another connection, while the placer is busy
        other.send(release(sid))
        time.sleep(0.15)


WAYS_TO_LEAVE = ["close", "half-close", "reset", "cancel", "cancel elsewhere"]


@pytest.mark.parametrize("how", WAYS_TO_LEAVE)
@pytest.mark.parametrize("state", ["read", "queued", "waiting", "next attempt", "connecting"])
def test_no_attempt_is_sent_for_a_client_that_left(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, state: str, how: str
) -> None:
    """The client leaves between the decision and the sending. A run fails if a quarter of such requests are sent on."""

    def body(platform: Platform) -> Co[None]:
        first, second = platform.host("s-1"), platform.host("s-2")
        platform.bulletin.publish(first.entry(), everything=True)
        platform.start()
        yield from warm(platform, SIDS[0])
        owner, other, done = RawOwner(platform), RawOwner(platform), list[bool]()
        other.send(setup(SIDS[2], FIGURES=OTHER_SERVICE_FIGURES))  # the placer has accepted and read its connection
        assert (yield from other.next_message()).kind == Kind.ANSWER
        before = len(offered_sids(first))

        def leave_now() -> None:
            leave(how, platform, owner, other, SIDS[1])

        if state == "connecting":
            # All connections end; the client leaves at the moment at which the next one is established.
            for link in first.links:
                link.transport.abort()
            yield from sleep(20)
            real = HostLink

            def link_made(*args: Any) -> HostLink:
                if not done and platform.service.hosts.hosts["s-1"].waiting:
                    done.append(True)
                    leave_now()
                return real(*args)

            monkeypatch.setattr(hosts, "HostLink", link_made)
            for pooled in list(platform.service.hosts.hosts["s-1"].links):
                platform.service.hosts.end(platform.service.hosts.hosts["s-1"], pooled, "reset")
            owner.send(setup(SIDS[1]))
        elif state == "read":
            after_each_decision(platform, lambda events, actions: call_at_first_offer(actions, leave_now, done))
            owner.send(setup(SIDS[1]))
        elif state == "queued":
            monkeypatch.setattr(new_tasks, "MAX_NEW_TASKS_PER_BATCH", 1)
            mine = [n for n in range(4, 10)]
            after_each_decision(platform, lambda events, actions: call_at_first_offer(actions, leave_now, done))
            other.send(b"".join(setup(SIDS[n], FIGURES=OTHER_SERVICE_FIGURES) for n in mine))
            owner.send(setup(SIDS[1], FIGURES=OTHER_SERVICE_FIGURES))
        elif state == "waiting":
            platform.bulletin.publish(first.entry(state="DRAINING"))
            yield from wait_for(lambda: "s-1" in platform.service.tasks.closed_hosts)
            owner.send(setup(SIDS[1]))
            yield from wait_for(lambda: platform.service.tasks.ledger.open == 1)
            after_each_decision(platform, lambda events, actions: call_at_first_offer(actions, leave_now, done))
            platform.bulletin.publish(second.entry())
        else:
            first.on_open = lambda link, line: link.send(MessageType.CLOSE, line.sid, code=102)
            offers: list[i.Action] = []

            def call_at_second_offer(events: list[i.Event], actions: list[i.Action]) -> None:
                offers.extend(action for action in actions if isinstance(action, i.Offer))
                if len(offers) > 1:
                    call_at_first_offer(actions, leave_now, done)

            after_each_decision(platform, call_at_second_offer)
            owner.send(setup(SIDS[1]))
        yield from wait_for(lambda: done)
        yield from wait_for(lambda: platform.service.tasks.ledger.open == 0)
        yield from sleep(60)
        sent = offered_sids(first, second)
        assert sent.count(SIDS[1]) == (state == "next attempt"), "an attempt was sent for a client that had left"
        assert platform.service.counters["given_up"] == 1 and len(sent) >= before
        assert not any(SIDS[1] in link.open for link in platform.service.owners.links)
        for sock in (owner.sock, other.sock):
            sock.close()

    run_on_platform(tmp_path, body)


def test_a_client_that_leaves_with_several_requests_in_one_batch(tmp_path: Path) -> None:
    """The connection's end is found before the first of them is sent, when the scheduler has decided on the others."""

    def body(platform: Platform) -> Co[None]:
        host, done = platform.host("s-1"), list[bool]()
        platform.start()
        yield from warm(platform, SIDS[0])
        owner = RawOwner(platform)
        after_each_decision(platform, lambda events, actions: call_at_first_offer(actions, owner.close, done))
        owner.send(b"".join(setup(sid, FIGURES=OTHER_SERVICE_FIGURES) for sid in SIDS[1:6]))
        yield from wait_for(lambda: platform.service.counters["given_up"] == 5)
        yield from sleep(30)
        assert offered_sids(host) == [SIDS[0]] and not platform.service.driver.scheduler.tasks
        assert len(platform.service.driver.scheduler.attempts) == 1, "the scheduler knows that no attempt is out"

    run_on_platform(tmp_path, body)


def test_a_set_up_followed_by_its_connections_end_is_not_placed(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        host, _ = yield from start_with_placed_task(platform)
        for n in range(1, 21):
            owner = RawOwner(platform)
            owner.send(setup(SIDS[n]))
            owner.close()
        yield from wait_for(lambda: platform.service.counters["given_up"] == 20)
        yield from sleep(60)
        assert offered_sids(host) == [SIDS[0]], "none of the twenty requests was sent to a host"

    run_on_platform(tmp_path, body)


def test_a_cancellation_on_another_connection_leaves_nothing_open_on_the_first(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        host.on_open = lambda link, line: None
        platform.start()
        owner = yield from platform.owner()
        owner.transport.write(setup(SIDS[0]))
        yield from wait_for(lambda: host.lines(MessageType.OPEN))
        other = yield from platform.owner()
        other.transport.write(release(SIDS[0]))
        yield from wait_for(lambda: host.lines(MessageType.CLOSE))
        assert not any(link.open for link in platform.service.owners.links), (
            "else the connection would never count as idle"
        )
        assert not owner.received

    run_on_platform(tmp_path, body)


def test_a_cancellation_that_is_read_before_its_set_up(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        host, owner = yield from start_with_placed_task(platform)
        other = RawOwner(platform)
        other.send(release(SIDS[1]) + release(SIDS[2]))
        yield from wait_for(lambda: len(platform.service.tasks.early_messages) == 2)
        owner.transport.write(setup(SIDS[1]))
        owner.transport.write(setup(SIDS[2], FIGURES="cores:1;memory:2;service:aa;at:s-1"))
        yield from wait_for(lambda: platform.service.counters["unwanted"] == 2)
        yield from wait_for(lambda: host.lines(MessageType.CLOSE))
        assert [line.sid for line in host.lines(MessageType.CLOSE)] == [SIDS[2]], "the reported task is released"
        assert offered_sids(host) == [SIDS[0]] and len(owner.received) == 1 and platform.standing() == 1
        assert not any(link.open for link in platform.service.owners.links)

    run_on_platform(tmp_path, body)


# Placed tasks


def test_a_host_ends_a_task_before_its_owner_has_reported_it(tmp_path: Path) -> None:
    """After a restart, a host's release comes on an open connection, and the owner's set-up a moment later."""

    def body(platform: Platform) -> Co[None]:
        host, owner = yield from start_with_placed_task(platform)
        host.links[0].send(MessageType.CLOSE, SIDS[1], code=16)
        host.links[0].send(MessageType.CLOSE, SIDS[2], code=41)
        host.links[0].send(MessageType.CLOSE, SIDS[3], code=31)
        yield from wait_for(lambda: platform.service.counters["late_words"] == 3)
        for sid in SIDS[1:4]:
            owner.transport.write(setup(sid, FIGURES="cores:1;memory:2;service:aa;at:s-1"))
        assert (yield from wait_for_message(owner, SIDS[1], Kind.RELEASE)).cause == 16
        assert (yield from wait_for_message(owner, SIDS[2], Kind.RELEASE)).cause == 41
        yield from wait_for(lambda: platform.service.counters["found"] == 3)
        assert platform.standing() == 1, "else they would be kept until their host is lost"
        assert not messages_for(owner, SIDS[3]), "its owner had cancelled it"

    run_on_platform(tmp_path, body)


def test_an_owner_reports_a_task_again_that_has_ended(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        host, owner = yield from start_with_placed_task(platform)
        at = setup(SIDS[1], FIGURES="cores:1;memory:2;service:aa;at:s-1")
        owner.transport.write(at)
        yield from wait_for(lambda: platform.standing() == 2)
        host.links[0].send(MessageType.CLOSE, SIDS[1], code=16)
        yield from wait_for_message(owner, SIDS[1], Kind.RELEASE)
        other = yield from platform.owner()
        other.transport.write(at)  # crosses the release
        host.links[0].send(MessageType.CLOSE, SIDS[1], code=16)  # repeated, as on a new connection
        yield from sleep(60)
        other.transport.write(at)
        yield from sleep(60)
        assert platform.standing() == 1 and len(messages_for(owner, SIDS[1])) == 1 and not messages_for(other, SIDS[1])

    run_on_platform(tmp_path, body)


def spread_settings() -> dict[str, Any]:
    """Return settings that allow a service one task on a machine."""
    found = settings()
    return {**found, "family_info": {**found["family_info"], "class_spread": ["machine"] * 2, "most_together": [1, 1]}}


SPREAD_FIGURES = "cores:1;memory:2;service:00000000b4d65521"


def test_the_spread_settings_allow_a_service_one_task_on_a_machine(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start(settings=spread_settings())
        owner = yield from warm(platform, SIDS[0])
        owner.transport.write(setup(SIDS[1]) + setup(SIDS[2], FIGURES=OTHER_SERVICE_FIGURES))
        yield from wait_for_message(owner, SIDS[2], Kind.ANSWER)
        yield from sleep(150)
        assert SIDS[1] not in offered_sids(host)
        owner.transport.write(release(SIDS[0]))
        yield from wait_for_message(owner, SIDS[1], Kind.ANSWER)

    run_on_platform(tmp_path, body)


@pytest.mark.parametrize("busy_s", [0.0, 0.15, 0.25])
def test_placed_tasks_are_counted_before_new_ones_are_placed(tmp_path: Path, busy_s: float) -> None:
    """A set-up with ``at`` is unread, in the backlog of a connection, while new set-ups arrive.

    The loop is blocked for less and for more than the 0.2 s within which a reported task must be counted.
    """

    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start(settings=spread_settings())
        owner = RawOwner(platform)
        owner.send(setup(SIDS[0], FIGURES=OTHER_SERVICE_FIGURES))
        assert (yield from owner.next_message()).kind == Kind.ANSWER
        second: list[RawOwner] = []

        def at_the_first(events: list[i.Event], actions: list[i.Action]) -> None:
            if not second and any(isinstance(event, i.TaskRequest) for event in events):
                second.append(RawOwner(platform))
                second[0].send(setup(SIDS[2], FIGURES=SPREAD_FIGURES + ";at:s-1"))
                time.sleep(busy_s)
                owner.send(setup(SIDS[3]))

        after_each_decision(platform, at_the_first)
        owner.send(setup(SIDS[1], FIGURES="cores:1;memory:2;service:00000000cccc5521"))
        yield from wait_for(lambda: platform.service.counters["found"] == 1)
        yield from wait_for(lambda: SIDS[1] in offered_sids(host))
        yield from sleep(200)
        assert SIDS[3] not in offered_sids(host), "placed beside a task that its owner had reported"
        second[0].send(release(SIDS[2]))
        yield from wait_for(lambda: SIDS[3] in offered_sids(host))

    run_on_platform(tmp_path, body)


def test_a_steady_flow_of_reported_tasks_does_not_starve_new_ones(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        host, owner = yield from start_with_placed_task(platform)
        flow, sids = RawOwner(platform), (f"{n:016x}" for n in count(1))

        def send_another(events: list[i.Event], actions: list[i.Action]) -> None:
            if len(offered_sids(host)) < 2:  # the placer always finds another one
                flow.send(setup(next(sids), FIGURES="cores:0.01;memory:0.01;service:aa;at:s-1"))

        after_each_decision(platform, send_another)
        flow.send(setup(next(sids), FIGURES="cores:0.01;memory:0.01;service:aa;at:s-1"))
        owner.transport.write(setup(SIDS[1]))
        yield from wait_for_message(owner, SIDS[1], Kind.ANSWER)
        held = platform.service.counters["held_for_found"]
        assert held >= 3 and platform.service.counters["found"] >= held, "it waited, but not indefinitely"
        flow.sock.close()

    run_on_platform(tmp_path, body)


def test_new_tasks_are_batched_and_connections_take_turns(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start()
        flooder = yield from warm(platform, SIDS[0])
        other_owner = RawOwner(platform)
        batches: list[list[str]] = []

        def note(events: list[i.Event], actions: list[i.Action]) -> None:
            batches.append([event.task for event in events if isinstance(event, i.TaskRequest)])

        after_each_decision(platform, note)
        flooder.transport.write(b"".join(setup(sid, FIGURES="cores:0.01;memory:0.01;service:aa") for sid in SIDS[1:61]))
        other_owner.send(setup(SIDS[100], NAME="quiet"))
        yield from wait_for(lambda: all(messages_for(flooder, sid) for sid in SIDS[1:61]))
        assert (yield from other_owner.next_message()).kind == Kind.ANSWER and len(offered_sids(host)) == 62
        asked = [batch for batch in batches if batch]
        assert max(map(len, asked)) <= new_tasks.MAX_NEW_TASKS_PER_BATCH and sum(map(len, asked)) == 61
        assert "quiet" in asked[0] + asked[1]
        other_owner.sock.close()

    run_on_platform(tmp_path, body)


def test_an_offer_that_waits_for_its_connection_is_recalled_when_a_task_is_reported_at_its_host(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        first, second = platform.host("s-1"), platform.host("s-2")
        platform.start(settings=spread_settings())
        owner, done = RawOwner(platform), list[bool]()
        send_offer = platform.service.hosts.send_offer

        def place_and_report(attempt: Attempt) -> None:
            send_offer(attempt)
            if not done and attempt.sid == SIDS[0]:  # from now on it waits for a connection
                done.append(True)
                owner.send(setup(SIDS[1], FIGURES=SPREAD_FIGURES + f";at:{attempt.machine}"))

        platform.service.hosts.send_offer = place_and_report  # type: ignore[method-assign]
        owner.send(setup(SIDS[0]))
        yield from wait_for(lambda: done and offered_sids(first, second))
        yield from sleep(50)
        [machine] = platform.service.tasks.placed.keys() - {
            m for m in ("s-1", "s-2") if SIDS[0] in offered_sids(platform.hosts[m])
        }
        assert platform.service.counters["recalled"] == 1 and SIDS[0] not in offered_sids(platform.hosts[machine])
        owner.sock.close()

    run_on_platform(tmp_path, body)


@pytest.mark.parametrize("seed", range(20))
def test_messages_after_a_restart_in_any_order(tmp_path: Path, seed: int) -> None:
    """Reported and new tasks, owners' releases and cancellations and hosts' releases, on any connection and in any order."""
    rng = random.Random(seed)

    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start(settings=patient())
        yield from warm(platform, SIDS[0])
        raw_owners = [RawOwner(platform) for _ in range(3)]
        kinds = ["at", "at, released", "at, ended", "at twice, ended", "new", "new, cancelled"]
        kinds_by_sid = {f"{seed + 1:08x}{n:08x}": kinds[n % len(kinds)] for n in range(60)}
        steps: list[tuple[str, Callable[[], None]]] = []

        def end_at_host(sid: str) -> None:  # a host may send a release on any open connection
            next(link for link in host.links if not link.ended).send(MessageType.CLOSE, sid, code=16)

        def sending(data: bytes) -> Callable[[], None]:
            owner = rng.choice(raw_owners)
            return lambda: owner.send(data)

        for sid, kind in kinds_by_sid.items():
            figures = f"cores:0.1;memory:0.1;service:{sid}" + (";at:s-1" if kind.startswith("at") else "")
            steps.append((sid, sending(setup(sid, FIGURES=figures))))
            if "twice" in kind:
                steps.append((sid, sending(setup(sid, FIGURES=figures))))
            if "ended" in kind:
                steps.append((sid, lambda sid=sid: end_at_host(sid)))  # type: ignore[misc]
            elif "released" in kind or "cancelled" in kind:
                steps.append((sid, sending(release(sid))))
        rng.shuffle(steps)
        for _, step in steps:
            step()
            if rng.random() < 0.3:
                yield from sleep(rng.choice([0, 0, 1, 5]))
        got: list[binary.Message] = []
        faults: list[Any] = []

        def is_as_expected() -> bool:
            got.extend(message for owner in raw_owners for message in owner.receive() or [])
            faults[:] = [fault for sid, kind in kinds_by_sid.items() if (fault := fault_of(sid, kind))]
            return not faults

        def fault_of(sid: str, kind: str) -> Any:
            mine = [message.kind for message in got if message.task == sid]
            is_placed = sid in platform.service.tasks.placed.get("s-1", {})
            closes = sum(line.sid == sid for line in host.lines(MessageType.CLOSE))
            expected = {
                "at": is_placed and not mine,
                "at, released": not is_placed and not mine and closes >= 1,
                "at, ended": not is_placed and mine == [Kind.RELEASE],
                "at twice, ended": not is_placed and mine == [Kind.RELEASE],
                "new": is_placed and mine == [Kind.ANSWER],
                "new, cancelled": not is_placed and Kind.RELEASE not in mine and closes == (sid in offered_sids(host)),
            }
            return None if expected[kind] else (sid, kind, is_placed, mine, closes)

        with contextlib.suppress(AssertionError):
            yield from wait_for(is_as_expected, 8000)
        yield from sleep(100)
        assert is_as_expected(), faults
        assert not any(link.open for link in platform.service.owners.links) and not platform.service.tasks.ledger.open
        for owner in raw_owners:
            owner.sock.close()

    run_on_platform(tmp_path, body)


# Connections that end


def test_a_set_up_that_crosses_our_close_of_an_idle_connection_is_served(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        host, _ = yield from start_with_placed_task(platform)
        owner = RawOwner(platform)
        owner.send(setup(SIDS[1]))
        yield from owner.next_message()
        owner.send(release(SIDS[1]))
        yield from wait_for(lambda: platform.standing() == 1)
        for link in platform.service.owners.links:
            link.used -= 10 * platform.service.config.idle_ms
        owner.send(setup(SIDS[2]))  # unread when the placer looks for idle connections
        platform.service.owners.tick()
        assert (yield from owner.next_message()).kind == Kind.ANSWER
        assert SIDS[2] in offered_sids(host)
        owner.sock.close()

    run_on_platform(tmp_path, body)


def test_a_set_up_that_crosses_our_close_for_a_new_connection_is_served(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        platform.host("s-1")
        platform.start()
        platform.service.owners._max_connections = 3
        yield from warm(platform, SIDS[0])
        owners = [RawOwner(platform), RawOwner(platform)]
        for n, owner in enumerate(owners):
            owner.send(setup(SIDS[1 + n]))
            yield from owner.next_message()
            owner.send(release(SIDS[1 + n]))
        yield from wait_for(lambda: platform.standing() == 1 and len(platform.service.owners.links) == 3)
        owners[0].send(setup(SIDS[3]))  # unread when the placer closes a connection for a new one
        assert platform.service.owners._close_idle()
        assert (yield from owners[0].next_message()).kind == Kind.ANSWER
        assert owners[1].receive() is None
        for owner in owners:
            owner.sock.close()

    run_on_platform(tmp_path, body)


def test_messages_after_our_close_reset_no_connection(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        host, _ = yield from start_with_placed_task(platform)
        owner = RawOwner(platform)
        owner.send(setup(SIDS[1]))
        yield from wait_for(lambda: SIDS[1] in offered_sids(host) and platform.standing() == 2)
        yield from sleep(20)
        link = owner.placer_link(platform)
        platform.service.owners.disconnect(link, "idle")
        owner.send(setup(SIDS[2]))  # crosses the close
        yield from sleep(30)
        owner.send(setup(SIDS[3]))  # the connection would be reset if the one before had met a closed socket
        assert (yield from owner.next_message()).kind == Kind.ANSWER, "messages sent before the close can still be read"
        yield from wait_for(lambda: owner.receive() is None)
        assert not {SIDS[2], SIDS[3]} & set(offered_sids(host))
        owner.close()
        yield from wait_for(lambda: link.transport.socket_closed, 200)

    run_on_platform(tmp_path, body)


def test_a_close_waits_a_limited_time_for_a_peer_that_does_not_read(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        platform.host("s-1")
        platform.start()
        yield from warm(platform, SIDS[0])
        owner = RawOwner(platform)
        owner.send(setup(SIDS[1]))
        yield from owner.next_message()
        link = owner.placer_link(platform)
        while not link.transport.blocked:
            link.transport.write(bytes(1 << 20))
            yield from sleep(0)
        owner.half_close()
        yield from wait_for(lambda: link.transport.socket_closed, 2000)
        owner.close()

    run_on_platform(tmp_path, body)


def test_a_pooled_connection_that_its_host_has_closed_is_detected_before_use(tmp_path: Path) -> None:
    unsafe = settings()
    unsafe["classes"][0]["effect"] = "side_effect"

    def body(platform: Platform) -> Co[None]:
        host, done = platform.host("s-1"), list[bool]()
        platform.start(settings=unsafe)
        owner = yield from warm(platform, SIDS[0])
        after_each_decision(
            platform, lambda events, actions: call_at_first_offer(actions, host.links[0].transport.close, done)
        )
        owner.transport.write(setup(SIDS[1], FIGURES=OTHER_SERVICE_FIGURES))
        yield from wait_for_message(owner, SIDS[1], Kind.ANSWER)  # an unsafe task that may have run would fail
        assert offered_sids(host).count(SIDS[1]) == 1 and platform.service.counters["ended_reset"] == 0

    run_on_platform(tmp_path, body)


def limit_writes(link: HostLink | OwnerLink, max_bytes: int) -> None:
    """Let the system accept only ``max_bytes`` more bytes on that connection."""
    sock, left = link.transport._sock, [max_bytes]
    send = sock.send

    def send_limited(data: bytes | memoryview) -> int:
        took = send(data[: left[0]]) if left[0] else 0
        left[0] -= took
        return took

    sock.send = send_limited  # type: ignore[method-assign]


@pytest.mark.parametrize(("max_bytes", "ran"), [(0, False), (30, False), (100_000, True)])
def test_only_an_offer_that_was_sent_in_part_counts_as_not_run(tmp_path: Path, max_bytes: int, ran: bool) -> None:
    unsafe = settings()
    unsafe["classes"][0]["effect"] = "side_effect"

    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start(settings=unsafe)
        owner = yield from warm(platform, SIDS[0])
        host.on_open = lambda link, line: None
        [link] = platform.service.hosts.hosts["s-1"].links
        limit_writes(link, max_bytes)
        owner.transport.write(setup(SIDS[1], FIGURES=OTHER_SERVICE_FIGURES))
        yield from wait_for(lambda: platform.service.counters["offers"] == 2)
        yield from sleep(30)
        host.on_open = lambda link, line: link.send(MessageType.READY, line.sid, text="again")
        host.links[0].transport.abort()
        if ran:
            assert (yield from wait_for_message(owner, SIDS[1], Kind.RELEASE)).cause == 41, (
                "it may have run, so it has failed"
            )
            assert offered_sids(host).count(SIDS[1]) == 1
        else:
            yield from wait_for_message(owner, SIDS[1], Kind.ANSWER)
            assert offered_sids(host).count(SIDS[1]) == 1, "the first offer arrived only in part"

    run_on_platform(tmp_path, body)


# Answers


def test_a_duplicate_refusal_ends_no_other_attempt(tmp_path: Path) -> None:
    """The next attempt uses another connection if one is free."""

    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")

        def refuse_twice(link: Link, line: Line) -> None:
            host.on_open = ready
            link.send(MessageType.CLOSE, line.sid, code=102)
            platform.loop.call_later(30, lambda: link.send(MessageType.CLOSE, line.sid, code=102))

        def ready(link: Link, line: Line) -> None:
            platform.loop.call_later(90, lambda: link.send(MessageType.READY, line.sid, text="the second"))

        platform.start()
        owner = yield from two_connections(platform, host)
        host.on_open = refuse_twice
        owner.transport.write(setup(SIDS[2], FIGURES=OTHER_SERVICE_FIGURES))
        message = yield from wait_for_message(owner, SIDS[2], Kind.ANSWER)
        assert message.parameters[Code.DESCRIPTION] == b"the second"
        assert offered_sids(host).count(SIDS[2]) == 2 and not host.lines(MessageType.CLOSE), "one attempt out at a time"
        assert len(host.links) == 2

    run_on_platform(tmp_path, body)


def test_a_release_that_was_sent_in_part_is_sent_on_another_connection_of_its_owner(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start()
        first, second = RawOwner(platform), RawOwner(platform)
        first.send(b"".join(setup(sid, FIGURES="cores:1;memory:1;service:aa") for sid in SIDS[:3]))
        second.send(setup(SIDS[3]))
        assert (yield from second.next_message()).kind == Kind.ANSWER
        yield from wait_for(lambda: platform.standing() == 4)
        yield from sleep(30)
        link = first.placer_link(platform)
        host_link = next(link for link in host.links if not link.ended)
        host_link.send(MessageType.CLOSE, SIDS[0], code=16)
        yield from wait_for(lambda: platform.standing() == 3)
        yield from sleep(30)
        limit_writes(link, 10)
        host_link.send(MessageType.CLOSE, SIDS[1], code=16)
        host_link.send(MessageType.CLOSE, SIDS[2], code=41)
        yield from wait_for(lambda: platform.standing() == 1)
        yield from sleep(30)
        first.reset()
        found: list[binary.Message] = []

        def both() -> bool:
            found.extend(second.receive() or [])
            return len(found) >= 2

        yield from wait_for(both)
        assert [(m.task, m.cause) for m in found] == [(SIDS[1], 16), (SIDS[2], 41)], "the first release had been sent"
        second.close()

    run_on_platform(tmp_path, body)


# Guards against a task that is ended although its owner has read the answer, since a later answer could not be sent.
def test_only_a_task_whose_answer_was_not_sent_is_given_up_with_its_owners_connection(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start()
        owner = yield from two_connections(platform, host)
        [link] = platform.service.owners.links
        host.on_open = lambda link, line: None
        for sid in SIDS[2:4]:
            owner.transport.write(setup(sid, FIGURES=OTHER_SERVICE_FIGURES))
        yield from wait_for(lambda: len(offered_sids(host)) == 4)
        answer = binary.encode(Kind.ANSWER, SIDS[2], [(Code.DESCRIPTION, b"x")])
        limit_writes(link, len(answer) + 5)
        for sid in SIDS[2:4]:
            host_link = next(link for link in host.links if any(line.sid == sid for line in link.received))
            host_link.send(MessageType.READY, sid, text="x")
            yield from wait_for(lambda: sid in str(platform.service.tasks.placed))  # noqa: B023
        yield from wait_for_message(owner, SIDS[2], Kind.ANSWER)
        owner.transport.abort()
        yield from wait_for(lambda: [line.sid for line in host.lines(MessageType.CLOSE)] == [SIDS[3]])
        assert platform.standing() == 3 and platform.service.counters["answers_unread"] == 1

    run_on_platform(tmp_path, body)


def test_a_flood_of_silent_connections_takes_no_descriptors_from_hosts(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        found = [platform.host(f"s-{n}") for n in range(12)]
        platform.start(settings=spread_settings(), limits={"cores": 1.0, "memory_mb": 64, "sockets": 24})
        owner = yield from platform.owner()
        for sid in SIDS[:12]:
            owner.transport.write(setup(sid))
            yield from wait_for_message(owner, sid, Kind.ANSWER)
        flood = [RawOwner(platform) for _ in range(60)]
        yield from wait_for(lambda: platform.service.counters["owner_room"] >= 40)
        assert platform.service.counters["host_link_room"] == 0 and all(len(host.links) == 1 for host in found)
        owner.transport.write(setup(SIDS[20], FIGURES=OTHER_SERVICE_FIGURES))
        yield from wait_for_message(owner, SIDS[20], Kind.ANSWER)
        for raw in flood:
            raw.close()

    run_on_platform(tmp_path, body)


@pytest.mark.parametrize("how", ["one of its connections is reset", "the bulletin reports it as deleted"])
def test_a_host_that_dies_while_a_connection_to_it_stays_open(tmp_path: Path, how: str) -> None:
    """Not every reset arrives: a remaining connection seemed healthy until the host became suspect, after 4.8 s."""

    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start()
        owner = yield from two_connections(platform, host)
        host.answers_probes = False
        host.acceptor.close()
        if how.startswith("one"):
            host.links[0].transport.abort()
        else:
            platform.bulletin.publish(host.entry(state="DELETED"))
        began = platform.loop.now()
        for sid in SIDS[:2]:
            assert (yield from wait_for_message(owner, sid, Kind.RELEASE, 4000)).cause == 41
        assert platform.loop.now() - began < health.SUSPECT_AFTER_MS - 1000.0

    run_on_platform(tmp_path, body)


def test_a_removed_host_is_probed_once_however_many_lists_omit_it(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        other = platform.host("s-2")
        host = platform.host("s-1")
        platform.bulletin.publish(host.entry(), everything=True)
        platform.start()
        yield from warm(platform, SIDS[0])

        def heard_lists(number: int) -> Callable[[], bool]:
            return lambda: platform.service.counters["lists"] >= number

        for number in range(2, 5):
            platform.bulletin.publish(other.entry(), everything=True)  # a full list without the host
            yield from wait_for(heard_lists(number))
        yield from wait_for(lambda: host.lines(MessageType.PROBE))
        yield from sleep(100)
        assert len(host.lines(MessageType.PROBE)) == 1 and platform.standing() == 1, (
            "the host may still release the task there"
        )

    run_on_platform(tmp_path, body)


def test_a_reset_connection_to_a_live_host_loses_no_task(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start()
        owner = yield from two_connections(platform, host)
        host.links[0].transport.abort()
        yield from wait_for(lambda: host.lines(MessageType.PROBE))
        yield from sleep(1500)
        assert platform.standing() == 2 and len(owner.received) == 2
        assert len(host.lines(MessageType.PROBE)) == 2, (
            "one of the other connection, one that shows where the next leads"
        )

    run_on_platform(tmp_path, body)


@pytest.mark.parametrize("why", ["idle", "retired", "room"])
def test_a_release_that_crosses_our_close_is_handled(tmp_path: Path, why: str) -> None:
    """The host would repeat it on its next connection only, and the owner must get it within eight seconds."""

    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start()
        owner = yield from two_connections(platform, host)
        known_host = platform.service.hosts.hosts["s-1"]
        for our_link in list(known_host.links):
            platform.service.hosts.end(known_host, our_link, why)
        for link in host.links:  # none has read the end yet
            assert not link.ended
            [sid] = [line.sid for line in link.received if line.type is MessageType.OPEN]
            link.send(MessageType.CLOSE, sid, code=16)
        for sid in SIDS[:2]:
            assert (yield from wait_for_message(owner, sid, Kind.RELEASE)).cause == 16
        assert not platform.standing()

    run_on_platform(tmp_path, body)


# Answers that are cut short, late, or cross another message


@pytest.mark.parametrize("effect", ["pure", "side_effect"])
@pytest.mark.parametrize("then", ["end", "reset", "silence"])
def test_an_answer_that_is_cut_short(tmp_path: Path, then: str, effect: str) -> None:
    """The task may have run: a safe one is offered again, an unsafe one has failed; the connection is not used again."""
    changed = settings()
    changed["classes"][0]["effect"] = effect

    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start(settings=changed)
        owner = yield from warm(platform, SIDS[0])
        half_answered: list[Link] = []

        def half(link: Link, line: Line) -> None:
            host.on_open = lambda link, line: link.send(MessageType.READY, line.sid, text="whole")
            half_answered.append(link)
            link.transport.write(b'{"msg":"ready","sid":"' + line.sid.encode() + b'","te')
            link.transport._flush()
            if then == "end":
                link.transport.close()
            elif then == "reset":
                link.transport.abort()

        host.on_open = half
        owner.transport.write(setup(SIDS[1], FIGURES=OTHER_SERVICE_FIGURES, LEFT="1500"))
        yield from wait_for(lambda: messages_for(owner, SIDS[1]))
        yield from sleep(50)
        [message] = messages_for(owner, SIDS[1])
        if effect == "pure":
            assert message.parameters[Code.DESCRIPTION] == b"whole" and offered_sids(host).count(SIDS[1]) == 2
        else:
            assert message.cause == 41 and offered_sids(host).count(SIDS[1]) == 1
        assert [line.sid for line in half_answered[0].received if line.type is MessageType.OPEN].count(SIDS[1]) == 1
        if then == "silence":
            assert SIDS[1] in [line.sid for line in half_answered[0].received if line.type is MessageType.CLOSE], (
                "the set-up is cancelled there"
            )

    run_on_platform(tmp_path, body)


@pytest.mark.parametrize("cause", [16, 41, 31])
def test_an_answer_and_its_release_in_one_read(tmp_path: Path, cause: int) -> None:
    def body(platform: Platform) -> Co[None]:
        host, owner = yield from start_with_placed_task(platform)

        def both(link: Link, line: Line) -> None:
            link.send(MessageType.READY, line.sid, text="x")
            link.send(MessageType.CLOSE, line.sid, code=cause)
            link.send(MessageType.CLOSE, line.sid, code=cause)

        host.on_open = both
        owner.transport.write(setup(SIDS[1]))
        yield from wait_for(lambda: platform.service.counters["placed"] == 2)
        yield from sleep(50)
        kinds = [message.kind for message in messages_for(owner, SIDS[1])]
        assert kinds == [Kind.ANSWER] + [Kind.RELEASE] * (cause != 31) and platform.standing() == 1

    run_on_platform(tmp_path, body)


@pytest.mark.parametrize(
    "crosses", ["our time-out", "the owner's cancellation", "the owner's disconnect", "its host's drain"]
)
def test_an_answer_that_crosses_the_end_of_its_attempt(tmp_path: Path, crosses: str) -> None:
    """The placer cancels a set-up whose answer is on its way: the task is not placed, and its host gets the cancellation."""

    def body(platform: Platform) -> Co[None]:
        host, offer_links = platform.host("s-1"), list[Link]()
        platform.start()
        owner = yield from warm(platform, SIDS[0])
        host.on_open = lambda link, line: offer_links.append(link)
        client = RawOwner(platform)
        client.send(setup(SIDS[1], FIGURES=OTHER_SERVICE_FIGURES, LEFT="150" if crosses == "our time-out" else "3000"))
        yield from wait_for(lambda: offer_links)
        link = offer_links[0]
        if crosses == "our time-out":
            yield from wait_for(lambda: platform.service.counters["ended_timeout"] == 1)
        elif crosses == "the owner's cancellation":
            client.send(release(SIDS[1]))
            yield from wait_for(lambda: platform.service.counters["given_up"] == 1)
        elif crosses == "the owner's disconnect":
            client.reset()
            yield from wait_for(lambda: platform.service.counters["given_up"] == 1)
        else:
            platform.bulletin.publish(host.entry(state="DRAINING"))
            yield from wait_for(lambda: "s-1" in platform.service.tasks.closed_hosts)
        link.send(MessageType.READY, SIDS[1], text="late")
        yield from sleep(50)
        if crosses == "its host's drain":
            assert (yield from client.next_message()).kind == Kind.ANSWER and platform.standing() == 2
        else:
            assert platform.standing() == 1 and not platform.service.tasks.ledger.open
            closed_sids = [
                line.sid for found in host.links for line in found.received if line.type is MessageType.CLOSE
            ]
            assert closed_sids.count(SIDS[1]) == 1
            assert offered_sids(host).count(SIDS[1]) == 1
        assert not messages_for(owner, SIDS[1])
        client.sock.close()

    run_on_platform(tmp_path, body)


def test_clients_that_retry_immediately_when_refused(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        platform.host("s-1")
        platform.start()
        regular = yield from warm(platform, SIDS[0])
        task = yield from current()
        retries = [0]

        def retry(link: Link, message: binary.Message) -> None:
            if retries[0] < 3000:
                retries[0] += 1
                link.transport.write(setup(f"a9a1{retries[0]:012x}", LEFT="3"))

        flooder = []
        for n in range(20):
            transport = yield from connect(platform.loop, task, platform.service.config.listen, 1000.0)
            flooder.append(Link(transport, binary.Decoder(), retry))
            flooder[-1].transport.write(setup(f"a9a0{n:012x}", LEFT="3"))  # refused immediately
        began = platform.loop.now()
        for sid in SIDS[1:11]:
            regular.transport.write(setup(sid))
            yield from wait_for_message(regular, sid, Kind.ANSWER, 5000)
        assert retries[0] > 20 and platform.loop.now() - began < 10_000
        retries[0] = 3000
        asked = sum(message.kind == Kind.RELEASE for link in flooder for message in link.received)
        assert asked > 20 and not any(link.ended for link in flooder), "each is refused, and none is disconnected"

    run_on_platform(tmp_path, body)


# Connections that are established late


@pytest.mark.parametrize("short", [True, False])
def test_an_attempt_that_would_arrive_after_the_key_window_is_not_sent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, short: bool
) -> None:
    """A second attempt at a keyed task waits for its connection until hosts no longer remember the task's key."""
    found = settings()
    found["classes"][1]["objective"] = 1600.0  # so that an attempt has 400 ms

    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start(settings=found)
        yield from warm(platform, SIDS[0])
        host.on_open = lambda link, line: None
        began: list[float] = []

        def call_at_second_offer(events: list[i.Event], actions: list[i.Action]) -> None:
            began.extend(platform.loop.now() for action in actions if isinstance(action, i.Offer))
            if short and len(began) == 2:
                platform.service.tasks._windows[1] = began[1] - began[0] + 100.0

        after_each_decision(platform, call_at_second_offer)
        real = loop.connect

        def late(*args: Any) -> Co[Any]:
            yield from sleep(200)
            host.on_open = lambda link, line: link.send(MessageType.READY, line.sid, text="x")
            return (yield from real(*args))

        monkeypatch.setattr(hosts, "connect", late)
        owner = RawOwner(platform)
        owner.send(setup(SIDS[1], CLASS="bill", KEY="k1"))
        message = yield from owner.next_message()
        assert message.cause == (41 if short else None) and len(began) == 2
        assert offered_sids(host).count(SIDS[1]) == (1 if short else 2)
        assert platform.service.counters["beyond_window"] == short
        owner.close()

    run_on_platform(tmp_path, body)


def test_a_refused_connection_ends_no_task_reported_since_it_was_dialled(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A host's process is replaced during a dial; tasks at its successor are reported before the refusal is read."""

    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.start()
        owner = yield from platform.owner()
        dials: list[bool] = []
        real = loop.connect

        def refused(*args: Any) -> Co[Any]:
            dials.append(True)
            if len(dials) > 1:
                return (yield from real(*args))
            yield from wait_for(lambda: platform.standing() == 1)
            raise ConnectionRefusedError("refused")

        monkeypatch.setattr(hosts, "connect", refused)
        owner.transport.write(setup(SIDS[0]))
        yield from wait_for(lambda: dials)
        owner.transport.write(setup(SIDS[1], FIGURES="cores:1;memory:2;service:aa;at:s-1"))
        yield from wait_for(lambda: platform.service.counters["connect_refused"] == 1)
        yield from sleep(100)
        assert not messages_for(owner, SIDS[1]) and platform.standing() >= 1
        yield from wait_for(lambda: host.links, 2000)  # dialled again for the task placed there

    run_on_platform(tmp_path, body)


def test_a_connection_made_after_its_attempt_timed_out_carries_no_offer(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def body(platform: Platform) -> Co[None]:
        first, second = platform.host("s-1"), platform.host("s-2")
        platform.bulletin.publish(first.entry(), everything=True)
        platform.start()
        real = loop.connect

        def late(the_loop: Any, task: Any, address: Any, limit_ms: float) -> Co[Any]:
            if address[1] == first.port:
                yield from wait_for(lambda: platform.service.counters["unsent"] == 1)
                yield from sleep(20)
            return (yield from real(the_loop, task, address, limit_ms))

        monkeypatch.setattr(hosts, "connect", late)
        owner = yield from platform.owner()
        owner.transport.write(setup(SIDS[0]))
        yield from wait_for(lambda: platform.service.counters["offers"] == 1)
        platform.bulletin.publish(second.entry())
        yield from wait_for_message(owner, SIDS[0], Kind.ANSWER)
        yield from wait_for(lambda: first.links)
        yield from sleep(50)
        assert not offered_sids(first) and offered_sids(second) == [SIDS[0]]
        assert all(link.transport.sent == 0 for link in platform.service.hosts.hosts["s-1"].links), (
            "no byte of the offer"
        )

    run_on_platform(tmp_path, body)


def test_a_connection_made_after_its_host_drained_carries_no_offer(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def body(platform: Platform) -> Co[None]:
        first, second = platform.host("s-1"), platform.host("s-2")
        platform.bulletin.publish(first.entry(), everything=True)
        platform.start(settings=patient())  # the attempt may wait for seconds
        dials: list[bool] = []
        real = loop.connect

        def late(*args: Any) -> Co[Any]:
            dials.append(True)
            if len(dials) == 1:
                yield from wait_for(lambda: owner.received, 8000)
            return (yield from real(*args))

        monkeypatch.setattr(hosts, "connect", late)
        owner = yield from platform.owner()
        owner.transport.write(setup(SIDS[0]))
        yield from wait_for(lambda: dials)
        platform.bulletin.publish(first.entry(state="DRAINING"), second.entry())
        yield from wait_for_message(owner, SIDS[0], Kind.ANSWER)  # placed at the other host immediately
        yield from wait_for(lambda: first.links)
        yield from sleep(50)
        assert not offered_sids(first) and offered_sids(second) == [SIDS[0]]
        assert all(link.transport.sent == 0 for link in platform.service.hosts.hosts["s-1"].links), (
            "no byte of the offer"
        )

    run_on_platform(tmp_path, body)


def test_more_hosts_with_tasks_than_descriptors(tmp_path: Path) -> None:
    """A connection is kept to each host with a task of ours, but new connections of owners still get descriptors."""

    def body(platform: Platform) -> Co[None]:
        found = [platform.host(f"s-{n}") for n in range(30)]
        platform.start(settings=spread_settings(), limits={"cores": 1.0, "memory_mb": 64, "sockets": 24})
        owner = yield from platform.owner()
        most_links = 0
        for sid in SIDS[:30]:
            owner.transport.write(setup(sid))
            yield from wait_for_message(owner, sid, Kind.ANSWER)
            links = sum(len(host.links) for host in platform.service.hosts.hosts.values())
            most_links = max(most_links, links)
        assert (
            most_links <= 24 - 4 - 1 and platform.standing() == 30 and not platform.service.counters["connect_failed"]
        )
        second = yield from platform.owner()
        second.transport.write(binary.encode(Kind.TEST, SIDS[99], [(Code.CAUSE, b"\0")]))
        yield from wait_for_message(second, SIDS[99], Kind.TESTED)
        assert sum(len(host.links) for host in platform.service.hosts.hosts.values()) < most_links
        for host in found:  # each ends its task on any open connection
            [sid] = offered_sids(host)
            for link in [link for link in host.links if not link.ended]:
                link.send(MessageType.CLOSE, sid, code=16)
        yield from sleep(50)
        assert platform.standing() <= 30 - most_links + 2

    run_on_platform(tmp_path, body)


@pytest.mark.parametrize(
    "endpoint", ["no-such-host:1", "a" * 70 + ":1", "a..b:1", "::1:80", "127.0.0.1:99999", "1.2.3:80"]
)
def test_a_host_with_an_invalid_address_affects_no_other(tmp_path: Path, endpoint: str) -> None:
    """Resolving a name would block the whole process, and a name with a label that is too long cannot be resolved at all."""

    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.bulletin.publish(host.entry(uid="s-0", endpoint=endpoint), host.entry(), everything=True)
        platform.start()
        owner = yield from warm(platform, SIDS[0])
        owner.transport.write(setup(SIDS[1], FIGURES=OTHER_SERVICE_FIGURES))
        yield from wait_for_message(owner, SIDS[1], Kind.ANSWER)
        assert sum("bulletin_unreadable" in line for line in platform.lines) == 1
        assert offered_sids(host) == SIDS[:2]

    run_on_platform(tmp_path, body)


def test_the_bulletins_address_changes_several_times_in_one_turn_and_to_one_that_is_down(tmp_path: Path) -> None:
    def body(platform: Platform) -> Co[None]:
        first, second = platform.host("s-1"), platform.host("s-2")
        platform.bulletin.publish(first.entry(), everything=True)
        platform.start()
        yield from wait_for(lambda: platform.bulletin._waiting)
        # Answered in the turn in which the address changes, so the answer is unread then.
        platform.bulletin.publish(second.entry())
        now = platform.bulletin.acceptor.address
        assert isinstance(now, tuple)
        listener = platform.loop.listen(("127.0.0.1", 0))
        assert isinstance(listener.address, tuple)
        down = listener.address
        listener.close()
        platform.service.feed.change_address(down)
        platform.service.feed.change_address(now)
        platform.service.feed.change_address(down)
        yield from wait_for(lambda: platform.service.counters["bulletin_failed"] >= 2)
        asked = len(platform.bulletin.requests)
        platform.bulletin.publish(first.entry(state="DRAINING"))
        platform.service.feed.change_address(now)
        yield from wait_for(
            lambda: len(platform.bulletin.requests) > asked and "s-1" in platform.service.tasks.closed_hosts
        )
        owner = yield from platform.owner()
        owner.transport.write(setup(SIDS[0]))
        yield from wait_for_message(owner, SIDS[0], Kind.ANSWER)
        assert offered_sids(first, second) == [SIDS[0]] == offered_sids(second)

    run_on_platform(tmp_path, body)


def test_a_list_of_more_than_a_megabyte_is_accepted(tmp_path: Path) -> None:
    """After a missed number one answer has all events since the start; their number depends on the fleet."""

    def body(platform: Platform) -> Co[None]:
        host = platform.host("s-1")
        platform.bulletin.publish(host.entry(), everything=True)
        platform.start()
        many = [host.entry(uid=f"a-host-with-a-long-name-{n}", endpoint=f"127.0.1.1:{1 + n}") for n in range(7000)]
        platform.bulletin.publish(*many)
        yield from wait_for(lambda: len(platform.service.hosts.hosts) == 7001, 10_000)
        assert not platform.service.counters["bulletin_failed"]

    run_on_platform(tmp_path, body)
