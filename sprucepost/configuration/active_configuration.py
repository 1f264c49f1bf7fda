"""The configuration in force at this placer: its file, the agreed configuration, or the last one it could run with.

===========  ===========================================  ==========================================================
state        condition                                    configuration in force here
===========  ===========================================  ==========================================================
no baseline  no change is known                           the placer's own file
following    it can run with the agreed configuration     the agreed configuration
held         the program doesn't know a key, or the       the last one that it could run with, as a whole
             placer's own limits forbid it, or it could
             not check a change and no peer has
             confirmed the result
===========  ===========================================  ==========================================================
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from sprucepost.configuration.change import BEFORE_FIRST, Position, Version
from sprucepost.configuration.configuration_checker import ConfigurationChecker
from sprucepost.configuration.document import Settings, Value, settings_digest
from sprucepost.configuration.messages import Event, Held, InForce
from sprucepost.configuration.timeline import Entry, Timeline

NO_OUTCOME = 0


class ActiveConfiguration:
    """Decides which configuration is in force. ``refresh`` must be called after each change of the timeline."""

    def __init__(self, timeline: Timeline, checker: ConfigurationChecker, file: Settings) -> None:
        self._timeline, self._checker = timeline, checker
        self._file = dict(file)
        self._in_force: dict[str, Value] | None = None
        self._digest = settings_digest(self._file)
        self._confirmed = BEFORE_FIRST  # a peer that could check all changes up to there has the same result
        self.held: Held | None = None

    @property
    def configuration(self) -> dict[str, Value]:
        """The values in force here, by key path."""
        return dict(self._file if self._in_force is None else self._in_force)

    @property
    def saved(self) -> dict[str, Value] | None:
        """What the next run of this process must start with; None if that is its file."""
        return None if self._in_force is None else dict(self._in_force)

    @property
    def agreed_outcome(self) -> int:
        """64-bit digest of the agreed configuration; never NO_OUTCOME."""
        return self._timeline.state.digest or 1

    @property
    def outcome(self) -> int:
        """``agreed_outcome``, or NO_OUTCOME while this replica cannot check all changes."""
        if not self._timeline.has_baseline or self.unconfirmed() is not None:
            return NO_OUTCOME
        return self.agreed_outcome

    def resume(self, in_force: Mapping[str, Value] | None) -> None:
        """Starts with the configuration that was in force in the previous run."""
        if in_force is not None:
            self._in_force = dict(in_force)
            self._digest = settings_digest(self._in_force)

    def unconfirmed(self) -> Entry | None:
        """Returns a change that this program could not check and whose outcome no peer has confirmed."""
        return self._timeline.unjudged_after(self._confirmed)

    def confirm(self) -> None:
        """Records that a peer which could check all changes derived the same configuration."""
        self._confirmed = self._timeline.entries[-1].position

    def withdraw_confirmation(self, position: Position) -> None:
        """Withdraws a confirmation that a change inserted at ``position`` may have invalidated."""
        if position < self._confirmed:
            self._confirmed = BEFORE_FIRST

    def refresh(self, version: Version) -> Iterator[Event]:
        """Puts the agreed configuration in force, or holds the last one and reports why."""
        if not self._timeline.has_baseline:
            return
        obstacle = self._obstacle_to_agreed()
        if obstacle is not None:
            if obstacle != self.held:
                self.held = obstacle
                yield obstacle
            return
        self.held = None
        state = self._timeline.state
        if self._in_force is None or self._digest != state.digest:
            self._in_force, self._digest = dict(state.values), state.digest
            yield InForce(version)

    def _obstacle_to_agreed(self) -> Held | None:
        problems = self._checker.problems(self._timeline.state)
        if problems:
            return Held(problems[0].key, problems[0].reason)
        unjudged = self.unconfirmed()
        if unjudged is not None:
            return Held(unjudged.reason.partition(":")[0], unjudged.reason)
        return None
