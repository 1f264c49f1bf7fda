"""Open-loop load: asks leave when they are due, whatever has come back.

Latency counts from when an ask was due, not from when it left: a stalled generator or a full pipe shows in the figures
instead of hiding in them (coordinated omission). An ask without an answer counts as answered when its owner gave up.
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

MOST_US = 3_600_000_000
BUCKET_MS = 250.0
COMING_UP_MS = 10_000.0
QUANTILES = (50, 90, 99, 99.9)


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MOST_US, 3)


def _quantiles(histogram: HdrHistogram) -> dict[str, float]:
    return {f"p{q:g}": histogram.get_value_at_percentile(q) / 1000.0 for q in QUANTILES}


def _us(ms: float) -> int:
    return min(MOST_US, max(1, int(ms * 1000.0)))


@dataclass
class Bucket:
    """The asks that were due within ``BUCKET_MS``."""

    due: int = 0
    good: int = 0
    placed: int = 0
    refused: int = 0
    worst_ms: float = 0.0  # of those placed


@dataclass
class LoadResult:
    """What came back. ``good``: placed within the aim; ``worth_good`` the same, each counted with its class's worth."""

    due: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    good: int = 0
    held: int = 0  # asks that the owner held back until their time was over: the placer never saw them
    placed_us: HdrHistogram = field(default_factory=_histogram)
    answered_us: HdrHistogram = field(default_factory=_histogram)
    left_late_us: HdrHistogram = field(default_factory=_histogram)
    by_class: dict[str, Counter[str]] = field(default_factory=dict)
    placed_of: dict[str, HdrHistogram] = field(default_factory=dict)
    by_owner: Counter[int] = field(default_factory=Counter)  # placed within the aim
    buckets: list[Bucket] = field(default_factory=list)

    def bucket(self, at_ms: float) -> Bucket:
        n = int(at_ms / BUCKET_MS)
        while len(self.buckets) <= n:
            self.buckets.append(Bucket())
        return self.buckets[n]

    def figures(self, length_s: float) -> dict[str, Any]:
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
                name: {**dict(sorted(counts.items())), "placed_ms": _quantiles(self.placed_of[name])}
                for name, counts in sorted(self.by_class.items())
            },
            "bucket_ms": BUCKET_MS,
            "buckets": [[b.due, b.good, b.placed, b.refused, round(b.worst_ms, 1)] for b in self.buckets],
        }


@dataclass(slots=True)
class _Out:
    ask: TaskArrival
    due: float


class LoadRun:
    """One plan against some placers."""

    def __init__(self, loop: Loop, scope: Scope, addresses: list[Address], plan: Plan, prefix: str = "load") -> None:
        self.loop, self.plan = loop, plan
        # Two generators that named their tasks alike would ask for the same ones, and the second gets the first's answer.
        self._prefix = f"{prefix}-{loop.token(6).hex()}"
        self.result = LoadResult()
        self._out: dict[str, _Out] = {}
        self._links = [
            [OwnerLink(loop, scope, address, f"owner-{n}", self._frame, lambda resumed: None) for address in addresses]
            for n in range(plan.owners)
        ]
        for links in self._links:
            for link in links:
                link.accepts_credit, link.accepts_batches = plan.credit, plan.batches

    def _frame(self, answer: pb.PlacerFrame) -> None:
        kind = str(answer.WhichOneof("body"))
        if kind not in ("bound", "refused", "failed"):
            return
        result, found = self.result, self._out.pop(answer.task, None)
        if found is None:
            result.outcomes["second"] += 1
            return
        ask, took_ms = found.ask, self.loop.now() - found.due
        outcome = "placed" if kind == "bound" else kind
        bucket, counts = result.bucket(ask.at_ms), result.by_class[ask.task_class]
        result.answered_us.record_value(_us(took_ms))
        result.outcomes[outcome] += 1
        counts[outcome] += 1
        if kind == "bound":
            result.placed_us.record_value(_us(took_ms))
            result.placed_of[ask.task_class].record_value(_us(took_ms))
            bucket.placed += 1
            bucket.worst_ms = max(bucket.worst_ms, took_ms)
            if took_ms <= ask.aim_ms:
                result.good += 1
                bucket.good += 1
                counts["good"] += 1
                result.by_owner[ask.owner] += 1
        elif kind == "refused":
            bucket.refused += 1
            result.held += answer.refused.why == HELD_BACK_TOO_LONG

    def _ask(self, number: int, ask: TaskArrival, due: float) -> None:
        result, name = self.result, f"{self._prefix}-{number}"
        task = common_pb2.Task(
            task_class=ask.task_class, service=ask.service, cores=ask.cores, memory=ask.memory, life_ms=ask.life_ms
        )
        late_ms = max(0.0, self.loop.now() - due)
        self._out[name] = _Out(ask, due)
        result.due += 1
        result.bucket(ask.at_ms).due += 1
        result.by_class.setdefault(ask.task_class, Counter())["due"] += 1
        result.placed_of.setdefault(ask.task_class, _histogram())
        result.left_late_us.record_value(_us(late_ms))
        # The owner's time runs from when the ask was due: a generator that is behind does not make it younger.
        # Held back by credit for a quarter of the aim at the most: what goes out later may be placed too late.
        link, left_ms = self._link(ask.owner, number), max(1.0, ask.left_ms - late_ms)
        link.submit(name, task, left_ms, hold_ms=ask.aim_ms / 4.0 - late_ms)

    def _link(self, owner: int, number: int) -> OwnerLink:
        """The owner's sessions in turn; one that takes no more now is passed over where another does."""
        links = self._links[owner]
        for n in range(len(links)):
            link = links[(number + n) % len(links)]
            if link.remaining_credit != 0:
                return link
        return links[number % len(links)]

    def execute(self, asks: Iterable[TaskArrival]) -> Co[LoadResult]:
        """Ask all; returns once every ask is answered or its time is over. ConnectionError where no placer answers."""
        until = self.loop.now() + COMING_UP_MS
        while not all(link.up for links in self._links for link in links):
            if self.loop.now() > until:
                raise ConnectionError("not every placer answers")
            yield from sleep(10.0)
        began = self.loop.now()
        for number, ask in enumerate(asks):
            due = began + ask.at_ms
            if due > self.loop.now():
                yield from sleep(due - self.loop.now())
            self._ask(number, ask, due)
        until = max((out.due + out.ask.left_ms for out in self._out.values()), default=0.0) + 500.0
        while self._out and self.loop.now() < until:
            yield from sleep(20.0)
        for out in self._out.values():
            self.result.answered_us.record_value(_us(out.ask.left_ms))
        return self.result
