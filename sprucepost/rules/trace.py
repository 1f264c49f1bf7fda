"""Turns the messages of a capture into events: submissions and outcomes, offers and answers, list entries.

Frames that are sent again after a broken stream are recognised by their session and sequence number, as by both ends. A
frame that is sent to a placer again had not reached it before: the other end repeats only what the placer hasn't seen.
So the repeat, marked ``is_repeat``, is when the placer was notified.

Bytes that went out to a placer need not have been read by it: a socket that is reset loses what it holds. Each event
for a placer has the end of its connection, ``connection_ended_at``, from which
:meth:`sprucepost.rules.checker.RunHistory.was_read` decides.

All times are in ms, as the recording proxy took them.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from sprucepost.rules.streams import Closed, Message, read_messages
from sprucepost.v1 import common_pb2, fleet_pb2, machine_pb2, placer_pb2
from sprucepost.wire.capture import CaptureRecord

SUBMIT = "/sprucepost.v1.Placer/Submit"
OFFERS = "/sprucepost.v1.Machine/Offers"
WATCH = "/sprucepost.v1.Fleet/Watch"

Key = tuple[int, int, int, int]
"""Placer number, incarnation, request and attempt."""


@dataclass(frozen=True)
class TaskSubmitted:
    """An owner's submission or hand-over reached a placer."""

    at: float
    placer: str
    session: bytes
    task: str
    left_ms: float
    hand_over: bool
    incarnation: int = 0
    is_repeat: bool = False
    task_spec: common_pb2.Task | None = None  # of a submission; None for a hand-over


@dataclass(frozen=True)
class OutcomeSent:
    """A placer reported the state of a task to an owner; ``kind`` names the frame's body."""

    at: float
    placer: str
    incarnation: int
    session: bytes
    task: str
    kind: str
    late_ms: float = 0.0  # by how much earlier it may have been sent: the proxy read late


@dataclass(frozen=True)
class ClientStream:
    """An owner's stream at a placer began (``up``) or ended."""

    at: float
    placer: str
    session: bytes
    up: bool


@dataclass(frozen=True)
class TaskCancelled:
    """An owner cancelled a task."""

    at: float
    placer: str
    session: bytes
    task: str


@dataclass(frozen=True)
class OfferSent:
    """A placer sent an offer; ``is_repeat``: the same one again, after a broken stream."""

    at: float
    placer: str
    machine: str
    key: Key
    name: str
    task: common_pb2.Task
    wait_ms: float
    is_repeat: bool
    late_ms: float = 0.0  # by how much earlier it may have been sent: the proxy read late


@dataclass(frozen=True)
class AttemptReported:
    """A machine reported on an attempt; ``kind`` is accepted, refused, running, use or ended."""

    at: float
    placer: str
    machine: str
    key: Key
    kind: str
    connection_ended_at: float = math.inf
    is_repeat: bool = False


@dataclass(frozen=True)
class AttemptWithdrawn:
    """A placer told a machine that it no longer wants the task of this attempt."""

    at: float
    placer: str
    machine: str
    key: Key


@dataclass(frozen=True)
class TaskAdopted:
    """A placer took over a task that a machine holds."""

    at: float
    placer: str
    machine: str
    key: Key
    name: str


@dataclass(frozen=True)
class MachineAttached:
    """A machine attached to a placer; ``machine_incarnation`` changes with each restart of the machine.

    ``held``: the placer's attempts whose tasks the machine has, all of them; None where a session was resumed, whose
    frames report what has ended.
    """

    at: float
    placer: str
    machine: str
    machine_incarnation: int
    incarnation: int
    started_ms: float = 0.0
    connection_ended_at: float = math.inf
    held: frozenset[Key] | None = None


@dataclass(frozen=True)
class MachineListed:
    """A placer got a machine's entry in the list; state 0: the machine is gone."""

    at: float
    placer: str
    machine: str
    state: int
    zone: str
    cell: str
    started_ms: float
    connection_ended_at: float = math.inf


Event = (
    TaskSubmitted
    | OutcomeSent
    | ClientStream
    | TaskCancelled
    | OfferSent
    | AttemptReported
    | AttemptWithdrawn
    | TaskAdopted
    | MachineAttached
    | MachineListed
)


@dataclass
class _OwnerStream:
    session: bytes = b""
    incarnation: int = 0


@dataclass
class _MachineStream:
    number: int = 0
    incarnation: int = 0
    session: bytes = b""


@dataclass
class _SequenceNumbers:
    """Highest sequence number seen per session, in one direction."""

    last: dict[bytes, int] = field(default_factory=dict)

    def is_new(self, session: bytes, seq: int) -> bool:
        if not seq or seq <= self.last.get(session, 0):
            return False
        self.last[session] = seq
        return True


