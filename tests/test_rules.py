"""The five rules, each checked by the scheduler's actions."""

from __future__ import annotations

from dataclasses import replace

import pytest

from sprucepost import interface as i
from tests.support import (
    DRAINING,
    GONE,
    Cluster,
    answers,
    entry,
    full_list,
    offers,
    settings,
    task_class,
    timers,
)

KEYED_CELL = {"effect": i.Effect.KEYED, "group": i.Scope.CELL, "window": 5000.0}


def test_a_task_without_a_machine_is_refused_before_its_deadline() -> None:
    cluster = Cluster(settings())
    actions = cluster.after(0.0, cluster.task_request(left=1000.0))
    due = timers(actions)["answer:1"]
    assert 990.0 <= due < 1000.0
    assert not offers(actions)
    final_answers = answers(cluster.after(due, i.TimerFired("answer:1")))
    assert [type(action) for action in final_answers] == [i.Refuse]
    assert not cluster.after(5.0, i.TimerFired("answer:1"), i.TimerFired("look"))


def test_an_offer_without_an_outcome_gets_one_answer_before_the_deadline() -> None:
    cluster = Cluster(settings(task_class(effect=i.Effect.UNSAFE)), entry("m"))
    offer = cluster.place(left=1000.0)
    assert offer is not None and offer.timeout <= 1000.0
    assert answers(cluster.after(998.0, i.TimerFired("answer:1"))) == [i.Fail(1)]
    assert not cluster.report_outcome(offer, i.Ending.TIMEOUT)


def test_an_accepted_task_gets_no_further_answer() -> None:
    cluster = Cluster(settings(), entry("m"))
    offer = cluster.place()
    assert offer is not None
    cluster.accept(offer)
    assert not cluster.after(7993.0, i.TimerFired("answer:1"))
    assert not cluster.report_outcome(offer, i.Ending.OK, closed=True)


def test_a_task_is_answered_when_its_attempts_are_exhausted() -> None:
    cluster = Cluster(settings(max_attempts=2), entry("m"), entry("n"))
    offer = cluster.place()
    assert offer is not None
    second = offers(cluster.report_outcome(offer, i.Ending.FULL, reason=i.Reason.NO_CORES))
    assert len(second) == 1 and second[0].machine != offer.machine
    last = cluster.report_outcome(second[0], i.Ending.FULL, attempt=1, reason=i.Reason.NO_CORES)
    assert [type(action) for action in answers(last)] == [i.Refuse]


@pytest.mark.parametrize("ending", [i.Ending.TIMEOUT, i.Ending.RESET, i.Ending.ERROR, i.Ending.CANCELLED])
def test_an_unsafe_task_that_may_run_is_neither_retried_nor_refused(ending: i.Ending) -> None:
    cluster = Cluster(settings(task_class(effect=i.Effect.UNSAFE)), entry("m"), entry("n"))
    offer = cluster.place()
    assert offer is not None
    actions = cluster.report_outcome(offer, ending)
    assert not offers(actions) and answers(actions) == [i.Fail(1)]


@pytest.mark.parametrize("ending", [i.Ending.FULL, i.Ending.CONNECT_FAILED])
def test_an_unsafe_task_that_never_ran_is_retried(ending: i.Ending) -> None:
    cluster = Cluster(settings(task_class(effect=i.Effect.UNSAFE)), entry("m"), entry("n"))
    offer = cluster.place()
    assert offer is not None
    assert len(offers(cluster.report_outcome(offer, ending, reason=i.Reason.UNTOLD))) == 1


def test_a_keyed_task_that_may_run_stays_in_its_cell_and_its_window() -> None:
    cluster = Cluster(settings(task_class(**KEYED_CELL), max_attempts=4), entry("m", cell=1), entry("n", cell=2))
    offer = cluster.place()
    assert offer is not None
    retries = offers(cluster.report_outcome(offer, i.Ending.TIMEOUT))
    assert [action.machine for action in retries] == [offer.machine]
    assert not offers(cluster.after(0.0, i.Outcome(1, 1, i.Ending.TIMEOUT, False)))
    same_cell = entry("twin", cell=1 if offer.machine == "m" else 2)
    cluster.after(0.0, full_list(entry("m", cell=1), entry("n", cell=2), same_cell))
    retries = offers(cluster.after(100.0, i.TimerFired("look")))
    assert [action.machine for action in retries] == ["twin"]
    late = cluster.after(5000.0, i.Outcome(1, 2, i.Ending.TIMEOUT, False))
    assert not offers(late) and answers(late) == [i.Fail(1)]


