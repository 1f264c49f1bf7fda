"""A replica as a process of the virtual world: its streams and heartbeats, and what must hold at each of its steps."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from sprucepost.configuration import (
    Change,
    ConfigurationReplica,
    Limits,
    Position,
    ProblemKind,
    Proposal,
    Receipt,
    SavedState,
    Version,
)
from sprucepost.configuration.document import Settings
from sprucepost.configuration.messages import (
    Changes,
    Digest,
    Diverged,
    Event,
    Message,
    Overwritten,
    Refused,
    Send,
    SetAside,
    Snapshot,
)
from sprucepost.view.messages import Close, Dial
from sprucepost.view.messages import Send as Carry
from tests.configuration.oracle import saw
from tests.configuration.support import CHANGEABLE, FILE, KNOWN, rules

TICK_MS = 250.0
BEAT_MS = 1000.0
PATIENCE_MS = 3000.0  # a stream that says nothing for so long is closed

KEYS = sorted({key for key in FILE if key in CHANGEABLE} | {f"c.{name}" for name in KNOWN})


@dataclass(frozen=True)
class Hello:
    """The first word on a stream."""

    address: str


def carry(stream: int, word: Any) -> Carry:
    """The world's action that sends a word, whatever the word is."""
    return Carry(stream, word)


@dataclass
class _Stream:
    heard: float
    address: str = ""


class Observed:
    """What all members of one play have shown, over their lives."""

    def __init__(self) -> None:
        self.changes: dict[Position, Change] = {}
        self.problems: list[str] = []
        self.events: Counter[str] = Counter()
        self.sent_bytes = 0

    def wrong(self, line: str) -> None:
        if len(self.problems) < 20:
            self.problems.append(line)


@dataclass(frozen=True)
class Program:
    """What one member runs: the keys that it knows, its number, its file, its clock."""

    number: int
    known: frozenset[str]
    file: Settings
    limits: Limits
    clock_offset_ms: float = 0.0
    clock_rate: float = 1.0

    @property
    def knows_all(self) -> bool:
        return self.known == KNOWN


