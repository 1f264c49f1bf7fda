"""Decides on every submission before any work is done on it, and hands out the admitted ones in the queue's order."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

from sprucepost.admission.credit import Credit
from sprucepost.admission.open_task_limit import TOO_MANY_OPEN, OpenTaskLimit
from sprucepost.admission.overload import OverloadDetector
from sprucepost.admission.read_pauses import ReadPauses
from sprucepost.admission.retries import RetryBudget
from sprucepost.admission.service_time import REFUSAL_COST_SHARE, ServiceTime
from sprucepost.admission.weighted_fair_queue import QueuedRequest, WeightedFairQueue

T = TypeVar("T")
MAX_OWNERS_KEPT = 1024  # owners whose retry budget is kept; the one idle for the longest is dropped first
GOLDEN_RATIO_STEP = 0.6180339887498949  # multiples of it, modulo 1, are spread evenly over the unit interval
FIRST_QUOTA = 16  # requests dequeued per turn before their cost is known: few, so that it is known soon
QUEUE_TOO_LONG = "too much waits here already"
PLACEMENT_TIME_GAIN = 0.125  # weight of a new sample in the smoothed placement time, RFC 6298


@dataclass(slots=True)
class AdmissionRequest:
    """One submission.

    ``worth`` of its class, relative to the most valuable one, 0 to 1; ``left_ms``: the time until it must be answered;
    ``aim_ms`` of its class; ``repeat``: its owner has submitted it before.
    """

    owner: str
    worth: float
    left_ms: float
    aim_ms: float
    repeat: bool = False


@dataclass(frozen=True)
class Verdict:
    """The decision on a request: admitted if ``why`` is empty, else refused, with the time after which to retry."""

    why: str = ""
    retry_after_ms: float = 0.0


ADMITTED = Verdict()


class Admission(Generic[T]):
    """Admission control of one placer.

    ``max_open`` tasks may be open; ``shortest_aim_ms`` of the deployment's classes; ``turn_ms``: the time that one turn may
    spend on dequeued requests, at most an eighth of that aim; ``max_retry_ms``: the longest retry time of the settings.

    These checks are made in order, the cheapest first:

    ===================  ===========================================================================================
    open tasks           refused at the limit; near it, refused if its worth is too low or its owner over its share
    the queue is empty   admitted
    the queue drains     admitted if it will be dequeued early enough to be placed within its class's aim (within half of
                         the aim if machines need more than the other half) and within its owner's time
    overload             the same within a quarter of the aim, also for an interval after the last refusal: under overload
                         a long wait helps no request
    a repeat             must be covered by its owner's and the placer's retry budgets
    ===================  ===========================================================================================

    A refused request spends no budget.
    """

    def __init__(self, now: float, max_open: int, shortest_aim_ms: float, turn_ms: float, max_retry_ms: float) -> None:
        self.open_tasks, self.queue, self.service_time = OpenTaskLimit(max_open), WeightedFairQueue[T](), ServiceTime()
        # The target is half of the wait allowed under overload.
        self.overload = OverloadDetector(shortest_aim_ms / 8.0, shortest_aim_ms)
        self.credit = Credit()
        self._queue_was_empty = True  # at some moment since the last update of the credit
        self._queue_refusals = 0  # requests refused because of the queue, since then
        self.read_pauses: ReadPauses[bytes] = ReadPauses(shortest_aim_ms / 4.0)
        self.max_retry_ms, self._shortest_aim_ms = max_retry_ms, shortest_aim_ms
        # At most half of the wait allowed under overload: each request waits for a turn in addition.
        self._turn_ms = min(turn_ms, shortest_aim_ms / 8.0)
        self._retry_budget = RetryBudget(now, burst=200.0, per_s=10.0)
        self._owner_retries: dict[str, RetryBudget] = {}
        # Owners refused because of the queue: the request's worth and aim, and until when similar requests are refused.
        self._recent_refusals: dict[str, tuple[float, float, float]] = {}
        self._immediate: list[T] = []  # admitted in this turn while the queue was empty
        self._placement_ms = 0.0
        self._spread_phase = 0.0
        # Refusals within about the last second, and the time of the last update.
        self._recent_refusal_count: list[float] = [0.0, now]

    def refusal_if_full(self) -> tuple[str, float] | None:
        """The reason and retry time in ms if any request must be refused now; None where that depends on the request.

        Under the heaviest overload most requests end here, so this check costs next to nothing.
        """
        if self.open_tasks.total < self.open_tasks.max_open:
            return None
        return TOO_MANY_OPEN, self._spread_ms(2.0 * self.max_retry_ms)

    def recent_refusal(self, owner: str, worth: float, aim_ms: float, now: float) -> tuple[str, float] | None:
        """The same if, within a turn, a request of that owner with at least this worth and aim has been refused.

        Under overload most requests end here. It costs a third of :meth:`decide`, and the queue advances by no more than
        one turn meanwhile.
        """
        previous = self._recent_refusals.get(owner)
        if previous is None or worth > previous[0] or aim_ms > previous[1]:
            return None
        if now >= previous[2]:
            del self._recent_refusals[owner]
            return None
        self._record_queue_refusal(now)
        return QUEUE_TOO_LONG, self._retry_ms(now)

    def decide(self, request: AdmissionRequest, now: float) -> Verdict:
        """Decide on a request; if it is admitted, call :meth:`enqueue`."""
        reason = self.open_tasks.refusal_reason(request.owner, request.worth, now)
        if reason:
            retry_ms = self._spread_ms(2.0 * self.max_retry_ms)
            self.open_tasks.record_refusal(request.owner, now + 2.0 * retry_ms)
            return Verdict(reason, retry_ms)
        self.open_tasks.record_admission(request.owner)
        if len(self.queue):
            wait_ms = (
                self.queue.requests_ahead(request.owner, request.worth) + 1.0
            ) * self.service_time.pace_ms + self._turn_ms
            max_wait_ms = request.aim_ms / 4.0 if self.overload.recent(now) else self._max_wait_ms(request)
            if wait_ms > min(max_wait_ms, request.left_ms - self._placement_ms):
                if wait_ms > max_wait_ms:  # else only this request's own time was too short
                    # Bounded, as an overload may last for hours, with new owners all the time.
                    if len(self._recent_refusals) >= MAX_OWNERS_KEPT:
                        self._recent_refusals.clear()
                    self._recent_refusals[request.owner] = (request.worth, request.aim_ms, now + self._turn_ms)
                self._record_queue_refusal(now)
                return Verdict(QUEUE_TOO_LONG, self._retry_ms(now))
        if request.repeat:
            own = self._owner_retry_budget(request.owner, now)
            if not own.try_repeat(now):
                return Verdict("too many repeats of this owner", max(own.wait_ms(), self.max_retry_ms))
            if not self._retry_budget.try_repeat(now):
                return Verdict("too many repeats", max(self._retry_budget.wait_ms(), self.max_retry_ms))
        else:
            self._owner_retry_budget(request.owner, now).record_first()
            self._retry_budget.record_first()
        return ADMITTED

    def _record_queue_refusal(self, now: float) -> None:
        self._queue_refusals += 1
        self.service_time.record_refusal()
        self.overload.record_refusal(now)

    def _max_wait_ms(self, request: AdmissionRequest) -> float:
        """How long a request can wait and still be placed within its aim."""
        return max(request.aim_ms - self._placement_ms, request.aim_ms / 2.0)

    def _retry_ms(self, now: float) -> float:
        """The time until the queue, and all that was refused within the last second, could be processed."""
        count, at = self._recent_refusal_count
        self._recent_refusal_count = [count * max(0.0, 1.0 - (now - at) / 1000.0) + 1.0, now]
        return self._spread_ms((len(self.queue) + self._recent_refusal_count[0]) * self.service_time.cost_ms)

    def _spread_ms(self, ms: float) -> float:
        """A retry time spread evenly over half to one and a half times ``ms``, at most twice the settings' longest.

        Requests that are refused together must not come back together.
        """
        self._spread_phase = (self._spread_phase + GOLDEN_RATIO_STEP) % 1.0
        return max(1.0, min(ms, self.max_retry_ms * 4.0 / 3.0) * (0.5 + self._spread_phase))

    def _owner_retry_budget(self, owner: str, now: float) -> RetryBudget:
        budget = self._owner_retries.pop(owner, None) or RetryBudget(now)
        self._owner_retries[owner] = budget  # the most recently active owner comes last
        if len(self._owner_retries) > MAX_OWNERS_KEPT:
            del self._owner_retries[next(iter(self._owner_retries))]
        return budget

    # The queue

    def enqueue(self, item: T, request: AdmissionRequest, now: float) -> None:
        """Queue an admitted request, or process it in this turn if the queue is empty and the turn's quota allows."""
        if not len(self.queue) and len(self._immediate) < self._quota():
            self._immediate.append(item)
            return
        self.queue.push(
            QueuedRequest(item, request.owner, request.worth, now + request.left_ms, now + request.aim_ms / 2.0)
        )

    @property
    def has_queued(self) -> bool:
        """Whether :meth:`dequeue` would return anything."""
        return bool(self._immediate) or len(self.queue) > 0

    def _quota(self) -> int:
        """How many requests one turn dequeues."""
        cost_ms = self.service_time.cost_ms
        return max(1, int(self._turn_ms / cost_ms)) if cost_ms else FIRST_QUOTA

    def dequeue(self, now: float) -> tuple[list[T], list[T]]:
        """The requests to process in this turn, and those that have expired.

        Under overload a request that has waited for half of its aim expires too: more valuable ones have overtaken it, and
        it would take the time of one that can still be placed within its aim. A queue that drains has time for it.
        """
        if not len(self.queue):
            self._recent_refusals.clear()
        expired = [queued.item for queued in self.queue.expire(now, self.overload.recent(now))]
        quota = self._quota()
        chosen, self._immediate = self._immediate, []
        while len(chosen) < quota and (queued := self.queue.pop()) is not None:
            chosen.append(queued.item)
        self.service_time.record_dequeued(now, len(chosen), len(self.queue))
        self.overload.update(now, len(self.queue) * self.service_time.pace_ms)
        self._queue_was_empty = self._queue_was_empty or not len(self.queue)
        return chosen, expired

    def record_placement(self, ms: float) -> None:
        """Record that a task was placed ``ms`` after its request was dequeued."""
        self._placement_ms += PLACEMENT_TIME_GAIN * (ms - self._placement_ms) if self._placement_ms else ms

    # Credit and read pauses

    def update_credit(self, now: float) -> None:
        """Recompute the credit. To be called at intervals while owners submit tasks, or have a credit."""
        # Refusals count, not the queue's length: while the queue is bounded, a turn dequeues most of it, so that at this
        # moment it is as likely to be short as long.
        refuses = self.overload.recent(now) and self._queue_refusals > 0
        self._queue_refusals = 0
        was_empty, self._queue_was_empty = self._queue_was_empty or not len(self.queue), False
        pace_ms = self.service_time.pace_ms
        # What is processed within the wait allowed under overload plus the machines' own time. Counting the turn in, or
        # using the cost without refusals, let owners submit a third more than the queue then accepted.
        affordable = (
            (self._shortest_aim_ms / 4.0 - self._turn_ms + self._placement_ms) / pace_ms
            if pace_ms
            else self.open_tasks.max_open
        )
        self.credit.update(refuses, was_empty, affordable, self.open_tasks.max_open)

    def read_pause_ms(self, session: bytes, now: float) -> float:
        """Record a refusal of that session. Returns for how long its stream should not be read, in ms."""
        return self.read_pauses.record_refusal(session, now, REFUSAL_COST_SHARE * self.service_time.cost_ms)

    # Reload of the settings

    def set_max_open(self, max_open: int) -> None:
        """Apply another limit on open tasks."""
        self.open_tasks.max_open = max_open
