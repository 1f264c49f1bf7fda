"""What is remembered of tasks that are not known here, or no longer, for the set-ups that may follow. No I/O.

An owner may use any of its connections, and a host may report on a task before its owner has reported the task again:
after a restart of the placer, or if one connection is read before another. An owner that has not yet heard of the end of
its task may also report that task once more.

What concerns a host is remembered for that host alone: a task may run at one host after it has ended at another.

====================== =================================== ========================================================
message                recorded when                       effect on a later set-up of that id
====================== =================================== ========================================================
``TASK_ENDED``         a task has ended, by the word of    with ``at`` of that host: none, as its owner has been
                       its host or of its owner            sent the release
``PRESUMED_LOST``      the end of a placed task was only   with ``at`` of that host: the task runs on, so it is
                       concluded, from its host's silence  placed again; none if the set-up crosses the release
                       or from the list of hosts
``END_REQUESTED``      likewise, and its host was asked    with ``at`` of that host: as after ``PRESUMED_LOST``;
                       to end the task                     when the host says that it has, its owner is told
``CANCELLED_BY_OWNER`` an owner cancels or ends a task     not placed and not answered; with ``at``: the host is
                       that is not known                   told to end the task
``RELEASED_BY_HOST``   a host releases a task that is not  with ``at`` of that host: recorded as placed, and ended
                       known                               at once
====================== =================================== ========================================================
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass, replace
from enum import Enum

from sprucepost.node.jsonl import Line

MAX_TASKS = 2048  # bounds the memory: a peer that sends unknown ids displaces its own oldest entries first
ANY_HOST = ""  # in place of a host, for what concerns the task itself


class EarlyMessage(Enum):
    """What is recorded about a task id."""

    TASK_ENDED = "over"
    PRESUMED_LOST = "presumed_lost"
    END_REQUESTED = "end_requested"
    CANCELLED_BY_OWNER = "unwanted"
    RELEASED_BY_HOST = "ended"


ENDED = (EarlyMessage.TASK_ENDED, EarlyMessage.END_REQUESTED)
CONCLUDED = (EarlyMessage.PRESUMED_LOST, EarlyMessage.END_REQUESTED)
"""Ends that neither the host nor the owner has told."""


@dataclass(frozen=True, slots=True)
class Record:
    """One message, when it was recorded, in ms of the loop's clock, and the line of the host that released the task."""

    message: EarlyMessage
    at: float
    line: Line | None = None


class EarlyMessageCache:
    """Records by task id and host; each is kept for ``retention_ms``, and those of at most ``max_tasks`` tasks.

    Beyond that the oldest task is dropped of the source, a client or host, that has brought most of them.
    """

    def __init__(self, retention_ms: float, max_tasks: int = MAX_TASKS) -> None:
        self._retention_ms, self._max_tasks = retention_ms, max_tasks
        self._records: dict[str, dict[str, Record]] = {}  # by task id, then by host; the tasks recorded last come last
        self._sources: dict[str, str] = {}  # who brought the latest record of a task, by its id
        self._by_source: dict[str, dict[str, None]] = {}  # ids of the tasks, in the order of ``_records``

    def __len__(self) -> int:
        return len(self._records)

    def record(
        self,
        sid: str,
        message: EarlyMessage,
        now: float,
        host: str = ANY_HOST,
        line: Line | None = None,
        source: str = "",
    ) -> None:
        """Record a message; a host's release of a task whose end is known says nothing new, and one of a task that it was
        asked to end is kept beside that.

        ``source`` is the client that the message came from; by default it is the host.
        """
        known = self.get(sid, now, host)
        by_host = self._remove(sid) if sid in self._records else {}
        recorded = Record(message, now, line)
        if known is not None and known.message is EarlyMessage.TASK_ENDED:
            recorded = Record(EarlyMessage.TASK_ENDED, now)
        elif known is not None and known.message is EarlyMessage.END_REQUESTED and line is not None:
            recorded = replace(known, line=line)
        by_host[host] = recorded
        if len(self._records) >= self._max_tasks:
            largest = max(self._by_source.values(), key=len)
            self._remove(next(iter(largest)))
        self._records[sid], self._sources[sid] = by_host, source or host
        self._by_source.setdefault(source or host, {})[sid] = None

    def confirm_requested_end(self, line: Line, now: float, host: str) -> None:
        """Record a host's message that it has read the end of a task which it was asked to end."""
        known = self.get(line.sid, now, host)
        if known is not None and known.message is EarlyMessage.END_REQUESTED and known.line is None:
            self._records[line.sid][host] = replace(known, line=line)

    def _remove(self, sid: str) -> dict[str, Record]:
        """Remove a task and return its records."""
        source = self._sources.pop(sid, None)
        if source is not None:
            del self._by_source[source][sid]
            if not self._by_source[source]:
                del self._by_source[source]
        return self._records.pop(sid, {})

    def get(self, sid: str, now: float, host: str = ANY_HOST) -> Record | None:
        """Return what is recorded of that task and host, unless it has expired."""
        record = self._records.get(sid, {}).get(host)
        return record if record is not None and record.at + self._retention_ms > now else None

    def hosts_with(self, sid: str, messages: Container[EarlyMessage], now: float) -> list[str]:
        """Return the hosts for which one of those messages about the task is recorded."""
        return [
            host
            for host in self._records.get(sid, {})
            if (record := self.get(sid, now, host)) is not None and record.message in messages
        ]

    def release_of(self, sid: str, now: float, host: str | None) -> Line | None:
        """Return the message in which that host, or where it is None any host, has released a task that was not known."""
        hosts = [host] if host is not None else list(self._records.get(sid, {}))
        records = [self.get(sid, now, each) for each in hosts]
        return next((record.line for record in records if record is not None and record.line is not None), None)

    def ended_since(self, sid: str, since: float) -> bool:
        """Return whether the task has ended at any host since that time, or a host was asked to end it."""
        records = self._records.get(sid, {}).values()
        return any(record.message in ENDED and record.at >= since for record in records)

    def copy_ends(self, host: str, replacement: str) -> None:
        """Have what is recorded of the ends of tasks at a host count for the one that has taken its place."""
        for by_host in self._records.values():
            record = by_host.get(host)
            if record is not None and record.message in (*ENDED, EarlyMessage.RELEASED_BY_HOST):
                by_host.setdefault(replacement, record)

    def expire(self, now: float) -> None:
        """Drop the tasks of which all records have expired."""
        for sid, by_host in list(self._records.items()):
            if any(record.at + self._retention_ms > now for record in by_host.values()):
                return  # the tasks after it were recorded later
            self._remove(sid)
