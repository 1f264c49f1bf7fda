"""One keeper of the fleet's replicated log: its concerns put together. Time and words in, actions out; no I/O.

Raft as published (Ongaro and Ousterhout, 2014; Ongaro's dissertation of the same year). What each concern does stands with
it: ``election``, ``replication``, ``snapshots``, ``reads``, ``changes``; their common ground, with the roles, in ``core``.
"""

from __future__ import annotations

from sprucepost.agreement.changes import Changes
from sprucepost.agreement.core import Bounds, Core, Role, Timing
from sprucepost.agreement.election import Election
from sprucepost.agreement.reads import Reads
from sprucepost.agreement.replication import Replication
from sprucepost.agreement.snapshots import Snapshots
from sprucepost.agreement.words import (
    Action,
    Append,
    Appended,
    Ask,
    Entry,
    Held,
    Led,
    Members,
    Piece,
    Pieced,
    Vote,
    Word,
)
from sprucepost.draws import Draws

DEFAULT_TIMING, DEFAULT_BOUNDS = Timing(), Bounds()


class Keeper:
    """``ident`` is of one life: without what it had durable, a restarted keeper is another member."""

    def __init__(
        self,
        ident: str,
        held: Held,
        rng: Draws,
        now: float,
        timing: Timing = DEFAULT_TIMING,
        bounds: Bounds = DEFAULT_BOUNDS,
    ) -> None:
        self.core = Core(ident, held, rng, now, timing, bounds)
        self.replication = Replication(self.core)
        self.election = Election(self.core, self._lead)
        self.snapshots = Snapshots(self.core)
        self.reads = Reads(self.core, self.replication)
        self.changes = Changes(self.core, self.replication)
        self._uncommitted = 0

    # What may be asked

    @property
    def leads(self) -> bool:
        return self.core.role is Role.LEADER

    @property
    def leader(self) -> str | None:
        return self.core.leader

    @property
    def members(self) -> Members:
        return self.core.log.members

    # What happens

    def tick(self, now: float) -> list[Action]:
        """To be called often: a tenth of ``Timing.beat`` is plenty."""
        self.core.now = now
        if self.core.role is not Role.DEAD:
            self.election.tick()
            self.replication.tick()
            self.changes.tick()
            self.reads.look()
        return self._out()

    def heard(self, now: float, peer: str, word: Word) -> list[Action]:
        """A word of another member, however late, however often."""
        core = self.core
        core.now = now
        if core.role is Role.DEAD:
            return []
        if isinstance(word, Append):
            if word.term >= core.term:
                self.election.wait()
            self.replication.append(peer, word)
        elif isinstance(word, Appended):
            self.replication.appended(peer, word)
        elif isinstance(word, Ask):
            self.election.asked(peer, word)
        elif isinstance(word, Vote):
            self.election.voted(peer, word)
        elif isinstance(word, Piece):
            if word.term >= core.term:
                self.election.wait()
            self.snapshots.piece(peer, word)
        elif isinstance(word, Pieced):
            self.replication.pieced(peer, word)
        elif word.term == core.term and self.election.may_stand and core.role is not Role.LEADER:  # Begin
            self.election.stand(transfer=True)
        return self._out()

    def written(self, now: float, number: int) -> list[Action]:
        """All writes up to that one are durable."""
        self.core.now = now
        if self.core.role is not Role.DEAD:
            self.core.written(number)
            self.election.written()
            if self.leads:
                self.replication.advance()
        return self._out()

    def failed(self, now: float) -> list[Action]:
        """A write failed. What is durable is not known any more: this member never speaks again."""
        self.core.now = now
        self.core.role, self.core.leader = Role.DEAD, None
        self.core.act(Led(self.core.term, None, "a write failed"))
        return self._out()

    def propose(self, now: float, command: bytes) -> tuple[tuple[int, int] | None, list[Action]]:
        """A command, to be settled; its place and term, or None where this member cannot take it. It is settled when
        ``Commit`` brings that place with that term; with another term it never was, and may be asked again."""
        core = self.core
        core.now = now
        size = len(command)
        if not self.leads or self.changes.target is not None or self._waiting() + size > core.bounds.uncommitted:
            core.counters["not_taken"] += 1
            return None, self._out()
        entry = self._enter(command=command)
        return (entry.index, entry.term), self._out()

    def read(self, now: float, ticket: int) -> list[Action]:
        """Ask when a read may be answered."""
        self.core.now = now
        self.reads.ask(ticket)
        return self._out()

    def change(self, now: float, what: str, name: str) -> tuple[str, list[Action]]:
        """``learn``, ``promote``, ``remove`` a member, or ``transfer`` the lead to it; why not, empty where it has begun."""
        core = self.core
        core.now = now
        if what == "transfer":
            return self.changes.transfer(name), self._out()
        found = {"learn": self.changes.learn, "promote": self.changes.promote, "remove": self.changes.remove}[what](
            name
        )
        if isinstance(found, str):
            return found, self._out()
        self._enter(members=found)
        return "", self._out()

    def snapshotted(self, now: float, index: int, state: bytes) -> list[Action]:
        """The state after applying up to that index, in answer to ``snapshots.wanted``."""
        self.core.now = now
        self.snapshots.taken(index, state)
        return self._out()

    # How

    def _lead(self) -> None:
        self.changes.target = None
        self.replication.lead()
        self._enter()  # nothing of an earlier term can be settled without one of this (3.6.2)

    def _enter(self, command: bytes | None = None, members: Members | None = None) -> Entry:
        core = self.core
        entry = Entry(core.log.last + 1, core.term, command, members)
        core.log.extend([entry])
        core.write(entries=(entry,))
        if members is not None:
            self.replication.meet()
        self.replication.feed()
        return entry

    def _waiting(self) -> int:
        """Bytes of what is not settled yet, or fewer than that where a snapshot is not much behind."""
        core = self.core
        return sum(entry.size for entry in core.log.between(max(core.commit, core.log.base), core.log.last))

    def _out(self) -> list[Action]:
        self.changes.settled()
        if not self.leads:
            self.replication.peers = {}
        self.reads.look()
        return self.core.out()
