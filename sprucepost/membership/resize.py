"""A change of size in a fleet whose placers see each other: which generation counts, who knows of it, when it is over.

Each placer's record states the generation under which it runs, so an operator needs to tell only one placer. The
following is derived from the records, and nothing else of another placer is used:

================  =============================================  ===================================================
result            derived from                                   purpose
================  =============================================  ===================================================
newer_generation  the highest number; for equal numbers with     all placers end up under one generation
                  different contents the larger size (which
                  offers less), then a fixed order
is_disputed       a known placer has another generation of the   no placer has a slot until all have the same
                  same number
is_known_to_all   no known placer has an older generation        the new side takes its slots (otherwise it is held)
is_complete       each number of the new size belongs to one     an end is proposed ``END_NOTICE_MS`` ahead; of
                  reachable placer, and no other is known        several proposals the earliest counts
================  =============================================  ===================================================

The end is a time that is announced in advance, not a command: all placers change slots at the same moment, since the
two layouts in use together would exceed the limit on offers to cold machines.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, replace

from sprucepost.membership.generation import Generation

END_NOTICE_MS = 15_000.0  # docs/view.md promises that news reaches all reachable placers within this time


@dataclass(frozen=True)
class KnownPlacer:
    """Another placer that has not left, from its record."""

    number: int
    generation: Generation
    is_reachable: bool = True


def newer_generation(one: Generation, other: Generation) -> Generation:
    """Return the generation that counts of two. Commutative, associative and idempotent."""
    if one.order != other.order:
        return one if one.order > other.order else other
    ends = [generation.over_ms for generation in (one, other) if generation.over_ms is not None]
    return replace(one, over_ms=min(ends, default=None))


@dataclass(frozen=True)
class Resize:
    """A change of size as one placer knows it: its own number and generation, and the other known placers."""

    number: int
    generation: Generation
    others: Collection[KnownPlacer]

    @property
    def is_disputed(self) -> bool:
        """Whether another placer has another generation of the same number."""
        own = self.generation
        return any(
            other.generation.number == own.number and other.generation.order != own.order for other in self.others
        )

    @property
    def is_known_to_all(self) -> bool:
        """Whether every known placer has heard of this generation."""
        return all(other.generation.number >= self.generation.number for other in self.others)

    @property
    def is_complete(self) -> bool:
        """Whether the fleet has exactly this generation's numbers, all reachable and running under it."""
        numbers = [self.number, *(other.number for other in self.others)]
        return (
            all(other.is_reachable and other.generation.order == self.generation.order for other in self.others)
            and len(numbers) == self.generation.size
            and set(numbers) == set(range(self.generation.size))
        )

    def propose_end(self, now_ms: float) -> Generation | None:
        """Return the generation with a proposed end, or None where the change cannot end before its overlap does."""
        own = self.generation
        if own.previous is None or own.over_ms is not None or now_ms < own.begins_ms or not self.is_complete:
            return None
        ends = now_ms + END_NOTICE_MS
        return replace(own, over_ms=ends) if ends < own.ends_ms else None
