"""Copies of keyed tasks in one group of machines: at most one copy of each key at a time."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from sprucepost.standin.machine_types import Task


@dataclass(frozen=True, slots=True)
class _Copy:
    task: Task | None  # None: it has ended
    stop: Callable[[float], None]  # ends the copy at the given time
    remembered_until: float


class KeyGroup:
    """The copies of keyed tasks in a group, kept until the deduplication window of a completed one has passed."""

    def __init__(self) -> None:
        self._copies: dict[str, _Copy] = {}

    def has_copy(self, name: str, now: float) -> bool:
        """Return whether there is a copy that a placer claims, or a completed one whose window has not passed."""
        copy = self._copies.get(name)
        if copy is None:
            return False
        if copy.task is None:
            return now < copy.remembered_until
        return not copy.task.has_ended and copy.task.claimed

    def add(self, task: Task, stop: Callable[[float], None], now: float) -> None:
        """Record a copy, which ``stop`` ends; an earlier copy of the same key, which no placer claims, is stopped."""
        copy = self._copies.get(task.offer.name)
        if copy is not None and copy.task is not None and not copy.task.has_ended and copy.task is not task:
            copy.stop(now)
        self._copies[task.offer.name] = _Copy(task, stop, math.inf)

    def task_ended(self, task: Task, completed: bool) -> None:
        """Record the end of a copy. A completed one is remembered for its window; a lost one may run again at once."""
        copy = self._copies.get(task.offer.name)
        if copy is None or copy.task is not task:
            return
        if completed:
            until = task.accepted + task.offer.cls.window_ms
            self._copies[task.offer.name] = _Copy(None, copy.stop, until)
        else:
            del self._copies[task.offer.name]

    def forget(self, now: float) -> None:
        """Drop completed copies whose window has passed."""
        self._copies = {
            name: copy for name, copy in self._copies.items() if copy.task is not None or now < copy.remembered_until
        }
