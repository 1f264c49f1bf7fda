"""What keepers say to each other, what they hold, and what the state machine asks of whoever carries it."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Members:
    """Who keeps the log: voters decide, learners only receive it. Idents are of one life: without a disk, of one start."""

    voters: frozenset[str] = frozenset()
    learners: frozenset[str] = frozenset()

    @property
    def all(self) -> frozenset[str]:
        return self.voters | self.learners

    def majority(self, those: frozenset[str] | set[str]) -> bool:
        """Whether those are more than half of the voters."""
        return 2 * len(self.voters & those) > len(self.voters)


@dataclass(frozen=True, slots=True)
class Entry:
    """One place in the log: a command, a change of members, or neither (what a new leader begins with)."""

    index: int
    term: int
    command: bytes | None = None
    members: Members | None = None

    @property
    def size(self) -> int:
        """About how many bytes it takes on the wire and in memory."""
        names = sum(map(len, self.members.all)) if self.members is not None else 0
        return 24 + len(self.command or b"") + names


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state after an index, in place of all entries up to it."""

    index: int
    term: int
    members: Members
    state: bytes


# Between keepers


@dataclass(frozen=True, slots=True)
class Ask:
    """For a vote; ``trial``: whether it would be given, so that nobody disturbs a leader that others hear."""

    term: int
    last_index: int
    last_term: int
    trial: bool = False
    transfer: bool = False  # the leader itself wants it


@dataclass(frozen=True, slots=True)
class Vote:
    term: int
    given: bool
    trial: bool = False


@dataclass(frozen=True, slots=True)
class Append:
    """Entries after ``before``, none as a sign of life; ``round`` counts the leader's rounds, for reads."""

    term: int
    before: int
    before_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int = 0


@dataclass(frozen=True, slots=True)
class Appended:
    """``match``: durable up to there and as the leader has it; refused, ``match`` is where to look next."""

    term: int
    ok: bool
    match: int
    round: int = 0


@dataclass(frozen=True, slots=True)
class Piece:
    """A part of a snapshot, from a byte on."""

    term: int
    index: int
    index_term: int
    members: Members
    at: int
    data: bytes
    last: bool
    round: int = 0


@dataclass(frozen=True, slots=True)
class Pieced:
    """So many bytes of that snapshot are here; ``done``: all of it, or what it has is settled here already."""

    term: int
    index: int
    have: int
    round: int = 0
    done: bool = False


@dataclass(frozen=True, slots=True)
class Begin:
    """The leader hands over: be a candidate now."""

    term: int


Word = Ask | Vote | Append | Appended | Piece | Pieced | Begin


# To whoever carries it


@dataclass(frozen=True, slots=True)
class Send:
    to: str
    word: Word


@dataclass(frozen=True, slots=True)
class Write:
    """Make this durable, in this order, then call ``written(number)``. What is in doubt must never be taken for written.

    ``cut``: entries from there on are void; then ``entries`` follow. ``snapshot`` takes the place of all up to its index.
    """

    number: int
    term: int
    vote: str | None
    cut: int | None = None
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


@dataclass(frozen=True, slots=True)
class Commit:
    """Apply these, in order; all keepers get the same."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Restore:
    """Take this state in place of what was applied."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class Readable:
    """Reads asked for with that ticket may be answered from what has been applied."""

    ticket: int


@dataclass(frozen=True, slots=True)
class Unreadable:
    """This member cannot answer them: ask the leader, if one is known."""

    ticket: int


@dataclass(frozen=True, slots=True)
class Led:
    """Who leads has changed, as far as this member knows."""

    term: int
    leader: str | None
    why: str = ""


Action = Send | Write | Commit | Restore | Readable | Unreadable | Led


@dataclass(slots=True)
class Held:
    """What a member has durable when it starts; ``fresh`` for one that starts with nothing."""

    term: int = 0
    vote: str | None = None
    snapshot: Snapshot = field(default_factory=lambda: Snapshot(0, 0, Members(), b""))
    entries: tuple[Entry, ...] = ()

    def after(self, write: Write) -> Held:
        """What is durable once that write is."""
        snapshot, entries = self.snapshot, self.entries
        if write.cut is not None:
            entries = tuple(entry for entry in entries if entry.index < write.cut)
        if write.snapshot is not None and write.snapshot.index > snapshot.index:
            snapshot = write.snapshot
            entries = tuple(entry for entry in entries if entry.index > snapshot.index)
        return Held(write.term, write.vote, snapshot, entries + write.entries)
