"""What a replica remembers of one connected peer, and the messages that bring it up to date."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from sprucepost.configuration.change import Change, Position
from sprucepost.configuration.limits import Limits
from sprucepost.configuration.messages import Changes
from sprucepost.configuration.timeline import Timeline

DIFFERING_DIGESTS = 2  # digests in a row that differ before a summary is sent: one may have crossed a change under way


@dataclass(slots=True)
class Peer:
    """One connected stream."""

    ident: int
    digest_received: bool = False  # its first digest has come
    caught_up: bool = False  # it had the same changes once
    differing_digests: int = 0  # digests in a row that weren't ours
    summarized_ms: float = float("-inf")  # when a summary went to it last
    requested_ms: float = float("-inf")  # when a snapshot was asked of it last,
    verdicts_ms: float = float("-inf")  # and its verdicts
    sent: int = 0  # bytes of changes since the last tick
    pending: dict[Position, None] = field(default_factory=dict)  # changes that are to go out to it

    def next_changes(self, timeline: Timeline, limits: Limits) -> Iterator[Changes]:
        """Messages with pending changes, oldest first, as far as this tick's share goes."""
        batch: list[Change] = []
        size = 0
        for position in sorted(self.pending):
            entry = timeline.entry(position)
            if entry is None:  # compacted meanwhile: it is in the base
                del self.pending[position]
                continue
            change = entry.change
            if self.sent and self.sent + change.size > limits.flush_bytes:
                break
            if batch and size + change.size > limits.message_bytes:
                yield Changes(tuple(batch))
                batch, size = [], 0
            batch.append(change)
            size += change.size
            self.sent += change.size
            del self.pending[position]
        if batch:
            yield Changes(tuple(batch))
