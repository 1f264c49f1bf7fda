"""Credit: owners that heed it send what the placer can do, others are refused and then left unread; all are answered."""

from __future__ import annotations

import time
from typing import Any

from sprucepost import interface as i
from sprucepost.loop import Co, sleep
from sprucepost.placer.owners import Owners
from sprucepost.settings.placer import Limits
from tests.placer.support import World, cluster, play, task
from tests.wire.support import wait_for


def bound(owners: Owners, each: int) -> None:
    """As if the line had been found standing, and stood on, with room for so many each."""
    credit = owners.admission.credit
    credit.total = each
    owners.admission._queue_was_empty = False
    owners.admission.update_credit = lambda now: None  # type: ignore[method-assign]
    owners._credit_per_owner = each
    for session in owners.sessions.values():
        session.send_credit(each)


def test_an_owner_keeps_to_its_credit_and_all_is_answered() -> None:
    def body(world: World) -> Co[Any]:
        world.machine("m0", admit_ms=60.0)
        placer = world.placer()
        owner, followed = world.owner(placer.grpc_address)
        yield from world.ready(placer, 1)
        yield from wait_for(lambda: owner.up)
        bound(placer.owners, 3)
        yield from wait_for(lambda: owner.credit == 3)
        most, full = 0, owner.room
        for n in range(10):
            owner.submit(f"t{n}", task(life_ms=50), 3000)
        held, room = owner.held, owner.room
        while len(followed.frames) < 10:
            most = max(most, sum(s.pending_outcomes.total() for s in placer.owners.sessions.values()))
            yield from sleep(2.0)
        yield from wait_for(lambda: all(followed.outcomes(name) for name in followed.frames))
        return full, held, room, most, {name: followed.outcomes(name) for name in followed.frames}

    full, held, room, most, outcomes = play(body)
    assert (full, held, room) == (3, 7, 0) and 1 <= most <= 3
    assert len(outcomes) == 10 and all(found == ["bound"] for found in outcomes.values())


def test_what_is_held_goes_out_newest_first_with_what_is_left_of_its_time() -> None:
    """Held back means overload. The ask that has waited longest would be late, and so would each behind it. What is
    over while held is refused here: the placer never hears of it."""

    def body(world: World) -> Co[Any]:
        world.machine("m0", admit_ms=100.0)
        placer = world.placer()
        owner, followed = world.owner(placer.grpc_address)
        yield from world.ready(placer, 1)
        yield from wait_for(lambda: owner.up)
        bound(placer.owners, 1)
        yield from wait_for(lambda: owner.credit == 1)
        for n in range(3):
            owner.submit(f"t{n}", task(life_ms=50), 3000)
        owner.submit("brief", task(life_ms=50), 30)
        owner.submit("last", task(life_ms=50), 3000)
        yield from wait_for(lambda: len(followed.frames) == 5)
        yield from wait_for(lambda: all(followed.outcomes(name) for name in followed.frames))
        order = [name for name in followed.frames if followed.outcomes(name) == ["bound"]]
        why = followed.frames["brief"][0].refused.why
        return order, why, placer.engine.counters["submitted"]

    order, why, submitted = play(body)
    assert order[0] == "t0" and order[1:] == ["last", "t2", "t1"]
    assert why == "held back until its time was over" and submitted == 4


def test_an_ask_that_waited_for_a_stream_says_what_is_left_of_its_time() -> None:
    """Before: an ask kept for the next stream went out with the time that it had when it was made, and the placer answered
    after its owner had given up."""

    def body(world: World) -> Co[Any]:
        placer = world.placer()  # no machine: each ask waits for as long as it may
        front = world.tap.add("placer-0", placer.grpc_address)
        owner, followed = world.owner(front)
        yield from wait_for(lambda: owner.up)
        world.tap.blow("reset", target="placer-0")
        yield from wait_for(lambda: not owner.up)
        began = world.loop.now()
        assert owner.connection is None
        owner.submit("t", task(), 900)
        owner.address = ("127.0.0.1", 1)  # nobody there for a while
        yield from sleep(500.0)
        owner.address = front
        yield from wait_for(lambda: bool(followed.outcomes("t")), 3000)
        return world.loop.now() - began, followed.outcomes("t")

    took, outcomes = play(body, cluster())
    assert outcomes == ["refused"] and took < 900


