"""What the streams to owners and machines must offer to the walk of a task."""

from __future__ import annotations

from typing import Protocol

from sprucepost.v1 import machine_pb2, placer_pb2

Key = tuple[int, int]
"""An attempt: its request and its number."""


class MachinePort(Protocol):
    """The stream to one machine, which comes and goes."""

    @property
    def machine_incarnation(self) -> int:
        """The machine's own incarnation, as it said when it last attached; 0 before that."""
        ...

    @property
    def attached(self) -> bool: ...

    def offer(self, key: Key) -> None:
        """Ask :meth:`Writing.write` for that offer as soon as the stream takes it."""
        ...

    def drop(self, key: Key) -> None:
        """Do not ask for it any more."""
        ...

    def close_to_offers(self, closed: bool) -> None:
        """The machine takes no new work, or does again; what waits to be written is dropped."""
        ...

    def give_up_buffered(self) -> None:
        """An offer's time is over: if bytes still lie on this side, they must not go out."""
        ...

    def send(self, frame: machine_pb2.ToMachine) -> None:
        """A numbered frame; it goes out now or when the session is resumed."""
        ...


class MachinesPort(Protocol):
    """All machines' streams."""

    incarnation: int

    def get(self, machine: str) -> MachinePort | None: ...
    def gone(self, machine: str) -> None: ...


class SessionPort(Protocol):
    """One owner's session."""

    @property
    def token(self) -> bytes: ...
    @property
    def owner(self) -> str: ...
    def send(self, frame: placer_pb2.PlacerFrame) -> None: ...
    def refuse(self, task: str, why: str, retry_after_ms: float) -> None:
        """Its ask is refused at once; several may go out in one frame, before any other."""
        ...

    def released(self, task: str, asks: int) -> None:
        """So many of its asks for the task will have no outcome: it has cancelled them, while others wait."""
        ...

    def waited_ms(self) -> float:
        """How long, at most, the frame that is being taken had waited in this host."""
        ...


class OwnersPort(Protocol):
    """All owners' sessions."""

    def tell(self, token: bytes, frame: placer_pb2.PlacerFrame) -> None: ...
