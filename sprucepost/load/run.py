"""Runs an open-loop load: tasks are submitted when they are due, regardless of the answers.

Latency counts from when a task was due and not from when it was submitted, so that a stalled generator or a full
connection shows in the figures (no coordinated omission). A task without an answer counts as answered when its owner's
time is over.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from sprucepost.load.arrivals import TaskArrival
from sprucepost.load.plan import Plan
from sprucepost.loop import Address, Co, Loop, Scope, sleep
from sprucepost.standin.owner_link import HELD_BACK_TOO_LONG, OwnerLink
from sprucepost.v1 import common_pb2
from sprucepost.v1 import placer_pb2 as pb

MAX_LATENCY_US = 3_600_000_000
BUCKET_MS = 250.0
CONNECT_LIMIT_MS = 10_000.0
QUANTILES = (50, 90, 99, 99.9)


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_US, 3)


def _quantiles(histogram: HdrHistogram) -> dict[str, float]:
    return {f"p{q:g}": histogram.get_value_at_percentile(q) / 1000.0 for q in QUANTILES}


def _us(ms: float) -> int:
    return min(MAX_LATENCY_US, max(1, int(ms * 1000.0)))


@dataclass
class Bucket:
    """The tasks that were due within one interval of ``BUCKET_MS``."""

    due: int = 0
    good: int = 0
    placed: int = 0
    refused: int = 0
    slowest_ms: float = 0.0  # longest time until a placement


@dataclass
class LoadResult:
    """What came back; ``good`` counts the tasks that were placed within their aim."""

    due: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    good: int = 0
    held: int = 0  # tasks that the owner held back until their time was over: no placer saw them
    placed_us: HdrHistogram = field(default_factory=_histogram)
    answered_us: HdrHistogram = field(default_factory=_histogram)
    left_late_us: HdrHistogram = field(default_factory=_histogram)
    by_class: dict[str, Counter[str]] = field(default_factory=dict)
    placed_us_by_class: dict[str, HdrHistogram] = field(default_factory=dict)
    by_owner: Counter[int] = field(default_factory=Counter)  # placed within the aim
    buckets: list[Bucket] = field(default_factory=list)

    def bucket(self, at_ms: float) -> Bucket:
        """Return the bucket of tasks that are due at that time."""
        n = int(at_ms / BUCKET_MS)
        while len(self.buckets) <= n:
            self.buckets.append(Bucket())
        return self.buckets[n]

    def figures(self, length_s: float) -> dict[str, Any]:
        """Return the figures of a run of that length; times in ms."""
        return {
            "due": self.due,
            "offered_per_s": round(self.due / length_s, 1),
            "goodput_per_s": round(self.good / length_s, 1),
            "outcomes": dict(sorted(self.outcomes.items())),
            "held": self.held,
            "unanswered": self.due - self.outcomes.total() + self.outcomes["second"],
            "placed_ms": _quantiles(self.placed_us),
            "answered_ms": _quantiles(self.answered_us),
            "left_late_ms": _quantiles(self.left_late_us),
            "classes": {
                name: {**dict(sorted(counts.items())), "placed_ms": _quantiles(self.placed_us_by_class[name])}
                for name, counts in sorted(self.by_class.items())
            },
            "bucket_ms": BUCKET_MS,
            "buckets": [[b.due, b.good, b.placed, b.refused, round(b.slowest_ms, 1)] for b in self.buckets],
        }


@dataclass(slots=True)
class _OpenTask:
    """A submitted task without an answer; ``due`` by the loop's clock, in ms."""

    arrival: TaskArrival
    due: float


