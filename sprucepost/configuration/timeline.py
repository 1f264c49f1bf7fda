"""The known changes in their total order, folded over a base: the verdict on each, and the resulting configuration.

The result depends on the base and the set of changes alone. A change that arrives out of order is inserted at its
position: the later changes are undone and applied again.
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
    """The state of a change, as shown in the history."""

    IN_FORCE = "in force"  # at least one key still has the value that it set
    SUPERSEDED = "superseded"  # later changes replaced all its values, or an earlier baseline exists
    REFUSED = "refused"  # the resulting configuration would be invalid
    UNJUDGED = "not judged"  # this program doesn't know a key; treated as accepted, but not put in force
    WAITING = "waiting"  # no earlier baseline has been received yet
    SET_ASIDE = "set aside"  # precedes the base's cut and is not in the base


class Verdict(Enum):
    """The decision of the fold about a change."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNJUDGED = "unjudged"
    WAITING = "waiting"
    REDUNDANT = "redundant"  # a baseline that is not the first one


APPLIED = (Verdict.ACCEPTED, Verdict.UNJUDGED)


@dataclass(frozen=True)
class HistoryEntry:
    """A change as shown in the history.

    ``superseded_by`` maps each replaced key to the change that replaced its value. ``previous`` holds, for a compacted
    change, the undo records of its edits.
    """

    change: Change
    state: ChangeState
    reason: str
    superseded_by: Mapping[str, Position]
    previous: tuple[Undo, ...] = ()

    def with_setters(self, setters: Mapping[str, Position]) -> HistoryEntry:
        """Returns the entry of a compacted change, updated with the changes that have superseded it since."""
        if self.state is not ChangeState.IN_FORCE:
            return self
        position = self.change.position
        replaced = {
            edit.key: setters[edit.key]
            for edit in self.change.edits
            if edit.key not in self.superseded_by and setters.get(edit.key, position) != position
        }
        superseded_by = {**self.superseded_by, **replaced}
        in_force = any(edit.key not in superseded_by for edit in self.change.edits)
        return replace(
            self, state=ChangeState.IN_FORCE if in_force else ChangeState.SUPERSEDED, superseded_by=superseded_by
        )


@dataclass
class Entry:
    """A live change in the timeline, with the verdict of the fold."""

    change: Change
    received_ms: float  # when this replica received it
    verdict: Verdict = Verdict.WAITING
    reason: str = ""
    superseded_by: dict[str, Position] = field(default_factory=dict)
    undo: list[Undo] = field(default_factory=list)

    @property
    def position(self) -> Position:
        """The position of the change."""
        return self.change.position

    def history_entry(self) -> HistoryEntry:
        """Returns the entry for the history."""
        return HistoryEntry(self.change, self._state(), self.reason, dict(self.superseded_by))

    def _state(self) -> ChangeState:
        if self.verdict is Verdict.REFUSED:
            return ChangeState.REFUSED
        if self.verdict is Verdict.UNJUDGED:
            return ChangeState.UNJUDGED
        if self.verdict is Verdict.WAITING:
            return ChangeState.WAITING
        in_force = any(edit.key not in self.superseded_by for edit in self.change.edits)
        return ChangeState.IN_FORCE if in_force and self.verdict is Verdict.ACCEPTED else ChangeState.SUPERSEDED


