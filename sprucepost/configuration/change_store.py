"""All that a replica knows: the base, the live changes over it, and what is kept for display. No peers, no effects."""

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

MAX_CLOCK_STEP = 2**32  # a clock that leads ours by more is a fault, not a busy fleet
COMPACT_BATCH_DIVISOR = 16  # ripe changes are compacted together once they are one in so many of all that may live,
MAX_RIPE_HORIZONS = 1.25  # or the oldest is so many horizons old
LIVE_CHANGES_LIMIT_FACTOR = 2  # times the bound, where nothing can be compacted: what comes then is not taken
KEPT_SHARE = 0.75  # where the bound is passed, so much of it is left


class ChangeStore:
    """The base and the live changes. Of two bases the one with the greater ``rank`` counts."""

    def __init__(self, checker: ConfigurationChecker, limits: Limits) -> None:
        self._limits = limits
        self.timeline = Timeline(checker)
        self.archive = BoundedHistory(limits.archived_changes, limits.archived_bytes)
        self.set_aside = BoundedHistory(limits.set_aside_changes, limits.set_aside_bytes)
        self.clock = 0
        self.version = Version(0, 0)
        self.versions = VersionLog(limits.known_versions, self.version)
        self.fingerprints: deque[int] = deque(maxlen=limits.remembered_fingerprints)  # of changes in the base
        self._base_digest = 0
        self._forgotten = False  # whether the base holds more changes than fingerprints
        self.archive_complete_from = (
            BEFORE_FIRST  # the archive holds every applied change from there on, or had to drop it
        )
        self._live: dict[int, Position] = {}  # by fingerprint

    # What may be asked

    @property
    def rank(self) -> tuple[Position, int]:
        return self.timeline.cut, self._base_digest

    @property
    def history(self) -> list[HistoryEntry]:
        """All changes that are still shown, oldest first."""
        live = [entry.shown() for entry in self.timeline.entries]
        archived = [entry.with_setters(self.timeline.state.setters) for entry in self.archive]
        return sorted([*archived, *self.set_aside, *live], key=lambda entry: entry.change.position)

    @property
    def is_full(self) -> bool:
        """Whether no more changes are taken, since none can be compacted."""
        return len(self.timeline.entries) >= self._limits.live_changes * LIVE_CHANGES_LIMIT_FACTOR

    def settings_at(self, position: Position) -> dict[str, Value] | None:
        """The agreed values right after the change at ``position``; None where that is no longer known."""
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
        """Whether an honest replica could have sent that."""
        clock, origin = change.position.clock, change.position.origin
        return (
            0 < clock <= min(MAX_CLOCK, self.clock + MAX_CLOCK_STEP)
            and 0 < len(origin) <= self._limits.text_length
            and 0 < len(change.edits) <= self._limits.configuration_keys
            and len({edit.key for edit in change.edits}) == len(change.edits)
            and change.size <= self._limits.large_change_bytes
        )

    def is_behind(self, change: Change) -> bool:
        """Whether the change is from before the base's cut: in the base, or never to be applied."""
        return change.position <= self.timeline.cut

    def is_known(self, change: Change) -> bool:
        """Whether there is nothing to learn from the change."""
        position = change.position
        return (
            position in self.timeline
            or position in self.archive
            or position in self.set_aside
            or (self.is_behind(change) and change.fingerprint in self.fingerprints)
        )

    def summary(self) -> Summary:
        return Summary(*self.rank, tuple(self._live))

    def missing_at(self, summary: Summary) -> list[Position]:
        """Live changes that whoever sent the summary hasn't, and can still take."""
        theirs = set(summary.live)
        return [
            position
            for fingerprint, position in self._live.items()
            if fingerprint not in theirs and position > summary.cut
        ]

    def missing_here(self, summary: Summary) -> bool:
        """Whether the sender has live changes that are neither live here nor in the base."""
        return bool(set(summary.live) - self._live.keys() - set(self.fingerprints))

    def needs_base_of(self, summary: Summary) -> bool:
        """Whether the sender's base counts and holds something else than what this ledger has up to there."""
        if (summary.cut, summary.base_digest) <= self.rank:
            return False
        digest = self._base_digest
        for entry in self.timeline.entries:
            if entry.position <= summary.cut:
                digest ^= entry.change.fingerprint
        return digest != summary.base_digest

    def refused_fingerprints(self) -> tuple[int, ...]:
        entries = self.timeline.entries
        return tuple(entry.change.fingerprint for entry in entries if entry.verdict is Verdict.REFUSED)

    def positions(self, fingerprints: Iterable[int]) -> list[Position]:
        """Of those live changes; unknown fingerprints are passed over."""
        return [self._live[each] for each in fingerprints if each in self._live]

    # What happens

    def insert(self, now: float, changes: Sequence[Change]) -> None:
        """Changes that are new here and later than the cut, in their order."""
        self.timeline.insert([Entry(change, now) for change in changes])
        digest = self.version.digest
        for change in changes:
            self.clock = max(self.clock, change.position.clock)
            self._live[change.fingerprint] = change.position
            digest ^= change.fingerprint
            self.version = Version(self.clock, digest)
            self.versions.add(self.version, [change])

    def set_change_aside(self, change: Change) -> None:
        """Keep a change that is behind the cut and not in the base; it is never applied."""
        line = f"{change.edits[0].key}: not in the base, which holds all changes up to {self.timeline.cut}"
        if self._forgotten:
            line += "; if it is older than the changes that are remembered it may have been"
        self.archive.remove(change.position)
        self.set_aside.add(HistoryEntry(change, ChangeState.SET_ASIDE, line, {}))

    # The base

    def compact(self, now: float) -> bool:
        """Fold into the base what is older than the horizon, or too much. False where there is too much and the oldest
        can't be judged here, so that only another replica's base can help."""
        entries, limits = self.timeline.entries, self._limits
        ripe = 0
        while ripe < len(entries) and _is_decided(entries[ripe]) and self._age_in_horizons(now, entries[ripe]) >= 1.0:
            ripe += 1
        if (
            ripe
            and ripe < limits.live_changes // COMPACT_BATCH_DIVISOR
            and self._age_in_horizons(now, entries[0]) < MAX_RIPE_HORIZONS
        ):
            ripe = 0
        surplus = self._surplus()
        settled = next((n for n, entry in enumerate(entries[:surplus]) if not _is_decided(entry)), surplus)
        self._fold_into_base(max(ripe, settled))
        return settled == surplus

    def snapshot(self) -> Snapshot:
        """The base for another replica, or for the next life."""
        base = self.timeline.base
        return Snapshot(
            *self.rank,
            tuple(SettingRecord(key, value, base.setters[key]) for key, value in sorted(base.values.items())),
            tuple(self.fingerprints),
            self._forgotten,
        )

    def accepts(self, snapshot: Snapshot) -> bool:
        """Whether that base counts, and could be an honest replica's."""
        is_plausible = snapshot.cut.clock <= MAX_CLOCK and len(snapshot.settings) <= self._limits.configuration_keys
        return is_plausible and (snapshot.cut, snapshot.digest) > self.rank

    def adopt(self, snapshot: Snapshot) -> list[Change]:
        """Take that base in place of the own one, and set aside what isn't in it: these changes are the result."""
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
                self.archive.add(entry.shown())
            else:
                not_held.append(entry.change)
        for change in not_held:
            self.set_change_aside(change)
        for aside in self.set_aside:
            if (
                aside.change.fingerprint in held
            ):  # set aside for another base; what became of its keys, their setters tell
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
        """In horizons."""
        return (now - entry.since_ms) / self._limits.horizon_ms

    def _surplus(self) -> int:
        """How many of the oldest must go to keep the bounds; the newest always stays."""
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
            self.archive.add(replace(entry.shown(), previous=tuple(entry.undo)))


def _is_decided(entry: Entry) -> bool:
    return entry.verdict not in (Verdict.UNJUDGED, Verdict.WAITING)
