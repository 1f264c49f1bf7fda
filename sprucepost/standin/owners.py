"""Simulated owners, which submit tasks, follow them and submit them again as real owners do.

A task that is refused, lost or failed is submitted again until its time is over: after about ``again_ms`` or more, soon
after a loss, and, if an attempt may have run and a second start could do harm, only after ``owner_wait_ms``. A task
that turns out to run in the meantime is handed over instead. Each submission goes to a random placer of those that are
up.
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

REPEAT_WITHIN_MS = 60.0  # within this time a repeated submission follows the first one
ANSWER_SLACK_MS = 250.0  # an answer that is later than the deadline by more than this counts as none


@dataclass(frozen=True)
class Service:
    """A service whose tasks are submitted, and the shape of its tasks."""

    name: str
    task_class: str
    cores: float
    memory: float
    life_ms: float
    tenant: str = ""


@dataclass(eq=False)
class WantedTask:
    """One task that an owner wants to run."""

    name: str
    service: Service
    task: common_pb2.Task
    until: float  # the owner wants it until then
    submissions: int = 0
    placer: int = -1  # the placer that it was last submitted to
    open: bool = False  # submitted and not answered
    placed: str = ""  # the machine that it is bound to
    ran: bool = False
    may_have_run: bool = False  # an attempt may have run without the owner knowing
    submitted_at: float = 0.0
    first_submitted: float = 0.0
    answer_timer: Timer | None = None
    retry_timer: Timer | None = None
    over: bool = False
    unanswered: dict[int, deque[int]] = field(default_factory=dict)  # by placer: submissions without an answer
    hand_overs: int = 0  # hand-overs without an answer


@dataclass
class ClassStatistics:
    """Outcomes of a class's submissions, and their times to answer and to start in ms."""

    outcomes: Counter[str] = field(default_factory=Counter)
    answer_ms: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 600_000, 2))
    start_ms: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 600_000, 2))


