"""What is kept of a task and of its attempts, and what its surroundings must be able to do. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from sprucepost.loop import Timer
from sprucepost.node.parsing import SetUp
from sprucepost.placing.ledger import Entry


class SetUpResult(Enum):
    """What became of a set-up."""

    ADMITTED = "taken"
    HOST_UNKNOWN = "unlisted"  # taken, though its ``at`` names a host that no list has told of
    CANCELLED = "unwanted"  # its owner gave it up before it was read
    DUPLICATE_ID = "repeated"  # its id is that of another task


class OwnerPort(Protocol):
    """One owner's connection."""

    @property
    def closed(self) -> bool: ...
    def add_placed_task(self) -> None:
        """A task that came on it stands: it, or another of its owner's, is needed until the release."""
        ...

    def remove_placed_task(self) -> None:
        """Such a task is over."""
        ...

    def input_read(self) -> bool:
        """Whether all that had come from that owner by the latest look has been read, on each of its connections."""
        ...

    def discard_set_up(self, sid: str) -> None:
        """No answer is owed to that set-up any more."""
        ...

    def answer(self, sid: str, text: str) -> None: ...
    def refuse(self, sid: str, cause: int, stay_away_ms: float) -> None: ...


class OwnersPort(Protocol):
    """All owners' connections."""

    def release(self, link: OwnerPort, sid: str, cause: int) -> None:
        """Tell the owner that its task is over: on that connection, else on another."""
        ...


class HostsPort(Protocol):
    """All hosts' connections."""

    def send_offer(self, attempt: Attempt) -> None:
        """Write the offer when :meth:`Tasks.write` gives it; end the attempt where it cannot be written."""
        ...

    def was_sent(self, attempt: Attempt) -> bool:
        """Whether the offer was written and has left whole: else the host cannot have read it."""
        ...

    def connection_failed_locally(self, attempt: Attempt) -> bool:
        """Whether it was not written since our own system had no descriptor, port or route for a connection."""
        ...

    def withdraw(self, attempt: Attempt) -> None:
        """Take the set-up back where it was written; forget it where it was not."""
        ...

    def withdraw_unsent(self, services: set[str]) -> None:
        """Offers of those services that still wait to be written are moot."""
        ...

    def end_task(self, machine: str, sid: str) -> None:
        """Have the host end a standing task."""
        ...

    def adopt(self, machine: str, sid: str) -> bool:
        """The task is ours to look after there, and not to be let go any more; False where the host is not listed."""
        ...


@dataclass(frozen=True)
class Withdrawal:
    """An attempt that was taken back when its time was up: when, in ms of the loop's clock, and whether it stood by its
    notes."""

    at: float
    noted: bool


class TaskState:
    """What the node keeps with a task's entry in the ledger (``Entry.ask``)."""

    __slots__ = ("attempt", "keeps_connection", "may_run_since", "owner", "placed_at", "queued", "setup", "withdrawals")

    def __init__(self, setup: SetUp, owner: OwnerPort) -> None:
        self.setup, self.owner = setup, owner
        self.attempt: Attempt | None = None
        self.placed_at = 0.0  # from when it stands, in ms of the loop's clock
        self.keeps_connection = False  # whether its owner's connection is kept for its release
        self.queued = False  # whether the module has not been told of it yet
        # What was taken back when its time was up, by host: the latest one there.
        self.withdrawals: dict[str, Withdrawal] = {}
        self.may_run_since: float | None = None  # when the first attempt began that may have run


class Attempt:
    """One attempt, from the module's decision until its end."""

    __slots__ = ("deadline", "end_offset", "entry", "link", "machine", "noted", "number", "offered_at", "timer")

    def __init__(self, entry: Entry, number: int, machine: str, offered_at: float, deadline: float) -> None:
        self.entry, self.number, self.machine, self.offered_at, self.deadline = (
            entry,
            number,
            machine,
            offered_at,
            deadline,
        )
        self.timer: Timer | None = None
        self.link: Any = None  # the host's connection that carries it, or is to
        self.end_offset = 0  # so many bytes of that connection have been sent once it is out whole
        self.noted = False  # whether the host has sent a note on the task, which it does only after its answer

    @property
    def sid(self) -> str:
        """The id of its task."""
        return self.entry.name
