"""Conditions and results of the simulation of cold starts (:mod:`sprucepost.simulation.cold_starts`). Times in ms.

``fall`` is the window in which a cold machine may get a limited number of offers, as in the settings.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

Range = tuple[float, float]


@dataclass(frozen=True)
class Demand:
    """The tasks that owners submit.

    ``load`` is the demand for offers per `fall` and cold machine, over the whole fleet, as a share of the machine's
    limit; with None, tasks wait at every process at all times. ``skew_exponent`` is that of the processes' shares
    (Zipf).
    """

    load: float | None = None
    skew_exponent: float = 0.0
    burst_factor: float = 1.0  # load during a burst, as a multiple of the usual one
    burst_ms: float = 500.0


@dataclass(frozen=True)
class Delays:
    """Delays between a decision and its answer, drawn uniformly from each range."""

    write_ms: Range = (0.0, 0.0)  # from the decision to the write, as on a busy event loop
    late_dial_share: float = 0.0  # share of new connections that open late, by up to ``late_dial_ms``
    late_dial_ms: float = 1000.0
    answer_ms: Range = (1.0, 10.0)
    stop_share: float = 0.0  # share of processes whose event loop stalls once within the ramp
    stop_ms: Range = (0.0, 0.0)


@dataclass(frozen=True)
class Restarts:
    """Restarts of processes at random times within the ramp; the old process continues for ``overlap_ms``."""

    share: float = 0.0
    times: int = 1
    down_ms: Range = (200.0, 1500.0)
    overlap_ms: float = 0.0


@dataclass(frozen=True)
class Discovery:
    """How processes are notified of a machine's start: each after a random delay."""

    delay_ms: Range = (0.0, 200.0)
    together: bool = False  # all machines start at one time, and every process is notified in the same tick
    known_before: bool = False  # the machine was listed before: processes not notified yet take it for warm
    out_of_order_share: float = 0.0  # share of processes that later get notices that it is gone and is back


@dataclass(frozen=True)
class Conditions:
    """Conditions of one simulation; of ``size`` configured processes, ``live_share`` run.

    ``cold_limit`` is the number of offers that a cold machine may get per `fall`.
    """

    size: int
    cold_limit: float
    fall_ms: float = 1500.0
    live_share: float = 1.0
    machines: int = 10
    ramp_falls: float = 3.5
    skew_ms: float = 0.0  # clocks are ahead or behind by up to this
    demand: Demand = Demand()
    delays: Delays = Delays()
    restarts: Restarts = Restarts()
    discovery: Discovery = Discovery()
    machine_restarts: bool = False  # each machine ends within its ramp and starts again under its name
    address_reused: bool = False  # each machine is replaced within its ramp by another one at its address
    growth: float = 1.0  # factor by which the fleet is resized within the ramp

    @property
    def bound(self) -> float:
        """Offers in one window of `fall` up to which an excess counts as chance."""
        return self.cold_limit + 2.0 * math.sqrt(self.cold_limit) + 2.0


@dataclass(frozen=True)
class ColdStart:
    """Offers that one incarnation of a cold machine got; ``used`` is the share of its limit used over its lifetime."""

    worst: int  # offers in the window that had the most
    worst_told: int  # those of them from processes that had been notified of the start
    used: float

    def exceeds(self, bound: float) -> bool:
        """Return whether the worst window exceeds ``bound`` (is more than chance) through processes that were notified.

        These must have made over two thirds of its offers.
        """
        return self.worst > bound and 3 * self.worst_told > 2 * self.worst


@dataclass
class MachineIncarnation:
    """One incarnation of a machine: arrival of each offer, and whether its process had been notified of this start."""

    name: str
    started: float
    ended: float = math.inf
    arrivals: list[tuple[float, bool]] = field(default_factory=list)

    def summary(self, fall_ms: float, cold_limit: float, until: float) -> ColdStart:
        """Return the worst sliding window, and the use of the limit until then."""
        arrivals = sorted(self.arrivals)
        worst = worst_told = first = notified = 0
        for last, (at, was_notified) in enumerate(arrivals):
            notified += was_notified
            while arrivals[first][0] <= at - fall_ms:
                notified -= arrivals[first][1]
                first += 1
            count = last - first + 1
            if (count, notified) > (worst, worst_told):
                worst, worst_told = count, notified
        lifetime = min(until, self.ended) - self.started
        return ColdStart(worst, worst_told, len(arrivals) * fall_ms / (cold_limit * lifetime))


@dataclass(frozen=True)
class Summary:
    """Figures over many starts under the same conditions. Field names stand in the stored results."""

    starts: int
    bound: float
    mean: float  # of the starts' worst windows
    p999: int  # of the starts' worst windows
    worst: int
    worst_told: int  # most offers of notified processes in the worst window of any start
    beyond: int  # starts that exceed the bound
    used: float  # mean


def summarise(starts: Sequence[ColdStart], bound: float) -> Summary:
    """Return the figures over all starts."""
    windows = sorted(start.worst for start in starts)
    return Summary(
        starts=len(starts),
        bound=round(bound, 1),
        mean=round(sum(windows) / len(windows), 1),
        p999=windows[min(len(windows) - 1, int(0.999 * len(windows)))],
        worst=windows[-1],
        worst_told=max(start.worst_told for start in starts),
        beyond=sum(start.exceeds(bound) for start in starts),
        used=round(sum(start.used for start in starts) / len(starts), 3),
    )
