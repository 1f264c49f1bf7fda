"""Generators as coroutines: tasks, scopes, cancellation and time limits.

A coroutine is a generator that yields *traps*. A trap is a function: given the task, it registers a wake-up and
returns how to take that back. Everything that waits is built on this one primitive, :func:`park`.

Rules:

- A task lives in a scope and a scope in a coroutine: :func:`in_scope` returns only when all its tasks have ended.
  The first error in a task cancels the others and the body, and comes out of :func:`in_scope`.
- Cancellation raises :class:`Cancelled` where the task waits, once, so that ``finally`` blocks run and may wait
  themselves. A task that has been woken but has not run yet gets its value first: nothing taken from a queue is lost.
- :func:`within` limits a coroutine's time. Only its own limit becomes :class:`TimedOut`; a cancellation from outside
  passes through.
"""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import Any, Generic, Protocol, TypeVar

from sprucepost.loop.timers import Timer

T = TypeVar("T")

Undo = Callable[[], None]
Trap = Callable[["Task[Any]"], Undo]
Co = Generator[Trap, Any, T]


class Turns(Protocol):
    """What a task needs of its loop."""

    def call_soon(self, call: Callable[[], None]) -> None: ...
    def call_later(self, delay_ms: float, call: Callable[[], None]) -> Timer: ...


class Cancelled(BaseException):
    """The task is to end. ``token`` tells whose wish it was."""

    def __init__(self, token: object) -> None:
        super().__init__("cancelled")
        self.token = token


class TimedOut(Exception):
    """A :func:`within` ran out."""


class Task(Generic[T]):
    """One running coroutine. Made by :meth:`Scope.spawn` and :meth:`Loop.run` only."""

    def __init__(self, loop: Turns, co: Co[T], name: str, ended: Callable[[Task[T]], None] | None = None) -> None:
        self.loop, self.name = loop, name
        self._co, self._ended = co, ended
        self._undo: Undo | None = None
        self._pending: list[object] = []  # cancellations not yet delivered, the outermost first
        self._seen: set[object] = set()  # each wish is delivered once: cleanup that waits is not cancelled again
        self._value: Any = None
        self._error: BaseException | None = None
        self._scheduled = False
        self._woken = False  # with a value or an error that it has not got yet
        self.done = False
        self._result: T | None = None

    def start(self) -> None:
        self._schedule()

    def take(self) -> T:
        """The value of a task that has ended, or its error."""
        assert self.done, "the task still runs"
        if self._error is not None:
            raise self._error
        return self._result  # type: ignore[return-value]

    @property
    def error(self) -> BaseException | None:
        return self._error if self.done else None

    def wake(self, value: object = None, error: BaseException | None = None) -> None:
        """Let the parked task go on with a value or an error; called once by what its trap registered."""
        assert self._undo is not None and not self._scheduled, f"task {self.name} woken while not parked"
        self._undo = None
        self._value, self._error, self._woken = value, error, True
        self._schedule()

    def cancel(self, token: object = None) -> None:
        """Raise Cancelled where the task waits, or where it waits next."""
        if self.done or token in self._seen:
            return
        self._seen.add(token)
        self._pending.append(token)
        if self._undo is not None:
            undo, self._undo = self._undo, None
            undo()
            self._schedule()

    def forget(self, token: object) -> None:
        """Take back a cancellation that has not been delivered."""
        self._seen.discard(token)
        if token in self._pending:
            self._pending.remove(token)

    def _schedule(self) -> None:
        self._scheduled = True
        self.loop.call_soon(self._step)

    def _step(self) -> None:
        self._scheduled = False
        value, error, woken = self._value, self._error, self._woken
        self._value, self._error, self._woken = None, None, False
        try:
            while True:
                # What it was woken with goes first: after a pause an answer that has arrived and the time-out that it
                # belongs to fall due in one turn, and the answer must count.
                if not woken and self._pending:
                    error = Cancelled(self._pending.pop(0))
                trap = self._co.throw(error) if error is not None else self._co.send(value)
                value, error, woken = None, None, False
                if self._pending:  # cancelled while running: never begin to wait
                    continue
                self._undo = _unset
                undo = trap(self)
                if self._undo is _unset:
                    self._undo = undo
                return
        except StopIteration as stop:
            self._finish(stop.value, None)
        except BaseException as raised:
            self._finish(None, raised)

    def _finish(self, result: Any, error: BaseException | None) -> None:
        self.done, self._result, self._error = True, result, error
        self._undo = None
        if self._ended is not None:
            self._ended(self)


def _unset() -> None:
    """Stands for a trap that is just being set."""


def park(trap: Trap) -> Co[Any]:
    """Wait until what ``trap`` registered wakes the task; returns the value it is woken with."""
    return (yield trap)


def current() -> Co[Task[Any]]:
    """The task that runs this coroutine."""

    def trap(task: Task[Any]) -> Undo:
        task.wake(task)
        return _unset

    return (yield trap)  # type: ignore[no-any-return]


def sleep(delay_ms: float) -> Co[None]:
    def trap(task: Task[Any]) -> Undo:
        return task.loop.call_later(delay_ms, task.wake).cancel

    yield trap


def within(task: Task[Any], limit_ms: float, co: Co[T]) -> Co[T]:
    """Run ``co`` in ``task`` (the current one) for at most so long, else raise TimedOut after its cleanup."""
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
    """The tasks that one coroutine has started; made by :func:`in_scope`."""

    def __init__(self, host: Task[Any]) -> None:
        self.loop = host.loop
        self._host: Task[Any] | None = host
        self._tasks: dict[Task[Any], None] = {}
        self._errors: list[BaseException] = []
        self._joined: Callable[[], None] | None = None
        self._closing = False

    def __len__(self) -> int:
        return len(self._tasks)

    def spawn(self, co: Co[Any], name: str) -> Task[Any]:
        """Start a task. In a scope that is closing it is cancelled at its first wait."""
        task: Task[Any] = Task(self.loop, co, name, self._ended)
        self._tasks[task] = None
        task.start()
        if self._closing:
            task.cancel(self)
        return task

    def cancel(self) -> None:
        """Cancel every task of the scope, and whatever is started in it from now on; the body goes on.

        Timers run on while a scope ends: a task that one of them started after the cancellation was never cancelled, and
        the scope, and the process with it, waited for it for ever.
        """
        self._closing = True
        for task in list(self._tasks):
            task.cancel(self)

    def _ended(self, task: Task[Any]) -> None:
        del self._tasks[task]
        error = task.error
        if error is not None and not (isinstance(error, Cancelled) and error.token in (self, None)):
            self._errors.append(error)
            self.cancel()
            if self._host is not None:
                self._host.cancel(self)
        if not self._tasks and self._joined is not None:
            joined, self._joined = self._joined, None
            joined()

    def join(self) -> Co[None]:
        """Wait until no task of the scope runs."""
        while self._tasks:

            def trap(task: Task[Any]) -> Undo:
                self._joined = task.wake

                def undo() -> None:
                    self._joined = None

                return undo

            yield trap


def in_scope(body: Callable[[Scope], Co[T]]) -> Co[T]:
    """Run ``body`` with a scope; return its value once every task of the scope has ended."""
    host = yield from current()
    scope = Scope(host)
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
    scope._host = None
    host.forget(scope)
    if len(scope._errors) > 1:
        raise BaseExceptionGroup("several tasks failed", scope._errors)
    if scope._errors:
        raise scope._errors[0]
    if outside is not None:
        raise outside
    return result  # type: ignore[return-value]
