"""Health checks of hosts that run tasks of this placer, and what the silence of a host's process means.

A host that sends nothing may be idle, cut off or dead, and one that has come back empty answers for the process before it.
So silence is counted by process: tasks count as running until nothing has been heard for so long on connections that lead to
their process that their owners must be notified. Which connections do is told by ``process_identity``. A process that dies
resets its connections, but not every reset arrives: so when the host ends one connection, or the list says that it has gone,
the others are checked at once. The system of a dead peer answers with a reset, and the next dial is refused.

========== ================================ ==========================================================================
state      condition                        action
========== ================================ ==========================================================================
alive      its last message is younger than none: notes, answers and releases count as messages, and most hosts send one
           ``SUSPECT_AFTER_MS``             more often than that
suspected  its last message is older, and   a health check on a connection that leads to it; a check without an answer
           it runs a task of this placer    within ``CHECK_TIMEOUT_MS`` ends the connection, unless it is the last one
                                            that may still bring what the process says. Without a connection that answers
                                            the host is dialled every ``hosts.REDIAL_MS``, and a new connection begins
                                            with a check on it and on the older ones
in doubt   no open connection leads to it,  none, until a message about one of its tasks shows it, or an answer on a
           and it runs a task of this       connection that was up beside one of its own; once it is suspected, a check
           placer                           shows whether the host answers
silent     its last message is older than   the owners of its tasks are notified at that moment. Where another connection
           ``SILENT_AFTER_MS``              to the host answers, the host is told to end them. They may run on all the
                                            same, as nothing shows that it has read that, and their owners may hand them
                                            over
========== ================================ ==========================================================================

A check costs the host work, and every placer of the fleet checks the same hosts, so the first check is as late as leaves
time for the others. A task survives a network cut shorter than ``SILENT_AFTER_MS`` if its host sent something shortly
before the cut and can be reached again right after it.

To a host with tasks two connections are kept where descriptors are plenty: the one shows whether the process lives when the
other breaks. Where nothing that was sent on several connections has shown that they lead to one process, one of them is
checked for that once they have been up for ``CHECK_TIMEOUT_MS``.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from sprucepost.loop import Loop, Timer
from sprucepost.node.framing import MAX_MESSAGE_BYTES
from sprucepost.node.host import Host, HostLink
from sprucepost.node.jsonl import MessageType, encode
from sprucepost.node.log import Log
from sprucepost.node.owner_releases import RELEASE_RETENTION_MS
from sprucepost.node.process_identity import HostProcess
from sprucepost.node.tasks import Tasks

CHECK_TIMEOUT_MS = 1000.0  # a connection without an answer to its health check by then is ended
# A release must be sent within RELEASE_RETENTION_MS of the task's end, and the silence may begin with the end; the rest
# is slack.
SILENT_AFTER_MS = RELEASE_RETENTION_MS - 200.0
# Leaves time for three checks in a row that get lost.
SUSPECT_AFTER_MS = SILENT_AFTER_MS - 3 * CHECK_TIMEOUT_MS
KEPT_CONNECTIONS = 2  # to a host that runs tasks, where descriptors are plenty
SILENCE_SLACK_MS = 1.0  # a timer may fire that much early
NO_TASK = "0" * 16  # the task id that a health check carries


class HealthChecks:
    """Checks hosts that run tasks, and gives up those that stay silent.

    ``end`` ends a connection and takes the cause to count, and ``release_silent`` releases the tasks of a process that has
    been silent for too long.
    """

    def __init__(
        self,
        loop: Loop,
        tasks: Tasks,
        counters: Counter[str],
        log: Log,
        end: Callable[[Host, HostLink, str], None],
        release_silent: Callable[[HostProcess], None],
    ) -> None:
        self._loop, self._tasks, self._counters, self._log = loop, tasks, counters, log
        self._end, self._release_silent = end, release_silent
        self._processes = tasks.processes
        self._timers: dict[HostProcess, Timer] = {}  # each fires when its process counts as silent

    # What is heard

    def connected(self, host: Host, link: HostLink) -> None:
        """Take in a new connection. It is checked, and so are older ones, where that may show that a process lives."""
        if link not in host.links:  # it has broken already
            return
        for process in self._processes.at(host.uid):
            if process.is_resumed and not process.connections:
                process.is_resumed = False
                process.is_listed_host = process.is_listed_host and link.process.process.is_listed_host
                self._processes.merge(process, link.process.process)
        is_suspected = self.suspected(host)
        self._bind_unheard(host, link)
        if not is_suspected:
            return
        self.check(host, link)
        for process in self._processes.at(host.uid):
            links = self._links_to(host, process)
            if links and link not in links:
                self.check(host, links[0])

    def disconnected(self, host: Host, link: HostLink, why: str) -> None:
        """Take in that a connection has ended: its process may be in doubt now."""
        process = link.process.process
        process.connections -= 1
        if why == "ended":
            process.heard_at = max(process.heard_at, self._loop.now() - link.transport.waited_ms)
            process = self._bind_unheard(host, link)
        process.is_resumed = why == "room" and not process.connections
        if process.connections or not self._processes.has_tasks(process):
            return
        self._counters["processes_in_doubt"] += 1
        tasks = len(self._processes.tasks_of(process, host.uid))
        self._log.host(host.uid, "in_doubt", link=link.number, tasks=tasks, heard=self._silent_ms(process))

    def message_received(self, host: Host, link: HostLink) -> None:
        """Record that a message has come from the host on that connection."""
        if link.check_sent is not None:
            self._log.host(host.uid, "checked", link=link.number, after=round(self._loop.now() - link.check_sent, 1))
        # The message may have come right after the previous poll of the sockets: a busy loop must not make a silence look
        # shorter than it is.
        process = link.process.process
        process.heard_at = max(process.heard_at, self._loop.now() - link.transport.waited_ms)
        link.check_sent = None
        if self._processes.unheard:
            self._bind_unheard(host, link)

    def _bind_unheard(self, host: Host, link: HostLink) -> HostProcess:
        """Take in that tasks which have been handed over, and of whose process nothing has been heard, run at the process to
        which that connection leads: it has shown that it lives since. Return that process."""
        process = link.process.process
        if not self._processes.unheard:
            return process
        for other in self._processes.at(host.uid):
            if other.is_unheard and other.heard_at <= process.heard_at:
                process = self._processes.merge(process, other)
        return process

    def check_answered(self, host: Host, link: HostLink) -> None:
        """Take in the answer to the oldest health check that has had none on that connection."""
        if link.checks_sent:
            self.replied(host, link, link.checks_sent.popleft())

    def replied(self, host: Host, link: HostLink, sent_at: float) -> None:
        """Take in a message that answers what was written to the connection at that time, in ms of the loop's clock."""
        process = link.process.process
        if process.connections == len(host.links) and self._processes.is_alone(process, host.uid):
            process.alive_until = max(process.alive_until, sent_at)
            return
        others = [other.process.process for other in host.links] + self._processes.at(host.uid)
        for shown in self._processes.replied(process, sent_at, others):
            self._log.host(host.uid, "shown", link=link.number, since=self._silent_ms(shown))

    def _silent_ms(self, process: HostProcess) -> int:
        return round(self._loop.now() - process.heard_at)

    # What connections are for

    def suspected(self, host: Host) -> bool:
        """Whether a process of the host runs a task of this placer and has sent nothing for ``SUSPECT_AFTER_MS``."""
        return any(self._is_suspected(process) for process in self._processes.at(host.uid))

    def _is_suspected(self, process: HostProcess) -> bool:
        return self._loop.now() - process.heard_at >= SUSPECT_AFTER_MS

    def answering(self, host: Host) -> list[HostLink]:
        """The host's connections that may still bring messages: not retired, and without an overdue check."""
        now = self._loop.now()
        return [link for link in host.links if not link.retired and not is_overdue(link, now)]

    def is_needed(self, link: HostLink) -> bool:
        """Whether it is the last connection on which a process that runs tasks may still be heard."""
        process = link.process.process
        return process.connections == 1 and self._processes.has_tasks(process)

    def answers_beside(self, host: Host, process: HostProcess) -> bool:
        """Whether the host has been heard, since that process is suspected, on a connection not known to lead to it."""
        suspected_at = process.heard_at + SUSPECT_AFTER_MS
        others = [link.process for link in self.answering(host)]
        return any(other.process is not process and other.heard_at >= suspected_at for other in others)

    def in_doubt(self) -> tuple[int, float]:
        """Return how many processes with tasks no open connection leads to, and the longest silence of one, in ms."""
        processes = self._processes.in_doubt()
        now = self._loop.now()
        return len(processes), max((now - process.heard_at for process in processes), default=0.0)

    def _links_to(self, host: Host, process: HostProcess) -> list[HostLink]:
        return [link for link in host.links if link.process.process is process]

    # Checks

    def check(self, host: Host, link: HostLink) -> None:
        """Send a health check."""
        self._log.host(host.uid, "check", link=link.number, silent=self._silent_ms(link.process.process))
        now = self._loop.now()
        link.check_sent = now if link.check_sent is None else link.check_sent
        link.checks_sent.append(now)
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
        """End connections with an overdue check, and check processes that are suspected. Called periodically."""
        now = self._loop.now()
        for link in [link for link in host.links if is_overdue(link, now) and not link.open]:
            if not self.is_needed(link):
                self._end(host, link, "untested")
        for process in self._processes.at(host.uid):
            links = self._links_to(host, process)
            if self._is_suspected(process):
                self._review_suspected(host, process, links)
            elif process.is_unheard:
                self._check_one(host, self.answering(host))
            elif links:
                self._compare(host, links[0])

    def _review_suspected(self, host: Host, process: HostProcess, links: list[HostLink]) -> None:
        if process not in self._timers:
            # At least the time of one check: while this process was stopped, the host could not be heard.
            left_ms = process.heard_at + SILENT_AFTER_MS - self._loop.now()
            self._set_timer(process, max(left_ms, CHECK_TIMEOUT_MS))
        self._check_one(host, [link for link in links if not link.retired] or links)
        now = self._loop.now()
        if all(is_overdue(link, now) for link in links) and not self.answers_beside(host, process):
            self._check_one(host, self.answering(host))

    def _check_one(self, host: Host, links: list[HostLink]) -> None:
        """Check that of the oldest two which was heard least recently, unless one of all has a check in flight."""
        if not links or any(link.check_sent is not None for link in links):
            return
        link = min(links[:KEPT_CONNECTIONS], key=lambda link: link.process.heard_at)
        if link.transport.buffered < MAX_MESSAGE_BYTES:
            self.check(host, link)

    def _compare(self, host: Host, link: HostLink) -> None:
        """Check a connection that may show that this one and another one lead to the same process."""
        settled_by = self._loop.now() - CHECK_TIMEOUT_MS
        for other in host.links:
            if other.process.process is link.process.process:
                continue
            older, newer = sorted((link, other), key=lambda each: each.process.came_up_at)
            if newer.process.came_up_at > settled_by:
                continue
            for each in (older, newer):
                if each.process.process.alive_until < newer.process.came_up_at:
                    if each.check_sent is None and not each.transport.buffered:
                        self.check(host, each)
                    break

    def _set_timer(self, process: HostProcess, delay_ms: float) -> None:
        self._timers[process] = self._loop.call_later(delay_ms, lambda: self._silence_due(process))

    def _silence_due(self, process: HostProcess) -> None:
        """Release the tasks of a process unless it has been heard since the timer was set; then wait for the rest."""
        del self._timers[process]
        if not self._processes.has_tasks(process) or not self._is_suspected(process):
            return
        left = process.heard_at + SILENT_AFTER_MS - self._loop.now()
        if left > SILENCE_SLACK_MS:  # it sent a message meanwhile and is suspected again
            self._set_timer(process, left)
            return
        self._release_silent(process)


def is_overdue(link: HostLink, now: float) -> bool:
    """Whether a health check on the connection has had no answer within ``CHECK_TIMEOUT_MS``."""
    return link.check_sent is not None and now - link.check_sent > CHECK_TIMEOUT_MS
