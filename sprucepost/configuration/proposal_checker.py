"""Checks proposals at the replica where they are made, before they become changes and are sent to peers."""

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

COMMENT_LENGTH_FACTOR = 4  # maximum length of a comment, as a multiple of that of a key


@dataclass(frozen=True, slots=True)
class KeyEdit:
    """The new value of one key, or its removal, as requested by an operator."""

    key: str
    value: Value = None
    removed: bool = False


@dataclass(frozen=True, slots=True)
class Proposal:
    """A change requested by an operator.

    With ``against``, the proposal is refused if one of its keys has changed since that version (optimistic
    concurrency control). ``made_ms`` is wall-clock time, for display only.
    """

    edits: tuple[KeyEdit, ...]
    author: str
    comment: str = ""
    made_ms: float = 0.0
    against: Version | None = None


@dataclass(frozen=True, slots=True)
class Receipt:
    """The answer to a proposal: the position of the new change, or a single line that says why it was refused."""

    version: Version
    position: Position | None = None
    refusal: str = ""


class ProposalRefusedError(Exception):
    """A proposal cannot become a change. The text is a single line that names the key, if one is at fault."""


class ProposalChecker:
    """Checks proposals. The ``check_*`` methods raise ProposalRefusedError."""

    def __init__(self, checker: ConfigurationChecker, changeable: ChangeableKeys, limits: Limits, now: float) -> None:
        self._checker, self._changeable, self._limits = checker, changeable, limits
        self._tokens, self._refilled_ms = limits.proposals_burst, now

    def check_rate(self, now: float) -> None:
        """Takes one token from this replica's rate limit. Call it last, as it consumes the token."""
        limits = self._limits
        elapsed_s = max(0.0, now - self._refilled_ms) / 1000.0
        self._tokens = min(limits.proposals_burst, self._tokens + elapsed_s * limits.proposals_per_s)
        self._refilled_ms = max(self._refilled_ms, now)
        if self._tokens < 1.0:
            raise ProposalRefusedError(f"too many changes at this placer: {limits.proposals_per_s:g} a second for long")
        self._tokens -= 1.0

    def check_form(self, proposal: Proposal, max_edits: int) -> None:
        """Checks sizes and keys, independent of the current configuration."""
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
        """Checks that none of the keys has changed since the version that the proposal refers to."""
        if proposal.against is None:
            return
        changed_keys = versions.keys_since(proposal.against)
        if changed_keys is None:
            raise ProposalRefusedError(f"version {proposal.against} isn't known at this placer: read the status again")
        for edit in proposal.edits:
            if edit.key in changed_keys:
                raise ProposalRefusedError(f"{edit.key}: has changed since version {proposal.against}")

    def check_size(self, change: Change, max_edits: int) -> None:
        """Checks the size of the change; the limit is higher where more edits than usual are allowed."""
        limits = self._limits
        max_bytes = limits.change_bytes if max_edits == limits.edits else limits.large_change_bytes
        if change.size > max_bytes:
            raise ProposalRefusedError(f"{change.edits[0].key}: a change of {change.size} bytes, {max_bytes} at most")

    def check_baseline(self, baseline: Change) -> SettingsState:
        """Returns the configuration of the placer's own file, which must be valid before it can be changed."""
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
        """Checks that the edits change something and that this placer can run with the resulting configuration."""
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
