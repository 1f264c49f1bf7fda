"""Defects injected into the configuration package by patching it; the random schedules must detect each of them."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from typing import Any
from unittest import mock

from sprucepost.configuration import replica as replica_module
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

DefectPatch = Callable[[], Any]


def _suppress_events(kind: type) -> Any:
    """Drops all events of that kind."""
    real = ConfigurationReplica._emit

    def emit(self: ConfigurationReplica, *events: Any) -> None:
        real(self, *(event for event in events if not isinstance(event, kind)))

    return mock.patch.object(ConfigurationReplica, "_emit", emit)


def _fold_in_arrival_order() -> Any:
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


def _invalid_result_accepted() -> Any:
    return mock.patch.object(Timeline, "_verdict", lambda self, change: (Verdict.ACCEPTED, ""))


def _refused_change_partially_applied() -> Any:
    real = Timeline._apply

    def apply(self: Timeline, entry: Any) -> Any:
        result = real(self, entry)
        if result[0] is Verdict.REFUSED and len(entry.change.edits) > 1:
            entry.undo = [self.state.edit(entry.change.edits[0], entry.position)]
        return result

    return mock.patch.object(Timeline, "_apply", apply)


def _local_limits_ignored() -> Any:
    def obstacle(self: ActiveConfiguration) -> Any:
        problems = [each for each in self._checker.problems(self._timeline.state) if each.kind is not ProblemKind.LOCAL]
        return Held(problems[0].key, problems[0].reason) if problems else None

    return mock.patch.object(ActiveConfiguration, "_obstacle_to_agreed", obstacle)


def _unknown_keys_put_in_force() -> Any:
    return mock.patch.object(ActiveConfiguration, "_obstacle_to_agreed", lambda self: None)


def _unchecked_changes_treated_as_confirmed() -> Any:
    return mock.patch.object(ActiveConfiguration, "unconfirmed", lambda self: None)


def _confirmation_never_withdrawn() -> Any:
    return mock.patch.object(ActiveConfiguration, "withdraw_confirmation", lambda self, position: None)


def _verdicts_never_sent() -> Any:
    return mock.patch.object(ConfigurationReplica, "_send_verdicts", lambda self, peer: None)


def _unchecked_changes_not_relayed() -> Any:
    real = ConfigurationReplica._flush

    def flush(self: ConfigurationReplica) -> None:
        for peer in self._peers.values():
            for position in list(peer.pending):
                entry = self._timeline.entry(position)
                if entry is not None and entry.verdict is Verdict.UNJUDGED:
                    del peer.pending[position]
        real(self)

    return mock.patch.object(ConfigurationReplica, "_flush", flush)


def _changes_of_peers_not_relayed() -> Any:
    real = ConfigurationReplica._insert_changes

    def insert_changes(self: ConfigurationReplica, now: float, changes: Any, source: Any) -> None:
        before = {ident: dict(peer.pending) for ident, peer in self._peers.items()}
        real(self, now, changes, source)
        if source is not None:
            for ident, peer in self._peers.items():
                peer.pending = before[ident]

    summary = mock.patch.object(ConfigurationReplica, "_summarize", lambda self, now, peer: None)
    relaying = mock.patch.object(ConfigurationReplica, "_insert_changes", insert_changes)
    return _both(relaying, summary)


def _summaries_not_sent() -> Any:
    real = ConfigurationReplica._send
    return mock.patch.object(
        ConfigurationReplica,
        "_send",
        lambda self, peer, message: None if isinstance(message, Summary) else real(self, peer, message),
    )


def _snapshots_not_requested() -> Any:
    return mock.patch.object(ConfigurationReplica, "_request_snapshot", lambda self, now, peer: None)


def _earlier_base_takes_precedence() -> Any:
    def accepts(self: ChangeStore, snapshot: Any) -> bool:
        return bool((snapshot.cut, snapshot.digest) < self.rank)

    return mock.patch.object(ChangeStore, "accepts", accepts)


def _changes_before_the_cut_dropped() -> Any:
    def announce_set_aside(self: ConfigurationReplica, changes: Any, source: Any) -> None:
        return None

    dropped = mock.patch.object(ChangeStore, "set_change_aside", lambda self, change: None)
    return _both(dropped, mock.patch.object(ConfigurationReplica, "_announce_set_aside", announce_set_aside))


def _changes_before_the_cut_applied() -> Any:
    return mock.patch.object(ChangeStore, "is_behind", lambda self, change: False)


def _changes_in_a_later_base_missing_from_history() -> Any:
    real = ChangeStore.adopt

    def adopt(self: ChangeStore, snapshot: Any) -> Any:
        aside = [entry.change.position for entry in self.set_aside]
        result = real(self, snapshot)
        for position in aside:
            self.archive.remove(position)
        return result

    return mock.patch.object(ChangeStore, "adopt", adopt)


def _overwrite_not_reported() -> Any:
    return _suppress_events(Overwritten)


def _refusal_by_merge_not_reported() -> Any:
    return _suppress_events(Refused)


def _set_aside_not_reported() -> Any:
    return _suppress_events(SetAside)


def _clock_ignores_changes_of_peers() -> Any:
    real = ConfigurationReplica._changes_for

    def changes_for(self: ConfigurationReplica, now: float, proposal: Any, most: int) -> Any:
        own = [entry.position.clock for entry in self._timeline.entries if entry.position.origin == self.origin]
        clock, self._store.clock = self._store.clock, max(own, default=0)
        try:
            return real(self, now, proposal, most)
        finally:
            self._store.clock = clock

    return mock.patch.object(ConfigurationReplica, "_changes_for", changes_for)


def _against_version_ignored() -> Any:
    return mock.patch.object(ProposalChecker, "check_against", lambda self, proposal, versions: None)


def _only_the_last_version_step_compared() -> Any:
    real = VersionLog.keys_since

    def keys_since(self: VersionLog, version: Any) -> Any:
        keys = real(self, version)
        return keys and self._steps[-1][1]

    return mock.patch.object(VersionLog, "keys_since", keys_since)


def _proposals_not_validated() -> Any:
    return mock.patch.object(ProposalChecker, "check_result", lambda self, edits, state: None)


def _invalid_file_used_as_baseline() -> Any:
    def baseline(self: ProposalChecker, change: Any) -> Any:
        state = SettingsState()
        for edit in change.edits:
            state.edit(edit, change.position)
        return state

    return mock.patch.object(ProposalChecker, "check_baseline", baseline)


def _every_baseline_applied() -> Any:
    real = Timeline._apply

    def apply(self: Timeline, entry: Any) -> Any:
        has_baseline, self._has_baseline = self._has_baseline, self._has_baseline and not entry.change.baseline
        result = real(self, entry)
        self._has_baseline = self._has_baseline or has_baseline
        return result

    return mock.patch.object(Timeline, "_apply", apply)


def _undo_loses_the_setter() -> Any:
    real = SettingsState.restore

    def restore(self: Any, undo: Any) -> None:
        real(self, replace(undo, setter=None))

    return mock.patch.object(SettingsState, "restore", restore)


def _message_size_unbounded() -> Any:
    def next_changes(self: Peer, timeline: Timeline, limits: Any) -> Any:
        entries = [timeline.entry(position) for position in sorted(self.pending)]
        self.pending.clear()
        changes = tuple(entry.change for entry in entries if entry is not None)
        return iter([Changes(changes)] if changes else [])

    return mock.patch.object(Peer, "next_changes", next_changes)


def _history_never_compacted() -> Any:
    return mock.patch.object(ConfigurationReplica, "_compact", lambda self, now: None)


def _changes_above_the_flush_limit_lost() -> Any:
    real = Peer.next_changes

    def next_changes(self: Peer, timeline: Timeline, limits: Any) -> Any:
        sent = list(real(self, timeline, limits))
        self.pending.clear()
        return iter(sent)

    summary = mock.patch.object(replica_module, "DIFFERING_DIGESTS", 10**9)
    return _both(mock.patch.object(Peer, "next_changes", next_changes), summary)


def _saved_state_ignored() -> Any:
    return mock.patch.object(ConfigurationReplica, "_restore", lambda self, now, saved: None)


def _merge_not_put_in_force() -> Any:
    real = ConfigurationReplica._insert_changes

    def insert_changes(self: ConfigurationReplica, now: float, changes: Any, source: Any) -> None:
        first = self._timeline.entries[-1].position if self._timeline.entries else Position(0, "")
        if changes and changes[0].position < first:
            with mock.patch.object(ActiveConfiguration, "refresh", lambda self, version: ()):
                real(self, now, changes, source)
        else:
            real(self, now, changes, source)

    return mock.patch.object(ConfigurationReplica, "_insert_changes", insert_changes)


@contextmanager
def _both(first: Any, second: Any) -> Iterator[None]:
    with first, second:
        yield


DEFECT_PATCHES: tuple[DefectPatch, ...] = (
    _fold_in_arrival_order,
    _order_by_origin_before_clock,
    _invalid_result_accepted,
    _refused_change_partially_applied,
    _local_limits_ignored,
    _unknown_keys_put_in_force,
    _unchecked_changes_treated_as_confirmed,
    _confirmation_never_withdrawn,
    _verdicts_never_sent,
    _unchecked_changes_not_relayed,
    _changes_of_peers_not_relayed,
    _summaries_not_sent,
    _snapshots_not_requested,
    _earlier_base_takes_precedence,
    _changes_before_the_cut_dropped,
    _changes_before_the_cut_applied,
    _changes_in_a_later_base_missing_from_history,
    _overwrite_not_reported,
    _refusal_by_merge_not_reported,
    _set_aside_not_reported,
    _clock_ignores_changes_of_peers,
    _against_version_ignored,
    _only_the_last_version_step_compared,
    _proposals_not_validated,
    _invalid_file_used_as_baseline,
    _every_baseline_applied,
    _undo_loses_the_setter,
    _message_size_unbounded,
    _history_never_compacted,
    _changes_above_the_flush_limit_lost,
    _saved_state_ignored,
    _merge_not_put_in_force,
)
DEFECTS: dict[str, DefectPatch] = {defect.__name__.strip("_"): defect for defect in DEFECT_PATCHES}


@contextmanager
def with_defect(name: str) -> Iterator[None]:
    """Injects the named defect while the context is active."""
    with DEFECTS[name]():
        yield
