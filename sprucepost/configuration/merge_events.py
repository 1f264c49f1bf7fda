"""Derives the operator events of a merge: which known changes it refused or overwrote."""

from __future__ import annotations

from collections.abc import Iterator

from sprucepost.configuration.change import Change, Edit, Position
from sprucepost.configuration.messages import Event, Overwritten, Refused
from sprucepost.configuration.timeline import APPLIED, Timeline, Verdict


class MergeEvents:
    """Records the verdicts and setters of a timeline; ``events`` compares them with those after a merge."""

    def __init__(self, timeline: Timeline) -> None:
        self._timeline = timeline
        self._verdicts = {entry.position: entry.verdict for entry in timeline.entries}
        self._setters = dict(timeline.state.setters)

    def events(self) -> Iterator[Event]:
        """Yields changes that the merge refused, and values that were replaced by an author who had not seen them."""
        yield from self._refusals()
        yield from self._overwrites()

    def _refusals(self) -> Iterator[Event]:
        for entry in self._timeline.entries:
            earlier = self._verdicts.get(entry.position)
            redundant = entry.verdict is Verdict.REDUNDANT and earlier in APPLIED
            if (entry.verdict is Verdict.REFUSED and earlier is not Verdict.REFUSED) or redundant:
                yield Refused(entry.position, entry.reason)

    def _overwrites(self) -> Iterator[Event]:
        for key, before in self._setters.items():
            after = self._timeline.state.setters.get(key)
            if after is None or after <= before or not self._timeline.applies(before, key):
                continue
            by = unseen_overwrite(self._timeline, key, before, after)
            if by is not None:
                yield Overwritten(before, key, by)


def unseen_overwrite(timeline: Timeline, key: str, before: Position, after: Position) -> Position | None:
    """Returns the change that replaced the value of ``key`` set by ``before`` although its author had not seen it.

    None if the author of each change from ``before`` to ``after`` had seen the value that it replaced.
    """
    latest = after
    while True:
        entry = timeline.entry(latest)
        edit = None if entry is None else _edit_of(entry.change, key)
        if edit is None:
            return latest
        if edit.replaces == before:
            return None
        if edit.replaces is None or edit.replaces < before:
            return latest
        latest = edit.replaces


def _edit_of(change: Change, key: str) -> Edit | None:
    return next((edit for edit in change.edits if edit.key == key), None)
