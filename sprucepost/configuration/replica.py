"""One placer's replica of the deployment's configuration: time and messages in, messages and events out.

How a carrier uses it::

    replica = ConfigurationReplica(origin, flatten(file["cluster"], "cluster"), validator, changeable, now, kept=kept)
    replica.connected(now, stream)             # a stream to a peer is open and past its greeting
    replica.received(now, stream, message)     # one of messages.Message came
    replica.disconnected(now, stream)
    replica.tick(now)                          # every 500 ms or so; nothing depends on its being exact
    receipt = replica.propose(now, proposal)   # an operator's change: receipt.refusal is one line, or empty
    for output in replica.drain():             # after each of these calls
        ...

* ``Send`` goes out on the stream. Streams may break, never reorder; what was lost with one is found by digests.
* ``InForce``: take ``replica.configuration`` (values by key path; ``document.expand`` gives the document).
* All other outputs are events for the operator: log them.

Heartbeats: put ``replica.digest`` into each, and pass the peer's on as a received ``Digest``. That is all a quiet fleet
sends. ``now`` is a monotonic clock in ms. ``origin`` must be unique to one life of one process. ``keep()`` is what may be
written down after ``InForce`` and after an accepted proposal, and given as ``kept`` to the next life; without it the next
life learns everything from its peers.

What is agreed: the fold (:mod:`timeline`) of the known changes over the base. Sets of changes merge in any order; of two
bases the one with the later cut counts, and changes from before it that aren't in it are set aside (:mod:`ledger`). What of
that is in force here: :mod:`enforcement`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from sprucepost.configuration.change import BEGINNING, Change, Edit, Position, Version
from sprucepost.configuration.document import Settings, Value, canonical
from sprucepost.configuration.door import Door, KeyEdit, Proposal, Receipt, Refusal
from sprucepost.configuration.enforcement import NO_OUTCOME, Enforcement
from sprucepost.configuration.judge import Judge
from sprucepost.configuration.ledger import Ledger
from sprucepost.configuration.limits import Limits
from sprucepost.configuration.messages import (
    Changes,
    Digest,
    Diverged,
    Event,
    Held,
    Message,
    Output,
    Send,
    SetAside,
    Snapshot,
    SnapshotRequest,
    Summary,
    Verdicts,
    VerdictsRequest,
)
from sprucepost.configuration.outcomes import Outcomes
from sprucepost.configuration.peer import DIFFERS, Peer
from sprucepost.configuration.timeline import HistoryEntry, State
from sprucepost.configuration.validation import ChangeableKeys, Validator


@dataclass(frozen=True)
class KeptState:
    """What a replica hands to its next life. ``in_force`` is None while that is the placer's file."""

    snapshot: Snapshot
    changes: tuple[Change, ...] = ()
    archive: tuple[HistoryEntry, ...] = ()
    unbroken_from: Position = BEGINNING
    set_aside: tuple[HistoryEntry, ...] = ()
    in_force: Mapping[str, Value] | None = None


