"""Reads that see all that was settled before they were asked, without a write: a round of beats proves that this member
still leads (Ongaro, 2014, 6.4)."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from sprucepost.agreement.core import Core, Role
from sprucepost.agreement.replication import Replication
from sprucepost.agreement.words import Readable, Unreadable


@dataclass(frozen=True, slots=True)
class _Read:
    ticket: int
    index: int
    round: int


class Reads:
    """Those that wait; answered in order."""

    def __init__(self, core: Core, replication: Replication) -> None:
        self._core, self._replication = core, replication
        self._waiting: deque[_Read] = deque()

    def ask(self, ticket: int) -> None:
        """``Readable`` comes for that ticket once it may be answered, or ``Unreadable``."""
        core = self._core
        settled = core.log.term_at(core.commit) == core.term  # else an earlier leader may have settled more
        if core.role is not Role.LEADER or not settled or len(self._waiting) >= core.bounds.reads:
            core.act(Unreadable(ticket))
            return
        fresh = not self._waiting or self._waiting[-1].round <= self._replication.round
        self._waiting.append(_Read(ticket, core.commit, self._replication.round + 1))
        if fresh:
            self._replication.beat()
        self.look()

    def look(self) -> None:
        """Answer those whose round a majority has answered, or all with no where this member leads no more."""
        core = self._core
        while self._waiting:
            first = self._waiting[0]
            if core.role is not Role.LEADER:
                core.act(Unreadable(first.ticket))
            elif self._proved(first.round) and core.commit >= first.index:
                core.act(Readable(first.ticket))
            else:
                return
            self._waiting.popleft()

    def _proved(self, round_: int) -> bool:
        peers = self._replication.peers
        return self._core.log.members.majority(
            {self._core.ident, *(name for name, peer in peers.items() if peer.round >= round_)}
        )
