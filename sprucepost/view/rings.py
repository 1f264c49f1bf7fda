"""Who keeps a stream to whom: K rings over the members, each in an order of its own that all compute alike."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Collection
from functools import lru_cache

from sprucepost.view.record import Record

MIN_RINGS, MAX_RINGS = 3, 10


def ring_count(members: int) -> int:
    """How many rings there are over so many members: the natural logarithm, within bounds. Each has a stream to a successor
    in every ring and one from a predecessor, so that half of all may go at once and next to nobody is left alone."""
    return min(MAX_RINGS, max(MIN_RINGS, math.ceil(math.log(max(1, members)))))


@lru_cache(maxsize=16_384)
def _place(ring: int, name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8, salt=ring.to_bytes(2, "big")).digest()


def ring_successors(me: Record, members: Collection[Record]) -> list[str]:
    """Whom ``me`` keeps a stream to: its successor in each ring, no one twice.

    In even rings the first successor on another host, in odd ones the first in another room; where there is none, the first
    at all. So neither a host nor a room that is cut off is seen by its own members only.
    """
    others = [member for member in members if member.name != me.name]
    by_name = {member.name: member for member in others}
    chosen: dict[str, None] = {}
    for ring in range(ring_count(len(others) + 1)):
        mine = _place(ring, me.name)
        order = sorted((_place(ring, other.name) <= mine, _place(ring, other.name), other.name) for other in others)
        free = [by_name[name] for _, _, name in order if name not in chosen]
        far = [other for other in free if (other.room != me.room if ring % 2 else other.host != me.host)]
        for other in (far or free)[:1]:
            chosen[other.name] = None
    return list(chosen)