def test_the_line_of_an_overload_sets_a_credit_that_is_let_go_afterwards() -> None:
    """A line that stands bounds what owners have open; when it does not stand any more the bound grows until it is gone."""

    def body(world: World) -> Co[Any]:
        world.machine("m0", cores=1000.0, memory=2000.0)
        placer = world.placer(limits=Limits(open_tasks=1000))
        new, heard = world.owner(placer.grpc_address, "new")
        old, old_heard = world.owner(placer.grpc_address, "old")
        yield from world.ready(placer, 1)
        yield from wait_for(lambda: new.up and old.up)
        for session in placer.owners.sessions.values():
            session.takes_credit = session.owner == "new"
        decide = placer.engine.driver.scheduler.handle

        def slowly(now: float, events: list[i.Event]) -> Any:
            time.sleep(0.004 * sum(isinstance(event, i.TaskRequest) for event in events))
            return decide(now, events)

        placer.engine.driver.scheduler.handle = slowly  # type: ignore[method-assign]
        bounds, n = [], 0
        began = world.loop.now()
        while (passed := world.loop.now() - began) < 3000:
            while n < passed:  # 1,000 a second, whatever comes back; the placer manages a quarter
                link = (new, old)[n % 2]
                link.submit(f"{link.owner}-{n}", task("web", cores=0.01, life_ms=20), 1500)
                n += 1
            bounds.append(new.credit)
            yield from sleep(20.0)
        bounded, old_bound = min(b for b in bounds if b), old.credit
        yield from wait_for(lambda: new.credit == 0, 15_000)
        yield from wait_for(lambda: not new.open and not old.open, 5000)
        once = all(len(f.outcomes(name)) == 1 for f in (heard, old_heard) for name in f.frames)
        return bounded, old_bound, once, len(heard.frames) + len(old_heard.frames), n

    bounded, old_bound, once, answered, asked = play(body, limit_ms=30_000)
    assert 1 <= bounded < 200 and old_bound == 0
    assert once and answered == asked


def test_a_stream_that_is_refused_without_end_is_left_unread_and_its_asks_are_charged_the_pause() -> None:
    def body(world: World) -> Co[Any]:
        placer = world.placer(limits=Limits(open_tasks=1))
        owner, followed = world.owner(placer.grpc_address)
        yield from wait_for(lambda: owner.up)
        admission = placer.owners.admission
        admission.service_time.cost_ms = 50.0  # refusing one is taken to cost 5 ms
        (session,) = placer.owners.sessions.values()
        for n in range(200):
            owner.submit(f"t{n}", task(), 5000)
        yield from wait_for(lambda: placer.owners.counters["owner_unread"] > 0)
        yield from wait_for(lambda: session.waited_ms() > 0)  # it is read again, and what comes now may be old
        charged = session.waited_ms()
        yield from wait_for(lambda: session.waited_ms() < charged)
        yield from wait_for(lambda: len(followed.frames) == 200, 10_000)
        owner.submit("after", task(), 100)
        yield from wait_for(lambda: "after" in followed.frames)
        return (
            charged,
            all(len(followed.outcomes(name)) == 1 for name in followed.frames),
            admission.read_pauses.interval_ms,
        )

    charged, once, interval = play(body, limit_ms=20_000)
    assert 0 < charged <= interval + 50 and once


def test_hold_window_keeps_the_window_and_gives_it_back() -> None:
    """A held stream's window is not given back, so that its peer stops; then all that it sent is delivered."""

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

    stuck, submitted = play(body)
    assert stuck > 500_000 and 0 < submitted < 1000


def test_a_refused_ask_gives_its_part_of_the_credit_back_after_its_retry_time() -> None:
    """Else each refusal lets the next ask out at once, which is refused at once: before, twelve owners with a credit of five
    each were refused two thousand times a second."""

    def body(world: World) -> Co[Any]:
        placer = world.placer(limits=Limits(open_tasks=1, sessions=100))
        owner, _ = world.owner(placer.grpc_address)
        yield from wait_for(lambda: owner.up)
        owner.submit("open", task(), 5000)  # no machine: it takes the only room
        yield from wait_for(lambda: placer.engine.ledger.open == 1)
        bound(placer.owners, 3)
        yield from wait_for(lambda: owner.credit == 3)
        for n in range(50):
            owner.submit(f"t{n}", task(), 4000)
        yield from sleep(150.0)
        early = placer.engine.counters["submitted"] - 1
        yield from wait_for(lambda: placer.engine.counters["submitted"] > early + 1, 6000)
        return early

    assert play(body) <= 4
