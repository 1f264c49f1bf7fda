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
"""An hour's events fall into a minute."""
RELOADED_EVENT = b'"event": "reloaded"'
MS_PER_S = 1000.0


@dataclass(frozen=True)
class Kind:
    """A kind of rare event."""

    name: str
    """Name of the kind of work in the figures."""
    per_day: Callable[[Fleet], float]
    trigger: Callable[[Fleet, int], None]
    """Trigger the n-th event, counted from 0."""


KINDS = (
    Kind("configuration", lambda fleet: fleet.size.changes_per_day, lambda fleet, n: fleet.change_configuration(n + 1)),
    Kind("restarts", lambda fleet: fleet.size.restarts_per_day, lambda fleet, n: fleet.restart_worker()),
)


@dataclass
class Schedule:
    """The events of one fleet in one interval, spread evenly over its first half so that their effects fall into it."""

    fleet: Fleet
    kind: Kind
    seconds: float
    event_times_ms: list[float] = field(default_factory=list)
    """Wall clock time of each event, in ms."""

    @property
    def events(self) -> int:
        """Number of events in the interval; at least one if the plan has any."""
        return math.ceil(self.kind.per_day(self.fleet) / DAY_S * RATE_MULTIPLIER * self.seconds)

    def step(self, elapsed_s: float) -> None:
        """Trigger the events that are due after ``elapsed_s`` of the interval."""
        while len(self.event_times_ms) < self.events:
            if elapsed_s < len(self.event_times_ms) * self.seconds / 2.0 / self.events:
                return
            number = len(self.event_times_ms)
            self.event_times_ms.append(time.time() * MS_PER_S)
            self.kind.trigger(self.fleet, number)

    def percent(self, additional_cpu_s: float) -> float:
        """Per cent of a core at the planned rate, from the cost of all events of the interval to a placer."""
        return 100.0 * additional_cpu_s / self.events * self.kind.per_day(self.fleet) / DAY_S


def activation_delays_ms(schedule: Schedule, placers: Sequence[RealPlacer]) -> list[float]:
    """Time in ms from writing a change until it is in force, for each change and placer.

    Changes that never came into force are left out.
    """
    found = []
    for placer in placers:
        times = reload_times_ms(placer)
        for written in schedule.event_times_ms:
            later = [at for at in times if at >= written]
            if later:
                found.append(min(later) - written)
    return found


def reload_times_ms(placer: RealPlacer) -> list[float]:
    """Wall clock times in ms at which the placer reloaded its settings, from its log."""
    lines = placer.process.log.read_bytes().splitlines()
    return [float(msgspec.json.decode(line)["at_ms"]) for line in lines if RELOADED_EVENT in line]


def change_figures(schedule: Schedule, placers: Sequence[RealPlacer]) -> dict[str, float]:
    """Figures of the fleet about its changes of configuration."""
    times = sorted(activation_delays_ms(schedule, placers))
    figures = {"changes": float(len(schedule.event_times_ms)), "changes_in_force": len(times) / len(placers)}
    if times:
        figures["change_in_force_p99_ms"] = times[math.ceil(0.99 * len(times)) - 1]
        figures["change_in_force_worst_ms"] = times[-1]
    return figures


def mean_additional_s(before: Mapping[str, float], during: Mapping[str, float], seconds: float) -> float:
    """Mean additional processor time in s of a placer in the interval; arguments are per cent of a core by name."""
    return fmean(during[name] - before[name] for name in before) / 100.0 * seconds
