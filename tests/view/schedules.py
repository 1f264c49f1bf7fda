"""Random fault schedules for the view's state machine alone, and the properties that must hold after the last fault.

``problems(seed, members)`` runs one and returns each violated property as a line; a seed always gives the same
schedule.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace

from sprucepost.simulation import Process, World
from sprucepost.view import Record, View
from sprucepost.view.messages import ViewChanged
from sprucepost.view.view import MAX_REPORT_DELAY_MS, TICK_MS

SETTLE_DEADLINE_MS = 15_000.0  # guarantee: after that, all running members that reach each other hold equal records
CRASH_REPORT_DEADLINE_MS = 3000.0  # guarantee: until a killed process is away everywhere, if no other fault is on


class Fleet:
    """Members of one cluster in a simulated world; a settled view must show exactly the running ones as here."""

    def __init__(self, world: World, members: int, cluster: str = "fleet", first: int = 0, rooms: int = 3) -> None:
        self.world, self.cluster, self.rooms = world, cluster, rooms
        self.seeds = tuple(f"a{first + n}" for n in range(min(3, members)))
        self.incarnations: dict[int, int] = {}
        self.processes: dict[int, Process] = {}
        self.numbers = range(first, first + members)

    def start(self, number: int, clock_back_ms: int = 0) -> Process:
        """Start a process under that member's name; its clock is ``clock_back_ms`` behind its predecessor's."""
        incarnation = int(self.world.now) + 1_000_000 - clock_back_ms
        record = Record(
            name=f"p{number}", incarnation=incarnation, life=f"{number}-{self.world.now}-{self.world.rng.random()}",
            version=0, number=number, host=f"h{number // 2}", room=f"r{number % self.rooms}", address=f"a{number}",
        )  # fmt: skip
        rng = random.Random(self.world.rng.random())
        view = View(record, self.cluster, "settings", self.seeds, rng, self.world.now)
        process = self.processes[number] = self.world.start(f"a{number}", view, record.room)
        return process

    @property
    def living(self) -> list[Process]:
        return [process for process in self.processes.values() if process.alive]

    def unsettled(self) -> list[str]:
        """The reasons why the fleet is not settled, a line each."""
        found = []
        views = {_view(process).own_record.name: _view(process) for process in self.living}
        if len({view.digest for view in views.values()}) > 1:
            found.append(f"{len({view.digest for view in views.values()})} digests")
        for name, view in sorted(views.items()):
            if view.here != views.keys():
                found.append(f"{name} lacks {sorted(views.keys() - view.here)}, has {sorted(view.here - views.keys())}")
            if view.away & views.keys():
                found.append(f"{name} has running members as away: {sorted(view.away & views.keys())}")
            if view.is_replaced:
                found.append(f"{name} considers itself replaced")
        return found


def _deferred(call: Callable[..., object], *arguments: object) -> Callable[[], None]:
    """Bind a call to its arguments' present values."""

    def run() -> None:
        call(*arguments)

    return run


def _view(process: Process) -> View:
    assert isinstance(process.state_machine, View)
    return process.state_machine


def _draw_partition(rng: random.Random, fleet: Fleet) -> Callable[[Process, Process], bool]:
    """Draw a network partition: of a room, across rooms, of one member (both ways or one way), or with a bridge."""
    numbers = list(fleet.numbers)
    kind = rng.choice(("room", "halves", "thirds", "one", "one_way", "bridge"))
    if kind == "room":
        room = f"r{rng.randrange(fleet.rooms)}"
        side = {f"a{n}": int(f"r{n % fleet.rooms}" == room) for n in numbers}
    elif kind in ("one", "one_way"):
        one = rng.choice(numbers)
        side = {f"a{n}": int(n == one) for n in numbers}
    else:
        parts = 3 if kind == "thirds" else 2
        side = {f"a{n}": rng.randrange(parts) for n in numbers}
        if kind == "bridge":
            side[f"a{rng.choice(numbers)}"] = -1  # it reaches both sides, which do not reach each other
    towards = rng.randrange(2)

    def cut(one: Process, other: Process) -> bool:
        a, b = side.get(one.address, -1), side.get(other.address, -1)
        if -1 in (a, b) or a == b:
            return False
        return kind != "one_way" or a == towards

    return cut


