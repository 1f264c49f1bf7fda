"""Random fault schedules for Raft servers alone, and the invariants that must hold all the time.

``violations(seed)`` runs one and returns each violated invariant as a line. The replicated state is the list of applied
commands, so linearizability is checked by positions in that list: an operation must come after all that ended before it
began.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

from sprucepost.agreement import Bounds, Change, Members, PersistentState, RaftServer, Role, Timing
from sprucepost.agreement.actions import Apply, LeaderChanged, ReadReady, ReadRejected, RestoreSnapshot, Write
from sprucepost.agreement.entries import Entry, Snapshot
from sprucepost.simulation.network import DatagramNetwork, DiskProcess

TICK_MS = 20.0
RECOVERY_MS = 6000.0  # after the last fault, until a server leads and a command is committed


@dataclass(frozen=True)
class Proposal:
    """A command that a server has accepted."""

    term: int
    began: float
    command: bytes


class Cluster:
    """Raft servers on a simulated network, and clients that send requests to any of them."""

    def __init__(self, seed: int) -> None:
        self.rng = rng = random.Random(seed)
        self.has_disks = rng.random() < 0.7  # otherwise a restarted server is another member
        self.bounds = Bounds(
            append_bytes=rng.choice((60, 4000)),
            append_entries=rng.choice((1, 3, 64)),
            appends_in_flight=rng.choice((1, 4)),
            snapshot_chunk_bytes=rng.choice((16, 300)),
            log_bytes=rng.choice((300, 3000)),
        )
        delay_ms = rng.choice(((0.1, 2.0), (1.0, 30.0), (1.0, 120.0)))
        self.network = DatagramNetwork(seed, TICK_MS, delay_ms, self._on_durable, self._on_action)
        self.network.loss, self.network.duplication = rng.choice((0.0, 0.02, 0.2)), rng.choice((0.0, 0.1))
        self.write_ms = rng.choice(((0.0, 0.1), (1.0, 10.0), (5.0, 80.0)))
        self.clock_drift = rng.choice((0.0, 0.05))
        many_elections = delay_ms[1] <= 30.0 and rng.random() < 0.6
        self.timing = Timing(150.0, 30.0) if many_elections else Timing()
        first = frozenset(f"k{n}" for n in range(rng.choice((1, 3, 3, 3, 5))))
        self.stored = {name: PersistentState(snapshot=Snapshot(0, 0, Members(first), b"")) for name in first}
        self.spares = [f"k{n}" for n in range(len(first), len(first) + 2)]
        self.applied: dict[str, list[bytes]] = {}
        self.applied_index: dict[str, int] = {}
        self.leaders: dict[int, str] = {}  # by term
        self.committed: dict[int, Entry] = {}
        self.violations: list[str] = []
        self.counts = {"commands": 0, "reads": 0, "changes": 0}
        self._proposals: dict[str, dict[int, Proposal]] = {}  # by server and index
        self._reads: dict[str, dict[int, float]] = {}  # by server and ticket: when the read began
        self._finished: list[tuple[float, float]] = []  # operations: when they ended, their position in the state
        self._ticket = 0
        for name in sorted(first):
            self.start(name)

    # Servers

    def start(self, name: str, stored: PersistentState | None = None) -> None:
        """Start a server's process with the state on its disk."""
        stored = stored or self.stored[name]
        rng = random.Random(self.rng.random())
        clock_rate = 1.0 + self.rng.uniform(-self.clock_drift, self.clock_drift)
        machine = RaftServer(name, stored, rng, self.network.now * clock_rate, self.timing, self.bounds)
        process = DiskProcess(name, machine, clock_rate, self.write_ms)
        self.applied[name], self.applied_index[name] = _commands(stored.snapshot.state), stored.snapshot.index
        self._proposals[name], self._reads[name] = {}, {}
        self.network.start(process)

    def server(self, name: str) -> RaftServer:
        machine = self.network.processes[name].state_machine
        assert isinstance(machine, RaftServer)
        return machine

    def _on_durable(self, name: str, write: Write) -> None:
        self.stored[name] = self.stored[name].after(write)

    def _on_action(self, process: DiskProcess, action: Any) -> None:
        name = process.name
        if isinstance(action, LeaderChanged):
            if action.leader == name and self.leaders.setdefault(action.term, name) != name:
                self.violations.append(f"term {action.term} has two leaders: {self.leaders[action.term]} and {name}")
        elif isinstance(action, Apply):
            for entry in action.entries:
                self._apply(name, entry)
            self._take_snapshot_if_needed(process)
        elif isinstance(action, RestoreSnapshot):
            self._restore(name, action.snapshot)
        elif isinstance(action, ReadReady):
            began = self._reads[name].pop(action.ticket)
            self._finish(began, len(self.applied[name]))
            self.counts["reads"] += 1
        elif isinstance(action, ReadRejected):
            self._reads[name].pop(action.ticket, None)

    def _take_snapshot_if_needed(self, process: DiskProcess) -> None:
        name, server = process.name, self.server(process.name)
        if server.snapshots.needed:
            state = b"".join(command + b"\n" for command in self.applied[name])
            self.network.do(
                process, lambda: server.take_snapshot(self.network.clock(process), self.applied_index[name], state)
            )

    def _apply(self, name: str, entry: Entry) -> None:
        if entry.index != self.applied_index[name] + 1:
            self.violations.append(f"{name} applies {entry.index} after {self.applied_index[name]}")
        self.applied_index[name] = entry.index
        known = self.committed.setdefault(entry.index, entry)
        if known != entry:
            self.violations.append(f"{name} commits {entry} in place of {known}")
        if entry.command is not None:
            self.applied[name].append(entry.command)
        proposal = self._proposals[name].pop(entry.index, None)
        if proposal is not None and proposal.term == entry.term and proposal.command == entry.command:
            self._finish(proposal.began, len(self.applied[name]) - 0.5)
            self.counts["commands"] += 1

    def _restore(self, name: str, snapshot: Snapshot) -> None:
        self.applied[name], self.applied_index[name] = _commands(snapshot.state), snapshot.index
        committed = [self.committed[n].command for n in range(1, snapshot.index + 1) if n in self.committed]
        if [command for command in committed if command is not None] != self.applied[name]:
            self.violations.append(f"{name} installs a snapshot up to {snapshot.index} of another state")

    def _finish(self, began: float, position: float) -> None:
        """Check a finished operation; ``position``: how many commands a read has seen, half less for a command."""
        for ended, other in self._finished:
            if ended < began and other > position:
                self.violations.append(
                    f"not linearizable: {position} begun at {began:.0f}, {other} had ended at {ended:.0f}"
                )
                break
        self._finished.append((self.network.now, position))

    # Clients and operators

    def request(self) -> None:
        """Send a command or a read to a running server, most often to a leader."""
        names = [name for name, process in self.network.processes.items() if process.alive]
        if not names:
            return
        name = self.rng.choice(names)
        leaders = [other for other in names if self.server(other).is_leader]
        if leaders and self.rng.random() < 0.8:
            name = self.rng.choice(leaders)
        process, now = self.network.processes[name], self.network.now
        self._ticket += 1
        if self.rng.random() < 0.4:
            self._reads[name][self._ticket] = now
            self.network.do(process, partial(self._read, process, self._ticket))
        else:
            self.network.do(process, partial(self._propose, process, b"c%d" % self._ticket, now))

    def _read(self, process: DiskProcess, ticket: int) -> list[Any]:
        return self.server(process.name).read(self.network.clock(process), ticket)

    def _propose(self, process: DiskProcess, command: bytes, began: float) -> list[Any]:
        position, actions = self.server(process.name).propose(self.network.clock(process), command)
        if position is not None:
            self._proposals[process.name][position.index] = Proposal(position.term, began, command)
        return actions

    def change(self) -> None:
        """Request a change of the members or the leader of a running leader."""
        for name, process in list(self.network.processes.items()):
            if process.alive and self.server(name).is_leader and self.network.now >= process.paused_until:
                self._change_at(process)
                return

    def _change_at(self, process: DiskProcess) -> None:
        change = self.rng.choice(tuple(Change))
        members = self.server(process.name).members
        candidates = sorted(members.voters)
        if change is Change.ADD_LEARNER:
            candidates = self.spares
        elif change is Change.PROMOTE:
            candidates = sorted(members.learners)
        if not candidates or (change is Change.REMOVE and len(members.voters) <= 1):
            return
        name = self.rng.choice(candidates)
        if change is Change.ADD_LEARNER and name not in self.network.processes:
            self.stored[name] = PersistentState()
            self.start(name)
        self.network.do(process, partial(self._change, process, change, name))

    def _change(self, process: DiskProcess, change: Change, name: str) -> list[Any]:
        rejection, actions = self.server(process.name).change(self.network.clock(process), change, name)
        self.counts["changes"] += rejection is None
        return actions

    # Faults

    def kill(self, name: str, power_cut: bool) -> None:
        if self.network.processes[name].alive:
            self.network.kill(self.network.processes[name], power_cut)

    def restart(self, name: str) -> None:
        if not self.network.processes[name].alive and self.has_disks:
            self.start(name)

    def fail_write(self, name: str) -> None:
        self.network.processes[name].fail_next_write = True

    def pause(self, name: str, length_ms: float) -> None:
        self.network.processes[name].paused_until = self.network.now + length_ms

    def slow_disk(self, name: str, extra_ms: float) -> None:
        low, high = self.write_ms
        self.network.processes[name].write_ms = (low + extra_ms, high + extra_ms)

    def partition(self, began: float, length_ms: float, separates: Callable[[str, str], bool]) -> None:
        """Drop datagrams between some servers for a time."""
        self.network.at(began, partial(self.network.partitions.append, separates))
        self.network.at(began + length_ms, partial(self.network.partitions.remove, separates))

    def draw_sides(self, rng: random.Random, names: list[str]) -> dict[str, int]:
        """Assign each server, and each that may join, to one of two sides."""
        return {name: rng.randrange(2) for name in [*names, *self.spares]}


