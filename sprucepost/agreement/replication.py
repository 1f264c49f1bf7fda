"""Entries from the leader to the others, and what is settled by it (Ongaro, 2014, 3.5; sent while they are written, 10.2.1).

=========  =================================================  ==========================================================
a peer     when                                               what it is sent
=========  =================================================  ==========================================================
sought     the leader is new, or an Append was refused        one Append at a time, to find where the logs agree
fed        an Append was taken                                what it lacks, several Appends under way
pieced     what it lacks is in the snapshot only              pieces of the snapshot, one at a time
=========  =================================================  ==========================================================
"""

from __future__ import annotations

from dataclasses import dataclass

from sprucepost.agreement.core import Core, Role
from sprucepost.agreement.words import Append, Appended, Entry, Led, Piece, Pieced


@dataclass(slots=True)
class Peer:
    """What the leader knows of another member."""

    following: int  # the next index to send
    match: int = 0  # durable there
    fed: bool = False
    under_way: int = 0  # Appends without an answer
    asked_at: float = float("-inf")  # when a sought or pieced one was last sent something
    heard: float = 0.0  # when it last said anything
    round: int = 0  # the latest that it has answered
    snapshot: int = 0  # index of the one that it gets, 0 for none
    have: int = 0  # bytes of it


class Replication:
    """The leader's side while this member leads, the follower's side else."""

    def __init__(self, core: Core) -> None:
        self._core = core
        self.peers: dict[str, Peer] = {}
        self.round = 0
        self._beat_at = 0.0

    # The leader

    def lead(self) -> None:
        """Begin to lead: nothing is known of the others yet."""
        core = self._core
        self.peers = {}
        self.round, self._beat_at = 0, core.now
        self.meet()

    def meet(self) -> None:
        """The members have changed: know who is new, forget who has gone."""
        core = self._core
        others = core.log.members.all - {core.ident}
        self.peers = {
            name: self.peers.get(name) or Peer(core.log.last + 1, heard=core.now, asked_at=float("-inf"))
            for name in sorted(others)
        }

    def tick(self) -> None:
        """Beat, look after answers that stay away, and step down where no majority is heard."""
        core = self._core
        if core.role is not Role.LEADER:
            return
        if not self.quorum(core.now - 2 * core.timing.election):
            core.counters["no_quorum"] += 1
            core.role, core.leader = Role.FOLLOWER, None
            core.act(Led(core.term, None, "no majority heard of"))
            return
        if core.now >= self._beat_at:
            self.beat()

    def beat(self) -> None:
        """A sign of life to all, which counts a round."""
        core = self._core
        self._beat_at = core.now + core.timing.beat
        self.round += 1
        for name, peer in self.peers.items():
            if peer.under_way and core.now - peer.heard > 5 * core.timing.beat:
                peer.under_way, peer.fed = 0, False  # its answers, or our words, are lost
                peer.following = peer.match + 1
            if not self._feed(name, peer, always=True):
                self._append(name, peer, ())

    def feed(self) -> None:
        """Send what others lack, now."""
        for name, peer in self.peers.items():
            self._feed(name, peer)

    def quorum(self, since: float) -> bool:
        """Whether a majority, this member included, has said something since then."""
        core = self._core
        return core.log.members.majority({core.ident, *(n for n, peer in self.peers.items() if peer.heard >= since)})

    def _feed(self, name: str, peer: Peer, always: bool = False) -> bool:
        """Whether something went out."""
        core = self._core
        if peer.following <= core.log.base:
            return self._piece(name, peer, always)
        sent = False
        while peer.following <= core.log.last:
            if peer.under_way >= (core.bounds.appends if peer.fed else 1) and not (always and not peer.fed):
                break
            entries = core.log.after(peer.following - 1, core.bounds.append, core.bounds.entries)
            self._append(name, peer, entries)
            peer.under_way += 1
            sent = True
            if not peer.fed:
                break
            peer.following += len(entries)
        return sent

    def _append(self, name: str, peer: Peer, entries: tuple[Entry, ...]) -> None:
        core = self._core
        before = min(peer.following - 1, core.log.last)
        term = core.log.term_at(before)
        if term is None:
            self._piece(name, peer, True)
            return
        core.send(name, Append(core.term, before, term, entries, core.commit, self.round))

    def _piece(self, name: str, peer: Peer, always: bool) -> bool:
        core, snapshot = self._core, self._core.snapshot
        if peer.snapshot != snapshot.index:
            peer.snapshot, peer.have, peer.asked_at = snapshot.index, 0, float("-inf")
        if not always and core.now - peer.asked_at < 2 * core.timing.beat:
            return True
        peer.asked_at = core.now
        data = snapshot.state[peer.have : peer.have + core.bounds.piece]
        last = peer.have + len(data) >= len(snapshot.state)
        core.send(
            name,
            Piece(core.term, snapshot.index, snapshot.term, snapshot.members, peer.have, data, last, self.round),
        )
        core.counters["pieces"] += 1
        return True

    def appended(self, name: str, answer: Appended) -> None:
        """An answer to an Append."""
        core, peer = self._core, self._heard(name, answer)
        if peer is None:
            return
        peer.under_way = max(0, peer.under_way - 1)
        if answer.ok:
            peer.match = max(peer.match, min(answer.match, core.log.last))
            peer.following = max(peer.following, peer.match + 1)
            peer.fed, peer.snapshot = True, 0
            self.advance()
        else:
            peer.fed, peer.under_way = False, 0
            peer.following = max(peer.match, min(answer.match, core.log.last)) + 1
        self._feed(name, peer)

    def pieced(self, name: str, answer: Pieced) -> None:
        """An answer to a piece of a snapshot."""
        core, peer = self._core, self._heard(name, answer)
        if peer is None:
            return
        if answer.index != peer.snapshot or answer.index != core.snapshot.index:
            return
        peer.have = min(answer.have, len(core.snapshot.state))
        if answer.done:  # and holds it durable
            peer.match, peer.snapshot = max(peer.match, answer.index), 0
            peer.following, peer.fed = peer.match + 1, True
            self.advance()
            self._feed(name, peer)
        else:
            self._piece(name, peer, True)

    def _heard(self, name: str, answer: Appended | Pieced) -> Peer | None:
        """The peer whose answer counts; None where it is of another term, or nobody asked."""
        core, peer = self._core, self.peers.get(name)
        if answer.term > core.term:
            core.follow(answer.term, None, "a newer term")
        if peer is None or core.role is not Role.LEADER or answer.term != core.term:
            return None
        peer.heard = core.now
        peer.round = max(peer.round, answer.round)
        return peer

    def advance(self) -> None:
        """Settle what is durable at a majority, if it is of this term (3.6.2)."""
        core = self._core
        voters = core.log.members.voters
        matches = sorted(core.safe if name == core.ident else self._match(name) for name in voters)
        if not matches:
            return
        index = matches[(len(matches) - 1) // 2]
        if index > core.commit and core.log.term_at(index) == core.term:
            core.committed(index)

    def _match(self, name: str) -> int:
        peer = self.peers.get(name)
        return peer.match if peer is not None else 0

    # The follower

    def append(self, name: str, word: Append) -> None:
        """Entries, or a sign of life, from a leader."""
        core = self._core
        if word.term < core.term:
            core.say(name, Appended(core.term, False, core.log.last, word.round))
            return
        core.follow(word.term, name, "hears it")
        core.heard_leader = core.now
        if word.before < core.log.base:  # what a snapshot has is settled, and the same
            skip = core.log.base - word.before
            entries = word.entries[skip:]
            before = core.log.base
            if len(word.entries) < skip:
                core.say(name, Appended(core.term, True, word.before + len(word.entries), word.round))
                return
        else:
            entries, before = word.entries, word.before
            term = core.log.term_at(before)
            if term != word.before_term:
                core.say(name, Appended(core.term, False, self._agrees(before, term), word.round))
                return
        for n, entry in enumerate(entries):
            known = core.log.term_at(entry.index)
            if known != entry.term:
                cut = entry.index if known is not None else None
                if cut is not None:
                    assert cut > core.commit, "what is settled is never cut"
                    core.log.cut(cut)
                core.log.extend(entries[n:])
                core.write(cut, entries[n:])
                break
        match = before + len(entries)
        core.say(name, Appended(core.term, True, match, word.round))
        core.committed(min(word.commit, match))

    def _agrees(self, before: int, term: int | None) -> int:
        """Where the leader should look next: before the whole term that differs, or at our end."""
        core = self._core
        if term is None:
            return core.log.last
        index = before - 1
        while index > core.commit and core.log.term_at(index) == term:
            index -= 1
        return index
