"""What is known of one member, and which of two records of a member wins."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache

from sprucepost.membership import Generation

NO_GENERATION = Generation(0, 0)  # of a member that does not say under which generation it runs
MAX_VERSION = 2**53  # no member changes its record so often in its lifetime; a record beyond that is false and rejected


@dataclass(frozen=True, slots=True)
class Record:
    """One member as it describes itself; no other member writes its record.

    ``incarnation``: wall-clock ms of its start, greater than its predecessor's. ``life``: a random id drawn at its
    start, which tells two processes of one name apart. ``version`` grows with each change. ``number``: its placer
    number. ``sees``: name and life of each member to which it has a stream that is alive in both directions. ``left``:
    it has left the fleet in an orderly way. ``generation``: the generation under which it runs. ``status``: its
    lifecycle state, for operators.
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
        """Orders the records of one name: the greater age is the newer record."""
        return self.incarnation, self.version


def _sort_key(record: Record) -> tuple[object, ...]:
    # A correct member never writes two different records of one age. The order is total all the same, so that all
    # members that have received both keep the same one.
    values = [getattr(record, name) for name in Record.__slots__ if name != "generation"]
    return *values, record.generation.order, record.generation.over_ms or 0.0


def merge(one: Record, other: Record) -> Record:
    """The record that wins; commutative, associative and idempotent."""
    if one.age != other.age:
        return one if one.age > other.age else other
    return one if one == other else max(one, other, key=_sort_key)


def digest(records: Iterable[Record]) -> int:
    """A 64-bit digest that is equal for equal sets of records, in any order."""
    total = 0
    for record in records:
        total ^= fingerprint(record)
    return total


@lru_cache(maxsize=2048)
def fingerprint(record: Record) -> int:
    """What one record contributes to a digest."""
    return int.from_bytes(hashlib.blake2b(repr(_sort_key(record)).encode(), digest_size=8).digest(), "big")
