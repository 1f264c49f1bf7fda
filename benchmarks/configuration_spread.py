"""Measure how fast a configuration change reaches all members, and what it costs.

``python -m benchmarks.configuration_spread [MEMBERS] [CHANGES] [SEED]`` (350, 100, 1).

350 members (two regions, five zones) on the view's rings, in virtual time: 5 to 50 ms a hop, 100 ms more between regions,
heartbeats every 2 s. First a fleet without faults, then one in which at each change one in twenty streams breaks for 1 to
2 s. Also measures the CPU time of one replica with a real deployment's settings and validator (230 tenants, 12 classes).
"""

from __future__ import annotations

import random
import sys
import time
from collections.abc import Callable, Iterator
from statistics import quantiles

import msgspec

from sprucepost.configuration import (
    Change,
    ChangeableKeys,
    ConfigurationReplica,
    Edit,
    KeyEdit,
    Limits,
    Position,
    Problem,
    ProblemKind,
    Proposal,
)
from sprucepost.configuration.document import Settings, Value, canonical_json, expand, flatten
from sprucepost.configuration.messages import Changes, Digest, Message, Send
from sprucepost.settings import Cluster
from sprucepost.simulation.event_queue import EventQueue
from sprucepost.view import Record
from sprucepost.view.rings import ring_successors

HOP_MS, BETWEEN_REGIONS_MS = (5.0, 50.0), 100.0
HEARTBEAT_MS = 2000.0
BETWEEN_CHANGES_MS = 4000.0
BROKEN_SHARE, BROKEN_MS = 0.05, (1000.0, 2000.0)
CHANGES_A_DAY = 640
LATE_PLACES = 150  # about as many changes as the history window holds at the peak of a day
CHANGEABLE = ChangeableKeys(("cluster",))
UNLIMITED_PROPOSALS = Limits(proposals_burst=1e9)


def deployment() -> dict[str, Value]:
    """Return settings of the planned size."""
    shape = {"deadline_ms": 9000, "effect": "safe", "worth": 1.0, "late_worth": 0.1, "spread": "zone", "most": 3}
    document = {
        "zones": [f"z{n}" for n in range(5)],
        "kinds": [{"name": f"k{n}", "cores": 64, "memory": 256} for n in range(3)],
        "classes": [{"name": f"class{n}", "aim_ms": 2300, **shape} for n in range(12)],
        "tenants": [{"name": f"team{n}", "share": 1.0 + n, "quota_cores": 100 + n} for n in range(230)],
        "max_attempts": 3, "accepts_cores": 1.5, "accepts_memory": 1.0, "cold_bears": 30, "fall_ms": 500,
        "warm_after_ms": 1000, "drain_grace_ms": 0, "list_ask_every_ms": 1000,
    }  # fmt: skip
    return flatten({"cluster": document})


def validator(settings: Settings) -> list[Problem]:
    try:
        cluster = msgspec.convert(expand(settings)["cluster"], Cluster)
    except msgspec.ValidationError as error:
        return [Problem(ProblemKind.INVALID, "cluster", f"cluster: {error}")]
    return [Problem(ProblemKind.INVALID, line.partition(":")[0], line) for line in cluster.problems()]


