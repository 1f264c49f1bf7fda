"""Messages between Raft servers, under the names of the Raft paper."""

from __future__ import annotations

from dataclasses import dataclass

from sprucepost.agreement.entries import Entry, Members


@dataclass(frozen=True, slots=True)
class RequestVote:
    """A candidate requests a vote.

    ``pre_vote``: asks only whether the vote would be granted, so that a partitioned server does not raise terms.
    ``leadership_transfer``: the leader itself requested this election.
    """

    term: int
    last_index: int
    last_term: int
    pre_vote: bool = False
    leadership_transfer: bool = False


@dataclass(frozen=True, slots=True)
class RequestVoteResponse:
    """Answers :class:`RequestVote`."""

    term: int
    granted: bool
    pre_vote: bool = False


@dataclass(frozen=True, slots=True)
class AppendEntries:
    """Entries after ``prev_index``; without entries a heartbeat. ``heartbeat_round`` numbers the leader's rounds."""

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    heartbeat_round: int = 0


@dataclass(frozen=True, slots=True)
class AppendEntriesResponse:
    """Answers :class:`AppendEntries`.

    ``match_index``: on success, the index up to which the log is durable and equal to the leader's; otherwise the index
    at which the leader should probe next.
    """

    term: int
    success: bool
    match_index: int
    heartbeat_round: int = 0


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """A chunk of a snapshot, beginning at byte ``offset``."""

    term: int
    last_included_index: int
    last_included_term: int
    members: Members
    offset: int
    data: bytes
    is_last: bool
    heartbeat_round: int = 0


@dataclass(frozen=True, slots=True)
class InstallSnapshotResponse:
    """Answers :class:`InstallSnapshot`.

    ``received_bytes``: how much of the snapshot has been received. ``done``: the whole snapshot has been received, or
    the receiver has already committed that far.
    """

    term: int
    last_included_index: int
    received_bytes: int
    heartbeat_round: int = 0
    done: bool = False


@dataclass(frozen=True, slots=True)
class TimeoutNow:
    """The leader transfers leadership: the receiver starts an election at once."""

    term: int


Message = (
    RequestVote
    | RequestVoteResponse
    | AppendEntries
    | AppendEntriesResponse
    | InstallSnapshot
    | InstallSnapshotResponse
    | TimeoutNow
)
