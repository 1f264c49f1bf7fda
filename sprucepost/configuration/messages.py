"""What replicas send each other, and what a replica tells whoever carries it."""

from __future__ import annotations

from dataclasses import dataclass

from sprucepost.configuration.change import Change, Position, Version
from sprucepost.configuration.document import Value

# Messages between replicas


@dataclass(frozen=True, slots=True)
class Digest:
    """Rides on each heartbeat. ``changes``: the set of changes known; ``outcome``: the agreed configuration, 0 where this
    replica couldn't judge all changes."""

    changes: int
    outcome: int


@dataclass(frozen=True, slots=True)
class Summary:
    """What the sender has: its base, and the fingerprint of each live change. Sent where digests differ."""

    cut: Position
    base_digest: int
    live: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes that the receiver may not have, oldest first."""

    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """Asks for the sender's base."""


@dataclass(frozen=True, slots=True)
class SettingRecord:
    """One key of a base: its value, and the change that set it."""

    key: str
    value: Value
    setter: Position


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A whole base: the agreed configuration at ``cut``, and the fingerprints of the latest changes that went into it."""

    cut: Position
    digest: int
    settings: tuple[SettingRecord, ...]
    fingerprints: tuple[int, ...]
    forgotten: bool  # whether there were more changes than fingerprints


@dataclass(frozen=True, slots=True)
class VerdictsRequest:
    """From a replica that couldn't judge all changes: asks for the verdicts of one that could."""


@dataclass(frozen=True, slots=True)
class Verdicts:
    """For that set of changes: the agreed configuration, and the fingerprints of the changes that are refused among those
    later than the sender's cut."""

    changes: int
    outcome: int
    cut: Position
    refused: tuple[int, ...]


Message = Digest | Summary | Changes | SnapshotRequest | Snapshot | VerdictsRequest | Verdicts


# Outputs to the carrier


@dataclass(frozen=True, slots=True)
class Send:
    """Send that message to a connected peer."""

    peer: int
    message: Message


@dataclass(frozen=True, slots=True)
class InForce:
    """Another configuration is in force here; read it from the replica."""

    version: Version


@dataclass(frozen=True, slots=True)
class Overwritten:
    """A key's value that was in force here was replaced by a change whose author hadn't seen it."""

    position: Position
    key: str
    by: Position


@dataclass(frozen=True, slots=True)
class Refused:
    """A known change isn't applied: ``line`` names the key."""

    position: Position
    reason: str


@dataclass(frozen=True, slots=True)
class SetAside:
    """A change from before the base's cut that isn't in the base: kept and shown, not applied."""

    position: Position


@dataclass(frozen=True, slots=True)
class Held:
    """The agreed configuration can't come into force here; the last one stays. ``line`` names the key."""

    key: str
    reason: str


@dataclass(frozen=True, slots=True)
class Diverged:
    """A peer has the same changes and another result: its program has other rules."""

    peer: int
    version: Version


Event = InForce | Overwritten | Refused | SetAside | Held | Diverged
Output = Send | Event
