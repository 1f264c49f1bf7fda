"""Admission: bounded, fair, dear before cheap, and repeats never double the load."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sprucepost.door import Ask, Door, LagLimit, RetryBudget, SessionBook

LAGS = st.lists(st.tuples(st.floats(0, 5000), st.integers(0, 30_000)), max_size=200)


@given(LAGS)
def test_the_limit_stays_within_its_bounds_and_never_falls_faster_than_it_may(looks: list[tuple[float, int]]) -> None:
    limit = LagLimit(50.0, least=16, most=1000)
    for lag, opened in looks:
        before = limit.limit
        limit.look(lag, opened)
        assert 16 <= limit.limit <= 1000
        if lag <= 50.0:
            assert limit.limit >= before


def test_the_limit_finds_what_a_slow_host_bears_and_comes_back() -> None:
    limit, bears, seen = LagLimit(50.0, most=10_000), 300.0, []
    for step in range(400):
        if step == 200:
            bears = 600.0  # the host is faster again
        opened = int(limit.limit)  # as much as is let in comes
        limit.look(50.0 * (opened / bears) ** 2, opened)
        seen.append(limit.limit)
    assert 200 < sum(seen[100:200]) / 100 < 310
    assert 400 < sum(seen[-60:]) / 60 < 620


@given(st.lists(st.tuples(st.sampled_from("abc"), st.floats(0, 1), st.booleans(), st.booleans()), max_size=300))
def test_what_is_open_never_passes_the_limit_and_the_books_balance(steps: list[tuple[str, float, bool, bool]]) -> None:
    door = Door(0.0, LagLimit(50.0, least=4, most=20))
    opened: list[str] = []
    for n, (owner, worth, repeat, close) in enumerate(steps):
        if close and opened:
            door.closed(opened.pop())
        verdict = door.ask(Ask(owner, worth, repeat), n * 10.0)
        if not verdict.why:
            door.opened(owner)
            opened.append(owner)
        else:
            assert verdict.retry_after_ms > 0
        assert door.total == len(opened) <= 20
        assert sum(door.open.values()) == door.total and all(count > 0 for count in door.open.values())


def test_a_greedy_owner_leaves_room_for_the_others() -> None:
    door = Door(0.0, LagLimit(50.0, most=100))
    for _ in range(500):
        if not door.ask(Ask("greedy", 1.0), 0.0).why:
            door.opened("greedy")
    modest = 0
    for n in range(30):
        if not door.ask(Ask("modest", 1.0), float(n)).why:
            door.opened("modest")
            modest += 1
        door.closed("greedy")
        if not door.ask(Ask("greedy", 1.0), float(n)).why:
            door.opened("greedy")
    assert modest >= 25 and door.open["greedy"] <= 80


def test_in_the_last_fifth_the_dear_pass_and_the_cheap_wait() -> None:
    door = Door(0.0, LagLimit(50.0, most=100))
    for n in range(90):
        door.opened(f"owner {n % 20}")
    assert door.ask(Ask("x", 0.3), 0.0).why == "too many open tasks for its worth"
    assert door.ask(Ask("x", 0.9), 0.0).why == ""
    for _ in range(10):
        door.opened("x")
    assert door.ask(Ask("y", 1.0), 0.0).why == "too many open tasks"


def test_a_thousand_owners_asking_again_at_once_do_not_double_the_load() -> None:
    door, rng, passed = Door(0.0, LagLimit(50.0)), random.Random(1), 0
    for n in range(5000):
        passed += not door.ask(Ask(f"owner {rng.randrange(1000)}", 1.0, repeat=True), n / 10.0).why
    assert passed <= 200 + 10 * 0.5 + 1  # the burst, and half a second's rate


@given(st.lists(st.tuples(st.floats(0, 1000), st.booleans()), min_size=1, max_size=300))
def test_repeats_never_exceed_burst_share_and_rate(steps: list[tuple[float, bool]]) -> None:
    budget, now, fresh, repeats = RetryBudget(0.0), 0.0, 0, 0
    for passed, repeat in steps:
        now += passed
        if repeat:
            repeats += budget.repeat(now)
        else:
            budget.fresh(now)
            fresh += 1
    assert repeats <= 20.0 + 0.2 * fresh + now / 1000.0 + 1e-6


@pytest.mark.parametrize("aim, least, most", [(0.0, 1, 2), (-1.0, 1, 2), (1.0, 0, 2), (1.0, 3, 2)])
def test_limits_without_sense_are_named(aim: float, least: int, most: int) -> None:
    with pytest.raises(ValueError, match="must be"):
        LagLimit(aim, least, most)


class SessionsAsSaid(RuleBasedStateMachine):
    """The book against its own words, over any order of comings and goings."""

    def __init__(self) -> None:
        super().__init__()
        self.book = SessionBook(6, 4)
        self.state: dict[bytes, str] = {}  # attached, owed or free, the longest without a stream first
        self.peer: dict[bytes, str] = {}
        self.next = 0

    @rule(peer=st.sampled_from("ab"))
    def hello(self, peer: str) -> None:
        token, self.next = b"%d" % self.next, self.next + 1
        of_peer = [t for t in self.state if self.peer[t] == peer]
        pool = of_peer if len(of_peer) >= 4 else list(self.state) if len(self.state) >= 6 else None
        free = None if pool is None else next((t for t in pool if self.state[t] == "free"), None)
        assert self.book.enter(token, peer) == (pool is None or free is not None, free)
        if free is not None:
            del self.state[free]
        if pool is None or free is not None:
            self.state[token], self.peer[token] = "attached", peer

    def _in(self, number: int, *states: str) -> bytes | None:
        chosen = [t for t, state in self.state.items() if state in states]
        return chosen[number % len(chosen)] if chosen else None

    @rule(number=st.integers(0, 9), owed=st.booleans())
    def leaves(self, number: int, owed: bool) -> None:
        if token := self._in(number, "attached"):
            del self.state[token]
            self.state[token] = "owed" if owed else "free"
            self.book.left(token, owed)

    @rule(number=st.integers(0, 9))
    def is_told(self, number: int) -> None:
        if token := self._in(number, "owed", "attached"):
            if self.state[token] == "owed":
                del self.state[token]
                self.state[token] = "free"
            self.book.settled(token)

    @rule(number=st.integers(0, 9))
    def comes_back(self, number: int) -> None:
        if token := self._in(number, "owed", "free"):
            self.state[token] = "attached"
            self.book.back(token)

    @rule(number=st.integers(0, 9))
    def is_forgotten(self, number: int) -> None:
        if token := self._in(number, "owed", "free", "attached"):
            del self.state[token]
            self.book.gone(token)

    @invariant()
    def bounded(self) -> None:
        assert len(self.book) == len(self.state) <= 6


TestSessionsAsSaid = SessionsAsSaid.TestCase
