"""Seeded defects of the view, each a patch of the code under test; the random schedules must detect every one."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from typing import Any
from unittest import mock

from sprucepost.view import rings, view
from sprucepost.view.messages import Summary
from sprucepost.view.view import View

DefectPatch = Callable[[], Any]


def _older_record_wins() -> Any:
    return mock.patch.object(view, "merge", lambda held, received: min(held, received, key=lambda record: record.age))


def _clock_set_back_is_not_compensated() -> Any:
    return mock.patch.object(View, "_check_newer_process", lambda self, now: None)


def _away_members_are_never_dialled() -> Any:
    return mock.patch.object(view, "RECONNECT_INTERVAL_MS", 1e9)


def _earlier_incarnation_counts_as_the_present_one() -> Any:
    real = View._recompute

    def recompute(self: View, now: float) -> None:
        lives = {name: held.life for name, held in self.records.items()}
        kept = dict(self.records)
        for name, held in kept.items():
            self.records[name] = replace(held, sees=tuple((n, lives.get(n, life)) for n, life in held.sees))
        real(self, now)
        self.records.update({name: held for name, held in kept.items() if name != self.own_record.name})

    return mock.patch.object(View, "_recompute", recompute)


def _unseen_members_are_away_at_once() -> Any:
    return mock.patch.object(View, "_away_after_ms", lambda self, name: 0.0)


def _no_summaries() -> Any:
    real = View._send
    return mock.patch.object(
        View,
        "_send",
        lambda self, stream, message: None if isinstance(message, Summary) else real(self, stream, message),
    )


def _updates_are_not_forwarded() -> Any:
    real = View._store

    def store(self: View, now: float, record: Any, source: int | None) -> None:
        before = {stream: dict(names) for stream, names in self._pending_updates.items()}
        real(self, now, record, source)
        if source is not None:
            self._pending_updates = before

    return mock.patch.object(View, "_store", store)


def _other_fleets_are_accepted() -> Any:
    real = View._handle_hello

    def handle_hello(self: View, now: float, stream: Any, hello: Any) -> None:
        real(self, now, stream, replace(hello, cluster=self._cluster, settings=self._settings))

    return mock.patch.object(View, "_handle_hello", handle_hello)


def _false_records_are_not_refuted() -> Any:
    return mock.patch.object(View, "_handle_own_name", lambda self, now, record, source: None)


def _silent_streams_are_never_closed() -> Any:
    return mock.patch.object(view, "STREAM_TIMEOUT_MS", 1e9)


def _ended_streams_are_ignored() -> Any:
    def drop_stream(self: View, now: float, stream: int) -> None:
        self.streams.pop(stream, None)
        self._pending_updates.pop(stream, None)

    return mock.patch.object(View, "_drop_stream", drop_stream)


def _one_ring_only() -> Any:
    return mock.patch.object(rings, "ring_count", lambda members: 1)


def _changes_are_reported_one_by_one() -> Any:
    return mock.patch.object(view, "REPORT_DELAY_MS", 0.0)


DEFECTS: dict[str, DefectPatch] = {
    patch.__name__.strip("_"): patch
    for patch in (
        _older_record_wins,
        _clock_set_back_is_not_compensated,
        _away_members_are_never_dialled,
        _earlier_incarnation_counts_as_the_present_one,
        _unseen_members_are_away_at_once,
        _no_summaries,
        _updates_are_not_forwarded,
        _other_fleets_are_accepted,
        _false_records_are_not_refuted,
        _silent_streams_are_never_closed,
        _ended_streams_are_ignored,
        _one_ring_only,
        _changes_are_reported_one_by_one,
    )
}


@contextmanager
def defect_applied(name: str) -> Iterator[None]:
    """Run the body with that defect in the code."""
    with DEFECTS[name]():
        yield
