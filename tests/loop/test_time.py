"""Timers and the aligned clock."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sprucepost.loop import AlignedClock
from sprucepost.loop.timers import Timer, TimerHeap


def test_timers_fire_in_order_and_cancelled_timers_never_fire() -> None:
    heap, fired = TimerHeap(), []
    rng = random.Random(3)
    timers: list[tuple[float, int, Timer]] = []
    for n in range(500):
        due_ms = rng.choice((1.0, 2.0, 3.0, rng.uniform(0, 5)))
        timers.append((due_ms, n, heap.add(due_ms, lambda n=n: fired.append(n))))  # type: ignore[misc]
    for _, n, timer in timers:
        if n % 3 == 0:
            timer.cancel()
    pending = [(due_ms, n) for due_ms, n, _ in timers if n % 3]
    while (callback := heap.pop_due(10.0)) is not None:
        callback()
    assert fired == [n for _, n in sorted(pending)]


def test_cancelled_timers_do_not_accumulate() -> None:
    heap = TimerHeap()
    timer = heap.add(1.0, lambda: None)
    for _ in range(10_000):
        heap.add(1e9, lambda: None).cancel()
    assert len(heap) == 1 and len(heap._heap) <= 2 * TimerHeap.COMPACT_OVER + 2
    timer.cancel()
    timer.cancel()
    assert heap.next_due() is None and len(heap) == 0


@pytest.mark.parametrize("step", [5000.0, -5000.0])
def test_a_stepped_system_clock_is_followed_by_a_bounded_slew(step: float) -> None:
    clock = AlignedClock(mono=0.0, wall=1e12, slew=0.05)
    last = clock.read(0.0, 1e12)
    for n in range(1, 1200):
        mono = n * 100.0
        now = clock.read(mono, 1e12 + mono + step)
        assert 100.0 * 0.95 - 1e-3 <= now - last <= 100.0 * 1.05 + 1e-3
        last = now
    assert last == pytest.approx(1e12 + 119_900.0 + step)


@given(st.lists(st.tuples(st.floats(-1e4, 1e4), st.floats(-1e7, 1e7)), max_size=50))
def test_the_clock_never_goes_back(readings: list[tuple[float, float]]) -> None:
    clock, mono = AlignedClock(0.0, 1e12), 0.0
    last = clock.read(0.0, 1e12)
    for elapsed, wall in readings:
        mono += elapsed
        now = clock.read(mono, 1e12 + wall)
        assert now >= last
        last = now
