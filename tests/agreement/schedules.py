"""Schedules drawn from a seed, played with keepers alone, and what must hold all the time.

``problems(seed)`` plays one and returns what broke, a line each. The state is the list of applied commands, so that where
a command or a read stands in it is all that linearizability asks for: it stands behind all that ended before it began.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from sprucepost.agreement import Bounds, Held, Keeper, Members, Role, Timing
from sprucepost.agreement.words import Commit, Entry, Led, Readable, Restore, Snapshot, Unreadable, Write
from sprucepost.play.letters import Letters, Place

TICK_MS = 20.0
RECOVERED_MS = 6000.0  # after the last fault: somebody leads, and a command is settled
CHANGES = ("learn", "promote", "remove", "transfer")


class Fleet:
    """Keepers in a world, and clients that ask any of them."""

    def __init__(self, seed: int) -> None:
        self.rng = rng = random.Random(seed)
        self.disks = rng.random() < 0.7  # else a restarted keeper is another member
        self.bounds = Bounds(append=rng.choice((60, 4000)), entries=rng.choice((1, 3, 64)), appends=rng.choice((1, 4)),
                             piece=rng.choice((16, 300)), log=rng.choice((300, 3000)))  # fmt: skip
        delay = rng.choice(((0.1, 2.0), (1.0, 30.0), (1.0, 120.0)))
        self.world = Letters(seed, TICK_MS, delay, self._keep, self._told)
        self.world.lost, self.world.repeated = rng.choice((0.0, 0.02, 0.2)), rng.choice((0.0, 0.1))
        self.disk_ms = rng.choice(((0.0, 0.1), (1.0, 10.0), (5.0, 80.0)))
        self.drift = rng.choice((0.0, 0.05))
        self.timing = Timing(150.0, 30.0) if delay[1] <= 30.0 and rng.random() < 0.6 else Timing()  # many elections
        first = frozenset(f"k{n}" for n in range(rng.choice((1, 3, 3, 3, 5))))
        self.held = {name: Held(snapshot=Snapshot(0, 0, Members(first), b"")) for name in first}
        self.spares = [f"k{n}" for n in range(len(first), len(first) + 2)]
        self.applied: dict[str, list[bytes]] = {}
        self.at: dict[str, int] = {}  # by member: the index that it has applied
        self.leaders: dict[int, str] = {}
        self.settled: dict[int, Entry] = {}
        self.found: list[str] = []
        self.counts = {"commands": 0, "reads": 0, "changes": 0}
        self._asked: dict[str, dict[int, tuple[int, float, bytes]]] = {}  # by member: place -> term, begun, command
        self._reads: dict[str, dict[int, float]] = {}
        self._done: list[tuple[float, float]] = []  # operations: when they ended, where they stand
        self._ticket = 0
        for name in sorted(first):
            self.start(name)

    # What keepers do

    def start(self, name: str, held: Held | None = None) -> None:
        """A keeper's process begins with what its disk has."""
        held = held or self.held[name]
        rng = random.Random(self.rng.random())
        drift = 1.0 + self.rng.uniform(-self.drift, self.drift)
        place = Place(name, None, drift, self.disk_ms)  # type: ignore[arg-type]
        place.machine = Keeper(name, held, rng, self.world.now * drift, self.timing, self.bounds)
        self.applied[name], self.at[name] = _state(held.snapshot.state), held.snapshot.index
        self._asked[name], self._reads[name] = {}, {}
        self.world.start(place)

    def keeper(self, name: str) -> Keeper:
        machine = self.world.places[name].machine
        assert isinstance(machine, Keeper)
        return machine

    def _keep(self, name: str, write: Write) -> None:
        self.held[name] = self.held[name].after(write)

    def _told(self, place: Place, action: Any) -> None:
        name = place.name
        if isinstance(action, Led):
            if action.leader == name and self.leaders.setdefault(action.term, name) != name:
                self.found.append(f"term {action.term} has two leaders: {self.leaders[action.term]} and {name}")
        elif isinstance(action, Commit):
            for entry in action.entries:
                self._apply(name, entry)
            if (keeper := self.keeper(name)).snapshots.wanted:
                state = b"".join(command + b"\n" for command in self.applied[name])
                self.world.do(place, lambda: keeper.snapshotted(self.world.clock(place), self.at[name], state))
        elif isinstance(action, Restore):
            self._take(name, action.snapshot)
        elif isinstance(action, Readable):
            begun = self._reads[name].pop(action.ticket)
            self._ended(begun, len(self.applied[name]))
            self.counts["reads"] += 1
        elif isinstance(action, Unreadable):
            self._reads[name].pop(action.ticket, None)

    def _apply(self, name: str, entry: Entry) -> None:
        if entry.index != self.at[name] + 1:
            self.found.append(f"{name} applies {entry.index} after {self.at[name]}")
        self.at[name] = entry.index
        known = self.settled.setdefault(entry.index, entry)
        if known != entry:
            self.found.append(f"{name} settles {entry} where {known} stood")
        if entry.command is not None:
            self.applied[name].append(entry.command)
        asked = self._asked[name].pop(entry.index, None)
        if asked is not None and asked[0] == entry.term and asked[2] == entry.command:
            self._ended(asked[1], len(self.applied[name]) - 0.5)
            self.counts["commands"] += 1

    def _take(self, name: str, snapshot: Snapshot) -> None:
        self.applied[name], self.at[name] = _state(snapshot.state), snapshot.index
        commands = [self.settled[n].command for n in range(1, snapshot.index + 1) if n in self.settled]
        if [command for command in commands if command is not None] != self.applied[name]:
            self.found.append(f"{name} takes a snapshot up to {snapshot.index} that is another state")

    def _ended(self, begun: float, where: float) -> None:
        """A read that has seen so many commands, or a command half a place before the count that it makes."""
        for ended, other in self._done:
            if ended < begun and other > where:
                self.found.append(f"not linearizable: {where} begun at {begun:.0f}, {other} had ended at {ended:.0f}")
                break
        self._done.append((self.world.now, where))

    # What clients and operators do

    def ask(self) -> None:
        """A command or a read, at any member that runs; later perhaps another."""
        names = [name for name, place in self.world.places.items() if place.alive]
        if names:
            name = self.rng.choice(names)
            leads = [other for other in names if self.keeper(other).leads]
            if leads and self.rng.random() < 0.8:
                name = self.rng.choice(leads)
            place, now = self.world.places[name], self.world.now
            self._ticket += 1
            if self.rng.random() < 0.4:
                self._reads[name][self._ticket] = now
                self.world.do(place, _later(self._read, place, self._ticket))
            else:
                self.world.do(place, _later(self._propose, place, b"c%d" % self._ticket, now))

    def _read(self, place: Place, ticket: int) -> list[Any]:
        keeper = self.keeper(place.name)
        return keeper.read(self.world.clock(place), ticket)

    def _propose(self, place: Place, command: bytes, begun: float) -> list[Any]:
        where, actions = self.keeper(place.name).propose(self.world.clock(place), command)
        if where is not None:
            self._asked[place.name][where[0]] = (where[1], begun, command)
        return actions

    def change(self) -> None:
        """A change of the members, as far as somebody leads and takes it."""
        for name, place in list(self.world.places.items()):
            if place.alive and self.keeper(name).leads and self.world.now >= place.stopped_until:
                what = self.rng.choice(CHANGES)
                members = self.keeper(name).members
                those = {"learn": self.spares, "promote": sorted(members.learners)}.get(what, sorted(members.voters))
                if those and not (what == "remove" and len(members.voters) <= 1):
                    who = self.rng.choice(those)
                    if what == "learn" and who not in self.world.places:
                        self.held[who] = Held()
                        self.start(who)
                    self.world.do(place, _later(self._change, place, what, who))
                return

    def _change(self, place: Place, what: str, who: str) -> list[Any]:
        why, actions = self.keeper(place.name).change(self.world.clock(place), what, who)
        self.counts["changes"] += not why
        return actions

    # Faults

    def kill(self, name: str, power: bool) -> None:
        if self.world.places[name].alive:
            self.world.kill(self.world.places[name], power)

    def again(self, name: str) -> None:
        if not self.world.places[name].alive and self.disks:
            self.start(name)

    def fail_write(self, name: str) -> None:
        self.world.places[name].fails = True

    def stop(self, name: str, length: float) -> None:
        self.world.places[name].stopped_until = self.world.now + length

    def slow(self, name: str, by: float) -> None:
        low, high = self.disk_ms
        self.world.places[name].disk_ms = (low + by, high + by)


