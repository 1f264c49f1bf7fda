"""Planted defects of the configuration, each a change to the code that serves; the drawn schedules must find every one."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from typing import Any
from unittest import mock

from sprucepost.configuration import replica as module
from sprucepost.configuration.active_configuration import ActiveConfiguration
from sprucepost.configuration.change import Position
from sprucepost.configuration.change_store import ChangeStore
from sprucepost.configuration.history import VersionLog
from sprucepost.configuration.messages import Changes, Held, Overwritten, Refused, SetAside, Summary
from sprucepost.configuration.peer import Peer
from sprucepost.configuration.proposal_checker import ProposalChecker
from sprucepost.configuration.replica import ConfigurationReplica
from sprucepost.configuration.state import SettingsState
from sprucepost.configuration.timeline import Timeline, Verdict
from sprucepost.configuration.validation import ProblemKind

Plant = Callable[[], Any]


def _drop(kind: type) -> Any:
    """Events of that kind are never told."""
    real = ConfigurationReplica._emit

    def tell(self: ConfigurationReplica, *events: Any) -> None:
        real(self, *(event for event in events if not isinstance(event, kind)))

    return mock.patch.object(ConfigurationReplica, "_emit", tell)


def _changes_are_folded_as_they_come() -> Any:
    def insert(self: Timeline, entries: Any) -> None:
        for entry in entries:
            self._by_position[entry.position] = entry
            self.size += entry.change.size
            self.entries.append(entry)
            self._apply_from(len(self.entries) - 1)

    return mock.patch.object(Timeline, "insert", insert)


def _order_by_origin_before_clock() -> Any:
    return mock.patch.object(
        Position, "__lt__", lambda self, other: (self.origin, self.clock) < (other.origin, other.clock)
    )


def _an_invalid_result_is_accepted() -> Any:
    return mock.patch.object(Timeline, "_verdict", lambda self, change: (Verdict.ACCEPTED, ""))


def _a_refused_change_keeps_some_edits() -> Any:
    real = Timeline._apply

    def apply(self: Timeline, entry: Any) -> Any:
        result = real(self, entry)
        if result[0] is Verdict.REFUSED and len(entry.change.edits) > 1:
            entry.undo = [self.state.edit(entry.change.edits[0], entry.position)]
        return result

    return mock.patch.object(Timeline, "_apply", apply)


def _own_limits_are_not_looked_at() -> Any:
    def obstacle(self: ActiveConfiguration) -> Any:
        problems = [each for each in self._checker.problems(self._timeline.state) if each.kind is not ProblemKind.LOCAL]
        return Held(problems[0].key, problems[0].reason) if problems else None

    return mock.patch.object(ActiveConfiguration, "_obstacle_to_agreed", obstacle)


def _unknown_keys_come_into_force() -> Any:
    return mock.patch.object(ActiveConfiguration, "_obstacle_to_agreed", lambda self: None)


def _a_limited_program_trusts_its_guess() -> Any:
    return mock.patch.object(ActiveConfiguration, "unconfirmed", lambda self: None)


def _what_was_confirmed_is_never_doubted() -> Any:
    return mock.patch.object(ActiveConfiguration, "withdraw_confirmation", lambda self, position: None)


def _a_limited_program_never_asks_for_verdicts() -> Any:
    return mock.patch.object(ConfigurationReplica, "_send_verdicts", lambda self, peer: None)


def _what_a_program_does_not_know_is_not_relayed() -> Any:
    real = ConfigurationReplica._flush

    def flush(self: ConfigurationReplica) -> None:
        for peer in self._peers.values():
            for position in list(peer.pending):
                entry = self._timeline.entry(position)
                if entry is not None and entry.verdict is Verdict.UNJUDGED:
                    del peer.pending[position]
        real(self)

    return mock.patch.object(ConfigurationReplica, "_flush", flush)


def _changes_of_others_are_not_passed_on() -> Any:
    real = ConfigurationReplica._insert_changes

    def take_in(self: ConfigurationReplica, now: float, changes: Any, source: Any) -> None:
        before = {ident: dict(peer.pending) for ident, peer in self._peers.items()}
        real(self, now, changes, source)
        if source is not None:
            for ident, peer in self._peers.items():
                peer.pending = before[ident]

    summary = mock.patch.object(ConfigurationReplica, "_summarize", lambda self, now, peer: None)
    passed = mock.patch.object(ConfigurationReplica, "_insert_changes", take_in)
    return _both(passed, summary)


def _no_summaries() -> Any:
    real = ConfigurationReplica._send
    return mock.patch.object(
        ConfigurationReplica,
        "_send",
        lambda self, peer, message: None if isinstance(message, Summary) else real(self, peer, message),
    )


def _no_snapshots() -> Any:
    return mock.patch.object(ConfigurationReplica, "_request_snapshot", lambda self, now, peer: None)


def _the_earlier_base_counts() -> Any:
    def accepts(self: ChangeStore, snapshot: Any) -> bool:
        return bool((snapshot.cut, snapshot.digest) < self.rank)

    return mock.patch.object(ChangeStore, "accepts", accepts)


def _what_is_older_than_the_base_is_dropped() -> Any:
    def aside(self: ConfigurationReplica, changes: Any, source: Any) -> None:
        return None

    dropped = mock.patch.object(ChangeStore, "set_change_aside", lambda self, change: None)
    return _both(dropped, mock.patch.object(ConfigurationReplica, "_announce_set_aside", aside))


def _what_is_older_than_the_base_is_applied() -> Any:
    return mock.patch.object(ChangeStore, "is_behind", lambda self, change: False)


def _what_a_later_base_holds_again_is_shown_no_more() -> Any:
    real = ChangeStore.adopt

    def adopt(self: ChangeStore, snapshot: Any) -> Any:
        aside = [entry.change.position for entry in self.set_aside]
        result = real(self, snapshot)
        for position in aside:
            self.archive.remove(position)
        return result

    return mock.patch.object(ChangeStore, "adopt", adopt)


def _an_unseen_overwrite_is_not_told() -> Any:
    return _drop(Overwritten)


def _a_refusal_by_a_merge_is_not_told() -> Any:
    return _drop(Refused)


def _what_is_set_aside_is_not_told() -> Any:
    return _drop(SetAside)


def _the_clock_counts_own_changes_only() -> Any:
    real = ConfigurationReplica._changes_for

    def admitted(self: ConfigurationReplica, now: float, proposal: Any, most: int) -> Any:
        own = [entry.position.clock for entry in self._timeline.entries if entry.position.origin == self.origin]
        clock, self._store.clock = self._store.clock, max(own, default=0)
        try:
            return real(self, now, proposal, most)
        finally:
            self._store.clock = clock

    return mock.patch.object(ConfigurationReplica, "_changes_for", admitted)


def _a_named_version_is_not_compared() -> Any:
    return mock.patch.object(ProposalChecker, "check_against", lambda self, proposal, versions: None)


def _only_the_last_step_counts_as_since() -> Any:
    real = VersionLog.keys_since

    def keys_since(self: VersionLog, version: Any) -> Any:
        keys = real(self, version)
        return keys and self._steps[-1][1]

    return mock.patch.object(VersionLog, "keys_since", keys_since)


def _proposals_are_not_validated() -> Any:
    return mock.patch.object(ProposalChecker, "check_result", lambda self, edits, state: None)


def _a_file_that_cannot_be_is_a_baseline() -> Any:
    def baseline(self: ProposalChecker, change: Any) -> Any:
        state = SettingsState()
        for edit in change.edits:
            state.edit(edit, change.position)
        return state

    return mock.patch.object(ProposalChecker, "check_baseline", baseline)


def _every_baseline_counts() -> Any:
    real = Timeline._apply

    def apply(self: Timeline, entry: Any) -> Any:
        has_baseline, self._has_baseline = self._has_baseline, self._has_baseline and not entry.change.baseline
        result = real(self, entry)
        self._has_baseline = self._has_baseline or has_baseline
        return result

    return mock.patch.object(Timeline, "_apply", apply)


def _a_step_back_forgets_who_set_a_key() -> Any:
    real = SettingsState.restore

    def restore(self: Any, undo: Any) -> None:
        real(self, replace(undo, setter=None))

    return mock.patch.object(SettingsState, "restore", restore)


def _messages_have_no_bound() -> Any:
    def everything(self: Peer, timeline: Timeline, limits: Any) -> Any:
        entries = [timeline.entry(position) for position in sorted(self.pending)]
        self.pending.clear()
        changes = tuple(entry.change for entry in entries if entry is not None)
        return iter([Changes(changes)] if changes else [])

    return mock.patch.object(Peer, "next_changes", everything)


def _history_is_never_compacted() -> Any:
    return mock.patch.object(ConfigurationReplica, "_compact", lambda self, now: None)


def _what_one_flush_cannot_hold_is_lost() -> Any:
    real = Peer.next_changes

    def changes(self: Peer, timeline: Timeline, limits: Any) -> Any:
        sent = list(real(self, timeline, limits))
        self.pending.clear()
        return iter(sent)

    summary = mock.patch.object(module, "DIFFERING_DIGESTS", 10**9)
    return _both(mock.patch.object(Peer, "next_changes", changes), summary)


def _the_next_life_forgets_what_was_kept() -> Any:
    return mock.patch.object(ConfigurationReplica, "_restore", lambda self, now, saved: None)


def _a_merge_is_not_put_in_force() -> Any:
    real = ConfigurationReplica._insert_changes

    def take_in(self: ConfigurationReplica, now: float, changes: Any, source: Any) -> None:
        first = self._timeline.entries[-1].position if self._timeline.entries else Position(0, "")
        if changes and changes[0].position < first:
            with mock.patch.object(ActiveConfiguration, "refresh", lambda self, version: ()):
                real(self, now, changes, source)
        else:
            real(self, now, changes, source)

    return mock.patch.object(ConfigurationReplica, "_insert_changes", take_in)


@contextmanager
def _both(one: Any, other: Any) -> Iterator[None]:
    with one, other:
        yield


PLANTS: tuple[Plant, ...] = (
    _changes_are_folded_as_they_come,
    _order_by_origin_before_clock,
    _an_invalid_result_is_accepted,
    _a_refused_change_keeps_some_edits,
    _own_limits_are_not_looked_at,
    _unknown_keys_come_into_force,
    _a_limited_program_trusts_its_guess,
    _what_was_confirmed_is_never_doubted,
    _a_limited_program_never_asks_for_verdicts,
    _what_a_program_does_not_know_is_not_relayed,
    _changes_of_others_are_not_passed_on,
    _no_summaries,
    _no_snapshots,
    _the_earlier_base_counts,
    _what_is_older_than_the_base_is_dropped,
    _what_is_older_than_the_base_is_applied,
    _what_a_later_base_holds_again_is_shown_no_more,
    _an_unseen_overwrite_is_not_told,
    _a_refusal_by_a_merge_is_not_told,
    _what_is_set_aside_is_not_told,
    _the_clock_counts_own_changes_only,
    _a_named_version_is_not_compared,
    _only_the_last_step_counts_as_since,
    _proposals_are_not_validated,
    _a_file_that_cannot_be_is_a_baseline,
    _every_baseline_counts,
    _a_step_back_forgets_who_set_a_key,
    _messages_have_no_bound,
    _history_is_never_compacted,
    _what_one_flush_cannot_hold_is_lost,
    _the_next_life_forgets_what_was_kept,
    _a_merge_is_not_put_in_force,
)
DEFECTS: dict[str, Plant] = {plant.__name__.strip("_"): plant for plant in PLANTS}


@contextmanager
def planted(name: str) -> Iterator[None]:
    """The program has that defect for as long."""
    with DEFECTS[name]():
        yield
