"""The arrivals of a plan, drawn from its seed alone: two runs of a plan submit the same tasks at the same times."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import accumulate
from typing import assert_never

from sprucepost.load.plan import Bursts, Plan, Poisson, Ramp, Replay, Steady
from sprucepost.loop import Rng


@dataclass(frozen=True, slots=True)
class TaskArrival:
    """One task to submit.

    It is due ``at_ms`` after the start of the run. Owners are numbered from 0. The owner waits for ``left_ms``; a
    placement within ``aim_ms`` is good; the task runs for ``life_ms``.
    """

    at_ms: float
    task_class: str
    owner: int
    service: str
    cores: float
    memory: float
    left_ms: float
    aim_ms: float
    life_ms: float


def arrival_times(arrivals: Steady | Poisson | Bursts | Ramp, length_ms: float, rng: Rng) -> Iterator[float]:
    """Yield when tasks are due, in ms from the start, in order."""
    if isinstance(arrivals, Steady):
        for n in range(int(length_ms * arrivals.rate / 1000.0)):
            yield n * 1000.0 / arrivals.rate
    elif isinstance(arrivals, Bursts):
        every, number = arrivals.every_ms, 0
        while number * every < length_ms:
            at = number * every + min(rng.uniform(0.0, arrivals.jitter_ms), every)
            for _ in range(arrivals.size):
                yield at
            number += 1
    elif isinstance(arrivals, Poisson):
        # Drawn at the highest rate and thinned, so that a surge begins and ends on time and not one interval later.
        peak = arrivals.rate * max([1.0, *(surge.times for surge in arrivals.surges)])
        yield from _thinned(peak, length_ms, rng, lambda at: _rate_at(arrivals, at) / peak)
    elif isinstance(arrivals, Ramp):
        low, high = arrivals.from_rate, arrivals.to_rate
        peak = max(low, high)
        yield from _thinned(peak, length_ms, rng, lambda at: (low + (high - low) * at / length_ms) / peak)
    else:
        assert_never(arrivals)


def _rate_at(arrivals: Poisson, at_ms: float) -> float:
    """Return the arrivals per second at that time."""
    factors = [surge.times for surge in arrivals.surges if surge.from_s <= at_ms / 1000.0 < surge.to_s]
    return arrivals.rate * (max(factors) if factors else 1.0)


def _thinned(rate: float, length_ms: float, rng: Rng, share: Callable[[float], float]) -> Iterator[float]:
    """Yield Poisson arrival times at ``rate`` per second, each kept with the probability ``share`` of its time."""
    at = 0.0
    while (at := at + rng.expovariate(rate / 1000.0)) < length_ms:
        if rng.random() < share(at):
            yield at


def task_arrivals(plan: Plan, recorded: list[TaskArrival] | None = None) -> Iterator[TaskArrival]:
    """Yield the arrivals of a plan; ``recorded`` are those of the run that it replays, if it does."""
    if isinstance(plan.arrivals, Replay):
        for arrival in recorded or []:
            at = arrival.at_ms / plan.arrivals.times
            if at < plan.length_s * 1000.0:
                yield TaskArrival(
                    at, arrival.task_class, arrival.owner % plan.owners, arrival.service, arrival.cores, arrival.memory,
                    arrival.left_ms, arrival.aim_ms, arrival.life_ms,
                )  # fmt: skip
        return
    time_rng, task_rng = Rng(f"moments {plan.seed}"), Rng(f"asks {plan.seed}")
    classes = list(accumulate(cls.share for cls in plan.classes))
    owners = list(accumulate((n + 1) ** -plan.owner_skew for n in range(plan.owners)))
    for at in arrival_times(plan.arrivals, plan.length_s * 1000.0, time_rng):
        cls = task_rng.choices(plan.classes, cum_weights=classes)[0]
        owner = task_rng.choices(range(plan.owners), cum_weights=owners)[0]
        service = f"service-{task_rng.randrange(plan.services)}"
        yield TaskArrival(at, cls.name, owner, service, cls.cores, cls.memory, cls.left_ms, cls.aim_ms, cls.life_ms)
