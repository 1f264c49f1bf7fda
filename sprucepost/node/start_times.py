"""When hosts started: from the list's wall clock to this process's clocks. No I/O.

A list tells a host's start in Unix ms of the platform. Our own wall clock may be off, by seconds or by an hour, already
when the process starts, and may be stepped later. It is read once, and what lists tell bounds how far off it was:

============================================ ========================================================================
a list tells                                 so
============================================ ========================================================================
a start that lies ahead of us                our clock was behind, by at least as much
of starts that were not listed when we last  our clock was ahead, by the age of the youngest of them: the others
asked, all of them over ``LATE_MOST_MS`` ago would have been listed by then
============================================ ========================================================================

In both cases the youngest start counts as listed at once, so the correction is off by as long as that took. A clock that is
ahead by less than ``LATE_MOST_MS`` cannot be told from a list that is late.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import replace

from sprucepost import interface as i
from sprucepost.loop import Loop

LATE_MOST_MS = 60_000.0  # a start is listed by then: a list that is silent for longer is asked in vain, which is known
USUAL_LATE_MS = 3000.0  # a new start counts for the module as no longer than this before the list was last asked
KEPT_MOST = 8192  # hosts whose starts are kept, also of those that have gone: one that is listed again is no new start
MOVED_MS = 1000.0  # a correction of more than that is told to the module for hosts that it knows


class StartTimes:
    """``aligned`` gives the time that the module goes by, which runs on with the loop's clock but for its slew."""

    def __init__(self, loop: Loop, aligned: Callable[[], float]) -> None:
        self._loop, self._aligned = loop, aligned
        self._epoch = loop.wall() - loop.now()
        self._ahead = 0.0  # how far our wall clock was ahead of the list's, in ms
        self._told: dict[str, float] = {}  # the start that was listed last, by host
        self._for_module: dict[str, float] = {}  # the same as the module was told it
        self._youngest = math.inf  # age by our own clock of any start, when it was listed
        self._youngest_new = math.inf  # likewise of those not listed before, when the list was asked for the last time

    def learn(self, told: i.MachineList, asked: float) -> bool:
        """Learn from a list; ``asked`` is when, by the loop's clock, everything listed until then had been read. True
        where earlier starts have moved by it: they are to be told once more."""
        now = self._loop.now()
        whole = told.kind is not i.ListKind.DELTA
        for entry in told.entries:
            if entry.started <= self._told.get(entry.machine, 0.0) or entry.state is i.MachineState.GONE:
                continue
            self._told[entry.machine] = entry.started
            self._for_module.pop(entry.machine, None)
            age = now - (entry.started - self._epoch)
            self._youngest = min(self._youngest, age)
            if whole:
                continue
            self._youngest_new = min(self._youngest_new, age - (now - asked))
            if age < LATE_MOST_MS:
                not_before = self._aligned_at(asked) - USUAL_LATE_MS
                self._for_module[entry.machine] = max(self._aligned_of(entry.started), not_before)
        while len(self._told) > KEPT_MOST:
            self._forget(next(iter(self._told)))
        return self._correct()

    def _correct(self) -> bool:
        before = self._ahead
        proven = LATE_MOST_MS < self._youngest_new < math.inf
        self._ahead = self._youngest if proven or self._youngest < 0.0 else 0.0
        if abs(self._ahead - before) <= MOVED_MS:
            return False
        self._for_module.clear()
        return True

    def to_loop_time(self, started: float) -> float:
        """That start on the loop's clock, in ms."""
        return started - self._epoch + self._ahead

    def with_aligned_starts(self, told: i.MachineList) -> i.MachineList:
        """The list as the module is to have it: starts on its own clock, the same each time a host is listed again."""
        return replace(told, entries=tuple(self._dated(entry) for entry in told.entries))

    def _dated(self, entry: i.MachineEntry) -> i.MachineEntry:
        if not entry.started:
            return entry
        started = self._for_module.get(entry.machine)
        if started is None:
            started = self._for_module[entry.machine] = self._aligned_of(entry.started)
        return replace(entry, started=started)

    def _aligned_of(self, started: float) -> float:
        return self._aligned_at(self.to_loop_time(started))

    def _aligned_at(self, at: float) -> float:
        return max(1.0, self._aligned() - (self._loop.now() - at))  # 0 means long ago, which is as long as any

    def _forget(self, machine: str) -> None:
        self._told.pop(machine, None)
        self._for_module.pop(machine, None)
