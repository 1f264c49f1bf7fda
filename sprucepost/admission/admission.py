"""Admission: every ask gets a verdict before any work is done on it, and those let in are taken up in the line's order."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

from sprucepost.admission.credit import Credit
from sprucepost.admission.open_task_limit import FULL, Room
from sprucepost.admission.overload import Standing
from sprucepost.admission.read_pauses import Reading
from sprucepost.admission.retries import RetryBudget
from sprucepost.admission.service_time import REFUSAL, Drain
from sprucepost.admission.weighted_fair_queue import Line, Waiting

T = TypeVar("T")
KEPT = 1024  # owners whose retry budget is remembered; the longest quiet is forgotten first
GOLDEN = 0.6180339887498949  # steps of it fill the unit interval evenly, whoever counts
FIRST = 16  # asks taken up in one turn before their cost is known: few, so that it is known soon
TOO_LONG = "too much waits here already"
SMOOTH = 0.125  # of a new answer time, RFC 6298


@dataclass(slots=True)
class Ask:
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


LET_IN = Verdict()


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

    def __init__(
        self, now: float, most_open: int, shortest_aim_ms: float, turn_ms: float, most_retry_ms: float
    ) -> None:
        self.room, self.line, self.drain = Room(most_open), Line[T](), Drain()
        self.standing = Standing(shortest_aim_ms / 8.0, shortest_aim_ms)  # half of what a line that stands bears
        self.credit = Credit()
        self._was_empty = True  # the line, since the last look at the credit
        self._turned_away = 0  # by the line, since then
        self.reading: Reading[bytes] = Reading(shortest_aim_ms / 4.0)
        self.most_retry_ms, self._aim = most_retry_ms, shortest_aim_ms
        # No more than half of what a line that stands bears: each ask waits for a turn besides.
        self._turn_ms = min(turn_ms, shortest_aim_ms / 8.0)
        self._retries = RetryBudget(now, burst=200.0, per_s=10.0)
        self._owners: dict[str, RetryBudget] = {}
        # Owners for whose asks the line was too long: of what worth and aim at the most, and until when that counts.
        self._turned: dict[str, tuple[float, float, float]] = {}
        self._at_once: list[T] = []  # let in this turn while nobody waited
        self._answer_ms = 0.0
        self._phase = 0.0
        self._refused: list[float] = [0.0, now]  # how many of late, as of when

    def full(self) -> tuple[str, float] | None:
        """Why, whatever an ask is like, it is refused now, and its retry time; None where that depends on the ask. Under
        the worst most asks end here, so this costs next to nothing."""
        if self.room.total < self.room.most:
            return None
        return FULL, self._spread(2.0 * self.most_retry_ms)

    def turned(self, owner: str, worth: float, aim_ms: float, now: float) -> tuple[str, float] | None:
        """The same where, within a turn, an ask of that owner that was worth as much and could wait as long has been
        refused. Under overload most asks end here: it costs a third of :meth:`ask`, and the line moves by no more than a
        turn meanwhile."""
        before = self._turned.get(owner)
        if before is None or worth > before[0] or aim_ms > before[1]:
            return None
        if now >= before[2]:
            del self._turned[owner]
            return None
        self._turn_away(now)
        return TOO_LONG, self._retry_ms(now)

    def ask(self, ask: Ask, now: float) -> Verdict:
        """Whether the ask is let in; then call :meth:`wait`."""
        why = self.room.why_not(ask.owner, ask.worth, now)
        if why:
            retry = self._spread(2.0 * self.most_retry_ms)
            self.room.turned_away(ask.owner, now + 2.0 * retry)
            return Verdict(why, retry)
        self.room.let_in(ask.owner)
        if len(self.line):
            wait = (self.line.ahead(ask.owner, ask.worth) + 1.0) * self.drain.pace_ms + self._turn_ms
            bears = ask.aim_ms / 4.0 if self.standing.lately(now) else self._bears(ask)
            if wait > min(bears, ask.left_ms - self._answer_ms):
                if wait > bears:  # else it was too late for this one alone
                    if len(self._turned) >= KEPT:  # an overload may last for hours, with ever new owners
                        self._turned.clear()
                    self._turned[ask.owner] = (ask.worth, ask.aim_ms, now + self._turn_ms)
                self._turn_away(now)
                return Verdict(TOO_LONG, self._retry_ms(now))
        if ask.repeat:
            own = self._budget(ask.owner, now)
            if not own.repeat(now):
                return Verdict("too many repeats of this owner", max(own.wait_ms(), self.most_retry_ms))
            if not self._retries.repeat(now):
                return Verdict("too many repeats", max(self._retries.wait_ms(), self.most_retry_ms))
        else:
            self._budget(ask.owner, now).fresh()
            self._retries.fresh()
        return LET_IN

    def _turn_away(self, now: float) -> None:
        self._turned_away += 1
        self.drain.refused()
        self.standing.refused(now)

    def _bears(self, ask: Ask) -> float:
        """How long it can wait and still be placed within its aim."""
        return max(ask.aim_ms - self._answer_ms, ask.aim_ms / 2.0)

    def _retry_ms(self, now: float) -> float:
        """When the line, and all that was turned away within the last second before it, will have drained."""
        count, at = self._refused
        self._refused = [count * max(0.0, 1.0 - (now - at) / 1000.0) + 1.0, now]
        return self._spread((len(self.line) + self._refused[0]) * self.drain.cost_ms)

    def _spread(self, ms: float) -> float:
        """Within half to one and a half times of it, evenly, and at most twice the longest retry time of the settings: those
        refused together must not come back together."""
        self._phase = (self._phase + GOLDEN) % 1.0
        return max(1.0, min(ms, self.most_retry_ms * 4.0 / 3.0) * (0.5 + self._phase))

    def _budget(self, owner: str, now: float) -> RetryBudget:
        budget = self._owners.pop(owner, None) or RetryBudget(now)
        self._owners[owner] = budget  # the latest heard of stands last
        if len(self._owners) > KEPT:
            del self._owners[next(iter(self._owners))]
        return budget

    # The line

    def wait(self, item: T, ask: Ask, now: float) -> None:
        """The ask was let in: it stands in line, or, where nobody does and this turn has room, it is taken up at once."""
        if not len(self.line) and len(self._at_once) < self._quota():
            self._at_once.append(item)
            return
        self.line.put(Waiting(item, ask.owner, ask.worth, now + ask.left_ms, now + ask.aim_ms / 2.0))

    @property
    def waiting(self) -> bool:
        """Whether :meth:`take` has anything to give."""
        return bool(self._at_once) or len(self.line) > 0

    def _quota(self) -> int:
        """How many one turn takes up."""
        cost = self.drain.cost_ms
        return max(1, int(self._turn_ms / cost)) if cost else FIRST

    def take(self, now: float) -> tuple[list[T], list[T]]:
        """Those to be taken up in this turn, and those whose time is over instead.

        While the line stands, what has waited for half of its aim is over too: dearer asks have overtaken it, and it would
        take the time of one that can still be placed within its aim. A line that drains has time for it.
        """
        if not len(self.line):
            self._turned.clear()
        over = [waiting.item for waiting in self.line.expire(now, self.standing.lately(now))]
        quota = self._quota()
        chosen, self._at_once = self._at_once, []
        while len(chosen) < quota and (waiting := self.line.pop()) is not None:
            chosen.append(waiting.item)
        self.drain.served(now, len(chosen), len(self.line))
        self.standing.look(now, len(self.line) * self.drain.pace_ms)
        self._was_empty = self._was_empty or not len(self.line)
        return chosen, over

    def placed(self, ms: float) -> None:
        """A task that was taken up so long ago has been placed."""
        self._answer_ms += SMOOTH * (ms - self._answer_ms) if self._answer_ms else ms

    # What owners are told, and whose streams are left unread

    def look_at_credit(self, now: float) -> None:
        """To be called at intervals while owners ask, or are bound."""
        # What counts is that the line refuses: as it is bounded then, a turn takes up most of it, and at the moment of
        # the look it is as likely short as long.
        refuses = self.standing.lately(now) and self._turned_away > 0
        self._turned_away = 0
        empty, self._was_empty = self._was_empty or not len(self.line), False
        pace = self.drain.pace_ms
        # What a line that stands bears, and what machines look at meanwhile. With the turn in it, or at the pace without
        # refusals, owners were let ask for a third more than the line then took.
        fits = (self._aim / 4.0 - self._turn_ms + self._answer_ms) / pace if pace else self.room.most
        self.credit.look(refuses, empty, fits, self.room.most)

    def unread_ms(self, session: bytes, now: float) -> float:
        """An ask of that session has been refused: for how long nothing more of its stream should be read."""
        return self.reading.refused(session, now, REFUSAL * self.drain.cost_ms)

    # A reload

    def bound(self, most_open: int) -> None:
        self.room.most = most_open
