"""What is known of one member, and which of two records of it counts."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache

from sprucepost.membership import Generation

NO_GENERATION = Generation(0, 0)  # by a member that tells none
MAX_VERSION = 2**53  # no member counts so far in a lifetime: what claims more is a lie, and is not taken


@dataclass(frozen=True, slots=True)
class Record:
    """One member, in its own words: nobody else writes it.

    ``incarnation``: wall-clock ms of its start, greater than its predecessor's; ``life``: drawn at its start, so that two
    processes of one name are told apart. ``version`` grows with each change. ``sees``: the members, with their lives, to
    which it has a stream that is alive in both directions. ``left``: it went in good order. ``generation``: under which it
    runs. ``status``: its life's state, for who operates it.
    """

    name: str
    incarnation: int
    life: str
    version: int
    number: int
    host: str
    room: str
    address: str
    generation: Generation = NO_GENERATION
    status: str = ""
    roles: tuple[str, ...] = ()
    sees: tuple[tuple[str, str], ...] = ()
    left: bool = False

    @property
    def age(self) -> tuple[int, int]:
        """Which of two records of a name is the newer, where they differ in it."""
        return self.incarnation, self.version


def _order(record: Record) -> tuple[object, ...]:
    # Two records of one age and unlike content cannot come from an honest member; the order is total all the same, so
    # that all that have heard both keep the same one.
    values = [getattr(record, name) for name in Record.__slots__ if name != "generation"]
    return *values, record.generation.order, record.generation.over_ms or 0.0


def merge(one: Record, other: Record) -> Record:
    """The one that counts: commutative, associative, idempotent."""
    if one.age != other.age:
        return one if one.age > other.age else other
    return one if one == other else max(one, other, key=_order)


def digest(records: Iterable[Record]) -> int:
    """64 bits that are equal for equal sets of records, in any order."""
    total = 0
    for record in records:
        total ^= fingerprint(record)
    return total


@lru_cache(maxsize=2048)
def fingerprint(record: Record) -> int:
    """The part of one record in a digest."""
    return int.from_bytes(hashlib.blake2b(repr(_order(record)).encode(), digest_size=8).digest(), "big")
