"""The follower's side of log replication (Ongaro, 2014, 3.5)."""

from __future__ import annotations

from sprucepost.agreement.entries import Entry
from sprucepost.agreement.messages import AppendEntries, AppendEntriesResponse
from sprucepost.agreement.state import ServerState


class Follower:
    """Appends the entries that a leader sends."""

    def __init__(self, state: ServerState) -> None:
        self._state = state

    def handle_append(self, leader: str, request: AppendEntries) -> None:
        """Append entries, or note a heartbeat."""
        state = self._state
        if request.term < state.term:
            self._respond(leader, request, False, state.log.last_index)
            return
        state.become_follower(request.term, leader, "heard a leader")
        state.leader_heard_at = state.now
        entries, prev_index = request.entries, request.prev_index
        if prev_index < state.log.snapshot_index:  # the snapshot holds committed entries, so these are equal
            skipped = state.log.snapshot_index - prev_index
            if len(entries) < skipped:
                self._respond(leader, request, True, prev_index + len(entries))
                return
            entries, prev_index = entries[skipped:], state.log.snapshot_index
        else:
            term = state.log.term_at(prev_index)
            if term != request.prev_term:
                self._respond(leader, request, False, self._next_candidate(prev_index, term))
                return
        self._append(entries)
        match_index = prev_index + len(entries)
        self._respond(leader, request, True, match_index)
        state.commit_to(min(request.commit_index, match_index))

    def _respond(self, leader: str, request: AppendEntries, success: bool, match_index: int) -> None:
        response = AppendEntriesResponse(self._state.term, success, match_index, request.heartbeat_round)
        self._state.send_when_durable(leader, response)

    def _append(self, entries: tuple[Entry, ...]) -> None:
        """Append from the first entry on that the log does not have or has with another term."""
        state = self._state
        for position, entry in enumerate(entries):
            term = state.log.term_at(entry.index)
            if term != entry.term:
                truncate_from = entry.index if term is not None else None
                if truncate_from is not None:
                    assert truncate_from > state.commit_index, "committed entries are never removed"
                    state.log.truncate_from(truncate_from)
                state.log.extend(entries[position:])
                state.write(truncate_from, entries[position:])
                return

    def _next_candidate(self, prev_index: int, term: int | None) -> int:
        """The index at which the leader should probe next: before the conflicting term, or at the end of this log."""
        state = self._state
        if term is None:
            return state.log.last_index
        index = prev_index - 1
        while index > state.commit_index and state.log.term_at(index) == term:
            index -= 1
        return index
