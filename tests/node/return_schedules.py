"""Random schedules of processes that are gone without a word, and of others that come back empty at their addresses.

Beside what :mod:`tests.node.replacement_schedules` draws: addresses that stay empty for 0 to 12 s, lists that are late by
as much, tell nothing, or give a known id without its start, and living processes that are cut off for 1 to 12 s or whose
connections are reset, closed or forgotten, one or all of them.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable

from tests.node.replacement_schedules import ReplacementSchedule, Task
from tests.node.virtual_platform import STEP_MS, Process

EMPTY_MS = (0.0, 20.0, 200.0, 1000.0, 2000.0, 3500.0, 5000.0, 7000.0, 9000.0, 12_000.0)
CUT_MS = (1000.0, 3000.0, 5000.0, 6000.0, 8000.0, 12_000.0)
HEARD_AGAIN_MS = 300.0  # from the end of a cut until something has come through
HEARD_MS = 2500.0  # a process was heard so shortly before a cut that it is not told over any sooner
ENDED_MS = 500.0  # from the release of a task in doubt until it has ended at its host
COMPARED_MS = 2000.0  # after which connections that are up are known to lead to one process
HAND_OVER_HEARD_MS = 600.0  # from a hand-over until its process has been heard, where it can be
REDIALLED_MS = 2000.0  # likewise where the connections that are there may have been forgotten
SETTLED_MS = 4000.0  # a connection that has been up for so long is known to answer


class ReturnSchedule(ReplacementSchedule):
    """One random schedule; ``play`` returns what the oracle has found."""

    length_ms = 16_000.0

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.started_at: dict[str, float] = {}  # when each task began to stand
        self.told_at: dict[Process, float] = {}  # when the placer has read of each process
        self.cuts: dict[Process, list[tuple[float, float]]] = {}  # from when until when

    def _kinds(self, rng: random.Random) -> list[tuple[Callable[[], None], int]]:
        return [
            (self._submit, rng.randint(5, 30)),
            (self._run_elsewhere, rng.randint(0, 6)),
            (self._replace, rng.randint(1, 3)),
            (self._end_by_host, rng.randint(0, 6)),
            (self._end_by_owner, rng.randint(0, 3)),
            (self._hand_over_any, rng.randint(0, 4)),
            (self._note, rng.choice((0, 0, 6, 20))),
            (self._cut, rng.choice((0, 1, 2))),
            (self._break_one, rng.randint(0, 6)),
            (self._break_all, rng.choice((0, 0, 1, 2))),
            (self._be_late, rng.choice((0, 0, 1, 3))),
            (self._repeat_entries, rng.randint(0, 4)),
            (self._restart_placer, rng.choice((0, 0, 0, 1))),
        ]

    # Hosts

    def _reachable(self) -> list[Process]:
        return [process for process in self.platform.processes if process.alive and not process.is_cut_off]

    def _replace(self) -> None:
        alive = [process for process in self.platform.processes if process.alive]
        if len(alive) < 2:
            return
        old = self.rng.choice(alive)
        how = "silence" if old.is_cut_off else self.rng.choice(("silence", "silence", "reset", "close"))
        self.platform.kill(old, how, refuses_dials=self.rng.random() < 0.3)
        empty_ms = self.rng.choice(EMPTY_MS) * self.rng.uniform(0.9, 1.1)
        self._later(empty_ms, lambda: self._start_after(old))

    def _start_after(self, old: Process) -> None:
        rng = self.rng
        uid = old.uid if rng.random() < 0.6 else f"s-{self.ids_used}"
        self.ids_used += 1
        new = self.platform.start_process(uid, old.address)
        told_after = rng.choice((300.0, 1500.0, 4000.0, 7500.0, 12_000.0))
        if uid != old.uid:
            self._later(told_after, lambda: self._tell(old.entry(state="DELETED")))
            self._later(told_after, lambda: self._tell(new.entry(), new))
        elif rng.random() < 0.3:  # the list never tells of its start
            self._later(told_after, lambda: self._tell(new.entry(boot_ms=self.listed.get(uid, old.entry())["boot_ms"])))
        else:
            self._later(told_after, lambda: self._tell(new.entry(), new))

    def _note(self) -> None:
        standing = [(process, sid) for process in self._reachable() for sid in process.standing]
        if standing:
            self.platform.note(*self.rng.choice(standing))

    def _end_by_host(self) -> None:
        if all(not process.is_cut_off for process in self.platform.processes if process.alive):
            super()._end_by_host()

    def _cut(self) -> None:
        reachable = self._reachable()
        if not reachable:
            return
        process, length_ms = self.rng.choice(reachable), self.rng.choice(CUT_MS)
        cuts, began = self.cuts.setdefault(process, []), self.platform.loop.time
        if cuts and cuts[-1][1] > began - HEARD_AGAIN_MS:
            began, _ = cuts.pop()  # nothing may have come through in between
        process.is_cut_off = True
        cuts.append((began, math.inf))

        def heal() -> None:
            process.is_cut_off = False
            cuts[-1] = began, self.platform.loop.time

        self._later(length_ms, heal)

    def _break_one(self) -> None:
        several = [process for process in self._reachable() if len(process.connections) > 1]
        if not several:
            return
        process = self.rng.choice(several)
        others_since = max(self.platform.came_up_at[sock] for sock in process.connections[1:])
        others_since = max([others_since, *(self.started_at[sid] for sid in process.standing)])
        if others_since > self.platform.loop.time - COMPARED_MS or self._lateness():
            process.broken_at.append(self.platform.loop.time)  # nothing may have shown yet where the others lead
        self.platform.end_connection(process, self.rng.choice(("reset", "close", "forget")))

    def _task_started(self, process: Process, sid: str) -> None:
        super()._task_started(process, sid)
        self.started_at[sid] = self.platform.loop.time

    def _break_all(self) -> None:
        reachable = self._reachable()
        if not reachable:
            return
        process, how = self.rng.choice(reachable), self.rng.choice(("reset", "close", "forget"))
        while how == "forget" and process.connections:
            self.platform.end_connection(process, how)
        self.platform.end_connections(process, how)

    def _be_late(self) -> None:
        if not self._lateness():
            super()._be_late()

    def _deliver(self) -> None:
        super()._deliver()
        for process in self.told:
            self.told_at.setdefault(process, self.platform.loop.time)

    # Owners

    def _hand_over(self, task: Task, uid: str = "") -> None:
        process = task.process
        if process is None or process.is_cut_off or self._has_returned(process) or self._lateness():
            return
        super()._hand_over(task, uid)
        self.started_at[task.sid] = self.platform.loop.time

    def _task_ended(self, process: Process, sid: str) -> None:
        super()._task_ended(process, sid)
        task, now = self.tasks[sid], self.platform.loop.time
        heard_by = task.handed_over_at + (REDIALLED_MS if process.broken_at else HAND_OVER_HEARD_MS)
        was_unheard = now < heard_by or any(
            began < heard_by and now <= ended for began, ended in self.cuts.get(process, [])
        )
        if not process.alive and task.handed_over_at and (was_unheard or process not in self.told):
            task.due = None  # the process that is heard next has the task, to all that anybody knows

    def _restart_placer(self) -> None:
        super()._restart_placer()
        for task in self.tasks.values():
            task.is_known = False  # until its owner hands it over

    def _has_returned(self, process: Process) -> bool:
        """Return whether its id has had another process: only an owner that hands over knows which one it means."""
        return any(each.uid == process.uid and each is not process for each in self.platform.processes)

    # The oracle

    def _may_be_in_doubt(self, task: Task, at: float) -> bool:
        process = task.process
        assert process is not None
        if all(each.uid != process.uid or at <= self.told_at.get(each, 0.0) + STEP_MS for each in self.told):
            return True  # handed over at a host that no list has had for so long
        if super()._may_be_in_doubt(task, at):
            self._check_ended(task, process, at)
            return True
        cuts = self.cuts.get(process, [])
        listed_at = self.told_at.get(process, 0.0)  # before that no connection to it is opened
        return any(
            (began + HEARD_MS <= at or began <= listed_at) and at <= ended + self._lateness() + 50.0
            for began, ended in cuts
        )

    def _check_ended(self, task: Task, process: Process, at: float) -> None:
        """Check that a task that is told over in doubt does not run on, where its host could be told."""
        is_settled = all(broken_at < at - SETTLED_MS for broken_at in process.broken_at)
        was_cut = any(ended > at - 2 * SETTLED_MS for _, ended in self.cuts.get(process, []))
        if not (process.connections and is_settled) or was_cut or self._lateness():
            return

        def check() -> None:
            is_same = task.process is process and task.handed_over_at < at
            if is_same and process.alive and not (process.is_cut_off or self._lateness()) and process.connections:
                self.faults.append(f"{task.sid} runs on, and its owner was told at {at:.0f} that it is over")

        self._later(ENDED_MS, check)
