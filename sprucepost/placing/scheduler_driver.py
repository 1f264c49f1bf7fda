"""Drives the scheduler: all events of one turn of the loop become one batch, which is decided at the end of the turn.

``now`` is the aligned wall clock, so that all placers agree on turns and on the time windows of cold machines.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from sprucepost import interface as i
from sprucepost.loop import AlignedClock, Loop
from sprucepost.scheduler import Scheduler


class SchedulerDriver:
    """Feeds events to a scheduler and carries out its actions.

    ``on_action`` receives the offers, refusals and failures that the scheduler decides; ``before_batch`` runs ahead of
    each batch. Both are set by the code that assembles the placer.
    """

    def __init__(
        self,
        loop: Loop,
        settings: i.Settings,
        seed: int,
        slew: float,
        request_list: Callable[[], None],
        log: Callable[..., None],
        counters: Counter[str],
    ) -> None:
        self.loop, self._log, self._request_list, self.counters = loop, log, request_list, counters
        self.scheduler = Scheduler(settings, seed)
        self.on_action: Callable[[i.Offer | i.Refuse | i.Fail], None] = lambda action: None
        self.before_batch: Callable[[], None] = lambda: None
        self._clock = AlignedClock(loop.now(), loop.wall(), slew)
        self._events: list[i.Event] = []
        self._batch_scheduled = False

    def now(self) -> float:
        """Aligned wall-clock time in ms."""
        return self._clock.read(self.loop.now(), self.loop.wall())

    def push(self, event: i.Event) -> None:
        """Add an event to the batch of this turn."""
        self._events.append(event)
        self.schedule_batch()

    def schedule_batch(self) -> None:
        """Run a batch at the end of this turn, even if there are no events."""
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
                self._request_list()
            elif isinstance(action, i.Log):
                self._log("module", text=action.text)
            else:
                self.on_action(action)

    def _set_timer(self, action: i.SetTimer) -> None:
        self.loop.call_later(action.delay, lambda: self.push(i.TimerFired(action.name)))
