"""Hosts' connections.

A set-up goes on a connection that carries no other where there may be one more: a line that cannot be read makes every
set-up open on its connection one that may have run. A connection on which a set-up's time was up is used for no other:
what may still come there belongs to that set-up, also where the same task is offered to the same host again.

A standing task belongs to no connection, so one is kept to every host that has one. What the ends of connections prove:
a refused one, that the process is gone, and its tasks with it; one that was reset or closed, nothing about standing tasks.
What silence means, and how it is told from an idle connection, is in ``health``.
"""

from __future__ import annotations

from collections import Counter

from sprucepost import interface as i
from sprucepost.loop import Co, Loop, Scope, TimedOut, connect, current, is_local_shortage
from sprucepost.node import health
from sprucepost.node.attempt import Attempt
from sprucepost.node.bulletin import Address, ListUpdate
from sprucepost.node.descriptors import Descriptors
from sprucepost.node.dispatch import Dispatcher
from sprucepost.node.framing import LINGER_MS
from sprucepost.node.health import HealthChecks
from sprucepost.node.host import Host, HostLink
from sprucepost.node.jsonl import Line, MessageType, encode
from sprucepost.node.log import Log
from sprucepost.node.start_times import StartTimes
from sprucepost.node.tasks import CAUSE_WITHDRAWN, Tasks

REDIAL_MS = 200.0  # until a connection that failed is tried again, doubled for each before unless the host is suspected
REDIAL_MOST_MS = 1600.0  # five in the time until it is silent: a host that is back is found while that helps


