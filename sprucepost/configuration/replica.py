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
bases the one with the later cut counts, and changes from before it that aren't in it are set aside.

===========  ===========================================  ==========================================================
a replica    when                                         what is in force here
===========  ===========================================  ==========================================================
unbased      no change is known                           its file
following    it can run with the agreed configuration     that one
held         it doesn't know a key, or its own limits     the last one that it could run with, whole
             forbid it, or it couldn't judge all changes
             and no peer has confirmed the result
===========  ===========================================  ==========================================================
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from sprucepost.configuration.change import BEGINNING, CLOCK_MOST, Change, Edit, Position, Version
from sprucepost.configuration.document import Settings, Value, canonical, settings_digest
from sprucepost.configuration.door import Door, KeyEdit, Proposal, Receipt, Refusal
from sprucepost.configuration.history import BoundedHistory, VersionLog
from sprucepost.configuration.judge import Judge
from sprucepost.configuration.limits import Limits
from sprucepost.configuration.messages import (
    Changes,
    Digest,
    Diverged,
    Event,
    Held,
    InForce,
    Message,
    Output,
    Overwritten,
    Refused,
    Send,
    SetAside,
    SettingRecord,
    Snapshot,
    SnapshotRequest,
    Summary,
    Verdicts,
    VerdictsRequest,
)
from sprucepost.configuration.peer import DIFFERS, Peer
from sprucepost.configuration.state import SettingsState
from sprucepost.configuration.timeline import (
    APPLIED,
    Entry,
    HistoryEntry,
    State,
    Timeline,
    Verdict,
    overwrites_unseen,
)
from sprucepost.configuration.validation import ChangeableKeys, Problem, Validator

CLOCK_STEP_MOST = 2**32  # a clock that leads ours by more is a fault, not a busy fleet
COMPACT_SHARE = 16  # ripe changes are compacted together once they are one in so many of all that may live,
RIPE_MOST = 1.25  # or the oldest is so many horizons old
LIVE_OVER = 2  # times the bound, where nothing can be compacted: what comes then is not taken
NO_OUTCOME = 0


@dataclass(frozen=True)
class KeptState:
    """What a replica hands to its next life. ``in_force`` is None while that is the placer's file."""

    snapshot: Snapshot
    changes: tuple[Change, ...] = ()
    archive: tuple[HistoryEntry, ...] = ()
    set_aside: tuple[HistoryEntry, ...] = ()
    in_force: Mapping[str, Value] | None = None


