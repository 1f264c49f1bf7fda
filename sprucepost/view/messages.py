"""What members say to each other on a stream, and what the state machine asks of whoever carries it."""

from __future__ import annotations

from dataclasses import dataclass

from sprucepost.view.record import Record


@dataclass(frozen=True, slots=True)
class Hello:
    """The first word on a stream, from both ends."""

    cluster: str
    settings: str  # a digest of what all members must agree on
    record: Record
    fixed_settings: str = ""  # a digest of that without what a running member can change; empty: the same


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sent all the time, as a sign of life: the digest of all that the sender holds."""

    digest: int


@dataclass(frozen=True, slots=True)
class RecordUpdates:
    """Records that the receiver may not have."""

    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class Summary:
    """The age of each record held; ``answer``: it answers one, and wants none back."""

    ages: tuple[tuple[str, int, int], ...]
    answer: bool = False


ViewMessage = Hello | Heartbeat | RecordUpdates | Summary


@dataclass(frozen=True, slots=True)
class Send:
    """Say that on a stream."""

    stream: int
    word: ViewMessage


@dataclass(frozen=True, slots=True)
class Dial:
    """Open a stream there; ``name`` is empty for a seed whose name is not known yet."""

    name: str
    address: str


@dataclass(frozen=True, slots=True)
class Close:
    """End a stream."""

    stream: int
    why: str


@dataclass(frozen=True, slots=True)
class ViewChanged:
    """The view has changed, in one step: names by what they have become."""

    here: frozenset[str]
    away: frozenset[str]
    left: frozenset[str]


Action = Send | Dial | Close | ViewChanged
