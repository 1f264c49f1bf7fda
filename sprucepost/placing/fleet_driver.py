"""A scheduler driver that knows this placer's slot while the fleet's size changes.

The slot determines which part of a cold machine's allowance belongs to this placer. ``now`` is also corrected to the
list's time: a host whose clock is too far off takes no slot.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from sprucepost import interface as i
from sprucepost.loop import Loop, Timer
from sprucepost.membership import ClockSkewMonitor, Generation, Side, SlotAssignment, assign_slot
from sprucepost.placing.scheduler_driver import SchedulerDriver


class FleetSchedulerDriver(SchedulerDriver):
    """The scheduler driver of a placer in a fleet whose size may change at run time."""

    def __init__(
        self,
        loop: Loop,
        settings: i.Settings,
        seed: int,
        slew: float,
        max_clock_skew_ms: float,
        generation: Generation,
        request_list: Callable[[], None],
        log: Callable[..., None],
        counters: Counter[str],
    ) -> None:
        super().__init__(loop, settings, seed, slew, request_list, log, counters)
        self._number = settings.number
        self._generation, self.side = generation, Side.NEW
        self._all_informed, self._disputed = True, False  # until the fleet's view reports otherwise
        self._clock_guard = ClockSkewMonitor(max_clock_skew_ms)
        self._slot_timer: Timer | None = None

    def now(self) -> float:
        """Aligned wall-clock time in ms, corrected to the list's time."""
        return self._clock.read(self.loop.now(), self.loop.wall() - self._clock_guard.lead_ms)

    @property
    def slot_assignment(self) -> SlotAssignment:
        """This placer's current position in the change of the fleet's size."""
        return assign_slot(self._generation, self._number, self.side, self.now(), self._all_informed)

    def set_generation(self, generation: Generation, side: Side) -> None:
        """Apply the generation of reloaded settings."""
        self._generation, self.side = generation, side
        self.update_slot()

    def set_fleet_view(self, all_informed: bool, disputed: bool) -> None:
        """Apply what the fleet's view reports of this generation: whether all members know it, and whether any disagree."""
        if (all_informed, disputed) != (self._all_informed, self._disputed):
            self._all_informed, self._disputed = all_informed, disputed
            self._log("generation_seen", told=all_informed, disputed=disputed)
            self.update_slot()

    def check_list_time(self, list_ms: float) -> None:
        """Compare the list's clock, in ms, with this host's."""
        if self._clock_guard.record_update(self.now(), self.loop.wall(), list_ms):
            self._log(
                "clock_off" if self._clock_guard.is_skewed else "clock_good",
                host_leads_ms=round(self._clock_guard.lead_ms),
            )
            self.update_slot()

    def update_slot(self) -> None:
        """Tell the scheduler this placer's slot, now and again when the next scheduled change is due."""
        if self._slot_timer is not None:
            self._slot_timer.cancel()
            self._slot_timer = None
        current = self.slot_assignment
        seats = 0 if self._clock_guard.is_skewed or self._disputed else current.slots
        self.push(i.Membership(current.fleet_size, current.slot if seats else 0, seats))
        self._log("seat", phase=current.phase.value, seat=current.slot, seats=seats, why=current.reason or None)
        if current.until_ms is not None:
            self._slot_timer = self.loop.call_later(current.until_ms - self.now() + 1.0, self.update_slot)
