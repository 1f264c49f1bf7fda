"""Whether a proposal may become a change: checked at the replica where it is made, before anybody else hears of it."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from sprucepost.configuration.change import Change, Edit, Position, Version
from sprucepost.configuration.configuration_checker import ConfigurationChecker
from sprucepost.configuration.document import Value
from sprucepost.configuration.history import VersionLog
from sprucepost.configuration.limits import Limits
from sprucepost.configuration.state import SettingsState
from sprucepost.configuration.validation import ChangeableKeys

COMMENT_LENGTH_FACTOR = 4  # a comment may be so many times as long as a key


@dataclass(frozen=True, slots=True)
class KeyEdit:
    """One key's new value, or its removal, as an operator asks for it."""

    key: str
    value: Value = None
    removed: bool = False


@dataclass(frozen=True, slots=True)
class Proposal:
    """What an operator asks for. ``against``: the version that was read before, where none of the keys may have changed
    since. ``made_ms``: wall clock, for display."""

    edits: tuple[KeyEdit, ...]
    author: str
    comment: str = ""
    made_ms: float = 0.0
    against: Version | None = None


@dataclass(frozen=True, slots=True)
class Receipt:
    """The answer to a proposal: the new change's position, or one line that says why there is none."""

    version: Version
    position: Position | None = None
    refusal: str = ""


class ProposalRefusedError(Exception):
    """A proposal can't become a change. The text is one line, with the key where one is at fault."""


class ProposalChecker:
    """Checks proposals. ``check_*`` raise Refusal."""

    def __init__(self, checker: ConfigurationChecker, changeable: ChangeableKeys, limits: Limits, now: float) -> None:
        self._checker, self._changeable, self._limits = checker, changeable, limits
        self._tokens, self._refilled_ms = limits.proposals_burst, now

    def check_rate(self, now: float) -> None:
        """One change more from this replica. To be called last: it counts."""
        limits = self._limits
        passed_s = max(0.0, now - self._refilled_ms) / 1000.0
        self._tokens = min(limits.proposals_burst, self._tokens + passed_s * limits.proposals_per_s)
        self._refilled_ms = max(self._refilled_ms, now)
        if self._tokens < 1.0:
            raise ProposalRefusedError(f"too many changes at this placer: {limits.proposals_per_s:g} a second for long")
        self._tokens -= 1.0

    def check_form(self, proposal: Proposal, max_edits: int) -> None:
        """Sizes and keys, whatever the configuration is."""
        keys = [edit.key for edit in proposal.edits]
        if not keys:
            raise ProposalRefusedError("no key is changed")
        if len(keys) > max_edits:
            raise ProposalRefusedError(f"{len(keys)} keys in one change, {max_edits} at most")
        if len(set(keys)) < len(keys):
            raise ProposalRefusedError(f"{next(key for key in keys if keys.count(key) > 1)}: appears twice")
        for key in keys:
            if len(key) > self._limits.text_length:
                raise ProposalRefusedError(f"{key[:40]}...: longer than {self._limits.text_length} characters")
            if key not in self._changeable:
                raise ProposalRefusedError(f"{key}: not a deployment-wide key; it belongs to each placer's own file")
        if len(proposal.author) > self._limits.text_length:
            raise ProposalRefusedError(f"author: longer than {self._limits.text_length} characters")
        if len(proposal.comment) > COMMENT_LENGTH_FACTOR * self._limits.text_length:
            raise ProposalRefusedError(
                f"comment: longer than {COMMENT_LENGTH_FACTOR * self._limits.text_length} characters"
            )

    def check_against(self, proposal: Proposal, versions: VersionLog) -> None:
        """None of the keys has changed since the version that the proposal names."""
        if proposal.against is None:
            return
        touched = versions.keys_since(proposal.against)
        if touched is None:
            raise ProposalRefusedError(f"version {proposal.against} isn't known at this placer: read the status again")
        for edit in proposal.edits:
            if edit.key in touched:
                raise ProposalRefusedError(f"{edit.key}: has changed since version {proposal.against}")

    def check_size(self, change: Change, max_edits: int) -> None:
        """The change isn't too large; where more edits than usual may be in it, more bytes may be too."""
        limits = self._limits
        most = limits.change_bytes if max_edits == limits.edits else limits.large_change_bytes
        if change.size > most:
            raise ProposalRefusedError(f"{change.edits[0].key}: a change of {change.size} bytes, {most} at most")

    def check_baseline(self, baseline: Change) -> SettingsState:
        """The configuration that the placer's own file makes; it must be valid before anything is changed in it."""
        state = SettingsState()
        for edit in baseline.edits:
            state.edit(edit, baseline.position)
        problems = self._checker.problems(state)
        if problems:
            raise ProposalRefusedError(
                f"{problems[0].reason} (in this placer's own file, from which the fleet would begin)"
            )
        return state

    def check_result(self, edits: Sequence[Edit], state: SettingsState) -> None:
        """The whole configuration with these edits is one that this placer can run with."""
        trial = state.copy()
        for edit in edits:
            if edit.removed and edit.key not in trial.values:
                raise ProposalRefusedError(f"{edit.key}: has no value that could be removed")
            trial.edit(edit, Position(0, ""))
        if trial.digest == state.digest:
            raise ProposalRefusedError(f"{edits[0].key}: has that value already")
        problems = self._checker.problems(trial)
        if problems:
            raise ProposalRefusedError(problems[0].reason)
