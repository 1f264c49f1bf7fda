"""State shared by the parts of a Raft server: its term, role and log, and the order of writes and sends.

=============  ===============================  ==============================================  ===========================
role           entered when                     what it does                                    left when
=============  ===============================  ==============================================  ===========================
follower       started; a newer term; a leader  appends entries, votes                          the election time-out runs
               of this term                                                                     out, and it is a voter
pre-candidate  the election time-out ran out    asks whether it would get votes; changes        a quorum would vote for it;
                                                nothing                                         a leader is heard
candidate      a quorum would vote for it, or   has raised the term, votes for itself, asks     a quorum votes for it; a
               the leader transfers leadership                                                  leader; a time-out
leader         a quorum voted for it            takes commands, replicates, counts what is      no quorum heard; a newer
                                                durable at a quorum                             term
failed         a write failed                   nothing                                         never: it restarts as
                                                                                                another member
=============  ===============================  ==============================================  ===========================

A server sends nothing that depends on state that is not durable yet: responses and vote requests wait for the last
write. A leader sends entries while it writes them, and counts itself once they are written.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass
from enum import Enum

from sprucepost.agreement.actions import Action, Apply, LeaderChanged, PersistentState, Send, Write
from sprucepost.agreement.entries import Entry, Snapshot
from sprucepost.agreement.log import Log
from sprucepost.agreement.messages import Message
from sprucepost.random_source import RandomSource


class Role(Enum):
    """The role of a server; see the table of this module."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
    FAILED = "failed"


@dataclass(frozen=True)
class Timing:
    """Times in ms. An election starts after 1 to 2 election time-outs without a leader; several heartbeats fit in."""

    election_timeout: float = 500.0
    heartbeat_interval: float = 100.0


@dataclass(frozen=True)
class Bounds:
    """Limits on what a server holds and has in flight."""

    append_bytes: int = 65_536  # of entries in one AppendEntries
    append_entries: int = 512  # in one AppendEntries
    appends_in_flight: int = 16  # to one follower
    snapshot_chunk_bytes: int = 65_536
    uncommitted_bytes: int = 4 * 1024 * 1024  # further commands are rejected
    log_bytes: int = 8 * 1024 * 1024  # of a larger log a snapshot is needed
    pending_reads: int = 4096


@dataclass(frozen=True, slots=True)
class _PendingWrite:
    sequence: int
    last_index: int  # of the log when it was written
    truncate_from: int | None


@dataclass(frozen=True, slots=True)
class _DeferredSend:
    after_sequence: int
    send: Send


class ServerState:
    """``stored`` is the durable state of this server. ``now`` is a monotonic clock's ms."""

    def __init__(
        self, server_id: str, stored: PersistentState, rng: RandomSource, now: float, timing: Timing, bounds: Bounds
    ) -> None:
        self.server_id, self.rng, self.now, self.timing, self.bounds = server_id, rng, now, timing, bounds
        self.term, self.voted_for = stored.term, stored.voted_for
        self.log = Log(stored.snapshot, stored.entries)
        self.snapshot: Snapshot = stored.snapshot
        self.role = Role.FOLLOWER
        self.leader: str | None = None
        self.commit_index = stored.snapshot.index
        self.durable_index = self.log.last_index
        self.leader_heard_at = float("-inf")
        self.counters: Counter[str] = Counter()
        self._actions: list[Action] = []
        self._written_sequence = 0  # the latest write that is durable
        self._last_sequence = 0  # the latest write that was requested
        self._pending_writes: deque[_PendingWrite] = deque()
        self._deferred_sends: deque[_DeferredSend] = deque()

    # Actions

    def emit(self, action: Action) -> None:
        """Add an action to those that the current call returns."""
        self._actions.append(action)

    def take_actions(self) -> list[Action]:
        """The actions since the last call."""
        actions, self._actions = self._actions, []
        return actions

    def send(self, to: str, message: Message) -> None:
        """Send at once: the message depends on nothing that is being written."""
        self.emit(Send(to, message))

    def send_when_durable(self, to: str, message: Message) -> None:
        """Send once all writes requested so far are durable."""
        if self._written_sequence < self._last_sequence:
            self._deferred_sends.append(_DeferredSend(self._last_sequence, Send(to, message)))
        else:
            self.send(to, message)

    # Durability

    def write(
        self, truncate_from: int | None = None, entries: tuple[Entry, ...] = (), snapshot: Snapshot | None = None
    ) -> None:
        """Request that term, vote and these changes of the log be made durable."""
        self._last_sequence += 1
        if truncate_from is not None:
            self.durable_index = min(self.durable_index, truncate_from - 1)
        self._pending_writes.append(_PendingWrite(self._last_sequence, self.log.last_index, truncate_from))
        self.emit(Write(self._last_sequence, self.term, self.voted_for, truncate_from, entries, snapshot))

    def write_completed(self, sequence: int) -> None:
        """That write, and all before it, are durable."""
        end = None
        while self._pending_writes and self._pending_writes[0].sequence <= sequence:
            end = self._pending_writes.popleft().last_index
        self._written_sequence = max(self._written_sequence, sequence)
        if end is not None:
            # A later write may remove entries that this one made durable.
            kept = [write.truncate_from - 1 for write in self._pending_writes if write.truncate_from is not None]
            self.durable_index = min([max(self.durable_index, end), self.log.last_index, *kept])
        while self._deferred_sends and self._deferred_sends[0].after_sequence <= self._written_sequence:
            self.emit(self._deferred_sends.popleft().send)

    @property
    def all_durable(self) -> bool:
        """Whether nothing is being written."""
        return self._written_sequence == self._last_sequence

    # Terms and commits

    def become_follower(self, term: int, leader: str | None, reason: str) -> None:
        """Follow in that term, which is not older than the current one."""
        is_newer = term > self.term
        if is_newer:
            self.term, self.voted_for = term, None
            self.write()
        if is_newer or self.role is not Role.FOLLOWER or leader != self.leader:
            self.role = Role.FOLLOWER
            if leader != self.leader or is_newer:
                self.leader = leader
                self.emit(LeaderChanged(self.term, leader, reason))

    def step_down(self, reason: str) -> None:
        """Become a follower without a newer term."""
        self.role = Role.FOLLOWER
        self.forget_leader(reason)

    def forget_leader(self, reason: str) -> None:
        """Note that no leader is known."""
        self.leader = None
        self.emit(LeaderChanged(self.term, None, reason))

    def commit_to(self, index: int) -> None:
        """All entries up to that index are committed."""
        if index > self.commit_index:
            entries = self.log.entries_between(self.commit_index, index)
            self.commit_index = index
            self.emit(Apply(entries))

    def is_up_to_date(self, last_index: int, last_term: int) -> bool:
        """Whether a log that ends there is at least as up to date as this one (Ongaro, 2014, 3.6.1)."""
        return (last_term, last_index) >= (self.log.last_term, self.log.last_index)
