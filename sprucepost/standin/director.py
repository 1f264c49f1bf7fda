"""Plays the faults of a scenario: which machines they meet is drawn from the day's seed; the stage carries them out."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any, Protocol

from sprucepost.loop import Co, Loop, Scope, Task, sleep
from sprucepost.standin.scenario import Fault, Scenario


class Stage(Protocol):
    """What a director can do to a running fleet, whether of processes or of a simulation."""

    def field(self, order: str, /, **arguments: Any) -> Co[Any]:
        """An order to the machines."""
        ...

    def listing(self, order: str, /, **arguments: Any) -> Co[Any]:
        """An order to the list."""
        ...

    def tap(self, order: str, /, **arguments: Any) -> Co[Any]:
        """An order to the relay."""
        ...

    def owners(self, order: str, /, **arguments: Any) -> Co[Any]:
        """An order to the owners."""
        ...

    def add_machine(self, model: dict[str, Any], cold: bool) -> Co[None]:
        """A machine joins, behind the relay, and the list hears of it."""
        ...

    def kill_placer(self, number: int) -> None: ...
    def term_placer(self, number: int) -> None:
        """Ask it to stop, and wait for nothing."""
        ...

    def start_placer(self, number: int) -> Co[None]: ...
    def stall_placer(self, number: int, stalled: bool) -> None: ...
    def limit_descriptors(self, number: int, limited: bool) -> None:
        """No new descriptor for that placer's process, or as many as before."""
        ...

    def step_clock(self, number: int, by_ms: float) -> None:
        """The wall clock of that placer's host is off by so much from now on."""
        ...

    def start_twin(self, number: int) -> Co[None]:
        """A second process with that placer's number."""
        ...

    def stop_twin(self, number: int) -> None: ...
    def resize(self, size: int, lead_ms: float, overlap_ms: float, told: int = 0) -> Co[None]:
        """Another number of placers, by an announced generation; returns when the new ones run. ``told``: so many of the
        old ones are told, 0 for all."""
        ...

    def note(self, what: str, **more: Any) -> None:
        """Something happened, for the run's own record."""
        ...