def _state(state: bytes) -> list[bytes]:
    return state.split(b"\n")[:-1]


def _later(call: Callable[..., Any], *arguments: Any) -> Callable[[], Any]:
    return lambda: call(*arguments)


def _fault(fleet: Fleet, rng: random.Random, over: float) -> float:
    """Put one on the world's clock; when it is over."""
    world, names = fleet.world, sorted(fleet.held)
    began, length = rng.uniform(300.0, 3500.0), rng.choice((100.0, 600.0, 1500.0, 4000.0))
    kind = rng.choice(("cut", "cut", "one_way", "kill", "power", "power", "stop", "slow", "fail", "all"))
    name = rng.choice(names)
    if kind in ("cut", "one_way"):
        side = {other: rng.randrange(2) for other in [*names, *fleet.spares]}

        def cut(a: str, b: str) -> bool:
            return side[a] != side[b] if kind == "cut" else side[a] < side[b]

        world.at(began, _later(world.cuts.append, cut))
        world.at(began + length, _later(world.cuts.remove, cut))
    elif kind in ("kill", "power", "all"):
        for other in names if kind == "all" else [name]:
            if fleet.disks:
                world.at(began, _later(fleet.kill, other, kind != "kill"))
                world.at(began + length, _later(fleet.again, other))
    elif kind == "stop":
        world.at(began, _later(fleet.stop, name, length))
    elif kind == "slow":
        world.at(began, _later(fleet.slow, name, 200.0))
        world.at(began + length, _later(fleet.slow, name, 0.0))
    elif len(names) >= 3 and rng.random() < 0.5:  # for good: it never speaks again
        world.at(began, _later(fleet.fail_write, name))
    return max(over, began + length)