class ConfigurationReplica:
    """See the module's text. ``file_settings``: this placer's own file, of which the deployment-wide keys count."""

    def __init__(
        self,
        origin: str,
        file_settings: Settings,
        validator: Validator,
        changeable: ChangeableKeys,
        now: float,
        limits: Limits = Limits(),  # noqa: B008  (frozen)
        kept: KeptState | None = None,
    ) -> None:
        self.origin, self.limits = origin, limits
        self.counters: Counter[str] = Counter()
        self._file = {key: value for key, value in file_settings.items() if key in changeable}
        self._judge = Judge(validator, changeable, limits)
        self._door = Door(self._judge, changeable, limits, now)
        self._ledger = Ledger(self._judge, limits)
        self._timeline = self._ledger.timeline
        self._enforcement = Enforcement(self._timeline, self._judge, self._file)
        self._peers: dict[int, Peer] = {}
        self._diverged: Version | None = None  # at which that was told last
        self._outputs: list[Output] = []
        if kept is not None:
            self._resume(now, kept)

    # What may be asked

    @property
    def version(self) -> Version:
        """What this replica knows. Its number never falls."""
        return self._ledger.version

    @property
    def digest(self) -> Digest:
        """For the next heartbeat."""
        return Digest(self._ledger.version.digest, self._enforcement.outcome)

    @property
    def configuration(self) -> Mapping[str, Value]:
        """What is in force here, by key path."""
        return self._enforcement.configuration

    @property
    def agreed(self) -> Mapping[str, Value] | None:
        """What follows from all known changes; None while there are none. In force here unless ``held``."""
        return dict(self._timeline.state.values) if self._timeline.based else None

    @property
    def held(self) -> Held | None:
        """Why the agreed configuration isn't in force here."""
        return self._enforcement.held

    @property
    def history(self) -> list[HistoryEntry]:
        """All changes that are still shown, oldest first."""
        return self._ledger.history

    @property
    def refused(self) -> list[str]:
        """One line for each known change that isn't applied, oldest first."""
        unapplied = (State.REFUSED, State.SET_ASIDE)
        return [f"{entry.change.position}: {entry.line}" for entry in self.history if entry.state in unapplied]

    @property
    def cut(self) -> Position:
        """The last change that the base holds."""
        return self._timeline.cut

    def setter(self, key: str) -> Position | None:
        """The change that gave the agreed value of that key."""
        return self._timeline.state.setters.get(key)

    def keep(self) -> KeptState:
        """All that the next life needs."""
        return KeptState(
            self._ledger.snapshot(),
            tuple(entry.change for entry in self._timeline.entries),
            tuple(self._ledger.archive),
            self._ledger.unbroken_from,
            tuple(self._ledger.set_aside),
            self._enforcement.kept,
        )

    # What happens

    def propose(self, now: float, proposal: Proposal) -> Receipt:
        """An operator asks for a change at this placer. Where it is accepted it is in force here at once."""
        return self._propose(now, proposal, self.limits.edits)

    def rollback(self, now: float, position: Position, author: str, comment: str = "", made_ms: float = 0.0) -> Receipt:
        """A new change that restores the values as they were right after the change at ``position``."""
        earlier = self._ledger.settings_at(position)
        if earlier is None:
            return Receipt(self.version, refusal=f"change {position} isn't in the history any more")
        edits = edits_between(self._timeline.state.values, earlier)
        return self._propose(now, Proposal(edits, author, comment, made_ms), self.limits.configuration_keys)

    def connected(self, now: float, peer: int) -> None:
        """A stream to a peer is open: from now on it is told of everything."""
        if len(self._peers) >= self.limits.peers:
            self.counters["too_many_peers"] += 1
            return
        self._peers[peer] = Peer(peer)
        self._send(peer, self.digest)

    def disconnected(self, now: float, peer: int) -> None:
        """That stream is over; what was under way on it may be lost."""
        self._peers.pop(peer, None)

    def received(self, now: float, peer: int, message: Message) -> None:
        """A message came from a connected peer; others are passed over."""
        known = self._peers.get(peer)
        if known is None:
            self.counters["from_strangers"] += 1
            return
        if isinstance(message, Digest):
            self._compare_digest(now, known, message)
        elif isinstance(message, Summary):
            self._compare_summary(now, known, message)
        elif isinstance(message, Changes):
            self._take_changes(now, known, message.changes)
        elif isinstance(message, SnapshotRequest):
            self._send(peer, self._ledger.snapshot())
        elif isinstance(message, Snapshot):
            self._take_snapshot(now, known, message)
        elif isinstance(message, VerdictsRequest):
            self._send_verdicts(known)
        else:
            self._take_verdicts(now, known, message)
        self._flush()

    def tick(self, now: float) -> None:
        """Compact what is old enough, and go on with what was too much for one flush."""
        for peer in self._peers.values():
            peer.sent = 0
        self._compact(now)
        self._flush()

    def own_settings_changed(self, now: float) -> None:
        """This placer's own limits have changed: what was held may be possible now, or the reverse."""
        self._judge.forget()
        self._timeline.judge_again()
        self._settle()

    def drain(self) -> list[Output]:
        """What is to be sent and told, in order; each once."""
        outputs, self._outputs = self._outputs, []
        return outputs

    # Proposals

    def _propose(self, now: float, proposal: Proposal, edits_most: int) -> Receipt:
        try:
            changes = self._admitted(now, proposal, edits_most)
        except Refusal as refusal:
            self.counters["proposals_refused"] += 1
            return Receipt(self.version, refusal=str(refusal))
        self.counters["proposals_accepted"] += 1
        self._take_in(now, changes, None)
        self._flush()
        return Receipt(self.version, changes[-1].position)

    def _admitted(self, now: float, proposal: Proposal, edits_most: int) -> list[Change]:
        """The change that the proposal becomes, behind a baseline where there is none yet."""
        self._door.check_form(proposal, edits_most)
        self._door.check_against(proposal, self._ledger.versions)
        self._check_able()
        changes: list[Change] = []
        state = self._timeline.state
        if not self._timeline.based:
            changes.append(self._baseline(proposal))
            state = self._door.checked_baseline(changes[0])
        edits = tuple(Edit(edit.key, edit.value, edit.removed, state.setters.get(edit.key)) for edit in proposal.edits)
        self._door.check_result(edits, state)
        position = Position(self._ledger.clock + 1 + len(changes), self.origin)
        change = Change(position, proposal.author, proposal.comment, proposal.made_ms, edits)
        self._door.check_size(change, edits_most)
        self._door.check_rate(now)
        return [*changes, change]

    def _check_able(self) -> None:
        """Whether this replica knows enough to take proposals."""
        unjudged = self._enforcement.unconfirmed()
        if unjudged is not None:
            raise Refusal(f"{unjudged.line}: it can't judge changes until a placer that knows the key confirms them")
        if self._ledger.full:
            raise Refusal("this placer can't keep more changes: it doesn't know a key of the configuration")
        if not self._timeline.based and not all(peer.caught_up for peer in self._peers.values()):
            raise Refusal("not caught up with the connected placers yet: try again")

    def _baseline(self, proposal: Proposal) -> Change:
        edits = tuple(Edit(key, value) for key, value in sorted(self._file.items()))
        position = Position(self._ledger.clock + 1, self.origin)
        return Change(position, proposal.author, "the file of the first change's placer", proposal.made_ms, edits, True)

    # Changes

    def _take_changes(self, now: float, source: Peer, changes: Sequence[Change]) -> None:
        fresh: dict[Position, Change] = {}
        for change in changes:
            source.pending.pop(change.position, None)
            if not self._ledger.plausible(change):
                self.counters["implausible"] += 1
            elif self._ledger.is_known(change) or change.position in fresh:
                self.counters["repeated"] += 1
            elif self._ledger.is_behind(change):
                self._take_late(now, source, change)
            elif self._ledger.full:
                self.counters["overflow"] += 1
            else:
                fresh[change.position] = change
        if fresh:
            self._take_in(now, [fresh[position] for position in sorted(fresh)], source)
            self._compact(now)

    def _take_late(self, now: float, source: Peer, change: Change) -> None:
        """A change that the base should hold and doesn't: the sender's base doesn't count, or it has none."""
        self._put_aside([change], source)
        self._summarize(now, source)

    def _take_in(self, now: float, changes: Sequence[Change], source: Peer | None) -> None:
        """Changes that are new here and later than the cut, in their order."""
        before = Outcomes(self._timeline)
        if changes:
            self._enforcement.doubt(changes[0].position)
        self._ledger.insert(now, changes)
        for peer in self._peers.values():
            if peer is not source:
                peer.pending.update((change.position, None) for change in changes)
        self._tell(*before.events())
        self._settle()

    def _compact(self, now: float) -> None:
        if not self._ledger.compact(now):
            asked = min(self._peers.values(), key=lambda peer: peer.requested_ms, default=None)
            if asked is not None:
                self._request_snapshot(now, asked)

    # Comparison with a peer

    def _compare_digest(self, now: float, peer: Peer, digest: Digest) -> None:
        first = not peer.greeted
        peer.greeted = True
        if digest.changes == self.version.digest:
            peer.differs = 0
            peer.caught_up = True
            self._compare_outcome(now, peer, digest.outcome)
            return
        peer.differs += 1
        if first or peer.differs >= DIFFERS:
            self._summarize(now, peer)

    def _summarize(self, now: float, peer: Peer) -> None:
        if now - peer.summarized_ms >= self.limits.sync_ms:
            peer.summarized_ms = now
            self._send(peer.ident, self._ledger.summary())

    def _compare_summary(self, now: float, peer: Peer, summary: Summary) -> None:
        peer.pending.update((position, None) for position in self._ledger.missing_at(summary))
        if self._ledger.needs_base_of(summary):
            self._request_snapshot(now, peer)
        if self._ledger.missing_here(summary) or self._ledger.rank > (summary.cut, summary.base_digest):
            self._summarize(now, peer)

    def _request_snapshot(self, now: float, peer: Peer) -> None:
        if now - peer.requested_ms >= self.limits.sync_ms:
            peer.requested_ms = now
            self._send(peer.ident, SnapshotRequest())

    def _take_snapshot(self, now: float, source: Peer, snapshot: Snapshot) -> None:
        if not self._ledger.accepts(snapshot):
            return
        before = Outcomes(self._timeline)
        self._enforcement.doubt(BEGINNING)
        self._announce_aside(self._ledger.adopt(snapshot), None)
        self._tell(*before.events())
        self._settle()
        for peer in self._peers.values():
            if peer is not source:
                peer.summarized_ms = float("-inf")
                self._summarize(now, peer)

    def _put_aside(self, changes: Sequence[Change], source: Peer | None) -> None:
        for change in changes:
            self._ledger.put_aside(change)
        self._announce_aside(changes, source)

    def _announce_aside(self, changes: Sequence[Change], source: Peer | None) -> None:
        """Tell of what was set aside, and pass it on so that it is shown everywhere. Each replica does so once for each
        change, and not any more once it can't keep them all."""
        self._tell(*(SetAside(change.position) for change in changes))
        if not self._ledger.set_aside.overflows:
            for peer in self._peers.values():
                if peer is not source:
                    for change in changes:
                        self._send(peer.ident, Changes((change,)))

    # Outcomes of a peer that knows the same changes

    def _compare_outcome(self, now: float, peer: Peer, outcome: int) -> None:
        if outcome == NO_OUTCOME or not self._timeline.based:
            return
        if self._enforcement.unconfirmed() is None:
            self._check_divergence(peer, outcome)
        elif outcome == self._enforcement.agreed_outcome:
            self._confirm()
        elif now - peer.verdicts_ms >= self.limits.sync_ms:
            peer.verdicts_ms = now
            self._send(peer.ident, VerdictsRequest())

    def _confirm(self) -> None:
        self._enforcement.confirm()
        self._settle()

    def _check_divergence(self, peer: Peer, outcome: int) -> None:
        if outcome != self._enforcement.agreed_outcome and self._diverged != self.version:
            self._diverged = self.version
            self._tell(Diverged(peer.ident, self.version))

    def _send_verdicts(self, peer: Peer) -> None:
        outcome = self._enforcement.outcome
        if outcome != NO_OUTCOME:
            refused = self._ledger.refused_fingerprints()
            self._send(peer.ident, Verdicts(self.version.digest, outcome, self.cut, refused))

    def _take_verdicts(self, now: float, peer: Peer, verdicts: Verdicts) -> None:
        unjudged = self._enforcement.unconfirmed()
        if verdicts.changes != self.version.digest or unjudged is None:
            return
        if verdicts.cut > self.cut and unjudged.position <= verdicts.cut:
            self._request_snapshot(now, peer)  # it has compacted some of them, with its verdicts
            return
        before = Outcomes(self._timeline)
        self._timeline.judge_again(self._ledger.positions(verdicts.refused))
        self._tell(*before.events())
        if verdicts.outcome == self._enforcement.agreed_outcome:
            self._confirm()
        else:
            self._check_divergence(peer, verdicts.outcome)

    # Outputs and the next life

    def _settle(self) -> None:
        self._tell(*self._enforcement.settle(self.version))

    def _send(self, peer: int, message: Message) -> None:
        self._outputs.append(Send(peer, message))

    def _tell(self, *events: Event) -> None:
        self._outputs += events

    def _flush(self) -> None:
        for peer in self._peers.values():
            if peer.pending:
                for message in peer.next_changes(self._timeline, self.limits):
                    self._send(peer.ident, message)

    def _resume(self, now: float, kept: KeptState) -> None:
        self._enforcement.resume(kept.in_force)
        if kept.snapshot.cut != BEGINNING:
            self._ledger.adopt(kept.snapshot)
        for entry in kept.archive:
            self._ledger.archive.add(entry)
        self._ledger.unbroken_from = kept.unbroken_from
        for entry in kept.set_aside:
            self._ledger.set_aside.add(entry)
        self._take_in(now, kept.changes, None)


def edits_between(present: Settings, wanted: Settings, keys: Iterable[str] | None = None) -> tuple[KeyEdit, ...]:
    """The edits that lead from one configuration to another, where given for these keys alone."""
    named = sorted(set(present) | set(wanted) if keys is None else keys)
    edits: list[KeyEdit] = []
    for key in named:
        if key not in wanted:
            edits.append(KeyEdit(key, removed=True))
        elif key not in present or canonical(present[key]) != canonical(wanted[key]):
            edits.append(KeyEdit(key, wanted[key]))
    return tuple(edits)
