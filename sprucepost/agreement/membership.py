"""Membership changes, one server at a time, and leadership transfer (Ongaro, 2014, 3.10, 4.1 to 4.3).

A new server is a learner until it has nearly all of the log, and only then a voter. A change takes effect once it is
appended. The next one may start once it is committed and the leader has committed an entry of its own term: otherwise
two leaders could each change the members by one and end with quorums that have no voter in common.
"""

from __future__ import annotations

from dataclasses import replace

from sprucepost.agreement.entries import Members
from sprucepost.agreement.messages import TimeoutNow
from sprucepost.agreement.replication import Replication
from sprucepost.agreement.state import Role, ServerState

PROMOTION_LAG_ENTRIES = 64  # a learner that lacks more entries is not promoted


class ChangeRejected(Exception):
    """A membership change or leadership transfer cannot be made now; the text says why."""


class Membership:
    """The leader's part in membership changes and leadership transfer."""

    def __init__(self, state: ServerState, replication: Replication) -> None:
        self._state, self._replication = state, replication
        self.transfer_target: str | None = None
        self._transfer_deadline = 0.0

    def add_learner(self, name: str) -> Members:
        """The members with one more learner; raises :class:`ChangeRejected`."""
        members = self._state.log.members
        if name in members.all:
            raise ChangeRejected(f"{name} is a member already")
        self._check_ready()
        return replace(members, learners=members.learners | {name})

    def promote(self, name: str) -> Members:
        """The members with a learner made a voter; raises :class:`ChangeRejected`."""
        state, members = self._state, self._state.log.members
        progress = self._replication.progress.get(name)
        if name not in members.learners:
            raise ChangeRejected(f"{name} is no learner")
        self._check_ready()
        if progress is None or state.log.last_index - progress.match_index > PROMOTION_LAG_ENTRIES:
            raise ChangeRejected(f"{name} lacks too much of the log")
        return Members(members.voters | {name}, members.learners - {name})

    def remove(self, name: str) -> Members:
        """The members without one; raises :class:`ChangeRejected`."""
        members = self._state.log.members
        if name not in members.all:
            raise ChangeRejected(f"{name} is no member")
        if members.voters == {name}:
            raise ChangeRejected(f"{name} is the last voter")
        self._check_ready()
        return Members(members.voters - {name}, members.learners - {name})

    def transfer_leadership(self, name: str) -> None:
        """Begin a transfer to another voter; raises :class:`ChangeRejected`. Commands are rejected until it is over."""
        state = self._state
        if state.role is not Role.LEADER:
            raise ChangeRejected("does not lead")
        if name not in state.log.members.voters or name == state.server_id:
            raise ChangeRejected(f"{name} is no other voter")
        if self.transfer_target is not None:
            raise ChangeRejected(f"leadership is being transferred to {self.transfer_target}")
        self.transfer_target = name
        self._transfer_deadline = state.now + state.timing.election_timeout
        self.tick()

    def tick(self) -> None:
        """Let the target start an election once it has the whole log; give up after an election time-out."""
        state = self._state
        if self.transfer_target is None:
            return
        progress = self._replication.progress.get(self.transfer_target)
        if state.role is not Role.LEADER or progress is None or state.now >= self._transfer_deadline:
            self.transfer_target = None
        elif progress.match_index == state.log.last_index:
            state.send(self.transfer_target, TimeoutNow(state.term))

    def step_down_if_removed(self) -> None:
        """Step down if this leader is no longer a voter according to the committed log."""
        state = self._state
        is_committed = state.log.members_index <= state.commit_index
        if state.role is Role.LEADER and is_committed and state.server_id not in state.log.members.voters:
            state.step_down("removed from the voters")

    def _check_ready(self) -> None:
        state = self._state
        if state.role is not Role.LEADER:
            raise ChangeRejected("does not lead")
        if state.log.members_index > state.commit_index:
            raise ChangeRejected("another change is not committed yet")
        if state.log.term_at(state.commit_index) != state.term:
            raise ChangeRejected("the leader has committed nothing in its term yet")