class LoadRun:
    """Runs one plan against some placers, with a session of each owner at each placer."""

    def __init__(self, loop: Loop, scope: Scope, addresses: list[Address], plan: Plan, prefix: str = "load") -> None:
        self.loop, self.plan = loop, plan
        # Generators must not share task names: a submission under a name in use joins the earlier one and gets its
        # answer.
        self._prefix = f"{prefix}-{loop.token(6).hex()}"
        self.result = LoadResult()
        self._open_tasks: dict[str, _OpenTask] = {}
        self._links = [
            [
                OwnerLink(loop, scope, address, f"owner-{n}", self._handle_frame, lambda resumed: None)
                for address in addresses
            ]
            for n in range(plan.owners)
        ]
        for links in self._links:
            for link in links:
                link.accepts_credit, link.accepts_batches = plan.credit, plan.batches

    def _handle_frame(self, answer: pb.PlacerFrame) -> None:
        kind = str(answer.WhichOneof("body"))
        if kind not in ("bound", "refused", "failed"):
            return
        result, open_task = self.result, self._open_tasks.pop(answer.task, None)
        if open_task is None:
            result.outcomes["second"] += 1
            return
        arrival, latency_ms = open_task.arrival, self.loop.now() - open_task.due
        outcome = "placed" if kind == "bound" else kind
        bucket, counts = result.bucket(arrival.at_ms), result.by_class[arrival.task_class]
        result.answered_us.record_value(_us(latency_ms))
        result.outcomes[outcome] += 1
        counts[outcome] += 1
        if kind == "bound":
            result.placed_us.record_value(_us(latency_ms))
            result.placed_us_by_class[arrival.task_class].record_value(_us(latency_ms))
            bucket.placed += 1
            bucket.slowest_ms = max(bucket.slowest_ms, latency_ms)
            if latency_ms <= arrival.aim_ms:
                result.good += 1
                bucket.good += 1
                counts["good"] += 1
                result.by_owner[arrival.owner] += 1
        elif kind == "refused":
            bucket.refused += 1
            result.held += answer.refused.why == HELD_BACK_TOO_LONG

    def _submit(self, number: int, arrival: TaskArrival, due: float) -> None:
        result, name = self.result, f"{self._prefix}-{number}"
        task = common_pb2.Task(
            task_class=arrival.task_class,
            service=arrival.service,
            cores=arrival.cores,
            memory=arrival.memory,
            life_ms=arrival.life_ms,
        )
        late_ms = max(0.0, self.loop.now() - due)
        self._open_tasks[name] = _OpenTask(arrival, due)
        result.due += 1
        result.bucket(arrival.at_ms).due += 1
        result.by_class.setdefault(arrival.task_class, Counter())["due"] += 1
        result.placed_us_by_class.setdefault(arrival.task_class, _histogram())
        result.left_late_us.record_value(_us(late_ms))
        # The owner's time runs from when the task was due, also where the generator is late.
        # The credit may hold a task back for at most a quarter of its aim: after that it may be placed too late.
        link, left_ms = self._link(arrival.owner, number), max(1.0, arrival.left_ms - late_ms)
        link.submit(name, task, left_ms, hold_ms=arrival.aim_ms / 4.0 - late_ms)

    def _link(self, owner: int, number: int) -> OwnerLink:
        """Return the owner's sessions in turn, passing over those without credit while another has some."""
        links = self._links[owner]
        for n in range(len(links)):
            link = links[(number + n) % len(links)]
            if link.remaining_credit != 0:
                return link
        return links[number % len(links)]

    def execute(self, arrivals: Iterable[TaskArrival]) -> Co[LoadResult]:
        """Submit all tasks; return once each is answered or its time is over.

        Raises ConnectionError where a placer doesn't answer.
        """
        until = self.loop.now() + CONNECT_LIMIT_MS
        while not all(link.up for links in self._links for link in links):
            if self.loop.now() > until:
                raise ConnectionError("not every placer answers")
            yield from sleep(10.0)
        start = self.loop.now()
        for number, arrival in enumerate(arrivals):
            due = start + arrival.at_ms
            if due > self.loop.now():
                yield from sleep(due - self.loop.now())
            self._submit(number, arrival, due)
        until = (
            max((open_task.due + open_task.arrival.left_ms for open_task in self._open_tasks.values()), default=0.0)
            + 500.0
        )
        while self._open_tasks and self.loop.now() < until:
            yield from sleep(20.0)
        for open_task in self._open_tasks.values():
            self.result.answered_us.record_value(_us(open_task.arrival.left_ms))
        return self.result