class Director:
    """One day's faults."""

    def __init__(self, loop: Loop, scenario: Scenario, stage: Stage) -> None:
        self.loop, self.scenario, self.stage = loop, scenario, stage
        self.machines: dict[str, dict[str, Any]] = {}  # those that are meant to be up
        self._next = 0
        self._playing: list[Task[None]] = []
        self._kinds: dict[str, Callable[[Fault, int], Co[None]]] = {
            "crash": self._crash, "vanish": self._vanish, "slow": self._slow, "ageing": self._ageing,
            "class_fail": self._class_fail, "answer_lost": self._answer_lost, "balancer_stall": self._stall,
            "burst": self._burst, "hot_key": self._hot_key, "heavy_tail": self._heavy_tail, "zone_cut": self._zone_cut,
            "deploy": self._deploy, "shrink": self._shrink, "grow": self._grow, "discovery_down": self._list_down,
            "discovery_stale": self._list_stale, "reconnect": self._reconnect, "placer_kill": self._placer_kill,
            "ask_twice": self._ask_twice, "reset": self._reset, "list_empty": self._list_empty,
            "list_back": self._list_back, "list_gone": self._list_gone,
            "one_way_cut": self._one_way_cut, "slow_link": self._slow_link, "descriptors": self._descriptors,
            "clock_step": self._clock_step, "same_number": self._same_number, "placer_stop": self._placer_stop,
            "resize": self._resize, "peer_cut": self._peer_cut, "peer_flap": self._peer_flap,
            "peer_slow": self._peer_slow, "peer_reset": self._peer_reset, "placer_crowd": self._placer_crowd,
        }  # fmt: skip
        self._hit: set[str] = set()  # machines that a fault has taken down or is about to
        self._away: set[int] = set()  # placers that are not up

    def setup(self) -> Co[None]:
        """The machines of the start."""
        yield from self.stage.tap("latency", same_ms=self.scenario.same_ms, cross_ms=self.scenario.cross_ms)
        for _ in range(self.scenario.fleet.machines):
            yield from self._add(cold=False)

    def play(self, scope: Scope) -> None:
        """Start the clock of all faults."""
        for number, fault in enumerate(self.scenario.faults):
            self._playing.append(scope.spawn(self._at(fault, number), f"fault {number} {fault.kind}"))

    def over(self) -> Co[None]:
        """Until every fault has been lifted."""
        while not all(task.done for task in self._playing):
            yield from sleep(50.0)

    def _at(self, fault: Fault, number: int) -> Co[None]:
        yield from sleep(fault.at_s * 1000.0)
        self.stage.note("fault", kind=fault.kind, len_s=fault.len_s, part=fault.part, size=fault.size)
        yield from self._kinds[fault.kind](fault, number)
        self.stage.note("fault_over", kind=fault.kind)

    def _add(self, cold: bool) -> Co[str]:
        model = self.scenario.machine(self._next)
        self._next += 1
        self.machines[model["name"]] = model
        yield from self.stage.add_machine(model, cold)
        return str(model["name"])

    def _some(self, fault: Fault, number: int, share: float | None = None) -> list[str]:
        """The machines that a fault meets: a share of those up, of its room where it names one."""
        rng = self.scenario.rng(f"fault {number}")
        up = [
            name
            for name, model in self.machines.items()
            if fault.zone in (None, model["zone"]) and name not in self._hit
        ]
        return rng.sample(up, min(len(up), max(1, round((fault.part if share is None else share) * len(up)))))

    def _down(self, fault: Fault, number: int, share: float | None = None) -> list[str]:
        """The same for a fault that takes machines down: none that another one has in hand. One machine at least stays."""
        some = self._some(fault, number, share)[: max(0, len(self.machines) - len(self._hit) - 1)]
        self._hit.update(some)
        return some

    def _crash(self, fault: Fault, number: int) -> Co[None]:
        some = self._down(fault, number)
        for name in some:
            yield from self.stage.field("crash", machine=name)
        yield from sleep(fault.len_s * 1000.0)
        for name in some:
            yield from self._up_again(name)

    def _up_again(self, name: str) -> Co[None]:
        self._hit.discard(name)
        if name in self.machines:
            told = yield from self.stage.field("up", machine=name)
            if "moved" in told:
                yield from self.stage.tap("add", name=name, target=told["moved"], zone=self.machines[name]["zone"])

    def _vanish(self, fault: Fault, number: int) -> Co[None]:
        some = self._down(fault, number)
        for name in some:
            yield from self.stage.tap("set", name=f"vanish {name}", target=name, hold=True)
            yield from self.stage.field("mute", machine=name)
        yield from sleep(fault.len_s * 1000.0)
        for name in some:
            yield from self.stage.field("crash", machine=name)
            yield from self.stage.tap("blow", kind="reset", target=name)
            yield from self.stage.tap("lift", name=f"vanish {name}")
            yield from self._up_again(name)

    def _slow(self, fault: Fault, number: int) -> Co[None]:
        some = self._some(fault, number)
        for name in some:
            yield from self.stage.field("set", machine=name, slow=max(1.0, fault.size))
        yield from sleep(fault.len_s * 1000.0)
        for name in some:
            yield from self.stage.field("set", machine=name, slow=1.0)

    def _ageing(self, fault: Fault, number: int) -> Co[None]:
        some = self._down(fault, number)
        steps = 10
        for step in range(1, steps + 1):
            slow = max(1.0, fault.size) ** (step / steps)
            for name in some:
                yield from self.stage.field("set", machine=name, slow=slow)
            yield from sleep(fault.len_s * 1000.0 / steps)
        for name in some:
            yield from self.stage.field("crash", machine=name)
        yield from sleep(max(1.0, fault.extra) * 1000.0)
        for name in some:
            yield from self._up_again(name)

    def _class_fail(self, fault: Fault, number: int) -> Co[None]:
        cls = fault.task_class or self.scenario.rng(f"class {number}").choice(sorted(self.scenario.traffic.shares))
        some = self._some(fault, number)
        for name in some:
            yield from self.stage.field("set", machine=name, deaf_class=cls)
        yield from sleep(fault.len_s * 1000.0)
        for name in some:
            yield from self.stage.field("set", machine=name, deaf_class="")

    def _answer_lost(self, fault: Fault, number: int) -> Co[None]:
        some = self._some(fault, number)
        for name in some:
            yield from self.stage.field("set", machine=name, answer_loss=min(1.0, fault.size))
        yield from sleep(fault.len_s * 1000.0)
        for name in some:
            yield from self.stage.field("set", machine=name, answer_loss=0.0)

    def _placers(self, fault: Fault, number: int) -> list[int]:
        """The placers that a fault meets, of those that are up."""
        rng = self.scenario.rng(f"fault {number}")
        up = [placer for placer in range(self.scenario.placers) if placer not in self._away]
        return rng.sample(up, min(len(up), max(1, round(fault.part * self.scenario.placers))))

    def _stall(self, fault: Fault, number: int) -> Co[None]:
        """``size``: ms that each stall lasts; ``extra``: seconds between two, 0 for a single one."""
        some = self._placers(fault, number)
        until = self.loop.now() + fault.len_s * 1000.0
        while True:
            met = [placer for placer in some if placer not in self._away]
            for placer in met:
                self.stage.stall_placer(placer, True)
            yield from sleep(fault.size)
            for placer in met:
                self.stage.stall_placer(placer, False)
            if not fault.extra or self.loop.now() + fault.extra * 1000.0 >= until:
                return
            yield from sleep(fault.extra * 1000.0)

    def _burst(self, fault: Fault, number: int) -> Co[None]:
        yield from self.stage.owners("rate", factor=fault.size)
        yield from sleep(fault.len_s * 1000.0)
        yield from self.stage.owners("rate", factor=1.0)

    def _ask_twice(self, fault: Fault, number: int) -> Co[None]:
        yield from self.stage.owners("twice", part=fault.part)
        yield from sleep(fault.len_s * 1000.0)
        yield from self.stage.owners("twice", part=0.0)

    def _use(self, fault: Fault, what: list[str]) -> Co[None]:
        for name in what:
            yield from self.stage.field("use", what=name, factor=fault.size)
        yield from sleep(fault.len_s * 1000.0)
        for name in what:
            yield from self.stage.field("use", what=name, factor=1.0)

    def _hot_key(self, fault: Fault, number: int) -> Co[None]:
        names = [service["name"] for service in self.scenario.services()]
        rng = self.scenario.rng(f"fault {number}")
        yield from self._use(fault, rng.sample(names, max(1, round(fault.part * len(names)))))

    def _heavy_tail(self, fault: Fault, number: int) -> Co[None]:
        cls = fault.task_class or self.scenario.rng(f"class {number}").choice(sorted(self.scenario.traffic.shares))
        yield from self._use(fault, [f"class:{cls}"])

    def _zone_cut(self, fault: Fault, number: int) -> Co[None]:
        yield from self.stage.tap("set", name=f"cut {number}", cut_zone=fault.zone, hold=True)
        yield from sleep(fault.len_s * 1000.0)
        yield from self.stage.tap("lift", name=f"cut {number}")

    def _retire(self, names: list[str], drain_s: float) -> Co[None]:
        """Machines drain together, then stop for good."""
        for name in names:
            self.machines.pop(name, None)
            yield from self.stage.field("drain", machine=name)
        yield from sleep(drain_s * 1000.0)
        for name in names:
            yield from self.stage.field("crash", machine=name)
            self._hit.discard(name)

    def _deploy(self, fault: Fault, number: int) -> Co[None]:
        """``size``: share of the fleet replaced at a time; ``extra``: seconds of drain."""
        some = self._down(fault, number)
        batch = max(1, round(fault.size * len(self.machines)))
        batches = math.ceil(len(some) / batch)
        for n in range(batches):
            names = some[n * batch : (n + 1) * batch]
            yield from self._retire(names, fault.extra)
            for _ in names:
                yield from self._add(cold=True)
            yield from sleep(max(0.0, fault.len_s / batches - fault.extra) * 1000.0)

    def _shrink(self, fault: Fault, number: int) -> Co[None]:
        some = self._down(fault, number, 1.0 - 1.0 / max(1.0, fault.size))
        yield from self.stage.owners("rate", factor=1.0 / max(1.0, fault.size))
        for name in some:
            yield from self._retire([name], fault.len_s / max(1, len(some)))

    def _grow(self, fault: Fault, number: int) -> Co[None]:
        more = round((max(1.0, fault.size) - 1.0) * len(self.machines))
        yield from self.stage.owners("rate", factor=1.0 + (max(1.0, fault.size) - 1.0) * fault.extra)
        for _ in range(more):
            yield from self._add(cold=True)
            yield from sleep(fault.len_s / max(1, more) * 1000.0)

    def _list_down(self, fault: Fault, number: int) -> Co[None]:
        yield from self.stage.listing("down", down=True)
        yield from sleep(fault.len_s * 1000.0)
        yield from self.stage.listing("down", down=False)

    def _list_stale(self, fault: Fault, number: int) -> Co[None]:
        yield from self.stage.listing("late", late_ms=self.scenario.list_late_ms + fault.size * 1000.0)
        yield from sleep(fault.len_s * 1000.0)
        yield from self.stage.listing("late", late_ms=self.scenario.list_late_ms)

    def _reconnect(self, fault: Fault, number: int) -> Co[None]:
        yield from self.stage.owners("restart", share=fault.part, within_ms=fault.len_s * 1000.0)

    def _placer_kill(self, fault: Fault, number: int) -> Co[None]:
        some = self._placers(fault, number)
        self._away.update(some)
        for placer in some:
            self.stage.kill_placer(placer)
        yield from sleep(fault.len_s * 1000.0)
        yield from self._start_placers(some)

    def _start_placers(self, some: list[int]) -> Co[None]:
        for placer in some:
            yield from self.stage.start_placer(placer)
            self._away.discard(placer)

    def _placer_stop(self, fault: Fault, number: int) -> Co[None]:
        """SIGTERM, and ``size`` ms later, in the midst of the stop, SIGKILL."""
        some = self._placers(fault, number)
        self._away.update(some)
        for placer in some:
            self.stage.term_placer(placer)
        yield from sleep(fault.size)
        for placer in some:
            self.stage.kill_placer(placer)
        yield from sleep(fault.len_s * 1000.0)
        yield from self._start_placers(some)

    def _descriptors(self, fault: Fault, number: int) -> Co[None]:
        some = self._placers(fault, number)
        for placer in some:
            self.stage.limit_descriptors(placer, True)
        yield from sleep(fault.len_s * 1000.0)
        for placer in some:
            self.stage.limit_descriptors(placer, False)

    def _clock_step(self, fault: Fault, number: int) -> Co[None]:
        """``size``: ms by which the host's clock is off while it lasts."""
        some = self._placers(fault, number)
        for placer in some:
            self.stage.step_clock(placer, fault.size)
        yield from sleep(fault.len_s * 1000.0)
        for placer in some:
            self.stage.step_clock(placer, 0.0)

    def _same_number(self, fault: Fault, number: int) -> Co[None]:
        some = self._placers(fault, number)[:1]
        for placer in some:
            yield from self.stage.start_twin(placer)
        yield from sleep(fault.len_s * 1000.0)
        for placer in some:
            self.stage.stop_twin(placer)

    def _resize(self, fault: Fault, number: int) -> Co[None]:
        """``size``: times as many placers; ``extra``: so many of the old ones are told, 0 for all."""
        more = max(self.scenario.placers + 1, round(self.scenario.placers * fault.size))
        yield from self.stage.resize(more, 1500.0, fault.len_s * 1000.0, int(fault.extra))

    # The list's errors, one at a time: the latest holds, and its end brings the truth back

    def _lie(self, fault: Fault, **what: Any) -> Co[None]:
        yield from self.stage.listing("lie", **what)
        yield from sleep(fault.len_s * 1000.0)
        yield from self.stage.listing("truth")

    def _list_empty(self, fault: Fault, number: int) -> Co[None]:
        yield from self._lie(fault, kind="empty")

    def _list_back(self, fault: Fault, number: int) -> Co[None]:
        """``size``: seconds back."""
        yield from self._lie(fault, kind="back", back_ms=fault.size * 1000.0)

    def _list_gone(self, fault: Fault, number: int) -> Co[None]:
        """``part`` of the machines are named gone."""
        yield from self._lie(fault, kind="gone", machines=self._some(fault, number))

    # Links

    def _one_way_cut(self, fault: Fault, number: int) -> Co[None]:
        """``extra`` 0: nothing passes out of ``zone``; else nothing passes into it."""
        out = not fault.extra
        inside = [name for name, model in self.machines.items() if model["zone"] == fault.zone]
        for name in inside:  # a machine is a target: what leaves it goes down
            yield from self.stage.tap(
                "set", name=f"one way {number} {name}", target=name, up=not out, down=out, hold=True
            )
        yield from sleep(fault.len_s * 1000.0)
        for name in inside:
            yield from self.stage.tap("lift", name=f"one way {number} {name}")

    def _slow_link(self, fault: Fault, number: int) -> Co[None]:
        """``size``: ms more each way to some machines; ``extra``: bytes a second, 0 for no limit."""
        some = self._some(fault, number)
        for name in some:
            slow = {"delay_ms": fault.size, "rate": fault.extra}
            yield from self.stage.tap("set", name=f"slow {number} {name}", target=name, **slow)
        yield from sleep(fault.len_s * 1000.0)
        for name in some:
            yield from self.stage.tap("lift", name=f"slow {number} {name}")

    # Between placers

    def _sides(self, fault: Fault, number: int) -> tuple[list[str], list[str]]:
        """The placers of a room, or so many as ``part`` says, and the others; neither side is empty."""
        placers = [f"placer-{n}" for n in range(self.scenario.placers)]
        zones = self.scenario.cluster.zones
        inside = [name for n, name in enumerate(placers) if zones[n % len(zones)] == fault.zone]
        if not inside or len(inside) == len(placers):
            most = min(len(placers) - 1, max(1, round(fault.part * len(placers))))
            inside = self.scenario.rng(f"fault {number}").sample(placers, most)
        return inside, [name for name in placers if name not in inside]

    def _between(self, number: int, sides: tuple[list[str], list[str]], out: bool, back: bool, **what: Any) -> Co[None]:
        """A condition on the words from the first side to the other (``out``), and from there (``back``). A stream may have
        been opened by either end."""
        for a in sides[0]:
            for b in sides[1]:
                name = f"peers {number} {a} {b}"
                yield from self.stage.tap("set", name=f"{name} up", client=a, target=b, up=out, down=back, **what)
                yield from self.stage.tap("set", name=f"{name} down", client=b, target=a, up=back, down=out, **what)

    def _joined(self, number: int, sides: tuple[list[str], list[str]]) -> Co[None]:
        for a in sides[0]:
            for b in sides[1]:
                for way in ("up", "down"):
                    yield from self.stage.tap("lift", name=f"peers {number} {a} {b} {way}")

    def _peer_cut(self, fault: Fault, number: int) -> Co[None]:
        """``extra`` 0: nothing passes between the sides; 1: nothing out of the first, 2: nothing into it."""
        sides = self._sides(fault, number)
        yield from self._between(number, sides, fault.extra != 2, fault.extra != 1, hold=True)
        yield from sleep(fault.len_s * 1000.0)
        yield from self._joined(number, sides)

    def _peer_flap(self, fault: Fault, number: int) -> Co[None]:
        """``size``: ms for which the sides are cut off, and then joined, again and again."""
        sides, until = self._sides(fault, number), self.loop.now() + fault.len_s * 1000.0
        while self.loop.now() < until:
            yield from self._between(number, sides, True, True, hold=True)
            yield from sleep(fault.size)
            yield from self._joined(number, sides)
            yield from sleep(fault.size)

    def _peer_slow(self, fault: Fault, number: int) -> Co[None]:
        """``size``: ms more each way between the sides."""
        sides = self._sides(fault, number)
        yield from self._between(number, sides, True, True, delay_ms=fault.size)
        yield from sleep(fault.len_s * 1000.0)
        yield from self._joined(number, sides)

    def _peer_reset(self, fault: Fault, number: int) -> Co[None]:
        """``part`` of the placers have the streams that they opened reset; ``extra``: seconds between two times, 0: once."""
        until = self.loop.now() + fault.len_s * 1000.0
        while True:
            for name in self._sides(fault, number)[0]:
                yield from self.stage.tap("blow", kind="reset", client=name, target="placer-*")
            if not fault.extra or self.loop.now() + fault.extra * 1000.0 >= until:
                return
            yield from sleep(fault.extra * 1000.0)

    def _placer_crowd(self, fault: Fault, number: int) -> Co[None]:
        """``part`` of the placers are killed ``size`` times in a row, ``len_s`` between two, and are back each time."""
        some = self._placers(fault, number)
        self._away.update(some)
        for _ in range(max(1, round(fault.size))):
            for placer in some:
                self.stage.kill_placer(placer)
            for placer in some:
                yield from self.stage.start_placer(placer)
            yield from sleep(fault.len_s * 1000.0)
        self._away.difference_update(some)

    def _reset(self, fault: Fault, number: int) -> Co[None]:
        """Every connection to some machines, and to all placers, is reset once."""
        for name in self._some(fault, number):
            yield from self.stage.tap("blow", kind="reset", target=name)
        yield from self.stage.tap("blow", kind="reset", target="placer-*")
