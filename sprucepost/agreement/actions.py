"""What a Raft server asks of the program that runs it (send, write, apply), and what it reports."""

from __future__ import annotations

from dataclasses import dataclass, field

from sprucepost.agreement.entries import Entry, Members, Snapshot
from sprucepost.agreement.messages import Message


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to another server."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class Write:
    """Make this durable, in order, then call ``write_completed`` with its sequence number.

    A write of which it is unknown whether it succeeded must be reported as failed. ``truncate_from``: entries from that
    index on are removed, then ``entries`` are appended. ``snapshot`` replaces everything up to its index.
    """

    sequence: int
    term: int
    voted_for: str | None
    truncate_from: int | None = None
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(frozen=True, slots=True)
class Apply:
    """Apply these committed entries, in order; all servers apply the same entries."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class RestoreSnapshot:
    """Replace the applied state by this one."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class ReadReady:
    """The read requested with that ticket may be answered from the applied state."""

    ticket: int


@dataclass(frozen=True, slots=True)
class ReadRejected:
    """This server cannot answer the read of that ticket; ask the leader, if one is known."""

    ticket: int


@dataclass(frozen=True, slots=True)
class LeaderChanged:
    """The leader has changed, as far as this server knows; None: no leader is known."""

    term: int
    leader: str | None
    reason: str = ""


Action = Send | Write | Apply | RestoreSnapshot | ReadReady | ReadRejected | LeaderChanged


@dataclass(slots=True)
class PersistentState:
    """The durable state of a server when it starts; the default is that of a new server."""

    term: int = 0
    voted_for: str | None = None
    snapshot: Snapshot = field(default_factory=lambda: Snapshot(0, 0, Members(), b""))
    entries: tuple[Entry, ...] = ()

    def after(self, write: Write) -> PersistentState:
        """The durable state once that write has completed."""
        snapshot, entries = self.snapshot, self.entries
        if write.truncate_from is not None:
            entries = tuple(entry for entry in entries if entry.index < write.truncate_from)
        if write.snapshot is not None and write.snapshot.index > snapshot.index:
            snapshot = write.snapshot
            entries = tuple(entry for entry in entries if entry.index > snapshot.index)
        return PersistentState(write.term, write.voted_for, snapshot, entries + write.entries)
