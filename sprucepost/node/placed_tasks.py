"""Placed tasks by the host that runs them: how they are recorded, moved to another host's account, and ended.

Also what their hosts say about them. No I/O.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from sprucepost import interface as i
from sprucepost.loop import Loop
from sprucepost.node import parsing, releases
from sprucepost.node.attempt import OwnerPort, OwnersPort
from sprucepost.node.client_shares import ClientShares
from sprucepost.node.early_messages import EarlyMessage, EarlyMessageCache
from sprucepost.node.host_processes import HostProcesses
from sprucepost.node.jsonl import Line, MessageType
from sprucepost.node.process_identity import HostProcess, ProcessConnection, TaskEnd, TaskProcess
from sprucepost.placing.ledger import Entry, Ledger, Outcome
from sprucepost.placing.scheduler_driver import SchedulerDriver

CAUSE_LOST = 41  # sent to the owner of a task that has ended without having come to its end


class PlacedTasks:
    """The placed tasks of this placer; ``owners`` returns the connections on which releases are sent."""

    def __init__(
        self,
        loop: Loop,
        driver: SchedulerDriver,
        ledger: Ledger,
        early_messages: EarlyMessageCache,
        handed_over: ClientShares,
        counters: Counter[str],
        owners: Callable[[], OwnersPort],
        parse_load_report: Callable[[str | None], i.LoadReport | None],
        trace: Callable[..., None],
    ) -> None:
        self._loop, self._driver, self._ledger, self._early_messages = loop, driver, ledger, early_messages
        self._handed_over, self._counters, self._owners, self._trace = handed_over, counters, owners, trace
        self._parse_load_report = parse_load_report
        self.by_host: dict[str, dict[str, Entry]] = {}  # by host and task id
        self.processes = HostProcesses()
        self._named: dict[str, dict[str, Entry]] = {}  # by the host at which they were handed over, until it is listed

    def find(self, machine: str, sid: str) -> Entry | None:
        """Return the task if it is placed at that host."""
        return self.by_host.get(machine, {}).get(sid)

    def find_by_connection(
        self, sid: str, connection: ProcessConnection | None, is_listed: Callable[[str], bool]
    ) -> Entry | None:
        """Return a task that is placed under another id than that of the host which reports on it, but runs there: it was
        accepted on that connection, or the host at which its owner has handed it over is not listed yet."""
        entry = self._ledger.current(sid)
        if entry is None or connection is None or entry.outcome is not Outcome.PLACED:
            return None
        if entry.ask.process.connection is connection or not is_listed(entry.machine):
            return entry
        return None

    def oldest_age_ms(self) -> float:
        """Return for how long the oldest task has been placed, in ms; 0 where there is none."""
        now = self._loop.now()
        entries = (entry for placed in self.by_host.values() for entry in placed.values())
        return max((now - entry.ask.process.placed_at for entry in entries), default=0.0)

    def record(self, entry: Entry, connection: ProcessConnection | None, waited_ms: float = 0.0) -> None:
        """Record a task that has been placed at ``entry.machine``: accepted on that connection, or handed over by a message
        that has waited for ``waited_ms``."""
        now = self._loop.now()
        if connection is not None:
            identity = connection.process
        else:
            identity = self.processes.unheard_at(entry.machine, now - waited_ms)
        entry.ask.process = TaskProcess(now, now - waited_ms, connection, identity)
        self.by_host.setdefault(entry.machine, {})[entry.name] = entry
        self.processes.add(entry)

    def shown_at(self, entry: Entry, connection: ProcessConnection) -> None:
        """Take in that the process to which a connection leads runs the task."""
        process: TaskProcess = entry.ask.process
        identity = process.identity.current()
        if identity is connection.process:
            return
        if not (identity.connections or identity.is_unheard):
            since = round(self._loop.now() - identity.heard_at)
            self._trace(entry.name, "process_shown", host=entry.machine, since=since)
        self.processes.merge(identity, connection.process)

    def keep_connection(self, entry: Entry, owner: OwnerPort) -> None:
        """Have the owner's connection kept open for the release of the task."""
        entry.ask.owner, entry.ask.keeps_connection = owner, True
        owner.add_placed_task()

    def change_owner(self, entry: Entry, owner: OwnerPort) -> None:
        """Have the owner told on that connection, which has handed the task over, where the one before is closed."""
        if not entry.ask.keeps_connection:
            return
        if entry.ask.owner.closed:
            entry.ask.owner.remove_placed_task()
            self.keep_connection(entry, owner)

    def name_host(self, entry: Entry, host: str, is_listed: bool) -> None:
        """Take in that an owner has handed the task over at another host than the one at which it is placed."""
        if is_listed:
            self.move(entry, host, f"handed over there, placed at {entry.machine}")
            return
        process: TaskProcess = entry.ask.process
        self._forget_named(entry)
        process.named_uid = host
        if process.connection is not None:
            process.connection.named_uid = host
        self._named.setdefault(host, {})[entry.name] = entry
        self._counters["handovers_kept"] += 1
        self._trace(entry.name, "handover_kept", host=host, why=f"not listed, placed at {entry.machine}")

    def host_listed(self, host: str) -> None:
        """Place the tasks at a host that is listed now and at which owners have handed them over; keep their connections."""
        for entry in self._named.pop(host, {}).values():
            if entry.machine != host and self.find(entry.machine, entry.name) is entry:
                self.move(entry, host, f"handed over there, placed at {entry.machine}")
        for entry in self.by_host.get(host, {}).values():
            if not entry.ask.keeps_connection:
                self.keep_connection(entry, entry.ask.owner)

    def lose(self, machine: str, why: str, end: TaskEnd | None = None) -> int:
        """End the tasks of a host that is presumed lost, and return their number.

        ``end``: only those that ran in a process which is gone by that evidence.
        """
        placed = self.by_host.get(machine, {}).values()
        entries = [entry for entry in placed if end is None or end.ends_task(entry.ask.process)]
        for entry in entries:
            self._counters[f"lost_{why}"] += 1
            self.end(entry, i.Ending.RESET, CAUSE_LOST, why, early_message=EarlyMessage.PRESUMED_LOST)
        return len(entries)

    def lose_process(self, process: HostProcess, machine: str, ended_at_host: bool) -> list[str]:
        """End the tasks of a process at a host whose silence has lasted for too long; return their ids.

        ``ended_at_host``: whether the host is told to end them. One runs on where the host doesn't read that.
        """
        why, early_message = "silent", EarlyMessage.PRESUMED_LOST
        if ended_at_host:
            why, early_message = "in_doubt", EarlyMessage.END_REQUESTED
        entries = self.processes.tasks_of(process, machine)
        for entry in entries:
            self._counters[f"lost_{why}"] += 1
            self.end(entry, i.Ending.RESET, CAUSE_LOST, why, early_message=early_message)
        return [entry.name for entry in entries]

    def move_all(self, machine: str, replacement: str) -> int:
        """Account for the tasks of a host under the id of the host that has taken its place; return their number."""
        entries = list(self.by_host.get(machine, {}).values())
        for entry in entries:
            self.move(entry, replacement, f"{machine} is replaced")
        return len(entries)

    def move(self, entry: Entry, machine: str, why: str) -> None:
        """Account for a placed task under the id of another host.

        To the scheduler it ends at the one and is found at the other, under a new request number.
        """
        self._remove(entry)
        self._trace(entry.name, "found", host=machine, why=why)
        self._driver.push(i.Outcome(entry.request, entry.attempt, i.Ending.CANCELLED, True))
        self._ledger.renumber(entry)
        entry.machine, entry.attempt = machine, 0
        self.by_host.setdefault(machine, {})[entry.name] = entry
        self.processes.add(entry)
        self._driver.push(i.TaskFound(entry.ask.setup.request(entry.request, 0.0), machine))

    def _remove(self, entry: Entry) -> None:
        self.processes.remove(entry)
        at_host = self.by_host[entry.machine]
        del at_host[entry.name]
        if not at_host:
            del self.by_host[entry.machine]

    def _forget_named(self, entry: Entry) -> None:
        host = entry.ask.process.named_uid
        named = self._named.get(host, {})
        if named.pop(entry.name, None) is not None and not named:
            del self._named[host]

    def handle_message(self, entry: Entry, line: Line, connection: ProcessConnection | None) -> None:
        """Handle the message of a host about a task that is placed there; without ``connection`` it came before the task."""
        if line.type is MessageType.EVENT:
            self._handle_note(entry, line, connection)
        elif line.type is MessageType.CLOSE:
            self._handle_release(entry, line, connection)
        else:
            self._counters["late_words"] += 1

    def _handle_note(self, entry: Entry, line: Line, connection: ProcessConnection | None) -> None:
        if connection is not None:
            entry.ask.process.connection = connection
            self.shown_at(entry, connection)
        kind, value = parsing.NOTES.get(line.attrs.get("note", "")), parsing.parse_number(line.attrs.get("value"))
        if kind is not None and value is not None:
            self._driver.push(i.StatusNote(entry.request, entry.attempt, kind, value))

    def _handle_release(self, entry: Entry, line: Line, connection: ProcessConnection | None) -> None:
        if connection is not None:
            self.shown_at(entry, connection)
        ending, reason = releases.ending_of_placed(line), releases.reason_of(line)
        cause = {i.Ending.OK: releases.CAUSE_ENDED, i.Ending.RESET: CAUSE_LOST}.get(ending)
        if ending is i.Ending.CANCELLED and entry.ask.end_requested:
            cause = CAUSE_LOST  # not by its owner, who has handed it over since
        report = self._parse_load_report(line.attrs.get("load"))
        self.end(entry, ending, cause, f"host said {line.code}", reason, report)

    def end_as_confirmed(self, entry: Entry) -> None:
        """End a task whose host was told to end it before it was handed over, and has said that it has read that."""
        self.end(entry, i.Ending.RESET, CAUSE_LOST, "host has confirmed that it was told to end it")

    def end(
        self,
        entry: Entry,
        ending: i.Ending,
        cause: int | None,
        why: str,
        reason: i.Reason = i.Reason.UNTOLD,
        report: i.LoadReport | None = None,
        early_message: EarlyMessage = EarlyMessage.TASK_ENDED,
    ) -> None:
        """End a placed task; its owner is sent a release with ``cause``, unless that is None."""
        self._remove(entry)
        self._forget_named(entry)
        self._ledger.end(entry)
        self._early_messages.record(entry.name, early_message, self._loop.now(), entry.machine)
        self._counters[f"over_{ending.value}"] += 1
        self._trace(entry.name, "over", host=entry.machine, why=why)
        self._driver.push(i.Outcome(entry.request, entry.attempt, ending, True, reason, report))
        if entry.ask.handed_over_by is not None:
            self._handed_over.remove(entry.ask.handed_over_by)
        if entry.ask.keeps_connection:
            entry.ask.owner.remove_placed_task()
        if cause is not None:
            self._owners().release(entry.ask.owner, entry.name, cause)
