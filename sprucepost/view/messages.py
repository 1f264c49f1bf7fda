"""Messages between members on a stream, and the actions that the state machine asks of the program that runs it."""

from __future__ import annotations

from dataclasses import dataclass

from sprucepost.view.record import Record


@dataclass(frozen=True, slots=True)
class Hello:
    """The first message on a stream, sent by both ends."""

    cluster: str
    settings: str  # digest of the settings that all members must agree on
    record: Record
    fixed_settings: str = ""  # digest of those that a running member cannot change; empty: the same as ``settings``


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sent periodically to show that the sender is alive, with the digest of all records that it holds."""

    digest: int


@dataclass(frozen=True, slots=True)
class RecordUpdates:
    """Records that the receiver may not have."""

    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class Summary:
    """Name and age of each record that the sender holds. ``answer``: it answers another summary and needs none back."""

    ages: tuple[tuple[str, int, int], ...]  # name, incarnation, version
    answer: bool = False


ViewMessage = Hello | Heartbeat | RecordUpdates | Summary


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message on a stream."""

    stream: int
    word: ViewMessage


@dataclass(frozen=True, slots=True)
class Dial:
    """Open a stream to an address; ``name`` is the member's, or the address again for a seed of unknown name."""

    name: str
    address: str


@dataclass(frozen=True, slots=True)
class Close:
    """Close a stream."""

    stream: int
    why: str


@dataclass(frozen=True, slots=True)
class ViewChanged:
    """The view has changed; several changes may be reported as one. All members by name, in their present state."""

    here: frozenset[str]
    away: frozenset[str]
    left: frozenset[str]


Action = Send | Dial | Close | ViewChanged
