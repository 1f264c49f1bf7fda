"""One change of the configuration: its edits, who made it, and its place in the order of all changes."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property

from sprucepost.configuration.document import Value, canonical_json, fingerprint

MAX_CLOCK = 2**53  # no fleet counts so far: a clock beyond it is a fault of whoever sent it


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """A change's identity and its place in the total order: by Lamport clock, then by origin.

    ``origin`` names one life of one process (such as ``p17/5f3a``), so no two changes ever have one position.
    """

    clock: int
    origin: str

    def __str__(self) -> str:
        return f"{self.clock}@{self.origin}"


BEFORE_FIRST = Position(0, "")  # before every change


@dataclass(frozen=True, slots=True)
class Edit:
    """One key's new value, or its removal. ``replaces``: the change whose value the author saw there."""

    key: str
    value: Value = None
    removed: bool = False
    replaces: Position | None = None


@dataclass(frozen=True)
class Change:
    """Edits that take effect together or not at all. ``made_ms`` (wall clock) is for display only.

    ``baseline``: holds the whole file of the fleet's first proposer. Only the first baseline in the order counts.
    """

    position: Position
    author: str
    comment: str
    made_ms: float
    edits: tuple[Edit, ...]
    baseline: bool = False

    @cached_property
    def text(self) -> str:
        """Canonical JSON of the whole change."""
        return canonical_json(
            [
                [self.position.clock, self.position.origin],
                self.author,
                self.comment,
                self.made_ms,
                self.baseline,
                [[edit.key, edit.value, edit.removed, _pair(edit.replaces)] for edit in self.edits],
            ]
        )

    @cached_property
    def size(self) -> int:
        """Bytes of its text, by which bounds are kept."""
        return len(self.text.encode())

    @cached_property
    def fingerprint(self) -> int:
        """64 bits that stand for this change in digests and summaries."""
        return fingerprint(self.text)


def _pair(position: Position | None) -> list[int | str] | None:
    return None if position is None else [position.clock, position.origin]


@dataclass(frozen=True, slots=True, order=True)
class Version:
    """What a replica knows: the highest clock, and the digest of the set of changes. Equal sets have equal versions."""

    number: int
    digest: int

    def __str__(self) -> str:
        return f"{self.number}-{self.digest:016x}"


NO_VERSION = Version(0, 0)
