"""The ordinary path and the guards around it."""

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


def test_a_service_keeps_its_target_between_turns() -> None:
    cluster = Cluster(settings(), *(entry(f"m{n}") for n in range(6)))
    seen = {offer.machine for offer in (cluster.place("s") for _ in range(8)) if offer}
    assert len(seen) == 1


@pytest.mark.parametrize(("n", "turns"), [(1, 1), (3, 3), (300, MAX_TURNS_PER_ROUND)])
def test_turns_come_in_the_interval_with_the_own_number(n: int, turns: int) -> None:
    for number in range(0, n, max(1, n // 7)):
        cluster = Cluster(settings(number=number, n_instances=n), entry("m"))
        turn = cluster.now + timers(cluster.first)["turn"]
        assert turn > cluster.now
        assert (turn / INTERVAL_MS) % turns == number % turns
        assert timers(cluster.after(turn - cluster.now, i.TimerFired("turn")))["turn"] == turns * INTERVAL_MS


def test_a_turn_leaves_a_target_that_filled_up() -> None:
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


def test_the_emptier_machine_by_the_tighter_of_cores_and_memory_is_taken() -> None:
    machines = (
        entry("cores", free_cores=4.0),
        entry("memory", free_memory=8.0),
        entry("even", free_cores=20.0),
    )
    picks = {Cluster(settings(), *machines, seed=seed).place().machine for seed in range(20)}  # type: ignore[union-attr]
    assert picks == {"even"}


def test_near_best_candidates_are_drawn_at_random() -> None:
    cluster = Cluster(settings(), *(entry(f"m{n}") for n in range(CANDIDATES)))
    assert cluster.place("s", cores=0.001, memory=0.001) is not None
    order = [machine.entry.machine for machine in cluster.scheduler.machine_order("s")]
    machines = [entry(name, free_cores=8.0 + 32.0 * CANDIDATE_PENALTY * n) for n, name in enumerate(order)]
    picks = {Cluster(settings(), *machines, seed=seed).place("s").machine for seed in range(60)}  # type: ignore[union-attr]
    assert picks == set(order)


@pytest.mark.parametrize("n_instances", [1, 3, 300])
def test_schedulers_share_a_services_candidates_and_services_spread(n_instances: int) -> None:
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


def test_asked_room_decides_among_the_candidates() -> None:
    machines = [entry(f"m{n}", free_cores=2.0) for n in range(CANDIDATES - 1)] + [entry("free")]
    assert Cluster(settings(), *machines).place("s").machine == "free"  # type: ignore[union-attr]


def test_a_later_candidate_is_taken_only_where_it_is_clearly_emptier() -> None:
    cluster = Cluster(settings(), *(entry(f"m{n}") for n in range(CANDIDATES)))
    assert cluster.place("s", cores=0.001, memory=0.001) is not None
    first = cluster.scheduler.machine_order("s")[0].entry.machine
    for room, same in (
        (32.0 * (1 - CANDIDATE_PENALTY / 2 + COST_JITTER), True),
        (32.0 * (1 - 3 * CANDIDATE_PENALTY - 2 * COST_JITTER), False),
    ):
        machines = [entry(f"m{n}", free_cores=room if f"m{n}" == first else 32.0) for n in range(CANDIDATES)]
        picks = {Cluster(settings(), *machines, seed=seed).place("s").machine for seed in range(9)}  # type: ignore[union-attr]
        assert (first in picks) is same


def test_larger_machines_are_candidates_more_often() -> None:
    kinds = i.MachineKind("small", 16.0, 32.0), i.MachineKind("large", 64.0, 128.0)
    rooms = (16.0, 32.0), (64.0, 128.0)
    machines = [entry(f"m{n}", kind=n % 2, free_cores=rooms[n % 2][0], free_memory=rooms[n % 2][1]) for n in range(20)]
    cluster = Cluster(settings(kinds=kinds), *machines)
    orders = [cluster.scheduler.machine_order(f"s{n}") for n in range(200)]
    assert 130 < sum(order[0].entry.kind for order in orders) < 190  # four fifths in the mean


def test_own_binds_count_until_the_late_view_can_show_them() -> None:
    cluster = Cluster(settings(), entry("m", free_cores=2.0))
    assert cluster.place("a", cores=2.0) is not None
    assert cluster.place("b", cores=1.0) is None
    cluster.after(100.0, full_list(entry("m", free_cores=2.0)))  # too soon to show the bind
    assert cluster.place("c", cores=1.0) is None
    cluster.after(4000.0, full_list(entry("m", free_cores=2.0)))  # late enough: the room is real
    assert cluster.place("d", cores=1.0) is not None


def test_an_offer_that_was_turned_down_takes_no_room() -> None:
    cluster = Cluster(settings(), entry("m", free_cores=2.0))
    offer = cluster.place("a", cores=2.0)
    assert offer is not None
    cluster.report_outcome(offer, i.Ending.FULL, reason=i.Reason.QUEUE_FULL)
    cluster.after(1000.0)
    assert cluster.place("b", cores=2.0) is not None


def test_a_refusal_for_room_holds_until_the_view_can_be_newer() -> None:
    cluster = Cluster(settings(), entry("m"))
    offer = cluster.place("a")
    assert offer is not None
    assert not offers(cluster.report_outcome(offer, i.Ending.FULL, reason=i.Reason.NO_MEMORY))
    assert not offers(cluster.after(500.0, i.TimerFired("look")))
    assert len(offers(cluster.after(4000.0, i.TimerFired("look")))) == 1


def silence(cluster: Cluster, offer: i.Offer) -> list[i.Offer]:
    """Two time-outs in a row of the same task: the second is held against the machine."""
    again = offers(cluster.report_outcome(offer, i.Ending.TIMEOUT))
    assert [action.machine for action in again] == [offer.machine]  # one lost answer is not death
    return offers(cluster.after(5.0, i.Outcome(offer.request, 1, i.Ending.TIMEOUT, False)))


def test_a_silent_machine_is_left_alone_then_tried_with_one_offer() -> None:
    cluster = Cluster(settings(), entry("m"), *(entry(f"o{n}", free_cores=8.0) for n in range(4)))
    offer = cluster.place("a")
    assert offer is not None and offer.machine == "m"
    retry = silence(cluster, offer)
    assert len(retry) == 1 and retry[0].machine != "m"
    assert all(cluster.place(f"b{n}").machine != "m" for n in range(4))  # type: ignore[union-attr]
    cluster.after(2 * SUSPICION_MS)
    tried = [cluster.place(f"c{n}") for n in range(4)]
    assert sum(offer is not None and offer.machine == "m" for offer in tried) == 1


def test_a_failed_connection_is_held_against_a_machine_at_once() -> None:
    cluster = Cluster(settings(), entry("m"), entry("n", free_cores=8.0))
    offer = cluster.place("a")
    assert offer is not None and offer.machine == "m"
    assert offers(cluster.report_outcome(offer, i.Ending.CONNECT_FAILED))[0].machine == "n"


def test_silence_to_one_class_does_not_close_the_machine_to_the_others() -> None:
    classes = task_class(), task_class()
    cluster = Cluster(settings(*classes), entry("m"), entry("n", free_cores=1.0))
    offer = cluster.place("a", cores=2.0)
    assert offer is not None and offer.machine == "m"
    assert not silence(cluster, offer)
    assert cluster.place("b", task_class=1, cores=2.0) is not None


def test_a_higher_priority_is_offered_to_a_full_machine_only_where_machines_preempt() -> None:
    classes = task_class(), task_class(priority=1)
    for preempts in (False, True):
        cluster = Cluster(settings(*classes, preempts=preempts), entry("m", free_cores=0.0))
        assert cluster.place("low") is None
        offer = cluster.place("high", task_class=1)
        assert (offer is not None) is preempts
        if offer is not None:  # refused for room all the same: shut to this priority and below
            cluster.report_outcome(offer, i.Ending.FULL, reason=i.Reason.NO_CORES)
            assert cluster.place("again", task_class=1) is None


def test_a_refusal_for_room_does_not_shut_out_a_higher_priority_where_machines_preempt() -> None:
    classes = task_class(), task_class(priority=1)
    cluster = Cluster(settings(*classes, preempts=True), entry("m"))
    offer = cluster.place("low")
    assert offer is not None
    cluster.report_outcome(offer, i.Ending.FULL, reason=i.Reason.NO_CORES)
    assert cluster.place("low too") is None
    assert cluster.place("high", task_class=1) is not None


def test_where_all_were_silent_offers_go_out_again_in_a_moment() -> None:
    cluster = Cluster(settings(max_attempts=9), *(entry(f"m{n}") for n in range(3)))
    for n in range(3):
        offer = cluster.place(f"s{n}")
        assert offer is not None
        cluster.after(1.0, i.Outcome(offer.request, 0, i.Ending.CONNECT_FAILED, True))
    assert cluster.place("held") is None
    assert len(offers(cluster.after(4 * SUSPICION_MS, i.TimerFired("look")))) == 1


def test_the_list_is_asked_in_time_however_many_schedulers_there_are() -> None:
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


def test_a_machine_that_lost_its_tasks_is_cold_when_it_is_back() -> None:
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


def at_hand(cluster: Cluster, *machines: str) -> None:
    """Let the service run on these machines, so that its program is at hand on all of them."""
    cluster.after(
        0.0, *(i.TaskFound(cluster.task_request("s", cores=0.1, memory=0.1), machine) for machine in machines)
    )


def strained(note: i.StatusKind, value: float) -> Cluster:
    """A cluster whose emptier machine, m, was just noted as strained: the next task goes to n."""
    cluster = Cluster(settings(), entry("m"), entry("n", free_cores=30.0))
    at_hand(cluster, "m", "n")
    cluster.after(0.0, i.StatusNote(1, 0, note, value))
    offer = cluster.place("s")
    assert offer is not None and offer.machine == "n"
    return cluster


def test_strain_steers_away_and_passes() -> None:
    cluster = strained(i.StatusKind.SERVED_SHARE, 0.4)
    cluster.after(5000.0, full_list(entry("m"), entry("n", free_cores=20.0)), i.TimerFired("turn"))
    later = cluster.place("s")
    assert later is not None and later.machine == "m"


def test_memory_in_use_strains_but_never_counts_as_asked() -> None:
    cluster = strained(i.StatusKind.MACHINE_MEMORY, 1.0)
    cluster.after(0.0, full_list(entry("m")))
    assert cluster.place("s") is not None


def test_room_is_read_from_reports_of_what_was_asked_and_from_no_others() -> None:
    for counts, placed in ((i.LoadBasis.ASKED, False), (i.LoadBasis.USED, True)):
        cluster = Cluster(settings(report_counts=counts), entry("m"))
        at_hand(cluster, "m")
        report = i.LoadReport(free_cores=0.0, free_memory=0.0)
        cluster.after(0.0, i.Outcome(1, 0, i.Ending.OK, True, report=report))
        assert (cluster.place("s") is not None) is placed


def test_tasks_still_to_start_weigh_on_a_machine() -> None:
    cluster = Cluster(settings(), entry("m"), entry("n", free_cores=20.0))
    at_hand(cluster, "m", "n")
    for _ in range(12):
        offer = cluster.place("s", cores=0.01, memory=0.01)
        assert offer is not None and offer.machine == "m"
    cluster.after(10.0, i.TimerFired("turn"))
    waiting = cluster.place("s", cores=0.01, memory=0.01)
    assert waiting is not None and waiting.machine == "n"


def test_machines_are_filled_no_further_than_the_seen_use_lets_them_bear() -> None:
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
    assert placed(2.0) == 32  # never under what the machine has


def test_scarce_room_goes_to_the_task_of_more_worth() -> None:
    classes = task_class(worth=1.0), task_class(worth=9.0)
    cluster = Cluster(settings(*classes), entry("m", free_cores=1.0))
    cheap, dear = cluster.task_request("a"), cluster.task_request("b", task_class=1)
    assert [offer.request for offer in offers(cluster.after(0.0, cheap, dear))] == [dear.request]


@pytest.mark.parametrize(("n", "over_comes_second"), [(1, True), (3, True), (300, False)])
def test_a_tenant_surely_over_its_quota_comes_second(n: int, over_comes_second: bool) -> None:
    tenants = i.Tenant("big", 0.5, quota_cores=6.0), i.Tenant("small", 0.5, quota_cores=600.0)
    config = settings(tenants=tenants, over_share_worth=0.2, n_instances=n)
    own = 14.0 if n < 300 else 3.0  # three cores of one of 300 schedulers may be chance
    cluster = Cluster(config, entry("m", free_cores=own + 1.0))
    assert cluster.place("a", tenant=0, cores=own) is not None
    over, within = cluster.task_request("b", tenant=0), cluster.task_request("c", tenant=1)
    first = [offer.request for offer in offers(cluster.after(0.0, over, within))]
    assert first == [within.request if over_comes_second else over.request]


def test_a_failed_connection_closes_a_machine_for_longer_than_time_outs() -> None:
    cluster = Cluster(settings(max_attempts=9), entry("m"))
    offer = cluster.place("a")
    assert offer is not None
    cluster.report_outcome(offer, i.Ending.CONNECT_FAILED)
    assert not offers(cluster.after(SUSPICION_MS + 10.0, i.TimerFired("look")))
    assert offers(cluster.after(3 * SUSPICION_MS, i.TimerFired("look")))


def test_a_held_task_is_placed_as_soon_as_there_is_room() -> None:
    cluster = Cluster(settings(), entry("m", free_cores=0.0))
    asked = cluster.after(0.0, cluster.task_request())
    assert not offers(asked) and not answers(asked) and "look" in timers(asked)
    cluster.after(300.0, full_list(entry("m")))
    assert len(offers(cluster.after(100.0, i.TimerFired("look")))) == 1


def test_time_outs_follow_seen_accept_times() -> None:
    cluster = Cluster(settings(), entry("m"))
    first = cluster.place("s")
    assert first is not None
    for _n in range(60):
        offer = cluster.place("s", later=50.0, cores=0.01, memory=0.01)
        assert offer is not None
        cluster.after(20.0, i.Accepted(offer.request, 0, 20.0))
    quick = cluster.place("s", cores=0.01, memory=0.01)
    assert quick is not None and quick.timeout < first.timeout


def test_a_connection_that_broke_under_an_offer_does_not_close_the_machine() -> None:
    """One spoilt line closed a machine for 4 s, and all others had to take its tasks."""
    cluster = Cluster(settings(), entry("m"))
    offer = cluster.place("s")
    assert offer is not None
    assert offers(cluster.report_outcome(offer, i.Ending.RESET)), "tried again there, one offer at a time"
    assert cluster.place("other") is None


def test_patience_grows_with_the_line_at_the_machine_up_to_twice_the_aim() -> None:
    """A machine looks at one offer at a time: with one patience for all, those at the line's end were all made twice."""
    cluster = Cluster(settings(), entry("m"))
    patience = [offer.timeout for offer in (cluster.place(f"s{n}", cores=0.1, memory=0.1) for n in range(9)) if offer]
    assert len(patience) == 9 and patience == sorted(patience)
    assert patience[1] - patience[0] == pytest.approx(cluster.scheduler.turns_per_round * cluster.scheduler.accept_mean)
    assert patience[-1] == 2 * settings().classes[0].aim


def test_a_few_answers_are_enough_to_learn_accept_times() -> None:
    cluster = Cluster(settings(n_instances=300), entry("m"))
    first = cluster.place("s")
    for _ in range(12):
        offer = cluster.place("s", later=50.0, cores=0.01, memory=0.01)
        assert offer is not None
        cluster.after(20.0, i.Accepted(offer.request, 0, 20.0))
    last = cluster.place("s", cores=0.01, memory=0.01)
    assert first is not None and last is not None and last.timeout < 0.7 * first.timeout


def test_gone_machines_are_forgotten() -> None:
    cluster = Cluster(settings(), *(entry(f"m{n}") for n in range(9)))
    cluster.place("s")
    cluster.after(10.0, full_list(entry("n")))
    assert len(cluster.scheduler.machines) == 2  # the one listed, and the one with our offer
    offer = cluster.place("t")
    assert offer is not None and offer.machine == "n"


def test_late_duplicate_and_unknown_events_do_nothing() -> None:
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


def test_a_machine_that_sends_tasks_away_drains_until_it_starts_afresh() -> None:
    cluster = Cluster(settings(), entry("m"))
    offer = cluster.place("a")
    assert offer is not None
    cluster.accept(offer)
    cluster.report_outcome(offer, i.Ending.RESET, closed=True, reason=i.Reason.SENT_AWAY)
    cluster.after(9000.0, full_list(entry("m")))  # the late list still says ready
    assert cluster.place("b") is None
    cluster.after(100.0, full_list(entry("m", started=cluster.now)))
    assert cluster.place("c") is not None


def test_a_machine_that_evicts_or_pushes_out_has_no_room_for_a_moment() -> None:
    for reason in (i.Reason.EVICTED, i.Reason.PUSHED_OUT):
        cluster = Cluster(settings(), entry("m"))
        offer = cluster.place("a")
        assert offer is not None
        cluster.accept(offer)
        cluster.report_outcome(offer, i.Ending.RESET, closed=True, reason=reason)
        assert cluster.place("b") is None
        assert len(offers(cluster.after(4000.0, i.TimerFired("look")))) == 1


def test_without_any_view_the_others_are_taken_to_do_as_we_do() -> None:
    cluster = Cluster(settings(room_in_list=False), entry("m"))
    placed = [offer for offer in (cluster.place(f"s{n}") for n in range(40)) if offer]
    assert len(placed) == 11  # ten of ours count as thirty of 32 cores, eleven as more than all
    for offer in placed:
        cluster.accept(offer)
        cluster.report_outcome(offer, i.Ending.OK, closed=True)
    assert not cluster.scheduler.machines["m"].pending_changes
    assert cluster.place("again") is not None


def test_the_ledger_of_a_machine_without_newer_views_stays_bounded_and_right() -> None:
    """The list is out of reach and reports do not tell what is asked: nothing cut the ledger, and every look at a machine
    paid for its whole length (15,002 entries after 7,500 tasks)."""
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
    assert (round(cores, 6), round(memory, 6)) == (60.0, 60.0)  # one in ten still runs
    assert longest < 2 * (300 + 2 * 2500 / 30) + 2 * 64 + 2


def test_what_a_ledger_comes_to_is_the_sum_of_its_entries() -> None:
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


def test_a_machine_that_is_gone_is_forgotten_with_its_last_task() -> None:
    """It went from the list while it held a task; no list names it again, so it stayed and was ranked for ever."""
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
def test_orders_that_are_kept_are_those_that_would_be_made_anew(seed: int) -> None:
    """Machines come, go, change kind, come again under their name, and keep a task while they go."""
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
            anew = sorted(
                scheduler.machines.values(),
                key=lambda m, s=service: scheduler.order_key(s, m.entry.machine, m.entry.kind),  # type: ignore[misc]
            )
            assert kept == [machine.entry.machine for machine in anew]
            assert all(scheduler.machines[m.entry.machine] is m for m in scheduler.machine_order(service))
    assert len(scheduler.order_changes) < 64 + 2 * 60 + 2


def test_a_machine_that_comes_does_not_have_all_services_order_all_machines(monkeypatch: pytest.MonkeyPatch) -> None:
    """Hundreds of services and machines: to place each machine for each service stopped a placer for two seconds."""
    machines, services = 120, 80
    cluster = Cluster(settings(), *(entry(f"m{n}") for n in range(machines)))
    for n in range(services):
        cluster.place(f"s{n}", cores=0.01, memory=0.01)
    placed, place = [0], Scheduler.order_key

    def counted(self: Scheduler, service: str, machine: str, kind: int) -> float:
        placed[0] += 1
        return place(self, service, machine, kind)

    monkeypatch.setattr(Scheduler, "order_key", counted)
    came = [entry(f"n{n}", started=cluster.now) for n in range(5)]
    cluster.after(
        2000.0, i.MachineList(i.ListKind.DELTA, (*came, entry("m0", state=DRAINING), entry("m1", state=GONE)))
    )
    for n in range(services):
        cluster.after(1.0, cluster.task_request(f"s{n}", cores=0.01, memory=0.01))
    cluster.after(0.0, i.TimerFired("turn"))
    assert services <= placed[0] <= services * 2 * 6, "each service looks at those that moved, twice at the most"