class _FaultSchedule:
    """Random faults, scheduled in the simulated world; ``ends_at`` is when the last one is over."""

    def __init__(self, world: World, fleet: Fleet, rng: random.Random) -> None:
        self.world, self.fleet, self.rng = world, fleet, rng
        self.ends_at = 0.0

    def add(self) -> None:
        """Draw and schedule one more fault."""
        rng = self.rng
        kind = rng.choice(("cut", "flap", "stop", "kill", "power", "restart", "reset", "late", "deaf", "leave", "lie"))
        began, length = rng.uniform(6000, 30_000), rng.choice((300.0, 1000.0, 4000.0, 10_000.0, 25_000.0))
        number = rng.choice(list(self.fleet.numbers))
        if kind == "cut":
            self._partition(_draw_partition(rng, self.fleet), began, length)
        elif kind == "flap":
            cut, step = _draw_partition(rng, self.fleet), rng.uniform(200, 3000)
            for n in range(6):
                self._partition(cut, began + 2 * n * step, step)
        elif kind == "stop":
            self._schedule(began, length, _deferred(self._stop, number, length))
        elif kind in ("kill", "power"):
            victims = rng.sample(list(self.fleet.numbers), max(1, len(self.fleet.numbers) // rng.choice((2, 10))))
            back, restarts = rng.choice((0, 60_000)), rng.random() < 0.7
            self._schedule(began, length, _deferred(self._kill, victims, kind == "power"))
            self._schedule(began + length, 0.0, _deferred(self._restart, victims if restarts else [], back))
        elif kind == "restart":
            for n in range(10):
                self._schedule(began + 400 * n, 200, _deferred(self._kill, [number], False))
                self._schedule(began + 400 * n + 200, 0.0, _deferred(self._restart, [number], 0))
        elif kind == "reset":
            self._schedule(began, 0.0, _deferred(self.world.reset, 0.3))
        elif kind in ("late", "deaf"):
            attribute, value, normal = ("lag_ms", 900.0, 0.0) if kind == "late" else ("cannot_dial", True, False)
            self._schedule(began, length, _deferred(self._set_attribute, number, attribute, value))
            self._schedule(began + length, 0.0, _deferred(self._set_attribute, number, attribute, normal))
        elif kind == "leave":
            self._schedule(began, 500.0, _deferred(self._leave, number))
        else:
            self._schedule(began, 0.0, _deferred(self._publish_false_record, number))

    def _schedule(self, began: float, length: float, begin: Callable[[], None]) -> None:
        self.world.at(began, begin)
        self.ends_at = max(self.ends_at, began + length)

    def _partition(self, cut: Callable[[Process, Process], bool], began: float, length: float) -> None:
        self._schedule(began, length, _deferred(self.world.partitions.append, cut))
        self.world.at(began + length, _deferred(self.world.partitions.remove, cut))

    def _stop(self, number: int, length: float) -> None:
        self.world.pause(self.fleet.processes[number], length)

    def _kill(self, numbers: list[int], silently: bool) -> None:
        for number in numbers:
            if self.fleet.processes[number].alive:
                self.world.kill(self.fleet.processes[number], silently)

    def _restart(self, numbers: list[int], back: int) -> None:
        for number in numbers:
            if not self.fleet.processes[number].alive:
                self.fleet.start(number, back)

    def _set_attribute(self, number: int, attribute: str, value: object) -> None:
        setattr(self.fleet.processes[number], attribute, value)

    def _leave(self, number: int) -> None:
        process = self.fleet.processes[number]
        if process.alive and self.world.now >= process.paused_until:
            self.world.do(process, _view(process).leave)
            self.world.at(self.world.now + 300, _deferred(self._kill, [number], False))

    def _publish_false_record(self, number: int) -> None:
        """Make a member publish a record of another member that the latter has never written."""
        view = _view(self.fleet.processes[number])
        others = [name for name in view.records if name != view.own_record.name]
        if others:
            held = view.records[self.rng.choice(others)]
            view._store(self.world.now, replace(held, version=held.version + 7, number=999, left=True), None)


def problems(seed: int, members: int) -> list[str]:
    """Run the random schedule of that seed; returns the violated properties."""
    rng = random.Random(seed)
    world = World(seed, TICK_MS, rng.choice(((0.2, 2.0), (1.0, 60.0), (5.0, 200.0))))
    world.duplication = rng.choice((0.0, 0.2))
    fleet = Fleet(world, members, rooms=rng.choice((1, 2, 3)))
    others = Fleet(world, 2, "another", first=900)
    others.seeds = fleet.seeds  # as if an operator had copied a settings file to another fleet
    for number in fleet.numbers:
        world.at(rng.uniform(0, rng.choice((1.0, 5000.0))), _deferred(fleet.start, number))
    for number in others.numbers:
        world.at(1000.0, _deferred(others.start, number))
    faults = _FaultSchedule(world, fleet, rng)
    for _ in range(rng.randint(1, 5)):
        faults.add()
    world.run(faults.ends_at + SETTLE_DEADLINE_MS)
    found = [f"not settled after {SETTLE_DEADLINE_MS:.0f} ms: {line}" for line in fleet.unsettled()]
    for process in fleet.living:
        foreign = {name for name in _view(process).records if int(name[1:]) >= 900}
        if foreign:
            found.append(f"{process.address} has members of another fleet: {sorted(foreign)}")
    if not found and len(fleet.living) > 2:
        found += _check_crash(world, fleet, rng) or _check_unreliable_links(world, fleet, rng)
    return found


def _check_crash(world: World, fleet: Fleet, rng: random.Random) -> list[str]:
    """Kill some processes of a settled fleet at once: the others must report just these, in time and as one change."""
    ended = rng.sample(fleet.living, rng.randint(1, max(1, len(fleet.living) // 5)))
    names, began = {_view(process).own_record.name for process in ended}, world.now
    living = {_view(process).own_record.name for process in fleet.living}
    for process in ended:
        world.kill(process)
    world.run(began + CRASH_REPORT_DEADLINE_MS)
    found = []
    for process in fleet.living:
        reported = [
            what.away & living
            for moment, what in process.notifications
            if moment > began and isinstance(what, ViewChanged)
        ]
        if reported != [names]:
            found.append(
                f"{process.address} reported {[sorted(away) for away in reported]} as away, not {sorted(names)}"
            )
    return found


def _check_unreliable_links(world: World, fleet: Fleet, rng: random.Random) -> list[str]:
    """Break streams, delay messages and stall processes for a second: no running member may be reported as away."""
    began, living = world.now, {_view(process).own_record.name for process in fleet.living}
    for second in range(10):
        world.at(began + 1000 * second, _deferred(world.reset, 0.05))
    for _ in range(3):
        process = rng.choice(fleet.living)
        world.at(began + rng.uniform(0, 8000), _deferred(world.pause, process, 1000.0))
    world.run(began + 12_000)
    for process in fleet.living:
        for moment, change in process.notifications:
            if moment > began + MAX_REPORT_DELAY_MS and isinstance(change, ViewChanged) and change.away & living:
                return [f"{process.address} reported running members as away: {sorted(change.away & living)}"]
    return []
