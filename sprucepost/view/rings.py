"""Which members have streams to each other: K rings over all members, each in an order that all compute alike."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Collection
from functools import lru_cache

from sprucepost.view.record import Record

MIN_RINGS, MAX_RINGS = 3, 10


def ring_count(members: int) -> int:
    """The number of rings over so many members: the natural logarithm, within bounds.

    Each member has a stream to a successor in every ring and one from a predecessor, so that half of all members may
    fail at once and hardly any of the others is isolated.
    """
    return min(MAX_RINGS, max(MIN_RINGS, math.ceil(math.log(max(1, members)))))


@lru_cache(maxsize=16_384)
def _ring_position(ring: int, name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8, salt=ring.to_bytes(2, "big")).digest()


def ring_successors(me: Record, members: Collection[Record]) -> list[str]:
    """The members that ``me`` keeps a stream to: its successor in each ring, each member once.

    In even rings this is the first successor on another host, in odd ones the first in another room, and the first of
    all where there is none. So a host or a room that is cut off is not monitored by its own members alone.
    """
    others = [member for member in members if member.name != me.name]
    by_name = {member.name: member for member in others}
    chosen: dict[str, None] = {}
    for ring in range(ring_count(len(others) + 1)):
        own_position = _ring_position(ring, me.name)
        order = sorted(
            (_ring_position(ring, other.name) <= own_position, _ring_position(ring, other.name), other.name)
            for other in others
        )
        candidates = [by_name[name] for _, _, name in order if name not in chosen]
        elsewhere = [other for other in candidates if (other.room != me.room if ring % 2 else other.host != me.host)]
        for other in (elsewhere or candidates)[:1]:
            chosen[other.name] = None
    return list(chosen)
