"""Schedules drawn from a seed, played with the view's state machine alone, and what must hold after the last fault.

``problems(seed, members)`` plays one and returns what broke, a line each; the same seed plays the same schedule.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace

from sprucepost.play import Process, World
from sprucepost.view import Record, View
from sprucepost.view.messages import ViewChanged
from sprucepost.view.view import MAX_REPORT_DELAY_MS, TICK_MS

SETTLED_MS = 15_000.0  # promised: after that, all that live and reach each other hold the same
KNOWN_MS = 3000.0  # promised: a process that ended is away everywhere by then, where nothing else goes on


class Fleet:
    """Members of one cluster in a world; ``names`` of the living are what a settled view must show."""

    def __init__(self, world: World, members: int, cluster: str = "fleet", first: int = 0, rooms: int = 3) -> None:
        self.world, self.cluster, self.rooms = world, cluster, rooms
        self.seeds = tuple(f"a{first + n}" for n in range(min(3, members)))
        self.incarnations: dict[int, int] = {}
        self.processes: dict[int, Process] = {}
        self.numbers = range(first, first + members)

    def start(self, number: int, back_ms: int = 0) -> Process:
        """A process under that name; ``back_ms``: its clock is so far behind its predecessor's."""
        incarnation = int(self.world.now) + 1_000_000 - back_ms
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
        """What keeps it from being settled."""
        found = []
        views = {_view(process).own_record.name: _view(process) for process in self.living}
        if len({view.digest for view in views.values()}) > 1:
            found.append(f"{len({view.digest for view in views.values()})} digests")
        for name, view in sorted(views.items()):
            if view.here != views.keys():
                found.append(f"{name} lacks {sorted(views.keys() - view.here)}, has {sorted(view.here - views.keys())}")
            if view.away & views.keys():
                found.append(f"{name} has living ones as away: {sorted(view.away & views.keys())}")
            if view.is_replaced:
                found.append(f"{name} thinks that it is replaced")
        return found


def _later(call: Callable[..., object], *arguments: object) -> Callable[[], None]:
    """That call with those arguments, as they are now."""

    def run() -> None:
        call(*arguments)

    return run


def _view(process: Process) -> View:
    assert isinstance(process.machine, View)
    return process.machine


def _cut(rng: random.Random, fleet: Fleet) -> Callable[[Process, Process], bool]:
    """A cut between sets of members: by room, across rooms or of one, both ways or one way, or a bridge."""
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
            side[f"a{rng.choice(numbers)}"] = -1  # it sees both sides, and they do not see each other
    towards = rng.randrange(2)

    def cut(one: Process, other: Process) -> bool:
        a, b = side.get(one.address, -1), side.get(other.address, -1)
        if -1 in (a, b) or a == b:
            return False
        return kind != "one_way" or a == towards

    return cut


