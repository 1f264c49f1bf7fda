"""The connections to all hosts, and the set-ups and releases that go over them.

A set-up gets a connection without another open set-up, as long as there may be one more connection: a message that cannot
be parsed ends its connection, and every set-up open there may then have run. A connection on which a set-up timed out
carries no other one: a late message there could not be told from one about a second offer of the same task to that host.

A running task does not belong to a connection, so one connection is kept to every process that runs tasks of this placer.
What the end of a connection proves stands in ``process_identity``. Silence and health checks are described in ``health``,
ends of tasks in ``task_ends``.
"""

from __future__ import annotations

from collections import Counter
from typing import cast

from sprucepost import interface as i
from sprucepost.backoff import exponential_backoff
from sprucepost.loop import Co, Loop, Scope, TimedOut, connect, current, is_local_shortage
from sprucepost.node import health
from sprucepost.node.attempt import Attempt
from sprucepost.node.bulletin import ListUpdate
from sprucepost.node.descriptors import Descriptors
from sprucepost.node.dispatch import Dispatcher
from sprucepost.node.framing import LINGER_MS
from sprucepost.node.health import HealthChecks
from sprucepost.node.host import Host, HostLink
from sprucepost.node.host_connections import best_link, usable_links
from sprucepost.node.host_list import HostList
from sprucepost.node.host_messages import HostMessagePorts, HostMessages
from sprucepost.node.jsonl import MessageType, encode
from sprucepost.node.log import Log
from sprucepost.node.process_identity import HostProcess, NeverListed, RefusedDial
from sprucepost.node.start_times import StartTimes
from sprucepost.node.task_ends import TaskEnds
from sprucepost.node.tasks import CAUSE_WITHDRAWN, Tasks

REDIAL_MS = 200.0  # between dials of a host; doubled for each failed dial unless the host is suspected
LINGERING = ("retired", "idle", "room")  # why this side ends connections and sends what is written before
SHOWS_DEATH = ("reset", "untested")  # why connections end, perhaps since the host's process has gone
REDIAL_MAX_MS = 1600.0  # five dials until the host counts as silent: one that is back is found in time