@dataclass(frozen=True)
class _Before:
    """How things stood before changes were taken in, to tell what became of them."""

    verdicts: dict[Position, Verdict]
    setters: dict[str, Position]


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
        self._timeline = Timeline(self._judge)
        self._archive = BoundedHistory(limits.archived_changes, limits.archived_bytes)
        self._set_aside = BoundedHistory(limits.set_aside_changes, limits.set_aside_bytes)
        self._base_digest = 0
        self._base_fingerprints: deque[int] = deque(maxlen=limits.remembered_fingerprints)
        self._forgotten = False
        self._live: dict[int, Position] = {}  # by fingerprint
        self._version = Version(0, 0)
        self._clock = 0
        self._peers: dict[int, Peer] = {}
        self._confirmed = BEGINNING  # up to there a peer that could judge everything had the same result
        self._diverged: tuple[int, int] | None = None  # the last that was told
        self._in_force: dict[str, Value] | None = None
        self._in_force_digest = settings_digest(self._file)
        self._held: Held | None = None
        self._outputs: list[Output] = []
        if kept is not None:
            self._resume(now, kept)
        self._versions = VersionLog(limits.known_versions, self._version)

    # What may be asked

    @property
    def version(self) -> Version:
        """What this replica knows. Its number never falls."""
        return self._version

    @property
    def digest(self) -> Digest:
        """For the next heartbeat."""
        return Digest(self._version.digest, self._outcome())

    @property
    def configuration(self) -> Mapping[str, Value]:
        """What is in force here, by key path."""
        return dict(self._file if self._in_force is None else self._in_force)

    @property
    def agreed(self) -> Mapping[str, Value] | None:
        """What follows from all known changes; None while there are none. In force here unless ``held``."""
        return dict(self._timeline.state.values) if self._timeline.based else None

    @property
    def held(self) -> Held | None:
        """Why the agreed configuration isn't in force here."""
        return self._held

    @property
    def history(self) -> list[HistoryEntry]:
        """All changes that are still shown, oldest first."""
        live = [entry.shown() for entry in self._timeline.entries]
        archived = [entry.brought_up_to_date(self._timeline.state.setters) for entry in self._archive]
        return sorted([*archived, *self._set_aside, *live], key=lambda entry: entry.change.position)

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
            self._snapshot(),
            tuple(entry.change for entry in self._timeline.entries),
            tuple(self._archive),
            tuple(self._set_aside),
            None if self._in_force is None else dict(self._in_force),
        )

    # What happens

    def propose(self, now: float, proposal: Proposal) -> Receipt:
        """An operator asks for a change at this placer. Where it is accepted it is known here at once."""
        return self._propose(now, proposal, self.limits.edits)

    def rollback(self, now: float, position: Position, author: str, comment: str = "", made_ms: float = 0.0) -> Receipt:
        """A new change that restores the values as they were right after the change at ``position``."""
        earlier = self._timeline.settings_at(position)
        if earlier is None:
            return Receipt(self._version, refusal=f"change {position} isn't in the history any more")
        present = self._timeline.state.values
        edits = [
            KeyEdit(key, value)
            for key, value in sorted(earlier.items())
            if key not in present or canonical(present[key]) != canonical(value)
        ]
        edits += [KeyEdit(key, removed=True) for key in sorted(present.keys() - earlier.keys())]
        proposal = Proposal(tuple(edits), author, comment, made_ms)
        return self._propose(now, proposal, self.limits.configuration_keys)

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
        elif isinstance(message, Digest):
            self._compare_digest(now, known, message)
        elif isinstance(message, Summary):
            self._compare_summary(now, known, message)
        elif isinstance(message, Changes):
            self._take_changes(now, known, message.changes)
        elif isinstance(message, SnapshotRequest):
            self._send(peer, self._snapshot())
        elif isinstance(message, Snapshot):
            self._take_snapshot(now, known, message)
        elif isinstance(message, VerdictsRequest):
            self._send_verdicts(known)
        else:
            self._take_verdicts(known, message)
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
            return Receipt(self._version, refusal=str(refusal))
        self.counters["proposals_accepted"] += 1
        self._take_in(now, changes, None)
        self._flush()
        return Receipt(self._version, changes[-1].position)

    def _admitted(self, now: float, proposal: Proposal, edits_most: int) -> list[Change]:
        """The change that the proposal becomes, behind a baseline where there is none yet."""
        self._door.check_form(proposal, edits_most)
        self._door.check_against(proposal, self._versions)
        unjudged = self._unconfirmed()
        if unjudged is not None:
            raise Refusal(f"{unjudged.line}: it can't judge changes until a placer that knows the key confirms them")
        if len(self._timeline.entries) >= self.limits.live_changes * LIVE_OVER:
            raise Refusal("this placer can't keep more changes: it doesn't know a key of the configuration")
        changes: list[Change] = []
        state = self._timeline.state
        if not self._timeline.based:
            if not all(peer.caught_up for peer in self._peers.values()):
                raise Refusal("not caught up with the connected placers yet: try again")
            changes.append(self._baseline(proposal))
            state = self._door.checked_baseline(changes[0])
        edits = tuple(Edit(edit.key, edit.value, edit.removed, state.setters.get(edit.key)) for edit in proposal.edits)
        self._door.check_result(edits, state)
        change = Change(
            Position(self._clock + 1 + len(changes), self.origin),
            proposal.author,
            proposal.comment,
            proposal.made_ms,
            edits,
        )
        most = self.limits.change_bytes if edits_most == self.limits.edits else self.limits.large_change_bytes
        if change.size > most:
            raise Refusal(f"{edits[0].key}: a change of {change.size} bytes, {most} at most")
        self._door.check_rate(now)
        return [*changes, change]

    def _baseline(self, proposal: Proposal) -> Change:
        edits = tuple(Edit(key, value) for key, value in sorted(self._file.items()))
        position = Position(self._clock + 1, self.origin)
        return Change(position, proposal.author, "the file of the first change's placer", proposal.made_ms, edits, True)

    # Changes

    def _take_changes(self, now: float, source: Peer, changes: Sequence[Change]) -> None:
        fresh: list[Change] = []
        for change in changes:
            source.pending.pop(change.position, None)
            if not self._plausible(change):
                self.counters["implausible"] += 1
            elif change.position <= self._timeline.cut:
                self._take_late(now, source, change)
            elif change.position in self._timeline or any(change.position == other.position for other in fresh):
                self.counters["repeated"] += 1
            elif len(self._timeline.entries) + len(fresh) >= self.limits.live_changes * LIVE_OVER:
                self.counters["overflow"] += 1
            else:
                fresh.append(change)
        if fresh:
            self._take_in(now, sorted(fresh, key=lambda change: change.position), source)
            self._compact(now)

    def _plausible(self, change: Change) -> bool:
        clock, origin = change.position.clock, change.position.origin
        return (
            0 < clock <= CLOCK_MOST
            and clock <= self._clock + CLOCK_STEP_MOST
            and 0 < len(origin) <= self.limits.text_length
            and 0 < len(change.edits) <= self.limits.configuration_keys
            and len({edit.key for edit in change.edits}) == len(change.edits)
            and change.size <= self.limits.large_change_bytes
        )

    def _take_late(self, now: float, source: Peer, change: Change) -> None:
        """A change from before the cut: in the base already, or never to be applied."""
        if change.fingerprint in self._base_fingerprints or change.position in self._set_aside:
            return
        if change.position in self._archive:
            return
        self._put_aside(change)
        self._spread_aside([change], source)
        self._summarize(now, source)

    def _take_in(self, now: float, changes: Sequence[Change], source: Peer | None) -> None:
        """Changes that are new here and later than the cut."""
        before = self._before()
        if changes and changes[0].position < self._confirmed:
            self._confirmed = BEGINNING
        self._timeline.insert([Entry(change, now) for change in changes])
        digest = self._version.digest
        for change in changes:
            self._clock = max(self._clock, change.position.clock)
            self._live[change.fingerprint] = change.position
            digest ^= change.fingerprint
            self._version = Version(self._clock, digest)
            self._versions.add(self._version, [change])
        for peer in self._peers.values():
            if peer is not source:
                peer.pending.update((change.position, None) for change in changes)
        self._tell_outcomes(before)
        self._settle()

    # Comparison with a peer

    def _compare_digest(self, now: float, peer: Peer, digest: Digest) -> None:
        first = not peer.greeted
        peer.greeted = True
        if digest.changes == self._version.digest:
            peer.differs = 0
            peer.caught_up = True
            self._compare_outcome(now, peer, digest.outcome)
            return
        peer.differs += 1
        if first or peer.differs >= DIFFERS:
            self._summarize(now, peer)

    def _compare_outcome(self, now: float, peer: Peer, outcome: int) -> None:
        """The peer knows the same changes: has it the same configuration?"""
        if outcome == NO_OUTCOME or not self._timeline.based:
            return
        if self._unconfirmed() is None:
            self._check_divergence(peer, outcome)
        elif outcome == _outcome_of(self._timeline.state):
            self._confirm()
        elif now - peer.verdicts_ms >= self.limits.sync_ms:
            peer.verdicts_ms = now
            self._send(peer.ident, VerdictsRequest())

    def _confirm(self) -> None:
        """A peer that could judge all changes has come to the same configuration."""
        self._confirmed = self._timeline.entries[-1].position
        self._settle()

    def _check_divergence(self, peer: Peer, outcome: int) -> None:
        present = self._version.digest, _outcome_of(self._timeline.state)
        if outcome != present[1] and self._diverged != present:
            self._diverged = present
            self._tell(Diverged(peer.ident, self._version))

    def _send_verdicts(self, peer: Peer) -> None:
        if self._outcome() != NO_OUTCOME:
            entries = self._timeline.entries
            refused = tuple(entry.change.fingerprint for entry in entries if entry.verdict is Verdict.REFUSED)
            self._send(peer.ident, Verdicts(self._version.digest, self._outcome(), refused))

    def _take_verdicts(self, peer: Peer, verdicts: Verdicts) -> None:
        if verdicts.changes != self._version.digest or self._unconfirmed() is None:
            return
        before = self._before()
        self._timeline.judge_again(self._live[each] for each in verdicts.refused if each in self._live)
        if verdicts.outcome == _outcome_of(self._timeline.state):
            self._confirm()
        else:
            self._check_divergence(peer, verdicts.outcome)
        self._tell_outcomes(before)

    def _summarize(self, now: float, peer: Peer) -> None:
        if now - peer.summarized_ms >= self.limits.sync_ms:
            peer.summarized_ms = now
            live = tuple(entry.change.fingerprint for entry in self._timeline.entries)
            self._send(peer.ident, Summary(self._timeline.cut, self._base_digest, live))

    def _compare_summary(self, now: float, peer: Peer, summary: Summary) -> None:
        theirs = set(summary.live)
        for entry in self._timeline.entries:
            if entry.change.fingerprint not in theirs and entry.position > summary.cut:
                peer.pending[entry.position] = None
        if self._lacks(summary):
            self._request_snapshot(now, peer)
        lacking = theirs - self._live.keys() - set(self._base_fingerprints)
        if lacking or self._rank() > (summary.cut, summary.base_digest):
            self._summarize(now, peer)

    def _lacks(self, summary: Summary) -> bool:
        """Whether the peer's base counts and holds something else than what this replica has up to there."""
        if (summary.cut, summary.base_digest) <= self._rank():
            return False
        digest = self._base_digest
        for entry in self._timeline.entries:
            if entry.position <= summary.cut:
                digest ^= entry.change.fingerprint
        return digest != summary.base_digest

    def _rank(self) -> tuple[Position, int]:
        """Of two bases the one with the greater rank counts."""
        return self._timeline.cut, self._base_digest

    # The base

    def _compact(self, now: float) -> None:
        entries, limits = self._timeline.entries, self.limits
        ripe = 0
        while ripe < len(entries) and self._is_settled(entries[ripe]) and self._age(now, entries[ripe]) >= 1.0:
            ripe += 1
        if ripe and ripe < limits.live_changes // COMPACT_SHARE and self._age(now, entries[0]) < RIPE_MOST:
            ripe = 0
        ripe = max(ripe, self._surplus(now))
        if ripe:
            self._fold_into_base(ripe)

    def _age(self, now: float, entry: Entry) -> float:
        """In horizons."""
        return (now - entry.since_ms) / self.limits.horizon_ms

    def _surplus(self, now: float) -> int:
        """How many of the oldest must be compacted to keep the bounds; fewer where the fold doesn't allow it."""
        entries, limits = self._timeline.entries, self.limits
        if len(entries) <= limits.live_changes and self._timeline.size <= limits.live_bytes:
            return 0
        surplus, size = 0, self._timeline.size
        for entry in entries:
            kept = len(entries) - surplus
            if (kept <= limits.live_changes * 3 // 4 and size <= limits.live_bytes * 3 // 4) or kept == 1:
                break
            if not self._is_settled(entry):
                self._ask_anyone_for_snapshot(now)
                break
            surplus += 1
            size -= entry.change.size
        return surplus

    @staticmethod
    def _is_settled(entry: Entry) -> bool:
        return entry.verdict not in (Verdict.UNJUDGED, Verdict.WAITING)

    def _ask_anyone_for_snapshot(self, now: float) -> None:
        """This replica can't judge its oldest change and has too many: a base of somebody who could must do."""
        asked = min(self._peers.values(), key=lambda peer: peer.requested_ms, default=None)
        if asked is not None:
            self._request_snapshot(now, asked)

    def _fold_into_base(self, count: int) -> None:
        for entry in self._timeline.compact(count):
            self._remember_compacted(entry.change.fingerprint)
            self._live.pop(entry.change.fingerprint, None)
            self._base_digest ^= entry.change.fingerprint
            self._archive.add(entry.shown())

    def _remember_compacted(self, fingerprint: int) -> None:
        self._forgotten |= len(self._base_fingerprints) == self.limits.remembered_fingerprints
        self._base_fingerprints.append(fingerprint)

    def _snapshot(self) -> Snapshot:
        base = self._timeline.base
        return Snapshot(
            self._timeline.cut,
            self._base_digest,
            tuple(SettingRecord(key, value, base.setters[key]) for key, value in sorted(base.values.items())),
            tuple(self._base_fingerprints),
            self._forgotten,
        )

    def _request_snapshot(self, now: float, peer: Peer) -> None:
        if now - peer.requested_ms >= self.limits.sync_ms:
            peer.requested_ms = now
            self._send(peer.ident, SnapshotRequest())

    def _take_snapshot(self, now: float, source: Peer, snapshot: Snapshot) -> None:
        if (snapshot.cut, snapshot.digest) <= self._rank():
            return
        if snapshot.cut.clock > CLOCK_MOST or len(snapshot.settings) > self.limits.configuration_keys:
            self.counters["implausible"] += 1
            return
        before = self._before()
        self._spread_aside(self._adopt(snapshot), None)
        self._tell_outcomes(before)
        self._settle()
        for peer in self._peers.values():
            if peer is not source:
                peer.summarized_ms = float("-inf")
                self._summarize(now, peer)

    def _adopt(self, snapshot: Snapshot) -> list[Change]:
        """Take that base in place of the own one, and set aside what isn't in it: these changes are the result."""
        base = SettingsState()
        for record in snapshot.settings:
            base.put(record.key, record.value, record.setter)
        held = set(snapshot.fingerprints)
        lost = [] if snapshot.forgotten else [e for e in self._archive if e.change.position <= snapshot.cut]
        dropped = self._timeline.rebase(snapshot.cut, base)
        self._confirmed = BEGINNING
        self._base_digest, self._forgotten = snapshot.digest, snapshot.forgotten
        self._base_fingerprints = deque(snapshot.fingerprints, self.limits.remembered_fingerprints)
        not_held = [entry.change for entry in dropped if entry.change.fingerprint not in held]
        not_held += [archived.change for archived in lost if archived.change.fingerprint not in held]
        for entry in dropped:
            if entry.change.fingerprint in held:
                self._archive.add(entry.shown())
        for change in not_held:
            self._archive.remove(change.position)
            self._put_aside(change)
        for aside in self._set_aside:
            if aside.change.fingerprint in held:
                self._set_aside.remove(aside.change.position)
        self._live = {entry.change.fingerprint: entry.position for entry in self._timeline.entries}
        self._clock = max(self._clock, snapshot.cut.clock)
        digest = self._base_digest
        for fingerprint in self._live:
            digest ^= fingerprint
        self._version = Version(self._clock, digest)
        self._versions = VersionLog(self.limits.known_versions, self._version)
        return not_held

    def _spread_aside(self, changes: Sequence[Change], source: Peer | None) -> None:
        """Pass on what was set aside, so that it is shown everywhere; each replica does so once, and not without bound."""
        if self._set_aside.overflows:
            return
        for peer in self._peers.values():
            if peer is not source:
                for change in changes:
                    self._send(peer.ident, Changes((change,)))

    def _put_aside(self, change: Change) -> None:
        line = f"{change.edits[0].key}: not in the base, which holds all changes up to {self._timeline.cut}"
        if self._forgotten:
            line += "; if it is older than the changes that are remembered it may have been"
        self._set_aside.add(HistoryEntry(change, State.SET_ASIDE, line, {}))
        self._tell(SetAside(change.position))

    # What follows from the changes

    def _before(self) -> _Before:
        verdicts = {entry.position: entry.verdict for entry in self._timeline.entries}
        return _Before(verdicts, dict(self._timeline.state.setters))

    def _tell_outcomes(self, before: _Before) -> None:
        """Events for changes that are refused now and weren't, and for values that were replaced unseen."""
        for entry in self._timeline.entries:
            earlier = before.verdicts.get(entry.position)
            redundant = entry.verdict is Verdict.REDUNDANT and earlier in APPLIED
            if (entry.verdict is Verdict.REFUSED and earlier is not Verdict.REFUSED) or redundant:
                self._tell(Refused(entry.position, entry.line))
        for key, setter in before.setters.items():
            after = self._timeline.state.setters.get(key)
            if after is None or after <= setter or not self._timeline.applies(setter, key):
                continue
            by = overwrites_unseen(self._timeline, key, setter, after)
            if by is not None:
                self._tell(Overwritten(setter, key, by))

    def _outcome(self) -> int:
        if not self._timeline.based or self._unconfirmed() is not None:
            return NO_OUTCOME
        return _outcome_of(self._timeline.state)

    def _unconfirmed(self) -> Entry | None:
        """A change that this program couldn't judge, and whose outcome no peer has confirmed."""
        return self._timeline.unjudged_after(self._confirmed)

    def _settle(self) -> None:
        """Put the agreed configuration in force, or hold the last one and say why."""
        if not self._timeline.based:
            return
        state = self._timeline.state
        obstacle = self._obstacle(state)
        if obstacle is not None:
            if obstacle != self._held:
                self._held = obstacle
                self._tell(obstacle)
            return
        self._held = None
        if self._in_force is None or self._in_force_digest != state.digest:
            self._in_force, self._in_force_digest = dict(state.values), state.digest
            self._tell(InForce(self._version))

    def _obstacle(self, state: SettingsState) -> Held | None:
        problems: Sequence[Problem] = self._judge.problems(state)
        if problems:
            return Held(problems[0].key, problems[0].line)
        unjudged = self._unconfirmed()
        if unjudged is not None:
            return Held(unjudged.line.partition(":")[0], unjudged.line)
        return None

    # Outputs and the next life

    def _send(self, peer: int, message: Message) -> None:
        self._outputs.append(Send(peer, message))

    def _tell(self, event: Event) -> None:
        self._outputs.append(event)

    def _flush(self) -> None:
        for peer in self._peers.values():
            if peer.pending:
                for message in peer.next_changes(self._timeline, self.limits):
                    self._send(peer.ident, message)

    def _resume(self, now: float, kept: KeptState) -> None:
        self._in_force = None if kept.in_force is None else dict(kept.in_force)
        self._in_force_digest = settings_digest(self.configuration)
        self._versions = VersionLog(self.limits.known_versions, self._version)
        if kept.snapshot.cut != BEGINNING:
            self._adopt(kept.snapshot)
        for entry in kept.archive:
            self._archive.add(entry)
        for entry in kept.set_aside:
            self._set_aside.add(entry)
        self._take_in(now, kept.changes, None)


def _outcome_of(state: SettingsState) -> int:
    return state.digest or 1


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
