"""One placer's replica of the deployment's configuration: a state machine without I/O.

The caller feeds it time and messages, and performs its outputs::

    replica = ConfigurationReplica(origin, flatten(file["cluster"], "cluster"), validator, changeable, now, saved=saved)
    replica.connected(now, stream)             # a stream to a peer is open and its handshake complete
    replica.received(now, stream, message)     # one of messages.Message was received
    replica.disconnected(now, stream)
    replica.tick(now)                          # about every 500 ms; the exact interval doesn't matter
    receipt = replica.propose(now, proposal)   # an operator's change; receipt.refusal is a single line, or empty
    for output in replica.take_outputs():      # after each of these calls
        ...

* ``Send``: send the message on the stream. Streams may break but must not reorder; messages lost with a stream are
  recovered by comparing digests.
* ``InForce``: apply ``replica.configuration`` (values by key path; ``document.expand`` returns the document).
* All other outputs are events for the operator, to be logged.

Each heartbeat carries ``replica.digest``; pass the digest in a peer's heartbeat on as a received ``Digest``. An idle
fleet sends nothing else. ``now`` is a monotonic clock in ms. ``origin`` must be unique to one run of one process.
``saved_state()`` may be stored after ``InForce`` and after an accepted proposal, and passed as ``saved`` to the next
run; without it, the next run learns everything from its peers.

The agreed configuration is the fold (:mod:`timeline`) of the known changes over the base. Sets of changes merge in any
order. Of two bases, the one with the later cut takes precedence, and earlier changes that are missing in it are set
aside (:mod:`change_store`). :mod:`active_configuration` decides which configuration is in force here.
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
    """The state that a replica passes to the next run. ``in_force`` is None while the placer's own file is in force."""

    snapshot: Snapshot
    changes: tuple[Change, ...] = ()
    archive: tuple[HistoryEntry, ...] = ()
    archive_complete_from: Position = BEFORE_FIRST
    set_aside: tuple[HistoryEntry, ...] = ()
    in_force: Mapping[str, Value] | None = None


