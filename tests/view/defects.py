"""Planted defects of the view, each a change to the code that serves; the drawn schedules must find every one."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from typing import Any
from unittest import mock

from sprucepost.view import rings, view
from sprucepost.view.messages import Summary
from sprucepost.view.view import View

Plant = Callable[[], Any]


def _the_older_counts() -> Any:
    return mock.patch.object(view, "merge", lambda held, new: min(held, new, key=lambda one: one.age))


def _a_clock_set_back_is_not_made_up_for() -> Any:
    return mock.patch.object(View, "_twins", lambda self, now: None)


def _who_is_away_is_never_tried_again() -> Any:
    return mock.patch.object(view, "RETRY_MS", 1e9)


def _an_earlier_life_is_taken_for_the_present_one() -> Any:
    real = View._derive

    def derive(self: View, now: float) -> None:
        lives = {name: held.life for name, held in self.records.items()}
        kept = dict(self.records)
        for name, held in kept.items():
            self.records[name] = replace(held, sees=tuple((n, lives.get(n, life)) for n, life in held.sees))
        real(self, now)
        self.records.update({name: held for name, held in kept.items() if name != self.own_record.name})

    return mock.patch.object(View, "_derive", derive)


def _whoever_is_unseen_for_a_moment_is_away() -> Any:
    return mock.patch.object(View, "_linger", lambda self, name: 0.0)


def _no_summaries() -> Any:
    real = View._say
    return mock.patch.object(View, "_say", lambda self, s, w: None if isinstance(w, Summary) else real(self, s, w))


def _news_is_not_passed_on() -> Any:
    real = View._set

    def keep(self: View, now: float, held: Any, source: int | None) -> None:
        before = {stream: dict(names) for stream, names in self._pending.items()}
        real(self, now, held, source)
        if source is not None:
            self._pending = before

    return mock.patch.object(View, "_set", keep)


def _fleets_are_not_told_apart() -> Any:
    real = View._hello

    def hello(self: View, now: float, stream: Any, word: Any) -> None:
        real(self, now, stream, replace(word, cluster=self._cluster, settings=self._settings))

    return mock.patch.object(View, "_hello", hello)


def _a_lie_is_not_refuted() -> Any:
    return mock.patch.object(View, "_defend", lambda self, now, held, source: None)


def _silence_is_borne_for_ever() -> Any:
    return mock.patch.object(view, "PATIENCE_MS", 1e9)


def _an_end_of_a_stream_is_not_looked_at() -> Any:
    def drop(self: View, now: float, stream: int) -> None:
        self.streams.pop(stream, None)
        self._pending.pop(stream, None)

    return mock.patch.object(View, "_drop", drop)


def _one_ring_only() -> Any:
    return mock.patch.object(rings, "ring_count", lambda members: 1)


def _changes_are_told_one_by_one() -> Any:
    return mock.patch.object(view, "STEP_MS", 0.0)


DEFECTS: dict[str, Plant] = {
    plant.__name__.strip("_"): plant
    for plant in (
        _the_older_counts,
        _a_clock_set_back_is_not_made_up_for,
        _who_is_away_is_never_tried_again,
        _an_earlier_life_is_taken_for_the_present_one,
        _whoever_is_unseen_for_a_moment_is_away,
        _no_summaries,
        _news_is_not_passed_on,
        _fleets_are_not_told_apart,
        _a_lie_is_not_refuted,
        _silence_is_borne_for_ever,
        _an_end_of_a_stream_is_not_looked_at,
        _one_ring_only,
        _changes_are_told_one_by_one,
    )
}


@contextmanager
def planted(name: str) -> Iterator[None]:
    """The program has that defect for as long."""
    with DEFECTS[name]():
        yield
