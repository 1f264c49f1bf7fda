"""Messages between replicas, and the outputs of a replica to its caller."""

from __future__ import annotations

from dataclasses import dataclass

from sprucepost.configuration.change import Change, Position, Version
from sprucepost.configuration.document import Value

# Messages between replicas


@dataclass(frozen=True, slots=True)
class Digest:
    """Sent with each heartbeat.

    ``changes`` is the digest of the known changes, ``outcome`` that of the agreed configuration; 0 if this replica
    could not check all changes.
    """

    changes: int
    outcome: int


@dataclass(frozen=True, slots=True)
class Summary:
    """The sender's base and the fingerprints of its live changes. Sent when digests differ."""

    cut: Position
    base_digest: int
    live: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes that the receiver may lack, oldest first."""

    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """Requests the receiver's base as a snapshot."""


@dataclass(frozen=True, slots=True)
class SettingRecord:
    """One key of a base: its value and the change that set it."""

    key: str
    value: Value
    setter: Position


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A base: the agreed configuration at ``cut`` and the fingerprints of the latest changes compacted into it.

    ``forgotten``: more changes were compacted than there are fingerprints.
    """

    cut: Position
    digest: int
    settings: tuple[SettingRecord, ...]
    fingerprints: tuple[int, ...]
    forgotten: bool


@dataclass(frozen=True, slots=True)
class VerdictsRequest:
    """Sent by a replica that could not check all changes, to a peer that could: requests its verdicts."""


@dataclass(frozen=True, slots=True)
class Verdicts:
    """The verdicts on the set of changes with the digest ``changes``.

    ``outcome`` is the digest of the agreed configuration, ``refused`` the fingerprints of the refused changes later
    than the sender's ``cut``.
    """

    changes: int
    outcome: int
    cut: Position
    refused: tuple[int, ...]


Message = Digest | Summary | Changes | SnapshotRequest | Snapshot | VerdictsRequest | Verdicts


# Outputs to the caller


@dataclass(frozen=True, slots=True)
class Send:
    """Send this message to a connected peer."""

    peer: int
    message: Message


@dataclass(frozen=True, slots=True)
class InForce:
    """Another configuration has come into force here; read it from the replica."""

    version: Version


@dataclass(frozen=True, slots=True)
class Overwritten:
    """A value that was in force here was replaced by a change whose author had not seen it (a concurrent write)."""

    position: Position
    key: str
    by: Position


@dataclass(frozen=True, slots=True)
class Refused:
    """A known change is not applied. ``reason`` is a single line that names the key."""

    position: Position
    reason: str


@dataclass(frozen=True, slots=True)
class SetAside:
    """A change from before the base's cut that is not in the base: retained for display, never applied."""

    position: Position


@dataclass(frozen=True, slots=True)
class Held:
    """The agreed configuration cannot come into force here; the last one stays.

    ``reason`` is a single line that names the key.
    """

    key: str
    reason: str


@dataclass(frozen=True, slots=True)
class Diverged:
    """A peer derives another configuration from the same changes: its program validates differently."""

    peer: int
    version: Version


Event = InForce | Overwritten | Refused | SetAside | Held | Diverged
Output = Send | Event