class Spread(EventQueue):
    """Members and the streams between them; ``known`` has the times at which each change reached each member."""

    def __init__(self, members: int, seed: int) -> None:
        super().__init__()
        self.rng = random.Random(seed)
        records = [Record(f"p{n}", 1, f"l{n}", 0, n, f"h{n // 2}", f"z{n % 5}", f"a{n}") for n in range(members)]
        self.region = {record.name: int(record.room in ("z3", "z4")) for record in records}
        self.replicas = {record.name: self._replica(record.name) for record in records}
        self.names = [record.name for record in records]
        self.links: dict[tuple[str, str], float] = {}  # latency in ms by direction
        self.broken: set[frozenset[str]] = set()
        self.known: dict[Position, dict[str, float]] = {}
        self.messages = self.bytes = self.heartbeats = 0
        self._last: dict[tuple[str, str], float] = {}
        for record in records:
            for other in ring_successors(record, records):
                self._link(record.name, other)
        for name in self.names:
            self.at(self.rng.uniform(0, HEARTBEAT_MS), lambda name=name: self._send_heartbeats(name))  # type: ignore[misc]

    def _replica(self, name: str) -> ConfigurationReplica:
        return ConfigurationReplica(name, {"cluster.a": 0}, lambda settings: [], CHANGEABLE, 0.0, UNLIMITED_PROPOSALS)

    def _link(self, one: str, other: str) -> None:
        latency = self.rng.uniform(*HOP_MS) + BETWEEN_REGIONS_MS * (self.region[one] != self.region[other])
        self.links[one, other] = self.links[other, one] = latency

    def connect_all(self) -> None:
        for one, other in list(self.links):
            self.replicas[one].connected(self.now, self._peer_number(other))
        for name in self.names:
            self._deliver_outputs(name)

    def propose(self, name: str, key: str, value: Value) -> Position:
        proposal = Proposal((KeyEdit(key, value),), "ann")
        receipt = self.replicas[name].propose(self.now, proposal)
        assert receipt.position is not None, receipt.refusal
        self.known[receipt.position] = {name: self.now}
        self._deliver_outputs(name)
        return receipt.position

    def break_random_streams(self) -> None:
        """Break random streams, with the messages in flight on them; they reconnect later."""
        for link in sorted({tuple(sorted(link)) for link in self.links}):
            pair = frozenset(link)
            if pair not in self.broken and self.rng.random() < BROKEN_SHARE:
                self.broken.add(pair)
                self._both_ends(pair, ConfigurationReplica.disconnected)
                self.at(self.now + self.rng.uniform(*BROKEN_MS), lambda pair=pair: self._reconnect(pair))  # type: ignore[misc]

    def _reconnect(self, pair: frozenset[str]) -> None:
        self.broken.discard(pair)
        self._both_ends(pair, ConfigurationReplica.connected)

    def _both_ends(self, pair: frozenset[str], call: Callable[[ConfigurationReplica, float, int], None]) -> None:
        one, other = sorted(pair)
        for name, peer in ((one, other), (other, one)):
            call(self.replicas[name], self.now, self._peer_number(peer))
            self._deliver_outputs(name)

    def _peer_number(self, name: str) -> int:
        return int(name[1:])

    def _send_heartbeats(self, name: str) -> None:
        replica = self.replicas[name]
        replica.tick(self.now)
        for one, other in self.links:
            if one == name:
                self.heartbeats += 1
                self._send(name, other, replica.digest)
        self._deliver_outputs(name)
        self.at(self.now + HEARTBEAT_MS, lambda: self._send_heartbeats(name))

    def _deliver_outputs(self, name: str) -> None:
        for output in self.replicas[name].take_outputs():
            if isinstance(output, Send):
                self.messages += 1
                if isinstance(output.message, Changes):
                    self.bytes += sum(change.size for change in output.message.changes)
                self._send(name, f"p{output.peer}", output.message)

    def _send(self, sender: str, receiver: str, message: Message) -> None:
        if frozenset((sender, receiver)) in self.broken:
            return
        arrives = max(self._last.get((sender, receiver), 0.0), self.now + self.links[sender, receiver])
        self._last[sender, receiver] = arrives
        self.at(arrives, lambda: self._arrive(sender, receiver, message))

    def _arrive(self, sender: str, receiver: str, message: Message) -> None:
        if frozenset((sender, receiver)) in self.broken:
            return
        self.replicas[receiver].received(self.now, self._peer_number(sender), message)
        if isinstance(message, Changes):
            for change in message.changes:
                self.known.get(change.position, {}).setdefault(receiver, self.now)
        self._deliver_outputs(receiver)


