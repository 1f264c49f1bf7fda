"""The parts of the replicated log: entries, the members that replicate it, and snapshots."""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass

ENTRY_OVERHEAD_BYTES = 24  # approximate size of index, term and framing


@dataclass(frozen=True, slots=True)
class Members:
    """The cluster's configuration: voters form quorums, learners only receive the log.

    A server's id stands for one incarnation: a server without a disk is another member after a restart.
    """

    voters: frozenset[str] = frozenset()
    learners: frozenset[str] = frozenset()

    @property
    def all(self) -> frozenset[str]:
        """Voters and learners."""
        return self.voters | self.learners

    def is_quorum(self, servers: Set[str]) -> bool:
        """Whether these are more than half of the voters."""
        return 2 * len(self.voters & servers) > len(self.voters)


@dataclass(frozen=True, slots=True)
class LogPosition:
    """Identifies one entry: leaders of several terms may have written at one index, and only one entry is committed."""

    index: int
    term: int


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the log: a command, a membership change, or neither (the first entry of a new leader's term)."""

    index: int
    term: int
    command: bytes | None = None
    members: Members | None = None

    @property
    def size(self) -> int:
        """Approximate size in bytes on the wire and in memory."""
        names = sum(map(len, self.members.all)) if self.members is not None else 0
        return ENTRY_OVERHEAD_BYTES + len(self.command or b"") + names


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state after applying an index; it replaces all entries up to that index."""

    index: int
    term: int
    members: Members
    state: bytes
