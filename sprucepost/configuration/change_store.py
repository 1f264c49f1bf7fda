"""Everything that a replica knows: the base, the live changes on top of it, and the history for display."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import replace

from sprucepost.configuration.change import BEFORE_FIRST, MAX_CLOCK, Change, Position, Version
from sprucepost.configuration.configuration_checker import ConfigurationChecker
from sprucepost.configuration.document import Value
from sprucepost.configuration.history import BoundedHistory, VersionLog
from sprucepost.configuration.limits import Limits
from sprucepost.configuration.messages import SettingRecord, Snapshot, Summary
from sprucepost.configuration.state import SettingsState
from sprucepost.configuration.timeline import ChangeState, Entry, HistoryEntry, Timeline, Verdict

MAX_CLOCK_STEP = 2**32  # a clock that is further ahead is an error of the sender, not a busy fleet
# Changes past the horizon are compacted in batches of at least 1/16 of the limit of live changes, or when the oldest
# reaches this age in horizons.
MIN_BATCH_DIVISOR = 16
MAX_AGE_HORIZONS = 1.25
LIVE_CHANGES_LIMIT_FACTOR = 2  # where nothing can be compacted, further changes are rejected at twice the limit
KEPT_SHARE = 0.75  # share of the limit that is retained when the limit is exceeded


class ChangeStore:
    """The base and the live changes. Of two bases, the one with the greater ``rank`` takes precedence."""

    def __init__(self, checker: ConfigurationChecker, limits: Limits) -> None:
        self._limits = limits
        self.timeline = Timeline(checker)
        self.archive = BoundedHistory(limits.archived_changes, limits.archived_bytes)
        self.set_aside = BoundedHistory(limits.set_aside_changes, limits.set_aside_bytes)
        self.clock = 0
        self.version = Version(0, 0)
        self.versions = VersionLog(limits.known_versions, self.version)
        # of compacted changes
        self.fingerprints: deque[int] = deque(maxlen=limits.remembered_fingerprints)
        self._base_digest = 0
        self._forgotten = False  # whether the base contains more changes than there are fingerprints
        # The archive holds each applied change from there on, except those dropped for space.
        self.archive_complete_from = BEFORE_FIRST
        self._live: dict[int, Position] = {}  # by fingerprint

    # Queries

    @property
    def rank(self) -> tuple[Position, int]:
        """The cut and the digest of the base; the greater one takes precedence."""
        return self.timeline.cut, self._base_digest

    @property
    def history(self) -> list[HistoryEntry]:
        """All changes that are still displayed, oldest first."""
        live = [entry.history_entry() for entry in self.timeline.entries]
        archived = [entry.with_setters(self.timeline.state.setters) for entry in self.archive]
        return sorted([*archived, *self.set_aside, *live], key=lambda entry: entry.change.position)

    @property
    def is_full(self) -> bool:
        """Whether further changes are rejected because none can be compacted."""
        return len(self.timeline.entries) >= self._limits.live_changes * LIVE_CHANGES_LIMIT_FACTOR

    def settings_at(self, position: Position) -> dict[str, Value] | None:
        """Returns the agreed values right after the change at ``position``; None if that is no longer known."""
        if position == self.timeline.cut or position in self.timeline:
            return self.timeline.settings_at(position)
        if position not in self.archive or position < self.archive_complete_from:
            return None
        state = self.timeline.base.copy()
        for entry in sorted(self.archive, key=lambda each: each.change.position, reverse=True):
            if entry.change.position <= position:
                break
            for undo in reversed(entry.previous):
                state.restore(undo)
        return state.values

    def is_plausible(self, change: Change) -> bool:
        """Whether a correct replica could have sent this change."""
        clock, origin = change.position.clock, change.position.origin
        return (
            0 < clock <= min(MAX_CLOCK, self.clock + MAX_CLOCK_STEP)
            and 0 < len(origin) <= self._limits.text_length
            and 0 < len(change.edits) <= self._limits.configuration_keys
            and len({edit.key for edit in change.edits}) == len(change.edits)
            and change.size <= self._limits.large_change_bytes
        )

    def is_behind(self, change: Change) -> bool:
        """Whether the change precedes the base's cut: it is in the base or will never be applied."""
        return change.position <= self.timeline.cut

    def is_known(self, change: Change) -> bool:
        """Whether the change is already known."""
        position = change.position
        return (
            position in self.timeline
            or position in self.archive
            or position in self.set_aside
            or (self.is_behind(change) and change.fingerprint in self.fingerprints)
        )

    def summary(self) -> Summary:
        """Returns the base's rank and the fingerprints of the live changes."""
        return Summary(*self.rank, tuple(self._live))

    def missing_at(self, summary: Summary) -> list[Position]:
        """Returns the live changes that the sender of the summary lacks and can still apply."""
        theirs = set(summary.live)
        return [
            position
            for fingerprint, position in self._live.items()
            if fingerprint not in theirs and position > summary.cut
        ]

    def missing_here(self, summary: Summary) -> bool:
        """Whether the sender of the summary has live changes that are neither live here nor in the base."""
        return bool(set(summary.live) - self._live.keys() - set(self.fingerprints))

    def needs_base_of(self, summary: Summary) -> bool:
        """Whether the sender's base takes precedence and differs from the changes known here up to its cut."""
        if (summary.cut, summary.base_digest) <= self.rank:
            return False
        digest = self._base_digest
        for entry in self.timeline.entries:
            if entry.position <= summary.cut:
                digest ^= entry.change.fingerprint
        return digest != summary.base_digest

    def refused_fingerprints(self) -> tuple[int, ...]:
        """Returns the fingerprints of the refused live changes."""
        entries = self.timeline.entries
        return tuple(entry.change.fingerprint for entry in entries if entry.verdict is Verdict.REFUSED)

    def positions(self, fingerprints: Iterable[int]) -> list[Position]:
        """Returns the positions of the live changes with these fingerprints; unknown fingerprints are ignored."""
        return [self._live[each] for each in fingerprints if each in self._live]

    # Updates

    def insert(self, now: float, changes: Sequence[Change]) -> None:
        """Adds changes, in their order, that are not known yet and later than the cut."""
        self.timeline.insert([Entry(change, now) for change in changes])
        digest = self.version.digest
        for change in changes:
            self.clock = max(self.clock, change.position.clock)
            self._live[change.fingerprint] = change.position
            digest ^= change.fingerprint
            self.version = Version(self.clock, digest)
            self.versions.add(self.version, [change])

    def set_change_aside(self, change: Change) -> None:
        """Records, for display only, a change that precedes the cut and is not in the base."""
        reason = f"{change.edits[0].key}: not in the base, which holds all changes up to {self.timeline.cut}"
        if self._forgotten:
            reason += "; if it is older than the changes that are remembered it may have been"
        self.archive.remove(change.position)
        self.set_aside.add(HistoryEntry(change, ChangeState.SET_ASIDE, reason, {}))

    # The base

    def compact(self, now: float) -> bool:
        """Folds changes that are past the horizon or above the limits into the base.

        Returns False if the limits are exceeded and the oldest changes cannot be checked here, so that only the base of
        another replica can help.
        """
        entries, limits = self.timeline.entries, self._limits
        due = 0
        while due < len(entries) and _is_decided(entries[due]) and self._age_in_horizons(now, entries[due]) >= 1.0:
            due += 1
        if (
            due
            and due < limits.live_changes // MIN_BATCH_DIVISOR
            and self._age_in_horizons(now, entries[0]) < MAX_AGE_HORIZONS
        ):
            due = 0
        surplus = self._surplus()
        decided = next((n for n, entry in enumerate(entries[:surplus]) if not _is_decided(entry)), surplus)
        self._fold_into_base(max(due, decided))
        return decided == surplus

    def snapshot(self) -> Snapshot:
        """Returns the base, for another replica or for the next run of this process."""
        base = self.timeline.base
        return Snapshot(
            *self.rank,
            tuple(SettingRecord(key, value, base.setters[key]) for key, value in sorted(base.values.items())),
            tuple(self.fingerprints),
            self._forgotten,
        )

    def accepts(self, snapshot: Snapshot) -> bool:
        """Whether that base takes precedence and could have come from a correct replica."""
        is_plausible = snapshot.cut.clock <= MAX_CLOCK and len(snapshot.settings) <= self._limits.configuration_keys
        return is_plausible and (snapshot.cut, snapshot.digest) > self.rank

    def adopt(self, snapshot: Snapshot) -> list[Change]:
        """Replaces the base and sets aside the changes that the new one lacks; returns those."""
        base = SettingsState()
        for record in snapshot.settings:
            base.put(record.key, record.value, record.setter)
        held = set(snapshot.fingerprints)
        behind = [] if snapshot.forgotten else [e.change for e in self.archive if e.change.position <= snapshot.cut]
        dropped = self.timeline.rebase(snapshot.cut, base)
        self._base_digest, self._forgotten = snapshot.digest, snapshot.forgotten
        self.fingerprints = deque(snapshot.fingerprints, self._limits.remembered_fingerprints)
        not_held = [change for change in behind if change.fingerprint not in held]
        for entry in dropped:
            if entry.change.fingerprint in held:
                self.archive.add(entry.history_entry())
            else:
                not_held.append(entry.change)
        for change in not_held:
            self.set_change_aside(change)
        for aside in self.set_aside:
            # Missing in an earlier base, but not in this one. The setters of its keys determine its state.
            if aside.change.fingerprint in held:
                self.set_aside.remove(aside.change.position)
                self.archive.add(HistoryEntry(aside.change, ChangeState.IN_FORCE, "", {}))
        self.archive_complete_from = snapshot.cut
        self._recompute_version(snapshot.cut)
        return not_held

    def _recompute_version(self, cut: Position) -> None:
        self._live = {entry.change.fingerprint: entry.position for entry in self.timeline.entries}
        self.clock = max(self.clock, cut.clock)
        digest = self._base_digest
        for fingerprint in self._live:
            digest ^= fingerprint
        self.version = Version(self.clock, digest)
        self.versions = VersionLog(self._limits.known_versions, self.version)

    def _age_in_horizons(self, now: float, entry: Entry) -> float:
        """Returns the age of an entry in multiples of the horizon."""
        return (now - entry.received_ms) / self._limits.horizon_ms

    def _surplus(self) -> int:
        """Returns how many of the oldest changes exceed the limits; the newest is always retained."""
        entries, limits = self.timeline.entries, self._limits
        if len(entries) <= limits.live_changes and self.timeline.size <= limits.live_bytes:
            return 0
        surplus, size = 0, self.timeline.size
        while surplus < len(entries) - 1 and (
            len(entries) - surplus > limits.live_changes * KEPT_SHARE or size > limits.live_bytes * KEPT_SHARE
        ):
            size -= entries[surplus].change.size
            surplus += 1
        return surplus

    def _fold_into_base(self, count: int) -> None:
        for entry in self.timeline.compact(count):
            fingerprint = entry.change.fingerprint
            self._forgotten |= len(self.fingerprints) == self._limits.remembered_fingerprints
            self.fingerprints.append(fingerprint)
            self._base_digest ^= fingerprint
            del self._live[fingerprint]
            self.archive.add(replace(entry.history_entry(), previous=tuple(entry.undo)))


def _is_decided(entry: Entry) -> bool:
    return entry.verdict not in (Verdict.UNJUDGED, Verdict.WAITING)