def test_a_keyed_task_stays_in_its_cell_after_its_machine_left_the_list() -> None:
    cluster = Cluster(settings(task_class(**KEYED_CELL)), entry("m", cell=1))
    offer = cluster.place()
    assert offer is not None
    cluster.after(10.0, full_list(entry("other", cell=2)))
    assert not offers(cluster.report_outcome(offer, i.Ending.TIMEOUT))
    cluster.after(10.0, i.MachineList(i.ListKind.DELTA, (entry("twin", cell=1),)))
    retries = offers(cluster.after(100.0, i.TimerFired("look")))
    assert [action.machine for action in retries] == ["twin"]


def test_a_task_has_one_open_attempt_at_a_time() -> None:
    cluster = Cluster(settings(), entry("m"), entry("n"))
    assert cluster.place() is not None
    assert not offers(cluster.after(100.0, i.TimerFired("look")))
    assert not offers(cluster.after(100.0, i.TimerFired("turn")))


@pytest.mark.parametrize("state", [DRAINING, GONE])
def test_no_offers_go_to_a_machine_that_drains_or_is_gone(state: i.MachineState) -> None:
    cluster = Cluster(settings(), entry("m"))
    assert cluster.place() is not None
    cluster.after(0.0, i.MachineList(i.ListKind.DELTA, (entry("m", state=state),)))
    assert cluster.place() is None
    cluster.after(0.0, i.MachineList(i.ListKind.DELTA, (entry("m"),)))
    assert cluster.place() is not None


def test_a_machine_missing_from_a_full_list_is_gone() -> None:
    cluster = Cluster(settings(), entry("m"))
    cluster.after(0.0, full_list(entry("n", started=1.0)))
    offer = cluster.place()
    assert offer is not None and offer.machine == "n"


def test_a_failed_list_request_keeps_the_previous_list() -> None:
    cluster = Cluster(settings(list_mode=i.ListMode.ASK), entry("m"))
    assert i.Subscribe() in cluster.after(timers(cluster.first)["list"], i.TimerFired("list"))
    failed = cluster.after(0.0, i.MachineList(i.ListKind.FAILED))
    wait = timers(failed)["list"]
    assert 0.0 < wait < 10000.0
    assert i.Subscribe() in cluster.after(wait, i.TimerFired("list"))
    assert cluster.place() is not None


@pytest.mark.parametrize("tick", [2.0, 50.0])
def test_a_cold_machine_gets_at_most_its_share_in_any_window_including_refused_offers(tick: float) -> None:
    """Must hold on the wire too, where a busy process sends one decision up to two ticks late and the next at once."""
    cluster = Cluster(settings(tick=tick), entry("m", free_cores=0.0))
    cluster.after(10.0, i.MachineList(i.ListKind.DELTA, (entry("cold", started=100005.0),)))
    sent = []
    for step in range(160):
        offer = cluster.place(f"s{step}", later=25.0)
        if offer is not None:
            sent.append(cluster.now)
            cluster.report_outcome(offer, i.Ending.FULL, later=0.0, reason=i.Reason.QUEUE_FULL)
    assert sent
    for first in sent:
        assert sum(first <= moment < first + 2000.0 + 2 * tick for moment in sent) <= 12 / 3


