"""Coroutines: no task outlives its scope, no error is lost, a cancellation runs ``finally`` and loses no queue item."""

from __future__ import annotations

import time
from collections.abc import Iterator
from typing import Any

import pytest

from sprucepost.loop import Cancelled, Closed, Co, Full, Queue, Scope, TimedOut, current, in_scope, sleep, within
from sprucepost.loop.epoll import EpollLoop


@pytest.fixture
def loop() -> Iterator[EpollLoop]:
    loop = EpollLoop(seed=1)
    yield loop
    loop.close()


def test_the_main_coroutine_returns_its_value(loop: EpollLoop) -> None:
    def main() -> Co[int]:
        yield from sleep(1)
        return 7

    assert loop.run(main) == 7


def test_an_error_in_one_task_cancels_the_others_and_reaches_the_parent(loop: EpollLoop) -> None:
    events: list[str] = []

    def steady() -> Co[None]:
        try:
            yield from sleep(60_000)
        finally:
            yield from sleep(1)  # cleanup may wait
            events.append("cleaned")

    def broken() -> Co[None]:
        yield from sleep(1)
        raise ValueError("injected")

    def body(scope: Scope) -> Co[None]:
        scope.spawn(steady(), "steady")
        scope.spawn(broken(), "broken")
        try:
            yield from sleep(60_000)
        finally:
            events.append("body")

    with pytest.raises(ValueError, match="injected"):
        loop.run(lambda: in_scope(body))
    assert sorted(events) == ["body", "cleaned"]


def test_a_scope_waits_for_its_tasks(loop: EpollLoop) -> None:
    finished: list[int] = []

    def child(n: int) -> Co[None]:
        yield from sleep(n)
        finished.append(n)

    def body(scope: Scope) -> Co[str]:
        for n in (5, 1, 3):
            scope.spawn(child(n), f"child {n}")
        return "value"
        yield

    assert loop.run(lambda: in_scope(body)) == "value"
    assert finished == [1, 3, 5]


def test_two_errors_are_raised_as_a_group(loop: EpollLoop) -> None:
    def broken(name: str) -> Co[None]:
        try:
            yield from sleep(60_000 if name == "second" else 1)
        finally:
            raise ValueError(name)

    def body(scope: Scope) -> Co[None]:
        scope.spawn(broken("first"), "first")
        scope.spawn(broken("second"), "second")
        yield from sleep(60_000)

    with pytest.raises(BaseExceptionGroup) as caught:
        loop.run(lambda: in_scope(body))
    assert sorted(str(error) for error in caught.value.exceptions) == ["first", "second"]


def test_only_its_own_limit_becomes_a_timeout(loop: EpollLoop) -> None:
    def main() -> Co[str]:
        task = yield from current()

        def inner() -> Co[None]:
            yield from within(task, 60_000, sleep(60_000))

        try:
            yield from within(task, 5, inner())
        except TimedOut:
            return "outer"
        return "none"

    assert loop.run(main) == "outer"


def test_a_limit_that_is_not_reached_leaves_no_timer(loop: EpollLoop) -> None:
    def main() -> Co[None]:
        task = yield from current()
        yield from within(task, 60_000, sleep(1))

    loop.run(main)
    assert len(loop._timers) == 0


def test_a_queued_item_wins_over_a_timeout_in_the_same_turn(loop: EpollLoop) -> None:
    """After a pause of the process (SIGSTOP) an answer and its timeout fall due in the same turn."""
    queue: Queue[int] = Queue(1)

    def main() -> Co[int]:
        task = yield from current()
        loop.call_later(10, lambda: queue.put_now(1))
        loop.call_later(10.001, lambda: time.sleep(0.05))  # blocks the loop until the limit below has passed too

        def wait() -> Co[int]:
            return (yield from queue.get())

        return (yield from within(task, 20, wait()))

    assert loop.run(main) == 1