class ConfigurationReplica:
    """The replicated configuration at one placer; see the module's docstring for its use.

    ``file_settings`` are the settings of this placer's own file, of which only the deployment-wide keys are used.
    """

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
        self._diverged: Version | None = None  # version at which a divergence was last reported
        self._outputs: list[Output] = []
        if saved is not None:
            self._restore(now, saved)

    # Queries

    @property
    def version(self) -> Version:
        """The version of the known changes. Its number never decreases."""
        return self._store.version

    @property
    def digest(self) -> Digest:
        """The digest to send with the next heartbeat."""
        return Digest(self._store.version.digest, self._active.outcome)

    @property
    def configuration(self) -> Mapping[str, Value]:
        """The configuration in force here, by key path."""
        return self._active.configuration

    @property
    def agreed(self) -> Mapping[str, Value] | None:
        """The result of all known changes; None while there are none. It is in force here unless ``held`` is set."""
        return dict(self._timeline.state.values) if self._timeline.has_baseline else None

    @property
    def held(self) -> Held | None:
        """Why the agreed configuration is not in force here; None if it is."""
        return self._active.held

    @property
    def history(self) -> list[HistoryEntry]:
        """All changes that are still displayed, oldest first."""
        return self._store.history

    @property
    def refused(self) -> list[str]:
        """A single line for each known change that is not applied, oldest first."""
        unapplied = (ChangeState.REFUSED, ChangeState.SET_ASIDE)
        return [f"{entry.change.position}: {entry.reason}" for entry in self.history if entry.state in unapplied]

    @property
    def cut(self) -> Position:
        """The position of the last change in the base."""
        return self._timeline.cut

    def setter(self, key: str) -> Position | None:
        """Returns the change that set the agreed value of that key."""
        return self._timeline.state.setters.get(key)

    def saved_state(self) -> SavedState:
        """Returns the state that the next run of this process can start from."""
        return SavedState(
            self._store.snapshot(),
            tuple(entry.change for entry in self._timeline.entries),
            tuple(self._store.archive),
            self._store.archive_complete_from,
            tuple(self._store.set_aside),
            self._active.saved,
        )

    # Inputs

    def propose(self, now: float, proposal: Proposal) -> Receipt:
        """Proposes an operator's change at this placer. An accepted change is in force here immediately."""
        return self._propose(now, proposal, self.limits.edits)

    def rollback(self, now: float, position: Position, author: str, comment: str = "", made_ms: float = 0.0) -> Receipt:
        """Proposes a change that restores the values as they were right after the change at ``position``."""
        earlier = self._store.settings_at(position)
        if earlier is None:
            return Receipt(self.version, refusal=f"change {position} isn't in the history any more")
        edits = edits_between(self._timeline.state.values, earlier)
        return self._propose(now, Proposal(edits, author, comment, made_ms), self.limits.configuration_keys)

    def connected(self, now: float, peer: int) -> None:
        """A stream to a peer is open: all changes are sent to it from now on."""
        if len(self._peers) >= self.limits.peers:
            self.counters["too_many_peers"] += 1
            return
        self._peers[peer] = Peer(peer)
        self._send(peer, self.digest)

    def disconnected(self, now: float, peer: int) -> None:
        """The stream has ended; messages in transit may be lost."""
        self._peers.pop(peer, None)

    def received(self, now: float, peer: int, message: Message) -> None:
        """Handles a message from a connected peer; messages from other peers are ignored."""
        state = self._peers.get(peer)
        if state is None:
            self.counters["from_strangers"] += 1
            return
        if isinstance(message, Digest):
            self._handle_digest(now, state, message)
        elif isinstance(message, Summary):
            self._handle_summary(now, state, message)
        elif isinstance(message, Changes):
            self._handle_changes(now, state, message.changes)
        elif isinstance(message, SnapshotRequest):
            self._send(peer, self._store.snapshot())
        elif isinstance(message, Snapshot):
            self._handle_snapshot(now, state, message)
        elif isinstance(message, VerdictsRequest):
            self._send_verdicts(state)
        else:
            self._handle_verdicts(now, state, message)
        self._flush()

    def tick(self, now: float) -> None:
        """Compacts changes past the horizon, and sends pending changes that exceeded the previous tick's limit."""
        for peer in self._peers.values():
            peer.sent_bytes = 0
        self._compact(now)
        self._flush()

    def local_settings_changed(self, now: float) -> None:
        """This placer's own limits have changed: a held configuration may now be usable, or the reverse."""
        self._checker.clear_cache()
        self._timeline.reevaluate()
        self._update_active()

    def take_outputs(self) -> list[Output]:
        """Returns and clears the outputs, in order."""
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
        """Returns the change for a proposal, preceded by a baseline if there is none yet."""
        self._proposal_checker.check_form(proposal, max_edits)
        self._proposal_checker.check_against(proposal, self._store.versions)
        self._check_ready()
        changes: list[Change] = []
        state = self._timeline.state
        if not self._timeline.has_baseline:
            changes.append(self._make_baseline(proposal))
            state = self._proposal_checker.check_baseline(changes[0])
        edits = tuple(Edit(edit.key, edit.value, edit.removed, state.setters.get(edit.key)) for edit in proposal.edits)
        self._proposal_checker.check_result(edits, state)
        position = Position(self._store.clock + 1 + len(changes), self.origin)
        change = Change(position, proposal.author, proposal.comment, proposal.made_ms, edits)
        self._proposal_checker.check_size(change, max_edits)
        self._proposal_checker.check_rate(now)
        return [*changes, change]

    def _check_ready(self) -> None:
        """Checks that this replica knows enough to accept proposals."""
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

    def _make_baseline(self, proposal: Proposal) -> Change:
        edits = tuple(Edit(key, value) for key, value in sorted(self._file.items()))
        position = Position(self._store.clock + 1, self.origin)
        return Change(position, proposal.author, "the file of the first change's placer", proposal.made_ms, edits, True)

    # Changes

    def _handle_changes(self, now: float, source: Peer, changes: Sequence[Change]) -> None:
        new_changes: dict[Position, Change] = {}
        for change in changes:
            source.pending.pop(change.position, None)
            if not self._store.is_plausible(change):
                self.counters["implausible"] += 1
            elif self._store.is_known(change) or change.position in new_changes:
                self.counters["repeated"] += 1
            elif self._store.is_behind(change):
                self._handle_late_change(now, source, change)
            elif self._store.is_full:
                self.counters["overflow"] += 1
            else:
                new_changes[change.position] = change
        if new_changes:
            self._insert_changes(now, [new_changes[position] for position in sorted(new_changes)], source)
            self._compact(now)

    def _handle_late_change(self, now: float, source: Peer, change: Change) -> None:
        """Handles a change that precedes the cut and is missing in the base.

        The sender has no base, or one that doesn't take precedence.
        """
        self._set_aside([change], source)
        self._summarize(now, source)

    def _insert_changes(self, now: float, changes: Sequence[Change], source: Peer | None) -> None:
        """Adds changes, in their order, that are not known yet and later than the cut."""
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
        is_first = not peer.digest_received
        peer.digest_received = True
        if digest.changes == self.version.digest:
            peer.differing_digests = 0
            peer.caught_up = True
            self._compare_outcome(now, peer, digest.outcome)
            return
        peer.differing_digests += 1
        if is_first or peer.differing_digests >= DIFFERING_DIGESTS:
            self._summarize(now, peer)

    def _summarize(self, now: float, peer: Peer) -> None:
        if now - peer.summarized_ms >= self.limits.sync_ms:
            peer.summarized_ms = now
            self._send(peer.stream_id, self._store.summary())

    def _handle_summary(self, now: float, peer: Peer, summary: Summary) -> None:
        peer.pending.update((position, None) for position in self._store.missing_at(summary))
        if self._store.needs_base_of(summary):
            self._request_snapshot(now, peer)
        if self._store.missing_here(summary) or self._store.rank > (summary.cut, summary.base_digest):
            self._summarize(now, peer)

    def _request_snapshot(self, now: float, peer: Peer) -> None:
        if now - peer.requested_ms >= self.limits.sync_ms:
            peer.requested_ms = now
            self._send(peer.stream_id, SnapshotRequest())

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
        """Reports changes that were set aside, and forwards them so that every replica can display them.

        Each replica does so once per change, and stops once it has had to drop some of them.
        """
        self._emit(*(SetAside(change.position) for change in changes))
        if not self._store.set_aside.has_dropped:
            for peer in self._peers.values():
                if peer is not source:
                    for change in changes:
                        self._send(peer.stream_id, Changes((change,)))

    # Verdicts of a peer with the same changes

    def _compare_outcome(self, now: float, peer: Peer, outcome: int) -> None:
        if outcome == NO_OUTCOME or not self._timeline.has_baseline:
            return
        if self._active.unconfirmed() is None:
            self._check_divergence(peer, outcome)
        elif outcome == self._active.agreed_outcome:
            self._confirm()
        elif now - peer.verdicts_ms >= self.limits.sync_ms:
            peer.verdicts_ms = now
            self._send(peer.stream_id, VerdictsRequest())

    def _confirm(self) -> None:
        self._active.confirm()
        self._update_active()

    def _check_divergence(self, peer: Peer, outcome: int) -> None:
        if outcome != self._active.agreed_outcome and self._diverged != self.version:
            self._diverged = self.version
            self._emit(Diverged(peer.stream_id, self.version))

    def _send_verdicts(self, peer: Peer) -> None:
        outcome = self._active.outcome
        if outcome != NO_OUTCOME:
            refused = self._store.refused_fingerprints()
            self._send(peer.stream_id, Verdicts(self.version.digest, outcome, self.cut, refused))

    def _handle_verdicts(self, now: float, peer: Peer, verdicts: Verdicts) -> None:
        unjudged = self._active.unconfirmed()
        if verdicts.changes != self.version.digest or unjudged is None:
            return
        if verdicts.cut > self.cut and unjudged.position <= verdicts.cut:
            self._request_snapshot(now, peer)  # it has compacted unchecked changes with its verdicts
            return
        before = MergeEvents(self._timeline)
        self._timeline.reevaluate(self._store.positions(verdicts.refused))
        self._emit(*before.events())
        if verdicts.outcome == self._active.agreed_outcome:
            self._confirm()
        else:
            self._check_divergence(peer, verdicts.outcome)

    # Outputs and saved state

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
                    self._send(peer.stream_id, message)

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
    """Returns the edits that turn ``present`` into ``wanted``; with ``keys``, for these keys alone."""
    named = sorted(set(present) | set(wanted) if keys is None else keys)
    edits: list[KeyEdit] = []
    for key in named:
        if key not in wanted:
            edits.append(KeyEdit(key, removed=True))
        elif key not in present or canonical_json(present[key]) != canonical_json(wanted[key]):
            edits.append(KeyEdit(key, wanted[key]))
    return tuple(edits)
