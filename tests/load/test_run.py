"""The load tool: open loop, nothing hidden, every ask accounted for."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from sprucepost.load.arrivals import TaskArrival, task_arrivals
from sprucepost.load.plan import Class, Plan, Poisson
from sprucepost.load.run import LoadRun
from sprucepost.loop import Co
from sprucepost.standin.recording_proxy import LinkCondition
from tests.placer.support import World, run_in_world
from tests.wire.support import wait_for


def plan(rate: float, length_s: float, seed: int, owners: int = 10) -> Plan:
    web = Class("web", 1.0, 0.01, 0.01, 1000.0, 500.0)
    return Plan(Poisson(rate), [web], length_s, seed, owners, services=5)


def test_every_ask_is_accounted_for() -> None:
    def body(world: World) -> Co[Any]:
        world.machine("m1")
        placer = world.placer()
        yield from world.ready(placer, 1)
        what = plan(200.0, 1.0, 2)
        found = yield from LoadRun(world.loop, world.scope, [placer.grpc_address], what).execute(task_arrivals(what))
        return found.figures(1.0)

    figures = run_in_world(body)
    # One machine looks at one offer at a time, so some may be refused; none is without its one answer.
    assert figures["due"] > 150 and figures["unanswered"] == 0
    assert sum(figures["outcomes"].values()) == figures["due"] and figures["outcomes"]["placed"] > 50
    assert sum(due for due, *_ in figures["buckets"]) == figures["due"] == figures["classes"]["web"]["due"]
    assert sum(good for _, good, *_ in figures["buckets"]) == round(figures["goodput_per_s"])


def test_an_ask_without_an_answer_counts_with_its_whole_time() -> None:
    """Else a placer that answers only what is quick looks best."""

    def body(world: World) -> Co[Any]:
        placer = world.placer()
        front = world.tap.add("placer-0", placer.grpc_address)
        run = LoadRun(world.loop, world.scope, [front], plan(1.0, 1.0, 1, owners=1))
        ask = TaskArrival(0.0, "web", 0, "s", 0.01, 0.01, 700.0, 500.0, 10.0)

        def asked_in_silence() -> Iterator[TaskArrival]:
            # Taken once every link is up, and before the first ask leaves: no moment between that a busy machine misses.
            world.tap.set_condition("silence", LinkCondition(target="placer-0", hold=True))
            yield from [ask] * 3

        return (yield from run.execute(asked_in_silence())).figures(1.0)

    figures = run_in_world(body)
    assert figures["unanswered"] == 3 and figures["answered_ms"]["p50"] >= 699


def test_a_stall_of_the_placer_shows_in_the_latency_of_all_that_was_due_meanwhile() -> None:
    def body(world: World) -> Co[Any]:
        world.machine("m1")
        placer = world.placer()
        yield from world.ready(placer, 1)
        front = world.tap.add("placer-0", placer.grpc_address)
        what = plan(100.0, 1.5, 3, owners=1)
        job = world.scope.spawn(LoadRun(world.loop, world.scope, [front], what).execute(task_arrivals(what)), "load")
        yield from wait_for(lambda: placer.engine.ledger.outcomes)
        world.tap.set_condition("stall", LinkCondition(target="placer-0", hold=True))
        world.loop.call_later(500.0, lambda: world.tap.set_condition("stall", None))
        yield from wait_for(lambda: job.done, 8000)
        return job.take().figures(1.5)

    figures = run_in_world(body)
    # A third of the asks were due in the stall; a closed loop would have counted one of them.
    assert figures["answered_ms"]["p90"] > 150 and figures["unanswered"] == 0
