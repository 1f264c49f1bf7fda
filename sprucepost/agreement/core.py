"""What all concerns of a keeper share: its term, its role, its log, and the order of writing and saying.

=========  ==================================  ==================================================  ==========================
role       entered when                        what it does                                        left when
=========  ==================================  ==================================================  ==========================
follower   started; a newer term; a leader     takes entries, votes                                nobody leads for a drawn
           of this term                                                                            time, and it is a voter
trial      nobody leads                        asks whether it would get votes; changes nothing    a majority would; leader
candidate  a majority would vote for it, or    has raised the term, votes for itself, asks         a majority votes; leader;
           the leader hands over                                                                   its time is over
leader     a majority voted for it             takes commands, sends entries, counts what is       no majority; a newer term
                                               durable at a majority                               heard of for a while
dead       a write failed                      nothing any more                                    never: it starts again as
                                                                                                   another member
=========  ==================================  ==================================================  ==========================

A member says nothing that depends on what it has not durable yet: whatever a follower or candidate says waits for its latest
write. A leader sends entries while it writes them, and counts itself once they are written.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass
from enum import Enum

from sprucepost.agreement.log import Log
from sprucepost.agreement.words import Action, Commit, Entry, Held, Led, Send, Snapshot, Word, Write
from sprucepost.draws import Draws


class Role(Enum):
    FOLLOWER = "follower"
    TRIAL = "trial"
    CANDIDATE = "candidate"
    LEADER = "leader"
    DEAD = "dead"


@dataclass(frozen=True)
class Timing:
    """ms. ``election``: a leader is missed after once to twice that; ``beat`` is a fifth of it, so that one may be lost."""

    election: float = 500.0
    beat: float = 100.0


@dataclass(frozen=True)
class Bounds:
    """What a keeper may hold and have under way: bytes, but for ``entries`` and ``appends``."""

    append: int = 65_536  # of entries in one Append
    entries: int = 512  # in one Append
    appends: int = 16  # under way to one follower
    piece: int = 65_536  # of a snapshot in one Piece
    uncommitted: int = 4 * 1024 * 1024  # commands beyond that are refused
    log: int = 8 * 1024 * 1024  # a snapshot is wanted beyond that
    reads: int = 4096  # waiting


class Core:
    """``held`` is what this member has durable. ``now`` is a monotonic clock's ms."""

    def __init__(self, ident: str, held: Held, rng: Draws, now: float, timing: Timing, bounds: Bounds) -> None:
        self.ident, self.rng, self.now, self.timing, self.bounds = ident, rng, now, timing, bounds
        self.term, self.vote = held.term, held.vote
        self.log = Log(held.snapshot, held.entries)
        self.snapshot: Snapshot = held.snapshot
        self.role = Role.FOLLOWER
        self.leader: str | None = None
        self.commit = held.snapshot.index
        self.safe = self.log.last  # durable up to there
        self.heard_leader = float("-inf")
        self.counters: Counter[str] = Counter()
        self._actions: list[Action] = []
        self._written = self._wrote = 0
        self._writes: deque[tuple[int, int, int | None]] = deque()  # number, the log's end, where it was cut
        self._waiting: deque[tuple[int, Send]] = deque()  # said once that write is durable

    # Out

    def act(self, action: Action) -> None:
        self._actions.append(action)

    def out(self) -> list[Action]:
        actions, self._actions = self._actions, []
        return actions

    def say(self, to: str, word: Word) -> None:
        """Once all that was written before is durable."""
        if self._written < self._wrote:
            self._waiting.append((self._wrote, Send(to, word)))
        else:
            self.act(Send(to, word))

    def send(self, to: str, word: Word) -> None:
        """At once: it depends on nothing that is being written."""
        self.act(Send(to, word))

    # What is durable

    def write(self, cut: int | None = None, entries: tuple[Entry, ...] = (), snapshot: Snapshot | None = None) -> None:
        """Have term and vote, and these changes of the log, made durable."""
        self._wrote += 1
        if cut is not None:
            self.safe = min(self.safe, cut - 1)
        self._writes.append((self._wrote, self.log.last, cut))
        self.act(Write(self._wrote, self.term, self.vote, cut, entries, snapshot))

    def written(self, number: int) -> None:
        """That write, and all before it, are durable."""
        end = None
        while self._writes and self._writes[0][0] <= number:
            end = self._writes.popleft()[1]
        self._written = max(self._written, number)
        if end is not None:
            cuts = [cut - 1 for _, _, cut in self._writes if cut is not None]
            self.safe = min([max(self.safe, end), self.log.last, *cuts])
        while self._waiting and self._waiting[0][0] <= self._written:
            self.act(self._waiting.popleft()[1])

    @property
    def durable(self) -> bool:
        """Whether nothing is being written."""
        return self._written == self._wrote

    # Terms and commits

    def follow(self, term: int, leader: str | None, why: str) -> None:
        """Be a follower of that term, which is not older than ours."""
        newer = term > self.term
        if newer:
            self.term, self.vote = term, None
            self.write()
        if newer or self.role is not Role.FOLLOWER or leader != self.leader:
            self.role = Role.FOLLOWER
            if leader != self.leader or newer:
                self.leader = leader
                self.act(Led(self.term, leader, why))

    def committed(self, index: int) -> None:
        """All up to there is settled."""
        if index > self.commit:
            entries = self.log.between(self.commit, index)
            self.commit = index
            self.act(Commit(entries))

    def as_new(self, index: int, term: int) -> bool:
        """Whether a log that ends there is not behind ours."""
        return (term, index) >= (self.log.last_term, self.log.last)
