"""The asks of a plan, drawn from its seed alone: two runs of one plan ask the same at the same moments."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import accumulate
from typing import assert_never

from sprucepost.load.plan import Bursts, Plan, Poisson, Ramp, Replay, Steady
from sprucepost.loop import Rng


@dataclass(frozen=True, slots=True)
class TaskArrival:
    """``at_ms`` from the beginning; ``owner`` from 0."""

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
    """When asks are due, in ms, in order."""
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
        # Drawn at the highest rate and thinned, so that a surge begins and ends at its moment and not one gap later.
        most = arrivals.rate * max([1.0, *(surge.times for surge in arrivals.surges)])
        yield from _thinned(most, length_ms, rng, lambda at: _surging(arrivals, at) / most)
    elif isinstance(arrivals, Ramp):
        low, high = arrivals.from_rate, arrivals.to_rate
        most = max(low, high)
        yield from _thinned(most, length_ms, rng, lambda at: (low + (high - low) * at / length_ms) / most)
    else:
        assert_never(arrivals)


def _surging(arrivals: Poisson, at_ms: float) -> float:
    times = [surge.times for surge in arrivals.surges if surge.from_s <= at_ms / 1000.0 < surge.to_s]
    return arrivals.rate * (max(times) if times else 1.0)


def _thinned(rate: float, length_ms: float, rng: Rng, share: Callable[[float], float]) -> Iterator[float]:
    """Independent moments at ``rate`` a second, of which the share of that moment stays."""
    at = 0.0
    while (at := at + rng.expovariate(rate / 1000.0)) < length_ms:
        if rng.random() < share(at):
            yield at


def task_arrivals(plan: Plan, recorded: list[TaskArrival] | None = None) -> Iterator[TaskArrival]:
    """What a plan asks; ``recorded`` where it replays a day."""
    if isinstance(plan.arrivals, Replay):
        for ask in recorded or []:
            at = ask.at_ms / plan.arrivals.times
            if at < plan.length_s * 1000.0:
                yield TaskArrival(
                    at, ask.task_class, ask.owner % plan.owners, ask.service, ask.cores, ask.memory, ask.left_ms,
                    ask.aim_ms, ask.life_ms,
                )  # fmt: skip
        return
    when, what = Rng(f"moments {plan.seed}"), Rng(f"asks {plan.seed}")
    classes = list(accumulate(cls.share for cls in plan.classes))
    owners = list(accumulate((n + 1) ** -plan.owner_skew for n in range(plan.owners)))
    for at in arrival_times(plan.arrivals, plan.length_s * 1000.0, when):
        cls = what.choices(plan.classes, cum_weights=classes)[0]
        owner = what.choices(range(plan.owners), cum_weights=owners)[0]
        service = f"service-{what.randrange(plan.services)}"
        yield TaskArrival(at, cls.name, owner, service, cls.cores, cls.memory, cls.left_ms, cls.aim_ms, cls.life_ms)
