"""Where chance comes from in parts that are free of I/O: whoever runs them hands in a seeded generator."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol, TypeVar

T = TypeVar("T")


class RandomSource(Protocol):
    """What such a part draws; ``random.Random`` is one."""

    def random(self) -> float: ...
    def uniform(self, a: float, b: float) -> float: ...
    def choice(self, seq: Sequence[T]) -> T: ...
