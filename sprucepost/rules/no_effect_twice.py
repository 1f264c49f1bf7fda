"""Rule 2: no task has its effect twice, and each request has one open attempt at a time."""

from __future__ import annotations

from dataclasses import dataclass

from sprucepost.rules import trace as t
from sprucepost.rules.checker import SLACK_MS, Checker, MachineLocations, RunHistory
from sprucepost.settings import Cluster, TaskClass


@dataclass
class _Attempt:
    event: t.OfferSent
    refused_at: float | None = None
    accepted_at: float | None = None
    machine_gone_at: float | None = None  # the machine is gone or was replaced, as far as the placer knows


class NoEffectTwice(Checker):
    """Checks that a request has one open attempt at a time, and that a class's rules for retries are kept.

    After an attempt that may have run, a task of an ``unsafe`` class must not be offered again, and one of a ``keyed``
    class only within its window and its group of machines.
    """

    rule = "2 no effect twice"

    def __init__(self, cluster: Cluster, history: RunHistory) -> None:
        super().__init__(cluster, history)
        self._requests: dict[tuple[int, int, int], list[_Attempt]] = {}
        self._by_key: dict[t.Key, _Attempt] = {}
        self._by_name: dict[tuple[str, str], list[_Attempt]] = {}
        self._locations = MachineLocations()
        self._incarnations: dict[tuple[str, str], int] = {}
        # By placer and machine: attempts that may be open.
        self._open_attempts: dict[tuple[str, str], list[_Attempt]] = {}
        # By placer, incarnation and task: submissions without an outcome, and requests of submissions that have theirs.
        self._open_submissions: dict[tuple[str, int, str], int] = {}
        self._earlier_requests: dict[tuple[str, int, str], set[tuple[int, int, int]]] = {}

    def observe(self, event: t.Event) -> None:
        match event:
            case t.OfferSent(is_repeat=False):
                self.result.checked += 1
                self._handle_offer(event)
            case t.AttemptReported():
                self._handle_report(event)
            case t.MachineListed(state=0):
                # A notice that may not have arrived ends the attempt too: the placer may act on it.
                self._machine_gone(event.placer, event.machine, event.at)
            case t.MachineListed():
                self._locations.record(event)
            case t.MachineAttached():
                self._handle_attached(event)
            case t.TaskSubmitted(hand_over=False, is_repeat=False):
                self._handle_submission(event)
            case t.OutcomeSent(kind="bound" | "refused" | "failed"):
                self._handle_outcome(event)

    def _handle_report(self, event: t.AttemptReported) -> None:
        attempt = self._by_key.get(event.key)
        if attempt is None:
            return
        if event.kind == "refused":
            attempt.refused_at = event.at
        elif attempt.accepted_at is None or event.is_repeat:
            was_read = self.history.was_read(event.placer, event.at, event.connection_ended_at)
            attempt.accepted_at = event.at if was_read else None

    def _handle_attached(self, event: t.MachineAttached) -> None:
        before = self._incarnations.get((event.placer, event.machine))
        if before is not None and before != event.machine_incarnation:
            self._machine_gone(event.placer, event.machine, event.at)
        self._incarnations[event.placer, event.machine] = event.machine_incarnation

    def _handle_outcome(self, event: t.OutcomeSent) -> None:
        if event.kind == "refused":
            self._handle_refusal(event)
        key = (event.placer, event.incarnation, event.task)
        self._open_submissions[key] = max(0, self._open_submissions.get(key, 0) - 1)

    def _handle_submission(self, event: t.TaskSubmitted) -> None:
        """Note which requests were made before this submission, unless it joins an open one.

        While a submission of a task is open, later ones join it, and the attempts since the first of them count for
        every outcome. A submission that comes when none is open starts anew: earlier attempts don't belong to it.
        """
        key = (event.placer, event.incarnation, event.task)
        if not self._open_submissions.get(key):
            self._earlier_requests[key] = {a.event.key[:3] for a in self._by_name.get((event.placer, event.task), [])}
        self._open_submissions[key] = self._open_submissions.get(key, 0) + 1

    def _machine_gone(self, placer: str, machine: str, at: float) -> None:
        for attempt in self._open_attempts.pop((placer, machine), []):
            if attempt.machine_gone_at is None:
                attempt.machine_gone_at = at

    def _end_of(self, attempt: _Attempt) -> float:
        """Return when the attempt was no longer open, as far as the placer could know."""
        ends = attempt.event.at - attempt.event.late_ms + attempt.event.wait_ms
        for ended_at in (attempt.refused_at, attempt.machine_gone_at):
            if ended_at is not None:
                ends = min(ends, ended_at)
        return ends

    def _handle_offer(self, event: t.OfferSent) -> None:
        key = event.key[:3]
        before = self._requests.setdefault(key, [])
        attempt = _Attempt(event)
        cls = self.classes.get(event.task.task_class)
        for earlier in before:
            if earlier.accepted_at is not None and earlier.accepted_at < event.at - SLACK_MS:
                timed_out = earlier.event.at + earlier.event.wait_ms <= earlier.accepted_at + SLACK_MS
                if not timed_out:
                    self.add_violation(event.at, f"{event.placer} offered {event.name} again after it was accepted")
                    break
            slack = min(SLACK_MS, earlier.event.wait_ms / 2)  # must not cover the attempt itself
            if (
                earlier.refused_at is None
                and event.at - event.late_ms < self._end_of(earlier) + earlier.event.late_ms - slack
            ):
                text = f"{event.placer} has two open attempts of {event.name}"
                if event.at < self._end_of(earlier) - slack:
                    self.add_violation(event.at, text)
                    break
                late = max(event.late_ms, earlier.event.late_ms)
                self.add_undecided(event.at, text, f"the recording proxy read {late:.0f} ms late")
        may_run = [earlier for earlier in before if earlier.refused_at is None]
        if may_run and cls is not None:
            self._check_retry(event, may_run[0].event, cls)
        before.append(attempt)
        self._by_key[event.key] = attempt
        self._by_name.setdefault((event.placer, event.name), []).append(attempt)
        self._open_attempts.setdefault((event.placer, event.machine), []).append(attempt)

    def _check_retry(self, event: t.OfferSent, first: t.OfferSent, cls: TaskClass) -> None:
        if cls.effect == "unsafe":
            self.add_violation(event.at, f"{event.placer} offered unsafe {event.name} again although it may have run")
        elif cls.effect == "keyed":
            if event.at - first.at > cls.window_ms + SLACK_MS:
                self.add_violation(event.at, f"{event.placer} offered {event.name} again after its window")
            same_group = self._locations.share_location(event.placer, event.machine, first.machine, cls.group)
            if cls.group != "all" and same_group is False:
                self.add_violation(event.at, f"{event.placer} offered {event.name} outside its key's {cls.group}")

    def _handle_refusal(self, event: t.OutcomeSent) -> None:
        """Check that a refusal keeps its promise: a retry is harmless, as no attempt of this submission may have run."""
        before = self._earlier_requests.get((event.placer, event.incarnation, event.task), set())
        attempts = [
            attempt
            for attempt in self._by_name.get((event.placer, event.task), [])
            if attempt.event.key[1] == event.incarnation and attempt.event.key[:3] not in before
        ]
        if not attempts:
            return
        cls = self.classes.get(attempts[-1].event.task.task_class)
        harmless = cls is None or cls.effect == "safe" or (cls.effect == "keyed" and cls.group == "all")
        if not harmless and any(attempt.refused_at is None for attempt in attempts):
            self.add_violation(event.at, f"{event.placer} refused {event.task} although it may have run")