def _storm(fleet: Fleet, rng: random.Random) -> float:
    """Members fall and come back all the time, links come and go, some stand still: one election after the other."""
    at, names = rng.uniform(200.0, 800.0), sorted(fleet.held)
    until = at + rng.choice((1500.0, 3000.0))
    while at < until:
        name, length = rng.choice(names), rng.choice((rng.uniform(1.0, 30.0), rng.uniform(10.0, 700.0)))
        kind = rng.choice(("power", "power", "kill", "cut", "stop"))
        if kind in ("power", "kill") and fleet.disks:
            fleet.world.at(at, _later(fleet.kill, name, kind == "power"))
            fleet.world.at(at + length, _later(fleet.again, name))
        elif kind == "stop":
            fleet.world.at(at, _later(fleet.stop, name, length))
        else:
            side = {other: rng.randrange(2) for other in [*names, *fleet.spares]}
            one_way = rng.random() < 0.4

            def cut(a: str, b: str, side: dict[str, int] = side, one_way: bool = one_way) -> bool:
                return side[a] < side[b] if one_way else side[a] != side[b]

            fleet.world.at(at, _later(fleet.world.cuts.append, cut))
            fleet.world.at(at + length, _later(fleet.world.cuts.remove, cut))
        at += rng.choice((rng.uniform(5.0, 60.0), rng.uniform(20.0, 400.0)))
    return until + 700.0


def problems(seed: int) -> list[str]:
    """Play a drawn schedule; what broke."""
    return play(seed).found


def play(seed: int) -> Fleet:
    """The same, with all that was played."""
    rng = random.Random(f"schedule {seed}")
    fleet, over = Fleet(seed), 0.0
    if rng.random() < 0.4:
        over = _storm(fleet, rng)
    else:
        for _ in range(rng.randint(0, 4)):
            over = _fault(fleet, rng, over)
    for _ in range(rng.choice((0, 0, 3, 8, 20))):
        fleet.world.at(rng.uniform(500.0, 4500.0), fleet.change)
    for _ in range(rng.choice((5, 20, 60, 150))):
        fleet.world.at(rng.uniform(100.0, 4500.0), fleet.ask)
    fleet.world.run(max(over, 4500.0))
    fleet.world.lost = min(fleet.world.lost, 0.02)
    failed = any(fleet.keeper(name).core.role is Role.DEAD for name in fleet.world.places)
    before, until = fleet.counts["commands"], fleet.world.now + RECOVERED_MS
    while fleet.world.now < until and fleet.counts["commands"] == before and not fleet.found:
        fleet.ask()
        fleet.world.run(fleet.world.now + 100.0)
    if fleet.counts["commands"] == before and not fleet.found and not failed and fleet.disks:
        fleet.found.append(f"nothing is settled {RECOVERED_MS:.0f} ms after the last fault")
    return fleet
