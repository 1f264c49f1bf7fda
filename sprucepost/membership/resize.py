"""A resize of a fleet whose placers see each other: which generation counts, who knows of it, when it is over.

Each placer's record says under which generation it runs, so an operator need tell one of them only. What follows from the
records is this, and nothing else of another placer is used:

===============  ==============================================  ===================================================
what             from                                            what for
===============  ==============================================  ===================================================
newer_generation           the highest number; of two with one number and  all run under one generation in the end
                 unlike content the larger size (which spends
                 less), then a fixed order
is_disputed      a known placer holds another generation of the  nobody takes a seat until all have the same
                 same number
is_known_to_all  no known placer has an older generation         the new side takes its seats (else it is held)
is_complete      every number of the new size is held by one     an end is proposed, ``END_NOTICE_MS`` ahead; of several
                 who is here, and nobody else is known           proposals the earliest counts
===============  ==============================================  ===================================================

The end is a moment told ahead, not an order: all change seats at one time, which two layouts side by side would not bear.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, replace

from sprucepost.membership.generation import Generation

END_NOTICE_MS = 15_000.0  # as long as docs/view.md promises for news to reach all who can be reached


@dataclass(frozen=True)
class KnownPlacer:
    """Another placer that has not left, as its record tells it: here, or away."""

    number: int
    generation: Generation
    is_reachable: bool = True


def newer_generation(one: Generation, other: Generation) -> Generation:
    """The generation that counts: commutative, associative, idempotent."""
    if one.order != other.order:
        return one if one.order > other.order else other
    ends = [generation.over_ms for generation in (one, other) if generation.over_ms is not None]
    return replace(one, over_ms=min(ends, default=None))


@dataclass(frozen=True)
class Resize:
    """What a placer of that number knows of a resize: its own generation, and those of the others."""

    number: int
    generation: Generation
    others: Collection[KnownPlacer]

    @property
    def is_disputed(self) -> bool:
        """Whether another placer has another generation of the same number."""
        mine = self.generation
        return any(
            other.generation.number == mine.number and other.generation.order != mine.order for other in self.others
        )

    @property
    def is_known_to_all(self) -> bool:
        """Whether every known placer has heard of this generation."""
        return all(other.generation.number >= self.generation.number for other in self.others)

    @property
    def is_complete(self) -> bool:
        """Whether the fleet is what this generation wants it to be, and everybody runs under it."""
        numbers = [self.number, *(other.number for other in self.others)]
        return (
            all(other.is_reachable and other.generation.order == self.generation.order for other in self.others)
            and len(numbers) == self.generation.size
            and set(numbers) == set(range(self.generation.size))
        )

    def propose_end(self, now_ms: float) -> Generation | None:
        """The generation with an end proposed, where the resize can end before its overlap does; else None."""
        mine = self.generation
        if mine.previous is None or mine.over_ms is not None or now_ms < mine.begins_ms or not self.is_complete:
            return None
        ends = now_ms + END_NOTICE_MS
        return replace(mine, over_ms=ends) if ends < mine.ends_ms else None
