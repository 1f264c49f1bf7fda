"""The decision module's driver: all that comes in during a turn of the loop becomes one batch for it, at the turn's end.

``now`` is the aligned wall clock, so that placers agree on turns and cold windows.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from sprucepost import interface as i
from sprucepost.loop import AlignedClock, Loop
from sprucepost.scheduler import Scheduler


class SchedulerDriver:
    """``carry`` gets the offers, refusals and failures that the module decides; ``before`` runs ahead of each batch."""

    def __init__(
        self,
        loop: Loop,
        settings: i.Settings,
        seed: int,
        slew: float,
        ask_list: Callable[[], None],
        log: Callable[..., None],
        counters: Counter[str],
    ) -> None:
        self.loop, self._log, self._ask_list, self.counters = loop, log, ask_list, counters
        self.scheduler = Scheduler(settings, seed)
        self.on_action: Callable[[i.Offer | i.Refuse | i.Fail], None] = lambda action: None
        self.before_batch: Callable[[], None] = lambda: None
        self._clock = AlignedClock(loop.now(), loop.wall(), slew)
        self._events: list[i.Event] = []
        self._batch_scheduled = False

    def now(self) -> float:
        """Aligned wall-clock ms."""
        return self._clock.read(self.loop.now(), self.loop.wall())

    def push(self, event: i.Event) -> None:
        """An event for the batch of this turn."""
        self._events.append(event)
        self.schedule_batch()

    def schedule_batch(self) -> None:
        """A batch at this turn's end, with events or without."""
        if not self._batch_scheduled:
            self._batch_scheduled = True
            self.loop.at_turn_end(self._decide)

    def _decide(self) -> None:
        self.before_batch()
        self._batch_scheduled = False
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
                self.on_action(action)

    def _set_timer(self, action: i.SetTimer) -> None:
        self.loop.call_later(action.delay, lambda: self.push(i.TimerFired(action.name)))
