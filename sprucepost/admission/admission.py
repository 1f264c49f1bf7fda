"""Admission: every ask gets a verdict before any work is done on it, and those let in are taken up in the line's order."""

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
MAX_OWNERS_KEPT = 1024  # owners whose retry budget is remembered; the longest quiet is forgotten first
GOLDEN_RATIO_STEP = 0.6180339887498949  # steps of it fill the unit interval evenly, whoever counts
FIRST_QUOTA = 16  # asks taken up in one turn before their cost is known: few, so that it is known soon
QUEUE_TOO_LONG = "too much waits here already"
PLACEMENT_TIME_GAIN = 0.125  # of a new answer time, RFC 6298


@dataclass(slots=True)
class AdmissionRequest:
    """One submission. ``worth``: of its class, relative to the dearest, 0 to 1; ``left_ms`` until it must have been taken up
    and answered; ``aim_ms`` of its class."""

    owner: str
    worth: float
    left_ms: float
    aim_ms: float
    repeat: bool = False


@dataclass(frozen=True)
class Verdict:
    """``why`` empty: let in. Else the ask is refused, with the time after which another is worth it."""

    why: str = ""
    retry_after_ms: float = 0.0


ADMITTED = Verdict()


class Admission(Generic[T]):
    """``shortest_aim_ms`` of the deployment's classes; ``turn_ms`` that one turn may spend on taking asks up,
    at the most an eighth of that aim.

    ===================  ===========================================================================================
    room                 refused where all is taken, or scarce and the ask too cheap or its owner over its share
    the line is empty    let in
    the line drains      let in where it will be taken up in time to be placed within its class's aim (where machines take
                         more than half of that, within half of it), and within its owner's time
    the line stands      the same within a quarter of the aim, also for an interval after the last refusal: under overload
                         a long wait helps nobody
    a repeat             spends its owner's and the placer's retry budgets, else refused
    ===================  ===========================================================================================

    In this order, the cheapest first; what is refused spends no budget.
    """

    def __init__(self, now: float, max_open: int, shortest_aim_ms: float, turn_ms: float, max_retry_ms: float) -> None:
        self.open_tasks, self.queue, self.service_time = OpenTaskLimit(max_open), WeightedFairQueue[T](), ServiceTime()
        self.overload = OverloadDetector(
            shortest_aim_ms / 8.0, shortest_aim_ms
        )  # half of what a line that stands bears
        self.credit = Credit()
        self._queue_was_empty = True  # the line, since the last look at the credit
        self._queue_refusals = 0  # by the line, since then
        self.read_pauses: ReadPauses[bytes] = ReadPauses(shortest_aim_ms / 4.0)
        self.max_retry_ms, self._shortest_aim_ms = max_retry_ms, shortest_aim_ms
        # No more than half of what a line that stands max_wait_ms: each ask waits for a turn besides.
        self._turn_ms = min(turn_ms, shortest_aim_ms / 8.0)
        self._retries = RetryBudget(now, burst=200.0, per_s=10.0)
        self._owner_retries: dict[str, RetryBudget] = {}
        # Owners for whose asks the line was too long: of what worth and aim at the most, and until when that counts.
        self._recent_refusals: dict[str, tuple[float, float, float]] = {}
        self._immediate: list[T] = []  # let in this turn while nobody waited
        self._placement_ms = 0.0
        self._spread_phase = 0.0
        self._refusal_rate: list[float] = [0.0, now]  # how many of late, as of when

    def refusal_if_full(self) -> tuple[str, float] | None:
        """Why, whatever an ask is like, it is refused now, and its retry time; None where that depends on the ask. Under
        the worst most asks end here, so this costs next to nothing."""
        if self.open_tasks.total < self.open_tasks.max_open:
            return None
        return TOO_MANY_OPEN, self._spread_ms(2.0 * self.max_retry_ms)

    def recent_refusal(self, owner: str, worth: float, aim_ms: float, now: float) -> tuple[str, float] | None:
        """The same where, within a turn, an ask of that owner that was worth as much and could wait as long has been
        refused. Under overload most asks end here: it costs a third of :meth:`decide`, and the line moves by no more than a
        turn meanwhile."""
        previous = self._recent_refusals.get(owner)
        if previous is None or worth > previous[0] or aim_ms > previous[1]:
            return None
        if now >= previous[2]:
            del self._recent_refusals[owner]
            return None
        self._record_queue_refusal(now)
        return QUEUE_TOO_LONG, self._retry_ms(now)

    def decide(self, request: AdmissionRequest, now: float) -> Verdict:
        """Whether the ask is let in; then call :meth:`enqueue`."""
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
                if wait_ms > max_wait_ms:  # else it was too late for this one alone
                    if (
                        len(self._recent_refusals) >= MAX_OWNERS_KEPT
                    ):  # an overload may last for hours, with ever new owners
                        self._recent_refusals.clear()
                    self._recent_refusals[request.owner] = (request.worth, request.aim_ms, now + self._turn_ms)
                self._record_queue_refusal(now)
                return Verdict(QUEUE_TOO_LONG, self._retry_ms(now))
        if request.repeat:
            own = self._owner_retry_budget(request.owner, now)
            if not own.try_repeat(now):
                return Verdict("too many repeats of this owner", max(own.wait_ms(), self.max_retry_ms))
            if not self._retries.try_repeat(now):
                return Verdict("too many repeats", max(self._retries.wait_ms(), self.max_retry_ms))
        else:
            self._owner_retry_budget(request.owner, now).record_first()
            self._retries.record_first()
        return ADMITTED

    def _record_queue_refusal(self, now: float) -> None:
        self._queue_refusals += 1
        self.service_time.record_refusal()
        self.overload.record_refusal(now)

    def _max_wait_ms(self, request: AdmissionRequest) -> float:
        """How long it can wait and still be placed within its aim."""
        return max(request.aim_ms - self._placement_ms, request.aim_ms / 2.0)

    def _retry_ms(self, now: float) -> float:
        """When the line, and all that was turned away within the last second before it, will have drained."""
        count, at = self._refusal_rate
        self._refusal_rate = [count * max(0.0, 1.0 - (now - at) / 1000.0) + 1.0, now]
        return self._spread_ms((len(self.queue) + self._refusal_rate[0]) * self.service_time.cost_ms)

    def _spread_ms(self, ms: float) -> float:
        """Within half to one and a half times of it, evenly, and at most twice the longest retry time of the settings: those
        refused together must not come back together."""
        self._spread_phase = (self._spread_phase + GOLDEN_RATIO_STEP) % 1.0
        return max(1.0, min(ms, self.max_retry_ms * 4.0 / 3.0) * (0.5 + self._spread_phase))

    def _owner_retry_budget(self, owner: str, now: float) -> RetryBudget:
        budget = self._owner_retries.pop(owner, None) or RetryBudget(now)
        self._owner_retries[owner] = budget  # the latest heard of stands last
        if len(self._owner_retries) > MAX_OWNERS_KEPT:
            del self._owner_retries[next(iter(self._owner_retries))]
        return budget

    # The line

    def enqueue(self, item: T, request: AdmissionRequest, now: float) -> None:
        """The ask was let in: it stands in line, or, where nobody does and this turn has room, it is taken up at once."""
        if not len(self.queue) and len(self._immediate) < self._quota():
            self._immediate.append(item)
            return
        self.queue.push(
            QueuedRequest(item, request.owner, request.worth, now + request.left_ms, now + request.aim_ms / 2.0)
        )

    @property
    def has_queued(self) -> bool:
        """Whether :meth:`dequeue` has anything to give."""
        return bool(self._immediate) or len(self.queue) > 0

    def _quota(self) -> int:
        """How many one turn takes up."""
        cost = self.service_time.cost_ms
        return max(1, int(self._turn_ms / cost)) if cost else FIRST_QUOTA

    def dequeue(self, now: float) -> tuple[list[T], list[T]]:
        """Those to be taken up in this turn, and those whose time is over instead.

        While the line stands, what has waited for half of its aim is over too: dearer asks have overtaken it, and it would
        take the time of one that can still be placed within its aim. A line that drains has time for it.
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
        """A task that was taken up so long ago has been placed."""
        self._placement_ms += PLACEMENT_TIME_GAIN * (ms - self._placement_ms) if self._placement_ms else ms

    # What owners are told, and whose streams are left unread

    def update_credit(self, now: float) -> None:
        """To be called at intervals while owners ask, or are bound."""
        # What counts is that the line refuses: as it is bounded then, a turn takes up most of it, and at the moment of
        # the look it is as likely short as long.
        refuses = self.overload.recent(now) and self._queue_refusals > 0
        self._queue_refusals = 0
        empty, self._queue_was_empty = self._queue_was_empty or not len(self.queue), False
        pace_ms = self.service_time.pace_ms
        # What a line that stands bears, and what machines look at meanwhile. With the turn in it, or at the pace without
        # refusals, owners were let ask for a third more than the line then took.
        affordable = (
            (self._shortest_aim_ms / 4.0 - self._turn_ms + self._placement_ms) / pace_ms
            if pace_ms
            else self.open_tasks.max_open
        )
        self.credit.update(refuses, empty, affordable, self.open_tasks.max_open)

    def read_pause_ms(self, session: bytes, now: float) -> float:
        """An ask of that session has been refused: for how long nothing more of its stream should be read."""
        return self.read_pauses.record_refusal(session, now, REFUSAL_COST_SHARE * self.service_time.cost_ms)

    # A reload

    def set_max_open(self, max_open: int) -> None:
        self.open_tasks.max_open = max_open
