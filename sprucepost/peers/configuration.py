"""Carries a configuration replica on the streams of the view.

A stream counts as connected for the replica once the peer has shown, by a digest on a heartbeat, that it carries a
configuration too: members without one, or of an earlier version, get nothing but the digest in our heartbeats, which they
pass over.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from sprucepost.configuration import ConfigurationReplica, Proposal, Receipt
from sprucepost.configuration.change import Position
from sprucepost.configuration.messages import Digest, Event, Message, Output, Send
from sprucepost.peers.configuration_codec import encode_digest, encode_message
from sprucepost.v1 import peer_pb2 as pb


class ConfigurationCarrier:
    """``transmit`` sends a frame on a stream, under the streams' own back-pressure; ``told`` gets the replica's events."""

    def __init__(self, replica: ConfigurationReplica, now: Callable[[], float], told: Callable[[Event], None]) -> None:
        self.replica, self._now, self._told = replica, now, told
        self.transmit: Callable[[int, bytes], None] = lambda stream, data: None
        self.counters: Counter[str] = Counter()
        self._connected: set[int] = set()
        self._carrying = False  # outputs that a send gives rise to wait their turn

    @property
    def connected(self) -> int:
        """Streams to peers that carry a configuration."""
        return len(self._connected)

    def digest(self) -> pb.ConfigurationDigest:
        """For the next heartbeat."""
        return encode_digest(self.replica.digest)

    def heard(self, stream: int, message: Message) -> None:
        """A message on a stream that is past its greeting."""
        if stream not in self._connected:
            if not isinstance(message, Digest):
                return
            self._connected.add(stream)
            self.replica.connected(self._now(), stream)
        self.replica.received(self._now(), stream, message)
        self._carry()

    def ended(self, stream: int) -> None:
        """The stream is over."""
        if stream in self._connected:
            self._connected.remove(stream)
            self.replica.disconnected(self._now(), stream)
            self._carry()

    def tick(self) -> None:
        """To be called with the view's ticks."""
        self.replica.tick(self._now())
        self._carry()

    def propose(self, proposal: Proposal) -> Receipt:
        """An operator's change at this placer."""
        receipt = self.replica.propose(self._now(), proposal)
        self._carry()
        return receipt

    def rollback(self, position: Position, author: str, comment: str, made_ms: float) -> Receipt:
        """An operator's rollback at this placer."""
        receipt = self.replica.rollback(self._now(), position, author, comment, made_ms)
        self._carry()
        return receipt

    def _carry(self) -> None:
        if self._carrying:
            return
        self._carrying = True
        try:
            while outputs := self.replica.drain():
                for output in outputs:
                    self._take(output)
        finally:
            self._carrying = False

    def _take(self, output: Output) -> None:
        if isinstance(output, Send):
            data = encode_message(output.message)
            self.counters["messages_out"] += 1
            self.counters["bytes_out"] += len(data)
            self.transmit(output.peer, data)
        else:
            self._told(output)
