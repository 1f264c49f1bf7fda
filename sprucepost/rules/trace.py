"""What the messages of a capture say: submissions and outcomes, offers and answers, word of machines.

Repeats (frames sent again after a broken stream) are known by their session and number, as to each end. A frame that a
placer is sent again had not reached it before: the other end repeats only what the placer has not seen. So the repeat,
marked ``is_repeat``, is when the placer was told.

Bytes that went out to a placer have not been read by it for that: a socket that is reset loses what lies in it. Each event
for a placer has the end of its connection, ``connection_ended_at``; :meth:`sprucepost.rules.checker.RunHistory.was_read`
makes proof of it.
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
    task_spec: common_pb2.Task | None = None  # of a submission


@dataclass(frozen=True)
class OutcomeSent:
    """A placer told an owner: ``kind`` is the frame's body."""

    at: float
    placer: str
    incarnation: int
    session: bytes
    task: str
    kind: str
    late_ms: float = 0.0  # ms by which it may have been sent earlier: the tap looked late


@dataclass(frozen=True)
class ClientStream:
    """An owner's stream at a placer came (``up``) or went."""

    at: float
    placer: str
    session: bytes
    up: bool


@dataclass(frozen=True)
class TaskCancelled:
    at: float
    placer: str
    session: bytes
    task: str


@dataclass(frozen=True)
class OfferSent:
    """A placer sent an offer. ``is_repeat``: the same one as before, after a break."""

    at: float
    placer: str
    machine: str
    key: Key
    name: str
    task: common_pb2.Task
    wait_ms: float
    is_repeat: bool
    late_ms: float = 0.0  # ms by which it may have been sent earlier: the tap looked late


@dataclass(frozen=True)
class AttemptReported:
    """A placer was told of an attempt: accepted, refused, running, use or ended."""

    at: float
    placer: str
    machine: str
    key: Key
    kind: str
    connection_ended_at: float = math.inf
    is_repeat: bool = False


@dataclass(frozen=True)
class AttemptWithdrawn:
    """A placer told a machine that it wants the task of this attempt no more."""

    at: float
    placer: str
    machine: str
    key: Key


@dataclass(frozen=True)
class TaskAdopted:
    """A placer took over a task that the machine held."""

    at: float
    placer: str
    machine: str
    key: Key
    name: str


@dataclass(frozen=True)
class MachineAttached:
    """A machine named itself and its life to a placer."""

    at: float
    placer: str
    machine: str
    machine_incarnation: int
    incarnation: int
    started_ms: float = 0.0
    connection_ended_at: float = math.inf


@dataclass(frozen=True)
class MachineListed:
    """A placer was told of a machine by the list; state 0: gone."""

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
class _Seen:
    """Numbers seen in one direction of the sessions."""

    last: dict[bytes, int] = field(default_factory=dict)

    def fresh(self, session: bytes, seq: int) -> bool:
        if not seq or seq <= self.last.get(session, 0):
            return False
        self.last[session] = seq
        return True


