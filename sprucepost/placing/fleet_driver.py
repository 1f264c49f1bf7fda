"""A desk that knows its seat: which part of a cold machine's allowance is this placer's while the fleet's size changes.

``now`` is brought to the list's own time besides: a host whose clock is far off takes no seat.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from sprucepost import interface as i
from sprucepost.loop import Loop, Timer
from sprucepost.membership import ClockGuard, Generation, Side, Stance, stance
from sprucepost.placing.scheduler_driver import SchedulerDriver


class FleetSchedulerDriver(SchedulerDriver):
    """The desk of a fleet whose size may change while it runs."""

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
        super().__init__(loop, settings, seed, slew, ask_list, log, counters)
        self._number = settings.number
        self._generation, self.side = generation, Side.NEW
        self._all_informed, self._disputed = True, False  # as long as no view says otherwise
        self._guard = ClockGuard(clock_apart_ms)
        self._slot_timer: Timer | None = None

    def now(self) -> float:
        """Aligned wall-clock ms, on the list's time."""
        return self._clock.read(self.loop.now(), self.loop.wall() - self._guard.lead_ms)

    @property
    def stance(self) -> Stance:
        return stance(self._generation, self._number, self.side, self.now(), self._all_informed)

    def set_generation(self, generation: Generation, side: Side) -> None:
        """Another generation, from a reload of the settings."""
        self._generation, self.side = generation, side
        self.update_slot()

    def set_fleet_view(self, all_informed: bool, disputed: bool) -> None:
        """What the fleet's view says of this generation: whether all have heard of it, and whether some hold another."""
        if (all_informed, disputed) != (self._all_informed, self._disputed):
            self._all_informed, self._disputed = all_informed, disputed
            self._log("generation_seen", told=all_informed, disputed=disputed)
            self.update_slot()

    def check_list_time(self, list_ms: float) -> None:
        """The list's own clock, against this one."""
        if self._guard.hear(self.now(), self.loop.wall(), list_ms):
            self._log("clock_off" if self._guard.off else "clock_good", host_leads_ms=round(self._guard.lead_ms))
            self.update_slot()

    def update_slot(self) -> None:
        """Tell the module where we sit, now and whenever that changes by itself."""
        if self._slot_timer is not None:
            self._slot_timer.cancel()
            self._slot_timer = None
        found = self.stance
        seats = 0 if self._guard.off or self._disputed else found.seats
        self.push(i.Membership(found.n_instances, found.seat if seats else 0, seats))
        self._log("seat", phase=found.phase.value, seat=found.seat, seats=seats, why=found.why or None)
        if found.until_ms is not None:
            self._slot_timer = self.loop.call_later(found.until_ms - self.now() + 1.0, self.update_slot)
