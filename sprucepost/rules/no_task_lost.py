"""Rule 1: no task lost."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from sprucepost.rules import trace as t
from sprucepost.rules.checker import SLACK_MS, Checker, RunHistory
from sprucepost.settings import Cluster


@dataclass
class _Submission:
    at: float
    due: float
    hand_over: bool


class NoTaskLost(Checker):
    """Rule 1: one outcome for each submission, in time, and nothing sent for a task after it."""

    rule = "1 no task lost"

    def __init__(self, cluster: Cluster, history: RunHistory) -> None:
        super().__init__(cluster, history)
        self._submissions: dict[tuple[str, bytes, str], deque[_Submission]] = {}
        self._open: dict[tuple[str, str], int] = {}  # by placer and task: submissions without an outcome
        self._answered: dict[tuple[str, str], tuple[float, str]] = {}
        self._down: dict[tuple[str, bytes], float] = {}  # sessions without a stream, since when
        self._gaps: dict[tuple[str, bytes], list[tuple[float, float]]] = {}
        self._began: dict[tuple[str, bytes], float] = {}  # when each session first had a stream
        self._cancelled: set[tuple[str, bytes, str]] = set()

    def observe(self, event: t.Event) -> None:
        match event:
            case t.TaskSubmitted():
                self._handle_submission(event)
            case t.TaskCancelled():
                self._cancelled.add((event.placer, event.session, event.task))
            case t.OutcomeSent():
                self._handle_outcome(event)
            case t.ClientStream():
                self._handle_stream(event)
            case t.OfferSent(is_repeat=False):
                self._handle_offer(event)

    def _handle_submission(self, event: t.TaskSubmitted) -> None:
        key = (event.placer, event.session, event.task)
        if event.is_repeat:  # it had not arrived before: the client's time runs from now
            self._handle_repeat(key, event)
            return
        submission = _Submission(event.at, event.at + event.left_ms, event.hand_over)
        self._submissions.setdefault(key, deque()).append(submission)
        self._cancelled.discard(key)
        if not event.hand_over:
            self.result.checked += 1
        self._open[event.placer, event.task] = self._open.get((event.placer, event.task), 0) + 1

    def _handle_stream(self, event: t.ClientStream) -> None:
        key = (event.placer, event.session)
        self._began.setdefault(key, event.at)
        if not event.up:
            self._down[key] = event.at
        elif key in self._down:
            self._gaps.setdefault(key, []).append((self._down.pop(key), event.at))

    def _handle_offer(self, event: t.OfferSent) -> None:
        answered = self._answered.get((event.placer, event.name))
        if answered is None or self._open.get((event.placer, event.name)):
            return
        at, kind = answered
        if event.at > at + SLACK_MS:
            self.add_violation(event.at, f"{event.placer} offers {event.name} after it was {kind} at {at:.0f} ms")

    def _handle_repeat(self, key: tuple[str, bytes, str], event: t.TaskSubmitted) -> None:
        submissions = self._submissions.get(key)
        if submissions and not submissions[-1].hand_over:
            submissions[-1].at, submissions[-1].due = event.at, event.at + event.left_ms

    def _handle_outcome(self, event: t.OutcomeSent) -> None:
        if event.kind not in ("bound", "refused", "failed", "ended"):
            return
        key = (event.placer, event.session, event.task)
        submissions = self._submissions.get(key)
        if event.kind == "ended":
            if submissions and submissions[0].hand_over:
                self._close(event, submissions)
            return
        if not submissions:
            if key not in self._cancelled:
                self.add_violation(event.at, f"{event.placer} tells {event.task} {event.kind}, a second outcome")
            return
        submission = self._close(event, submissions)
        if submission.hand_over:
            return
        due = self._due(event.placer, event.session, submission)
        if event.at > due + SLACK_MS:
            text = f"{event.placer} tells {event.task} {event.kind} {event.at - submission.due:.0f} ms too late"
            self.add_late(event.placer, submission.at, event.at, event.late_ms, due + SLACK_MS, text)
        if event.kind in ("refused", "failed"):
            self._answered[event.placer, event.task] = event.at, event.kind
        else:
            self._answered.pop((event.placer, event.task), None)

    def _close(self, event: t.OutcomeSent, submissions: deque[_Submission]) -> _Submission:
        self._open[event.placer, event.task] -= 1
        return submissions.popleft()

    def _due(self, placer: str, session: bytes, submission: _Submission) -> float:
        """When the outcome is due: later where the client's own stream was down, or the placer was stopped."""
        due = self.history.due_after_pauses(placer, submission.due)
        for since, until in self._gaps.get((placer, session), []):
            if since <= due and until >= submission.at:
                due = max(due, until + SLACK_MS)
        return due

    def finish(self) -> None:
        for (placer, session, task), submissions in sorted(self._submissions.items()):
            for submission in submissions:
                due = self._due(placer, session, submission)
                if submission.hand_over or due + SLACK_MS > self.history.ended_at:
                    continue
                # A session dies with its process. A cut may hold a submission in the tap while its placer is killed, and
                # then let it go to a connection whose other end is long dead: nobody read it.
                began = min(submission.at, self._began.get((placer, session), submission.at))
                if self.history.killed_between(placer, began, due) or (placer, session) in self._down:
                    continue
                self.add_violation(submission.at, f"{placer} never answers {task}")
