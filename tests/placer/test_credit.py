"""Credit: owners that keep to it are served, others are refused and then not read; every request is answered."""

from __future__ import annotations

import gc
import time
from typing import Any

from sprucepost import interface as i
from sprucepost.loop import Co, sleep
from sprucepost.placer.owners import Owners
from sprucepost.settings.placer import Limits
from sprucepost.v1 import common_pb2
from tests.placer.support import World, cluster, run_in_world, task
from tests.wire.support import wait_for


def set_credit(owners: Owners, each: int) -> None:
    """Set the state of an overload that persists, with a credit of ``each`` requests per owner."""
    credit = owners.admission.credit
    credit.total = each
    owners.admission._queue_was_empty = False
    owners.admission.update_credit = lambda now: None  # type: ignore[method-assign]
    owners._credit_per_owner = each
    for session in owners.sessions.values():
        session.send_credit(each)


def test_an_owner_keeps_to_its_credit_and_every_request_is_answered() -> None:
    def body(world: World) -> Co[Any]:
        world.machine("m0", admit_ms=60.0)
        placer = world.placer()
        owner, received = world.owner(placer.grpc_address)
        yield from world.ready(placer, 1)
        yield from wait_for(lambda: owner.up)
        set_credit(placer.owners, 3)
        yield from wait_for(lambda: owner.credit == 3)
        max_open, full_room = 0, owner.remaining_credit
        for n in range(10):
            owner.submit(f"t{n}", task(life_ms=50), 3000)
        held, room = owner.held_count, owner.remaining_credit
        while len(received.frames) < 10:
            max_open = max(max_open, sum(s.pending_outcomes.total() for s in placer.owners.sessions.values()))
            yield from sleep(2.0)
        yield from wait_for(lambda: all(received.outcomes(name) for name in received.frames))
        return full_room, held, room, max_open, {name: received.outcomes(name) for name in received.frames}

    full_room, held, room, max_open, outcomes = run_in_world(body)
    assert (full_room, held, room) == (3, 7, 0) and 1 <= max_open <= 3
    assert len(outcomes) == 10 and all(found == ["bound"] for found in outcomes.values())


def test_held_requests_are_sent_newest_first_with_their_remaining_time() -> None:
    """Held requests mean overload: the one that has waited longest would be late, and so would each after it.

    A request whose time ends while it is held is refused by the owner, and the placer never gets it.
    """

    def body(world: World) -> Co[Any]:
        world.machine("m0", admit_ms=100.0)
        placer = world.placer()
        owner, received = world.owner(placer.grpc_address)
        yield from world.ready(placer, 1)
        yield from wait_for(lambda: owner.up)
        set_credit(placer.owners, 1)
        yield from wait_for(lambda: owner.credit == 1)
        for n in range(3):
            owner.submit(f"t{n}", task(life_ms=50), 3000)
        owner.submit("brief", task(life_ms=50), 30)
        owner.submit("last", task(life_ms=50), 3000)
        yield from wait_for(lambda: len(received.frames) == 5)
        yield from wait_for(lambda: all(received.outcomes(name) for name in received.frames))
        order = [name for name in received.frames if received.outcomes(name) == ["bound"]]
        why = received.frames["brief"][0].refused.why
        return order, why, placer.engine.counters["submitted"]

    order, why, submitted = run_in_world(body)
    assert order[0] == "t0" and order[1:] == ["last", "t2", "t1"]
    assert why == "held back until its time was over" and submitted == 4


def test_a_request_that_waited_for_a_stream_states_its_remaining_time() -> None:
    """A request that was kept for the next stream was sent with its original time limit.

    The placer then answered after the owner had given up.
    """

    def body(world: World) -> Co[Any]:
        placer = world.placer()  # no machine: each request waits until its time ends
        gc.collect()  # a full collection of the test process may take longer than the time that is left at the end
        proxy_address = world.tap.add("placer-0", placer.grpc_address)
        owner, received = world.owner(proxy_address)
        yield from wait_for(lambda: owner.up)
        world.tap.break_connections("reset", target="placer-0")
        yield from wait_for(lambda: not owner.up)
        started = world.loop.now()
        assert owner.connection is None
        owner.submit("t", task(), 900)
        owner.address = ("127.0.0.1", 1)  # an address where nothing listens
        yield from sleep(500.0)
        owner.address = proxy_address
        yield from wait_for(lambda: bool(received.outcomes("t")), 3000)
        return world.loop.now() - started, received.outcomes("t")

    took, outcomes = run_in_world(body, cluster())
    assert outcomes == ["refused"] and took < 900


