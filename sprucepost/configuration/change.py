"""A configuration change: its edits, its author and its position in the total order of changes."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property

from sprucepost.configuration.document import Value, canonical_json, fingerprint

MAX_CLOCK = 2**53  # no fleet reaches this Lamport clock; a higher one is an error of the sender


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """The identity of a change and its position in the total order: by Lamport clock, then by origin.

    ``origin`` names one run of one process (such as ``p17/5f3a``), so no two changes share a position.
    """

    clock: int
    origin: str

    def __str__(self) -> str:
        return f"{self.clock}@{self.origin}"


BEFORE_FIRST = Position(0, "")  # orders before every change


@dataclass(frozen=True, slots=True)
class Edit:
    """The new value of one key, or its removal.

    ``replaces`` is the change that had set the value which the author saw.
    """

    key: str
    value: Value = None
    removed: bool = False
    replaces: Position | None = None


@dataclass(frozen=True)
class Change:
    """Edits that are applied atomically.

    ``made_ms`` is wall-clock time, for display only. A ``baseline`` holds all settings from the file of the fleet's
    first proposer; only the first baseline in the total order is applied.
    """

    position: Position
    author: str
    comment: str
    made_ms: float
    edits: tuple[Edit, ...]
    baseline: bool = False

    @cached_property
    def text(self) -> str:
        """Canonical JSON of the change."""
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
        """Size of ``text`` in bytes; the size limits apply to it."""
        return len(self.text.encode())

    @cached_property
    def fingerprint(self) -> int:
        """64-bit hash that identifies this change in digests and summaries."""
        return fingerprint(self.text)


def _pair(position: Position | None) -> list[int | str] | None:
    return None if position is None else [position.clock, position.origin]


@dataclass(frozen=True, slots=True, order=True)
class Version:
    """The highest known clock and the digest of the set of known changes. Equal sets have equal versions."""

    number: int
    digest: int

    def __str__(self) -> str:
        return f"{self.number}-{self.digest:016x}"


NO_VERSION = Version(0, 0)
