"""Load runs: open loop, latency from when a task was due, and every submission accounted for."""

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


def test_every_submission_is_accounted_for() -> None:
    def body(world: World) -> Co[Any]:
        world.machine("m1")
        placer = world.placer()
        yield from world.ready(placer, 1)
        load_plan = plan(200.0, 1.0, 2)
        found = yield from LoadRun(world.loop, world.scope, [placer.grpc_address], load_plan).execute(
            task_arrivals(load_plan)
        )
        return found.figures(1.0)

    figures = run_in_world(body)
    # One machine handles one offer at a time, so some tasks may be refused; each gets exactly one answer.
    assert figures["due"] > 150 and figures["unanswered"] == 0
    assert sum(figures["outcomes"].values()) == figures["due"] and figures["outcomes"]["placed"] > 50
    assert sum(due for due, *_ in figures["buckets"]) == figures["due"] == figures["classes"]["web"]["due"]
    assert sum(good for _, good, *_ in figures["buckets"]) == round(figures["goodput_per_s"])


def test_a_task_without_an_answer_counts_with_its_whole_time() -> None:
    """Otherwise a placer that answers only the quick tasks would look best."""

    def body(world: World) -> Co[Any]:
        placer = world.placer()
        front = world.tap.add("placer-0", placer.grpc_address)
        run = LoadRun(world.loop, world.scope, [front], plan(1.0, 1.0, 1, owners=1))
        arrival = TaskArrival(0.0, "web", 0, "s", 0.01, 0.01, 700.0, 500.0, 10.0)

        def arrivals_without_answers() -> Iterator[TaskArrival]:
            # Iterated once every link is up and before the first submission, so that a busy computer can't miss the
            # moment.
            world.tap.set_condition("silence", LinkCondition(target="placer-0", hold=True))
            yield from [arrival] * 3

        return (yield from run.execute(arrivals_without_answers())).figures(1.0)

    figures = run_in_world(body)
    assert figures["unanswered"] == 3 and figures["answered_ms"]["p50"] >= 699


def test_a_stall_of_the_placer_shows_in_the_latency_of_all_tasks_due_meanwhile() -> None:
    def body(world: World) -> Co[Any]:
        world.machine("m1")
        placer = world.placer()
        yield from world.ready(placer, 1)
        front = world.tap.add("placer-0", placer.grpc_address)
        load_plan = plan(100.0, 1.5, 3, owners=1)
        job = world.scope.spawn(
            LoadRun(world.loop, world.scope, [front], load_plan).execute(task_arrivals(load_plan)), "load"
        )
        yield from wait_for(lambda: placer.engine.ledger.outcomes)
        world.tap.set_condition("stall", LinkCondition(target="placer-0", hold=True))
        world.loop.call_later(500.0, lambda: world.tap.set_condition("stall", None))
        yield from wait_for(lambda: job.done, 8000)
        return job.take().figures(1.5)

    figures = run_in_world(body)
    # A third of the tasks were due in the stall; a closed loop would have counted one of them.
    assert figures["answered_ms"]["p90"] > 150 and figures["unanswered"] == 0
