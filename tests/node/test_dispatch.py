"""The dispatcher without sockets, on virtual time: when it serves what was added."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from sprucepost.node.dispatch import POLL_AGE_MAX_MS, Dispatcher
from tests.placing.support import VirtualLoop


class Served:
    """A dispatcher and the turns in which each destination was served."""

    def __init__(self) -> None:
        self.loop = VirtualLoop()
        self.counters: Counter[str] = Counter()
        self.turns: list[tuple[str, int]] = []
        self.then: Callable[[str], None] = lambda name: None
        self.dispatcher: Dispatcher[str] = Dispatcher(self.loop, self._serve, self.counters)

    def _serve(self, name: str) -> None:
        self.turns.append((name, self.loop.turns))
        self.then(name)


def test_what_is_added_within_a_turn_is_served_once_at_its_end() -> None:
    served = Served()
    seen: list[bool] = []
    served.then = lambda name: seen.append(served.dispatcher.may_write)
    for name in ("a", "b", "a"):
        served.dispatcher.add(name)
    assert "a" in served.dispatcher and not served.turns and not served.dispatcher.may_write
    served.loop.turn()
    assert served.turns == [("a", 1), ("b", 1)] and seen == [True, True]
    assert "a" not in served.dispatcher and not served.dispatcher.may_write


def test_what_follows_from_a_run_waits_for_the_next_turn() -> None:
    """Each run is followed by a decision within its turn, and that by an attempt: timers would never have their turn."""
    served = Served()

    def decide(name: str) -> None:
        if len(served.turns) < 20:
            served.loop.at_turn_end(lambda: served.dispatcher.add(name))

    served.then = decide
    served.dispatcher.add("a")
    for _ in range(5):
        served.loop.turn()
    assert [turn for _, turn in served.turns] == [1, 2, 3, 4, 5]


def test_a_look_that_has_become_too_old_is_repeated_in_the_same_run() -> None:
    served = Served()

    def slow(name: str) -> None:
        if not served.dispatcher.may_write:
            served.dispatcher.add(name)
        served.loop.time += POLL_AGE_MAX_MS * 0.6

    served.then = slow
    for name in ("a", "b", "c"):
        served.dispatcher.add(name)
    served.loop.turn()
    assert served.turns == [("a", 1), ("b", 1), ("c", 1), ("c", 1)]


def test_what_is_postponed_is_served_in_the_next_turn() -> None:
    served = Served()
    served.then = lambda name: served.dispatcher.postpone(name) if len(served.turns) == 1 else None
    served.dispatcher.add("a")
    served.loop.turn()
    assert "a" in served.dispatcher and served.turns == [("a", 1)]
    served.loop.turn()
    assert served.turns == [("a", 1), ("a", 2)] and "a" not in served.dispatcher


def test_without_a_young_look_nothing_is_served_until_there_is_one() -> None:
    served = Served()
    served.loop.poll_until_fresh = lambda most_ms: served.loop.turns > 3  # type: ignore[method-assign]
    served.dispatcher.add("a")
    for _ in range(5):
        served.loop.turn()
    assert served.turns == [("a", 4)] and served.counters["dispatch_held"] == 3
