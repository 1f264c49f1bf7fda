"""How the ends of placed tasks reach their hosts, and which tasks end since their process has been silent for too long.

A host is told the end of a task on the connection that was heard last, or on the next one that comes up. What was written to
a connection that ends before it can have been read is told once more.
"""

from __future__ import annotations

from collections.abc import Callable

from sprucepost.loop import Loop
from sprucepost.node.health import SILENT_AFTER_MS, HealthChecks
from sprucepost.node.host import Host, HostLink
from sprucepost.node.jsonl import MessageType, encode
from sprucepost.node.log import Log
from sprucepost.node.process_identity import HostProcess
from sprucepost.node.tasks import CAUSE_WITHDRAWN, Tasks

ENDED_BY_PEER, READ_BEFORE = ("ended", "reset"), ("idle", "room")
"""Why connections end: by the host; and by this side after it has read what has arrived."""


class TaskEnds:
    """Tells hosts of the ends of tasks; ``end`` ends a connection and takes the cause to count."""

    def __init__(
        self, loop: Loop, tasks: Tasks, health: HealthChecks, log: Log, end: Callable[[Host, HostLink, str], None]
    ) -> None:
        self._loop, self._tasks, self._health, self._log, self._end = loop, tasks, health, log, end

    def tell(self, host: Host, sid: str) -> None:
        """Have the host end a running task, now or once there is a connection to it."""
        links = self._health.answering(host) or [link for link in host.links if not link.retired]
        link = max(links, key=lambda link: link.process.heard_at, default=None)
        if link is not None:
            self._write(link, sid)
            self._tasks.trace(sid, "let_go", host=host.uid, link=link.number)
        else:
            self._tasks.trace(sid, "let_go", host=host.uid, why="when it can be reached")
            host.pending_ends[sid] = self._loop.now() + SILENT_AFTER_MS

    def tell_pending(self, link: HostLink) -> None:
        """Tell the host on a new connection what it could not be told before."""
        for sid in link.host.pending_ends:
            self._write(link, sid)
        link.host.pending_ends.clear()

    def _write(self, link: HostLink, sid: str) -> None:
        link.transport.write(encode(MessageType.CLOSE, sid, code=CAUSE_WITHDRAWN))
        link.ends.record(sid, None, self._loop.now())

    def is_in_flight(self, host: Host, sid: str) -> bool:
        """Return whether the host may be about to read the end of that task on one of its connections."""
        return any(
            message.sid == sid for link in host.links for message in link.ends.undelivered(link.transport.known_open_at)
        )

    def in_doubt(self, link: HostLink, why: str) -> list[str]:
        """Return the tasks of which the host may not have read the end on a connection that ends for that cause."""
        if why in READ_BEFORE:
            return [message.sid for message in link.ends.unsent()]
        open_until = link.transport.open_until if why in ENDED_BY_PEER else link.transport.known_open_at
        return [message.sid for message in link.ends.undelivered(open_until)]

    def release_silent(self, host: Host, process: HostProcess) -> None:
        """Release the tasks of a silent process at a host towards their owners. Its unused connections end.

        Where another connection to the host answers, the host is told to end them: whichever process is there, what it runs
        of them belongs to nobody any more. Else they may run on, and the host is not asked to end them once it can be
        reached: by then their owners may have handed them over, to this placer or to another one.
        """
        silent_ms = round(self._loop.now() - process.heard_at)
        answers = self._health.answers_beside(host, process)
        why = "in_doubt" if answers else "silent"
        self._log.host(host.uid, "silent", heard=silent_ms, late=round(self._loop.late_ms, 1), why=why)
        ended = self._tasks.process_lost(process, host.uid, answers)
        self._log("host_lost", host=host.uid, why=why, tasks=len(ended), heard=silent_ms)
        for sid in ended if answers else ():
            self.tell(host, sid)
        for link in [link for link in host.links if link.process.process is process and not link.open]:
            self._end(host, link, "silent")
