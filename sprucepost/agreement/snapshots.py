"""Snapshots, taken when the log has grown and received in chunks; a partial one is kept until a newer one begins."""

from __future__ import annotations

from sprucepost.agreement.actions import RestoreSnapshot
from sprucepost.agreement.entries import Snapshot
from sprucepost.agreement.log import Log
from sprucepost.agreement.messages import InstallSnapshot, InstallSnapshotResponse
from sprucepost.agreement.state import ServerState


class Snapshots:
    """Compacts the log of one server, and installs snapshots that a leader sends."""

    def __init__(self, state: ServerState) -> None:
        self._state = state
        self._receiving_index = 0
        self._received = bytearray()

    @property
    def needed(self) -> bool:
        """Whether the log should be replaced by a snapshot of the applied state."""
        state = self._state
        return state.log.size_bytes > state.bounds.log_bytes and state.commit_index > state.log.snapshot_index

    def take(self, index: int, applied_state: bytes) -> None:
        """Compact the log: ``applied_state`` is the state after applying up to that index."""
        state = self._state
        if not state.log.snapshot_index < index <= state.commit_index:
            return
        term = state.log.term_at(index)
        assert term is not None
        state.snapshot = Snapshot(index, term, state.log.members_at(index), applied_state)
        state.log.compact(index)
        state.write(snapshot=state.snapshot)

    def handle_install(self, leader: str, request: InstallSnapshot) -> None:
        """Accept a chunk of the leader's snapshot; install the snapshot once it is complete."""
        state = self._state
        if request.term < state.term:
            self._respond(leader, request, 0)
            return
        state.become_follower(request.term, leader, "heard a leader")
        state.leader_heard_at = state.now
        if request.last_included_index <= state.commit_index:
            self._respond(leader, request, 0, done=True)
            return
        if self._receiving_index != request.last_included_index:
            self._receiving_index, self._received = request.last_included_index, bytearray()
        if request.offset == len(self._received):
            self._received += request.data
            if request.is_last:
                self._install(request)
                self._respond(leader, request, request.offset + len(request.data), done=True)
                return
        self._respond(leader, request, len(self._received))

    def _respond(self, leader: str, request: InstallSnapshot, received_bytes: int, done: bool = False) -> None:
        response = InstallSnapshotResponse(
            self._state.term, request.last_included_index, received_bytes, request.heartbeat_round, done
        )
        self._state.send_when_durable(leader, response)

    def _install(self, request: InstallSnapshot) -> None:
        state, index = self._state, request.last_included_index
        snapshot = Snapshot(index, request.last_included_term, request.members, bytes(self._received))
        self._receiving_index, self._received = 0, bytearray()
        state.snapshot = snapshot
        if state.log.term_at(index) == request.last_included_term:
            state.log.compact(index)  # the entries after it are kept
            state.write(snapshot=snapshot)
        else:
            state.log = Log(snapshot)
            state.write(truncate_from=index + 1, snapshot=snapshot)
        state.commit_index = index
        state.emit(RestoreSnapshot(snapshot))
        state.counters["snapshots_installed"] += 1
