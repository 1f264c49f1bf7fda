"""Placement by the decision module: choice of machines, retries, suspicion, timeouts and bookkeeping."""

from __future__ import annotations

import random

import pytest

from sprucepost import interface as i
from sprucepost.scheduler import (
    CANDIDATE_PENALTY,
    CANDIDATES,
    COST_JITTER,
    INTERVAL_MS,
    LIST_CALL_MS,
    MAX_TURNS_PER_ROUND,
    SUSPICION_MS,
    Scheduler,
)
from tests.support import (
    DRAINING,
    GONE,
    READY,
    Cluster,
    answers,
    entry,
    full_list,
    offers,
    settings,
    task_class,
    timers,
)


def test_service_keeps_its_target_between_turns() -> None:
    cluster = Cluster(settings(), *(entry(f"m{n}") for n in range(6)))
    seen = {offer.machine for offer in (cluster.place("s") for _ in range(8)) if offer}
    assert len(seen) == 1


@pytest.mark.parametrize(("n", "turns"), [(1, 1), (3, 3), (300, MAX_TURNS_PER_ROUND)])
def test_turns_are_in_the_interval_of_the_schedulers_number(n: int, turns: int) -> None:
    for number in range(0, n, max(1, n // 7)):
        cluster = Cluster(settings(number=number, n_instances=n), entry("m"))
        turn = cluster.now + timers(cluster.first)["turn"]
        assert turn > cluster.now
        assert (turn / INTERVAL_MS) % turns == number % turns
        assert timers(cluster.after(turn - cluster.now, i.TimerFired("turn")))["turn"] == turns * INTERVAL_MS


def test_turn_leaves_a_full_target() -> None:
    cluster = Cluster(settings(), entry("m"), entry("n"))
    offer = cluster.place("s", cores=0.1, memory=0.1)
    assert offer is not None
    other = "n" if offer.machine == "m" else "m"
    cluster.after(2000.0, full_list(entry(offer.machine, free_cores=8.0), entry(other)))
    again = cluster.place("s", cores=0.1, memory=0.1)
    assert again is not None and again.machine == offer.machine
    cluster.after(100.0, i.TimerFired("turn"))
    moved = cluster.place("s", cores=0.1, memory=0.1)
    assert moved is not None and moved.machine == other


def test_machine_is_chosen_by_the_scarcer_of_cores_and_memory() -> None:
    machines = (
        entry("cores", free_cores=4.0),
        entry("memory", free_memory=8.0),
        entry("even", free_cores=20.0),
    )
    picks = {Cluster(settings(), *machines, seed=seed).place().machine for seed in range(20)}  # type: ignore[union-attr]
    assert picks == {"even"}


def test_nearly_equal_candidates_are_chosen_at_random() -> None:
    cluster = Cluster(settings(), *(entry(f"m{n}") for n in range(CANDIDATES)))
    assert cluster.place("s", cores=0.001, memory=0.001) is not None
    order = [machine.entry.machine for machine in cluster.scheduler.machine_order("s")]
    machines = [entry(name, free_cores=8.0 + 32.0 * CANDIDATE_PENALTY * n) for n, name in enumerate(order)]
    picks = {Cluster(settings(), *machines, seed=seed).place("s").machine for seed in range(60)}  # type: ignore[union-attr]
    assert picks == set(order)


@pytest.mark.parametrize("n_instances", [1, 3, 300])
def test_schedulers_agree_on_a_services_candidates_and_services_spread(n_instances: int) -> None:
    machines = [entry(f"m{n}") for n in range(12)]
    targets: dict[str, set[str]] = {}
    for seed in range(8):
        for number in range(40):
            config = settings(number=seed % n_instances, n_instances=n_instances)
            offer = Cluster(config, *machines[seed:], *machines[:seed], seed=seed).place(f"s{number}")
            assert offer is not None
            targets.setdefault(f"s{number}", set()).add(offer.machine)
    assert max(len(seen) for seen in targets.values()) <= CANDIDATES
    assert set().union(*targets.values()) == {machine.machine for machine in machines}


def test_free_resources_decide_among_the_candidates() -> None:
    machines = [entry(f"m{n}", free_cores=2.0) for n in range(CANDIDATES - 1)] + [entry("free")]
    assert Cluster(settings(), *machines).place("s").machine == "free"  # type: ignore[union-attr]


def test_later_candidate_is_chosen_only_if_it_is_clearly_emptier() -> None:
    cluster = Cluster(settings(), *(entry(f"m{n}") for n in range(CANDIDATES)))
    assert cluster.place("s", cores=0.001, memory=0.001) is not None
    first = cluster.scheduler.machine_order("s")[0].entry.machine
    for free_cores, same in (
        (32.0 * (1 - CANDIDATE_PENALTY / 2 + COST_JITTER), True),
        (32.0 * (1 - 3 * CANDIDATE_PENALTY - 2 * COST_JITTER), False),
    ):
        machines = [entry(f"m{n}", free_cores=free_cores if f"m{n}" == first else 32.0) for n in range(CANDIDATES)]
        picks = {Cluster(settings(), *machines, seed=seed).place("s").machine for seed in range(9)}  # type: ignore[union-attr]
        assert (first in picks) is same


def test_larger_machines_are_candidates_more_often() -> None:
    kinds = i.MachineKind("small", 16.0, 32.0), i.MachineKind("large", 64.0, 128.0)
    sizes = (16.0, 32.0), (64.0, 128.0)
    machines = [entry(f"m{n}", kind=n % 2, free_cores=sizes[n % 2][0], free_memory=sizes[n % 2][1]) for n in range(20)]
    cluster = Cluster(settings(kinds=kinds), *machines)
    orders = [cluster.scheduler.machine_order(f"s{n}") for n in range(200)]
    assert 130 < sum(order[0].entry.kind for order in orders) < 190  # 160, four fifths, on average


def test_own_binds_count_until_the_list_can_show_them() -> None:
    cluster = Cluster(settings(), entry("m", free_cores=2.0))
    assert cluster.place("a", cores=2.0) is not None
    assert cluster.place("b", cores=1.0) is None
    cluster.after(100.0, full_list(entry("m", free_cores=2.0)))  # too early to include the bind
    assert cluster.place("c", cores=1.0) is None
    cluster.after(4000.0, full_list(entry("m", free_cores=2.0)))  # late enough: the cores are free
    assert cluster.place("d", cores=1.0) is not None


def test_refused_offer_occupies_no_resources() -> None:
    cluster = Cluster(settings(), entry("m", free_cores=2.0))
    offer = cluster.place("a", cores=2.0)
    assert offer is not None
    cluster.report_outcome(offer, i.Ending.FULL, reason=i.Reason.QUEUE_FULL)
    cluster.after(1000.0)
    assert cluster.place("b", cores=2.0) is not None


def test_refusal_for_lack_of_resources_lasts_until_the_list_can_be_newer() -> None:
    cluster = Cluster(settings(), entry("m"))
    offer = cluster.place("a")
    assert offer is not None
    assert not offers(cluster.report_outcome(offer, i.Ending.FULL, reason=i.Reason.NO_MEMORY))
    assert not offers(cluster.after(500.0, i.TimerFired("look")))
    assert len(offers(cluster.after(4000.0, i.TimerFired("look")))) == 1


def time_out_twice(cluster: Cluster, offer: i.Offer) -> list[i.Offer]:
    """Time out the same task twice in a row: only the second timeout makes the machine suspected."""
    again = offers(cluster.report_outcome(offer, i.Ending.TIMEOUT))
    assert [action.machine for action in again] == [offer.machine]  # a single lost answer may be the network
    return offers(cluster.after(5.0, i.Outcome(offer.request, 1, i.Ending.TIMEOUT, False)))


def test_suspected_machine_gets_no_offers_and_then_a_single_one() -> None:
    cluster = Cluster(settings(), entry("m"), *(entry(f"o{n}", free_cores=8.0) for n in range(4)))
    offer = cluster.place("a")
    assert offer is not None and offer.machine == "m"
    retry = time_out_twice(cluster, offer)
    assert len(retry) == 1 and retry[0].machine != "m"
    assert all(cluster.place(f"b{n}").machine != "m" for n in range(4))  # type: ignore[union-attr]
    cluster.after(2 * SUSPICION_MS)
    tried = [cluster.place(f"c{n}") for n in range(4)]
    assert sum(offer is not None and offer.machine == "m" for offer in tried) == 1


def test_failed_connection_makes_a_machine_suspected_at_once() -> None:
    cluster = Cluster(settings(), entry("m"), entry("n", free_cores=8.0))
    offer = cluster.place("a")
    assert offer is not None and offer.machine == "m"
    assert offers(cluster.report_outcome(offer, i.Ending.CONNECT_FAILED))[0].machine == "n"


def test_timeouts_of_one_class_do_not_exclude_the_machine_for_others() -> None:
    classes = task_class(), task_class()
    cluster = Cluster(settings(*classes), entry("m"), entry("n", free_cores=1.0))
    offer = cluster.place("a", cores=2.0)
    assert offer is not None and offer.machine == "m"
    assert not time_out_twice(cluster, offer)
    assert cluster.place("b", task_class=1, cores=2.0) is not None


def test_higher_priority_is_offered_to_a_full_machine_only_with_preemption() -> None:
    classes = task_class(), task_class(priority=1)
    for preempts in (False, True):
        cluster = Cluster(settings(*classes, preempts=preempts), entry("m", free_cores=0.0))
        assert cluster.place("low") is None
        offer = cluster.place("high", task_class=1)
        assert (offer is not None) is preempts
        if offer is not None:  # refused nevertheless: excluded for this priority and below
            cluster.report_outcome(offer, i.Ending.FULL, reason=i.Reason.NO_CORES)
            assert cluster.place("again", task_class=1) is None


def test_refusal_for_lack_of_resources_does_not_apply_to_a_higher_priority_with_preemption() -> None:
    classes = task_class(), task_class(priority=1)
    cluster = Cluster(settings(*classes, preempts=True), entry("m"))
    offer = cluster.place("low")
    assert offer is not None
    cluster.report_outcome(offer, i.Ending.FULL, reason=i.Reason.NO_CORES)
    assert cluster.place("low too") is None
    assert cluster.place("high", task_class=1) is not None


def test_offers_resume_soon_after_all_machines_were_suspected() -> None:
    cluster = Cluster(settings(max_attempts=9), *(entry(f"m{n}") for n in range(3)))
    for n in range(3):
        offer = cluster.place(f"s{n}")
        assert offer is not None
        cluster.after(1.0, i.Outcome(offer.request, 0, i.Ending.CONNECT_FAILED, True))
    assert cluster.place("held") is None
    assert len(offers(cluster.after(4 * SUSPICION_MS, i.TimerFired("look")))) == 1


def test_list_is_requested_in_time_with_many_schedulers() -> None:
    for seed in range(50):
        config = settings(n_instances=5000, list_mode=i.ListMode.ASK, ask_every=10000.0)
        assert timers(Cluster(config, entry("m"), seed=seed).first)["list"] <= 5000.0


@pytest.mark.parametrize("n", [1, 3, 300])
def test_list_calls_are_spread_over_the_schedulers(n: int) -> None:
    waits = []
    for number in range(n):
        config = settings(number=number, n_instances=n, list_mode=i.ListMode.ASK)
        cluster = Cluster(config, entry("m"), seed=number)
        waits.append(timers(cluster.first)["list"])
        assert i.Subscribe() in cluster.after(waits[-1], i.TimerFired("list"))
        assert timers(cluster.after(5.0, i.MachineList(i.ListKind.FAILED)))["list"] > 100.0
    assert max(waits) <= n * LIST_CALL_MS
    busiest = max(sum(wait <= other < wait + 200.0 for other in waits) for wait in waits)
    assert busiest <= max(3, 4 * 200.0 / LIST_CALL_MS)


def test_machine_that_lost_its_tasks_is_cold_when_it_returns() -> None:
    cluster = Cluster(settings(), entry("m"), now=500000.0)
    offer = cluster.place("a")
    assert offer is not None
    cluster.accept(offer)
    cluster.report_outcome(offer, i.Ending.RESET, closed=True)
    cluster.after(5000.0)
    answer = cluster.place("s0")
    assert answer is not None
    cluster.after(5.0, i.Accepted(answer.request, 0, 5.0))
    more = [cluster.place(f"t{n}") for n in range(10)]
    assert sum(offer is not None for offer in more) == 12 // 3 - 1


def start_service_on(cluster: Cluster, *machines: str) -> None:
    """Let the service run on these machines, so that its program is present on all of them."""
    cluster.after(
        0.0, *(i.TaskFound(cluster.task_request("s", cores=0.1, memory=0.1), machine) for machine in machines)
    )


def cluster_with_strained_machine(note: i.StatusKind, value: float) -> Cluster:
    """Return a cluster whose emptier machine, m, has just reported strain, so that the next task goes to n."""
    cluster = Cluster(settings(), entry("m"), entry("n", free_cores=30.0))
    start_service_on(cluster, "m", "n")
    cluster.after(0.0, i.StatusNote(1, 0, note, value))
    offer = cluster.place("s")
    assert offer is not None and offer.machine == "n"
    return cluster


def test_strained_machine_is_avoided_for_a_while() -> None:
    cluster = cluster_with_strained_machine(i.StatusKind.SERVED_SHARE, 0.4)
    cluster.after(5000.0, full_list(entry("m"), entry("n", free_cores=20.0)), i.TimerFired("turn"))
    later = cluster.place("s")
    assert later is not None and later.machine == "m"


def test_memory_in_use_is_strain_but_not_requested_memory() -> None:
    cluster = cluster_with_strained_machine(i.StatusKind.MACHINE_MEMORY, 1.0)
    cluster.after(0.0, full_list(entry("m")))
    assert cluster.place("s") is not None


def test_free_resources_are_read_only_from_reports_of_requested_resources() -> None:
    for counts, placed in ((i.LoadBasis.ASKED, False), (i.LoadBasis.USED, True)):
        cluster = Cluster(settings(report_counts=counts), entry("m"))
        start_service_on(cluster, "m")
        report = i.LoadReport(free_cores=0.0, free_memory=0.0)
        cluster.after(0.0, i.Outcome(1, 0, i.Ending.OK, True, report=report))
        assert (cluster.place("s") is not None) is placed


def test_tasks_that_have_not_started_count_against_a_machine() -> None:
    cluster = Cluster(settings(), entry("m"), entry("n", free_cores=20.0))
    start_service_on(cluster, "m", "n")
    for _ in range(12):
        offer = cluster.place("s", cores=0.01, memory=0.01)
        assert offer is not None and offer.machine == "m"
    cluster.after(10.0, i.TimerFired("turn"))
    waiting = cluster.place("s", cores=0.01, memory=0.01)
    assert waiting is not None and waiting.machine == "n"


def test_overcommitment_is_limited_by_the_observed_use() -> None:
    def placed(use: float) -> int:
        cls = task_class(calm=0.8, fade=0.2)
        cluster = Cluster(settings(cls, accepts_cores=2.5, accepts_memory=2.0), entry("m"))
        cluster.after(0.0, i.TaskFound(cluster.task_request("old"), "m"))
        for _ in range(1500):
            cluster.after(
                0.0,
                i.StatusNote(1, 0, i.StatusKind.CORES_USED, use),
                i.StatusNote(1, 0, i.StatusKind.MEMORY_USED, 2 * use),
            )
        return sum(cluster.place(f"s{n}", memory=0.1) is not None for n in range(100))

    assert placed(0.3) == 80
    assert 38 <= placed(0.8) <= 41
    assert placed(2.0) == 32  # never below the machine's own resources


def test_scarce_resources_go_to_the_task_of_more_worth() -> None:
    classes = task_class(worth=1.0), task_class(worth=9.0)
    cluster = Cluster(settings(*classes), entry("m", free_cores=1.0))
    cheap, dear = cluster.task_request("a"), cluster.task_request("b", task_class=1)
    assert [offer.request for offer in offers(cluster.after(0.0, cheap, dear))] == [dear.request]


@pytest.mark.parametrize(("n", "over_comes_second"), [(1, True), (3, True), (300, False)])
def test_tenant_clearly_over_its_quota_comes_second(n: int, over_comes_second: bool) -> None:
    tenants = i.Tenant("big", 0.5, quota_cores=6.0), i.Tenant("small", 0.5, quota_cores=600.0)
    config = settings(tenants=tenants, over_share_worth=0.2, n_instances=n)
    own = 14.0 if n < 300 else 3.0  # three cores at one of 300 schedulers may be chance
    cluster = Cluster(config, entry("m", free_cores=own + 1.0))
    assert cluster.place("a", tenant=0, cores=own) is not None
    over, within = cluster.task_request("b", tenant=0), cluster.task_request("c", tenant=1)
    first = [offer.request for offer in offers(cluster.after(0.0, over, within))]
    assert first == [within.request if over_comes_second else over.request]


def test_failed_connection_excludes_a_machine_for_longer_than_timeouts() -> None:
    cluster = Cluster(settings(max_attempts=9), entry("m"))
    offer = cluster.place("a")
    assert offer is not None
    cluster.report_outcome(offer, i.Ending.CONNECT_FAILED)
    assert not offers(cluster.after(SUSPICION_MS + 10.0, i.TimerFired("look")))
    assert offers(cluster.after(3 * SUSPICION_MS, i.TimerFired("look")))


def test_held_task_is_placed_when_resources_become_free() -> None:
    cluster = Cluster(settings(), entry("m", free_cores=0.0))
    asked = cluster.after(0.0, cluster.task_request())
    assert not offers(asked) and not answers(asked) and "look" in timers(asked)
    cluster.after(300.0, full_list(entry("m")))
    assert len(offers(cluster.after(100.0, i.TimerFired("look")))) == 1


def test_timeouts_follow_observed_accept_times() -> None:
    cluster = Cluster(settings(), entry("m"))
    first = cluster.place("s")
    assert first is not None
    for _n in range(60):
        offer = cluster.place("s", later=50.0, cores=0.01, memory=0.01)
        assert offer is not None
        cluster.after(20.0, i.Accepted(offer.request, 0, 20.0))
    quick = cluster.place("s", cores=0.01, memory=0.01)
    assert quick is not None and quick.timeout < first.timeout


def test_connection_reset_during_an_offer_does_not_exclude_the_machine() -> None:
    """A single broken connection excluded a machine for 4 s, so that all others had to take its tasks."""
    cluster = Cluster(settings(), entry("m"))
    offer = cluster.place("s")
    assert offer is not None
    assert offers(cluster.report_outcome(offer, i.Ending.RESET)), "retried on the same machine, one offer at a time"
    assert cluster.place("other") is None


def test_timeout_grows_with_the_queue_at_the_machine_up_to_twice_the_aim() -> None:
    """A machine handles one offer at a time: with a fixed timeout, offers at the end of its queue were made twice."""
    cluster = Cluster(settings(), entry("m"))
    timeouts = [offer.timeout for offer in (cluster.place(f"s{n}", cores=0.1, memory=0.1) for n in range(9)) if offer]
    assert len(timeouts) == 9 and timeouts == sorted(timeouts)
    assert timeouts[1] - timeouts[0] == pytest.approx(cluster.scheduler.turns_per_round * cluster.scheduler.accept_mean)
    assert timeouts[-1] == 2 * settings().classes[0].aim


def test_accept_times_are_learnt_from_a_few_answers() -> None:
    cluster = Cluster(settings(n_instances=300), entry("m"))
    first = cluster.place("s")
    for _ in range(12):
        offer = cluster.place("s", later=50.0, cores=0.01, memory=0.01)
        assert offer is not None
        cluster.after(20.0, i.Accepted(offer.request, 0, 20.0))
    last = cluster.place("s", cores=0.01, memory=0.01)
    assert first is not None and last is not None and last.timeout < 0.7 * first.timeout


def test_machines_missing_from_a_full_list_are_removed() -> None:
    cluster = Cluster(settings(), *(entry(f"m{n}") for n in range(9)))
    cluster.place("s")
    cluster.after(10.0, full_list(entry("n")))
    assert len(cluster.scheduler.machines) == 2  # the listed one, and the one with an open offer
    offer = cluster.place("t")
    assert offer is not None and offer.machine == "n"


def test_late_duplicate_and_unknown_events_are_ignored() -> None:
    cluster = Cluster(settings(), entry("m"))
    offer = cluster.place()
    assert offer is not None
    cluster.accept(offer)
    cluster.report_outcome(offer, i.Ending.OK, closed=True)
    assert not cluster.report_outcome(offer, i.Ending.OK, closed=True)
    assert not cluster.accept(offer)
    assert not cluster.after(
        0.0,
        i.StatusNote(99, 0, i.StatusKind.SERVED_SHARE, 0.5),
        i.RequestAbandoned(99),
        i.TimerFired("answer:99"),
        i.TimerFired("other"),
    )


def test_machine_that_sends_tasks_away_is_draining_until_it_restarts() -> None:
    cluster = Cluster(settings(), entry("m"))
    offer = cluster.place("a")
    assert offer is not None
    cluster.accept(offer)
    cluster.report_outcome(offer, i.Ending.RESET, closed=True, reason=i.Reason.SENT_AWAY)
    cluster.after(9000.0, full_list(entry("m")))  # the delayed list still says ready
    assert cluster.place("b") is None
    cluster.after(100.0, full_list(entry("m", started=cluster.now)))
    assert cluster.place("c") is not None


def test_machine_that_evicts_or_preempts_is_full_for_a_short_time() -> None:
    for reason in (i.Reason.EVICTED, i.Reason.PUSHED_OUT):
        cluster = Cluster(settings(), entry("m"))
        offer = cluster.place("a")
        assert offer is not None
        cluster.accept(offer)
        cluster.report_outcome(offer, i.Ending.RESET, closed=True, reason=reason)
        assert cluster.place("b") is None
        assert len(offers(cluster.after(4000.0, i.TimerFired("look")))) == 1


def test_without_a_list_other_schedulers_are_assumed_to_place_as_much() -> None:
    cluster = Cluster(settings(room_in_list=False), entry("m"))
    placed = [offer for offer in (cluster.place(f"s{n}") for n in range(40)) if offer]
    assert len(placed) == 11  # ten of this scheduler's tasks count as thirty of 32 cores, eleven as more than all
    for offer in placed:
        cluster.accept(offer)
        cluster.report_outcome(offer, i.Ending.OK, closed=True)
    assert not cluster.scheduler.machines["m"].pending_changes
    assert cluster.place("again") is not None


def test_pending_changes_without_newer_views_stay_bounded_and_correct() -> None:
    """Without a list, and with reports that do not contain requested resources, pending changes were never dropped, and
    each look at a machine took time proportional to their number (15,002 entries after 7,500 tasks)."""
    cluster = Cluster(settings(accepts_cores=50.0, accepts_memory=50.0), entry("m"))
    machine = cluster.scheduler.machines["m"]
    longest = 0
    for n in range(3000):
        offer = cluster.place("s", later=20.0, cores=0.2, memory=0.2)
        assert offer is not None
        cluster.accept(offer, 5.0)
        if n % 10:
            cluster.report_outcome(offer, i.Ending.OK, 5.0, closed=True)
        longest = max(longest, len(machine.pending_changes))
    cores, memory = cluster.scheduler._requested_resources(machine)
    assert (round(cores, 6), round(memory, 6)) == (60.0, 60.0)  # one task in ten still runs
    assert longest < 2 * (300 + 2 * 2500 / 30) + 2 * 64 + 2


def test_pending_totals_are_the_sum_of_the_pending_changes() -> None:
    cluster = Cluster(settings(), entry("m"))
    machine = cluster.scheduler.machines["m"]
    rng = random.Random(5)
    running: list[i.Offer] = []
    for _ in range(400):
        offer = cluster.place("s", later=rng.choice((1.0, 40.0, 400.0)), cores=rng.choice((0.1, 0.3, 0.7)))
        if offer is not None:
            running.append(offer)
            if rng.random() < 0.8:
                cluster.accept(offer, 1.0)
        while len(running) > 8:
            ending = rng.choice((i.Ending.OK, i.Ending.RESET))
            cluster.report_outcome(running.pop(rng.randrange(len(running))), ending, 1.0, closed=True)
        if rng.random() < 0.1:
            cluster.after(1.0, full_list(entry("m", free_cores=20.0)))
        sums = [
            sum(sign * attempt.task.ask.cores for _, sign, attempt in machine.pending_changes),
            sum(sign * attempt.task.ask.memory for _, sign, attempt in machine.pending_changes),
        ]
        assert machine.pending_totals == pytest.approx(sums, abs=1e-9)


def test_removed_machine_is_forgotten_after_its_last_task() -> None:
    """A machine removed from the list while it ran a task is in no later list, so that it stayed ranked for ever."""
    cluster = Cluster(settings(), entry("m"))
    offer = cluster.place("s")
    assert offer is not None
    cluster.accept(offer)
    cluster.after(1.0, i.MachineList(i.ListKind.DELTA, (entry("m", state=i.MachineState.GONE),)))
    assert "m" in cluster.scheduler.machines
    cluster.report_outcome(offer, i.Ending.RESET, closed=True)
    assert "m" not in cluster.scheduler.machines
    assert all(machine.entry.machine != "m" for machine in cluster.scheduler.machine_order("s"))


@pytest.mark.parametrize("seed", range(8))
def test_cached_machine_orders_equal_recomputed_ones(seed: int) -> None:
    """Machines are added, removed, change kind, return under the same name, and leave while they run a task."""
    rng = random.Random(seed)
    kinds = i.MachineKind("small", 16.0, 32.0), i.MachineKind("large", 64.0, 128.0)
    cluster = Cluster(settings(kinds=kinds), *(entry(f"m{n}", kind=n % 2) for n in range(30)))
    scheduler = cluster.scheduler
    for step in range(300):
        name, state = f"m{rng.randrange(60)}", rng.choice([GONE, READY, READY, DRAINING])
        known = scheduler.machines.get(name)
        kind = rng.randrange(2) if known is None or rng.random() < 0.1 else known.entry.kind
        if state is not GONE or known is not None:
            cluster.after(10.0, i.MachineList(i.ListKind.DELTA, (entry(name, state=state, kind=kind),)))
        if rng.random() < 0.3:
            offer = cluster.place(f"s{rng.randrange(4)}", cores=0.01, memory=0.01)
            if offer is not None and rng.random() < 0.7:
                cluster.after(1.0, i.Outcome(offer.request, 0, i.Ending.RESET, True))
        for service in [f"s{n}" for n in range(4) if rng.random() < 0.2 or step == 299]:
            kept = [machine.entry.machine for machine in scheduler.machine_order(service)]
            recomputed = sorted(
                scheduler.machines.values(),
                key=lambda m, s=service: scheduler.order_key(s, m.entry.machine, m.entry.kind),  # type: ignore[misc]
            )
            assert kept == [machine.entry.machine for machine in recomputed]
            assert all(scheduler.machines[m.entry.machine] is m for m in scheduler.machine_order(service))
    assert len(scheduler.order_changes) < 64 + 2 * 60 + 2


def test_added_machine_does_not_make_all_services_reorder_all_machines(monkeypatch: pytest.MonkeyPatch) -> None:
    """With hundreds of services and machines, ranking each machine for each stopped a placer for two seconds."""
    machines, services = 120, 80
    cluster = Cluster(settings(), *(entry(f"m{n}") for n in range(machines)))
    for n in range(services):
        cluster.place(f"s{n}", cores=0.01, memory=0.01)
    calls, order_key = [0], Scheduler.order_key

    def counting_order_key(self: Scheduler, service: str, machine: str, kind: int) -> float:
        calls[0] += 1
        return order_key(self, service, machine, kind)

    monkeypatch.setattr(Scheduler, "order_key", counting_order_key)
    added = [entry(f"n{n}", started=cluster.now) for n in range(5)]
    cluster.after(
        2000.0, i.MachineList(i.ListKind.DELTA, (*added, entry("m0", state=DRAINING), entry("m1", state=GONE)))
    )
    for n in range(services):
        cluster.after(1.0, cluster.task_request(f"s{n}", cores=0.01, memory=0.01))
    cluster.after(0.0, i.TimerFired("turn"))
    assert services <= calls[0] <= services * 2 * 6, "each service ranks only the changed machines, at most twice"
