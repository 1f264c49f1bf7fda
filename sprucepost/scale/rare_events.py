"""Measures the cost of rare events: changes of configuration and restarts of workers.

At the planned rates none of them would fall into an interval of seconds. They are therefore triggered
:data:`RATE_MULTIPLIER` times as often (an hour's events in a minute) in an interval of their own after the first. The
additional processor time of a placer per event, times the planned rate, is their cost; it is added to what was measured
without them.
"""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from statistics import fmean

import msgspec

from sprucepost.scale.fleet import Fleet, RealPlacer
from sprucepost.scale.size import DAY_S

RATE_MULTIPLIER = 60.0
RELOADED = b'"event": "reloaded"'
MS = 1000.0


@dataclass(frozen=True)
class Kind:
    """A kind of rare event."""

    name: str
    """Of the kind of work in the figures."""
    per_day: Callable[[Fleet], float]
    trigger: Callable[[Fleet, int], None]
    """Let the n-th event happen."""


KINDS = (
    Kind("configuration", lambda fleet: fleet.size.changes_per_day, lambda fleet, n: fleet.change_configuration(n + 1)),
    Kind("restarts", lambda fleet: fleet.size.restarts_per_day, lambda fleet, n: fleet.restart_worker()),
)


@dataclass
class Schedule:
    """The events of one fleet in one interval: evenly over its first half, so that what follows of the last is in it."""

    fleet: Fleet
    kind: Kind
    seconds: float
    event_times_ms: list[float] = field(default_factory=list)
    """Wall clock, of each event."""

    @property
    def events(self) -> int:
        """How many are due in the interval, one at least where there are any."""
        return math.ceil(self.kind.per_day(self.fleet) / DAY_S * RATE_MULTIPLIER * self.seconds)

    def step(self, passed_s: float) -> None:
        """Let happen what is due once that much of the interval has passed."""
        while len(self.event_times_ms) < self.events:
            if passed_s < len(self.event_times_ms) * self.seconds / 2.0 / self.events:
                return
            number = len(self.event_times_ms)
            self.event_times_ms.append(time.time() * MS)
            self.kind.trigger(self.fleet, number)

    def percent(self, additional_cpu_s: float) -> float:
        """Per cent of a core at the planned rate, by what all events of the interval have cost a placer."""
        return 100.0 * additional_cpu_s / self.events * self.kind.per_day(self.fleet) / DAY_S


def in_force_ms(schedule: Schedule, placers: Sequence[RealPlacer]) -> list[float]:
    """Of each change at each placer: from its being written to its being in force. Those that never were are left out."""
    found = []
    for placer in placers:
        times = reloads_ms(placer)
        for written in schedule.event_times_ms:
            later = [at for at in times if at >= written]
            if later:
                found.append(min(later) - written)
    return found


def reloads_ms(placer: RealPlacer) -> list[float]:
    """When it took settings anew, by its own log."""
    lines = placer.process.log.read_bytes().splitlines()
    return [float(msgspec.json.decode(line)["at_ms"]) for line in lines if RELOADED in line]


def change_figures(schedule: Schedule, placers: Sequence[RealPlacer]) -> dict[str, float]:
    """Figures of the fleet."""
    times = sorted(in_force_ms(schedule, placers))
    figures = {"changes": float(len(schedule.event_times_ms)), "changes_in_force": len(times) / len(placers)}
    if times:
        figures["change_in_force_p99_ms"] = times[math.ceil(0.99 * len(times)) - 1]
        figures["change_in_force_worst_ms"] = times[-1]
    return figures


def mean_additional_s(before: Mapping[str, float], during: Mapping[str, float], seconds: float) -> float:
    """Processor time that a placer has used more in an interval, the mean over all, from per cent of a core by name."""
    return fmean(during[name] - before[name] for name in before) / 100.0 * seconds
