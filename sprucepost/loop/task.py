"""Generators as coroutines: tasks, scopes, cancellation and timeouts.

A coroutine is a generator that yields *traps*. A trap is a function that registers a wake-up for a given task and
returns a function that removes this registration. Everything that waits is built on this one primitive, :func:`park`.

Rules:

- A task belongs to a scope and a scope to a coroutine: :func:`in_scope` returns only when all its tasks have ended.
  The first error in a task cancels the other tasks and the body, and is raised by :func:`in_scope`.
- Cancellation raises :class:`Cancelled` where the task waits, once, so that ``finally`` blocks run and may wait
  themselves. A task that has been woken but has not run yet gets its value first, so that no item taken from a queue
  is lost.
- :func:`within` limits the time of a coroutine. Only its own limit becomes :class:`TimedOut`; a cancellation from
  outside passes through.
"""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import Any, Generic, Protocol, TypeVar

from sprucepost.loop.timers import Timer

T = TypeVar("T")

Undo = Callable[[], None]
Trap = Callable[["Task[Any]"], Undo]
Co = Generator[Trap, Any, T]


class CallScheduler(Protocol):
    """The methods of a loop that a task uses."""

    def call_soon(self, callback: Callable[[], None]) -> None: ...
    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> Timer: ...


class Cancelled(BaseException):
    """The task is to end. ``token`` identifies who cancelled it."""

    def __init__(self, token: object) -> None:
        super().__init__("cancelled")
        self.token = token


class TimedOut(Exception):
    """The time limit of a :func:`within` has passed."""


class Task(Generic[T]):
    """One running coroutine. Created by :meth:`Scope.spawn` and :meth:`Loop.run` only."""

    def __init__(
        self, loop: CallScheduler, co: Co[T], name: str, on_ended: Callable[[Task[T]], None] | None = None
    ) -> None:
        self.loop, self.name = loop, name
        self._co, self._on_ended = co, on_ended
        self._undo: Undo | None = None
        self._cancellations: list[object] = []  # tokens of cancellations not yet delivered, the earliest first
        self._seen_tokens: set[object] = set()  # each is delivered once: cleanup that waits is not cancelled again
        self._value: Any = None
        self._error: BaseException | None = None
        self._scheduled = False
        self._woken = False  # with a value or an error that has not been delivered yet
        self.done = False
        self._result: T | None = None

    def start(self) -> None:
        """Schedule the first step of the coroutine."""
        self._schedule()

    def take(self) -> T:
        """Return the value of a task that has ended, or raise its error."""
        assert self.done, "task is still running"
        if self._error is not None:
            raise self._error
        return self._result  # type: ignore[return-value]

    @property
    def error(self) -> BaseException | None:
        """The exception that ended the task, or None."""
        return self._error if self.done else None

    def wake(self, value: object = None, error: BaseException | None = None) -> None:
        """Resume the parked task with a value or an error; called once by what its trap registered."""
        assert self._undo is not None and not self._scheduled, f"task {self.name} woken while not parked"
        self._undo = None
        self._value, self._error, self._woken = value, error, True
        self._schedule()

    def cancel(self, token: object = None) -> None:
        """Raise Cancelled where the task waits, or where it waits next; each ``token`` has an effect only once."""
        if self.done or token in self._seen_tokens:
            return
        self._seen_tokens.add(token)
        self._cancellations.append(token)
        if self._undo is not None:
            undo, self._undo = self._undo, None
            undo()
            self._schedule()

    def forget(self, token: object) -> None:
        """Withdraw a cancellation that has not been delivered, and let ``token`` cancel again."""
        self._seen_tokens.discard(token)
        if token in self._cancellations:
            self._cancellations.remove(token)

    def _schedule(self) -> None:
        self._scheduled = True
        self.loop.call_soon(self._step)

    def _step(self) -> None:
        self._scheduled = False
        value, error, woken = self._value, self._error, self._woken
        self._value, self._error, self._woken = None, None, False
        try:
            while True:
                # A wake-up is delivered before a cancellation: after a pause an answer that has arrived and its timeout
                # fall due in the same turn, and the answer must win.
                if not woken and self._cancellations:
                    error = Cancelled(self._cancellations.pop(0))
                trap = self._co.throw(error) if error is not None else self._co.send(value)
                value, error, woken = None, None, False
                if self._cancellations:  # cancelled while running: do not begin to wait
                    continue
                self._undo = _registering
                undo = trap(self)
                if self._undo is _registering:
                    self._undo = undo
                return
        except StopIteration as stop:
            self._finish(stop.value, None)
        except BaseException as raised:
            self._finish(None, raised)

    def _finish(self, result: Any, error: BaseException | None) -> None:
        self.done, self._result, self._error = True, result, error
        self._undo = None
        if self._on_ended is not None:
            self._on_ended(self)


