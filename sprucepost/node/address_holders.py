"""Which of the ids that a list has at an address is the process that is there. No I/O.

An address has one holder: the id whose process started last by the list's own evidence. That is the listed start, and then
the order in which the list named them first; a process whose start is not listed counts as started after those that the list
had there before it. An entry that repeats what is known is no new start, however late it comes, and neither is one of an id
that has left the list and comes back as it was. An entry of an id with an earlier start than the list has had is of a
process that is gone, and says nothing of the one that is there.
"""

from __future__ import annotations

from dataclasses import dataclass

Address = tuple[str, int]
"""A numeric IPv4 address and a port."""

MAX_FORMER_IDS = 1024  # ids that have left the list and are remembered; entries that come late do so within seconds


@dataclass(frozen=True, slots=True, order=True)
class Age:
    """When a process started, by the list; the process that started last is the greatest."""

    started: float = 0.0  # Unix ms, at the earliest
    order: int = 0  # counts the claims in the order in which the list first named them


@dataclass(frozen=True, slots=True)
class Claim:
    """A process of an id at an address, as the list names it."""

    address: Address
    started: float  # Unix ms; 0: not told
    age: Age


class AddressHolders:
    """The claims of all listed ids."""

    def __init__(self) -> None:
        self._claims: dict[str, Claim] = {}  # by id
        self._former: dict[str, Claim] = {}  # of ids that have left the list; the latest come last
        self._ids: dict[Address, set[str]] = {}  # of the claims of listed ids
        self._claims_seen = 0

    def add(self, uid: str, address: Address, started: float) -> None:
        """Take in an entry of the list."""
        known = self._claims.get(uid) or self._former.pop(uid, None)
        if known is None or known.address != address or started not in (known.started, 0.0):
            known = self._new_claim(address, started)
        self._forget_address(uid)
        self._claims[uid] = known
        self._ids.setdefault(address, set()).add(uid)

    def _new_claim(self, address: Address, started: float) -> Claim:
        self._claims_seen += 1
        age = Age(started or self._last_start_at(address), self._claims_seen)
        return Claim(address, started, age)

    def _last_start_at(self, address: Address) -> float:
        """Return the latest start at an address, also of ids that have left the list; 0 where none is known."""
        listed = [self._claims[uid] for uid in self._ids.get(address, ())]
        former = [claim for claim in self._former.values() if claim.address == address]
        return max((claim.age.started for claim in listed + former), default=0.0)

    def age_of(self, uid: str) -> Age:
        """Return the age of the process of a listed id."""
        return self._claims[uid].age

    def is_outdated(self, uid: str, started: float) -> bool:
        """Return whether an entry with that start is of an earlier process of the id than the list has had."""
        known = self._claims.get(uid) or self._former.get(uid)
        return known is not None and 0.0 < started < known.started

    def remove(self, uid: str) -> None:
        """Take in that an id has left the list."""
        self._forget_address(uid)
        claim = self._claims.pop(uid, None)
        if claim is None:
            return
        self._former[uid] = claim
        while len(self._former) > MAX_FORMER_IDS:
            del self._former[next(iter(self._former))]

    def begin_whole_list(self) -> None:
        """Take in that a whole list follows: what it does not name has left."""
        self._former |= self._claims  # bounded again with the next id that leaves
        self._claims, self._ids = {}, {}

    def is_listed(self, uid: str) -> bool:
        """Return whether the id is on the list."""
        return uid in self._claims

    def address_of(self, uid: str) -> Address:
        """Return the address of a listed id."""
        return self._claims[uid].address

    def displaced(self, address: Address) -> set[str]:
        """Return the ids that are listed at the address and are not its holder."""
        uids = self._ids.get(address, set())
        if len(uids) < 2:
            return set()
        holder = max(uids, key=lambda uid: self._claims[uid].age)
        return uids - {holder}

    def _forget_address(self, uid: str) -> None:
        claim = self._claims.get(uid)
        if claim is None:
            return
        uids = self._ids[claim.address]
        uids.discard(uid)
        if not uids:
            del self._ids[claim.address]