@pytest.mark.parametrize(("n", "bears"), [(1, 6.0), (3, 7.0), (3, 2.0), (3, 1.0), (300, 40.0), (300, 1.0), (300, 0.0)])
def test_all_schedulers_together_keep_within_the_cold_allowance_and_use_it(n: int, bears: float) -> None:
    clusters = [Cluster(settings(number=number, n_instances=n, cold_bears=bears), seed=number) for number in range(n)]
    cold, sent = entry("cold", started=100001.0), []
    for cluster in clusters:
        cluster.after(10.0, full_list(cold))
    for _ in range(56):
        for cluster in clusters:
            offer = cluster.place("s", later=250.0, cores=0.001, memory=0.001, left=150.0)
            if offer is not None:
                sent.append(cluster.now)
                cluster.report_outcome(offer, i.Ending.FULL, later=0.0, reason=i.Reason.QUEUE_FULL)
    sent.sort()
    max_in_window = max((sum(first <= moment < first + 2000.0 for moment in sent) for first in sent), default=0)
    assert max_in_window <= bears
    assert len(sent) >= int(bears) * 14000 / 2000.0 / 2 * 0.75  # one pause per turn


@pytest.mark.parametrize("ending", [i.Ending.FULL, i.Ending.TIMEOUT, i.Ending.CONNECT_FAILED, None])
def test_an_offer_to_a_cold_machine_counts_until_one_window_after_its_answer(ending: i.Ending | None) -> None:
    """The offer may have waited a second for its connection, so that the machine sees it and the next in one window."""
    cluster = Cluster(settings(cold_bears=3.0), entry("m", free_cores=0.0))
    cluster.after(10.0, i.MachineList(i.ListKind.DELTA, (entry("cold", started=100005.0),)))
    first = cluster.place("a")
    assert first is not None
    if ending is None:
        cluster.accept(first, later=1000.0)
    else:
        cluster.report_outcome(first, ending, later=1000.0, reason=i.Reason.QUEUE_FULL)
    answered = cluster.now
    cluster.scheduler.machines["cold"].suspicions.clear()
    cluster.place("b", later=5.0)
    sent: list[float] = []
    while not sent and cluster.now < answered + 6000.0:
        if cluster.place("b", later=25.0) is not None:
            sent.append(cluster.now)
    assert answered + 2000.0 < sent[0] < answered + 2200.0


@pytest.mark.parametrize("other_start", [0.0, 100001.0])
@pytest.mark.parametrize("whole", [True, False])
def test_a_cold_machine_that_leaves_and_rejoins_the_list_gets_no_second_allowance(
    other_start: float, whole: bool
) -> None:
    """List updates may arrive out of order: first the start, then the state before it, then the start again."""
    full, cold = entry("m", free_cores=0.0), entry("cold", started=100005.0)
    before = i.MachineList(i.ListKind.DELTA, (entry("cold", state=GONE, started=other_start),))
    cluster = Cluster(settings(cold_bears=3.0), full)
    cluster.after(10.0, full_list(full, cold))
    first = cluster.place("a")
    assert first is not None
    cluster.accept(first)
    cluster.after(5.0, i.Outcome(first.request, 0, i.Ending.OK, True))
    cluster.after(100.0, full_list(full) if whole else before)
    cluster.after(100.0, i.MachineList(i.ListKind.DELTA, (replace(cold, started=other_start),)))
    assert cluster.place("b") is None
    assert len(offers(cluster.after(2000.0, i.TimerFired("look")))) == 1


@pytest.mark.parametrize(("bears", "at_first", "later"), [(100.0, 41, 50), (24.0, 12, 12)])
def test_the_share_is_reduced_while_other_schedulers_may_not_know_of_a_start(
    bears: float, at_first: int, later: int
) -> None:
    """Schedulers that do not know of the start add up to half of the others' offers.

    Of an allowance of 100 the others then use 82: 3/2 of that is an excess that chance explains.
    """
    cluster = Cluster(settings(n_instances=2, cold_bears=bears), entry("m", free_cores=0.0))
    cluster.after(10.0, i.MachineList(i.ListKind.DELTA, (entry("cold", started=100005.0),)))

    def offers_sent_at_once() -> int:
        asks = [cluster.task_request(f"s{n}", cores=0.01, memory=0.01, left=1000.0) for n in range(60)]
        sent = offers(cluster.after(0.0, *asks))
        done: list[i.Event] = [i.Accepted(offer.request, 0, 1.0) for offer in sent]
        cluster.after(1.0, *done, *(i.Outcome(offer.request, 0, i.Ending.OK, True) for offer in sent))
        cluster.after(1000.0, *(i.TimerFired(f"answer:{ask.request}") for ask in asks))
        return len(sent)

    assert offers_sent_at_once() == at_first
    cluster.after(1500.0)
    assert offers_sent_at_once() == at_first
    cluster.after(2000.0)
    assert offers_sent_at_once() == later


