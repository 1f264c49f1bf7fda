"""A change of size in a fleet whose placers see each other: which generation counts, who has heard of it, when it is over.

Each placer's record says under which generation it runs, so an operator need tell one of them only. What follows from the
records is this, and nothing else of another placer is used:

===============  ==============================================  ===================================================
what             from                                            what for
===============  ==============================================  ===================================================
newest           the highest number; of two with one number and  all run under one generation in the end
                 unlike content the larger size (which spends
                 less), then a fixed order
disputed         somebody who is remembered holds another one    nobody takes a seat until all have the same
                 of the same number
told             nobody who is remembered has an older one       the new side takes its seats (else it is held)
reported         every number of the new size is held by one     an end is proposed, ``LEAD_MS`` ahead; of several
                 who is here, and nobody else is remembered      proposals the earliest counts
===============  ==============================================  ===================================================

The end is a moment told ahead, not an order: all change seats at one time, which two layouts side by side would not bear.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, replace

from sprucepost.membership.generation import Generation

LEAD_MS = 15_000.0  # as long as docs/view.md promises for news to reach all who can be reached


@dataclass(frozen=True)
class Seated:
    """Another placer, as its record tells it: here, or remembered and away."""

    number: int
    generation: Generation
    here: bool = True


def newest(one: Generation, other: Generation) -> Generation:
    """The generation that counts: commutative, associative, idempotent."""
    if one.order != other.order:
        return one if one.order > other.order else other
    ends = [generation.over_ms for generation in (one, other) if generation.over_ms is not None]
    return replace(one, over_ms=min(ends, default=None))


@dataclass(frozen=True)
class Course:
    """What a placer of that number makes of what it and the others run under. ``others`` have not left."""

    number: int
    generation: Generation
    others: Collection[Seated]

    @property
    def disputed(self) -> bool:
        """Somebody was told another thing under the same number."""
        mine = self.generation
        return any(
            other.generation.number == mine.number and other.generation.order != mine.order for other in self.others
        )

    @property
    def told(self) -> bool:
        """Whether everybody who is remembered has heard of this generation."""
        return all(other.generation.number >= self.generation.number for other in self.others)

    @property
    def reported(self) -> bool:
        """Whether the fleet is what this generation wants it to be, and everybody runs under it."""
        numbers = [self.number, *(other.number for other in self.others)]
        return (
            all(other.here and other.generation.order == self.generation.order for other in self.others)
            and len(numbers) == self.generation.size
            and set(numbers) == set(range(self.generation.size))
        )

    def over(self, now_ms: float) -> Generation | None:
        """The generation with an end proposed, where the change can end before its overlap does."""
        mine = self.generation
        if mine.previous is None or mine.over_ms is not None or now_ms < mine.begins_ms or not self.reported:
            return None
        ends = now_ms + LEAD_MS
        return replace(mine, over_ms=ends) if ends < mine.ends_ms else None
