"""The hosts of the list: which there are, which process has an address, and what a change means for tasks placed there."""

from __future__ import annotations

from typing import Protocol

from sprucepost import interface as i
from sprucepost.node.address_holders import Address, Age
from sprucepost.node.bulletin import ListUpdate
from sprucepost.node.host import Host, HostLink
from sprucepost.node.log import Log
from sprucepost.node.process_identity import FirstListing, ListedStart, ProcessEnd, TaskEnd
from sprucepost.node.start_times import StartTimes
from sprucepost.node.tasks import Tasks


class ConnectionsPort(Protocol):
    """The connections to hosts."""

    def end_waiting(self, host: Host) -> None:
        """End the offers that wait for a connection to the host."""
        ...

    def end(self, host: Host, link: HostLink, why: str) -> None:
        """End a connection, and the attempts that are open on it."""
        ...

    def review_gone(self, host: Host) -> None:
        """Check the connections of a host that has left the list, and have one where it runs tasks of this placer."""
        ...


class HostList:
    """The hosts of the list, and those that have left it and still matter: they run tasks or have open set-ups."""

    def __init__(self, tasks: Tasks, start_times: StartTimes, log: Log, connections: ConnectionsPort) -> None:
        self._tasks, self._start_times, self._log, self._connections = tasks, start_times, log, connections
        self.hosts: dict[str, Host] = {}
        self._at_address: dict[Address, dict[Host, None]] = {}  # the same hosts

    def __contains__(self, host: Host) -> bool:
        """Whether the host has not been removed, or replaced by another one with its id."""
        return self.hosts.get(host.uid) is host

    def apply(self, update: ListUpdate) -> None:
        """Apply a change of the list, before the decision module acts on it."""
        for entry in update.list.entries:
            host, address = self.hosts.get(entry.machine), update.addresses.get(entry.machine)
            if entry.state is i.MachineState.GONE:
                if host is not None:
                    self._mark_gone(host)
                else:
                    self._tasks.set_closed(entry.machine, False)
                continue
            if address is None:
                continue
            if host is None or host.address != address:
                host = self._add(entry.machine, address, entry.started, update.ages[entry.machine])
            host.gone = False
            host.age = update.ages[entry.machine]
            if entry.started > host.started:
                host.started = entry.started
                self._restart(host)
            ready = entry.state is i.MachineState.READY
            self._tasks.set_closed(entry.machine, not ready)
            if not ready:
                self._connections.end_waiting(host)
        if update.list.kind is not i.ListKind.DELTA:
            listed = {entry.machine for entry in update.list.entries}
            for uid in sorted(self.hosts.keys() - listed):
                self._mark_gone(self.hosts[uid])

    def _add(self, uid: str, address: Address, started: float, age: Age) -> Host:
        """Add a host. Those that had its id or its address before are replaced."""
        host = Host(uid, address, started, age)
        before = self.hosts.get(uid)
        # One that has started later has left the list: nothing of its is handed on to one that was there before.
        at_address = self._at_address.get(address, {})
        replaced = [other for other in at_address if other.age < age and other is not before]
        replaced += [before] if before is not None else []
        for other in replaced:
            other.gone = True
            self._drop(other)
        self.hosts[uid] = host
        self._at_address.setdefault(address, {})[host] = None
        for other in replaced:
            self._replace(other, host)
        self._tasks.host_listed(uid)
        if started:
            self.lose_tasks(host, "restarted", FirstListing(self._start_times.to_loop_time(started)))
        return host

    def _replace(self, other: Host, host: Host) -> None:
        """Have a host take the place of another: it gets the connections and the tasks of its own process, and what belongs
        to the process before it ends."""
        if other.address == host.address:
            started_at = self._start_times.to_loop_time(host.started) if host.started else None
            end = ListedStart(started_at, host.uid)
        else:  # the same id at another address
            end = ListedStart(None)
        self._connections.end_waiting(other)
        connections = len(other.links)
        ended_tasks = self.process_gone(other, "replaced", end)
        kept, other.links = other.links, []
        for link in kept:
            link.host = host
        host.links += kept
        if other.address == host.address:
            host.inherit_doubt(other)
            host.confirm(end.started_at)
        host.pending_ends |= other.pending_ends
        kept_tasks = self._tasks.move_to_replacement(other.uid, host.uid) if other.uid != host.uid else 0
        self._log.host(
            host.uid,
            "replaces",
            id_before=other.uid,
            address=f"{host.address[0]}:{host.address[1]}",
            started=host.started or None,
            connections_kept=len(kept),
            connections_ended=connections - len(kept),
            tasks_kept=kept_tasks,
            tasks_ended=ended_tasks,
        )

    def _restart(self, host: Host) -> None:
        """Handle that the list has another process of the same id at the same address."""
        connections = len(host.links)
        end = ListedStart(self._start_times.to_loop_time(host.started))
        ended_tasks = self.process_gone(host, "restarted", end)
        host.confirm(end.started_at)
        self._log.host(
            host.uid,
            "restarted",
            started=host.started,
            connections_ended=connections - len(host.links),
            tasks_kept=len(self._tasks.placed.get(host.uid, {})),
            tasks_ended=ended_tasks,
        )

    def process_gone(self, host: Host, why: str, end: ProcessEnd) -> int:
        """End the connections and the tasks of a process of the host that is gone by that evidence; return the number of
        tasks. What it has sent before is handled first."""
        ended = [link for link in host.links if end.ends_connection(link.process)]
        for link in ended:
            link.transport.read_now()
        number = self.lose_tasks(host, why, end)
        for link in ended:
            self._connections.end(host, link, "gone")
        return number

    def _mark_gone(self, host: Host) -> None:
        """Send the host nothing new. It may still release the tasks that run there."""
        if host.gone:
            return
        host.gone = True
        self._tasks.set_closed(host.uid, True)
        self._connections.end_waiting(host)
        self.remove_if_unused(host)
        self._connections.review_gone(host)

    def remove_if_unused(self, host: Host) -> None:
        """Remove a host that has gone once it has no task and no open set-up of this placer."""
        if host.gone and host.uid not in self._tasks.placed and not any(link.open for link in host.links):
            self._remove(host)

    def _remove(self, host: Host) -> None:
        """Drop the host and end its connections."""
        self._drop(host)
        for link in list(host.links):
            self._connections.end(host, link, "gone")

    def _drop(self, host: Host) -> None:
        if host not in self:
            return
        del self.hosts[host.uid]
        at_address = self._at_address[host.address]
        at_address.pop(host, None)
        if not at_address:
            del self._at_address[host.address]
        self._tasks.set_closed(host.uid, False)

    def lose_tasks(self, host: Host, why: str, end: TaskEnd | None = None) -> int:
        """Release the owners of the host's tasks, or of those that ran in a process which is gone; return their number."""
        number = self._tasks.host_lost(host.uid, why, end)
        if number:
            self._log("host_lost", host=host.uid, why=why, tasks=number)
        return number
