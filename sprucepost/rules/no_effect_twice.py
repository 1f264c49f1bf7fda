"""Rule 2: no effect twice, and one attempt out at a time."""

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
    over_at: float | None = None  # its machine is known to be gone or another one


class NoEffectTwice(Checker):
    """Rule 2: one attempt out at a time; after one that may have run, only what the class allows."""

    rule = "2 no effect twice"

    def __init__(self, cluster: Cluster, history: RunHistory) -> None:
        super().__init__(cluster, history)
        self._requests: dict[tuple[int, int, int], list[_Attempt]] = {}
        self._by_key: dict[t.Key, _Attempt] = {}
        self._by_name: dict[tuple[str, str], list[_Attempt]] = {}
        self._locations = MachineLocations()
        self._incarnations: dict[tuple[str, str], int] = {}
        self._out: dict[tuple[str, str], list[_Attempt]] = {}  # by placer and machine: not known to be over
        self._open: dict[tuple[str, int, str], int] = {}  # by placer, incarnation and task: asks without an outcome
        self._before: dict[tuple[str, int, str], set[tuple[int, int, int]]] = {}  # requests of asks that are answered

    def observe(self, event: t.Event) -> None:
        match event:
            case t.OfferSent(is_repeat=False):
                self.result.checked += 1
                self._handle_offer(event)
            case t.AttemptReported():
                self._handle_report(event)
            case t.MachineListed(state=0):
                # Also a message that may not have arrived ends the attempt here: the placer may act on it.
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
        self._open[key] = max(0, self._open.get(key, 0) - 1)

    def _handle_submission(self, event: t.TaskSubmitted) -> None:
        """While an ask of a task is open, others join it, and one outcome speaks for all: attempts since the first of them
        count. An ask that comes when none is open begins anew: what earlier ones left is not its attempts."""
        ask = (event.placer, event.incarnation, event.task)
        if not self._open.get(ask):
            self._before[ask] = {a.event.key[:3] for a in self._by_name.get((event.placer, event.task), [])}
        self._open[ask] = self._open.get(ask, 0) + 1

    def _machine_gone(self, placer: str, machine: str, at: float) -> None:
        for attempt in self._out.pop((placer, machine), []):
            if attempt.over_at is None:
                attempt.over_at = at

    def _ends(self, attempt: _Attempt) -> float:
        """When the attempt was no longer out, as far as the placer could know."""
        ends = attempt.event.at - attempt.event.late_ms + attempt.event.wait_ms
        for known in (attempt.refused_at, attempt.over_at):
            if known is not None:
                ends = min(ends, known)
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
                    self.add_violation(event.at, f"{event.placer} offers {event.name} again though it was accepted")
                    break
            slack = min(SLACK_MS, earlier.event.wait_ms / 2)  # never so wide that it covers the attempt itself
            if (
                earlier.refused_at is None
                and event.at - event.late_ms < self._ends(earlier) + earlier.event.late_ms - slack
            ):
                text = f"{event.placer} has two attempts of {event.name} out"
                if event.at < self._ends(earlier) - slack:
                    self.add_violation(event.at, text)
                    break
                late = max(event.late_ms, earlier.event.late_ms)
                self.add_undecided(event.at, text, f"the tap was {late:.0f} ms late")
        may_run = [earlier for earlier in before if earlier.refused_at is None]
        if may_run and cls is not None:
            self._check_retry(event, may_run[0].event, cls)
        before.append(attempt)
        self._by_key[event.key] = attempt
        self._by_name.setdefault((event.placer, event.name), []).append(attempt)
        self._out.setdefault((event.placer, event.machine), []).append(attempt)

    def _check_retry(self, event: t.OfferSent, first: t.OfferSent, cls: TaskClass) -> None:
        if cls.effect == "unsafe":
            self.add_violation(event.at, f"{event.placer} offers unsafe {event.name} again though it may have run")
        elif cls.effect == "keyed":
            if event.at - first.at > cls.window_ms + SLACK_MS:
                self.add_violation(event.at, f"{event.placer} offers {event.name} again after its window")
            share = self._locations.share(event.placer, event.machine, first.machine, cls.group)
            if cls.group != "all" and share is False:
                self.add_violation(event.at, f"{event.placer} offers {event.name} outside its key's {cls.group}")

    def _handle_refusal(self, event: t.OutcomeSent) -> None:
        """A refusal promises that a retry does no harm: that no attempt of this very ask may have run."""
        before = self._before.get((event.placer, event.incarnation, event.task), set())
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
            self.add_violation(event.at, f"{event.placer} refuses {event.task} though it may have run")
