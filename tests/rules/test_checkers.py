"""What the checkers take as proof where messages are lost, submissions are repeated or the recording proxy reads late."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from typing import Any

import msgspec

from sprucepost.rules import trace as t
from sprucepost.rules.checker import RuleResult, RunHistory
from sprucepost.rules.checks import check_rules
from sprucepost.rules.record import build_run_history
from sprucepost.rules.streams import Message
from sprucepost.v1 import common_pb2, machine_pb2
from tests.placer.support import cluster

P, M, S = "placer-0", "m1", b"s"


def submitted(
    at: float, task: str = "t", left_ms: float = 2000.0, session: bytes = S, is_repeat: bool = False
) -> t.TaskSubmitted:
    return t.TaskSubmitted(at, P, session, task, left_ms, False, 5, is_repeat)


def reported(at: float, kind: str, task: str = "t", session: bytes = S, late_ms: float = 0.0) -> t.OutcomeSent:
    return t.OutcomeSent(at, P, 5, session, task, kind, late_ms)


def offered(at: float, request: int = 1, attempt: int = 0, cls: str = "once", **more: Any) -> t.OfferSent:
    task = common_pb2.Task(task_class=cls, service="s", cores=1, memory=1)
    return replace(t.OfferSent(at, P, M, (0, 5, request, attempt), "t", task, 300.0, False), **more)


def listed(at: float, state: int = 2, until: float = float("inf"), started: float = 0.0) -> t.MachineListed:
    return t.MachineListed(at, P, M, state, "room-a", "c", started, until)


def result_of(rule: str, events: Sequence[t.Event], history: RunHistory | None = None) -> RuleResult:
    return next(
        result
        for result in check_rules(events, cluster(), history or RunHistory(ended_at=1e6))
        if result.rule.startswith(rule)
    )


# Rule 2: the submission that a refusal answers

EARLIER: list[t.Event] = [
    submitted(0),
    offered(10),
    t.AttemptReported(20, P, M, (0, 5, 1, 0), "accepted"),
    reported(21, "bound"),
    reported(500, "ended"),
]


def test_a_refusal_at_once_is_not_checked_against_an_earlier_submission_of_that_name() -> None:
    assert not result_of("2", [*EARLIER, submitted(2000), reported(2001, "refused")]).broken


def test_a_refusal_after_an_attempt_of_the_same_submission_is_a_violation() -> None:
    assert result_of("2", [*EARLIER, submitted(2000), offered(2010, 2), reported(3900, "refused")]).broken


def test_a_joined_submission_is_checked_against_the_attempts_of_the_one_that_it_joined() -> None:
    events: list[t.Event] = [
        submitted(0),
        offered(10),
        submitted(400, session=b"other"),
        reported(900, "refused", session=b"other"),
    ]
    assert result_of("2", events).broken


def test_of_two_owners_the_second_outcome_is_checked_like_the_first() -> None:
    events: list[t.Event] = [
        submitted(0),
        submitted(5, session=b"other"),
        offered(10),
        reported(900, "failed"),
        reported(901, "refused", session=b"other"),
    ]
    assert result_of("2", events).broken


def test_a_submission_after_a_failed_one_starts_anew() -> None:
    assert not result_of(
        "2", [submitted(0), offered(10), reported(900, "failed"), submitted(950), reported(951, "refused")]
    ).broken


# Messages that may not have arrived

GONE = listed(1000, state=0, until=1010)


def test_a_drain_notice_sent_just_before_a_reset_is_no_proof() -> None:
    found = result_of("3", [GONE, offered(3000)])
    assert not found.broken and len(found.undecided) == 1
    assert result_of("3", [replace(GONE, connection_ended_at=2000), offered(3000)]).broken


def test_a_stopped_placer_reads_nothing_before_it_continues() -> None:
    stopped = RunHistory(stalled={P: [(900, 3000)]}, ended_at=1e6)
    assert not result_of("3", [replace(GONE, connection_ended_at=3010), offered(5000)], stopped).broken
    assert result_of("3", [replace(GONE, connection_ended_at=4000), offered(5000)], stopped).broken


def test_an_acceptance_that_may_not_have_arrived_does_not_count() -> None:
    events: list[t.Event] = [
        submitted(0),
        offered(10, cls="web"),
        t.AttemptReported(20, P, M, (0, 5, 1, 0), "accepted", connection_ended_at=25),
    ]
    assert not result_of("2", [*events, offered(400, attempt=1, cls="web")]).broken
    events[-1] = t.AttemptReported(20, P, M, (0, 5, 1, 0), "accepted")
    assert result_of("2", [*events, offered(400, attempt=1, cls="web")]).broken


def test_a_repeated_submission_counts_from_the_repeat() -> None:
    events: list[t.Event] = [
        submitted(0, left_ms=1000),
        submitted(900, left_ms=1000, is_repeat=True),
        reported(1800, "refused"),
    ]
    assert not result_of("1", events).broken
    assert result_of("1", [events[0], events[2]]).broken


def test_a_machine_is_cold_by_its_own_report() -> None:
    many: list[t.Event] = [offered(5000 + n, request=n) for n in range(20)]
    assert result_of("4", [t.MachineAttached(4000, P, M, 2, 5, 3900.0), listed(4100, 1), *many]).broken
    assert not result_of("4", [listed(4100, 1), *many]).broken


# Delays that the placer doesn't cause


def test_a_late_recording_proxy_leaves_a_check_undecided() -> None:
    drain: list[t.Event] = [listed(0)]
    assert result_of("3", [*drain, offered(1400)]).broken
    found = result_of("3", [*drain, offered(1400, late_ms=500.0)])
    assert not found.broken and "the recording proxy read 500 ms late" in found.undecided[0]
    found = result_of("1", [submitted(0, left_ms=500), reported(1000, "refused", late_ms=400.0)])
    assert not found.broken and len(found.undecided) == 1
    twice: list[t.Event] = [offered(0), t.AttemptReported(5, P, M, (0, 5, 1, 0), "refused")]
    assert not result_of("2", [*twice, offered(20, attempt=1)]).undecided
    found = result_of("2", [offered(0, cls="web"), offered(200, attempt=1, cls="web", late_ms=100.0)])
    assert not found.broken and len(found.undecided) == 1


def test_lack_of_cpu_time_leaves_a_check_undecided_but_a_stop_does_not() -> None:
    late: list[t.Event] = [listed(0), offered(2000)]
    found = result_of("3", late, RunHistory(starved={P: [(700, 1900)]}, ended_at=1e6))
    assert not found.broken and "no CPU time" in found.undecided[0]
    assert result_of("3", late, RunHistory(starved={P: [(700, 900)]}, ended_at=1e6)).broken
    stopped = RunHistory(starved={P: [(100, 600)]}, stalled={P: [(100, 600)]}, ended_at=1e6)
    assert result_of("3", late, stopped).broken


def test_two_open_attempts_are_a_violation() -> None:
    assert result_of("2", [offered(0, cls="web"), offered(10, attempt=1, cls="web")]).broken


def test_tasks_of_a_machine_s_earlier_incarnation_do_not_count_for_the_spread() -> None:
    spread = cluster(classes=[msgspec.structs.replace(cluster().classes[0], spread="machine", most=1)])
    first: list[t.Event] = [
        t.MachineAttached(0, P, M, 1, 5),
        offered(10, cls="web"),
        t.AttemptReported(20, P, M, (0, 5, 1, 0), "accepted"),
    ]
    again = offered(2000, request=2, cls="web")
    run = RunHistory(ended_at=1e6)
    assert check_rules([*first, again], spread, run)[4].broken
    assert not check_rules([*first, t.MachineAttached(1000, P, M, 2, 5), again], spread, run)[4].broken
    assert check_rules([*first, t.MachineAttached(1000, P, M, 1, 5), again], spread, run)[4].broken


def test_a_task_that_a_new_session_does_not_name_does_not_count_for_the_spread() -> None:
    """Its end was lost with the session before; it was counted until the end of the run."""
    spread = cluster(classes=[msgspec.structs.replace(cluster().classes[0], spread="machine", most=1)])
    key, run = (0, 5, 1, 0), RunHistory(ended_at=1e6)
    first, again = offered(10, cls="web"), offered(2000, request=2, cls="web")
    accepted = t.AttemptReported(20, P, M, key, "accepted")

    def is_broken(*events: t.Event) -> bool:
        return bool(check_rules([first, *events, again], spread, run)[4].broken)

    attached = t.MachineAttached(1000, P, M, 1, 5, held=frozenset())
    assert not is_broken(accepted, attached)
    assert is_broken(accepted, replace(attached, held=frozenset({key})))  # the machine still has it
    assert is_broken(accepted, replace(attached, held=None))  # a resumed session reports the end itself
    assert is_broken(accepted, replace(attached, machine="m2"))
    assert is_broken(accepted, replace(attached, incarnation=6))  # to another process
    assert is_broken(accepted, attached, t.TaskAdopted(1010, P, M, (0, 5, 3, 0), "t"))
    # The machine may have taken an offer after it had attached.
    assert is_broken(replace(attached, at=15), accepted)


def test_an_attach_names_the_attempts_that_a_machine_has_unless_its_session_is_resumed() -> None:
    def attached(resumed: bool) -> list[t.Event]:
        tracer = t.Tracer()
        held = [machine_pb2.Held(request=1, incarnation=5), machine_pb2.Held(request=2, incarnation=4)]
        hello = machine_pb2.ToMachine(hello=machine_pb2.PlacerHello(number=0, incarnation=5))
        reply = machine_pb2.FromMachine(attached=machine_pb2.Attached(machine=M, life=1, resumed=resumed, held=held))
        frames = [(True, hello.SerializeToString()), (False, reply.SerializeToString())]
        messages = [Message(1.0, n, 1, P, M, t.OFFERS, 1, up, data, 0.0) for n, (up, data) in enumerate(frames)]
        return [event for message in messages for event in tracer.events_of(message)]

    own = t.AttemptReported(1.0, P, M, (0, 5, 1, 0), "accepted")
    assert attached(False) == [t.MachineAttached(1.0, P, M, 1, 5, held=frozenset({own.key})), own]
    assert attached(True) == [t.MachineAttached(1.0, P, M, 1, 5, held=None), own]


def test_overlapping_stops_count_as_one() -> None:
    events = [
        {"what": "placer_stopped", "placer": P, "at": 10.0},
        {"what": "placer_stopped", "placer": P, "at": 50.0},
        {"what": "placer_continued", "placer": P, "at": 90.0},
        {"what": "placer_continued", "placer": P, "at": 120.0},
        {"what": "placer_starved", "placer": P, "since": 5.0, "at": 95.0},
    ]
    run = build_run_history(events)
    assert run.stalled == {P: [(10.0, 90.0)]} and run.starved_ms(P, 0.0, 200.0) == 10.0


def test_an_attempt_replaces_the_one_before_in_the_spread() -> None:
    """The proxy saw an acceptance that the placer had not read when it gave the attempt up and made the next one."""
    spread = cluster(classes=[msgspec.structs.replace(cluster().classes[0], spread="machine", most=1)])
    accepted = t.AttemptReported(149.7, P, M, (0, 5, 1, 0), "accepted")
    run = RunHistory(ended_at=1e6)
    assert not check_rules([offered(0, cls="web"), accepted, offered(150, attempt=1, cls="web")], spread, run)[4].broken
    assert check_rules([offered(0, cls="web"), accepted, offered(150, request=2, cls="web")], spread, run)[4].broken


def test_a_withdrawn_task_does_not_count_for_the_spread() -> None:
    """Accepted close to the time-out: in time for the checker, too late for the placer, which withdrew the attempt."""
    spread = cluster(classes=[msgspec.structs.replace(cluster().classes[0], spread="machine", most=1)])
    late: list[t.Event] = [offered(0, cls="web"), t.AttemptReported(299, P, M, (0, 5, 1, 0), "accepted")]
    again, run = offered(2000, request=2, cls="web"), RunHistory(ended_at=1e6)
    assert check_rules([*late, again], spread, run)[4].broken
    assert not check_rules([*late, t.AttemptWithdrawn(308, P, M, (0, 5, 1, 0)), again], spread, run)[4].broken
    assert check_rules([*late, t.AttemptWithdrawn(308, P, M, (0, 5, 7, 0)), again], spread, run)[4].broken


def test_an_adopted_task_counts_once() -> None:
    """Accepted close to the time-out: in time for the checker, too late for the placer, which then adopted the task."""
    spread = cluster(classes=[msgspec.structs.replace(cluster().classes[0], spread="machine", most=2)])
    late: list[t.Event] = [offered(0, cls="web"), t.AttemptReported(299, P, M, (0, 5, 1, 0), "accepted")]
    again, run = offered(2000, request=3, cls="web", name="u"), RunHistory(ended_at=1e6)
    assert not check_rules([*late, t.TaskAdopted(301, P, M, (0, 5, 2, 0), "t"), again], spread, run)[4].broken
    other = offered(100, request=4, cls="web", name="v")
    assert check_rules([*late, other, t.AttemptReported(350, P, M, (0, 5, 4, 0), "accepted"), again], spread, run)[
        4
    ].broken


def test_a_task_that_was_given_up_does_not_count_for_the_spread_until_it_is_adopted() -> None:
    """The proxy saw an acceptance that the placer had not read when, after a stop, it reported the task as failed."""
    spread = cluster(classes=[msgspec.structs.replace(cluster().classes[0], spread="machine", most=1)])
    first: list[t.Event] = [submitted(0), offered(10, cls="web"), t.AttemptReported(20, P, M, (0, 5, 1, 0), "accepted")]
    again, run = offered(60, request=2, cls="web", name="u"), RunHistory(ended_at=1e6)
    assert not check_rules([*first, reported(50, "failed"), again], spread, run)[4].broken
    assert check_rules([*first, reported(50, "bound"), again], spread, run)[4].broken
    assert check_rules([*first, reported(50, "bound"), submitted(52), reported(55, "failed"), again], spread, run)[
        4
    ].broken
    adopted = t.TaskAdopted(55, P, M, (0, 5, 3, 0), "t")
    assert check_rules([*first, reported(50, "failed"), adopted, again], spread, run)[4].broken


def test_a_submission_delivered_to_a_process_that_has_ended_was_not_read() -> None:
    """The recording proxy held the submission while the placer was killed.

    The next process has sessions of its own and must answer the submissions on those.
    """
    held = submitted(3500, left_ms=1000)
    old, new = t.ClientStream(0, P, held.session, True), t.ClientStream(3400, P, held.session, True)
    run = RunHistory(killed={P: [1000.0]}, ended_at=1e6)
    assert not result_of("1", [old, held], run).broken
    assert result_of("1", [new, held], run).broken and result_of("1", [old, held], RunHistory(ended_at=1e6)).broken
