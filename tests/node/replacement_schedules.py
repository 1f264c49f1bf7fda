"""Random schedules of an address that changes hands, in virtual time, with an oracle that knows which process runs what.

Drawn are deaths (reset, close, silence), starts (at the same or another address, under the same or a new id, with the start
listed or not), the list's entries (late, repeated, out of order, in whole lists), a late loop, connections that are reset,
set-ups, ends of tasks, hand-overs and restarts of the placer.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from sprucepost.loop import Address, Co
from sprucepost.node import binary
from sprucepost.node.binary import Kind
from tests.node.virtual import host_address
from tests.node.virtual_platform import (
    STEP_MS,
    OwnerConnection,
    Process,
    VirtualPlatform,
    run_on_virtual_platform,
)

LENGTH_MS = 10_000.0  # of the time in which events are drawn
QUIET_MS = 9500.0  # after it: all that is due comes within it
END_DUE_MS = 8050.0  # from the end of a task to its release, where its host could not tell
RELEASE_DUE_MS = 1050.0  # from a host's release to that of the owner
DELIVERY_MS = 100.0  # a message has arrived if its connection stays open for so long
HAND_OVER_COUNTS_MS = 200.0  # after which a hand-over counts for the placer
OWNER_WAIT_MS = 3000.0  # after the release of a task that runs on, until its owner hands it over
DEADLINE_MS = 3000.0
TOLERANCE_MS = 500.0
LATE_MAX_MS = 1000.0


@dataclass(eq=False)
class Task:
    """A task as its owner and its host know it. Times are ms of the loop's clock."""

    sid: str
    sent_at: float = 0.0
    process: Process | None = None  # where it stands
    is_known: bool = False  # its owner has had the answer, or has handed it over
    handed_over_at: float = 0.0
    named_uid: str = ""  # in the hand-over
    has_outcome: bool = True
    due: float | None = None  # by then its owner must have been told of its end
    ended_by_owner: bool = False
    may_be_told_over: bool = False  # no evidence shows which process runs it