class Owners:
    """All owners of a run, with one session per placer."""

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
        """``prefix`` starts the tasks' names; no other tasks may use it. ``keepalive_ms``: see OwnerLink."""
        self.loop, self.scope, self.cluster, self.services = loop, scope, cluster, services
        self._prefix, self._keepalive_ms = prefix, keepalive_ms
        self._classes = {cls.name: cls for cls in cluster.classes}
        self._rng = loop.rng()
        self._rate_per_s, self.rate_factor = rate_per_s, 1.0
        self._wanted_ms, self._retry_ms = wanted_ms, again_ms
        self.tasks: dict[str, WantedTask] = {}
        self.statistics: dict[str, ClassStatistics] = {cls.name: ClassStatistics() for cls in cluster.classes}
        self.second_answers = 0
        self.repeat_share = 0.0  # share of submissions that are repeated while they are open
        self.is_submitting = True  # if False nothing is submitted, no retries either
        self._task_count = 0
        self._source = source
        self.links: list[OwnerLink] = []
        for address in placers:
            self.add_placer(address)

    def add_placer(self, address: Address) -> None:
        """Open a session with one more placer."""
        n = len(self.links)
        self.links.append(
            OwnerLink(
                self.loop,
                self.scope,
                address,
                "owners",
                lambda frame: self._receive_frame(n, frame),
                lambda resumed: self._attached(n, resumed),
                source=self._source,
                keepalive_ms=self._keepalive_ms,
            )
        )

    # Submitting

    def run(self) -> Co[None]:
        """Submit new tasks at the current rate until cancelled."""
        while True:
            wait = self._rng.expovariate(max(1e-6, self._rate_per_s * self.rate_factor / 1000.0))
            yield from sleep(min(wait, 1000.0))
            if self.is_submitting and wait <= 1000.0:
                self.submit_new_task(self._rng.choice(self.services))

    def draw_life_ms(self, service: Service) -> float:
        """Draw the life of one task, whose mean is the service's."""
        return service.life_ms * self._rng.lognormvariate(-0.125, 0.5)

    def submit_new_task(self, service: Service) -> WantedTask:
        """Submit a new task of the service."""
        self._task_count += 1
        task = common_pb2.Task(
            task_class=service.task_class,
            service=service.name,
            cores=service.cores,
            memory=service.memory,
            tenant=service.tenant,
            life_ms=self.draw_life_ms(service),
        )
        now = self.loop.now()
        wanted = WantedTask(
            f"{self._prefix}-{self._task_count}", service, task, now + self._wanted_ms, first_submitted=now
        )
        self.tasks[wanted.name] = wanted
        self._submit(wanted)
        return wanted

    def _pick_placer(self) -> int:
        """Return a random placer that is up, -1 if there is none."""
        up = [n for n, link in enumerate(self.links) if link.up]
        return self._rng.choice(up) if up else -1

    def _submit(self, wanted: WantedTask) -> None:
        wanted.retry_timer = None
        now, cls = self.loop.now(), self._classes[wanted.service.task_class]
        if wanted.over or now >= wanted.until or not self.is_submitting:
            self._finish(wanted, "given up")
            return
        placer = self._pick_placer()
        if placer < 0:
            self._submit_later(wanted, 100.0)
            return
        wanted.placer, wanted.open, wanted.submitted_at, wanted.placed = placer, True, now, ""
        wanted.submissions += 1
        wanted.unanswered.setdefault(placer, deque()).append(wanted.submissions)
        self._count_outcome(wanted, "asked")
        self.links[placer].submit(wanted.name, wanted.task, cls.deadline_ms, wanted.submissions > 1)
        wanted.answer_timer = self.loop.call_later(
            cls.deadline_ms + ANSWER_SLACK_MS, lambda: self._answer_timed_out(wanted)
        )
        if self.repeat_share and self._rng.random() < self.repeat_share:
            submission = wanted.submissions
            self.loop.call_later(
                self._rng.uniform(0.0, REPEAT_WITHIN_MS), lambda: self._repeat_submission(wanted, placer, submission)
            )

    def _repeat_submission(self, wanted: WantedTask, placer: int, submission: int) -> None:
        """Repeat a submission in the same session while it is open; the placer must answer it as well."""
        if wanted.over or not wanted.open or wanted.submissions != submission or not self.links[placer].up:
            return
        wanted.unanswered[placer].append(submission)
        self._count_outcome(wanted, "asked twice")
        left = wanted.submitted_at + self._classes[wanted.service.task_class].deadline_ms - self.loop.now()
        self.links[placer].submit(wanted.name, wanted.task, left, True)

    def _submit_later(self, wanted: WantedTask, wait_ms: float) -> None:
        if wanted.retry_timer is not None:
            wanted.retry_timer.cancel()
        wanted.retry_timer = self.loop.call_later(wait_ms, lambda: self._submit(wanted))

    def _retry_delay_ms(self, wanted: WantedTask) -> float:
        """Return how long the owner waits after a refusal or failure; it grows with the number of submissions."""
        wait = self._retry_ms * self._rng.uniform(1.0, 1.8) * min(4.0, 1.0 + 0.25 * max(0, wanted.submissions - 3))
        cls = self._classes[wanted.service.task_class]
        if wanted.may_have_run and cls.effect != "safe":
            wait = max(wait, self.cluster.owner_wait_ms)
        return wait

    def _count_outcome(self, wanted: WantedTask, what: str) -> None:
        self.statistics[wanted.service.task_class].outcomes[what] += 1

    def _finish(self, wanted: WantedTask, what: str) -> None:
        if not wanted.over:
            wanted.over = True
            self._count_outcome(wanted, what)
            for timer in (wanted.answer_timer, wanted.retry_timer):
                if timer is not None:
                    timer.cancel()
            self.tasks.pop(wanted.name, None)

    # Answers

    def _record_answer(self, wanted: WantedTask, what: str) -> None:
        """Record the outcome of the open submission."""
        wanted.open = False
        if wanted.answer_timer is not None:
            wanted.answer_timer.cancel()
        self._count_outcome(wanted, what)
        self.statistics[wanted.service.task_class].answer_ms.record_value(
            max(1, int(self.loop.now() - wanted.submitted_at))
        )

    def _answer_timed_out(self, wanted: WantedTask) -> None:
        """Stop waiting for an answer and schedule a retry; an attempt may have run."""
        if wanted.open and not wanted.over:
            wanted.open = False
            self._count_outcome(wanted, "no answer")
            wanted.may_have_run = True
            self._submit_later(wanted, self._retry_delay_ms(wanted))

    def _receive_frame(self, placer: int, frame: pb.PlacerFrame) -> None:
        wanted = self.tasks.get(frame.task)
        kind = frame.WhichOneof("body")
        if wanted is None:
            return
        if kind in ("bound", "refused", "failed"):
            self._receive_outcome(wanted, placer, kind, frame)
        elif wanted.placer != placer:
            return
        elif kind == "running":
            if not wanted.ran:
                wanted.ran = True
                start = max(1, int(self.loop.now() - wanted.first_submitted))
                self.statistics[wanted.service.task_class].start_ms.record_value(start)
        elif kind == "surfaced":
            if not wanted.open and not wanted.placed and not wanted.over:
                self._count_outcome(wanted, "handed over")
                if wanted.retry_timer is not None:
                    wanted.retry_timer.cancel()
                self._submit_later(wanted, self.cluster.owner_wait_ms)  # in case the hand-over fails
                wanted.hand_overs += 1
                self.links[placer].hand_over(wanted.name, wanted.task, frame.surfaced.machine)
        elif kind == "ended":
            self._receive_end(wanted, frame.ended)

    def _receive_outcome(self, wanted: WantedTask, placer: int, kind: str, frame: pb.PlacerFrame) -> None:
        unanswered = wanted.unanswered.get(placer)
        if not unanswered:
            if kind == "bound" and wanted.hand_overs:
                wanted.hand_overs -= 1
                self._record_binding(wanted, placer, frame.bound.machine)
            else:
                self.second_answers += 1
            return
        late = unanswered.popleft() != wanted.submissions or not wanted.open
        if late:
            self._count_outcome(wanted, "answered late")
            if kind == "bound":
                if placer == wanted.placer or not (wanted.open or wanted.placed):
                    self._record_binding(wanted, placer, frame.bound.machine)
                else:
                    self.links[placer].cancel(wanted.name)  # submitted to another placer by now; it must not run twice
            return
        if kind == "bound":
            self._record_answer(wanted, "placed")
            self._record_binding(wanted, placer, frame.bound.machine)
        elif kind == "refused":
            self._record_answer(wanted, "refused")
            self._submit_later(wanted, max(self._retry_delay_ms(wanted), frame.refused.retry_after_ms))
        else:
            self._record_answer(wanted, "failed")
            wanted.may_have_run = True
            self._submit_later(wanted, self._retry_delay_ms(wanted))

    def _record_binding(self, wanted: WantedTask, placer: int, machine: str) -> None:
        wanted.placer, wanted.placed, wanted.may_have_run = placer, machine, False
        if wanted.retry_timer is not None:
            wanted.retry_timer.cancel()
            wanted.retry_timer = None

    def _receive_end(self, wanted: WantedTask, ended: pb.Ended) -> None:
        if wanted.open or wanted.over:
            return
        if wanted.hand_overs and not wanted.placed:
            wanted.hand_overs -= 1
        if ended.how == pb.Ended.DONE:
            self._finish(wanted, "done")
            return
        wanted.placed = ""
        if ended.how == pb.Ended.STOPPED:
            self._finish(wanted, "stopped")
            return
        self._count_outcome(wanted, "lost")
        unexplained = ended.reason == common_pb2.REASON_UNTOLD
        safe = self._classes[wanted.service.task_class].effect == "safe"
        if ended.reason == common_pb2.REASON_EVICTED:
            self._submit_later(wanted, self._retry_delay_ms(wanted))
        else:
            self._submit_later(
                wanted, self.cluster.owner_wait_ms if unexplained and not safe else self._rng.uniform(50.0, 1000.0)
            )

    def _attached(self, placer: int, resumed: bool) -> None:
        """Handle an attach. A placer that does not know the session was restarted: its open submissions count as lost
        and its placed tasks are handed over to it."""
        if resumed:
            return
        for wanted in self.tasks.values():
            wanted.unanswered.pop(placer, None)
        for wanted in [w for w in self.tasks.values() if w.placer == placer and not w.over]:
            if wanted.open:
                wanted.open = False
                self._count_outcome(wanted, "placer lost")
                if wanted.answer_timer is not None:
                    wanted.answer_timer.cancel()
                wanted.may_have_run = True
                safe = self._classes[wanted.service.task_class].effect == "safe"
                self._submit_later(wanted, 0.0 if safe else self.cluster.owner_wait_ms)
            elif wanted.placed:
                wanted.hand_overs += 1
                self.links[placer].hand_over(wanted.name, wanted.task, wanted.placed)

    # Orders

    def orders(self) -> OrderService:
        """Return the handlers of the orders that the owners take."""
        return OrderService({
            "rate": self._set_rate, "twice": self._set_twice, "restart": self._restart, "asking": self._set_submitting,
            "result": self.result, "placer": self._add_placer,
        })  # fmt: skip

    def _add_placer(self, address: str) -> dict[str, Any]:
        host, _, port = address.rpartition(":")
        self.add_placer((host, int(port)))
        return {"placers": len(self.links)}

    def _set_rate(self, factor: float) -> dict[str, Any]:
        self.rate_factor = factor
        return {}

    def _set_twice(self, part: float) -> dict[str, Any]:
        self.repeat_share = part
        return {}

    def _set_submitting(self, on: bool) -> dict[str, Any]:
        self.is_submitting = on
        return {}

    def _restart(self, share: float, within_ms: float) -> dict[str, Any]:
        """Cancel the tasks of a share of the services and submit as many new ones."""
        chosen = {s.name for s in self._rng.sample(self.services, max(1, int(share * len(self.services))))}
        tasks = [w for w in self.tasks.values() if w.service.name in chosen and w.placed]
        for wanted in tasks:
            self.links[wanted.placer].cancel(wanted.name)
            self.loop.call_later(self._rng.uniform(0.0, within_ms), partial(self._submit_replacement, wanted.service))
        return {"tasks": len(tasks)}

    def _submit_replacement(self, service: Service) -> None:
        self.submit_new_task(service)

    def result(self) -> dict[str, Any]:
        """Return all counts and percentiles so far."""

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