def test_an_overload_sets_a_credit_that_is_removed_afterwards() -> None:
    """A persistent queue limits the requests that owners have open; afterwards the limit grows until it is removed."""

    def body(world: World) -> Co[Any]:
        world.machine("m0", cores=1000.0, memory=2000.0)
        placer = world.placer(limits=Limits(open_tasks=1000))
        new, new_received = world.owner(placer.grpc_address, "new")
        old, old_received = world.owner(placer.grpc_address, "old")
        yield from world.ready(placer, 1)
        yield from wait_for(lambda: new.up and old.up)
        for session in placer.owners.sessions.values():
            session.takes_credit = session.owner == "new"
        decide = placer.engine.driver.scheduler.handle

        def decide_slowly(now: float, events: list[i.Event]) -> Any:
            time.sleep(0.004 * sum(isinstance(event, i.TaskRequest) for event in events))
            return decide(now, events)

        placer.engine.driver.scheduler.handle = decide_slowly  # type: ignore[method-assign]
        bounds, n = [], 0
        started = world.loop.now()
        while (passed := world.loop.now() - started) < 3000:
            while n < passed:  # 1,000 a second regardless of answers; the placer can handle a quarter
                link = (new, old)[n % 2]
                link.submit(f"{link.owner}-{n}", task("web", cores=0.01, life_ms=20), 1500)
                n += 1
            bounds.append(new.credit)
            yield from sleep(20.0)
        bounded, old_bound = min(b for b in bounds if b), old.credit
        yield from wait_for(lambda: new.credit == 0, 15_000)
        yield from wait_for(lambda: not new.open and not old.open, 5000)
        answered_once = all(len(f.outcomes(name)) == 1 for f in (new_received, old_received) for name in f.frames)
        return bounded, old_bound, answered_once, len(new_received.frames) + len(old_received.frames), n

    bounded, old_bound, answered_once, answered, sent = run_in_world(body, limit_ms=30_000)
    assert 1 <= bounded < 200 and old_bound == 0
    assert answered_once and answered == sent


def test_a_constantly_refused_stream_is_not_read_for_a_while_and_its_requests_lose_that_time() -> None:
    def body(world: World) -> Co[Any]:
        placer = world.placer(limits=Limits(open_tasks=1))
        owner, received = world.owner(placer.grpc_address)
        yield from wait_for(lambda: owner.up)
        admission = placer.owners.admission
        admission.service_time.cost_ms = 50.0  # a refusal is assumed to cost 5 ms
        (session,) = placer.owners.sessions.values()
        for n in range(200):
            owner.submit(f"t{n}", task(), 5000)
        yield from wait_for(lambda: placer.owners.counters["owner_unread"] > 0)
        yield from wait_for(lambda: session.waited_ms() > 0)  # the stream is read again, and its frames may have waited
        charged = session.waited_ms()
        yield from wait_for(lambda: session.waited_ms() < charged)
        yield from wait_for(lambda: len(received.frames) == 200, 10_000)
        owner.submit("after", task(), 100)
        yield from wait_for(lambda: "after" in received.frames)
        return (
            charged,
            all(len(received.outcomes(name)) == 1 for name in received.frames),
            admission.read_pauses.interval_ms,
        )

    charged, answered_once, interval = run_in_world(body, limit_ms=20_000)
    assert 0 < charged <= interval + 50 and answered_once


# Guards against a session that is read without limit since its requests are refused for what they contain.
def test_a_stream_whose_requests_are_invalid_is_not_read_for_a_while() -> None:
    def body(world: World) -> Co[Any]:
        placer = world.placer()
        owner, received = world.owner(placer.grpc_address)
        yield from wait_for(lambda: owner.up)
        placer.owners.admission.service_time.cost_ms = 50.0  # a refusal is assumed to cost 5 ms
        for n in range(100):
            owner.submit(f"t{n}", common_pb2.Task(task_class="nobody", service="s", cores=1.0, memory=1.0), 5000)
        yield from wait_for(lambda: placer.owners.counters["owner_unread"] > 0)
        yield from wait_for(lambda: len(received.frames) == 100, 10_000)
        return all(len(received.outcomes(name)) == 1 for name in received.frames)

    assert run_in_world(body, limit_ms=20_000)


def test_hold_window_keeps_the_window_and_gives_it_back() -> None:
    """A held stream's window is not given back, so that its peer stops; afterwards all that was sent is delivered."""

    def body(world: World) -> Co[Any]:
        placer = world.placer()
        owner, _ = world.owner(placer.grpc_address)
        yield from wait_for(lambda: owner.up)
        (session,) = placer.owners.sessions.values()
        assert session.call is not None and owner.call is not None
        session.call.hold_window(True)
        names = [f"{n:04}-" + "x" * 2000 for n in range(1000)]
        for name in names:
            owner.submit(name, task(), 4000)
        yield from sleep(300.0)
        stuck, submitted = owner.call.unsent_bytes, placer.engine.counters["submitted"]
        session.call.hold_window(False)
        yield from wait_for(lambda: placer.engine.counters["submitted"] == 1000, 4000)
        return stuck, submitted

    stuck, submitted = run_in_world(body)
    assert stuck > 500_000 and 0 < submitted < 1000


def test_a_refused_request_returns_its_credit_after_its_retry_delay() -> None:
    """Otherwise each refusal lets the next request out at once, which is refused at once.

    Twelve owners with a credit of five each were refused two thousand times a second.
    """

    def body(world: World) -> Co[Any]:
        placer = world.placer(limits=Limits(open_tasks=1, sessions=100))
        owner, _ = world.owner(placer.grpc_address)
        yield from wait_for(lambda: owner.up)
        owner.submit("open", task(), 5000)  # no machine: it occupies the only open task
        yield from wait_for(lambda: placer.engine.ledger.open == 1)
        set_credit(placer.owners, 3)
        yield from wait_for(lambda: owner.credit == 3)
        for n in range(50):
            owner.submit(f"t{n}", task(), 4000)
        yield from sleep(150.0)
        early = placer.engine.counters["submitted"] - 1
        yield from wait_for(lambda: placer.engine.counters["submitted"] > early + 1, 6000)
        return early

    assert run_in_world(body) <= 4
