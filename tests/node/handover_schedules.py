"""Random schedules of hosts that a placer loses and finds again, and of owners that hand their tasks over meanwhile.

Hosts, the network and owners are simulated in virtual time around the real :class:`sprucepost.node.tasks.Tasks`. The
oracle knows where each task runs and who looks after it.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from sprucepost.node.attempt import SetUpResult
from sprucepost.node.jsonl import Line, MessageType
from tests.node.test_tasks import TaskHarness, parse_set_up

TASKS, DURATION_MS = 6, 40_000.0
OWNER_WAIT_MS = 3000.0  # after a loss the owner of a task waits that long before it hands it over
RELEASE_DEADLINE_MS = 1000.0  # by the protocol, after the host's release
RELEASE_TRANSIT_MS = 8.0  # until an owner has read a release
HOSTS = ("m0", "m1")


@dataclass
class RunningTask:
    """A task as its host and its owner know it. Times are ms of the loop's clock."""

    sid: str
    host: str
    looked_after: bool = True  # by this placer, as far as the owner knows
    runs: bool = True
    ended_by_owner: bool = False
    release_in_transit: bool = False  # the placer has sent it, and the owner has not read it yet
    release_due: float | None = None  # by then the owner must have been told of the end


class HandoverSchedule:
    """One random schedule; ``play`` returns what the oracle has found."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.seed = seed
        self.harness = TaskHarness()
        self.loop = self.harness.loop
        self.tasks: dict[str, RunningTask] = {}
        self.reachable = dict.fromkeys(HOSTS, True)
        self.unsent: dict[str, list[Line]] = {host: [] for host in HOSTS}  # said while the host was cut off
        self.events_seen = 0
        self.faults: list[str] = []

    def play(self) -> list[str]:
        """Run the schedule and return what the oracle has found."""
        for number in range(TASKS):
            self._later(0.0, 5000.0, partial(self._report, f"d1055aa5c7e{number:05x}"))
        for host in HOSTS:
            self._later(2000.0, 12_000.0, partial(self._cut, host))
        ends = self.loop.time + DURATION_MS
        while self.loop.time < ends:
            self.loop.pass_ms(5.0)
            self._process_events()
        for task in self.tasks.values():
            if task.release_due is not None:
                self._fault(task, "its end was never told")
        return self.faults

    def _later(self, least_ms: float, most_ms: float, call: Callable[[], None]) -> None:
        self.loop.call_later(self.rng.uniform(least_ms, most_ms), call)

    def _fault(self, task: RunningTask, what: str) -> None:
        self.faults.append(f"seed {self.seed}: {task.sid}: {what}")

    def _report(self, sid: str) -> None:
        """Have the owner report a task that runs at a host; it ends at some time, by its host or its owner."""
        task = self.tasks[sid] = RunningTask(sid, self.rng.choice(HOSTS))
        self._hand_over(task)
        if self.rng.random() < 0.2:
            self._later(1000.0, 25_000.0, lambda: self._end_by_owner(task))
        else:
            self._later(1000.0, 30_000.0, lambda: self._end_by_host(task))

    def _hand_over(self, task: RunningTask) -> None:
        if not task.runs or task.ended_by_owner:
            return
        task.looked_after = True
        figures = f"cores:1;memory:2;service:s;at:{task.host}"
        result = self.harness.tasks.admit(parse_set_up(task.sid, FIGURES=figures), self.harness, 0.0)
        if result is not SetUpResult.ADMITTED:
            self._fault(task, f"its hand-over is {result.value}")

    # Hosts

    def _cut(self, host: str) -> None:
        """Cut a host off; the placer concludes its loss, in most cases, before it comes back."""
        self.reachable[host] = False
        cut_ms = self.rng.uniform(500.0, 9000.0)
        if self.rng.random() < 0.8:
            why = self.rng.choice(("silent", "refused", "replaced"))
            self._later(0.0, cut_ms, lambda: self._lose(host, why))
        self.loop.call_later(cut_ms, lambda: self._heal(host))

    def _lose(self, host: str, why: str) -> None:
        """Have the placer conclude the loss; some owners end their tasks while the releases are on their way to them."""
        self.harness.tasks.host_lost(host, why)
        for task in self.tasks.values():
            if task.host == host and self.rng.random() < 0.1:
                self._later(0.0, RELEASE_TRANSIT_MS, partial(self._end_by_owner, task))

    def _heal(self, host: str) -> None:
        self.reachable[host] = True
        lines, self.unsent[host] = self.unsent[host], []
        for line in lines:
            self._deliver(host, line)
        self._later(3000.0, 12_000.0, lambda: self._cut(host))

    def _end_by_host(self, task: RunningTask) -> None:
        if not task.runs:
            return
        task.runs = False
        line = Line(MessageType.CLOSE, task.sid, {}, 16)
        if self.reachable[task.host]:
            self._deliver(task.host, line)
        else:
            self.unsent[task.host].append(line)

    def _deliver(self, host: str, line: Line) -> None:
        task = self.tasks[line.sid]
        told = task.ended_by_owner or task.release_in_transit
        if task.looked_after and not told and task.release_due is None:
            task.release_due = self.loop.time + RELEASE_DEADLINE_MS
        self.harness.tasks.handle_message(host, line)

    # Owners

    def _end_by_owner(self, task: RunningTask) -> None:
        """Have the owner end a task that it takes to run; a release that is on its way to the owner may cross this."""
        if task.looked_after and task.runs and not task.ended_by_owner:
            task.ended_by_owner = True
            self.harness.tasks.owner_cancelled(task.sid)

    def _process_events(self) -> None:
        """Record the placer's releases and its requests to hosts, and check them."""
        events, self.events_seen = self.harness.events[self.events_seen :], len(self.harness.events)
        for event in events:
            if event[0] == "release":
                self._released(self.tasks[event[1]])
            elif event[0] == "end task":
                task = self.tasks[event[2]]
                if not task.ended_by_owner:
                    self._fault(task, "the placer ended it without being asked")
                task.runs = False
        for task in self.tasks.values():
            if task.release_due is not None and self.loop.time > task.release_due:
                task.release_due = None
                self._fault(task, "its end was told late or never")
            if task.ended_by_owner and task.runs:
                self._fault(task, "its owner has ended it and its host was not told")
                task.runs = False

    def _released(self, task: RunningTask) -> None:
        if (task.release_in_transit or not task.looked_after) and not task.ended_by_owner:
            self._fault(task, "its owner was told of an end a second time")
        task.release_in_transit, task.release_due = True, None
        self._later(RELEASE_TRANSIT_MS, 2 * RELEASE_TRANSIT_MS, lambda: self._read_release(task))

    def _read_release(self, task: RunningTask) -> None:
        task.looked_after = task.release_in_transit = False
        self._later(OWNER_WAIT_MS, 2.5 * OWNER_WAIT_MS, lambda: self._hand_over(task))
