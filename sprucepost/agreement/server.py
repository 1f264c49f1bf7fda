"""One Raft server: time and messages in, actions out; no I/O.

Raft as published (Ongaro and Ousterhout, 2014; Ongaro's dissertation of the same year). Each part has a module of its
own: ``election``, ``replication``, ``follower``, ``snapshots``, ``reads``, ``membership``; shared state is in
``state``.
"""

from __future__ import annotations

from enum import Enum

from sprucepost.agreement.actions import Action, PersistentState
from sprucepost.agreement.election import Election
from sprucepost.agreement.entries import Entry, LogPosition, Members
from sprucepost.agreement.follower import Follower
from sprucepost.agreement.membership import ChangeRejected, Membership
from sprucepost.agreement.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    InstallSnapshotResponse,
    Message,
    RequestVote,
    RequestVoteResponse,
    TimeoutNow,
)
from sprucepost.agreement.reads import Reads
from sprucepost.agreement.replication import Replication
from sprucepost.agreement.snapshots import Snapshots
from sprucepost.agreement.state import Bounds, Role, ServerState, Timing
from sprucepost.random_source import RandomSource

DEFAULT_TIMING, DEFAULT_BOUNDS = Timing(), Bounds()


class Change(Enum):
    """A change that an operator may request of the leader."""

    ADD_LEARNER = "add learner"
    PROMOTE = "promote"
    REMOVE = "remove"
    TRANSFER_LEADERSHIP = "transfer leadership"


class RaftServer:
    """``server_id`` stands for one incarnation: without its durable state, a restarted server is another member."""

    def __init__(
        self,
        server_id: str,
        stored: PersistentState,
        rng: RandomSource,
        now: float,
        timing: Timing = DEFAULT_TIMING,
        bounds: Bounds = DEFAULT_BOUNDS,
    ) -> None:
        self.state = ServerState(server_id, stored, rng, now, timing, bounds)
        self.replication = Replication(self.state)
        self.election = Election(self.state, self._start_leading)
        self.follower = Follower(self.state)
        self.snapshots = Snapshots(self.state)
        self.reads = Reads(self.state, self.replication)
        self.membership = Membership(self.state, self.replication)

    # Queries

    @property
    def is_leader(self) -> bool:
        """Whether this server leads, as far as it knows."""
        return self.state.role is Role.LEADER

    @property
    def leader(self) -> str | None:
        """The id of the leader of the current term; None if unknown."""
        return self.state.leader

    @property
    def members(self) -> Members:
        """The latest members in the log, committed or not."""
        return self.state.log.members

    # Events

    def tick(self, now: float) -> list[Action]:
        """Must be called periodically; a tenth of ``Timing.heartbeat_interval`` is often enough."""
        self.state.now = now
        if self.state.role is not Role.FAILED:
            self.election.tick()
            self.replication.tick()
            self.membership.tick()
            self.reads.advance()
        return self._finish()

    def receive(self, now: float, peer: str, message: Message) -> list[Action]:
        """Handle a message of another server; it may be late, repeated or out of order."""
        self.state.now = now
        if self.state.role is Role.FAILED:
            return []
        self._dispatch(peer, message)
        return self._finish()

    def write_completed(self, now: float, sequence: int) -> list[Action]:
        """All writes up to that one are durable."""
        self.state.now = now
        if self.state.role is not Role.FAILED:
            self.state.write_completed(sequence)
            self.election.write_completed()
            if self.is_leader:
                self.replication.advance_commit()
        return self._finish()

    def write_failed(self, now: float) -> list[Action]:
        """A write failed: what is durable is no longer known, and this server never sends anything again."""
        self.state.now = now
        self.state.role = Role.FAILED
        self.state.forget_leader("a write failed")
        return self._finish()

    # Requests

    def propose(self, now: float, command: bytes) -> tuple[LogPosition | None, list[Action]]:
        """Append a command; returns its position, or None if this server cannot accept it.

        It is committed when ``Apply`` delivers that index with that term. If the term is another one, the command was
        not committed and may be proposed again.
        """
        self.state.now = now
        if not self._accepts(command):
            self.state.counters["proposals_rejected"] += 1
            return None, self._finish()
        entry = self._append(command=command)
        return LogPosition(entry.index, entry.term), self._finish()

    def read(self, now: float, ticket: int) -> list[Action]:
        """Request a linearizable read; ``ReadReady`` or ``ReadRejected`` with that ticket answers it."""
        self.state.now = now
        self.reads.request(ticket)
        return self._finish()

    def change(self, now: float, change: Change, name: str) -> tuple[ChangeRejected | None, list[Action]]:
        """Change the members or the leader; returns the reason of a rejection, None if the change has begun."""
        self.state.now = now
        try:
            self._begin_change(change, name)
        except ChangeRejected as rejection:
            return rejection, self._finish()
        return None, self._finish()

    def take_snapshot(self, now: float, index: int, applied_state: bytes) -> list[Action]:
        """Compact the log by the state after applying up to that index; call it when ``snapshots.needed``."""
        self.state.now = now
        self.snapshots.take(index, applied_state)
        return self._finish()

    # Implementation

    def _dispatch(self, peer: str, message: Message) -> None:
        if isinstance(message, AppendEntries | InstallSnapshot) and message.term >= self.state.term:
            self.election.reset_timeout()
        match message:
            case AppendEntries():
                self.follower.handle_append(peer, message)
            case AppendEntriesResponse():
                self.replication.handle_append_response(peer, message)
            case RequestVote():
                self.election.handle_request(peer, message)
            case RequestVoteResponse():
                self.election.handle_response(peer, message)
            case InstallSnapshot():
                self.snapshots.handle_install(peer, message)
            case InstallSnapshotResponse():
                self.replication.handle_snapshot_response(peer, message)
            case TimeoutNow():
                self._handle_timeout_now(message)

    def _handle_timeout_now(self, message: TimeoutNow) -> None:
        if message.term == self.state.term and self.election.may_campaign and not self.is_leader:
            self.election.start(leadership_transfer=True)

    def _begin_change(self, change: Change, name: str) -> None:
        match change:
            case Change.TRANSFER_LEADERSHIP:
                self.membership.transfer_leadership(name)
            case Change.ADD_LEARNER:
                self._append(members=self.membership.add_learner(name))
            case Change.PROMOTE:
                self._append(members=self.membership.promote(name))
            case Change.REMOVE:
                self._append(members=self.membership.remove(name))

    def _start_leading(self) -> None:
        self.membership.transfer_target = None
        self.replication.start_leading()
        self._append()  # nothing of an earlier term can be committed without an entry of this one (3.6.2)

    def _append(self, command: bytes | None = None, members: Members | None = None) -> Entry:
        state = self.state
        entry = Entry(state.log.last_index + 1, state.term, command, members)
        state.log.extend([entry])
        state.write(entries=(entry,))
        if members is not None:
            self.replication.update_members()
        self.replication.replicate()
        return entry

    def _accepts(self, command: bytes) -> bool:
        if not self.is_leader or self.membership.transfer_target is not None:
            return False
        return self._uncommitted_bytes() + len(command) <= self.state.bounds.uncommitted_bytes

    def _uncommitted_bytes(self) -> int:
        state = self.state
        start = max(state.commit_index, state.log.snapshot_index)
        return sum(entry.size for entry in state.log.entries_between(start, state.log.last_index))

    def _finish(self) -> list[Action]:
        """Do what follows from a call, and return its actions."""
        self.membership.step_down_if_removed()
        if not self.is_leader:
            self.replication.progress = {}
        self.reads.advance()
        return self.state.take_actions()
