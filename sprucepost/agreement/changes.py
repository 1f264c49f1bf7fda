"""Changes of the members, one at a time, and the leader's hand-over (Ongaro, 2014, 3.10, 4.1 to 4.3).

A new keeper is a learner until it has nearly all of the log, and only then a voter. A change counts from the moment it is in
the log, and the next one may be asked for once it is settled and the leader has settled something of its own term: without
that, two leaders could each change the members by one and have no voter in common.
"""

from __future__ import annotations

from dataclasses import replace

from sprucepost.agreement.core import Core, Role
from sprucepost.agreement.replication import Replication
from sprucepost.agreement.words import Begin, Led, Members

NEAR = 64  # entries that a learner may lack and be made a voter


class Changes:
    """The leader's part in them."""

    def __init__(self, core: Core, replication: Replication) -> None:
        self._core, self._replication = core, replication
        self.target: str | None = None  # to whom this member is handing over
        self._until = 0.0

    def problem(self) -> str:
        """Why no change can be made now; empty where one can."""
        core = self._core
        if core.role is not Role.LEADER:
            return "does not lead"
        if core.log.members_at > core.commit:
            return "another change is not settled yet"
        if core.log.term_at(core.commit) != core.term:
            return "the leader has settled nothing yet"
        return ""

    def learn(self, name: str) -> Members | str:
        """The members with one more learner, or why not."""
        members = self._core.log.members
        if name in members.all:
            return f"{name} is a keeper already"
        return self.problem() or replace(members, learners=members.learners | {name})

    def promote(self, name: str) -> Members | str:
        """The members with a learner made a voter, or why not."""
        core, members = self._core, self._core.log.members
        peer = self._replication.peers.get(name)
        if name not in members.learners:
            return f"{name} is no learner"
        if why := self.problem():
            return why
        if peer is None or core.log.last - peer.match > NEAR:
            return f"{name} lacks too much of the log"
        return Members(members.voters | {name}, members.learners - {name})

    def remove(self, name: str) -> Members | str:
        """The members without one, or why not."""
        members = self._core.log.members
        if name not in members.all:
            return f"{name} is no keeper"
        if members.voters == {name}:
            return f"{name} is the last voter"
        return self.problem() or Members(members.voters - {name}, members.learners - {name})

    def transfer(self, name: str) -> str:
        """Hand over to a voter; why not, empty where it has begun. Commands are refused until it is over."""
        core = self._core
        if core.role is not Role.LEADER:
            return "does not lead"
        if name not in core.log.members.voters or name == core.ident:
            return f"{name} is no other voter"
        if self.target is not None:
            return f"{self.target} is being handed over to"
        self.target, self._until = name, core.now + core.timing.election
        self.tick()
        return ""

    def tick(self) -> None:
        """Let it begin once it has everything; give up where that takes too long."""
        core = self._core
        if self.target is None:
            return
        peer = self._replication.peers.get(self.target)
        if core.role is not Role.LEADER or peer is None or core.now >= self._until:
            self.target = None
        elif peer.match == core.log.last:
            core.send(self.target, Begin(core.term))

    def settled(self) -> None:
        """Something was settled: a leader that is no voter any more lets the others lead."""
        core = self._core
        gone = core.log.members_at <= core.commit and core.ident not in core.log.members.voters
        if core.role is Role.LEADER and gone:
            core.role, core.leader = Role.FOLLOWER, None
            core.act(Led(core.term, None, "is a keeper no more"))