class ReplacementSchedule:
    """One random schedule; ``play`` returns what the oracle has found."""

    platform: VirtualPlatform
    length_ms = LENGTH_MS

    def __init__(self, seed: int) -> None:
        self.seed, self.rng = seed, random.Random(seed)
        self.faults: list[str] = []
        self.tasks: dict[str, Task] = {}
        self.listed: dict[str, dict[str, Any]] = {}  # the list's latest entry of each id
        self.told: set[Process] = set()  # processes that the list has told of
        self.owners: list[OwnerConnection] = []
        self.leaving: set[OwnerConnection] = set()
        self.being_told: set[Process] = set()  # likewise, but the placers have not read it
        self.listed_without_start: set[Process] = set()
        self.without_start: set[Address] = set()  # where the list has told of a process without its start
        self.actions: list[tuple[float, int, Callable[[], None]]] = []
        self.ids_used = 2
        self.late_until = 0.0
        self.late_at: list[float] = []

    def play(self, folder: Path) -> list[str]:
        """Run the schedule and return what the oracle has found."""
        run_on_virtual_platform(folder, self._body)
        return [f"seed {self.seed}: {fault}" for fault in self.faults]

    def _body(self, platform: VirtualPlatform) -> Co[None]:
        self.platform = platform
        platform.on_started, platform.on_ended = self._task_started, self._task_ended
        for number in range(2):
            process = platform.start_process(f"s-{number}", host_address(number))
            self.listed[process.uid] = process.entry(boot_ms=0)
            self.told.add(process)
        platform.publish(*self.listed.values(), everything=True)
        platform.start_placer()
        self._connect()
        self._draw()
        began = platform.loop.time
        while platform.loop.time < began + self.length_ms + QUIET_MS and not self.faults:
            self.actions.sort(key=lambda action: action[:2])
            while self.actions and self.actions[0][0] <= platform.loop.time - began:
                self.actions.pop(0)[2]()
            yield from platform.run(STEP_MS)
            self._check()

    # Drawing

    def _later(self, delay_ms: float, call: Callable[[], None]) -> None:
        self._at(self.platform.loop.time - 1_000_000.0 + delay_ms, call)

    def _at(self, at: float, call: Callable[[], None]) -> None:
        self.actions.append((at, len(self.actions), call))

    def _draw(self) -> None:
        rng = self.rng
        for call, number in self._kinds(rng):
            for _ in range(number):
                self._at(rng.uniform(100.0, self.length_ms), call)

    def _kinds(self, rng: random.Random) -> list[tuple[Callable[[], None], int]]:
        """Return what is drawn, with the number of each."""
        return [
            (self._submit, rng.randint(3, 14)),
            (self._run_elsewhere, rng.randint(0, 4)),
            (self._replace, rng.randint(1, 4)),
            (self._replace_unread, rng.choice((0, 0, 1, 2))),
            (self._hand_over_after_death, rng.choice((0, 0, 1, 2))),
            (self._end_by_host, rng.randint(0, 6)),
            (self._end_by_owner, rng.randint(0, 3)),
            (self._hand_over_any, rng.randint(0, 5)),
            (self._be_late, rng.choice((0, 0, 1, 3))),
            (self._reset_connections, rng.choice((0, 0, 1, 2))),
            (self._reconnect_owner, rng.choice((0, 0, 1, 2))),
            (self._repeat_entries, rng.randint(0, 4)),
            (self._restart_placer, rng.choice((0, 0, 0, 1))),
        ]

    # Owners

    def _connect(self) -> None:
        owner = self.platform.connect(self.platform.placers[0])
        owner.sock.inbox.append(binary.encode(Kind.TEST, "0" * 16, []))
        self.owners.append(owner)

    def _owner(self) -> OwnerConnection:
        usable = [owner for owner in self.owners if not owner.sock.ended and owner not in self.leaving]
        if not usable:
            self._connect()
            usable = self.owners[-1:]
        return self.rng.choice(usable)

    def _new_task(self) -> Task:
        sid = f"d1655aa5{len(self.tasks):08x}"
        task = self.tasks[sid] = Task(sid, self.platform.loop.time)
        return task

    def _submit(self) -> None:
        task = self._new_task()
        task.has_outcome = False
        self._owner().submit(task.sid)

    def _run_elsewhere(self) -> None:
        """Have a task stand that another placer has set up, and have its owner hand it over here, some time later."""
        alive = [process for process in self.platform.processes if process.alive]
        if alive:
            task = self._new_task()
            self.platform.run_task(self.rng.choice(alive), task.sid)
            self._later(self.rng.choice((0.0, 50.0, 400.0, 2000.0)), lambda: self._hand_over(task))

    def _hand_over_any(self) -> None:
        known = [task for task in self.tasks.values() if task.is_known and task.process is not None]
        if known:
            task = self.rng.choice(known)
            uid = task.process.uid if task.process is not None else ""
            self._later(self.rng.choice((0.0, 20.0, 300.0)), lambda: self._hand_over(task, uid))

    def _hand_over(self, task: Task, uid: str = "") -> None:
        """Hand a task over at its host, as its owner knows it: its process may have died a moment before."""
        process = task.process
        if process is None and not uid:
            return
        if task.ended_by_owner or (task.is_known and process is None and task.due is None):
            return  # its owner has been told of its end
        task.handed_over_at = self.platform.loop.time
        task.named_uid = uid
        if process is not None and process not in self.told:
            lives = [each for each in self.platform.processes if each.uid == process.uid]
            task.may_be_told_over |= len(lives) > 1
        task.is_known = True
        if process is None and task.due is None and not self._names_a_later_process(uid):
            task.due = self.platform.loop.time + HAND_OVER_COUNTS_MS + END_DUE_MS
        self._owner().submit(task.sid, at=uid or process.uid if process is not None else uid)

    def _names_a_later_process(self, uid: str) -> bool:
        """Return whether nothing tells that the hand-over is of an earlier process of that id than the list has."""
        lives = [each for each in self.platform.processes if each.uid == uid]
        told = self.told | self.being_told  # what the list tells may be read before the hand-over
        if any(each in self.listed_without_start and each not in self.told for each in lives):
            return True
        return len(lives) > 1 and (lives[-1] in told or lives[-2] not in told)

    def _end_by_owner(self) -> None:
        standing = [task for task in self.tasks.values() if task.is_known and task.process is not None]
        if standing:
            task = self.rng.choice(standing)
            task.ended_by_owner, task.due = True, None
            self._owner().end_tasks(task.sid)

    def _reconnect_owner(self) -> None:
        owner = self._owner()
        if any(not task.has_outcome for task in self.tasks.values()):
            return
        owner.sock.inbox.append(b"")  # it reads what is sent to it until the placer closes, too
        self.leaving.add(owner)
        self._connect()

    def _restart_placer(self) -> None:
        """Kill the placer and start another one; owners hand over what stands, as they know it."""
        [placer] = self.platform.placers
        standing = [task for task in self.tasks.values() if task.is_known and not task.ended_by_owner]
        self.platform.kill_placer(placer)
        for task in self.tasks.values():
            task.has_outcome, task.due = True, None
        self.owners.clear()
        self.platform.start_placer()
        self._connect()
        for task in standing:
            if task.process is not None:
                uid = task.process.uid
                self._later(self.rng.uniform(0.0, 100.0), lambda task=task, uid=uid: self._hand_over(task, uid))  # type: ignore[misc]

    # Hosts

    def _end_by_host(self) -> None:
        standing = [task for task in self.tasks.values() if task.process is not None]
        if not standing:
            return
        task = self.rng.choice(standing)
        process = task.process
        assert process is not None
        connections = set(process.connections)
        was_told = process in self.told
        self.platform.end_task(process, task.sid)
        at = self.platform.loop.time

        def delivered() -> None:
            is_open = any(not sock.ended and sock in process.connections for sock in connections)
            if is_open and was_told and task.due is not None:
                task.due = min(task.due, at + RELEASE_DUE_MS + self._lateness())

        if connections and process.standing is not None and len(connections) == 1:
            self._later(DELIVERY_MS, delivered)

    def _reset_connections(self) -> None:
        alive = [process for process in self.platform.processes if process.alive]
        if alive:
            self.platform.end_connections(self.rng.choice(alive), self.rng.choice(("reset", "close")))

    def _be_late(self) -> None:
        self.late_at.append(self.platform.loop.time)
        self.platform.be_late(self.rng.uniform(20.0, LATE_MAX_MS))
        self.late_until = self.platform.loop.time

    def _late_since(self) -> float:
        """Return since when what owners send may lie unread."""
        is_late = self.late_at and self.platform.loop.time - self.late_until <= STEP_MS
        return self.late_at[-1] if is_late else self.platform.loop.time

    def _lateness(self) -> float:
        return LATE_MAX_MS if self.platform.loop.time < self.late_until + 2 * LATE_MAX_MS else 0.0

    def _replace(self) -> None:
        """Have a process die and another one start; the list tells of both, sooner or later."""
        alive = [process for process in self.platform.processes if process.alive]
        if len(alive) < 2:
            return
        old = self.rng.choice(alive)
        self.platform.kill(old, self.rng.choice(("reset", "reset", "reset", "close", "silence")))
        self._later(self.rng.choice((5.0, 30.0, 200.0, 600.0)), lambda: self._start_after(old))
        if self.rng.random() < 0.3:
            self._be_late()

    def _replace_unread(self) -> None:
        """Have a process answer, die and be replaced while the placer does not run."""
        owner = self._owner()
        for _ in range(self.rng.randint(2, 6)):
            task = self._new_task()
            task.has_outcome = False
            owner.submit(task.sid)
        self._later(self.rng.choice((10.0, 15.0)), self._replace_now)

    def _replace_now(self) -> None:
        alive = [process for process in self.platform.processes if process.alive]
        if len(alive) < 2:
            return
        old = max(alive, key=lambda process: len(process.answers_due))
        self.platform.be_late(self.rng.uniform(20.0, 60.0))
        self.platform.kill(old)
        self.platform.be_late(self.rng.uniform(5.0, 100.0))
        self._start_after(old)
        self._be_late()

    def _hand_over_after_death(self) -> None:
        """Hand tasks over whose process has died a moment before."""
        alive = [process for process in self.platform.processes if process.alive]
        if len(alive) < 2:
            return
        old = self.rng.choice(alive)
        for _ in range(self.rng.randint(1, 3)):
            task = self._new_task()
            self.platform.run_task(old, task.sid)
            self._later(self.rng.uniform(50.0, 500.0), lambda task=task: self._hand_over(task, old.uid))  # type: ignore[misc]
        self.platform.kill(old)
        self._later(self.rng.choice((5.0, 30.0)), lambda: self._start_after(old))

    def _start_after(self, old: Process) -> None:
        rng = self.rng
        same_address = rng.random() < 0.8
        address = old.address if same_address else host_address(10 + len(self.platform.processes))
        uid = old.uid if rng.random() < 0.3 else f"s-{self.ids_used}"
        self.ids_used += 1
        new = self.platform.start_process(uid, address)
        entry = new.entry()
        if uid != old.uid and rng.random() < 0.1 and old in self.told:  # else nothing tells which of them is there
            entry["boot_ms"] = 0
            self.listed_without_start.add(new)
        told_after = rng.uniform(300.0, 2000.0)
        self._later(told_after, lambda: self._tell(entry, new))
        if uid != old.uid:
            gone_after = 3500.0 if old in self.listed_without_start else 0.0  # after its own entry
            gone = old.entry(state="DELETED")
            is_repeated = old.uid in self.listed and rng.random() < 0.4
            if is_repeated and old in self.told:  # an entry of the old id comes once more after the new one
                late = old.entry(state=rng.choice(("SERVING", "DRAINING")), boot_ms=self.listed[old.uid]["boot_ms"])
                self._later(told_after + rng.uniform(0.0, 500.0), lambda: self._tell(late))
                self._later(told_after + rng.uniform(500.0, 1500.0), lambda: self._tell(gone))
            else:
                self._later(gone_after + rng.uniform(0.0, 2500.0), lambda: self._tell(gone))
        if rng.random() < 0.3:  # the same address changes hands once more
            self._later(rng.choice((50.0, 400.0, 1500.0)), lambda: self._replace_again(new))

    def _replace_again(self, process: Process) -> None:
        if process.alive:
            self.platform.kill(process)
            self._later(self.rng.choice((5.0, 100.0)), lambda: self._start_after(process))

    def _tell(self, entry: dict[str, Any], process: Process | None = None) -> None:
        if entry["state"] == "DELETED":
            self.listed.pop(entry["uid"], None)
        elif self.listed.get(entry["uid"], entry)["boot_ms"] <= entry["boot_ms"]:
            self.listed[entry["uid"]] = entry
        if process is not None:
            self.being_told.add(process)
            if not entry["boot_ms"]:
                self.without_start.add(process.address)
        draw = self.rng.random()
        if draw < 0.1:
            self.platform.publish(*self.listed.values(), everything=True)
        else:
            self.platform.publish(entry)
        if draw < 0.8:
            self._deliver()
        else:
            self._later(self.rng.uniform(0.0, 500.0), self._deliver)

    def _deliver(self) -> None:
        self.platform.deliver()
        for task in self.tasks.values():  # what the owner has sent may be read after this
            lives = [each for each in self.being_told if each.uid == task.named_uid]
            unread_since = min(self.platform.loop.time - STEP_MS, self._late_since())
            if lives and task.process is None and task.handed_over_at >= unread_since:
                task.due = None
        self.told |= self.being_told
        self.being_told.clear()

    def _repeat_entries(self) -> None:
        """Have the list repeat some entries as it has them, or all of them as a whole list."""
        entries = list(self.listed.values())
        if not entries:
            return
        if self.rng.random() < 0.5:
            self.platform.publish(*entries, everything=True)
        else:
            self.platform.publish(*self.rng.sample(entries, self.rng.randint(1, len(entries))))
        self._deliver()

    # The oracle

    def _task_started(self, process: Process, sid: str) -> None:
        task = self.tasks[sid]
        if task.is_known and task.process is not None:
            self.faults.append(f"{sid} runs at {task.process.uid} and is set up at {process.uid}")
        task.process = process

    def _task_ended(self, process: Process, sid: str) -> None:
        task = self.tasks[sid]
        if task.process is not process:
            return
        task.process = None
        if task.is_known and not task.ended_by_owner:
            counts_from = max(self.platform.loop.time, task.handed_over_at + HAND_OVER_COUNTS_MS)
            task.due = counts_from + END_DUE_MS + self._lateness()

    def _check(self) -> None:
        now = self.platform.loop.time
        if all(owner.sock.ended for owner in self.owners):
            self._connect()
        if any(placer.service.counters["owner_malformed"] for placer in self.platform.placers):
            self.faults.append("an owner's connection was ended as malformed")
        for owner in self.owners:
            for at, sid, kind, _ in owner.told:
                if sid in self.tasks:
                    self._told(self.tasks[sid], kind, at)
            owner.told.clear()
        for task in self.tasks.values():
            if task.due is not None and now > self._latest_due(task) and not task.ended_by_owner:
                self.faults.append(f"{task.sid} has ended, and its owner was not told in time")
                task.due = None
            if not task.has_outcome and now > task.sent_at + DEADLINE_MS + TOLERANCE_MS + LATE_MAX_MS:
                self.faults.append(f"{task.sid} has no outcome")
                task.has_outcome = True

    def _latest_due(self, task: Task) -> float:
        """Return by when the owner must have been told, with what a late loop may add to it."""
        assert task.due is not None
        due = max(task.due, self.late_until + LATE_MAX_MS)
        read_late = any(
            0.0 <= at - task.handed_over_at <= LATE_MAX_MS or 0.0 <= task.handed_over_at - at <= LATE_MAX_MS
            for at in self.late_at
        )
        return due + LATE_MAX_MS if read_late else due

    def _may_be_in_doubt(self, task: Task, at: float) -> bool:
        """Return whether nothing may have shown that the task's process lives."""
        return task.process is not None and task.process.may_be_in_doubt(at - self._lateness())

    def _told(self, task: Task, kind: int, at: float) -> None:
        if kind == Kind.ANSWER:
            task.has_outcome = task.is_known = True
            if task.process is None and task.due is None:
                task.due = at + END_DUE_MS
        elif kind == Kind.RELEASE and not task.is_known:
            task.has_outcome = True
        elif kind == Kind.RELEASE:
            stands = task.process is not None and not task.ended_by_owner
            has_start = task.process is not None and task.process.address not in self.without_start
            if stands and has_start and not (task.may_be_told_over or self._may_be_in_doubt(task, at)):
                self.faults.append(f"{task.sid} runs, and its owner is told that it is over")
            task.due = None
            if stands:
                task.is_known = False
                self._later(OWNER_WAIT_MS, lambda: self._hand_over(task))
