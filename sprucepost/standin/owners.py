"""Owners: they ask for tasks, follow them, and ask again as owners do.

A task that is refused, lost or failed comes again until its time is over: after about ``again_ms`` or more, soon after
a loss, and, where an attempt may have run and a second start could do harm, only after ``owner_wait_ms``, in which a
task that turns out to run is handed over instead. A plain front layer spreads tasks over the placers that are up.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from hdrh.histogram import HdrHistogram

from sprucepost.loop import Address, Co, Loop, Scope, Timer, sleep
from sprucepost.settings import Cluster
from sprucepost.standin.orders import OrderService
from sprucepost.standin.owner_link import KEEPALIVE_MS, OwnerLink
from sprucepost.v1 import common_pb2
from sprucepost.v1 import placer_pb2 as pb

TWICE_MS = 60.0  # an impatient owner asks again within this
SLACK_MS = 250.0  # an answer that comes later than this after its time is counted as none


@dataclass(frozen=True)
class Service:
    """A service whose tasks are asked for; shapes by drawing from the class's."""

    name: str
    task_class: str
    cores: float
    memory: float
    life_ms: float
    tenant: str = ""


@dataclass(eq=False)
class WantedTask:
    """One task that an owner wants."""

    name: str
    service: Service
    task: common_pb2.Task
    until: float  # its time is over then
    asks: int = 0
    placer: int = -1  # where it was asked
    open: bool = False  # asked and not answered
    placed: str = ""  # the machine it is on
    ran: bool = False
    harm: bool = False  # an attempt may have run
    asked_at: float = 0.0
    first_asked: float = 0.0
    gives_up: Timer | None = None
    again: Timer | None = None
    over: bool = False
    owed: dict[int, deque[int]] = field(default_factory=dict)  # by placer: asks that it has not answered
    handed: int = 0  # hand-overs that are to be answered


@dataclass
class ClassStatistics:
    """What became of the asks of a class."""

    outcomes: Counter[str] = field(default_factory=Counter)
    answer_ms: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 600_000, 2))
    start_ms: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 600_000, 2))