class Hosts:
    """All hosts' connections."""

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
        self._start_times = start_times
        self.loop, self._scope, self._tasks, self._log, self.counters = loop, scope, tasks, log, counters
        self._descriptors, self._connect_ms, self._idle = descriptors, connect_ms, idle_ms
        self.hosts: dict[str, Host] = {}
        self._at: dict[Address, Host] = {}  # the same, by address
        self._health = HealthChecks(loop, tasks, counters, log, self._listed, self._end, self._release_silent)
        self._dispatcher: Dispatcher[Host] = Dispatcher(loop, self._serve, counters)

    # The list

    def apply_list(self, told: ListUpdate) -> None:
        """Take what the bulletin has changed, before the module acts on it."""
        if told.list.kind is not i.ListKind.DELTA:
            named = {entry.machine for entry in told.list.entries}
            for uid in sorted(self.hosts.keys() - named):
                self._leave(self.hosts[uid])
        for entry in told.list.entries:
            ready = entry.state is i.MachineState.READY
            self._tasks.set_closed(entry.machine, not ready)
            host, address = self.hosts.get(entry.machine), told.addresses.get(entry.machine)
            if entry.state is i.MachineState.GONE:
                if host is not None:
                    self._leave(host)
                else:
                    self._tasks.set_closed(entry.machine, False)
                continue
            if address is None:
                continue
            if host is None or host.address != address:
                host = self._enter(entry.machine, address, entry.started)
            host.gone = False
            if entry.started > host.started:
                host.started = entry.started
                self._lost(host, "restarted", before=self._start_times.to_loop_time(entry.started))
            if not ready:
                self._unwritten(host)

    def _enter(self, uid: str, address: Address, started: float) -> Host:
        """A host at an address: whatever had that address before is no more."""
        others = {self.hosts.get(uid), self._at.get(address)}
        for other in [other for other in others if other is not None]:
            self._lost(other, "replaced")
            self._leave(other)
            self._remove(other)
        host = self.hosts[uid] = self._at[address] = Host(uid, address, started)
        return host

    def _leave(self, host: Host) -> None:
        """It gets nothing new; what still stands there may yet be released by it."""
        if host.gone:
            return
        host.gone = True
        self._tasks.set_closed(host.uid, True)
        self._unwritten(host)
        self._tidy(host)
        self._check_all(host)
        self._find(host)

    def _unwritten(self, host: Host) -> None:
        waiting, host.waiting = host.waiting, []
        for attempt in waiting:
            self._tasks.end_attempt(attempt, i.Ending.VOID)

    def _tidy(self, host: Host) -> None:
        """A host that has gone is forgotten once nothing of ours is left there."""
        if host.gone and host.uid not in self._tasks.placed and not any(link.open for link in host.links):
            self._remove(host)

    def _remove(self, host: Host) -> None:
        if self.hosts.get(host.uid) is host:
            del self.hosts[host.uid]
            if self._at.get(host.address) is host:
                del self._at[host.address]
            self._tasks.set_closed(host.uid, False)
        for link in list(host.links):
            self._end(host, link, "gone")

    # Set-ups

    def send_offer(self, attempt: Attempt) -> None:
        """Write the offer on a connection of its own, or as soon as there is one."""
        host = self.hosts.get(attempt.machine)
        if host is None:  # the module knows a host that is not listed any more
            self._tasks.end_attempt(attempt, i.Ending.CONNECT_FAILED)
            return
        if attempt.machine in self._tasks.closed_hosts:
            self._tasks.end_attempt(attempt, i.Ending.VOID)
            return
        host.waiting.append(attempt)
        self._serve(host)

    def _serve(self, host: Host) -> None:
        """Write what waits: each on a free connection, or on a new one, or where there may be none on the least used. What
        can be written is, as soon as the dispatcher allows it."""
        held = 0
        while held < len(host.waiting):
            now, attempt = self.loop.now(), host.waiting[0]
            usable = [link for link in host.links if link.usable and now - link.last_used < self._idle / 2]
            free = [link for link in usable if not link.open]
            full = len(host.links) + host.dialing >= max(
                2, self._descriptors.guaranteed_share // max(1, len(self.hosts))
            )
            if free:
                link = max(free, key=lambda link: (attempt.sid not in link.ended_unanswered, link.last_used))
            elif usable and full and host.dialing < len(host.waiting):
                link = min(usable, key=lambda link: len(link.open))
            else:
                wanted = host.dialing < len(host.waiting) and not full
                if wanted and (self._descriptors.available() > 0 or self.close_idle_connection()):
                    self._dial(host)
                return
            if not self._dispatcher.may_write:
                self._dispatcher.add(host)
                return
            host.waiting.remove(attempt)
            if not self._tasks.owner_input_read(attempt):
                held += 1
                host.waiting.append(attempt)
                self._dispatcher.postpone(host)
                continue
            self._write(host, link, attempt)

    def _write(self, host: Host, link: HostLink, attempt: Attempt) -> None:
        data = self._tasks.encode_offer(attempt)
        if data is None:
            self._tasks.end_attempt(
                attempt, i.Ending.VOID if attempt.machine in self._tasks.closed_hosts else i.Ending.CONNECT_FAILED
            )
            return
        attempt.link = link
        link.open[attempt.sid] = attempt
        link.last_used = self.loop.now()
        link.transport.write(data)
        attempt.end_offset = link.transport.written
        self._tasks.trace(attempt.sid, "sent", host=host.uid, link=link.number)
        link.transport.flush()

    def was_sent(self, attempt: Attempt) -> bool:
        """Whether it was written and the system has taken all of it. A part of it is a line without an end, which no host
        obeys."""
        return attempt.link is not None and attempt.link.transport.sent >= attempt.end_offset

    def connection_failed_locally(self, attempt: Attempt) -> bool:
        """Whether it has no connection since the last dial never left this machine."""
        host = self.hosts.get(attempt.machine)
        return attempt.link is None and host is not None and host.dial_never_left

    def withdraw(self, attempt: Attempt) -> None:
        """Take it back: where it was written the host is told, and the connection is used for nothing else. Where the host
        cannot have read it whole, the connection ends at once: nothing of it needs to arrive."""
        host = self.hosts.get(attempt.machine)
        if host is not None and attempt in host.waiting:
            host.waiting.remove(attempt)
        link: HostLink | None = attempt.link
        if host is None or link is None or link.open.get(attempt.sid) is not attempt:
            return
        del link.open[attempt.sid]
        link.withdrawn.add(attempt.sid)
        if not self.was_sent(attempt) and not link.open:
            self._end(host, link, "unsent")
            return
        link.transport.write(encode(MessageType.CLOSE, attempt.sid, code=CAUSE_WITHDRAWN))
        link.retired = True
        self._retire(host, link)

    def _retire(self, host: Host, link: HostLink) -> None:
        if link.retired and not link.open:
            self._end(host, link, "retired")

    def end_task(self, machine: str, sid: str) -> None:
        """Have the host end a standing task, now or when it can be reached."""
        host = self.hosts.get(machine)
        if host is None:
            return
        link = next((link for link in host.links if not link.transport.closed and not link.retired), None)
        if link is not None:
            link.transport.write(encode(MessageType.CLOSE, sid, code=CAUSE_WITHDRAWN))
            self._tasks.trace(sid, "let_go", host=machine)
        else:
            self._tasks.trace(sid, "let_go", host=machine, why="when it can be reached")
            host.pending_releases[sid] = self.loop.now() + health.SILENT_AFTER_MS

    def adopt(self, machine: str, sid: str) -> bool:
        """An owner has handed the task back: it is not to be let go any more."""
        host = self.hosts.get(machine)
        if host is not None:
            host.pending_releases.pop(sid, None)
        return host is not None

    def withdraw_unsent(self, services: set[str]) -> None:
        """Offers that still wait for a connection, decided before such tasks were known to stand, are decided anew."""
        for host in self.hosts.values():
            if host.waiting:
                for attempt in [attempt for attempt in host.waiting if attempt.entry.service in services]:
                    host.waiting.remove(attempt)
                    self.counters["recalled"] += 1
                    self._tasks.end_attempt(attempt, i.Ending.VOID)

    # Connections

    @property
    def connections(self) -> int:
        """Those that there are, and those that are being opened."""
        return sum(len(host.links) + host.dialing for host in self.hosts.values())

    def close_idle_connection(self) -> bool:
        """Close the connection that has been idle for longest, those last that are kept for words of standing tasks: a host
        sends these on the next connection as well. False where none is idle."""
        idle = [
            (host.uid in self._tasks.placed, link.last_used, host, link)
            for host in self.hosts.values()
            for link in host.links
            if not link.open and not host.waiting
        ]
        for _, _, host, link in sorted(idle, key=lambda item: item[:2]):
            if not link.transport.read_now() and link in host.links:
                self._end(host, link, "room")
                return True
        return False

    def _dial(self, host: Host) -> None:
        self._descriptors.reclaim()
        host.dialing += 1
        self._scope.spawn(self._connect(host), f"host {host.uid}")

    def _connect(self, host: Host) -> Co[None]:
        task = yield from current()
        began = self.loop.now()
        try:
            transport = yield from connect(self.loop, task, host.address, self._connect_ms)
        except (OSError, TimedOut) as error:
            host.dialing -= 1
            if self.hosts.get(host.uid) is host and is_local_shortage(error):
                self._not_dialled(host)
            elif self.hosts.get(host.uid) is host:
                self._not_connected(host, error, began)
            return
        host.dialing -= 1
        host.failed_dials = 0
        host.dial_never_left = host.needs_reconnect = False
        if self.hosts.get(host.uid) is not host:
            transport.abort()
            return
        transport.linger_ms = LINGER_MS
        host.connections_opened += 1
        link = HostLink(transport, self.loop.now(), host.connections_opened)
        host.links.append(link)
        self._log.host(host.uid, "connected", link=link.number)
        transport.on_data = lambda data: self._data(host, link, data)
        transport.on_end = lambda: self._end(host, link, "ended")
        transport.on_lost = lambda error: self._end(host, link, "reset")
        transport.start()
        for sid in host.pending_releases:
            transport.write(encode(MessageType.CLOSE, sid, code=CAUSE_WITHDRAWN))
        host.pending_releases.clear()
        self._serve(host)
        if self._health.suspected(host):
            self._health.check(host, link)

    def _not_connected(self, host: Host, error: Exception, began: float) -> None:
        host.failed_dials += 1
        host.dial_never_left = False
        suspected = self._health.suspected(host)
        pause = REDIAL_MS if suspected else min(REDIAL_MS * 2.0 ** (host.failed_dials - 1), REDIAL_MOST_MS)
        host.redial_at = self.loop.now() + pause
        refused = isinstance(error, ConnectionRefusedError)
        self.counters["connect_refused" if refused else "connect_failed"] += 1
        self._log("host_not_connected", host=host.uid, why=str(error) or type(error).__name__)
        if not host.dialing and host not in self._dispatcher:
            waiting, host.waiting = host.waiting, []
            for attempt in waiting:
                self._tasks.end_attempt(attempt, i.Ending.CONNECT_FAILED)
        if refused:
            self._lost(host, "refused", before=began)  # what stands since came from its next life
            self._tidy(host)
        if self._health.suspected(host):
            self.loop.call_later(pause, lambda: self._find(host))

    def _not_dialled(self, host: Host) -> None:
        """The system had no descriptor for the dial, which says nothing of the host: what waits is dialled for again."""
        self.counters["dials_short"] += 1
        host.dial_never_left = True
        self.close_idle_connection()
        host.redial_at = self.loop.now() + REDIAL_MS

        def again() -> None:
            if self.hosts.get(host.uid) is host:
                self._serve(host)
                self._find(host)

        self.loop.call_later(REDIAL_MS, again)

    def _find(self, host: Host) -> None:
        """Dial a host on which something of ours stands, or is to end, where no connection may still bring word, or one has
        broken on which a release may have lain: the host says it again on the next connection alone."""
        now = self.loop.now()
        wanted = self._listed(host) and (host.uid in self._tasks.placed or bool(host.pending_releases))
        hopeful = bool(self._health.answering(host))
        due = wanted and (host.needs_reconnect or not hopeful) and not host.dialing and now >= host.redial_at
        if due and (
            self._descriptors.available() > 0 or (self._health.suspected(host) and self.close_idle_connection())
        ):
            self._dial(host)

    def _end(self, host: Host, link: HostLink, why: str) -> None:
        """The connection is over; what was open on it may have run, unless the host cannot have read it whole."""
        if link not in host.links:
            return
        host.links.remove(link)
        self.counters[f"host_link_{why}"] += 1
        self._log.host(host.uid, "disconnected", link=link.number, why=why, open=len(link.open) or None)
        if why in ("retired", "idle", "room"):
            link.transport.on_linger_data = lambda data: self._late(host, link, data)
            self._descriptors.close(link.transport)
        else:
            link.transport.abort()
        host.needs_reconnect |= why in ("reset", "malformed", "untested") and host.uid in self._tasks.placed
        attempts, link.open = list(link.open.values()), {}
        for attempt in attempts:
            self._tasks.end_attempt(attempt, i.Ending.RESET if self.was_sent(attempt) else i.Ending.VOID)
        if why != "room":
            self._serve(host)
            self._find(host)
        if why in ("reset", "ended"):
            self._check_all(host)

    # Words

    def _data(self, host: Host, link: HostLink, data: bytes) -> None:
        for line in link.decoder.feed(data):
            link.last_used = self.loop.now()
            self._health.heard(host, link)
            self._line(link, host, line)
        if link.decoder.error is not None:
            self.counters["host_malformed"] += 1
            self._log("host_malformed", host=host.uid, why=str(link.decoder.error), open=len(link.open))
            self._end(host, link, "malformed")

    def _late(self, host: Host, link: HostLink, data: bytes) -> None:
        """What the host had on its way when we ended the connection. A release among it comes again only on the next
        connection, which may be long in coming."""
        if self.hosts.get(host.uid) is host:
            for line in link.decoder.feed(data):
                if line.type in (MessageType.CLOSE, MessageType.EVENT):
                    self._heard(host, link, line)

    def _line(self, link: HostLink, host: Host, line: Line) -> None:
        attempt = link.open.get(line.sid)
        if attempt is not None and (
            line.type is MessageType.CLOSE or (line.type is MessageType.READY and line.text is not None)
        ):
            del link.open[line.sid]
            if line.type is MessageType.CLOSE:
                link.ended_unanswered.append(line.sid)
            self._tasks.handle_answer(attempt, line)
            self._retire(host, link)
            self._serve(host)
        elif attempt is not None and line.type is MessageType.EVENT:
            attempt.noted = True
        elif attempt is None and line.type in (MessageType.READY, MessageType.CLOSE, MessageType.EVENT):
            self._heard(host, link, line)

    def _heard(self, host: Host, link: HostLink, line: Line) -> None:
        if line.sid in link.withdrawn:
            self._tasks.handle_withdrawn_message(host.uid, line)
        else:
            self._tasks.handle_message(host.uid, line)

    # Standing tasks

    def tick(self) -> None:
        """Look after the hosts on which something of ours stands."""
        now = self.loop.now()
        for uid in self._tasks.placed.keys() - self.hosts.keys():  # handed to us; no list has told of their host
            self._tasks.host_lost(uid, "unlisted", before=self.loop.now() - health.SILENT_AFTER_MS)
        for host in list(self.hosts.values()):
            standing = host.uid in self._tasks.placed
            for link in list(host.links):
                idle = not link.open and now - link.last_used > self._idle / 2 and (len(host.links) > 1 or not standing)
                if idle and not link.transport.read_now():
                    self._end(host, link, "idle")
            host.pending_releases = {sid: until for sid, until in host.pending_releases.items() if until > now}
            self._health.review(host)
            if not standing:
                host.needs_reconnect = False
                self._tidy(host)
                if not host.pending_releases:
                    continue
            self._find(host)

    def _listed(self, host: Host) -> bool:
        """Whether it has not been removed, or replaced by another of its id."""
        return self.hosts.get(host.uid) is host

    def _check_all(self, host: Host) -> None:
        """It may have died: have the connections that are left tell."""
        if self._listed(host):
            self._health.check_all(host)

    def _release_silent(self, host: Host) -> None:
        """Its tasks count as over; it is to end them should it come back. Nothing more will pass on its connections."""
        now = self.loop.now()
        sids = list(self._tasks.placed[host.uid])
        self._log.host(host.uid, "silent", heard=round(now - host.last_heard), late=round(self.loop.late_ms, 1))
        self._lost(host, "silent")
        host.pending_releases.update((sid, now + self._idle) for sid in sids)
        for link in [link for link in host.links if not link.open]:
            self._end(host, link, "silent")

    def _lost(self, host: Host, why: str, before: float | None = None) -> None:
        number = self._tasks.host_lost(host.uid, why, before)
        if number:
            self._log("host_lost", host=host.uid, why=why, tasks=number)
