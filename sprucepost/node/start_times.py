"""Start times of hosts: from the platform's wall clock in the list to this process's clocks. No I/O.

A list gives a host's start in Unix ms of the platform. This machine's wall clock may be off, by seconds or by an hour, when
the process starts, and may be stepped later. It is read once, and the start times in the lists bound its error:

============================================ ========================================================================
the list gives                               conclusion
============================================ ========================================================================
a start in the future                        this clock was behind, by at least as much
starts that were not listed at the previous  this clock was ahead, by the age of the youngest of these starts: the
poll, all more than ``MAX_LIST_DELAY_MS``    others would have been listed by then
ago
============================================ ========================================================================

In both cases the youngest start is taken to have been listed at once, so the correction is off by the real delay. A clock
that is ahead by less than ``MAX_LIST_DELAY_MS`` cannot be told from a list that is late.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import replace

from sprucepost import interface as i
from sprucepost.loop import Loop

MAX_LIST_DELAY_MS = 60_000.0  # a start is listed by then: if the list is silent for longer, its polls fail meanwhile
USUAL_LIST_DELAY_MS = 3000.0  # a new start counts for the decision module as at most this much before the previous poll
MAX_HOSTS = 8192  # whose starts are kept, with those that have gone: a host that is listed again is no new start
REPORTED_CHANGE_MS = 1000.0  # a larger correction is passed on to the decision module for the hosts that it knows


class StartTimes:
    """Converts the hosts' start times; ``aligned`` returns the decision module's time, which follows the loop's clock except
    for its slew. All times are in ms."""

    def __init__(self, loop: Loop, aligned: Callable[[], float]) -> None:
        self._loop, self._aligned_now = loop, aligned
        self._loop_epoch = loop.wall() - loop.now()
        self._ahead_ms = 0.0  # how far this wall clock was ahead of the list's, in ms
        self._listed: dict[str, float] = {}  # by host: the start that was listed last
        self._aligned_starts: dict[str, float] = {}  # the same in the decision module's time, as it was passed on
        self._youngest_age = math.inf  # the smallest age of a start when it was listed, by this clock
        self._youngest_new_age = math.inf  # likewise of starts in later lists, at the poll before

    def learn(self, listed: i.MachineList, asked: float) -> bool:
        """Take in the starts of a list. ``asked`` is the time of the loop's clock by which all earlier lists had been read.

        Returns whether the correction has changed so much that earlier starts must be passed on once more.
        """
        now = self._loop.now()
        is_full = listed.kind is not i.ListKind.DELTA
        for entry in listed.entries:
            if entry.started <= self._listed.get(entry.machine, 0.0) or entry.state is i.MachineState.GONE:
                continue
            self._listed[entry.machine] = entry.started
            self._aligned_starts.pop(entry.machine, None)
            age = now - (entry.started - self._loop_epoch)
            self._youngest_age = min(self._youngest_age, age)
            if is_full:
                continue
            self._youngest_new_age = min(self._youngest_new_age, age - (now - asked))
            if age < MAX_LIST_DELAY_MS:
                not_before = self._loop_to_aligned(asked) - USUAL_LIST_DELAY_MS
                self._aligned_starts[entry.machine] = max(self._start_to_aligned(entry.started), not_before)
        while len(self._listed) > MAX_HOSTS:
            self._forget(next(iter(self._listed)))
        return self._correct()

    def _correct(self) -> bool:
        """Update the correction; True where it has changed by more than ``REPORTED_CHANGE_MS``."""
        before = self._ahead_ms
        proven = MAX_LIST_DELAY_MS < self._youngest_new_age < math.inf
        self._ahead_ms = self._youngest_age if proven or self._youngest_age < 0.0 else 0.0
        if abs(self._ahead_ms - before) <= REPORTED_CHANGE_MS:
            return False
        self._aligned_starts.clear()
        return True

    def to_loop_time(self, started: float) -> float:
        """Convert a start to the loop's clock, in ms."""
        return started - self._loop_epoch + self._ahead_ms

    def with_aligned_starts(self, listed: i.MachineList) -> i.MachineList:
        """The list with its starts in the decision module's time; a host that is listed again keeps its start."""
        return replace(listed, entries=tuple(self._with_aligned_start(entry) for entry in listed.entries))

    def _with_aligned_start(self, entry: i.MachineEntry) -> i.MachineEntry:
        if not entry.started:
            return entry
        started = self._aligned_starts.get(entry.machine)
        if started is None:
            started = self._aligned_starts[entry.machine] = self._start_to_aligned(entry.started)
        return replace(entry, started=started)

    def _start_to_aligned(self, started: float) -> float:
        return self._loop_to_aligned(self.to_loop_time(started))

    def _loop_to_aligned(self, at: float) -> float:
        return max(1.0, self._aligned_now() - (self._loop.now() - at))  # 0 means long ago; 1 counts as just as long

    def _forget(self, machine: str) -> None:
        self._listed.pop(machine, None)
        self._aligned_starts.pop(machine, None)
