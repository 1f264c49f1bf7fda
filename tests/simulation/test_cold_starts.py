"""Offers of a fleet to cold machines: `benchmarks.cold_starts` with few starts, and faulty schedulers."""

from __future__ import annotations

from dataclasses import replace

import pytest

from benchmarks.cold_starts import CONDITIONS, allowances
from sprucepost import interface as i
from sprucepost.scheduler import Machine, Scheduler
from sprucepost.simulation.cold_conditions import (
    ColdStart,
    Conditions,
    MachineIncarnation,
    Restarts,
    Summary,
    summarise,
)
from sprucepost.simulation.cold_starts import FleetSimulation

SIZE = 16
NOTIFIED_IN_TIME = [name for name in CONDITIONS if "known machine" not in name and "address" not in name]
LATE_CONNECTIONS = CONDITIONS["all dials up to 1 s late, told in one tick"]
OUT_OF_ORDER = CONDITIONS["told out of order: there, gone, there"]
RESTARTED = replace(CONDITIONS["7 in 10 restarted"], restarts=Restarts(1.0, times=2, down_ms=(200.0, 300.0)))
WAITING_TASKS = CONDITIONS["shares rounded, tasks waiting everywhere"]


def simulate(conditions: Conditions, scheduler: type[Scheduler] = Scheduler) -> Summary:
    return summarise(FleetSimulation(conditions, 1, scheduler).simulate(), conditions.bound)


@pytest.mark.parametrize("cold_limit", [12.0, 16.0])
@pytest.mark.parametrize("name", NOTIFIED_IN_TIME)
def test_offers_of_all_processes_stay_within_the_bound_for_chance(name: str, cold_limit: float) -> None:
    summary = simulate(replace(CONDITIONS[name], size=SIZE, cold_limit=cold_limit))
    assert summary.starts >= 10 and summary.used > 0.05
    assert summary.worst <= summary.bound


@pytest.mark.parametrize("conditions", [LATE_CONNECTIONS, OUT_OF_ORDER, RESTARTED, CONDITIONS["much at once"]])
def test_with_an_allowance_for_each_process_no_window_exceeds_the_limit(conditions: Conditions) -> None:
    """Each process keeps to its share in the machine's own windows, however late its offers arrive."""
    assert simulate(replace(conditions, size=SIZE, cold_limit=2.0 * SIZE)).worst <= 2 * SIZE


@pytest.mark.parametrize("name", [name for name in CONDITIONS if name not in NOTIFIED_IN_TIME])
def test_notified_processes_keep_the_limit_beside_others_that_were_not_notified(name: str) -> None:
    summary = simulate(replace(CONDITIONS[name], size=SIZE, cold_limit=4.0 * SIZE))
    assert summary.worst_told <= 4 * SIZE and not summary.beyond


class IgnoresOpenOffers(Scheduler):
    """Faulty: an offer counts for one window from its decision, even if it arrives later."""

    def _register_attempt(self, attempt: object, number: int) -> None:
        super()._register_attempt(attempt, number)  # type: ignore[arg-type]
        super()._record_answer(attempt.machine)  # type: ignore[attr-defined]

    def _record_answer(self, machine: Machine) -> None:
        pass

    def _has_cold_allowance(self, machine: Machine) -> bool:
        open_offers, machine.attempts = machine.attempts, {}
        try:
            return super()._has_cold_allowance(machine)
        finally:
            machine.attempts = open_offers


class ForgetsGoneMachines(Scheduler):
    """Faulty: a cold machine that returns to the list is taken for a new one."""

    def _must_retain(self, machine: Machine) -> bool:
        return bool(machine.attempts)


class IgnoresItsRestart(Scheduler):
    """Faulty: uses a whole allowance at once after a restart."""

    def handle(self, now: float, events: list[i.Event]) -> list[i.Action]:
        summary = super().handle(now, [])
        self.started_at = -1.0
        return summary + super().handle(now, events)


class AssumesItIsAlone(Scheduler):
    """Faulty: takes the whole allowance, as if there were no other scheduler."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        super().__init__(replace(settings, number=0, n_instances=1), seed)


@pytest.mark.parametrize(
    "scheduler, conditions",
    [
        (IgnoresOpenOffers, LATE_CONNECTIONS),
        (ForgetsGoneMachines, OUT_OF_ORDER),
        (IgnoresItsRestart, RESTARTED),
        (AssumesItIsAlone, WAITING_TASKS),
    ],
)
def test_a_faulty_scheduler_is_detected(scheduler: type[Scheduler], conditions: Conditions) -> None:
    conditions = replace(conditions, size=SIZE, cold_limit=2.0 * SIZE)
    assert simulate(conditions).worst <= 2 * SIZE
    summary = simulate(conditions, scheduler)
    assert summary.worst > summary.bound and summary.beyond


def test_a_window_is_sliding_and_half_open() -> None:
    machine = MachineIncarnation(
        "m", 0.0, arrivals=[(at, at < 1200.0) for at in (100.0, 1099.0, 1100.0, 1101.0, 5000.0)]
    )
    assert machine.summary(1000.0, 2.0, until=10_000.0) == ColdStart(worst=3, worst_told=3, used=0.25)
    assert not ColdStart(12, 8, 1.0).exceeds(11.9) and ColdStart(12, 9, 1.0).exceeds(11.9)
    assert not ColdStart(12, 12, 1.0).exceeds(12.0)


def test_the_same_seed_gives_the_same_result() -> None:
    conditions = replace(CONDITIONS["much at once"], size=SIZE, cold_limit=allowances(SIZE)[0])
    assert FleetSimulation(conditions, 3).simulate() == FleetSimulation(conditions, 3).simulate()
