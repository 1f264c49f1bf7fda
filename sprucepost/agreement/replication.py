"""Log replication from the leader to the followers, and the commit index (Ongaro, 2014, 3.5).

Entries are sent while the leader writes them (10.2.1).

===========  =========================================  ==========================================================
a follower   when                                       what it is sent
===========  =========================================  ==========================================================
probed       the leader is new, or an AppendEntries     one AppendEntries at a time, to find where the logs agree
             was rejected
replicated   an AppendEntries succeeded                 what it lacks, several AppendEntries in flight
restored     what it lacks is in the snapshot only      chunks of the snapshot, one at a time
===========  =========================================  ==========================================================
"""

from __future__ import annotations

from dataclasses import dataclass

from sprucepost.agreement.entries import Entry
from sprucepost.agreement.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    InstallSnapshotResponse,
)
from sprucepost.agreement.state import Role, ServerState

QUORUM_TIMEOUTS = 2  # a leader steps down after so many election time-outs without responses of a quorum
LOST_AFTER_INTERVALS = 5  # heartbeat intervals of silence after which messages in flight are considered lost
CHUNK_RETRY_INTERVALS = 2  # heartbeat intervals after which a chunk of a snapshot may be sent again
NEVER = float("-inf")


@dataclass(slots=True)
class Progress:
    """What the leader knows of another server."""

    next_index: int
    match_index: int = 0  # durable there
    is_replicating: bool = False  # the logs are known to agree; otherwise it is probed
    in_flight: int = 0  # AppendEntries without a response
    chunk_sent_at: float = NEVER
    last_heard: float = 0.0
    heartbeat_round: int = 0  # the latest that it has answered
    snapshot_index: int = 0  # of the snapshot that is being sent to it, 0 for none
    snapshot_offset: int = 0  # bytes of that snapshot that it has