def _commands(state: bytes) -> list[bytes]:
    return state.split(b"\n")[:-1]


def _separated(sides: dict[str, int], one_way: bool, sender: str, receiver: str) -> bool:
    return sides[sender] < sides[receiver] if one_way else sides[sender] != sides[receiver]


def _add_fault(cluster: Cluster, rng: random.Random) -> float:
    """Schedule one fault; returns the time at which it is over."""
    network, names = cluster.network, sorted(cluster.stored)
    began, length = rng.uniform(300.0, 3500.0), rng.choice((100.0, 600.0, 1500.0, 4000.0))
    kind = rng.choice(("cut", "cut", "one_way", "kill", "power", "power", "pause", "slow", "fail", "all"))
    name = rng.choice(names)
    if kind in ("cut", "one_way"):
        sides = cluster.draw_sides(rng, names)
        cluster.partition(began, length, partial(_separated, sides, kind == "one_way"))
    elif kind in ("kill", "power", "all"):
        for other in names if kind == "all" else [name]:
            if cluster.has_disks:
                network.at(began, partial(cluster.kill, other, kind != "kill"))
                network.at(began + length, partial(cluster.restart, other))
    elif kind == "pause":
        network.at(began, partial(cluster.pause, name, length))
    elif kind == "slow":
        network.at(began, partial(cluster.slow_disk, name, 200.0))
        network.at(began + length, partial(cluster.slow_disk, name, 0.0))
    elif len(names) >= 3 and rng.random() < 0.5:  # permanent: it never sends anything again
        network.at(began, partial(cluster.fail_write, name))
    return began + length


