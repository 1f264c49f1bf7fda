"""Under which conditions a fleet meets machines that start cold, and what one such start got. Times are milliseconds."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

Range = tuple[float, float]


@dataclass(frozen=True)
class Demand:
    """What clients ask.

    ``load`` is the offers wanted per `fall` and cold machine, over the whole fleet, as a share of what the machine bears;
    with None tasks wait at every process at all times. ``skew_exponent`` is the exponent of the processes' shares (Zipf).
    """

    load: float | None = None
    skew_exponent: float = 0.0
    burst_factor: float = 1.0  # the load during a burst, as a multiple of the usual one
    burst_ms: float = 500.0


@dataclass(frozen=True)
class Delays:
    """What lies between a decision and its answer. Ranges are drawn from evenly."""

    write_ms: Range = (0.0, 0.0)  # from the decision to the write, as on a busy loop
    late_dial_share: float = 0.0  # share of new connections that come up late, by up to ``late_dial_ms``
    late_dial_ms: float = 1000.0
    answer_ms: Range = (1.0, 10.0)
    stop_share: float = 0.0  # share of processes whose loop stops once within the ramp
    stop_ms: Range = (0.0, 0.0)


@dataclass(frozen=True)
class Restarts:
    """Processes that begin anew at drawn times within the ramp. ``overlap_ms``: the old life goes on for so long."""

    share: float = 0.0
    times: int = 1
    down_ms: Range = (200.0, 1500.0)
    overlap_ms: float = 0.0


@dataclass(frozen=True)
class Discovery:
    """How processes are told of a machine's start: each after a drawn delay."""

    delay_ms: Range = (0.0, 200.0)
    together: bool = False  # all machines start at one time, and every process is told in the same tick
    known_before: bool = False  # the machine was listed before: a process not told yet takes it for a warm one
    out_of_order_share: float = 0.0  # share of processes told later that it is gone, and then that it is there


@dataclass(frozen=True)
class Conditions:
    """One kind of play. ``size`` processes are configured; ``live_share`` of them run."""

    size: int
    cold_limit: float
    fall_ms: float = 1500.0
    live_share: float = 1.0
    machines: int = 10
    ramp_falls: float = 3.5
    skew_ms: float = 0.0  # clocks differ from the true time by up to this, either way
    demand: Demand = Demand()
    delays: Delays = Delays()
    restarts: Restarts = Restarts()
    discovery: Discovery = Discovery()
    machine_restarts: bool = False  # each machine dies within its ramp and starts again under its name
    address_reused: bool = False  # each machine is replaced within its ramp by another one at its address
    growth: float = 1.0  # the fleet's size is changed by this factor within the ramp

    @property
    def bound(self) -> float:
        """Offers in one window of `fall` up to which an excess is put down to chance."""
        return self.cold_limit + 2.0 * math.sqrt(self.cold_limit) + 2.0


@dataclass(frozen=True)
class ColdStart:
    """What one life of a cold machine got. ``used``: share of what it bears, over the time from start to end of play."""

    worst: int  # offers in the window that had the most
    worst_told: int  # those of them from processes that had been told of the start
    used: float

    def exceeds(self, bound: float) -> bool:
        """Whether the excess is more than chance, and over two thirds of it came from processes that knew."""
        return self.worst > bound and 3 * self.worst_told > 2 * self.worst


@dataclass
class MachineIncarnation:
    """One life of a machine: each offer's arrival, and whether its process had been told of this start."""

    name: str
    started: float
    ended: float = math.inf
    arrivals: list[tuple[float, bool]] = field(default_factory=list)

    def summary(self, fall_ms: float, bears: float, until: float) -> ColdStart:
        """The worst sliding window, and the use of the allowance until then."""
        arrivals = sorted(self.arrivals)
        worst = worst_told = first = told = 0
        for last, (at, knew) in enumerate(arrivals):
            told += knew
            while arrivals[first][0] <= at - fall_ms:
                told -= arrivals[first][1]
                first += 1
            count = last - first + 1
            if (count, told) > (worst, worst_told):
                worst, worst_told = count, told
        lasted = min(until, self.ended) - self.started
        return ColdStart(worst, worst_told, len(arrivals) * fall_ms / (bears * lasted))


@dataclass(frozen=True)
class Summary:
    """Many starts under one kind of conditions."""

    starts: int
    bound: float
    mean: float  # of the starts' worst windows
    p999: int  # of the starts' worst windows
    worst: int
    worst_told: int  # the most that told processes had in any start's worst window
    beyond: int  # starts that break the bound
    used: float  # mean


def summarise(starts: Sequence[ColdStart], bound: float) -> Summary:
    """The figures over all starts."""
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
