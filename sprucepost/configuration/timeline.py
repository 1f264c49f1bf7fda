"""The known changes in their order, folded over a base: which of them hold, and what configuration follows.

The fold is a function of the base and the set of changes alone. A change that comes in between is put in its place: the
fold steps back to there and forward again.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum

from sprucepost.configuration.change import BEFORE_FIRST, Change, Position
from sprucepost.configuration.configuration_checker import ConfigurationChecker
from sprucepost.configuration.document import Value
from sprucepost.configuration.state import SettingsState, Undo
from sprucepost.configuration.validation import ProblemKind, first_problem


class ChangeState(Enum):
    """What has become of a change, for the history."""

    IN_FORCE = "in force"  # at least one of its keys has its value from it
    SUPERSEDED = "superseded"  # later changes have replaced all that it set, or another baseline came first
    REFUSED = "refused"  # the whole result would be invalid
    UNJUDGED = "not judged"  # this program doesn't know a key; taken as accepted, and not put in force
    WAITING = "waiting"  # no baseline before it has been received yet
    SET_ASIDE = "set aside"  # from before the base's cut, and not in the base


class Verdict(Enum):
    """What the fold decided about a change."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNJUDGED = "unjudged"
    WAITING = "waiting"
    REDUNDANT = "redundant"  # a baseline that isn't the first


APPLIED = (Verdict.ACCEPTED, Verdict.UNJUDGED)


@dataclass(frozen=True)
class HistoryEntry:
    """A change as the history shows it. ``superseded_by``: for each key of it that was replaced, by which change.
    ``previous``: of a compacted change, what its keys had before it."""

    change: Change
    state: ChangeState
    reason: str
    superseded_by: Mapping[str, Position]
    previous: tuple[Undo, ...] = ()

    def with_setters(self, setters: Mapping[str, Position]) -> HistoryEntry:
        """The entry of a compacted change, which later changes may have superseded since."""
        if self.state is not ChangeState.IN_FORCE:
            return self
        position = self.change.position
        replaced = {
            edit.key: setters[edit.key]
            for edit in self.change.edits
            if edit.key not in self.superseded_by and setters.get(edit.key, position) != position
        }
        superseded_by = {**self.superseded_by, **replaced}
        holds = any(edit.key not in superseded_by for edit in self.change.edits)
        return replace(
            self, state=ChangeState.IN_FORCE if holds else ChangeState.SUPERSEDED, superseded_by=superseded_by
        )


@dataclass
class Entry:
    """A change in its place, with what the fold made of it."""

    change: Change
    since_ms: float  # when this replica first had it
    verdict: Verdict = Verdict.WAITING
    reason: str = ""
    superseded_by: dict[str, Position] = field(default_factory=dict)
    undo: list[Undo] = field(default_factory=list)

    @property
    def position(self) -> Position:
        return self.change.position

    def shown(self) -> HistoryEntry:
        return HistoryEntry(self.change, self._state(), self.reason, dict(self.superseded_by))

    def _state(self) -> ChangeState:
        if self.verdict is Verdict.REFUSED:
            return ChangeState.REFUSED
        if self.verdict is Verdict.UNJUDGED:
            return ChangeState.UNJUDGED
        if self.verdict is Verdict.WAITING:
            return ChangeState.WAITING
        holds = any(edit.key not in self.superseded_by for edit in self.change.edits)
        return ChangeState.IN_FORCE if holds and self.verdict is Verdict.ACCEPTED else ChangeState.SUPERSEDED


