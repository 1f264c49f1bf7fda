"""The known changes in their order, folded over a base: which of them hold, and what configuration follows.

The fold is a function of the base and the set of changes alone. A change that comes in between is put in its place: the
fold steps back to there and forward again.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum

from sprucepost.configuration.change import BEGINNING, Change, Position
from sprucepost.configuration.document import Value
from sprucepost.configuration.judge import Judge
from sprucepost.configuration.state import SettingsState, Undo
from sprucepost.configuration.validation import ProblemKind, first_of


class State(Enum):
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
    state: State
    line: str
    superseded_by: Mapping[str, Position]
    previous: tuple[Undo, ...] = ()

    def brought_up_to_date(self, setters: Mapping[str, Position]) -> HistoryEntry:
        """The entry of a compacted change, which later changes may have superseded since."""
        if self.state is not State.IN_FORCE:
            return self
        position = self.change.position
        replaced = {
            edit.key: setters[edit.key]
            for edit in self.change.edits
            if edit.key not in self.superseded_by and setters.get(edit.key, position) != position
        }
        superseded_by = {**self.superseded_by, **replaced}
        holds = any(edit.key not in superseded_by for edit in self.change.edits)
        return replace(self, state=State.IN_FORCE if holds else State.SUPERSEDED, superseded_by=superseded_by)


@dataclass
class Entry:
    """A change in its place, with what the fold made of it."""

    change: Change
    since_ms: float  # when this replica first had it
    verdict: Verdict = Verdict.WAITING
    line: str = ""
    superseded_by: dict[str, Position] = field(default_factory=dict)
    undo: list[Undo] = field(default_factory=list)

    @property
    def position(self) -> Position:
        return self.change.position

    def shown(self) -> HistoryEntry:
        return HistoryEntry(self.change, self._state(), self.line, dict(self.superseded_by))

    def _state(self) -> State:
        if self.verdict is Verdict.REFUSED:
            return State.REFUSED
        if self.verdict is Verdict.UNJUDGED:
            return State.UNJUDGED
        if self.verdict is Verdict.WAITING:
            return State.WAITING
        holds = any(edit.key not in self.superseded_by for edit in self.change.edits)
        return State.IN_FORCE if holds and self.verdict is Verdict.ACCEPTED else State.SUPERSEDED


class Timeline:
    """The fold. ``cut`` and ``base`` are what was compacted; ``entries`` are the live changes, oldest first."""

    def __init__(self, judge: Judge) -> None:
        self._judge = judge
        self.cut = BEGINNING
        self.base = SettingsState()
        self.state = SettingsState()
        self.entries: list[Entry] = []
        self.size = 0  # bytes of the live changes
        self._by_position: dict[Position, Entry] = {}
        self._refused_elsewhere: frozenset[Position] = frozenset()
        self._unjudged_entries: list[Entry] = []
        self._based = False  # whether a baseline is behind the present point of the fold

    def __contains__(self, position: Position) -> bool:
        return position in self._by_position

    def entry(self, position: Position) -> Entry | None:
        """The live entry at that position."""
        return self._by_position.get(position)

    @property
    def based(self) -> bool:
        """Whether there is any agreed configuration."""
        return self._based

    def unjudged_after(self, position: Position) -> Entry | None:
        """The first change later than that which this program couldn't judge."""
        return next((entry for entry in self._unjudged_entries if entry.position > position), None)

    def insert(self, entries: Iterable[Entry]) -> None:
        """Put changes in their places; they are later than the cut and not here yet."""
        new = sorted(entries, key=lambda entry: entry.position)
        if not new:
            return
        first = new[0].position
        self._refused_elsewhere = frozenset(each for each in self._refused_elsewhere if each < first)
        place = bisect_left(self.entries, first, key=lambda entry: entry.position)
        self._step_back(place)
        for entry in new:
            self._by_position[entry.position] = entry
            self.size += entry.change.size
        self.entries[place:] = sorted(self.entries[place:] + new, key=lambda entry: entry.position)
        self._step_forward(place)

    def applies(self, position: Position, key: str) -> bool:
        """Whether the change at that position, which has set ``key``, is applied, here or in the base."""
        entry = self._by_position.get(position)
        if entry is not None:
            return entry.verdict in APPLIED
        return self.base.setters.get(key) == position

    def judge_again(self, refused_elsewhere: Iterable[Position] = ()) -> None:
        """Fold all live changes once more: what the validator rests on has changed, or a replica that knows more keys has
        refused these. Only changes that can't be judged here are refused for that."""
        self._refused_elsewhere = frozenset(refused_elsewhere)
        self._step_back(0)
        self._step_forward(0)

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
        self._note_unjudged()
        return compacted

    def rebase(self, cut: Position, base: SettingsState) -> list[Entry]:
        """Take another base with a later cut; returns the live entries that are not later than it."""
        everything = self.entries
        dropped = [entry for entry in everything if entry.position <= cut]
        self.cut, self.base, self.state = cut, base, base.copy()
        self.entries, self._by_position, self.size = [], {}, 0
        self._note_unjudged()
        self._based = True
        self.insert([_unfolded(entry) for entry in everything if entry.position > cut])
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

    def _step_back(self, place: int) -> None:
        for entry in reversed(self.entries[place:]):
            for undo in reversed(entry.undo):
                self.state.restore(undo)
                self._mark(undo, None)
            entry.undo = []
            entry.superseded_by = {}
        self._based = self.cut != BEGINNING or any(
            entry.change.baseline and entry.verdict in APPLIED for entry in self.entries[:place]
        )

    def _step_forward(self, place: int) -> None:
        for entry in self.entries[place:]:
            entry.verdict, entry.line = self._apply(entry)
        self._note_unjudged()

    def _note_unjudged(self) -> None:
        self._unjudged_entries = [entry for entry in self.entries if entry.verdict is Verdict.UNJUDGED]

    def _apply(self, entry: Entry) -> tuple[Verdict, str]:
        change = entry.change
        if change.baseline and self._based:
            return Verdict.REDUNDANT, "another baseline came first"
        if not change.baseline and not self._based:
            return Verdict.WAITING, "no baseline yet"
        undo = [self.state.edit(edit, change.position) for edit in change.edits]
        verdict, line = self._verdict(change)
        if verdict is Verdict.REFUSED:
            for step in reversed(undo):
                self.state.restore(step)
            return verdict, line
        entry.undo = undo
        for step in undo:
            self._mark(step, change.position)
        self._based = True
        return verdict, line

    def _verdict(self, change: Change) -> tuple[Verdict, str]:
        foreign = self._judge.foreign_key(change)
        if foreign is not None:
            return self._unjudged(change, f"{foreign}: not a deployment-wide key of this program")
        problems = self._judge.problems(self.state)
        unknown = first_of(problems, ProblemKind.UNKNOWN_KEY)
        if unknown is not None:
            return self._unjudged(change, unknown.line)
        invalid = first_of(problems, ProblemKind.INVALID)
        if invalid is not None:
            return Verdict.REFUSED, invalid.line
        return Verdict.ACCEPTED, ""

    def _unjudged(self, change: Change, line: str) -> tuple[Verdict, str]:
        if change.position in self._refused_elsewhere:
            return Verdict.REFUSED, f"{line}; refused by a placer that knows it"
        return Verdict.UNJUDGED, line

    def _mark(self, step: Undo, by: Position | None) -> None:
        """The change that had set this key was superseded there, or is no more."""
        earlier = None if step.setter is None else self._by_position.get(step.setter)
        if earlier is None:
            return
        if by is None:
            earlier.superseded_by.pop(step.key, None)
        else:
            earlier.superseded_by[step.key] = by


def _unfolded(entry: Entry) -> Entry:
    return Entry(entry.change, entry.since_ms)