def test_a_wake_up_without_a_value_wins_over_a_timeout_in_the_same_turn(loop: EpollLoop) -> None:
    def main() -> Co[str]:
        task = yield from current()

        def wait() -> Co[str]:
            yield lambda waiting: loop.call_later(10, waiting.wake).cancel
            return "woken"

        loop.call_later(9, lambda: time.sleep(0.05))  # blocks the loop until both are due
        return (yield from within(task, 20, wait()))

    assert loop.run(main) == "woken"


def test_an_item_taken_from_a_queue_is_not_lost_when_the_getter_is_cancelled(loop: EpollLoop) -> None:
    queue: Queue[str] = Queue(1)
    got: list[str] = []

    def getter() -> Co[None]:
        got.append((yield from queue.get()))
        yield from sleep(60_000)

    def body(scope: Scope) -> Co[None]:
        task = scope.spawn(getter(), "getter")
        yield from sleep(1)
        queue.put_now("item")  # wakes the getter
        task.cancel()  # before the getter has run
        yield from scope.join()

    loop.run(lambda: in_scope(body))
    assert got == ["item"]


def test_a_cancelled_getter_takes_no_item(loop: EpollLoop) -> None:
    queue: Queue[int] = Queue(1)

    def body(scope: Scope) -> Co[int]:
        task = scope.spawn(queue.get(), "getter")
        yield from sleep(1)
        task.cancel()
        yield from scope.join()
        queue.put_now(1)
        return (yield from queue.get())

    assert loop.run(lambda: in_scope(body)) == 1


def test_a_full_queue_blocks_the_putter_and_a_closed_queue_drains(loop: EpollLoop) -> None:
    queue: Queue[int] = Queue(2)
    order: list[str] = []

    def putter() -> Co[None]:
        for n in range(4):
            yield from queue.put(n)
            order.append(f"put {n}")
        queue.close()

    def body(scope: Scope) -> Co[list[int]]:
        scope.spawn(putter(), "putter")
        yield from sleep(1)
        assert order == ["put 0", "put 1"]
        with pytest.raises(Full):
            queue.put_now(9)
        taken = []
        while True:
            try:
                taken.append((yield from queue.get()))
            except Closed:
                return taken

    assert loop.run(lambda: in_scope(body)) == [0, 1, 2, 3]


def test_an_exception_in_a_callback_stops_the_loop(loop: EpollLoop) -> None:
    cleaned: list[bool] = []

    def main() -> Co[None]:
        loop.call_later(1, broken)  # after main has started: a task that has not started has nothing to clean up
        try:
            yield from sleep(60_000)
        finally:
            cleaned.append(True)

    def broken() -> None:
        raise RuntimeError("injected")

    with pytest.raises(RuntimeError, match="injected"):
        loop.run(main)
    assert cleaned


def test_a_cancellation_from_outside_passes_through_a_scope(loop: EpollLoop) -> None:
    def inner(scope: Scope) -> Co[None]:
        scope.spawn(sleep(60_000), "sleeper")
        yield from sleep(60_000)

    def outer(scope: Scope) -> Co[Any]:
        task = scope.spawn(in_scope(inner), "inner")
        yield from sleep(1)
        task.cancel()
        yield from scope.join()
        return task.error

    assert isinstance(loop.run(lambda: in_scope(outer)), Cancelled)


def test_a_task_that_a_timer_starts_in_a_cancelled_scope_is_cancelled(loop: EpollLoop) -> None:
    ended: list[str] = []

    def forever(name: str) -> Co[None]:
        try:
            while True:
                yield from sleep(10_000)
        finally:
            ended.append(name)

    def slow_to_end() -> Co[None]:
        try:
            yield from sleep(10_000)
        finally:
            yield from sleep(30)  # the loop keeps running meanwhile

    def main(scope: Scope) -> Co[str]:
        scope.spawn(slow_to_end(), "slow")
        scope.spawn(forever("before"), "before")
        yield from sleep(1)

        def start() -> None:
            scope.spawn(forever("after"), "after")

        loop.call_later(5, start)
        scope.cancel()
        return "over"

    def limited() -> Co[str]:
        return (yield from within((yield from current()), 2000, in_scope(main)))

    assert loop.run(limited) == "over" and ended == ["before"]  # the task "after" never started
