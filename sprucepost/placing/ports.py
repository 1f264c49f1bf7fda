"""The interfaces of the streams to owners and machines, as the placing modules use them."""

from __future__ import annotations

from typing import Protocol

from sprucepost.v1 import machine_pb2, placer_pb2

Key = tuple[int, int]
"""The key of an attempt: its request number and its own number."""


class MachinePort(Protocol):
    """The stream to one machine, which may break and be established again."""

    @property
    def machine_incarnation(self) -> int:
        """The machine's incarnation as of its last attach; 0 before the first."""
        ...

    @property
    def attached(self) -> bool:
        """Whether the stream is established."""
        ...

    def offer(self, key: Key) -> None:
        """Request the frame of that offer (:meth:`Attempts.build_offer`) and send it as soon as the stream accepts it."""
        ...

    def drop(self, key: Key) -> None:
        """Remove an offer that is not written yet."""
        ...

    def close_to_offers(self, closed: bool) -> None:
        """Stop offers to the machine, or allow them again; offers not written yet are dropped."""
        ...

    def give_up_buffered(self) -> None:
        """Discard bytes still buffered on this side, because the time of an offer among them is over."""
        ...

    def send(self, frame: machine_pb2.ToMachine) -> None:
        """Send a numbered frame, now or when the session is resumed."""
        ...


class MachinesPort(Protocol):
    """The streams to all machines. ``incarnation`` is this placer's own."""

    incarnation: int

    def get(self, machine: str) -> MachinePort | None:
        """The stream to that machine, if the machine is known."""
        ...

    def gone(self, machine: str) -> None:
        """Close the stream to a machine that was removed."""
        ...


class SessionPort(Protocol):
    """One owner's session."""

    @property
    def token(self) -> bytes:
        """The session's identifier."""
        ...

    @property
    def owner(self) -> str:
        """The owner's name."""
        ...

    def send(self, frame: placer_pb2.PlacerFrame) -> None:
        """Send a numbered frame, now or when the session is resumed."""
        ...

    def refuse(self, task: str, why: str, retry_after_ms: float, is_invalid: bool = False) -> None:
        """Refuse a submission at once, ``is_invalid`` for what it contains; several refusals may share a frame, which is
        sent before any other."""
        ...

    def released(self, task: str, asks: int) -> None:
        """``asks`` submissions of the task will get no outcome: this session cancelled them while others wait."""
        ...

    def waited_ms(self) -> float:
        """How long, at most, the frame being handled has waited on this host, in ms."""
        ...


class OwnersPort(Protocol):
    """All owners' sessions."""

    def tell(self, token: bytes, frame: placer_pb2.PlacerFrame) -> None:
        """Send a frame to that session, if it is still known."""
        ...