class Member:
    """One life of one process. ``neighbours`` are the addresses that it is to have streams to."""

    def __init__(
        self,
        address: str,
        life: int,
        program: Program,
        neighbours: Callable[[], list[str]],
        observed: Observed,
        now: float,
        saved: SavedState | None = None,
        earlier: Version | None = None,
    ) -> None:
        self.address, self.program, self._neighbours, self._observed = address, program, neighbours, observed
        self.replica = ConfigurationReplica(
            f"{address}/{life}",
            program.file,
            rules(program.known, program.number),
            CHANGEABLE,
            self._clock(now),
            program.limits,
            saved,
        )
        self.events: list[Event] = []
        self._streams: dict[int, _Stream] = {}
        self._dialling: set[str] = set()
        self._beaten = now
        self._number = 0 if earlier is None else earlier.number
        self._setters: dict[str, Position | None] = {}
        self._aside: set[Position] = set()
        self._only_in_base: set[Position] = set()
        self._checked: tuple[object, ...] = ()
        self._look()

    # What is asked of it

    def propose(self, now: float, proposal: Proposal) -> tuple[Receipt, list[Any]]:
        receipt = self.replica.propose(self._clock(now), proposal)
        return receipt, self._out()

    def rollback(self, now: float, position: Position) -> tuple[Receipt, list[Any]]:
        receipt = self.replica.rollback(self._clock(now), position, "ann")
        return receipt, self._out()

    # Calls of the world

    def tick(self, now: float) -> list[Any]:
        self.replica.tick(self._clock(now))
        actions = self._out()
        for ident, stream in list(self._streams.items()):
            if now - stream.heard > PATIENCE_MS:
                actions += [Close(ident, "silent"), *self.stream_ended(now, ident)]
        if now - self._beaten >= BEAT_MS:
            self._beaten = now
            actions += [carry(ident, self.replica.digest) for ident, stream in self._streams.items() if stream.address]
        connected = {stream.address for stream in self._streams.values()}
        for address in self._neighbours():
            if address not in connected and address not in self._dialling:
                self._dialling.add(address)
                actions.append(Dial(address, address))
        return actions

    def stream_opened(self, now: float, stream: int, dialled: str | None) -> list[Any]:
        self._dialling.discard(dialled or "")
        self._streams[stream] = _Stream(now)
        return [carry(stream, Hello(self.address))]

    def dial_failed(self, now: float, dialled: str) -> list[Any]:
        self._dialling.discard(dialled)
        return []

    def stream_ended(self, now: float, stream: int) -> list[Any]:
        known = self._streams.pop(stream, None)
        if known is not None and known.address:
            self.replica.disconnected(self._clock(now), stream)
        return self._out()

    def message_received(self, now: float, stream: int, word: Any) -> list[Any]:
        known = self._streams.get(stream)
        if known is None:
            return []
        known.heard = now
        if isinstance(word, Hello):
            if not known.address:
                known.address = word.address
                self.replica.connected(self._clock(now), stream)
        elif known.address:
            self.replica.received(self._clock(now), stream, word)
        return self._out()

    # What must hold at each step

    def _clock(self, now: float) -> float:
        return now * self.program.clock_rate + self.program.clock_offset_ms

    def _out(self) -> list[Any]:
        actions: list[Any] = []
        told: list[Event] = []
        for output in self.replica.take_outputs():
            if isinstance(output, Send):
                self._measure(output.message)
                actions.append(carry(output.peer, output.message))
            else:
                told.append(output)
        self.events += told
        self._observed.events.update(type(event).__name__ for event in told)
        for event in told:
            if isinstance(event, Diverged):
                self._observed.wrong(f"{self.address}: told of a divergence")
        shape = self._shape()
        if told or actions or shape != self._checked:  # else nothing can have changed since the last step
            self._checked = shape
            self._check(told)
        return actions

    def _shape(self) -> tuple[object, ...]:
        replica = self.replica
        store, in_force = replica._store, replica._active._in_force
        return replica.version, replica.digest, replica.held, replica.cut, len(store.set_aside), id(in_force)

    def _measure(self, message: Message) -> None:
        if isinstance(message, Digest):
            return
        if isinstance(message, Changes):
            size = sum(change.size for change in message.changes)
            if size > self.program.limits.message_bytes and len(message.changes) > 1:
                self._observed.wrong(f"{self.address}: a message of {size} bytes")
            self._observed.sent_bytes += size
        if isinstance(message, Snapshot) and len(message.fingerprints) > self.program.limits.remembered_fingerprints:
            self._observed.wrong(f"{self.address}: a snapshot of {len(message.fingerprints)} fingerprints")

    def _check(self, told: list[Event]) -> None:
        replica, observed = self.replica, self._observed
        for entry in replica._timeline.entries:
            observed.changes.setdefault(entry.position, entry.change)
        if replica.version.number < self._number:
            observed.wrong(f"{self.address}: version fell from {self._number} to {replica.version.number}")
        self._number = replica.version.number
        self._check_in_force()
        self._check_bounds()
        for position in self._shown_aside() - self._aside:
            if SetAside(position) not in told:
                observed.wrong(f"{self.address}: {position} was set aside without a word")
        earlier, only_in_base = self._setters, self._only_in_base
        self._look()
        for key, before in earlier.items():
            if before is not None and before != self._setters[key] and before not in only_in_base:
                self._check_moved(key, before, self._setters[key], told)

    def _check_in_force(self) -> None:
        values = dict(self.replica.configuration)
        strange = [key for key in values if key.removeprefix("c.") not in self.program.known]
        if strange:
            self._observed.wrong(f"{self.address}: {strange} in force, which it doesn't know")
        # Its own file may break its own limits until the fleet's configuration comes: nobody has changed it here.
        ruled_out = set(ProblemKind) if self.replica.version.number else {ProblemKind.INVALID}
        for problem in rules(KNOWN, self.program.number)(values):
            if problem.kind in ruled_out and values != {k: v for k, v in self.program.file.items() if k in CHANGEABLE}:
                self._observed.wrong(f"{self.address}: in force, and {problem.reason}")

    def _check_bounds(self) -> None:
        replica, limits = self.replica, self.program.limits
        bounds = {
            "live changes": (len(replica._timeline.entries), 2 * limits.live_changes),
            "archive": (len(replica._store.archive), limits.archived_changes),
            "archived bytes": (replica._store.archive.size, limits.archived_bytes),
            "set aside": (len(replica._store.set_aside), limits.set_aside_changes),
            "fingerprints": (len(replica._store.fingerprints), limits.remembered_fingerprints),
            "keys": (len(replica._timeline.state.setters), limits.configuration_keys),
            "pending": (
                max((len(peer.pending) for peer in replica._peers.values()), default=0),
                2 * limits.live_changes,
            ),
        }
        for name, (count, most) in bounds.items():
            if count > most:
                self._observed.wrong(f"{self.address}: {count} {name}, {most} at most")

    def _check_moved(self, key: str, before: Position, after: Position | None, told: list[Event]) -> None:
        """The agreed value of a key has another origin: in sight of its author, or with an event."""
        if any(isinstance(event, (Refused, SetAside)) and event.position == before for event in told):
            return
        if any(isinstance(event, Overwritten) and (event.position, event.key) == (before, key) for event in told):
            return
        if self.replica.cut >= (after or before):
            return  # it came with a base
        if after is None or after < before:
            self._observed.wrong(f"{self.address}: {key} went back from {before} to {after} without a word")
        elif not saw(self._observed.changes, after, before, key):
            self._observed.wrong(f"{self.address}: {key} of {before} was overwritten by {after} without a word")

    def _look(self) -> None:
        self._setters = {key: self.replica.setter(key) for key in KEYS}
        self._aside = self._shown_aside()
        store = self.replica._store
        # Of these the replica never saw the changes: that they were set aside is told when the changes themselves come.
        self._only_in_base = {
            setter
            for setter in self._setters.values()
            if setter is not None and setter <= self.replica.cut and setter not in store.archive
        }

    def _shown_aside(self) -> set[Position]:
        return {entry.change.position for entry in self.replica._store.set_aside}
