"""A replica as a simulated process: its streams and heartbeats, and the invariants checked at each of its steps."""

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
from sprucepost.view.messages import Send as SendAction
from tests.configuration.oracle import author_saw
from tests.configuration.support import CHANGEABLE, FILE, KNOWN, make_validator

TICK_MS = 250.0
HEARTBEAT_MS = 1000.0
STREAM_TIMEOUT_MS = 3000.0  # an idle stream is closed after this time

KEYS = sorted({key for key in FILE if key in CHANGEABLE} | {f"c.{name}" for name in KNOWN})


@dataclass(frozen=True)
class Hello:
    """The first message on a stream."""

    address: str


def send_action(stream: int, message: Any) -> SendAction:
    """Returns the simulator's action that sends a message of any type."""
    return SendAction(stream, message)


@dataclass
class _Stream:
    last_received_ms: float
    address: str = ""


class Observations:
    """What was observed of all members during one schedule, over all their runs."""

    def __init__(self) -> None:
        self.changes: dict[Position, Change] = {}
        self.violations: list[str] = []
        self.events: Counter[str] = Counter()
        self.sent_bytes = 0

    def report(self, line: str) -> None:
        if len(self.violations) < 20:
            self.violations.append(line)


@dataclass(frozen=True)
class Program:
    """The program and environment of one member: the keys that it knows, its number, its file and its clock."""

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
    """One run of one process. ``neighbors`` returns the addresses to which it must keep streams."""

    def __init__(
        self,
        address: str,
        run_number: int,
        program: Program,
        neighbors: Callable[[], list[str]],
        observations: Observations,
        now: float,
        saved: SavedState | None = None,
        earlier: Version | None = None,
    ) -> None:
        self.address, self.program, self._neighbors, self._observations = address, program, neighbors, observations
        self.replica = ConfigurationReplica(
            f"{address}/{run_number}",
            program.file,
            make_validator(program.known, program.number),
            CHANGEABLE,
            self._clock(now),
            program.limits,
            saved,
        )
        self.events: list[Event] = []
        self._streams: dict[int, _Stream] = {}
        self._opening: set[str] = set()
        self._last_heartbeat_ms = now
        self._number = 0 if earlier is None else earlier.number
        self._setters: dict[str, Position | None] = {}
        self._known_set_aside: set[Position] = set()
        self._only_in_base: set[Position] = set()
        self._checked: tuple[object, ...] = ()
        self._record_setters()

    # Requests of operators

    def propose(self, now: float, proposal: Proposal) -> tuple[Receipt, list[Any]]:
        receipt = self.replica.propose(self._clock(now), proposal)
        return receipt, self._take_actions()

    def rollback(self, now: float, position: Position) -> tuple[Receipt, list[Any]]:
        receipt = self.replica.rollback(self._clock(now), position, "ann")
        return receipt, self._take_actions()

    # Calls by the simulator

    def tick(self, now: float) -> list[Any]:
        self.replica.tick(self._clock(now))
        actions = self._take_actions()
        for ident, stream in list(self._streams.items()):
            if now - stream.last_received_ms > STREAM_TIMEOUT_MS:
                actions += [Close(ident, "silent"), *self.stream_ended(now, ident)]
        if now - self._last_heartbeat_ms >= HEARTBEAT_MS:
            self._last_heartbeat_ms = now
            actions += [
                send_action(ident, self.replica.digest) for ident, stream in self._streams.items() if stream.address
            ]
        connected = {stream.address for stream in self._streams.values()}
        for address in self._neighbors():
            if address not in connected and address not in self._opening:
                self._opening.add(address)
                actions.append(Dial(address, address))
        return actions

    def stream_opened(self, now: float, stream: int, dialled: str | None) -> list[Any]:
        self._opening.discard(dialled or "")
        self._streams[stream] = _Stream(now)
        return [send_action(stream, Hello(self.address))]

    def dial_failed(self, now: float, dialled: str) -> list[Any]:
        self._opening.discard(dialled)
        return []

    def stream_ended(self, now: float, stream: int) -> list[Any]:
        known = self._streams.pop(stream, None)
        if known is not None and known.address:
            self.replica.disconnected(self._clock(now), stream)
        return self._take_actions()

    def message_received(self, now: float, stream: int, message: Any) -> list[Any]:
        known = self._streams.get(stream)
        if known is None:
            return []
        known.last_received_ms = now
        if isinstance(message, Hello):
            if not known.address:
                known.address = message.address
                self.replica.connected(self._clock(now), stream)
        elif known.address:
            self.replica.received(self._clock(now), stream, message)
        return self._take_actions()

    # Invariants checked at each step

    def _clock(self, now: float) -> float:
        return now * self.program.clock_rate + self.program.clock_offset_ms

    def _take_actions(self) -> list[Any]:
        actions: list[Any] = []
        new_events: list[Event] = []
        for output in self.replica.take_outputs():
            if isinstance(output, Send):
                self._check_message_size(output.message)
                actions.append(send_action(output.peer, output.message))
            else:
                new_events.append(output)
        self.events += new_events
        self._observations.events.update(type(event).__name__ for event in new_events)
        for event in new_events:
            if isinstance(event, Diverged):
                self._observations.report(f"{self.address}: reported a divergence")
        shape = self._state_fingerprint()
        if new_events or actions or shape != self._checked:  # otherwise nothing has changed since the last check
            self._checked = shape
            self._check(new_events)
        return actions

    def _state_fingerprint(self) -> tuple[object, ...]:
        replica = self.replica
        store, in_force = replica._store, replica._active._in_force
        return replica.version, replica.digest, replica.held, replica.cut, len(store.set_aside), id(in_force)

    def _check_message_size(self, message: Message) -> None:
        if isinstance(message, Digest):
            return
        if isinstance(message, Changes):
            size = sum(change.size for change in message.changes)
            if size > self.program.limits.message_bytes and len(message.changes) > 1:
                self._observations.report(f"{self.address}: a message of {size} bytes")
            self._observations.sent_bytes += size
        if isinstance(message, Snapshot) and len(message.fingerprints) > self.program.limits.remembered_fingerprints:
            self._observations.report(f"{self.address}: a snapshot of {len(message.fingerprints)} fingerprints")

    def _check(self, new_events: list[Event]) -> None:
        replica, observations = self.replica, self._observations
        for entry in replica._timeline.entries:
            observations.changes.setdefault(entry.position, entry.change)
        if replica.version.number < self._number:
            observations.report(f"{self.address}: version fell from {self._number} to {replica.version.number}")
        self._number = replica.version.number
        self._check_in_force()
        self._check_bounds()
        for position in self._set_aside_positions() - self._known_set_aside:
            if SetAside(position) not in new_events:
                observations.report(f"{self.address}: {position} was set aside without an event")
        earlier, only_in_base = self._setters, self._only_in_base
        self._record_setters()
        for key, before in earlier.items():
            if before is not None and before != self._setters[key] and before not in only_in_base:
                self._check_setter_change(key, before, self._setters[key], new_events)

    def _check_in_force(self) -> None:
        values = dict(self.replica.configuration)
        unknown = [key for key in values if key.removeprefix("c.") not in self.program.known]
        if unknown:
            self._observations.report(f"{self.address}: {unknown} in force, which the program doesn't know")
        # The file itself may violate the placer's own limits, until a configuration of the fleet arrives.
        ruled_out = set(ProblemKind) if self.replica.version.number else {ProblemKind.INVALID}
        for problem in make_validator(KNOWN, self.program.number)(values):
            if problem.kind in ruled_out and values != {k: v for k, v in self.program.file.items() if k in CHANGEABLE}:
                self._observations.report(f"{self.address}: in force, and {problem.reason}")

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
                self._observations.report(f"{self.address}: {count} {name}, {most} at most")

    def _check_setter_change(self, key: str, before: Position, after: Position | None, new_events: list[Event]) -> None:
        """Checks a new setter of a key: its author must have seen the old value, or an event reports the change."""
        if any(isinstance(event, (Refused, SetAside)) and event.position == before for event in new_events):
            return
        if any(isinstance(event, Overwritten) and (event.position, event.key) == (before, key) for event in new_events):
            return
        if self.replica.cut >= (after or before):
            return  # it was part of a base
        if after is None or after < before:
            self._observations.report(f"{self.address}: {key} went back from {before} to {after} without an event")
        elif not author_saw(self._observations.changes, after, before, key):
            self._observations.report(f"{self.address}: {key} of {before} was overwritten by {after} without an event")

    def _record_setters(self) -> None:
        self._setters = {key: self.replica.setter(key) for key in KEYS}
        self._known_set_aside = self._set_aside_positions()
        store = self.replica._store
        # The replica never received these changes; it reports them as set aside when they arrive.
        self._only_in_base = {
            setter
            for setter in self._setters.values()
            if setter is not None and setter <= self.replica.cut and setter not in store.archive
        }

    def _set_aside_positions(self) -> set[Position]:
        return {entry.change.position for entry in self.replica._store.set_aside}
