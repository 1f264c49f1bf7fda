"""Bounds and times of a configuration replica."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Limits:
    """Times in ms, sizes in bytes of canonical JSON unless another unit is given.

    A frame of ``sprucepost.peers`` holds 256 KiB; protobuf or JSON of these messages stays below 1.2 times their canonical
    size, so ``message_bytes`` and ``configuration_bytes`` leave room.
    """

    horizon_ms: float = 2 * 3_600_000.0  # a change known for so long may be compacted into the base
    live_changes: int = 512  # changes that can be folded again; beyond that the oldest are compacted before the horizon
    live_bytes: int = 524_288
    archived_changes: int = 1024  # compacted changes kept for display and for rollbacks
    archived_bytes: int = 262_144
    remembered_fingerprints: int = 2048  # compacted changes whose fingerprints the base holds
    set_aside_changes: int = 256
    set_aside_bytes: int = 262_144
    edits: int = 64  # of one change that isn't a baseline
    change_bytes: int = 16_384
    large_change_bytes: int = 163_840  # of a baseline or a rollback
    configuration_keys: int = 1024  # keys that have or had a value
    configuration_bytes: int = 98_304
    text_length: int = 256  # characters of a key, an author, an origin; a comment may have four times as many
    message_bytes: int = 131_072  # changes in one message; a larger single change goes alone
    flush_bytes: int = 196_608  # changes sent to one peer at a time; the rest follows at the next tick
    peers: int = 512
    proposals_burst: float = 32.0  # changes at the door of one replica at once,
    proposals_per_s: float = 2.0  # and for long
    known_versions: int = 1024  # versions this replica has had, that a proposal may name
    sync_ms: float = 2000.0  # between two summaries, or two requests for a snapshot, to one peer
