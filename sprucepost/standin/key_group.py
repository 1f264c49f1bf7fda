"""Copies of keyed tasks in one group of machines: of each key one stands at a time."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from sprucepost.standin.machine_types import Task


@dataclass(frozen=True, slots=True)
class _Copy:
    task: Task | None  # None: it has ended
    stop: Callable[[float], None]  # ends it at that time
    remembered_until: float


class KeyGroup:
    """The copies of keyed tasks, and how long they are remembered."""

    def __init__(self) -> None:
        self._copies: dict[str, _Copy] = {}

    def has_copy(self, name: str, now: float) -> bool:
        """Whether a copy stands that somebody waits for, or one that ended within its window."""
        copy = self._copies.get(name)
        if copy is None:
            return False
        if copy.task is None:
            return now < copy.remembered_until
        return not copy.task.has_ended and copy.task.claimed

    def add(self, task: Task, stop: Callable[[float], None], now: float) -> None:
        """This copy stands, and ``stop`` ends it; one that nobody waits for makes room for it."""
        copy = self._copies.get(task.offer.name)
        if copy is not None and copy.task is not None and not copy.task.has_ended and copy.task is not task:
            copy.stop(now)
        self._copies[task.offer.name] = _Copy(task, stop, math.inf)

    def task_ended(self, task: Task, is_done: bool) -> None:
        """The copy has ended. One that was done is remembered for its window; one that was lost may run again."""
        copy = self._copies.get(task.offer.name)
        if copy is None or copy.task is not task:
            return
        if is_done:
            until = task.accepted + task.offer.cls.window_ms
            self._copies[task.offer.name] = _Copy(None, copy.stop, until)
        else:
            del self._copies[task.offer.name]

    def forget(self, now: float) -> None:
        """Drop what no window covers any more."""
        self._copies = {
            name: copy for name, copy in self._copies.items() if copy.task is not None or now < copy.remembered_until
        }
