"""Snapshots: taken when the log has grown, received in pieces. One that is under way is kept until a newer one begins."""

from __future__ import annotations

from sprucepost.agreement.core import Core
from sprucepost.agreement.log import Log
from sprucepost.agreement.words import Piece, Pieced, Restore, Snapshot


class Snapshots:
    """One keeper's."""

    def __init__(self, core: Core) -> None:
        self._core = core
        self._index = 0
        self._parts = bytearray()

    @property
    def wanted(self) -> bool:
        """Whether the log should give way to a snapshot of what has been applied."""
        core = self._core
        return core.log.bytes > core.bounds.log and core.commit > core.log.base

    def taken(self, index: int, state: bytes) -> None:
        """The state after applying up to that index; the entries up to there are forgotten."""
        core = self._core
        if not core.log.base < index <= core.commit:
            return
        term = core.log.term_at(index)
        assert term is not None
        core.snapshot = Snapshot(index, term, core.log.members_before(index), state)
        core.log.compact(index)
        core.write(snapshot=core.snapshot)

    def piece(self, name: str, word: Piece) -> None:
        """A part of the leader's snapshot."""
        core = self._core
        if word.term < core.term:
            core.say(name, Pieced(core.term, word.index, 0, word.round))
            return
        core.follow(word.term, name, "hears it")
        core.heard_leader = core.now
        if word.index <= core.commit:  # it is settled here already
            core.say(name, Pieced(core.term, word.index, 0, word.round, done=True))
            return
        if self._index != word.index:
            self._index, self._parts = word.index, bytearray()
        if word.at == len(self._parts):
            self._parts += word.data
            if word.last:
                self._take(word)
                core.say(name, Pieced(core.term, word.index, word.at + len(word.data), word.round, done=True))
                return
        core.say(name, Pieced(core.term, word.index, len(self._parts), word.round))

    def _take(self, word: Piece) -> None:
        core = self._core
        snapshot = Snapshot(word.index, word.index_term, word.members, bytes(self._parts))
        self._index, self._parts = 0, bytearray()
        core.snapshot = snapshot
        if core.log.term_at(word.index) == word.index_term:
            core.log.compact(word.index)  # what follows it is kept
            core.write(snapshot=snapshot)
        else:
            core.log = Log(snapshot)
            core.write(cut=word.index + 1, snapshot=snapshot)
        core.commit = word.index
        core.act(Restore(snapshot))
        core.counters["restored"] += 1