class Replication:
    """The leader's side."""

    def __init__(self, state: ServerState) -> None:
        self._state = state
        self.progress: dict[str, Progress] = {}
        self.heartbeat_round = 0
        self._heartbeat_at = 0.0

    # Called by the server

    def start_leading(self) -> None:
        """Begin a term as leader: nothing is known of the others yet."""
        self.progress = {}
        self.heartbeat_round, self._heartbeat_at = 0, self._state.now
        self.update_members()

    def update_members(self) -> None:
        """Track the servers that have joined, and forget those that have left."""
        state = self._state
        others = state.log.members.all - {state.server_id}
        self.progress = {
            name: self.progress.get(name) or Progress(state.log.last_index + 1, last_heard=state.now)
            for name in sorted(others)
        }

    def tick(self) -> None:
        """Send heartbeats when they are due; step down without responses of a quorum."""
        state = self._state
        if state.role is not Role.LEADER:
            return
        if not self._has_quorum_since(state.now - QUORUM_TIMEOUTS * state.timing.election_timeout):
            state.counters["no_quorum"] += 1
            state.step_down("no quorum")
            return
        if state.now >= self._heartbeat_at:
            self.send_heartbeats()

    def send_heartbeats(self) -> None:
        """Start a heartbeat round: each follower is sent the entries it lacks, or an empty AppendEntries."""
        state = self._state
        self._heartbeat_at = state.now + state.timing.heartbeat_interval
        self.heartbeat_round += 1
        for name, progress in self.progress.items():
            silent = state.now - progress.last_heard
            if progress.in_flight and silent > LOST_AFTER_INTERVALS * state.timing.heartbeat_interval:
                progress.in_flight, progress.is_replicating = 0, False
                progress.next_index = progress.match_index + 1
            if not self._replicate_to(name, progress, is_heartbeat=True):
                self._send_append(name, progress, ())

    def replicate(self) -> None:
        """Send the followers the entries they lack, now."""
        for name, progress in self.progress.items():
            self._replicate_to(name, progress)

    def advance_commit(self) -> None:
        """Commit the entries that are durable at a quorum, if the last one is of the current term (3.6.2)."""
        state = self._state
        voters = state.log.members.voters
        matches = sorted(state.durable_index if name == state.server_id else self._match_index(name) for name in voters)
        if not matches:
            return
        index = matches[(len(matches) - 1) // 2]
        if index > state.commit_index and state.log.term_at(index) == state.term:
            state.commit_to(index)

    def handle_append_response(self, name: str, response: AppendEntriesResponse) -> None:
        """Continue after an AppendEntries that succeeded, or probe for the index where the logs agree."""
        state, progress = self._state, self._progress_of(name, response)
        if progress is None:
            return
        progress.in_flight = max(0, progress.in_flight - 1)
        match = min(response.match_index, state.log.last_index)
        if response.success:
            progress.match_index = max(progress.match_index, match)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
            progress.is_replicating, progress.snapshot_index = True, 0
            self.advance_commit()
        else:
            progress.is_replicating, progress.in_flight = False, 0
            progress.next_index = max(progress.match_index, match) + 1
        self._replicate_to(name, progress)

    def handle_snapshot_response(self, name: str, response: InstallSnapshotResponse) -> None:
        """Send the next chunk, or continue with entries."""
        state, progress = self._state, self._progress_of(name, response)
        if progress is None:
            return
        index = response.last_included_index
        if index != progress.snapshot_index or index != state.snapshot.index:
            return
        progress.snapshot_offset = min(response.received_bytes, len(state.snapshot.state))
        if response.done:  # and it is durable there
            progress.match_index, progress.snapshot_index = max(progress.match_index, index), 0
            progress.next_index, progress.is_replicating = progress.match_index + 1, True
            self.advance_commit()
            self._replicate_to(name, progress)
        else:
            self._send_chunk(name, progress, again=True)

    # Implementation

    def _has_quorum_since(self, since: float) -> bool:
        """Whether a quorum, this server included, has responded since then."""
        state = self._state
        heard = {name for name, progress in self.progress.items() if progress.last_heard >= since}
        return state.log.members.is_quorum({state.server_id, *heard})

    def _match_index(self, name: str) -> int:
        progress = self.progress.get(name)
        return progress.match_index if progress is not None else 0

    def _progress_of(self, name: str, response: AppendEntriesResponse | InstallSnapshotResponse) -> Progress | None:
        """The progress that a response counts for; None if it is of another term or from a server that is no member."""
        state, progress = self._state, self.progress.get(name)
        if response.term > state.term:
            state.become_follower(response.term, None, "a newer term")
        if progress is None or state.role is not Role.LEADER or response.term != state.term:
            return None
        progress.last_heard = state.now
        progress.heartbeat_round = max(progress.heartbeat_round, response.heartbeat_round)
        return progress

    def _replicate_to(self, name: str, progress: Progress, is_heartbeat: bool = False) -> bool:
        """Send what a follower lacks; returns whether anything was sent or a chunk is in flight."""
        state = self._state
        if progress.next_index <= state.log.snapshot_index:
            self._send_chunk(name, progress, again=is_heartbeat)
            return True
        sent = False
        while progress.next_index <= state.log.last_index and self._may_append(progress, is_heartbeat):
            entries = state.log.entries_after(
                progress.next_index - 1, state.bounds.append_bytes, state.bounds.append_entries
            )
            self._send_append(name, progress, entries)
            progress.in_flight += 1
            sent = True
            if not progress.is_replicating:
                break
            progress.next_index += len(entries)
        return sent

    def _may_append(self, progress: Progress, is_heartbeat: bool) -> bool:
        if progress.is_replicating:
            return progress.in_flight < self._state.bounds.appends_in_flight
        return is_heartbeat or progress.in_flight < 1

    def _send_append(self, name: str, progress: Progress, entries: tuple[Entry, ...]) -> None:
        state = self._state
        prev_index = min(progress.next_index - 1, state.log.last_index)
        prev_term = state.log.term_at(prev_index)
        if prev_term is None:
            self._send_chunk(name, progress, again=True)
            return
        message = AppendEntries(state.term, prev_index, prev_term, entries, state.commit_index, self.heartbeat_round)
        state.send(name, message)

    def _send_chunk(self, name: str, progress: Progress, again: bool) -> None:
        """Send the next chunk of the snapshot; unless ``again``, only if none was sent within the retry interval."""
        state, snapshot = self._state, self._state.snapshot
        if progress.snapshot_index != snapshot.index:
            progress.snapshot_index, progress.snapshot_offset, progress.chunk_sent_at = snapshot.index, 0, NEVER
        retry_ms = CHUNK_RETRY_INTERVALS * state.timing.heartbeat_interval
        if not again and state.now - progress.chunk_sent_at < retry_ms:
            return
        progress.chunk_sent_at = state.now
        offset = progress.snapshot_offset
        data = snapshot.state[offset : offset + state.bounds.snapshot_chunk_bytes]
        message = InstallSnapshot(
            state.term,
            snapshot.index,
            snapshot.term,
            snapshot.members,
            offset,
            data,
            is_last=offset + len(data) >= len(snapshot.state),
            heartbeat_round=self.heartbeat_round,
        )
        state.send(name, message)
        state.counters["snapshot_chunks_sent"] += 1
