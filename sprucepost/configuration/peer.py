"""The synchronization state of one connected peer, and the messages that bring it up to date."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from sprucepost.configuration.change import Change, Position
from sprucepost.configuration.limits import Limits
from sprucepost.configuration.messages import Changes
from sprucepost.configuration.timeline import Timeline

DIFFERING_DIGESTS = 2  # consecutive mismatches before a summary is sent: one may have crossed a change in transit


@dataclass(slots=True)
class Peer:
    """One connected stream. Times are in ms on the replica's clock."""

    stream_id: int
    digest_received: bool = False  # whether its first digest has arrived
    caught_up: bool = False  # whether it has had the same changes as this replica
    differing_digests: int = 0  # consecutive digests that differed from this replica's
    summarized_ms: float = float("-inf")  # when a summary was last sent to it
    requested_ms: float = float("-inf")  # when a snapshot was last requested from it
    verdicts_ms: float = float("-inf")  # when its verdicts were last requested
    sent_bytes: int = 0  # of changes since the last tick
    pending: dict[Position, None] = field(default_factory=dict)  # changes to be sent to it

    def next_changes(self, timeline: Timeline, limits: Limits) -> Iterator[Changes]:
        """Yields messages with pending changes, oldest first, up to the limit per tick."""
        batch: list[Change] = []
        size = 0
        for position in sorted(self.pending):
            entry = timeline.entry(position)
            if entry is None:  # compacted in the meantime: it is in the base
                del self.pending[position]
                continue
            change = entry.change
            if self.sent_bytes and self.sent_bytes + change.size > limits.flush_bytes:
                break
            if batch and size + change.size > limits.message_bytes:
                yield Changes(tuple(batch))
                batch, size = [], 0
            batch.append(change)
            size += change.size
            self.sent_bytes += change.size
            del self.pending[position]
        if batch:
            yield Changes(tuple(batch))
