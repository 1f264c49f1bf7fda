"""Counts the offers that many schedulers send to the same cold machines in a sliding window, without any network."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from sprucepost import interface as i
from sprucepost.scheduler import Scheduler
from tests.support import entry, full_list, settings

START = 1_000_000.0


@dataclass
class Member:
    """One scheduler. Times are in ms after START.

    ``skew`` is how far its clock is ahead; ``timed_events`` are the events that it receives, each at its time.
    """

    number: int
    size: int
    skew: float = 0.0
    timed_events: list[tuple[float, i.Event]] = field(default_factory=list)
    begins: float = 0.0
    ends: float = float("inf")


def worst_window(
    members: list[Member],
    bears: float = 30.0,
    length: float = 40_000.0,
    fall: float = 2000.0,
    machines: int = 1,
    seed: int = 1,
    answer: Callable[[float], float] = lambda now: 5.0,
) -> tuple[int, int]:
    """Return the most offers that a machine got in any window of ``fall`` ms, and the number of all offers.

    Every member always has waiting tasks. Each offer is accepted and its task ends at once, so that the next may follow:
    a refusal would keep its member away for longer than ``fall``, whatever its allowance.
    """
    base = settings(
        cold_bears=bears, fall=fall, warm_after=length * 2, accepts_cores=1e6, accepts_memory=1e6, max_attempts=10**9
    )
    cold = [entry(f"m{n}", started=START - 1.0, free_cores=1e6, free_memory=1e6) for n in range(machines)]
    rng = random.Random(seed)
    order = itertools.count()
    queue: list[tuple[float, int, int, i.Event | None]] = []
    schedulers: dict[int, Scheduler] = {}
    requests, services = itertools.count(1), itertools.count()

    def push(at: float, index: int, event: i.Event | None) -> None:
        heapq.heappush(queue, (at, next(order), index, event))

    for index, member in enumerate(members):
        push(START + member.begins + rng.uniform(0.0, 50.0), index, None)
        for at, change in member.timed_events:
            if at > member.begins:
                push(START + at, index, change)
    recent: dict[str, deque[float]] = {}
    worst = total = 0
    while queue and queue[0][0] < START + length:
        now, _, index, event = heapq.heappop(queue)
        member = members[index]
        if now >= START + member.ends:
            continue
        local = now + member.skew
        if event is None:
            scheduler = Scheduler(replace(base, number=member.number, n_instances=member.size), seed + index)
            schedulers[index] = scheduler
            first = [change for at, change in member.timed_events if at <= member.begins]  # received before any list
            scheduler.handle(local, list(first))
            # The machines start after the scheduler: it sends nothing to older ones in its first window of `fall`.
            events: list[i.Event] = [full_list(*(replace(m, started=local + 1.0) for m in cold))]
            for service in range(2):
                ask = i.TaskRequest(next(requests), 0, f"s{service}", 0.01, 0.01, length * 10)
                events.append(ask)
        else:
            if index not in schedulers:
                continue
            scheduler, events = schedulers[index], [event]
        for action in scheduler.handle(local, events):
            if isinstance(action, i.SetTimer) and not action.name.startswith("answer"):
                push(now + action.delay, index, i.TimerFired(action.name))
            elif isinstance(action, i.Offer):
                total += 1
                window = recent.setdefault(action.machine, deque())
                window.append(now)
                while window[0] <= now - fall:
                    window.popleft()
                worst = max(worst, len(window))
                answered = now + answer(now)
                push(answered, index, i.Accepted(action.request, 0, answered - now))
                push(answered, index, i.Outcome(action.request, 0, i.Ending.OK, True))
                service = next(services)
                push(answered, index, i.TaskRequest(next(requests), 0, f"s{service % 2}", 0.01, 0.01, length * 10))
    return worst, total