def _registering() -> None:
    """Placeholder undo function while a trap is being registered."""


def park(trap: Trap) -> Co[Any]:
    """Wait until what ``trap`` registered wakes the task; return the value that it is woken with."""
    return (yield trap)


def current() -> Co[Task[Any]]:
    """Return the task that runs this coroutine."""

    def trap(task: Task[Any]) -> Undo:
        task.wake(task)
        return _registering

    return (yield trap)  # type: ignore[no-any-return]


def sleep(delay_ms: float) -> Co[None]:
    """Wait for ``delay_ms``."""

    def trap(task: Task[Any]) -> Undo:
        return task.loop.call_later(delay_ms, task.wake).cancel

    yield trap


def within(task: Task[Any], limit_ms: float, co: Co[T]) -> Co[T]:
    """Run ``co`` in ``task`` (the current one) for at most ``limit_ms``; then raise TimedOut after its cleanup."""
    token = object()
    timer = task.loop.call_later(limit_ms, lambda: task.cancel(token))
    try:
        return (yield from co)
    except Cancelled as cancelled:
        if cancelled.token is token:
            raise TimedOut(f"not done within {limit_ms:g} ms") from None
        raise
    finally:
        timer.cancel()
        task.forget(token)


class Scope:
    """The tasks that one coroutine has started; created by :func:`in_scope`."""

    def __init__(self, parent: Task[Any]) -> None:
        self.loop = parent.loop
        self._parent: Task[Any] | None = parent
        self._tasks: dict[Task[Any], None] = {}
        self._errors: list[BaseException] = []
        self._on_empty: Callable[[], None] | None = None
        self._cancelled = False

    def __len__(self) -> int:
        return len(self._tasks)

    def spawn(self, co: Co[Any], name: str) -> Task[Any]:
        """Start a task. In a scope that has been cancelled the task is cancelled at its first wait."""
        task: Task[Any] = Task(self.loop, co, name, self._task_ended)
        self._tasks[task] = None
        task.start()
        if self._cancelled:
            task.cancel(self)
        return task

    def cancel(self) -> None:
        """Cancel every task of the scope, and every task started in it from now on; the body continues.

        Timers keep firing while a scope ends. When tasks started after the cancellation were not cancelled, a task that
        such a timer started kept the scope, and the process with it, from ever ending.
        """
        self._cancelled = True
        for task in list(self._tasks):
            task.cancel(self)

    def _task_ended(self, task: Task[Any]) -> None:
        del self._tasks[task]
        error = task.error
        if error is not None and not (isinstance(error, Cancelled) and error.token in (self, None)):
            self._errors.append(error)
            self.cancel()
            if self._parent is not None:
                self._parent.cancel(self)
        if not self._tasks and self._on_empty is not None:
            on_empty, self._on_empty = self._on_empty, None
            on_empty()

    def join(self) -> Co[None]:
        """Wait until every task of the scope has ended."""
        while self._tasks:

            def trap(task: Task[Any]) -> Undo:
                self._on_empty = task.wake

                def undo() -> None:
                    self._on_empty = None

                return undo

            yield trap


def in_scope(body: Callable[[Scope], Co[T]]) -> Co[T]:
    """Run ``body`` with a scope; return its value once every task of the scope has ended."""
    parent = yield from current()
    scope = Scope(parent)
    result: T | None = None
    outside: Cancelled | None = None
    try:
        result = yield from body(scope)
    except Cancelled as cancelled:
        if cancelled.token is not scope:
            outside = cancelled
        scope.cancel()
    except BaseException as error:
        scope._errors.insert(0, error)
        scope.cancel()
    while scope._tasks:
        try:
            yield from scope.join()
        except Cancelled as cancelled:
            if cancelled.token is not scope:
                outside = cancelled
            scope.cancel()
    scope._parent = None
    parent.forget(scope)
    if len(scope._errors) > 1:
        raise BaseExceptionGroup("several tasks failed", scope._errors)
    if scope._errors:
        raise scope._errors[0]
    if outside is not None:
        raise outside
    return result  # type: ignore[return-value]