def spread(members: int, changes: int, seed: int, faulty: bool) -> None:
    fleet = Spread(members, seed)
    fleet.connect_all()
    fleet.run(2 * HEARTBEAT_MS)
    first = fleet.propose("p0", "cluster.a", -1)
    fleet.run(fleet.now + 5000)
    del fleet.known[first]
    messages, size = fleet.messages, fleet.bytes
    for number in range(changes):
        if faulty:
            fleet.break_random_streams()
        fleet.propose(fleet.rng.choice(fleet.names), "cluster.a", number)
        fleet.run(fleet.now + BETWEEN_CHANGES_MS)
    fleet.run(fleet.now + 10_000)
    until_all, until_one = [], []
    for position, known in fleet.known.items():
        assert len(known) == members, f"{position} reached only {len(known)} members"
        began = min(known.values())
        until_all.append(max(known.values()) - began)
        until_one += [moment - began for moment in known.values()]
    versions = {replica.version for replica in fleet.replicas.values()}
    degree = len(fleet.links) / members
    print(
        f"{members} members, {degree:.1f} streams each, {changes} changes, {'streams break' if faulty else 'no faults'}:"
    )
    print(
        f"  until a member has a change: p50 {_percentile(until_one, 50):.0f} ms, p99 {_percentile(until_one, 99):.0f} ms"
    )
    print(
        f"  until all have it: p50 {_percentile(until_all, 50):.0f} ms, p99 {_percentile(until_all, 99):.0f} ms, "
        f"worst {max(until_all):.0f} ms"
    )
    each = changes * members
    sent, size = (fleet.messages - messages) / each, (fleet.bytes - size) / each
    print(f"  for each change and member: {sent:.1f} messages, {size:.0f} bytes of changes")
    print(f"  versions at the end: {len(versions)}")


def _percentile(values: list[float], percent: int) -> float:
    return quantiles(values, n=100, method="inclusive")[percent - 1]


def _changes(count: int) -> Iterator[Change]:
    yield Change(Position(1, "p0"), "ann", "", 0.0, tuple(Edit(k, v) for k, v in sorted(deployment().items())), True)
    for number in range(count):
        edit = Edit(f"cluster.tenants[team{number % 230}].quota_cores", 200 + number)
        yield Change(Position(number + 2, "p0"), "ann", "", 0.0, (edit,))


def cost() -> None:
    """Print the CPU time of one replica with a real deployment's settings."""
    settings = deployment()
    changes = list(_changes(CHANGES_A_DAY))
    replica = ConfigurationReplica("p1", settings, validator, CHANGEABLE, 0.0, UNLIMITED_PROPOSALS)
    for peer in range(12):
        replica.connected(0.0, peer)
        replica.received(0.0, peer, Digest(0, 0))
    spent = []
    for change in changes:
        began = time.process_time()
        replica.received(0.0, 1, Changes((change,)))
        replica.take_outputs()
        spent.append((time.process_time() - began) * 1000)
    print(f"{len(settings)} keys, {sum(len(k) + len(canonical_json(v)) for k, v in settings.items())} bytes, 12 peers:")
    a_day_s = sum(spent[1:]) / 1000
    print(f"  a change: {1000 * a_day_s / CHANGES_A_DAY:.2f} ms of CPU; {CHANGES_A_DAY} a day: {a_day_s:.1f} s")
    late = Change(Position(CHANGES_A_DAY - LATE_PLACES, "zz"), "bob", "", 0.0, (Edit("cluster.max_attempts", 4),))
    began = time.process_time()
    replica.received(0.0, 1, Changes((late,)))
    print(f"  a change that arrives {LATE_PLACES} places late: {(time.process_time() - began) * 1000:.0f} ms of CPU")
    digests = 12 * 1000
    began = time.process_time()
    for _ in range(digests):
        replica.received(0.0, 1, replica.digest)
    print(
        f"  a heartbeat's digest, out and in: {(time.process_time() - began) * 1e6 / digests:.1f} us of CPU, 16 bytes"
    )
    live = sum(change.size for change in changes)
    print(f"  stored changes of a day: {live} bytes")


def main() -> None:
    members = int(sys.argv[1]) if len(sys.argv) > 1 else 350
    changes = int(sys.argv[2]) if len(sys.argv) > 2 else 100
    seed = int(sys.argv[3]) if len(sys.argv) > 3 else 1
    spread(members, changes, seed, faulty=False)
    spread(members, changes, seed, faulty=True)
    cost()


if __name__ == "__main__":
    main()
