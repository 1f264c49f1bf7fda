"""A small deployment for tests: its file, its validator, and replicas connected without delay."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from sprucepost.configuration import (
    ChangeableKeys,
    ConfigurationReplica,
    KeyEdit,
    Limits,
    Problem,
    ProblemKind,
    Proposal,
    SavedState,
)
from sprucepost.configuration.document import Settings, Value, expand
from sprucepost.configuration.messages import Event, Send

CHANGEABLE = ChangeableKeys(("c",))
FILE: dict[str, Value] = {"c.low": 10, "c.high": 20, "c.a": 1, "c.b": 1, "c.d": 1, "c.size": 9, "own.number": 3}
KNOWN = frozenset({"low", "high", "a", "b", "d", "e", "size", "new"})
MAX_TOTAL = 12  # of a, b and d together: changes valid on each side of a partition may exceed it after the merge


def make_validator(known: frozenset[str] = KNOWN, number: int = 0) -> Callable[[Settings], list[Problem]]:
    """Returns the validator of a program that knows these keys, at the placer with this number."""

    def problems(settings: Settings) -> list[Problem]:
        expand(settings)  # raises for malformed keys
        values = {key.removeprefix("c."): value for key, value in settings.items()}
        found = [
            Problem(ProblemKind.UNKNOWN_KEY, f"c.{name}", f"c.{name}: unknown key")
            for name in values
            if name not in known
        ]
        for name in ("low", "high", "size", "a", "b", "d"):
            if not isinstance(values.get(name), int):
                found.append(Problem(ProblemKind.INVALID, f"c.{name}", f"c.{name}: expected an integer"))
        if any(problem.kind is ProblemKind.INVALID for problem in found):
            return found
        if values["low"] >= values["high"]:
            found.append(Problem(ProblemKind.INVALID, "c.low", "c.low: must be below c.high"))
        if values["a"] + values["b"] + values["d"] > MAX_TOTAL:
            found.append(Problem(ProblemKind.INVALID, "c.a", f"c.a: a, b and d make more than {MAX_TOTAL}"))
        if number >= values["size"]:
            found.append(Problem(ProblemKind.LOCAL, "c.size", f"c.size: must be above this placer's number {number}"))
        return found

    return problems


def replica(
    name: str = "p0",
    known: frozenset[str] = KNOWN,
    number: int = 0,
    file: Settings = FILE,
    limits: Limits = Limits(),  # noqa: B008  (frozen)
    saved: SavedState | None = None,
    now: float = 0.0,
) -> ConfigurationReplica:
    return ConfigurationReplica(name, file, make_validator(known, number), CHANGEABLE, now, limits, saved)


def proposal(author: str = "ann", comment: str = "", **values: Value) -> Proposal:
    """Returns a proposal that sets these keys of ``c``."""
    return Proposal(tuple(KeyEdit(f"c.{name}", value) for name, value in values.items()), author, comment)


def removal(*names: str) -> Proposal:
    return Proposal(tuple(KeyEdit(f"c.{name}", removed=True) for name in names), "ann")


class ReplicaNetwork:
    """Replicas and streams between them, which deliver immediately until they are cut."""

    def __init__(self, *replicas: ConfigurationReplica) -> None:
        self.replicas = list(replicas)
        self.events: dict[str, list[Event]] = {each.origin: [] for each in replicas}
        self.links: set[frozenset[int]] = set()
        self.messages = 0
        self.now = 0.0

    def join(self, one: int, other: int) -> None:
        self.links.add(frozenset((one, other)))
        self.replicas[one].connected(self.now, other)
        self.replicas[other].connected(self.now, one)
        self.deliver_all()

    def join_all(self) -> None:
        for one in range(len(self.replicas)):
            for other in range(one):
                self.join(one, other)

    def cut(self, one: int, other: int) -> None:
        self.links.discard(frozenset((one, other)))
        self.replicas[one].disconnected(self.now, other)
        self.replicas[other].disconnected(self.now, one)

    def deliver_all(self) -> None:
        """Delivers messages until none is left."""
        todo = deque(range(len(self.replicas)))
        while todo:
            at = todo.popleft()
            for output in self.replicas[at].take_outputs():
                if not isinstance(output, Send):
                    self.events[self.replicas[at].origin].append(output)
                elif frozenset((at, output.peer)) in self.links:
                    self.messages += 1
                    assert self.messages < 100_000, "messages do not stop"
                    self.replicas[output.peer].received(self.now, at, output.message)
                    todo.append(output.peer)

    def pass_time(self, length_ms: float, step_ms: float = 500.0) -> None:
        """Advances time with ticks and heartbeats."""
        until = self.now + length_ms
        while self.now < until:
            self.now += step_ms
            for at, each in enumerate(self.replicas):
                each.tick(self.now)
                for link in self.links:
                    if at in link:
                        (other,) = link - {at}
                        self.replicas[other].received(self.now, at, each.digest)
            self.deliver_all()

    def converged(self) -> bool:
        first = self.replicas[0]
        return all(
            each.version == first.version and each.configuration == first.configuration for each in self.replicas
        )