class Hosts:
    """The connections to all hosts of the list, and what waits for one."""

    def __init__(
        self,
        loop: Loop,
        scope: Scope,
        tasks: Tasks,
        descriptors: Descriptors,
        start_times: StartTimes,
        connect_ms: float,
        idle_ms: float,
        log: Log,
        counters: Counter[str],
    ) -> None:
        self.loop, self._scope, self._tasks, self._log, self.counters = loop, scope, tasks, log, counters
        self._descriptors, self._connect_ms, self._idle_ms = descriptors, connect_ms, idle_ms
        self._list = HostList(tasks, start_times, log, self)
        self._health = HealthChecks(loop, tasks, counters, log, self.end, self._release_silent)
        self._task_ends = TaskEnds(loop, tasks, self._health, log, self.end)
        self._dispatcher: Dispatcher[Host] = Dispatcher(loop, self._serve, counters)
        after_answer = HostMessagePorts(self.end, self._end_if_retired, self._serve, self._listed)
        self._messages = HostMessages(loop, tasks, self._health, log, counters, after_answer)

    # The list of hosts

    @property
    def hosts(self) -> dict[str, Host]:
        """The hosts of the list, and those that have gone and still matter, by id."""
        return self._list.hosts

    def apply_list(self, update: ListUpdate) -> None:
        """Apply a change of the list, before the decision module acts on it."""
        self._list.apply(update)

    def end_waiting(self, host: Host) -> None:
        """End the offers that wait for a connection to the host."""
        waiting, host.waiting = host.waiting, []
        for attempt in waiting:
            self._tasks.end_attempt(attempt, i.Ending.VOID)

    # Set-ups

    def send_offer(self, attempt: Attempt) -> None:
        """Send the offer on a connection without another open set-up, or as soon as there is one."""
        host = self.hosts.get(attempt.machine)
        if host is None:  # the decision module still knows a host that is no longer listed
            self._tasks.end_attempt(attempt, i.Ending.CONNECT_FAILED)
            return
        if attempt.machine in self._tasks.closed_hosts:
            self._tasks.end_attempt(attempt, i.Ending.VOID)
            return
        host.waiting.append(attempt)
        self._serve(host)

    def _serve(self, host: Host) -> None:
        """Send the offers that wait, as soon as the dispatcher allows it. Each goes to a free connection, else to a new one,
        else, where no more may be opened, to the one with the fewest open set-ups."""
        postponed, links = 0, list[HostLink]()
        while postponed < len(host.waiting):
            links = links or usable_links(host, self.loop.now(), self._idle_ms, self._has_all_links(host))
            if not links:
                wanted = host.dialing < len(host.waiting) and not self._has_all_links(host)
                if wanted and (self._descriptors.available() > 0 or self.close_idle_connection()):
                    self._dial(host)
                return
            if not self._dispatcher.may_write:
                self._dispatcher.add(host)
                return
            attempt = host.waiting.pop(0)
            if not self._tasks.owner_input_read(attempt):
                postponed += 1
                attempt.held_back = True
                host.waiting.append(attempt)
                self._dispatcher.postpone(host)
                continue
            link = best_link(links, attempt, self._tasks.is_bound_to_group(attempt), self.loop.now())
            self._write(host, link, attempt)
            links = []  # that one is no longer free

    def _has_all_links(self, host: Host) -> bool:
        """Whether no more connections to the host may be opened."""
        return len(host.links) + host.dialing >= max(2, self._descriptors.guaranteed_share // max(1, len(self.hosts)))

    def _write(self, host: Host, link: HostLink, attempt: Attempt) -> None:
        """Write the offer to that connection, or end the attempt where the offer must not be sent any more."""
        if self._tasks.is_bound_to_group(attempt) and not link.leads_to_listed_host(self.loop.now()):
            self.counters["hosts_in_doubt"] += 1
            self._tasks.trace(attempt.sid, "host_in_doubt", host=host.uid, link=link.number)
            self._tasks.end_attempt(attempt, i.Ending.CONNECT_FAILED)
            return
        data = self._tasks.encode_offer(attempt)
        if data is None:
            blames_host = attempt.machine not in self._tasks.closed_hosts and self.unwritten_by_fault_of_host(attempt)
            self._tasks.end_attempt(attempt, i.Ending.CONNECT_FAILED if blames_host else i.Ending.VOID)
            return
        attempt.link = link
        link.open[attempt.sid] = attempt
        link.last_used = attempt.written_at = self.loop.now()
        link.transport.write(data)
        attempt.end_offset = link.transport.written
        self._tasks.trace(attempt.sid, "sent", host=host.uid, link=link.number)
        link.transport.flush()

    def was_sent(self, attempt: Attempt) -> bool:
        """Whether the offer was written and the system has taken all of it. A host ignores a line without its end, so an
        offer that was sent in part has not run."""
        link = _link_of(attempt)
        return link is not None and link.transport.sent >= attempt.end_offset

    def unwritten_by_fault_of_host(self, attempt: Attempt) -> bool:
        """Whether the offer was not written because the host could not be connected to.

        It is not to blame where the last dial failed for want of something on this machine, where the offer was held back
        for unread input although there was a connection, and where this process has not polled its sockets for the larger
        part of the attempt: it was stopped, or busy, and could not see that there was one.
        """
        host = self.hosts.get(attempt.machine)
        if attempt.held_back:
            return False
        if attempt.link is not None or host is None:
            return True
        was_paused = self.loop.unpolled_ms > (self.loop.now() - attempt.offered_at) / 2
        return not (was_paused or host.dial_failed_locally)

    def withdraw(self, attempt: Attempt, tell_host: bool = True) -> None:
        """Withdraw the offer. Where it was written, the host gets a close, and the connection takes no other set-up. Where
        the host cannot have read all of it and nothing else is open there, the connection ends at once.

        Without ``tell_host`` it gets no close: it keeps the task.
        """
        host = self.hosts.get(attempt.machine)
        if host is not None and attempt in host.waiting:
            host.waiting.remove(attempt)
        link = _link_of(attempt)
        if link is None or link.open.get(attempt.sid) is not attempt:
            return
        host = link.host
        del link.open[attempt.sid]
        if not tell_host:
            link.retired = True
            self._end_if_retired(host, link)
            return
        link.withdrawn.add(attempt.sid)
        if not self.was_sent(attempt) and not link.open:
            self.end(host, link, "unsent")
            return
        link.transport.write(encode(MessageType.CLOSE, attempt.sid, code=CAUSE_WITHDRAWN))
        link.retired = True
        self._end_if_retired(host, link)

    def _end_if_retired(self, host: Host, link: HostLink) -> None:
        """End a connection that takes no more set-ups once none is open on it, and nothing else may be heard there alone."""
        if not link.retired or link.open or link not in host.links:
            return
        if self._health.is_needed(link):
            self._reconnect(host)
        else:
            self.end(host, link, "retired")

    def end_task(self, machine: str, sid: str) -> None:
        """Have the host end a running task, now or once there is a connection to it."""
        host = self.hosts.get(machine)
        if host is not None:
            self._task_ends.tell(host, sid)

    def adopt(self, machine: str, sid: str) -> bool:
        """Keep a task that its owner has handed back: cancel a pending release of it. False where the host is not listed."""
        host = self.hosts.get(machine)
        if host is not None:
            host.pending_ends.pop(sid, None)
        return host is not None

    def is_being_ended(self, machine: str, sid: str) -> bool:
        """Return whether the host may be about to read that it is to end the task."""
        host = self.hosts.get(machine)
        return host is not None and self._task_ends.is_in_flight(host, sid)

    def is_listed(self, machine: str) -> bool:
        """Return whether the host is on the list, or has left it and still matters."""
        return machine in self.hosts

    def withdraw_unsent(self, services: set[str]) -> None:
        """End the waiting offers of these services: they were decided before running tasks of the services were known."""
        for host in self.hosts.values():
            if host.waiting:
                for attempt in [attempt for attempt in host.waiting if attempt.entry.service in services]:
                    host.waiting.remove(attempt)
                    self.counters["recalled"] += 1
                    self._tasks.end_attempt(attempt, i.Ending.VOID)

    # Connections

    @property
    def connections(self) -> int:
        """The number of connections, with those that are being opened."""
        return sum(len(host.links) + host.dialing for host in self.hosts.values())

    def close_idle_connection(self) -> bool:
        """Close the connection that has been idle for longest; False where none is idle.

        Connections to hosts with running tasks are closed last: such a host sends its messages on the next connection.
        """
        idle = [
            (host.uid in self._tasks.placed, self._health.is_needed(link), link.last_used, host, link)
            for host in self.hosts.values()
            for link in host.links
            if not link.open and not host.waiting
        ]
        for _, _, _, host, link in sorted(idle, key=lambda item: item[:3]):
            if not link.transport.read_now() and link in host.links:
                self.end(host, link, "room")
                return True
        return False

    def _dial(self, host: Host) -> None:
        """Open a connection to the host in a task of its own."""
        self._descriptors.reclaim()
        host.dialing += 1
        self._scope.spawn(self._connect(host), f"host {host.uid}")

    def _connect(self, host: Host) -> Co[None]:
        """Connect; then send the pending releases and the offers that wait."""
        task = yield from current()
        began = self.loop.now()
        try:
            transport = yield from connect(self.loop, task, host.address, self._connect_ms)
        except (OSError, TimedOut) as error:
            host.dialing -= 1
            if self._listed(host) and is_local_shortage(error):
                self._retry_after_local_failure(host)
            elif self._listed(host):
                self._not_connected(host, error, began)
            return
        host.dialing -= 1
        host.failed_dials = 0
        host.dial_failed_locally = host.needs_reconnect = False
        if not self._listed(host):
            transport.abort()
            return
        transport.linger_ms = LINGER_MS
        host.connections_opened += 1
        link = HostLink(host, transport, self.loop.now(), host.connections_opened, began)
        host.links.append(link)
        self._log.host(host.uid, "connected", link=link.number)
        transport.on_data = lambda data: self._messages.handle_data(link.host, link, data)
        transport.on_end = lambda: self.end(link.host, link, "ended")
        transport.on_lost = lambda error: self.end(link.host, link, "reset")
        transport.start()
        self._task_ends.tell_pending(link)
        self._serve(host)
        self._health.connected(host, link)

    def _not_connected(self, host: Host, error: Exception, began: float) -> None:
        """Handle a failed dial that ``began`` at that time of the loop's clock, in ms."""
        host.failed_dials += 1
        host.dial_failed_locally = False
        suspected = self._health.suspected(host)
        pause = REDIAL_MS if suspected else exponential_backoff(REDIAL_MS, host.failed_dials - 1, REDIAL_MAX_MS)
        host.redial_at = self.loop.now() + pause
        refused = isinstance(error, ConnectionRefusedError)
        self.counters["connect_refused" if refused else "connect_failed"] += 1
        host.doubt(self.loop.now(), began, open_until=self.loop.now())
        self._log("host_not_connected", host=host.uid, why=str(error) or type(error).__name__)
        if not host.dialing and host not in self._dispatcher:
            waiting, host.waiting = host.waiting, []
            for attempt in waiting:
                self._tasks.end_attempt(attempt, i.Ending.CONNECT_FAILED)
        if refused:
            self._list.process_gone(host, "refused", RefusedDial(began))
            self._list.remove_if_unused(host)
        if self._health.suspected(host):
            self.loop.call_later(pause, lambda: self._reconnect(host))

    def _retry_after_local_failure(self, host: Host) -> None:
        """Dial again after ``REDIAL_MS``: this machine had no descriptor, port or route, so the host is not to blame."""
        self.counters["dials_short"] += 1
        host.dial_failed_locally = True
        self.close_idle_connection()
        host.redial_at = self.loop.now() + REDIAL_MS

        def again() -> None:
            if self._listed(host):
                self._serve(host)
                self._reconnect(host)

        self.loop.call_later(REDIAL_MS, again)

    def _reconnect(self, host: Host) -> None:
        """Dial a host that runs tasks of this placer, or has some to end, where no connection is expected to bring its
        messages. Also dial where a connection broke that may have held a release: a host repeats a release only on its
        next connection."""
        now = self.loop.now()
        wanted = self._listed(host) and (host.uid in self._tasks.placed or bool(host.pending_ends))
        may_answer = bool(self._health.answering(host))
        due = wanted and (host.needs_reconnect or not may_answer) and not host.dialing and now >= host.redial_at
        if due and (
            self._descriptors.available() > 0 or (self._health.suspected(host) and self.close_idle_connection())
        ):
            self._dial(host)

    def end(self, host: Host, link: HostLink, why: str) -> None:
        """End a connection. A set-up open on it may have run, unless the host cannot have read all of it."""
        if link not in host.links:
            return
        host.links.remove(link)
        if why in SHOWS_DEATH:
            open_until = link.transport.open_until if why == "reset" else self.loop.now()
            host.doubt(self.loop.now(), link.process.came_up_at, open_until)
        self._health.disconnected(host, link, why)
        self.counters[f"host_link_{why}"] += 1
        in_doubt = self._task_ends.in_doubt(link, why)
        self._log.host(
            host.uid,
            "disconnected",
            link=link.number,
            why=why,
            open=len(link.open) or None,
            ends_in_doubt=len(in_doubt) or None,
        )
        if why in LINGERING:
            link.transport.on_linger_data = lambda data: self._messages.handle_late_data(host, link, data)
            self._descriptors.close(link.transport)
        else:
            link.transport.abort()
        host.needs_reconnect |= why in ("reset", "malformed", "untested") and host.uid in self._tasks.placed
        attempts, link.open = list(link.open.values()), {}
        for attempt in attempts:
            self._tasks.end_attempt(attempt, i.Ending.RESET if self.was_sent(attempt) else i.Ending.VOID)
        for sid in in_doubt:
            self.counters["ends_in_doubt"] += 1
            self._task_ends.tell(host, sid)
        if why != "room":
            self._serve(host)
            self._reconnect(host)
        if why in ("reset", "ended"):
            self._check_connections(host)

    # Running tasks

    def tick(self) -> None:
        """Close idle connections, check hosts that run tasks, and reconnect where needed. Called periodically."""
        now = self.loop.now()
        # Tasks that owners have handed back, on hosts that were never listed.
        for uid in self._tasks.placed.keys() - self.hosts.keys():
            self._tasks.host_lost(uid, "unlisted", NeverListed(self.loop.now() - health.SILENT_AFTER_MS))
        for host in list(self.hosts.values()):
            has_tasks = host.uid in self._tasks.placed
            for link in list(host.links):
                idle = (
                    not link.open
                    and now - link.last_used > self._idle_ms / 2
                    and (len(host.links) > health.KEPT_CONNECTIONS or not has_tasks)
                    and not self._health.is_needed(link)
                )
                if idle and not link.transport.read_now():
                    self.end(host, link, "idle")
                else:
                    self._end_if_retired(host, link)
            host.pending_ends = {sid: until for sid, until in host.pending_ends.items() if until > now}
            self._health.review(host)
            if not has_tasks:
                host.needs_reconnect = False
                self._list.remove_if_unused(host)
                if not host.pending_ends:
                    continue
            self._reconnect(host)
            if has_tasks:
                self._open_second(host)

    def _open_second(self, host: Host) -> None:
        """Open a second connection to a host that runs tasks, where descriptors are plenty: if the only one breaks, nothing
        shows whether the process that it led to is still there."""
        now = self.loop.now()
        links = self._health.answering(host)
        is_alone = len(links) == 1 and len(host.links) + host.dialing < health.KEPT_CONNECTIONS
        is_settled = is_alone and now - links[0].process.came_up_at >= health.CHECK_TIMEOUT_MS
        if is_settled and now >= host.redial_at and self._descriptors.available() > self._descriptors.guaranteed_share:
            self._dial(host)

    def _listed(self, host: Host) -> bool:
        """Whether the host has not been removed, or replaced by another one with its id."""
        return host in self._list

    def review_gone(self, host: Host) -> None:
        """Check the connections of a host that has left the list, and have one where it runs tasks of this placer."""
        self._check_connections(host)
        self._reconnect(host)

    def _check_connections(self, host: Host) -> None:
        """Check the remaining connections of a host that may have died."""
        if self._listed(host):
            self._health.check_all(host)

    def in_doubt(self) -> tuple[int, float]:
        """Return how many processes with tasks no open connection leads to, and the longest silence of one, in ms."""
        return self._health.in_doubt()

    def _release_silent(self, process: HostProcess) -> None:
        """Release the tasks of a silent process, at each host where it has some."""
        for uid in self._tasks.processes.hosts_of(process):
            host = self.hosts.get(uid)
            if host is not None:
                self._task_ends.release_silent(host, process)


def _link_of(attempt: Attempt) -> HostLink | None:
    """Return the connection on which the offer was written."""
    return cast("HostLink | None", attempt.link)