class Timeline:
    """The fold of the live changes over the base.

    ``base`` is the result of the compacted changes and ``cut`` the position of the last of them; ``entries`` are the
    live changes, oldest first.
    """

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
        self._has_baseline = False  # whether a baseline precedes the current point of the fold

    def __contains__(self, position: Position) -> bool:
        return position in self._by_position

    def entry(self, position: Position) -> Entry | None:
        """Returns the live entry at that position."""
        return self._by_position.get(position)

    @property
    def has_baseline(self) -> bool:
        """Whether an agreed configuration exists."""
        return self._has_baseline

    def unjudged_after(self, position: Position) -> Entry | None:
        """Returns the first change after ``position`` that this program could not check."""
        return next((entry for entry in self._unjudged_entries if entry.position > position), None)

    def insert(self, entries: Iterable[Entry]) -> None:
        """Inserts changes at their positions; they must be later than the cut and not yet present."""
        new = sorted(entries, key=lambda entry: entry.position)
        if not new:
            return
        first = new[0].position
        self._refused_by_peers = frozenset(each for each in self._refused_by_peers if each < first)
        index = bisect_left(self.entries, first, key=lambda entry: entry.position)
        self._undo_from(index)
        for entry in new:
            self._by_position[entry.position] = entry
            self.size += entry.change.size
        self.entries[index:] = sorted(self.entries[index:] + new, key=lambda entry: entry.position)
        self._apply_from(index)

    def applies(self, position: Position, key: str) -> bool:
        """Whether the change at that position, which set ``key``, is applied in the timeline or the base."""
        entry = self._by_position.get(position)
        if entry is not None:
            return entry.verdict in APPLIED
        return self.base.setters.get(key) == position

    def reevaluate(self, refused_by_peers: Iterable[Position] = ()) -> None:
        """Folds all live changes again, after a change of the validator's inputs or with the verdicts of a peer.

        ``refused_by_peers`` are changes refused by a replica that knows more keys. Only those of them that cannot be
        checked here are refused for that reason.
        """
        self._refused_by_peers = frozenset(refused_by_peers)
        self._undo_from(0)
        self._apply_from(0)

    def compact(self, count: int) -> list[Entry]:
        """Folds the first ``count`` entries into the base permanently, and returns them."""
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
        """Replaces the base by one with a later cut; returns the live entries at or before that cut."""
        live = self.entries
        dropped = [entry for entry in live if entry.position <= cut]
        self.cut, self.base, self.state = cut, base, base.copy()
        self.entries, self._by_position, self.size = [], {}, 0
        self._update_unjudged()
        self._has_baseline = True
        self.insert([_unapplied(entry) for entry in live if entry.position > cut])
        return dropped

    def settings_at(self, position: Position) -> dict[str, Value]:
        """Returns the agreed values right after the change at ``position``, which must be live or the cut."""
        state = self.base.copy()
        for entry in self.entries:
            if entry.position > position:
                break
            if entry.verdict in APPLIED:
                for edit in entry.change.edits:
                    state.edit(edit, entry.position)
        return state.values

    # The fold

    def _undo_from(self, index: int) -> None:
        for entry in reversed(self.entries[index:]):
            for undo in reversed(entry.undo):
                self.state.restore(undo)
                self._mark_superseded(undo, None)
            entry.undo = []
            entry.superseded_by = {}
        self._has_baseline = self.cut != BEFORE_FIRST or any(
            entry.change.baseline and entry.verdict in APPLIED for entry in self.entries[:index]
        )

    def _apply_from(self, index: int) -> None:
        for entry in self.entries[index:]:
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
        verdict, reason = self._verdict(change)
        if verdict is Verdict.REFUSED:
            for step in reversed(undo):
                self.state.restore(step)
            return verdict, reason
        entry.undo = undo
        for step in undo:
            self._mark_superseded(step, change.position)
        self._has_baseline = True
        return verdict, reason

    def _verdict(self, change: Change) -> tuple[Verdict, str]:
        unknown_key = self._checker.unknown_key(change)
        if unknown_key is not None:
            return self._unjudged(change, f"{unknown_key}: not a deployment-wide key of this program")
        problems = self._checker.problems(self.state)
        unknown = first_problem(problems, ProblemKind.UNKNOWN_KEY)
        if unknown is not None:
            return self._unjudged(change, unknown.reason)
        invalid = first_problem(problems, ProblemKind.INVALID)
        if invalid is not None:
            return Verdict.REFUSED, invalid.reason
        return Verdict.ACCEPTED, ""

    def _unjudged(self, change: Change, reason: str) -> tuple[Verdict, str]:
        if change.position in self._refused_by_peers:
            return Verdict.REFUSED, f"{reason}; refused by a placer that knows it"
        return Verdict.UNJUDGED, reason

    def _mark_superseded(self, step: Undo, by: Position | None) -> None:
        """Marks the change that had set this key as superseded by ``by``; None removes the mark."""
        earlier = None if step.setter is None else self._by_position.get(step.setter)
        if earlier is None:
            return
        if by is None:
            earlier.superseded_by.pop(step.key, None)
        else:
            earlier.superseded_by[step.key] = by


def _unapplied(entry: Entry) -> Entry:
    return Entry(entry.change, entry.received_ms)
