"""Processes that send letters to each other by name, and write to disks, in virtual time.

Letters may be late, lost, repeated and overtake each other. A disk makes its writes durable in order, each after a while;
with the power a process loses what was not durable, but for as many of the writes under way, from the oldest on, as chance
has it: a torn or reordered tail is cut at its first gap, as records with checksums allow.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Protocol

from sprucepost.agreement.words import Send, Write
from sprucepost.play.agenda import Agenda


class Writer(Protocol):
    """What is played: each call returns actions."""

    def tick(self, now: float) -> list[Any]: ...
    def heard(self, now: float, peer: str, word: Any) -> list[Any]: ...
    def written(self, now: float, number: int) -> list[Any]: ...
    def failed(self, now: float) -> list[Any]: ...


class Place:
    """One process and its disk. ``drift``: how fast its clock goes; ``disk_ms``: how long a write takes."""

    def __init__(self, name: str, machine: Writer, drift: float, disk_ms: tuple[float, float]) -> None:
        self.name, self.machine, self.drift, self.disk_ms = name, machine, drift, disk_ms
        self.alive = True
        self.stopped_until = 0.0
        self.fails = False  # its next write fails
        self.writes: list[Write] = []  # not durable yet, oldest first
        self.free_at = 0.0  # when the disk is done with them


class Letters(Agenda):
    """``keep`` makes a write durable: what a restart will find."""

    def __init__(
        self,
        seed: int,
        tick_ms: float,
        delay_ms: tuple[float, float],
        keep: Callable[[str, Write], None],
        told: Callable[[Place, Any], None],
    ) -> None:
        super().__init__()
        self.rng = random.Random(seed)
        self.lost = self.repeated = 0.0  # shares of letters
        self.cuts: list[Callable[[str, str], bool]] = []
        self.places: dict[str, Place] = {}
        self._tick, self._delay, self._keep, self._told = tick_ms, delay_ms, keep, told

    def start(self, place: Place) -> None:
        """A process begins; whatever had that name is dead."""
        self.places[place.name] = place
        self.at(self.now + self.rng.uniform(0.0, self._tick), lambda: self._ticks(place))

    def kill(self, place: Place, power: bool = False) -> None:
        """It is gone. Its writes under way reach the disk, or with the ``power`` only the oldest few of them."""
        place.alive = False
        kept = self.rng.randint(0, len(place.writes)) if power else len(place.writes)
        for write in place.writes[:kept]:
            self._keep(place.name, write)
        place.writes = []

    def clock(self, place: Place) -> float:
        """What its monotonic clock shows."""
        return self.now * place.drift

    def do(self, place: Place, call: Callable[[], list[Any]]) -> None:
        """Call the machine and carry out what it says: now, or when the process runs again."""
        if not place.alive:
            return
        if self.now < place.stopped_until:
            self.at(place.stopped_until, lambda: self.do(place, call))
            return
        for action in call():
            if isinstance(action, Send):
                self._send(place, action)
            elif isinstance(action, Write):
                self._write(place, action)
            else:
                self._told(place, action)

    def _ticks(self, place: Place) -> None:
        if place.alive:
            self.do(place, lambda: place.machine.tick(self.clock(place)))
            self.at(max(self.now + self._tick, place.stopped_until), lambda: self._ticks(place))

    def _send(self, place: Place, action: Send) -> None:
        if self.rng.random() < self.lost or any(cut(place.name, action.to) for cut in self.cuts):
            return
        for _ in range(2 if self.rng.random() < self.repeated else 1):
            self.at(self.now + self.rng.uniform(*self._delay), lambda: self._arrive(place.name, action))

    def _arrive(self, sender: str, action: Send) -> None:
        place = self.places.get(action.to)
        if place is not None and not any(cut(sender, action.to) for cut in self.cuts):
            self.do(place, lambda: place.machine.heard(self.clock(place), sender, action.word))

    def _write(self, place: Place, write: Write) -> None:
        place.writes.append(write)
        place.free_at = max(place.free_at, self.now) + self.rng.uniform(*place.disk_ms)
        self.at(place.free_at, lambda: self._written(place, write))

    def _written(self, place: Place, write: Write) -> None:
        if not place.alive or write not in place.writes:
            return
        if place.fails:  # nobody knows what of it, and of what follows, is there
            place.fails, place.writes = False, []
            self.do(place, lambda: place.machine.failed(self.clock(place)))
            return
        place.writes.remove(write)
        self._keep(place.name, write)
        self.do(place, lambda: place.machine.written(self.clock(place), write.number))