class Owners:
    """All owners of a run, with a session at each placer."""

    def __init__(
        self,
        loop: Loop,
        scope: Scope,
        cluster: Cluster,
        services: list[Service],
        placers: list[Address],
        rate_per_s: float,
        wanted_ms: float = 60_000.0,
        again_ms: float = 1200.0,
        source: str | None = None,
        prefix: str = "task",
        keepalive_ms: float = KEEPALIVE_MS,
    ) -> None:
        """``prefix``: of the tasks' names, which no one else's tasks may have. ``keepalive_ms``: see OwnerLink."""
        self.loop, self.scope, self.cluster, self.services = loop, scope, cluster, services
        self._prefix, self._keepalive_ms = prefix, keepalive_ms
        self._classes = {cls.name: cls for cls in cluster.classes}
        self._rng = loop.rng()
        self._rate, self.rate_factor = rate_per_s, 1.0
        self._wanted_ms, self._again_ms = wanted_ms, again_ms
        self.tasks: dict[str, WantedTask] = {}
        self.statistics: dict[str, ClassStatistics] = {cls.name: ClassStatistics() for cls in cluster.classes}
        self.second_answers = 0
        self.twice = 0.0  # share of asks that come a second time while they are open
        self.asking = True  # else nothing is asked for, also not again
        self._count = 0
        self._source = source
        self.links: list[OwnerLink] = []
        for address in placers:
            self.link(address)

    def link(self, address: Address) -> None:
        """A session with one more placer."""
        n = len(self.links)
        self.links.append(
            OwnerLink(
                self.loop,
                self.scope,
                address,
                "owners",
                lambda frame: self._frame(n, frame),
                lambda resumed: self._session(n, resumed),
                source=self._source,
                keepalive_ms=self._keepalive_ms,
            )
        )

    # Asking

    def run(self) -> Co[None]:
        """Ask for new tasks, for ever, at the rate of the moment."""
        while True:
            wait = self._rng.expovariate(max(1e-6, self._rate * self.rate_factor / 1000.0))
            yield from sleep(min(wait, 1000.0))
            if self.asking and wait <= 1000.0:
                self.submit_new_task(self._rng.choice(self.services))

    def draw_life_ms(self, service: Service) -> float:
        """Of one task; its mean is the service's."""
        return service.life_ms * self._rng.lognormvariate(-0.125, 0.5)

    def submit_new_task(self, service: Service) -> WantedTask:
        """A new task of that service."""
        self._count += 1
        task = common_pb2.Task(
            task_class=service.task_class,
            service=service.name,
            cores=service.cores,
            memory=service.memory,
            tenant=service.tenant,
            life_ms=self.draw_life_ms(service),
        )
        now = self.loop.now()
        wanted = WantedTask(f"{self._prefix}-{self._count}", service, task, now + self._wanted_ms, first_asked=now)
        self.tasks[wanted.name] = wanted
        self._ask(wanted)
        return wanted

    def _front(self) -> int:
        """A placer that is up, -1 where none is."""
        up = [n for n, link in enumerate(self.links) if link.up]
        return self._rng.choice(up) if up else -1

    def _ask(self, wanted: WantedTask) -> None:
        wanted.again = None
        now, cls = self.loop.now(), self._classes[wanted.service.task_class]
        if wanted.over or now >= wanted.until or not self.asking:
            self._finish(wanted, "given up")
            return
        placer = self._front()
        if placer < 0:
            self._ask_later(wanted, 100.0)
            return
        wanted.placer, wanted.open, wanted.asked_at, wanted.placed = placer, True, now, ""
        wanted.asks += 1
        wanted.owed.setdefault(placer, deque()).append(wanted.asks)
        self._tally(wanted, "asked")
        self.links[placer].submit(wanted.name, wanted.task, cls.deadline_ms, wanted.asks > 1)
        wanted.gives_up = self.loop.call_later(cls.deadline_ms + SLACK_MS, lambda: self._no_answer(wanted))
        if self.twice and self._rng.random() < self.twice:
            ask = wanted.asks
            self.loop.call_later(self._rng.uniform(0.0, TWICE_MS), lambda: self._ask_twice(wanted, placer, ask))

    def _ask_twice(self, wanted: WantedTask, placer: int, ask: int) -> None:
        """The same ask once more while it is open, in the same session: it is owed an answer of its own."""
        if wanted.over or not wanted.open or wanted.asks != ask or not self.links[placer].up:
            return
        wanted.owed[placer].append(ask)
        self._tally(wanted, "asked twice")
        left = wanted.asked_at + self._classes[wanted.service.task_class].deadline_ms - self.loop.now()
        self.links[placer].submit(wanted.name, wanted.task, left, True)

    def _ask_later(self, wanted: WantedTask, wait_ms: float) -> None:
        if wanted.again is not None:
            wanted.again.cancel()
        wanted.again = self.loop.call_later(wait_ms, lambda: self._ask(wanted))

    def _pause(self, wanted: WantedTask) -> float:
        """How long an owner waits after a refusal or failure, longer after many."""
        wait = self._again_ms * self._rng.uniform(1.0, 1.8) * min(4.0, 1.0 + 0.25 * max(0, wanted.asks - 3))
        cls = self._classes[wanted.service.task_class]
        if wanted.harm and cls.effect != "safe":
            wait = max(wait, self.cluster.owner_wait_ms)
        return wait

    def _tally(self, wanted: WantedTask, what: str) -> None:
        self.statistics[wanted.service.task_class].outcomes[what] += 1

    def _finish(self, wanted: WantedTask, what: str) -> None:
        if not wanted.over:
            wanted.over = True
            self._tally(wanted, what)
            for timer in (wanted.gives_up, wanted.again):
                if timer is not None:
                    timer.cancel()
            self.tasks.pop(wanted.name, None)

    # Answers

    def _answered(self, wanted: WantedTask, what: str) -> None:
        """The one outcome of an ask."""
        wanted.open = False
        if wanted.gives_up is not None:
            wanted.gives_up.cancel()
        self._tally(wanted, what)
        self.statistics[wanted.service.task_class].answer_ms.record_value(
            max(1, int(self.loop.now() - wanted.asked_at))
        )

    def _no_answer(self, wanted: WantedTask) -> None:
        """The owner gives up on this ask: a task was lost on the way."""
        if wanted.open and not wanted.over:
            wanted.open = False
            self._tally(wanted, "no answer")
            wanted.harm = True
            self._ask_later(wanted, self._pause(wanted))

    def _frame(self, placer: int, frame: pb.PlacerFrame) -> None:
        wanted = self.tasks.get(frame.task)
        kind = frame.WhichOneof("body")
        if wanted is None:
            return
        if kind in ("bound", "refused", "failed"):
            self._outcome(wanted, placer, kind, frame)
        elif wanted.placer != placer:
            return
        elif kind == "running":
            if not wanted.ran:
                wanted.ran = True
                start = max(1, int(self.loop.now() - wanted.first_asked))
                self.statistics[wanted.service.task_class].start_ms.record_value(start)
        elif kind == "surfaced":
            if not wanted.open and not wanted.placed and not wanted.over:
                self._tally(wanted, "handed over")
                if wanted.again is not None:
                    wanted.again.cancel()
                self._ask_later(wanted, self.cluster.owner_wait_ms)  # should the hand-over fail
                wanted.handed += 1
                self.links[placer].hand_over(wanted.name, wanted.task, frame.surfaced.machine)
        elif kind == "ended":
            self._ended(wanted, frame.ended)

    def _outcome(self, wanted: WantedTask, placer: int, kind: str, frame: pb.PlacerFrame) -> None:
        owed = wanted.owed.get(placer)
        if not owed:
            if kind == "bound" and wanted.handed:
                wanted.handed -= 1
                self._bound(wanted, placer, frame.bound.machine)
            else:
                self.second_answers += 1
            return
        late = owed.popleft() != wanted.asks or not wanted.open
        if late:
            self._tally(wanted, "answered late")
            if kind == "bound":
                if placer == wanted.placer or not (wanted.open or wanted.placed):
                    self._bound(wanted, placer, frame.bound.machine)
                else:
                    self.links[placer].cancel(wanted.name)  # asked elsewhere by now: not twice
            return
        if kind == "bound":
            self._answered(wanted, "placed")
            self._bound(wanted, placer, frame.bound.machine)
        elif kind == "refused":
            self._answered(wanted, "refused")
            self._ask_later(wanted, max(self._pause(wanted), frame.refused.retry_after_ms))
        else:
            self._answered(wanted, "failed")
            wanted.harm = True
            self._ask_later(wanted, self._pause(wanted))

    def _bound(self, wanted: WantedTask, placer: int, machine: str) -> None:
        wanted.placer, wanted.placed, wanted.harm = placer, machine, False
        if wanted.again is not None:
            wanted.again.cancel()
            wanted.again = None

    def _ended(self, wanted: WantedTask, ended: pb.Ended) -> None:
        if wanted.open or wanted.over:
            return
        if wanted.handed and not wanted.placed:
            wanted.handed -= 1
        if ended.how == pb.Ended.DONE:
            self._finish(wanted, "done")
            return
        wanted.placed = ""
        if ended.how == pb.Ended.STOPPED:
            self._finish(wanted, "stopped")
            return
        self._tally(wanted, "lost")
        gone = ended.reason == common_pb2.REASON_UNTOLD
        safe = self._classes[wanted.service.task_class].effect == "safe"
        if ended.reason == common_pb2.REASON_EVICTED:
            self._ask_later(wanted, self._pause(wanted))
        else:
            self._ask_later(
                wanted, self.cluster.owner_wait_ms if gone and not safe else self._rng.uniform(50.0, 1000.0)
            )

    def _session(self, placer: int, resumed: bool) -> None:
        """Attached. A placer that knows nothing of the session was restarted: what it held is ours to settle."""
        if resumed:
            return
        for wanted in self.tasks.values():
            wanted.owed.pop(placer, None)
        for wanted in [w for w in self.tasks.values() if w.placer == placer and not w.over]:
            if wanted.open:
                wanted.open = False
                self._tally(wanted, "placer lost")
                if wanted.gives_up is not None:
                    wanted.gives_up.cancel()
                wanted.harm = True
                safe = self._classes[wanted.service.task_class].effect == "safe"
                self._ask_later(wanted, 0.0 if safe else self.cluster.owner_wait_ms)
            elif wanted.placed:
                wanted.handed += 1
                self.links[placer].hand_over(wanted.name, wanted.task, wanted.placed)

    # Orders

    def orders(self) -> OrderService:
        return OrderService({
            "rate": self._set_rate, "twice": self._set_twice, "restart": self._restart, "asking": self._asking,
            "result": self.result, "placer": self._placer,
        })  # fmt: skip

    def _placer(self, address: str) -> dict[str, Any]:
        host, _, port = address.rpartition(":")
        self.link((host, int(port)))
        return {"placers": len(self.links)}

    def _set_rate(self, factor: float) -> dict[str, Any]:
        self.rate_factor = factor
        return {}

    def _set_twice(self, part: float) -> dict[str, Any]:
        self.twice = part
        return {}

    def _asking(self, on: bool) -> dict[str, Any]:
        self.asking = on
        return {}

    def _restart(self, share: float, within_ms: float) -> dict[str, Any]:
        """Stop a share of the services and ask for all their tasks again."""
        chosen = {s.name for s in self._rng.sample(self.services, max(1, int(share * len(self.services))))}
        tasks = [w for w in self.tasks.values() if w.service.name in chosen and w.placed]
        for wanted in tasks:
            self.links[wanted.placer].cancel(wanted.name)
            self.loop.call_later(self._rng.uniform(0.0, within_ms), partial(self._want_again, wanted.service))
        return {"tasks": len(tasks)}

    def _want_again(self, service: Service) -> None:
        self.submit_new_task(service)

    def result(self) -> dict[str, Any]:
        """Everything counted so far."""

        def quantiles(histogram: HdrHistogram) -> dict[str, float]:
            return {f"p{q:g}": histogram.get_value_at_percentile(q) for q in (50, 90, 99)}

        return {
            "classes": {
                name: {
                    "outcomes": dict(sorted(tally.outcomes.items())),
                    "answer_ms": quantiles(tally.answer_ms),
                    "start_ms": quantiles(tally.start_ms),
                }
                for name, tally in sorted(self.statistics.items())
            },
            "open": sum(wanted.open for wanted in self.tasks.values()),
            "wanted": len(self.tasks),
            "second_answers": self.second_answers,
        }
