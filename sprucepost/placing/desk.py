"""The decision module's desk: all that comes in during a turn of the loop becomes one batch for it, at the turn's end.

``now`` is the aligned wall clock, brought to the list's own time, so that placers agree on turns and cold windows; the
seat tells the module which part of a cold machine's allowance is this placer's.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from sprucepost import interface as i
from sprucepost.brain import Scheduler
from sprucepost.loop import AlignedClock, Loop, Timer
from sprucepost.membership import ClockGuard, Generation, Side, Stance, stance


class Desk:
    """``carry`` gets the offers, refusals and failures that the module decides; ``before`` runs ahead of each batch."""

    def __init__(
        self,
        loop: Loop,
        settings: i.Settings,
        seed: int,
        slew: float,
        clock_apart_ms: float,
        generation: Generation,
        ask_list: Callable[[], None],
        log: Callable[..., None],
        counters: Counter[str],
    ) -> None:
        self.loop, self._log, self._ask_list, self.counters = loop, log, ask_list, counters
        self.scheduler = Scheduler(settings, seed)
        self.carry: Callable[[i.Offer | i.Refuse | i.Fail], None] = lambda action: None
        self.before: Callable[[], None] = lambda: None
        self._clock = AlignedClock(loop.now(), loop.wall(), slew)
        self._number = settings.number
        self._events: list[i.Event] = []
        self._due = False
        self._generation, self.side = generation, Side.NEW
        self._guard = ClockGuard(clock_apart_ms)
        self._seat_timer: Timer | None = None

    def now(self) -> float:
        """Aligned wall-clock ms."""
        return self._clock.read(self.loop.now(), self.loop.wall() - self._guard.lead_ms)

    def push(self, event: i.Event) -> None:
        """An event for the batch of this turn."""
        self._events.append(event)
        self.wake()

    def wake(self) -> None:
        """A batch at this turn's end, with events or without."""
        if not self._due:
            self._due = True
            self.loop.at_turn_end(self._decide)

    def _decide(self) -> None:
        self.before()
        self._due = False
        events, self._events = self._events, []
        self.counters["batches"] += 1
        for action in self.scheduler.handle(self.now(), events):
            if isinstance(action, i.SetTimer):
                self._set_timer(action)
            elif isinstance(action, i.Subscribe):
                self._ask_list()
            elif isinstance(action, i.Log):
                self._log("module", text=action.text)
            else:
                self.carry(action)

    def _set_timer(self, action: i.SetTimer) -> None:
        self.loop.call_later(action.delay, lambda: self.push(i.TimerFired(action.name)))

    # The seat

    @property
    def stance(self) -> Stance:
        return stance(self._generation, self._number, self.side, self.now())

    def set_generation(self, generation: Generation, side: Side) -> None:
        """Another generation, from a reload of the settings."""
        self._generation, self.side = generation, side
        self.take_seat()

    def hear_time(self, told_ms: float) -> None:
        """The list's own clock, against this one."""
        if self._guard.hear(self.now(), self.loop.wall(), told_ms):
            self._log("clock_off" if self._guard.off else "clock_good", host_leads_ms=round(self._guard.lead_ms))
            self.take_seat()

    def take_seat(self) -> None:
        """Tell the module where we sit, now and whenever that changes by itself."""
        if self._seat_timer is not None:
            self._seat_timer.cancel()
            self._seat_timer = None
        found = self.stance
        seats = 0 if self._guard.off else found.seats
        self.push(i.Membership(found.n_instances, found.seat if seats else 0, seats))
        self._log("seat", phase=found.phase.value, seat=found.seat, seats=seats, why=found.why or None)
        if found.until_ms is not None:
            self._seat_timer = self.loop.call_later(found.until_ms - self.now() + 1.0, self.take_seat)
