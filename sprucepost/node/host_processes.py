"""Placed tasks by the process that runs them, and which processes are shown to be one. No I/O.

A host's id stands for several processes one after another. Whether a task's process lives is judged by what is heard on
connections that lead to that process, not by what is heard of the host. A process with tasks to which no open connection
leads is in doubt: another one may have its address, and only a sign of the tasks themselves, or an answer on a connection
that was up beside one of its own, shows that it is still there.
"""

from __future__ import annotations

from collections.abc import Iterable

from sprucepost.node.process_identity import HostProcess
from sprucepost.placing.ledger import Entry

HAND_OVER_SPAN_MS = (
    500.0  # tasks that are handed over at a host within it, before it is heard, count from the first one on
)


class HostProcesses:
    """The processes that run placed tasks."""

    def __init__(self) -> None:
        self._tasks: dict[HostProcess, dict[str, Entry]] = {}  # by task id
        self._at: dict[str, dict[HostProcess, int]] = {}  # by host: its processes, with the number of their tasks there
        self.unheard: set[HostProcess] = set()  # processes with tasks of which only owners have told

    def at(self, uid: str) -> list[HostProcess]:
        """Return the processes that run tasks placed at that host."""
        return list(self._at.get(uid, ()))

    def is_alone(self, process: HostProcess, uid: str) -> bool:
        """Return whether no other process runs tasks placed at that host."""
        at_host = self._at.get(uid)
        return not at_host or (len(at_host) == 1 and process in at_host)

    def has_tasks(self, process: HostProcess) -> bool:
        """Return whether tasks are placed at that process."""
        return process in self._tasks

    def tasks_of(self, process: HostProcess, uid: str) -> list[Entry]:
        """Return the tasks of the process that are placed at that host."""
        return [entry for entry in self._tasks.get(process, {}).values() if entry.machine == uid]

    def hosts_of(self, process: HostProcess) -> list[str]:
        """Return the hosts at which tasks of the process are placed."""
        return [uid for uid, processes in self._at.items() if process in processes]

    def in_doubt(self) -> list[HostProcess]:
        """Return the processes with tasks to which no open connection leads."""
        return [process for process in self._tasks if not process.connections]

    # Tasks

    def unheard_at(self, uid: str, since: float) -> HostProcess:
        """Return the process of tasks that are handed over at a host, at that time in ms of the loop's clock."""
        for process in self._at.get(uid, ()):
            if process.is_unheard and 0.0 <= since - process.heard_at < HAND_OVER_SPAN_MS:
                return process
        return HostProcess(heard_at=since)

    def add(self, entry: Entry) -> None:
        """Record a task that has been placed."""
        process = entry.ask.process.identity.current()
        self._tasks.setdefault(process, {})[entry.name] = entry
        if process.is_unheard:
            self.unheard.add(process)
        self._count(entry.machine, process, 1)

    def remove(self, entry: Entry) -> None:
        """Drop a task, before its host changes or when it has ended."""
        process = entry.ask.process.identity.current()
        tasks = self._tasks[process]
        del tasks[entry.name]
        if not tasks:
            del self._tasks[process]
            self.unheard.discard(process)
        self._count(entry.machine, process, -1)

    def _count(self, uid: str, process: HostProcess, number: int) -> None:
        at_host = self._at.setdefault(uid, {})
        at_host[process] = at_host.get(process, 0) + number
        if not at_host[process]:
            del at_host[process]
        if not at_host:
            del self._at[uid]

    # Evidence

    def merge(self, process: HostProcess, other: HostProcess) -> HostProcess:
        """Take in that two processes are one; return it."""
        process, other = process.current(), other.current()
        if process is other:
            return process
        if len(self._tasks.get(process, ())) < len(self._tasks.get(other, ())):
            process, other = other, process
        moved = self._tasks.pop(other, {})
        for entry in moved.values():
            self._count(entry.machine, other, -1)
            self._count(entry.machine, process, 1)
        if moved:
            self._tasks.setdefault(process, {}).update(moved)
        process.absorb(other)
        self.unheard -= {process, other}
        return process

    def replied(self, process: HostProcess, sent_at: float, others: Iterable[HostProcess]) -> list[HostProcess]:
        """Take in that a process has answered what was sent to it at that time, in ms of the loop's clock, and merge it with
        those of the others that are shown to be the same. Return those that had been in doubt."""
        process.alive_until = max(process.alive_until, sent_at)
        shown = []
        for each in others:
            other = each.current()
            if other is not process and process.lived_with(other):
                if not other.connections and other in self._tasks:
                    shown.append(other)
                process = self.merge(process, other)
        return shown