class _Drawn:
    """Faults drawn and put on the world's clock; ``over`` is when the last one is."""

    def __init__(self, world: World, fleet: Fleet, rng: random.Random) -> None:
        self.world, self.fleet, self.rng = world, fleet, rng
        self.over = 0.0

    def add(self) -> None:
        """One more."""
        rng = self.rng
        kind = rng.choice(("cut", "flap", "stop", "kill", "power", "restart", "reset", "late", "deaf", "leave", "lie"))
        began, length = rng.uniform(6000, 30_000), rng.choice((300.0, 1000.0, 4000.0, 10_000.0, 25_000.0))
        number = rng.choice(list(self.fleet.numbers))
        if kind == "cut":
            self._cut_off(_cut(rng, self.fleet), began, length)
        elif kind == "flap":
            cut, step = _cut(rng, self.fleet), rng.uniform(200, 3000)
            for n in range(6):
                self._cut_off(cut, began + 2 * n * step, step)
        elif kind == "stop":
            self._fault(began, length, _later(self._stop, number, length))
        elif kind in ("kill", "power"):
            those = rng.sample(list(self.fleet.numbers), max(1, len(self.fleet.numbers) // rng.choice((2, 10))))
            back, comes = rng.choice((0, 60_000)), rng.random() < 0.7
            self._fault(began, length, _later(self._kill, those, kind == "power"))
            self._fault(began + length, 0.0, _later(self._again, those if comes else [], back))
        elif kind == "restart":
            for n in range(10):
                self._fault(began + 400 * n, 200, _later(self._kill, [number], False))
                self._fault(began + 400 * n + 200, 0.0, _later(self._again, [number], 0))
        elif kind == "reset":
            self._fault(began, 0.0, _later(self.world.reset, 0.3))
        elif kind in ("late", "deaf"):
            attribute, value, usual = ("lag_ms", 900.0, 0.0) if kind == "late" else ("deaf", True, False)
            self._fault(began, length, _later(self._be, number, attribute, value))
            self._fault(began + length, 0.0, _later(self._be, number, attribute, usual))
        elif kind == "leave":
            self._fault(began, 500.0, _later(self._leave, number))
        else:
            self._fault(began, 0.0, _later(self._lie, number))

    def _fault(self, began: float, length: float, begin: Callable[[], None]) -> None:
        self.world.at(began, begin)
        self.over = max(self.over, began + length)

    def _cut_off(self, cut: Callable[[Process, Process], bool], began: float, length: float) -> None:
        self._fault(began, length, _later(self.world.cuts.append, cut))
        self.world.at(began + length, _later(self.world.cuts.remove, cut))

    def _stop(self, number: int, length: float) -> None:
        self.world.stop(self.fleet.processes[number], length)

    def _kill(self, numbers: list[int], silently: bool) -> None:
        for number in numbers:
            if self.fleet.processes[number].alive:
                self.world.kill(self.fleet.processes[number], silently)

    def _again(self, numbers: list[int], back: int) -> None:
        for number in numbers:
            if not self.fleet.processes[number].alive:
                self.fleet.start(number, back)

    def _be(self, number: int, attribute: str, value: object) -> None:
        setattr(self.fleet.processes[number], attribute, value)

    def _leave(self, number: int) -> None:
        process = self.fleet.processes[number]
        if process.alive and self.world.now >= process.stopped_until:
            self.world.do(process, _view(process).leave)
            self.world.at(self.world.now + 300, _later(self._kill, [number], False))

    def _lie(self, number: int) -> None:
        """It says something of another that this one has never said."""
        view = _view(self.fleet.processes[number])
        others = [name for name in view.records if name != view.own_record.name]
        if others:
            held = view.records[self.rng.choice(others)]
            view._set(self.world.now, replace(held, version=held.version + 7, number=999, left=True), None)


def problems(seed: int, members: int) -> list[str]:
    """Play a drawn schedule; what broke."""
    rng = random.Random(seed)
    world = World(seed, TICK_MS, rng.choice(((0.2, 2.0), (1.0, 60.0), (5.0, 200.0))))
    world.repeats = rng.choice((0.0, 0.2))
    fleet = Fleet(world, members, rooms=rng.choice((1, 2, 3)))
    others = Fleet(world, 2, "another", first=900)
    others.seeds = fleet.seeds  # somebody has copied a file of settings
    for number in fleet.numbers:
        world.at(rng.uniform(0, rng.choice((1.0, 5000.0))), _later(fleet.start, number))
    for number in others.numbers:
        world.at(1000.0, _later(others.start, number))
    drawn = _Drawn(world, fleet, rng)
    for _ in range(rng.randint(1, 5)):
        drawn.add()
    world.run(drawn.over + SETTLED_MS)
    found = [f"not settled after {SETTLED_MS:.0f} ms: {line}" for line in fleet.unsettled()]
    for process in fleet.living:
        strange = {name for name in _view(process).records if int(name[1:]) >= 900}
        if strange:
            found.append(f"{process.address} has members of another fleet: {sorted(strange)}")
    if not found and len(fleet.living) > 2:
        found += _crash(world, fleet, rng) or _rough(world, fleet, rng)
    return found


def _crash(world: World, fleet: Fleet, rng: random.Random) -> list[str]:
    """In a settled fleet some processes end at once: the others know in time and tell it in one step, and nobody else."""
    ended = rng.sample(fleet.living, rng.randint(1, max(1, len(fleet.living) // 5)))
    names, began = {_view(process).own_record.name for process in ended}, world.now
    living = {_view(process).own_record.name for process in fleet.living}
    for process in ended:
        world.kill(process)
    world.run(began + KNOWN_MS)
    found = []
    for process in fleet.living:
        told = [what.away & living for moment, what in process.told if moment > began and isinstance(what, ViewChanged)]
        if told != [names]:
            found.append(f"{process.address} told {[sorted(away) for away in told]} for {sorted(names)}")
    return found


def _rough(world: World, fleet: Fleet, rng: random.Random) -> list[str]:
    """Streams break, words are late, processes stand still for a second: nobody who lives is told as away."""
    began, living = world.now, {_view(process).own_record.name for process in fleet.living}
    for second in range(10):
        world.at(began + 1000 * second, _later(world.reset, 0.05))
    for _ in range(3):
        process = rng.choice(fleet.living)
        world.at(began + rng.uniform(0, 8000), _later(world.stop, process, 1000.0))
    world.run(began + 12_000)
    for process in fleet.living:
        for moment, told in process.told:
            if moment > began + MAX_REPORT_DELAY_MS and isinstance(told, ViewChanged) and told.away & living:
                return [f"{process.address} told living ones as away: {sorted(told.away & living)}"]
    return []