class Tracer:
    """Turns messages into events; ``ends`` gives the end of each connection."""

    def __init__(self, ends: dict[int, float] | None = None) -> None:
        self._ends = ends or {}
        self._owner_streams: dict[tuple[int, int], _OwnerStream] = {}
        self._machine_streams: dict[tuple[int, int], _MachineStream] = {}
        self._from_owner, self._to_owner, self._from_machine = (
            _SequenceNumbers(),
            _SequenceNumbers(),
            _SequenceNumbers(),
        )
        self._offers: set[Key] = set()
        self._listed_machines: dict[str, set[str]] = {}  # by placer: machines that its list has named

    def events_of(self, message: Message | Closed) -> Iterator[Event]:
        """Yield the events of the next message."""
        if isinstance(message, Closed):
            for key in [key for key in self._owner_streams if key[0] == message.connection]:
                stream = self._owner_streams.pop(key)
                if stream.session:
                    yield ClientStream(message.at, message.target, stream.session, False)
        elif message.path == SUBMIT:
            yield from self._owner_events(message)
        elif message.path == OFFERS:
            yield from self._machine_events(message)
        elif message.path == WATCH and not message.from_client:
            yield from self._list_events(message)

    def _owner_events(self, message: Message) -> Iterator[Event]:
        stream = self._owner_streams.setdefault((message.connection, message.stream), _OwnerStream())
        placer, at = message.target, message.at
        if message.from_client:
            frame = placer_pb2.OwnerFrame.FromString(message.data)
            kind = frame.WhichOneof("body")
            if kind in (None, "hello") or not frame.seq:
                return
            is_repeat, session = not self._from_owner.is_new(stream.session, frame.seq), stream.session
            if kind == "submit":
                left_ms = frame.submit.left_ms
                yield TaskSubmitted(
                    at, placer, session, frame.task, left_ms, False, stream.incarnation, is_repeat, frame.submit.task
                )
            elif kind == "hand_over" and not is_repeat:
                yield TaskSubmitted(at, placer, session, frame.task, 0.0, True, stream.incarnation)
            elif kind == "cancel" and not is_repeat:
                yield TaskCancelled(at, placer, stream.session, frame.task)
            return
        answer = placer_pb2.PlacerFrame.FromString(message.data)
        kind = answer.WhichOneof("body")
        if kind == "welcome":
            stream.session, stream.incarnation = answer.welcome.session, answer.welcome.incarnation
            yield ClientStream(at, placer, stream.session, True)
        elif kind is not None and self._to_owner.is_new(stream.session, answer.seq):
            tasks = answer.refused_all.tasks if kind == "refused_all" else (answer.task,)
            outcome = "refused" if kind == "refused_all" else str(kind)
            for task in tasks:
                yield OutcomeSent(at, placer, stream.incarnation, stream.session, task, outcome, message.late_ms)

    def _machine_events(self, message: Message) -> Iterator[Event]:
        stream = self._machine_streams.setdefault((message.connection, message.stream), _MachineStream())
        placer, machine, at = message.client, message.target, message.at
        connection_ended_at = self._ends.get(message.connection, math.inf)
        if message.from_client:
            frame = machine_pb2.ToMachine.FromString(message.data)
            kind = frame.WhichOneof("body")
            if kind == "hello":
                stream.number, stream.incarnation = frame.hello.number, frame.hello.incarnation
            elif kind == "offer":
                offer = frame.offer
                key = (stream.number, stream.incarnation, offer.request, offer.attempt)
                is_repeat = key in self._offers
                self._offers.add(key)
                yield OfferSent(
                    at, placer, machine, key, offer.name, offer.task, offer.wait_ms, is_repeat, message.late_ms
                )
            elif kind == "withdraw":
                withdrawn = frame.withdraw
                yield AttemptWithdrawn(
                    at, placer, machine, (stream.number, withdrawn.incarnation, withdrawn.request, withdrawn.attempt)
                )
            elif kind == "adopt":
                key = (stream.number, stream.incarnation, frame.adopt.request, 0)
                if key not in self._offers:
                    self._offers.add(key)
                    yield TaskAdopted(at, placer, machine, key, frame.adopt.name)
            return
        answer = machine_pb2.FromMachine.FromString(message.data)
        kind = answer.WhichOneof("body")
        if kind == "attached":
            stream.session = answer.attached.session
            attached = answer.attached
            keys = [
                (stream.number, stream.incarnation, held.request, held.attempt)
                for held in attached.held
                if held.incarnation == stream.incarnation
            ]
            yield MachineAttached(
                at,
                placer,
                machine,
                attached.life,
                stream.incarnation,
                attached.started_ms,
                connection_ended_at,
                None if attached.resumed else frozenset(keys),
            )
            for key in keys:
                yield AttemptReported(at, placer, machine, key, "accepted", connection_ended_at)
        elif kind is not None and answer.seq:
            is_repeat = not self._from_machine.is_new(stream.session, answer.seq)
            key = (stream.number, stream.incarnation, answer.request, answer.attempt)
            yield AttemptReported(at, placer, machine, key, str(kind), connection_ended_at, is_repeat)

    def _list_events(self, message: Message) -> Iterator[Event]:
        update = fleet_pb2.FleetUpdate.FromString(message.data)
        placer, at = message.client, message.at
        connection_ended_at = self._ends.get(message.connection, math.inf)
        known = self._listed_machines.setdefault(placer, set())
        if update.whole:
            for machine in sorted(known - {entry.name for entry in update.entries}):
                yield MachineListed(at, placer, machine, 0, "", "", 0.0, connection_ended_at)
        for entry in update.entries:
            known.add(entry.name)
            yield MachineListed(
                at, placer, entry.name, entry.state, entry.zone, entry.cell, entry.started_ms, connection_ended_at
            )


def read_events(records: Iterator[CaptureRecord]) -> Iterator[Event]:
    """Return the events of a capture, in order."""
    return events_from_messages(list(read_messages(records)))


def events_from_messages(captured: Sequence[Message | Closed]) -> Iterator[Event]:
    """Yield the events of the messages of a capture, in order."""
    tracer = Tracer({message.connection: message.at for message in captured if isinstance(message, Closed)})
    for message in captured:
        yield from tracer.events_of(message)
