"""Health checks of hosts that run tasks of this placer, and what a host's silence means.

A host that sends nothing may be idle, cut off or dead. Its tasks count as running until it has answered no health check for
so long that their owners must be notified. A process that dies resets its connections, but not every reset arrives: so when
the host ends one connection, or the list says that it has gone, the others are checked at once. The system of a dead peer
answers with a reset, and the next dial is refused.

========== ================================ ==========================================================================
state      condition                        action
========== ================================ ==========================================================================
alive      its last message is younger than none: notes, answers and releases count as messages, and most hosts send one
           ``SUSPECT_AFTER_MS``             more often than that
suspected  its last message is older, and   a health check on its connection; a check without an answer within
           it runs a task of this placer    ``CHECK_TIMEOUT_MS`` ends the connection; without a connection the host is
                                            dialled every ``hosts.REDIAL_MS``, and a new one begins with a check
silent     its last message is older than   the owners of its tasks are notified at that moment; the tasks may run on,
           ``SILENT_AFTER_MS``              and their owners may hand them over
========== ================================ ==========================================================================

A check costs the host work, and every placer of the fleet checks the same hosts, so the first check is as late as leaves
time for the others. A task survives a network cut shorter than ``SILENT_AFTER_MS`` if its host sent something shortly
before the cut and can be reached again right after it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from sprucepost.loop import Loop
from sprucepost.node.framing import MAX_MESSAGE_BYTES
from sprucepost.node.host import Host, HostLink
from sprucepost.node.jsonl import MessageType, encode
from sprucepost.node.log import Log
from sprucepost.node.owner_releases import RELEASE_RETENTION_MS
from sprucepost.node.tasks import Tasks

CHECK_TIMEOUT_MS = 1000.0  # a connection without an answer to its health check by then is ended
# A release must be sent within RELEASE_RETENTION_MS of the task's end, and the silence may begin with the end; the rest
# is slack.
SILENT_AFTER_MS = RELEASE_RETENTION_MS - 200.0
# Leaves time for three checks in a row that get lost.
SUSPECT_AFTER_MS = SILENT_AFTER_MS - 3 * CHECK_TIMEOUT_MS
SILENCE_SLACK_MS = 1.0  # a timer may fire that much early
NO_TASK = "0" * 16  # the task id that a health check carries


class HealthChecks:
    """Checks hosts that run tasks, and gives up those that stay silent.

    ``listed`` tells whether the host is still on the list, ``end`` ends a connection and takes the cause to count, and
    ``release_silent`` releases the tasks of a host that has been silent for too long.
    """

    def __init__(
        self,
        loop: Loop,
        tasks: Tasks,
        counters: Counter[str],
        log: Log,
        listed: Callable[[Host], bool],
        end: Callable[[Host, HostLink, str], None],
        release_silent: Callable[[Host], None],
    ) -> None:
        self._loop, self._tasks, self._counters, self._log = loop, tasks, counters, log
        self._listed, self._end, self._release_silent = listed, end, release_silent

    def message_received(self, host: Host, link: HostLink) -> None:
        """Record that a message has come from the host on that connection."""
        if link.check_sent is not None:
            self._log.host(host.uid, "checked", link=link.number, after=round(self._loop.now() - link.check_sent, 1))
        # The message may have come right after the previous poll of the sockets: a busy loop must not make a silence look
        # shorter than it is.
        host.last_heard = max(host.last_heard, self._loop.now() - link.transport.waited_ms)
        link.check_sent = None

    def suspected(self, host: Host) -> bool:
        """Whether the host runs a task of this placer and has sent nothing for ``SUSPECT_AFTER_MS``."""
        holds_tasks = host.uid in self._tasks.placed
        return holds_tasks and host.last_heard > 0 and self._loop.now() - host.last_heard >= SUSPECT_AFTER_MS

    def answering(self, host: Host) -> list[HostLink]:
        """The host's connections that may still bring messages: not retired, and without an overdue check."""
        now = self._loop.now()
        return [link for link in host.links if not link.retired and not _overdue(link, now)]

    def check(self, host: Host, link: HostLink) -> None:
        """Send a health check."""
        silent = self._loop.now() - host.last_heard if host.last_heard else None
        self._log.host(host.uid, "check", link=link.number, silent=round(silent) if silent is not None else None)
        link.check_sent = self._loop.now()
        self._counters["tests"] += 1
        link.transport.write(encode(MessageType.PROBE, NO_TASK, code=0))

    def check_all(self, host: Host) -> None:
        """Where the host runs a task of this placer, check each connection that has no check in flight."""
        if host.uid not in self._tasks.placed:
            return
        for link in host.links:
            if not link.retired and link.check_sent is None and not link.transport.buffered:
                self.check(host, link)

    def review(self, host: Host) -> None:
        """End connections with an overdue check, and check a host that has become suspected. Called periodically."""
        if host.uid not in self._tasks.placed:
            host.last_heard = 0.0
            return
        now = self._loop.now()
        host.last_heard = host.last_heard or now
        for link in [link for link in host.links if _overdue(link, now) and not link.open]:
            self._end(host, link, "untested")
        if not self.suspected(host):
            return
        if host.silence_timer is None:
            # At least the time of one check: while this process was stopped, the host could not be heard.
            delay_ms = max(host.last_heard + SILENT_AFTER_MS - now, CHECK_TIMEOUT_MS)
            host.silence_timer = self._loop.call_later(delay_ms, lambda: self._silence_due(host))
        links = self.answering(host)
        if links and all(link.check_sent is None for link in links) and links[0].transport.buffered < MAX_MESSAGE_BYTES:
            self.check(host, links[0])

    def _silence_due(self, host: Host) -> None:
        """Release the host's tasks unless it has sent a message since the timer was set; then wait for the rest."""
        host.silence_timer = None
        if not self._listed(host) or not self.suspected(host):
            return
        left = host.last_heard + SILENT_AFTER_MS - self._loop.now()
        if left > SILENCE_SLACK_MS:  # it sent a message meanwhile and is suspected again
            host.silence_timer = self._loop.call_later(left, lambda: self._silence_due(host))
            return
        self._release_silent(host)


def _overdue(link: HostLink, now: float) -> bool:
    """Whether a health check on the connection has had no answer within ``CHECK_TIMEOUT_MS``."""
    return link.check_sent is not None and now - link.check_sent > CHECK_TIMEOUT_MS