def _add_churn(cluster: Cluster, rng: random.Random) -> float:
    """Schedule restarts, partitions and pauses that cause one election after another; returns the time of the end."""
    network = cluster.network
    at, names = rng.uniform(200.0, 800.0), sorted(cluster.stored)
    until = at + rng.choice((1500.0, 3000.0))
    while at < until:
        name, length = rng.choice(names), rng.choice((rng.uniform(1.0, 30.0), rng.uniform(10.0, 700.0)))
        kind = rng.choice(("power", "power", "kill", "cut", "pause"))
        if kind in ("power", "kill") and cluster.has_disks:
            network.at(at, partial(cluster.kill, name, kind == "power"))
            network.at(at + length, partial(cluster.restart, name))
        elif kind == "pause":
            network.at(at, partial(cluster.pause, name, length))
        else:
            sides = cluster.draw_sides(rng, names)
            cluster.partition(at, length, partial(_separated, sides, rng.random() < 0.4))
        at += rng.choice((rng.uniform(5.0, 60.0), rng.uniform(20.0, 400.0)))
    return until + 700.0


def violations(seed: int) -> list[str]:
    """Run the random schedule of that seed; returns the violated invariants."""
    return play(seed).violations


def play(seed: int) -> Cluster:
    """Run the random schedule of that seed; returns the cluster after it."""
    rng = random.Random(f"schedule {seed}")
    cluster, over = Cluster(seed), 0.0
    if rng.random() < 0.4:
        over = _add_churn(cluster, rng)
    else:
        for _ in range(rng.randint(0, 4)):
            over = max(over, _add_fault(cluster, rng))
    for _ in range(rng.choice((0, 0, 3, 8, 20))):
        cluster.network.at(rng.uniform(500.0, 4500.0), cluster.change)
    for _ in range(rng.choice((5, 20, 60, 150))):
        cluster.network.at(rng.uniform(100.0, 4500.0), cluster.request)
    cluster.network.run(max(over, 4500.0))
    _check_recovery(cluster)
    return cluster


def _check_recovery(cluster: Cluster) -> None:
    """After the last fault a command must be committed in time, unless a disk failed or state was lost."""
    network, counts = cluster.network, cluster.counts
    network.loss = min(network.loss, 0.02)
    has_failed = any(cluster.server(name).state.role is Role.FAILED for name in network.processes)
    before, until = counts["commands"], network.now + RECOVERY_MS
    while network.now < until and counts["commands"] == before and not cluster.violations:
        cluster.request()
        network.run(network.now + 100.0)
    if counts["commands"] == before and not cluster.violations and not has_failed and cluster.has_disks:
        cluster.violations.append(f"no command is committed {RECOVERY_MS:.0f} ms after the last fault")
