"""Linearizable reads without a log entry, by read index (Ongaro, 2014, 6.4).

A heartbeat round that a quorum answers proves that this server is still the leader.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from sprucepost.agreement.actions import ReadReady, ReadRejected
from sprucepost.agreement.replication import Replication
from sprucepost.agreement.state import Role, ServerState


@dataclass(frozen=True, slots=True)
class _PendingRead:
    ticket: int
    read_index: int
    heartbeat_round: int


class Reads:
    """The pending reads, which are answered in order."""

    def __init__(self, state: ServerState, replication: Replication) -> None:
        self._state, self._replication = state, replication
        self._pending: deque[_PendingRead] = deque()

    def request(self, ticket: int) -> None:
        """Emit ``ReadReady`` for that ticket once it may be answered, or ``ReadRejected``."""
        state = self._state
        # Until an entry of this term is committed, an earlier leader may have committed more than this one knows.
        has_committed = state.log.term_at(state.commit_index) == state.term
        if state.role is not Role.LEADER or not has_committed or len(self._pending) >= state.bounds.pending_reads:
            state.emit(ReadRejected(ticket))
            return
        current_round = self._replication.heartbeat_round
        needs_round = not self._pending or self._pending[-1].heartbeat_round <= current_round
        self._pending.append(_PendingRead(ticket, state.commit_index, current_round + 1))
        if needs_round:
            self._replication.send_heartbeats()
        self.advance()

    def advance(self) -> None:
        """Answer the reads whose round a quorum has answered; reject all if this server no longer leads."""
        state = self._state
        while self._pending:
            first = self._pending[0]
            if state.role is not Role.LEADER:
                state.emit(ReadRejected(first.ticket))
            elif self._is_confirmed(first.heartbeat_round) and state.commit_index >= first.read_index:
                state.emit(ReadReady(first.ticket))
            else:
                return
            self._pending.popleft()

    def _is_confirmed(self, heartbeat_round: int) -> bool:
        """Whether a quorum has answered that round."""
        progress = self._replication.progress
        answered = {name for name, known in progress.items() if known.heartbeat_round >= heartbeat_round}
        return self._state.log.members.is_quorum({self._state.server_id, *answered})
