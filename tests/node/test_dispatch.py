"""When the dispatcher serves the destinations added to it; without sockets, on virtual time."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from sprucepost.node.dispatch import POLL_AGE_MAX_MS, Dispatcher
from tests.placing.support import VirtualLoop


class Recorder:
    """A dispatcher that records the turn in which each destination was served."""

    def __init__(self) -> None:
        self.loop = VirtualLoop()
        self.counters: Counter[str] = Counter()
        self.turns: list[tuple[str, int]] = []
        self.on_serve: Callable[[str], None] = lambda name: None
        self.dispatcher: Dispatcher[str] = Dispatcher(self.loop, self._serve, self.counters)

    def _serve(self, name: str) -> None:
        self.turns.append((name, self.loop.turns))
        self.on_serve(name)


def test_a_destination_is_served_once_at_the_end_of_its_turn() -> None:
    recorder = Recorder()
    seen: list[bool] = []
    recorder.on_serve = lambda name: seen.append(recorder.dispatcher.may_write)
    for name in ("a", "b", "a"):
        recorder.dispatcher.add(name)
    assert "a" in recorder.dispatcher and not recorder.turns and not recorder.dispatcher.may_write
    recorder.loop.turn()
    assert recorder.turns == [("a", 1), ("b", 1)] and seen == [True, True]
    assert "a" not in recorder.dispatcher and not recorder.dispatcher.may_write


def test_a_destination_added_after_a_run_waits_for_the_next_turn() -> None:
    """Guards against timers that never fire: each run is followed by a decision and another attempt in the same turn."""
    recorder = Recorder()

    def decide(name: str) -> None:
        if len(recorder.turns) < 20:
            recorder.loop.at_turn_end(lambda: recorder.dispatcher.add(name))

    recorder.on_serve = decide
    recorder.dispatcher.add("a")
    for _ in range(5):
        recorder.loop.turn()
    assert [turn for _, turn in recorder.turns] == [1, 2, 3, 4, 5]


def test_sockets_are_polled_again_within_a_run_once_the_poll_is_too_old() -> None:
    recorder = Recorder()

    def slow(name: str) -> None:
        if not recorder.dispatcher.may_write:
            recorder.dispatcher.add(name)
        recorder.loop.time += POLL_AGE_MAX_MS * 0.6

    recorder.on_serve = slow
    for name in ("a", "b", "c"):
        recorder.dispatcher.add(name)
    recorder.loop.turn()
    assert recorder.turns == [("a", 1), ("b", 1), ("c", 1), ("c", 1)]


def test_a_postponed_destination_is_served_in_the_next_turn() -> None:
    recorder = Recorder()
    recorder.on_serve = lambda name: recorder.dispatcher.postpone(name) if len(recorder.turns) == 1 else None
    recorder.dispatcher.add("a")
    recorder.loop.turn()
    assert "a" in recorder.dispatcher and recorder.turns == [("a", 1)]
    recorder.loop.turn()
    assert recorder.turns == [("a", 1), ("a", 2)] and "a" not in recorder.dispatcher


def test_nothing_is_served_until_a_poll_is_new_enough() -> None:
    recorder = Recorder()
    recorder.loop.poll_until_fresh = lambda most_ms: recorder.loop.turns > 3  # type: ignore[method-assign]
    recorder.dispatcher.add("a")
    for _ in range(5):
        recorder.loop.turn()
    assert recorder.turns == [("a", 4)] and recorder.counters["dispatch_held"] == 3
