"""Health checks of hosts on which tasks of ours stand, and what a host's silence means.

A host whose connections say nothing may be idle, cut off or dead: its tasks stand until it has answered no health check for
so long that their owners must be released. But a process that dies resets its connections, and not each reset comes
through: so when the host ends one, or the list says that it has gone, the others are checked at once. A dead peer's system
answers with a reset, and the next dial is refused.

========== ================================ ==========================================================================
a host     while                            what is done
========== ================================ ==========================================================================
heard      its last message is younger than nothing: notes, answers and releases are messages, and most hosts are heard
           ``SUSPECT_AFTER_MS``             more often than that without being asked
suspected  older, and a task of ours        a health check on its connection; one without an answer within
           stands there                     ``CHECK_TIMEOUT_MS`` ends the connection; without one it is dialled every
                                            ``hosts.REDIAL_MS``, and a new connection begins with a check
silent     older than ``SILENT_AFTER_MS``   its tasks' owners are released, at that moment; back again, it lets them go
========== ================================ ==========================================================================

A check costs the host work, and every placer of the fleet checks the same hosts: so the first one is as late as leaves time
for the rest. A cut shorter than ``SILENT_AFTER_MS`` is outlived by a task whose host was heard shortly before it, if the
way back is found at once.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from sprucepost.loop import Loop
from sprucepost.node.framing import MAX_MESSAGE_BYTES
from sprucepost.node.host import Host, HostLink
from sprucepost.node.jsonl import MessageType, encode
from sprucepost.node.log import Log
from sprucepost.node.tasks import RELEASE_RETENTION_MS, Tasks

CHECK_TIMEOUT_MS = 1000.0  # a connection on which a health check is not answered within this is of no use
# What is over must be released within RELEASE_RETENTION_MS, and silence may begin with the end; the rest is slack.
SILENT_AFTER_MS = RELEASE_RETENTION_MS - 200.0
# A host with tasks is checked after that silence: three checks in a row may get lost.
SUSPECT_AFTER_MS = SILENT_AFTER_MS - 3 * CHECK_TIMEOUT_MS
SILENCE_SLACK_MS = 1.0  # a timer may come so much early
NO_TASK = "0" * 16  # the id of a health check


class HealthChecks:
    """Suspects, checks and gives up hosts.

    ``listed`` says whether the host is still one of the list's, ``end`` ends a connection and gives the cause that is
    counted, ``release_silent`` releases what stands on a host that has been silent for too long.
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

    def heard(self, host: Host, link: HostLink) -> None:
        """The host has said something on that connection."""
        if link.check_sent is not None:
            self._log.host(host.uid, "checked", link=link.number, after=round(self._loop.now() - link.check_sent, 1))
        # What was read may have been said when the sockets were looked at before: a busy loop must not lengthen a silence.
        host.last_heard = max(host.last_heard, self._loop.now() - link.transport.waited_ms)
        link.check_sent = None

    def suspected(self, host: Host) -> bool:
        """Whether a task of ours stands there and nothing was heard of the host for ``SUSPECT_AFTER_MS``."""
        holds_tasks = host.uid in self._tasks.placed
        return holds_tasks and host.last_heard > 0 and self._loop.now() - host.last_heard >= SUSPECT_AFTER_MS

    def answering(self, host: Host) -> list[HostLink]:
        """Its connections that may still bring word: not retired, and no check on them has gone unanswered."""
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
        """Where a task of ours stands there, check each connection on which no check is out."""
        if host.uid not in self._tasks.placed:
            return
        for link in host.links:
            if not link.retired and link.check_sent is None and not link.transport.buffered:
                self.check(host, link)

    def review(self, host: Host) -> None:
        """Now and then: end what answers no check, and check a host that has become suspected."""
        if host.uid not in self._tasks.placed:
            host.last_heard = 0.0
            return
        now = self._loop.now()
        host.last_heard = host.last_heard or now
        for link in [link for link in host.links if _overdue(link, now) and not link.open]:
            self._end(host, link, "untested")
        if not self.suspected(host):
            return
        if (
            host.silence_timer is None
        ):  # a host that could not be heard, since we stood still, has the time of one check
            due = max(host.last_heard + SILENT_AFTER_MS - now, CHECK_TIMEOUT_MS)
            host.silence_timer = self._loop.call_later(due, lambda: self._silence_due(host))
        links = self.answering(host)
        if links and all(link.check_sent is None for link in links) and links[0].transport.buffered < MAX_MESSAGE_BYTES:
            self.check(host, links[0])

    def _silence_due(self, host: Host) -> None:
        """The time is up at which a host that has said nothing since it was suspected is silent."""
        host.silence_timer = None
        if not self._listed(host) or not self.suspected(host):
            return
        left = host.last_heard + SILENT_AFTER_MS - self._loop.now()
        if left > SILENCE_SLACK_MS:  # heard meanwhile, and suspected again
            host.silence_timer = self._loop.call_later(left, lambda: self._silence_due(host))
            return
        self._release_silent(host)


def _overdue(link: HostLink, now: float) -> bool:
    """Whether a health check has had no answer in its time."""
    return link.check_sent is not None and now - link.check_sent > CHECK_TIMEOUT_MS
