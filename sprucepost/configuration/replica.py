"""One placer's replica of the deployment's configuration: time and messages in, messages and events out.

How a carrier uses it::

    replica = ConfigurationReplica(origin, flatten(file["cluster"], "cluster"), validator, changeable, now, kept=kept)
    replica.connected(now, stream)             # a stream to a peer is open and past its greeting
    replica.received(now, stream, message)     # one of messages.Message came
    replica.disconnected(now, stream)
    replica.tick(now)                          # every 500 ms or so; nothing depends on its being exact
    receipt = replica.propose(now, proposal)   # an operator's change: receipt.refusal is one line, or empty
    for output in replica.take_outputs():             # after each of these calls
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

from sprucepost.configuration.active_configuration import NO_OUTCOME, ActiveConfiguration
from sprucepost.configuration.change import BEFORE_FIRST, Change, Edit, Position, Version
from sprucepost.configuration.change_store import ChangeStore
from sprucepost.configuration.configuration_checker import ConfigurationChecker
from sprucepost.configuration.document import Settings, Value, canonical_json
from sprucepost.configuration.limits import Limits
from sprucepost.configuration.merge_events import MergeEvents
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
from sprucepost.configuration.peer import DIFFERING_DIGESTS, Peer
from sprucepost.configuration.proposal_checker import KeyEdit, Proposal, ProposalChecker, ProposalRefusedError, Receipt
from sprucepost.configuration.timeline import ChangeState, HistoryEntry
from sprucepost.configuration.validation import ChangeableKeys, Validator


@dataclass(frozen=True)
class SavedState:
    """What a replica hands to its next life. ``in_force`` is None while that is the placer's file."""

    snapshot: Snapshot
    changes: tuple[Change, ...] = ()
    archive: tuple[HistoryEntry, ...] = ()
    archive_complete_from: Position = BEFORE_FIRST
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
        saved: SavedState | None = None,
    ) -> None:
        self.origin, self.limits = origin, limits
        self.counters: Counter[str] = Counter()
        self._file = {key: value for key, value in file_settings.items() if key in changeable}
        self._checker = ConfigurationChecker(validator, changeable, limits)
        self._proposal_checker = ProposalChecker(self._checker, changeable, limits, now)
        self._store = ChangeStore(self._checker, limits)
        self._timeline = self._store.timeline
        self._active = ActiveConfiguration(self._timeline, self._checker, self._file)
        self._peers: dict[int, Peer] = {}
        self._diverged: Version | None = None  # at which that was told last
        self._outputs: list[Output] = []
        if saved is not None:
            self._restore(now, saved)

    # What may be asked

    @property
    def version(self) -> Version:
        """What this replica knows. Its number never falls."""
        return self._store.version

    @property
    def digest(self) -> Digest:
        """For the next heartbeat."""
        return Digest(self._store.version.digest, self._active.outcome)

    @property
    def configuration(self) -> Mapping[str, Value]:
        """What is in force here, by key path."""
        return self._active.configuration

    @property
    def agreed(self) -> Mapping[str, Value] | None:
        """What follows from all known changes; None while there are none. In force here unless ``held``."""
        return dict(self._timeline.state.values) if self._timeline.has_baseline else None

    @property
    def held(self) -> Held | None:
        """Why the agreed configuration isn't in force here."""
        return self._active.held

    @property
    def history(self) -> list[HistoryEntry]:
        """All changes that are still shown, oldest first."""
        return self._store.history

    @property
    def refused(self) -> list[str]:
        """One line for each known change that isn't applied, oldest first."""
        unapplied = (ChangeState.REFUSED, ChangeState.SET_ASIDE)
        return [f"{entry.change.position}: {entry.reason}" for entry in self.history if entry.state in unapplied]

    @property
    def cut(self) -> Position:
        """The last change that the base holds."""
        return self._timeline.cut

    def setter(self, key: str) -> Position | None:
        """The change that gave the agreed value of that key."""
        return self._timeline.state.setters.get(key)

    def saved_state(self) -> SavedState:
        """All that the next life needs."""
        return SavedState(
            self._store.snapshot(),
            tuple(entry.change for entry in self._timeline.entries),
            tuple(self._store.archive),
            self._store.archive_complete_from,
            tuple(self._store.set_aside),
            self._active.saved,
        )

    # What happens

    def propose(self, now: float, proposal: Proposal) -> Receipt:
        """An operator asks for a change at this placer. Where it is accepted it is in force here at once."""
        return self._propose(now, proposal, self.limits.edits)

    def rollback(self, now: float, position: Position, author: str, comment: str = "", made_ms: float = 0.0) -> Receipt:
        """A new change that restores the values as they were right after the change at ``position``."""
        earlier = self._store.settings_at(position)
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
            self._handle_digest(now, known, message)
        elif isinstance(message, Summary):
            self._handle_summary(now, known, message)
        elif isinstance(message, Changes):
            self._handle_changes(now, known, message.changes)
        elif isinstance(message, SnapshotRequest):
            self._send(peer, self._store.snapshot())
        elif isinstance(message, Snapshot):
            self._handle_snapshot(now, known, message)
        elif isinstance(message, VerdictsRequest):
            self._send_verdicts(known)
        else:
            self._handle_verdicts(now, known, message)
        self._flush()

    def tick(self, now: float) -> None:
        """Compact what is old enough, and go on with what was too much for one flush."""
        for peer in self._peers.values():
            peer.sent = 0
        self._compact(now)
        self._flush()

    def local_settings_changed(self, now: float) -> None:
        """This placer's own limits have changed: what was held may be possible now, or the reverse."""
        self._checker.forget()
        self._timeline.reevaluate()
        self._update_active()

    def take_outputs(self) -> list[Output]:
        """What is to be sent and told, in order; each once."""
        outputs, self._outputs = self._outputs, []
        return outputs

    # Proposals

    def _propose(self, now: float, proposal: Proposal, max_edits: int) -> Receipt:
        try:
            changes = self._changes_for(now, proposal, max_edits)
        except ProposalRefusedError as refusal:
            self.counters["proposals_refused"] += 1
            return Receipt(self.version, refusal=str(refusal))
        self.counters["proposals_accepted"] += 1
        self._insert_changes(now, changes, None)
        self._flush()
        return Receipt(self.version, changes[-1].position)

    def _changes_for(self, now: float, proposal: Proposal, max_edits: int) -> list[Change]:
        """The change that the proposal becomes, behind a baseline where there is none yet."""
        self._proposal_checker.check_form(proposal, max_edits)
        self._proposal_checker.check_against(proposal, self._store.versions)
        self._check_ready()
        changes: list[Change] = []
        state = self._timeline.state
        if not self._timeline.has_baseline:
            changes.append(self._baseline(proposal))
            state = self._proposal_checker.check_baseline(changes[0])
        edits = tuple(Edit(edit.key, edit.value, edit.removed, state.setters.get(edit.key)) for edit in proposal.edits)
        self._proposal_checker.check_result(edits, state)
        position = Position(self._store.clock + 1 + len(changes), self.origin)
        change = Change(position, proposal.author, proposal.comment, proposal.made_ms, edits)
        self._proposal_checker.check_size(change, max_edits)
        self._proposal_checker.check_rate(now)
        return [*changes, change]

    def _check_ready(self) -> None:
        """Whether this replica knows enough to take proposals."""
        unjudged = self._active.unconfirmed()
        if unjudged is not None:
            raise ProposalRefusedError(
                f"{unjudged.reason}: it can't judge changes until a placer that knows the key confirms them"
            )
        if self._store.is_full:
            raise ProposalRefusedError(
                "this placer can't keep more changes: it doesn't know a key of the configuration"
            )
        if not self._timeline.has_baseline and not all(peer.caught_up for peer in self._peers.values()):
            raise ProposalRefusedError("not caught up with the connected placers yet: try again")

    def _baseline(self, proposal: Proposal) -> Change:
        edits = tuple(Edit(key, value) for key, value in sorted(self._file.items()))
        position = Position(self._store.clock + 1, self.origin)
        return Change(position, proposal.author, "the file of the first change's placer", proposal.made_ms, edits, True)

    # Changes

    def _handle_changes(self, now: float, source: Peer, changes: Sequence[Change]) -> None:
        fresh: dict[Position, Change] = {}
        for change in changes:
            source.pending.pop(change.position, None)
            if not self._store.is_plausible(change):
                self.counters["implausible"] += 1
            elif self._store.is_known(change) or change.position in fresh:
                self.counters["repeated"] += 1
            elif self._store.is_behind(change):
                self._handle_late_change(now, source, change)
            elif self._store.is_full:
                self.counters["overflow"] += 1
            else:
                fresh[change.position] = change
        if fresh:
            self._insert_changes(now, [fresh[position] for position in sorted(fresh)], source)
            self._compact(now)

    def _handle_late_change(self, now: float, source: Peer, change: Change) -> None:
        """A change that the base should hold and doesn't: the sender's base doesn't count, or it has none."""
        self._set_aside([change], source)
        self._summarize(now, source)

    def _insert_changes(self, now: float, changes: Sequence[Change], source: Peer | None) -> None:
        """Changes that are new here and later than the cut, in their order."""
        before = MergeEvents(self._timeline)
        if changes:
            self._active.withdraw_confirmation(changes[0].position)
        self._store.insert(now, changes)
        for peer in self._peers.values():
            if peer is not source:
                peer.pending.update((change.position, None) for change in changes)
        self._emit(*before.events())
        self._update_active()

    def _compact(self, now: float) -> None:
        if not self._store.compact(now):
            asked = min(self._peers.values(), key=lambda peer: peer.requested_ms, default=None)
            if asked is not None:
                self._request_snapshot(now, asked)

    # Comparison with a peer

    def _handle_digest(self, now: float, peer: Peer, digest: Digest) -> None:
        first = not peer.digest_received
        peer.digest_received = True
        if digest.changes == self.version.digest:
            peer.differing_digests = 0
            peer.caught_up = True
            self._compare_outcome(now, peer, digest.outcome)
            return
        peer.differing_digests += 1
        if first or peer.differing_digests >= DIFFERING_DIGESTS:
            self._summarize(now, peer)

    def _summarize(self, now: float, peer: Peer) -> None:
        if now - peer.summarized_ms >= self.limits.sync_ms:
            peer.summarized_ms = now
            self._send(peer.ident, self._store.summary())

    def _handle_summary(self, now: float, peer: Peer, summary: Summary) -> None:
        peer.pending.update((position, None) for position in self._store.missing_at(summary))
        if self._store.needs_base_of(summary):
            self._request_snapshot(now, peer)
        if self._store.missing_here(summary) or self._store.rank > (summary.cut, summary.base_digest):
            self._summarize(now, peer)

    def _request_snapshot(self, now: float, peer: Peer) -> None:
        if now - peer.requested_ms >= self.limits.sync_ms:
            peer.requested_ms = now
            self._send(peer.ident, SnapshotRequest())

    def _handle_snapshot(self, now: float, source: Peer, snapshot: Snapshot) -> None:
        if not self._store.accepts(snapshot):
            return
        before = MergeEvents(self._timeline)
        self._active.withdraw_confirmation(BEFORE_FIRST)
        self._announce_set_aside(self._store.adopt(snapshot), None)
        self._emit(*before.events())
        self._update_active()
        for peer in self._peers.values():
            if peer is not source:
                peer.summarized_ms = float("-inf")
                self._summarize(now, peer)

    def _set_aside(self, changes: Sequence[Change], source: Peer | None) -> None:
        for change in changes:
            self._store.set_change_aside(change)
        self._announce_set_aside(changes, source)

    def _announce_set_aside(self, changes: Sequence[Change], source: Peer | None) -> None:
        """Tell of what was set aside, and pass it on so that it is shown everywhere. Each replica does so once for each
        change, and not any more once it can't keep them all."""
        self._emit(*(SetAside(change.position) for change in changes))
        if not self._store.set_aside.has_dropped:
            for peer in self._peers.values():
                if peer is not source:
                    for change in changes:
                        self._send(peer.ident, Changes((change,)))

    # Outcomes of a peer that knows the same changes

    def _compare_outcome(self, now: float, peer: Peer, outcome: int) -> None:
        if outcome == NO_OUTCOME or not self._timeline.has_baseline:
            return
        if self._active.unconfirmed() is None:
            self._check_divergence(peer, outcome)
        elif outcome == self._active.agreed_outcome:
            self._confirm()
        elif now - peer.verdicts_ms >= self.limits.sync_ms:
            peer.verdicts_ms = now
            self._send(peer.ident, VerdictsRequest())

    def _confirm(self) -> None:
        self._active.confirm()
        self._update_active()

    def _check_divergence(self, peer: Peer, outcome: int) -> None:
        if outcome != self._active.agreed_outcome and self._diverged != self.version:
            self._diverged = self.version
            self._emit(Diverged(peer.ident, self.version))

    def _send_verdicts(self, peer: Peer) -> None:
        outcome = self._active.outcome
        if outcome != NO_OUTCOME:
            refused = self._store.refused_fingerprints()
            self._send(peer.ident, Verdicts(self.version.digest, outcome, self.cut, refused))

    def _handle_verdicts(self, now: float, peer: Peer, verdicts: Verdicts) -> None:
        unjudged = self._active.unconfirmed()
        if verdicts.changes != self.version.digest or unjudged is None:
            return
        if verdicts.cut > self.cut and unjudged.position <= verdicts.cut:
            self._request_snapshot(now, peer)  # it has compacted some of them, with its verdicts
            return
        before = MergeEvents(self._timeline)
        self._timeline.reevaluate(self._store.positions(verdicts.refused))
        self._emit(*before.events())
        if verdicts.outcome == self._active.agreed_outcome:
            self._confirm()
        else:
            self._check_divergence(peer, verdicts.outcome)

    # Outputs and the next life

    def _update_active(self) -> None:
        self._emit(*self._active.refresh(self.version))

    def _send(self, peer: int, message: Message) -> None:
        self._outputs.append(Send(peer, message))

    def _emit(self, *events: Event) -> None:
        self._outputs += events

    def _flush(self) -> None:
        for peer in self._peers.values():
            if peer.pending:
                for message in peer.next_changes(self._timeline, self.limits):
                    self._send(peer.ident, message)

    def _restore(self, now: float, saved: SavedState) -> None:
        self._active.resume(saved.in_force)
        if saved.snapshot.cut != BEFORE_FIRST:
            self._store.adopt(saved.snapshot)
        for entry in saved.archive:
            self._store.archive.add(entry)
        self._store.archive_complete_from = saved.archive_complete_from
        for entry in saved.set_aside:
            self._store.set_aside.add(entry)
        self._insert_changes(now, saved.changes, None)


def edits_between(present: Settings, wanted: Settings, keys: Iterable[str] | None = None) -> tuple[KeyEdit, ...]:
    """The edits that lead from one configuration to another, where given for these keys alone."""
    named = sorted(set(present) | set(wanted) if keys is None else keys)
    edits: list[KeyEdit] = []
    for key in named:
        if key not in wanted:
            edits.append(KeyEdit(key, removed=True))
        elif key not in present or canonical_json(present[key]) != canonical_json(wanted[key]):
            edits.append(KeyEdit(key, wanted[key]))
    return tuple(edits)