class Tracer:
    """Messages in, events out. ``ends``: when each connection ended."""

    def __init__(self, ends: dict[int, float] | None = None) -> None:
        self._ends = ends or {}
        self._owner: dict[tuple[int, int], _OwnerStream] = {}
        self._machine: dict[tuple[int, int], _MachineStream] = {}
        self._from_owner, self._to_owner, self._from_machine = _Seen(), _Seen(), _Seen()
        self._offers: set[Key] = set()
        self._known: dict[str, set[str]] = {}  # by placer: machines that the list has named

    def events_of(self, message: Message | Closed) -> Iterator[Event]:
        if isinstance(message, Closed):
            for key in [key for key in self._owner if key[0] == message.connection]:
                stream = self._owner.pop(key)
                if stream.session:
                    yield ClientStream(message.at, message.target, stream.session, False)
        elif message.path == SUBMIT:
            yield from self._submit(message)
        elif message.path == OFFERS:
            yield from self._offer(message)
        elif message.path == WATCH and not message.from_client:
            yield from self._listed(message)

    def _submit(self, message: Message) -> Iterator[Event]:
        stream = self._owner.setdefault((message.connection, message.stream), _OwnerStream())
        placer, at = message.target, message.at
        if message.from_client:
            frame = placer_pb2.OwnerFrame.FromString(message.data)
            kind = frame.WhichOneof("body")
            if kind in (None, "hello") or not frame.seq:
                return
            again, session = not self._from_owner.fresh(stream.session, frame.seq), stream.session
            if kind == "submit":
                left = frame.submit.left_ms
                yield TaskSubmitted(
                    at, placer, session, frame.task, left, False, stream.incarnation, again, frame.submit.task
                )
            elif kind == "hand_over" and not again:
                yield TaskSubmitted(at, placer, session, frame.task, 0.0, True, stream.incarnation)
            elif kind == "cancel" and not again:
                yield TaskCancelled(at, placer, stream.session, frame.task)
            return
        answer = placer_pb2.PlacerFrame.FromString(message.data)
        kind = answer.WhichOneof("body")
        if kind == "welcome":
            stream.session, stream.incarnation = answer.welcome.session, answer.welcome.incarnation
            yield ClientStream(at, placer, stream.session, True)
        elif kind is not None and self._to_owner.fresh(stream.session, answer.seq):
            told = answer.refused_all.tasks if kind == "refused_all" else (answer.task,)
            word = "refused" if kind == "refused_all" else str(kind)
            for task in told:
                yield OutcomeSent(at, placer, stream.incarnation, stream.session, task, word, message.late_ms)

    def _offer(self, message: Message) -> Iterator[Event]:
        stream = self._machine.setdefault((message.connection, message.stream), _MachineStream())
        placer, machine, at = message.client, message.target, message.at
        until = self._ends.get(message.connection, math.inf)
        if message.from_client:
            frame = machine_pb2.ToMachine.FromString(message.data)
            kind = frame.WhichOneof("body")
            if kind == "hello":
                stream.number, stream.incarnation = frame.hello.number, frame.hello.incarnation
            elif kind == "offer":
                offer = frame.offer
                key = (stream.number, stream.incarnation, offer.request, offer.attempt)
                again = key in self._offers
                self._offers.add(key)
                yield OfferSent(at, placer, machine, key, offer.name, offer.task, offer.wait_ms, again, message.late_ms)
            elif kind == "withdraw":
                gone = frame.withdraw
                yield AttemptWithdrawn(
                    at, placer, machine, (stream.number, gone.incarnation, gone.request, gone.attempt)
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
            told = answer.attached
            yield MachineAttached(at, placer, machine, told.life, stream.incarnation, told.started_ms, until)
            for held in answer.attached.held:
                if held.incarnation == stream.incarnation:
                    key = (stream.number, stream.incarnation, held.request, held.attempt)
                    yield AttemptReported(at, placer, machine, key, "accepted", until)
        elif kind is not None and answer.seq:
            again = not self._from_machine.fresh(stream.session, answer.seq)
            key = (stream.number, stream.incarnation, answer.request, answer.attempt)
            yield AttemptReported(at, placer, machine, key, str(kind), until, again)

    def _listed(self, message: Message) -> Iterator[Event]:
        update = fleet_pb2.FleetUpdate.FromString(message.data)
        placer, at = message.client, message.at
        until = self._ends.get(message.connection, math.inf)
        known = self._known.setdefault(placer, set())
        if update.whole:
            for machine in sorted(known - {entry.name for entry in update.entries}):
                yield MachineListed(at, placer, machine, 0, "", "", 0.0, until)
        for entry in update.entries:
            known.add(entry.name)
            yield MachineListed(at, placer, entry.name, entry.state, entry.zone, entry.cell, entry.started_ms, until)


def read_events(records: Iterator[CaptureRecord]) -> Iterator[Event]:
    """The events of a capture, in order."""
    return events_from_messages(list(read_messages(records)))


def events_from_messages(found: Sequence[Message | Closed]) -> Iterator[Event]:
    """The events of a capture that has been taken apart."""
    tracer = Tracer({message.connection: message.at for message in found if isinstance(message, Closed)})
    for message in found:
        yield from tracer.events_of(message)
