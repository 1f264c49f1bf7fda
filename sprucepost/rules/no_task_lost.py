"""Rule 1: every submission gets exactly one outcome, in time."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from sprucepost.rules import trace as t
from sprucepost.rules.checker import SLACK_MS, Checker, RunHistory
from sprucepost.settings import Cluster


@dataclass
class _Submission:
    at: float
    due: float  # when the owner's time is over
    hand_over: bool


class NoTaskLost(Checker):
    """Checks that each submission gets one outcome in time, and that no offer is made for a task after its last one."""

    rule = "1 no task lost"

    def __init__(self, cluster: Cluster, history: RunHistory) -> None:
        super().__init__(cluster, history)
        self._submissions: dict[tuple[str, bytes, str], deque[_Submission]] = {}
        self._open_submissions: dict[tuple[str, str], int] = {}  # by placer and task: submissions without an outcome
        self._answered: dict[tuple[str, str], tuple[float, str]] = {}  # by placer and task: when, and kind of outcome
        self._down_since: dict[tuple[str, bytes], float] = {}  # by placer and session: since when it has no stream
        self._stream_gaps: dict[tuple[str, bytes], list[tuple[float, float]]] = {}  # the same: times without a stream
        self._first_stream_at: dict[tuple[str, bytes], float] = {}  # the same: when it first had a stream
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
        if event.is_repeat:  # the first copy had not arrived: the owner's time runs from now
            self._handle_repeat(key, event)
            return
        submission = _Submission(event.at, event.at + event.left_ms, event.hand_over)
        self._submissions.setdefault(key, deque()).append(submission)
        self._cancelled.discard(key)
        if not event.hand_over:
            self.result.checked += 1
        self._open_submissions[event.placer, event.task] = self._open_submissions.get((event.placer, event.task), 0) + 1

    def _handle_stream(self, event: t.ClientStream) -> None:
        key = (event.placer, event.session)
        self._first_stream_at.setdefault(key, event.at)
        if not event.up:
            self._down_since[key] = event.at
        elif key in self._down_since:
            self._stream_gaps.setdefault(key, []).append((self._down_since.pop(key), event.at))

    def _handle_offer(self, event: t.OfferSent) -> None:
        answered = self._answered.get((event.placer, event.name))
        if answered is None or self._open_submissions.get((event.placer, event.name)):
            return
        at, kind = answered
        if event.at > at + SLACK_MS:
            self.add_violation(event.at, f"{event.placer} offered {event.name} after it was {kind} at {at:.0f} ms")

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
                self.add_violation(event.at, f"{event.placer} reported a second outcome of {event.task}: {event.kind}")
            return
        submission = self._close(event, submissions)
        if submission.hand_over:
            return
        due = self._due(event.placer, event.session, submission)
        if event.at > due + SLACK_MS:
            text = f"{event.placer} reported {event.task} {event.kind} {event.at - submission.due:.0f} ms too late"
            self.add_late(event.placer, submission.at, event.at, event.late_ms, due + SLACK_MS, text)
        if event.kind in ("refused", "failed"):
            self._answered[event.placer, event.task] = event.at, event.kind
        else:
            self._answered.pop((event.placer, event.task), None)

    def _close(self, event: t.OutcomeSent, submissions: deque[_Submission]) -> _Submission:
        self._open_submissions[event.placer, event.task] -= 1
        return submissions.popleft()

    def _due(self, placer: str, session: bytes, submission: _Submission) -> float:
        """Return when the outcome is due: later where the owner's stream was down or the placer was stopped."""
        due = self.history.due_after_pauses(placer, submission.due)
        for since, until in self._stream_gaps.get((placer, session), []):
            if since <= due and until >= submission.at:
                due = max(due, until + SLACK_MS)
        return due

    def finish(self) -> None:
        for (placer, session, task), submissions in sorted(self._submissions.items()):
            for submission in submissions:
                due = self._due(placer, session, submission)
                if submission.hand_over or due + SLACK_MS > self.history.ended_at:
                    continue
                # A session ends with its process. A partition may hold a submission in the recording proxy while its
                # placer is killed, and the proxy then sends it on a connection whose other end is gone: nobody read it.
                session_began = min(submission.at, self._first_stream_at.get((placer, session), submission.at))
                if self.history.killed_between(placer, session_began, due) or (placer, session) in self._down_since:
                    continue
                self.add_violation(submission.at, f"{placer} never reported an outcome of {task}")