class Timeline:
    """The fold. ``cut`` and ``base`` are what was compacted; ``entries`` are the live changes, oldest first."""

    def __init__(self, checker: ConfigurationChecker) -> None:
        self._checker = checker
        self.cut = BEFORE_FIRST
        self.base = SettingsState()
        self.state = SettingsState()
        self.entries: list[Entry] = []
        self.size = 0  # bytes of the live changes
        self._by_position: dict[Position, Entry] = {}
        self._refused_by_peers: frozenset[Position] = frozenset()
        self._unjudged_entries: list[Entry] = []
        self._has_baseline = False  # whether a baseline is behind the present point of the fold

    def __contains__(self, position: Position) -> bool:
        return position in self._by_position

    def entry(self, position: Position) -> Entry | None:
        """The live entry at that position."""
        return self._by_position.get(position)

    @property
    def has_baseline(self) -> bool:
        """Whether there is any agreed configuration."""
        return self._has_baseline

    def unjudged_after(self, position: Position) -> Entry | None:
        """The first change later than that which this program couldn't judge."""
        return next((entry for entry in self._unjudged_entries if entry.position > position), None)

    def insert(self, entries: Iterable[Entry]) -> None:
        """Put changes in their places; they are later than the cut and not here yet."""
        new = sorted(entries, key=lambda entry: entry.position)
        if not new:
            return
        first = new[0].position
        self._refused_by_peers = frozenset(each for each in self._refused_by_peers if each < first)
        place = bisect_left(self.entries, first, key=lambda entry: entry.position)
        self._undo_from(place)
        for entry in new:
            self._by_position[entry.position] = entry
            self.size += entry.change.size
        self.entries[place:] = sorted(self.entries[place:] + new, key=lambda entry: entry.position)
        self._apply_from(place)

    def applies(self, position: Position, key: str) -> bool:
        """Whether the change at that position, which has set ``key``, is applied, here or in the base."""
        entry = self._by_position.get(position)
        if entry is not None:
            return entry.verdict in APPLIED
        return self.base.setters.get(key) == position

    def reevaluate(self, refused_by_peers: Iterable[Position] = ()) -> None:
        """Fold all live changes once more: what the validator rests on has changed, or a replica that knows more keys has
        refused these. Only changes that can't be judged here are refused for that."""
        self._refused_by_peers = frozenset(refused_by_peers)
        self._undo_from(0)
        self._apply_from(0)

    def compact(self, count: int) -> list[Entry]:
        """Fold the first ``count`` entries into the base for good, and return them."""
        compacted, self.entries = self.entries[:count], self.entries[count:]
        for entry in compacted:
            if entry.verdict in APPLIED:
                for edit in entry.change.edits:
                    self.base.edit(edit, entry.position)
            del self._by_position[entry.position]
            self.size -= entry.change.size
            self.cut = entry.position
        self.base.forget_removed()
        self.state.forget_removed(up_to=self.cut)
        self._update_unjudged()
        return compacted

    def rebase(self, cut: Position, base: SettingsState) -> list[Entry]:
        """Take another base with a later cut; returns the live entries that are not later than it."""
        everything = self.entries
        dropped = [entry for entry in everything if entry.position <= cut]
        self.cut, self.base, self.state = cut, base, base.copy()
        self.entries, self._by_position, self.size = [], {}, 0
        self._update_unjudged()
        self._has_baseline = True
        self.insert([_unapplied(entry) for entry in everything if entry.position > cut])
        return dropped

    def settings_at(self, position: Position) -> dict[str, Value]:
        """The agreed values right after the change at ``position``, which is live or the cut."""
        state = self.base.copy()
        for entry in self.entries:
            if entry.position > position:
                break
            if entry.verdict in APPLIED:
                for edit in entry.change.edits:
                    state.edit(edit, entry.position)
        return state.values

    # The fold

    def _undo_from(self, place: int) -> None:
        for entry in reversed(self.entries[place:]):
            for undo in reversed(entry.undo):
                self.state.restore(undo)
                self._mark_superseded(undo, None)
            entry.undo = []
            entry.superseded_by = {}
        self._has_baseline = self.cut != BEFORE_FIRST or any(
            entry.change.baseline and entry.verdict in APPLIED for entry in self.entries[:place]
        )

    def _apply_from(self, place: int) -> None:
        for entry in self.entries[place:]:
            entry.verdict, entry.reason = self._apply(entry)
        self._update_unjudged()

    def _update_unjudged(self) -> None:
        self._unjudged_entries = [entry for entry in self.entries if entry.verdict is Verdict.UNJUDGED]

    def _apply(self, entry: Entry) -> tuple[Verdict, str]:
        change = entry.change
        if change.baseline and self._has_baseline:
            return Verdict.REDUNDANT, "another baseline came first"
        if not change.baseline and not self._has_baseline:
            return Verdict.WAITING, "no baseline yet"
        undo = [self.state.edit(edit, change.position) for edit in change.edits]
        verdict, line = self._verdict(change)
        if verdict is Verdict.REFUSED:
            for step in reversed(undo):
                self.state.restore(step)
            return verdict, line
        entry.undo = undo
        for step in undo:
            self._mark_superseded(step, change.position)
        self._has_baseline = True
        return verdict, line

    def _verdict(self, change: Change) -> tuple[Verdict, str]:
        foreign = self._checker.unknown_key(change)
        if foreign is not None:
            return self._unjudged(change, f"{foreign}: not a deployment-wide key of this program")
        problems = self._checker.problems(self.state)
        unknown = first_problem(problems, ProblemKind.UNKNOWN_KEY)
        if unknown is not None:
            return self._unjudged(change, unknown.reason)
        invalid = first_problem(problems, ProblemKind.INVALID)
        if invalid is not None:
            return Verdict.REFUSED, invalid.reason
        return Verdict.ACCEPTED, ""

    def _unjudged(self, change: Change, line: str) -> tuple[Verdict, str]:
        if change.position in self._refused_by_peers:
            return Verdict.REFUSED, f"{line}; refused by a placer that knows it"
        return Verdict.UNJUDGED, line

    def _mark_superseded(self, step: Undo, by: Position | None) -> None:
        """The change that had set this key was superseded there, or is no more."""
        earlier = None if step.setter is None else self._by_position.get(step.setter)
        if earlier is None:
            return
        if by is None:
            earlier.superseded_by.pop(step.key, None)
        else:
            earlier.superseded_by[step.key] = by


def _unapplied(entry: Entry) -> Entry:
    return Entry(entry.change, entry.since_ms)