def test_a_cold_machine_that_has_gone_is_forgotten_once_it_would_be_warm() -> None:
    cluster = Cluster(settings(), entry("m"))
    cluster.after(10.0, full_list(entry("m"), entry("cold", started=100005.0)))
    cluster.after(10.0, full_list(entry("m")))
    assert set(cluster.scheduler.machines) == {"m", "cold"}
    cluster.after(15_000.0, i.TimerFired("turn"))
    assert set(cluster.scheduler.machines) == {"m"}


def test_a_restarted_scheduler_counts_the_cold_allowance_as_used() -> None:
    cluster = Cluster(settings(), entry("cold", started=99000.0))
    assert cluster.place() is None
    assert len(offers(cluster.after(2000.0, i.TimerFired("look")))) == 1


@pytest.mark.parametrize(("place", "most"), [(i.Scope.MACHINE, 2), (i.Scope.CELL, 3), (i.Scope.ZONE, 4)])
def test_spread_counts_open_offers_running_tasks_and_found_tasks(place: i.Scope, most: int) -> None:
    machines = [entry(f"m{n}", cell=n // 2, zone=n // 4) for n in range(8)]
    cluster = Cluster(settings(task_class(spread=place, most=most)), *machines)
    cluster.after(0.0, i.TaskFound(cluster.task_request(), "m0"))
    count: dict[object, int] = {"m0" if place is i.Scope.MACHINE else 0: 1}
    for _ in range(60):
        offer = cluster.place()
        if offer is None:
            continue
        number = int(offer.machine[1:])
        where = {i.Scope.MACHINE: offer.machine, i.Scope.CELL: number // 2, i.Scope.ZONE: number // 4}[place]
        count[where] = count.get(where, 0) + 1
    assert set(count.values()) == {most}


def test_a_found_task_on_an_unlisted_machine_counts_everywhere() -> None:
    cluster = Cluster(settings(task_class(spread=i.Scope.ZONE, most=1)), entry("m"))
    cluster.after(0.0, i.TaskFound(cluster.task_request(), "unlisted"))
    assert cluster.place() is None


@pytest.mark.parametrize(("n", "number"), [(1, 0), (1, 5), (3, 3), (300, 299), (300, 300), (5000, 7)])
@pytest.mark.parametrize("machines", [0, 1])
def test_every_task_gets_one_answer_with_unusual_fleet_sizes_and_simultaneous_events(
    n: int, number: int, machines: int
) -> None:
    config = settings(n_instances=n, number=number, cold_bears=2.0)
    cluster = Cluster(config, *(entry(f"m{k}", started=99999.0) for k in range(machines)))
    found = [i.TaskFound(cluster.task_request("f", left=1.0), f"unknown{k}") for k in range(3)]
    asks = [cluster.task_request(f"s{k % 3}", left=500.0) for k in range(20)]
    actions = cluster.after(0.0, *found, *asks)
    due = [i.TimerFired(name) for name in timers(actions)]
    sent = [offer.request for offer in offers(actions)]
    accepted = set(sent[:1])
    late: list[i.Event] = [i.Outcome(request, 0, i.Ending.TIMEOUT, False) for request in sent[1:]]
    late += [i.Accepted(request, 0, 3000.0) for request in accepted]
    late += [i.Outcome(event.request.request, 0, i.Ending.RESET, True) for event in found]
    final_answers = answers(cluster.after(3000.0, *late, *due, *late, *due))
    assert sorted(a.request for a in final_answers) == sorted({ask.request for ask in asks} - accepted)
    assert not cluster.after(10.0, *late, *(timer for timer in due if timer.name != "turn"))
