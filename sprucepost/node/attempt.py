"""State kept for a task and for each attempt to place it, and the interfaces that the task states need. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from sprucepost.loop import Timer
from sprucepost.node.parsing import SetUp
from sprucepost.node.process_identity import ProcessConnection, TaskProcess
from sprucepost.placing.ledger import Entry


class SetUpResult(Enum):
    """Result of admitting a set-up."""

    ADMITTED = "taken"
    HOST_UNKNOWN = "unlisted"  # admitted, but its ``at`` names a host that has not been in any list
    CANCELLED = "unwanted"  # its owner cancelled it before it was read
    DUPLICATE_ID = "repeated"  # its id belongs to another task, and it hands none over
    OVER_SHARE = "over_share"  # its client has handed over as many tasks as are kept for one client


class OwnerPort(Protocol):
    """Connection of one owner."""

    @property
    def closed(self) -> bool: ...
    @property
    def is_flooding(self) -> bool:
        """Whether it has had unread input for longer than other connections wait for it."""
        ...

    def add_placed_task(self) -> None:
        """Count a task placed for this connection: it, or another one of its owner, is kept open for the release."""
        ...

    def remove_placed_task(self) -> None:
        """Stop counting such a task, which has ended."""
        ...

    def input_read(self, ready_at: float) -> bool:
        """Return whether an attempt that could have been sent at that time, in ms of the loop's clock, may be sent now: no
        input is left unread that may hold the owner's cancellation and came before."""
        ...

    def discard_set_up(self, sid: str) -> None:
        """Drop an open set-up that needs no answer any more."""
        ...

    def answer(self, sid: str, text: str) -> None: ...
    def refuse(self, sid: str, cause: int, stay_away_ms: float) -> None: ...


class OwnersPort(Protocol):
    """Connections of all owners."""

    def release(self, link: OwnerPort, sid: str, cause: int) -> None:
        """Tell the owner that its task has ended: on that connection, or else on another one."""
        ...

    def cancel_release(self, sid: str) -> None:
        """Send the release of that task no more: the task has been handed over, or its owner knows of the end."""
        ...

    def release_again(self, link: OwnerPort, sid: str) -> None:
        """Send the release of a task that its owner hands over on this connection, if the owner may not have heard of it."""
        ...


class HostsPort(Protocol):
    """Connections to all hosts."""

    def send_offer(self, attempt: Attempt) -> None:
        """Write the offer once :meth:`Tasks.encode_offer` returns it; end the attempt if it cannot be written."""
        ...

    def was_sent(self, attempt: Attempt) -> bool:
        """Return whether the offer was sent completely; if not, the host cannot have read it."""
        ...

    def unwritten_by_fault_of_host(self, attempt: Attempt) -> bool:
        """Return whether the host is to blame that the offer was not written; if not, this machine or its owner is."""
        ...

    def withdraw(self, attempt: Attempt, tell_host: bool = True) -> None:
        """Withdraw the offer at its host if it was written, else drop it; without ``tell_host`` the host keeps the task."""
        ...

    def withdraw_unsent(self, services: set[str]) -> None:
        """End attempts for those services whose offers are still unwritten, as void."""
        ...

    def end_task(self, machine: str, sid: str) -> None:
        """Tell the host to end a placed task."""
        ...

    def adopt(self, machine: str, sid: str) -> bool:
        """Take over a task that runs there, and cancel a pending :meth:`end_task`; False if the host is not listed."""
        ...

    def is_being_ended(self, machine: str, sid: str) -> bool:
        """Return whether the host may be about to read an :meth:`end_task` that was sent before."""
        ...

    def is_listed(self, machine: str) -> bool:
        """Return whether the host is on the list, or has left it and still matters."""
        ...


class ConnectedHost(Protocol):
    """The host to which a connection leads."""

    uid: str


class HostConnection(Protocol):
    """One connection to a host."""

    process: ProcessConnection

    def leads_to_listed_host(self, now: float) -> bool:
        """Whether the host that the list has at the address is the one at its other end, for all that is known."""
        ...

    @property
    def host(self) -> ConnectedHost: ...


@dataclass(frozen=True)
class Withdrawal:
    """An attempt that was withdrawn when it timed out."""

    at: float  # in ms of the loop's clock
    noted: bool  # whether the host had sent a note on the task, so it had accepted it


@dataclass(frozen=True)
class HandOver:
    """A set-up with ``at``, and the connection that brought it."""

    setup: SetUp
    owner: OwnerPort


class TaskState:
    """State that the node keeps with a task's ledger entry."""

    __slots__ = (
        "attempt",
        "end_requested",
        "handed_over_by",
        "handover",
        "keeps_connection",
        "may_run_since",
        "owner",
        "process",
        "queued",
        "setup",
        "withdrawals",
    )

    def __init__(self, setup: SetUp, owner: OwnerPort) -> None:
        self.setup, self.owner = setup, owner
        self.attempt: Attempt | None = None
        self.handed_over_by: OwnerPort | None = None  # the client in whose share of such tasks it counts
        self.process: TaskProcess | None = None  # the process that runs it, once it is placed
        self.handover: HandOver | None = None  # of the same task, read while its set-up was open
        self.keeps_connection = False  # whether the owner's connection is kept open for the release
        self.end_requested = False  # whether its host was asked to end it before it was handed over
        self.queued = False  # whether the scheduler has not been told of the task yet
        self.withdrawals: dict[str, Withdrawal] = {}  # the latest attempt withdrawn on timeout, by host
        self.may_run_since: float | None = None  # offer time of the first attempt that a host may have run


class Attempt:
    """One attempt to place a task, from the scheduler's offer until its end. Times are ms of the loop's clock."""

    __slots__ = (
        "deadline",
        "end_offset",
        "entry",
        "held_back",
        "link",
        "machine",
        "noted",
        "number",
        "offered_at",
        "ready_at",
        "timer",
        "written_at",
    )

    def __init__(self, entry: Entry, number: int, machine: str, offered_at: float, deadline: float) -> None:
        self.entry, self.number, self.machine, self.offered_at, self.deadline = (
            entry,
            number,
            machine,
            offered_at,
            deadline,
        )
        self.timer: Timer | None = None
        self.link: HostConnection | None = None  # the connection to the host on which the offer was written
        self.written_at = 0.0  # when the offer was written there
        self.end_offset = 0  # bytes sent on that connection once the offer has been sent completely
        self.ready_at: float | None = None  # when it could have been sent first, but for unread input of its owner
        self.held_back = False  # whether it waited for unread input of its owner, although there was a connection
        self.noted = False  # whether the host has sent a note on the task, which it does only after its answer

    @property
    def host(self) -> str:
        """Id of the host that has the attempt: another than ``machine`` once that one has been replaced at its address."""
        return self.link.host.uid if self.link is not None else self.machine

    @property
    def sid(self) -> str:
        """Id of the task."""
        return self.entry.name
