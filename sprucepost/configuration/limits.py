"""Limits on sizes and times of a configuration replica."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Limits:
    """Times are in ms, sizes in bytes of canonical JSON unless another unit is given.

    A frame of ``sprucepost.peers`` holds at most 256 KiB. The messages take less than 1.2 times their canonical size as
    protobuf or JSON, so messages within ``message_bytes`` and ``configuration_bytes`` fit into a frame.
    """

    horizon_ms: float = 2 * 3_600_000.0  # age from which a change may be compacted into the base
    live_changes: int = 512  # changes that can still be reordered; above that the oldest are compacted early
    live_bytes: int = 524_288
    archived_changes: int = 1024  # compacted changes retained for display and rollbacks
    archived_bytes: int = 262_144
    remembered_fingerprints: int = 2048  # compacted changes whose fingerprints are stored with the base
    set_aside_changes: int = 256
    set_aside_bytes: int = 262_144
    edits: int = 64  # edits per change, baselines and rollbacks excepted
    change_bytes: int = 16_384
    large_change_bytes: int = 163_840  # size of a baseline or a rollback
    configuration_keys: int = 1024  # keys with a value, and removed keys that are still tracked
    configuration_bytes: int = 98_304
    text_length: int = 256  # characters of a key, author or origin; a comment may have four times as many
    message_bytes: int = 131_072  # changes per message; a single larger change is sent alone
    flush_bytes: int = 196_608  # changes sent to one peer per tick; the rest follows at the next tick
    peers: int = 512
    proposals_burst: float = 32.0  # proposals accepted by one replica in a burst
    proposals_per_s: float = 2.0  # sustained rate of accepted proposals
    known_versions: int = 1024  # past versions of this replica that a proposal may refer to
    sync_ms: float = 2000.0  # minimum time between two summaries, or two snapshot requests, to one peer
