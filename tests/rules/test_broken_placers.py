"""For each rule, a placer with a planted defect is found from the recorded bytes, and violates no other rule."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from sprucepost import interface as i
from sprucepost.loop import Co, sleep
from sprucepost.placer.daemon import Placer
from sprucepost.rules.checker import RunHistory
from sprucepost.settings import Cluster
from sprucepost.standin.recording_proxy import LinkCondition
from sprucepost.v1 import placer_pb2 as pb
from tests.placer.support import World, cluster, run_in_world, task
from tests.wire.support import wait_for

Plant = Callable[[World, Placer], None]


def run_tasks(
    world: World,
    plant: Plant,
    placer_settings: Cluster | None = None,
    service: Callable[[int], str] = lambda n: f"s{n}",
    task_class: str = "web",
    count: int = 8,
    before: Callable[[World], None] = lambda world: None,
    during: Callable[[World], Co[None]] | None = None,
    left_ms: float = 900,
    **machine_options: Any,
) -> Co[dict[str, list[str]]]:
    """Run one placer, two machines and some tasks; return the violations by rule."""
    world.machine("m1", **machine_options)
    world.machine("m2", zone="room-b", **machine_options)
    placer = world.placer(placer_cluster=placer_settings)
    front = world.tap.add("placer-0", placer.grpc_address)
    owner, _ = world.owner(front)
    yield from world.ready(placer, 2)
    yield from wait_for(lambda: owner.up)
    plant(world, placer)
    before(world)
    for n in range(count):
        owner.submit(f"t{n}", task(task_class, service=service(n), cores=0.1), left_ms)
        yield from sleep(10)
    if during is not None:
        yield from during(world)
        for n in range(count):
            owner.submit(f"u{n}", task(task_class, service=service(n), cores=0.1), left_ms)
            yield from sleep(10)
    yield from sleep(left_ms + 400)
    return world.check_rules()


def correct(world: World, placer: Placer) -> None: ...


def never_answers(world: World, placer: Placer) -> None:
    real = placer.engine.reporter.report

    def report(entry: Any, **body: Any) -> None:
        if "bound" not in body or entry.name != "t3":
            real(entry, **body)

    placer.engine.reporter.report = report  # type: ignore[method-assign]


def answers_twice(world: World, placer: Placer) -> None:
    real = placer.engine.reporter.report

    def report(entry: Any, **body: Any) -> None:
        real(entry, **body)
        if "bound" in body and entry.name == "t3":
            placer.engine.reporter.notify(entry, failed=pb.Failed(why="planted"))

    placer.engine.reporter.report = report  # type: ignore[method-assign]


def answers_late(world: World, placer: Placer) -> None:
    real = placer.engine.reporter.report

    def report(entry: Any, **body: Any) -> None:
        world.loop.call_later(1300.0 if "bound" in body and entry.name == "t3" else 0.0, lambda: real(entry, **body))

    placer.engine.reporter.report = report  # type: ignore[method-assign]


def treats_a_timeout_as_never_run(world: World, placer: Placer) -> None:
    real = placer.engine.attempts.end

    def end(key: Any, out: Any, ending: i.Ending, *more: Any) -> None:
        real(key, out, i.Ending.CONNECT_FAILED if ending is i.Ending.TIMEOUT else ending, *more)

    placer.engine.attempts.end = end  # type: ignore
    real_timeout = placer.engine.driver.scheduler._offer_timeout
    placer.engine.driver.scheduler._offer_timeout = lambda task, machine: min(150.0, real_timeout(task, machine))  # type: ignore


def offers_twice_at_once(world: World, placer: Placer) -> None:
    real = placer.engine.attempts.offer

    def offer(action: i.Offer) -> None:
        real(action)
        entry = placer.engine.ledger.by_request(action.request)
        if entry is not None and entry.attempts == 1:
            real(action)

    placer.engine.attempts.offer = offer  # type: ignore[method-assign]


def ignores_drains(world: World, placer: Placer) -> None:
    real = placer.engine.roster.on_list

    def on_list(change: i.MachineList) -> None:
        entries = tuple(dataclasses.replace(entry, state=i.MachineState.READY) for entry in change.entries)
        real(i.MachineList(change.kind, entries))

    placer.discovery._on_list = on_list


def drain_m1(world: World) -> Co[None]:
    world.field.machines["m1"].model.drain(world.field.now())
    world.field.mark_changed(world.field.machines["m1"])
    yield from sleep(1500)


def hold_answers(world: World) -> None:
    world.tap.set_condition("answers", LinkCondition(target="m*", up=False, hold=True))


def restart_cold(world: World) -> None:
    for host in world.field.machines.values():
        host.model.started = world.field.now()
        world.field.mark_changed(host)


def wait_cold(world: World) -> Co[None]:
    yield from sleep(400)


LARGE_COLD_LIMIT = cluster(cold_bears=1000.0)
SPREAD = cluster(classes=[msgspec.structs.replace(cluster().classes[0], spread="machine", most=1)])
UNSPREAD = cluster(classes=[msgspec.structs.replace(cluster().classes[0], spread="machine", most=50)])


def same_service(n: int) -> str:
    return "s"


@pytest.mark.parametrize(
    "rule, settings, arguments",
    [
        ("", None, {"plant": correct}),
        ("", None, {"plant": correct, "during": drain_m1}),
        ("", None, {"plant": correct, "task_class": "once", "before": hold_answers, "count": 3}),
        ("", SPREAD, {"plant": correct, "service": same_service}),
        ("1", None, {"plant": never_answers}),
        ("1", None, {"plant": answers_twice}),
        ("1", None, {"plant": answers_late}),
        ("2", None, {"plant": treats_a_timeout_as_never_run, "task_class": "once", "before": hold_answers, "count": 3}),
        ("2", None, {"plant": offers_twice_at_once, "task_class": "bill", "before": hold_answers}),
        # With eight submissions on a busy computer, there was once no offer to the drained machine: so more, for
        # longer.
        ("3", None, {"plant": ignores_drains, "during": drain_m1, "sends_away": False, "count": 30}),
        ("", None, {"plant": correct, "before": restart_cold, "during": wait_cold, "count": 40, "cold_bears": 1e3}),
        (
            "4",
            None,
            {
                "plant": correct,
                "placer_settings": LARGE_COLD_LIMIT,
                "before": restart_cold,
                "during": wait_cold,
                "count": 40,
                "cold_bears": 1e3,  # the machines accept them, so that offers continue
            },
        ),
        ("5", SPREAD, {"plant": correct, "placer_settings": UNSPREAD, "service": same_service}),
    ],
)
def test_a_planted_defect_violates_its_rule_and_no_other(
    rule: str, settings: Cluster | None, arguments: dict[str, Any]
) -> None:
    broken = run_in_world(lambda world: run_tasks(world, **arguments), settings)
    assert {name for name, lines in broken.items() if lines} == ({rule} if rule else set()), broken


def test_a_killed_placer_has_nothing_left_to_answer() -> None:
    def body(world: World) -> Co[Any]:
        placer = world.placer()
        front = world.tap.add("placer-0", placer.grpc_address)
        owner, _ = world.owner(front)
        yield from wait_for(lambda: owner.up)
        placer.engine.reporter.report = lambda entry, **body: None  # type: ignore[method-assign]
        owner.submit("t", task(), 300)
        yield from sleep(900)
        end = world.loop.wall()
        return (
            len(world.check_rules(RunHistory(ended_at=end))["1"]),
            len(world.check_rules(RunHistory(ended_at=end, killed={"placer-0": [end - 800]}))["1"]),
        )

    assert run_in_world(body) == (1, 0)
