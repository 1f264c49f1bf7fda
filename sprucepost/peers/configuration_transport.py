"""Connects a configuration replica to the streams between placers.

A stream is connected for the replica once the peer has sent a digest with a heartbeat, which shows that it replicates a
configuration too. Members that don't, or that run an earlier version, only receive the digest in our heartbeats, which
they ignore.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from sprucepost.configuration import ConfigurationReplica, Proposal, Receipt
from sprucepost.configuration.change import Position
from sprucepost.configuration.messages import Digest, Event, Message, Output, Send
from sprucepost.peers.configuration_codec import encode_digest, encode_message
from sprucepost.v1 import peer_pb2 as pb


class ConfigurationTransport:
    """Passes messages between a replica and the streams.

    ``transmit`` sends a frame on a stream, subject to the stream's back-pressure. ``on_event`` is called with each
    event of the replica, ``now`` returns a monotonic time in ms.
    """

    def __init__(
        self, replica: ConfigurationReplica, now: Callable[[], float], on_event: Callable[[Event], None]
    ) -> None:
        self.replica, self._now, self._on_event = replica, now, on_event
        self.transmit: Callable[[int, bytes], None] = lambda stream, data: None
        self.counters: Counter[str] = Counter()
        self._connected_streams: set[int] = set()
        self._dispatching = False  # outputs that result from a send are queued behind the current ones

    @property
    def connected_streams(self) -> int:
        """Number of streams to peers that replicate a configuration."""
        return len(self._connected_streams)

    def digest(self) -> pb.ConfigurationDigest:
        """Returns the digest to send with the next heartbeat."""
        return encode_digest(self.replica.digest)

    def handle_message(self, stream: int, message: Message) -> None:
        """Handles a message on a stream whose handshake is complete."""
        if stream not in self._connected_streams:
            if not isinstance(message, Digest):
                return
            self._connected_streams.add(stream)
            self.replica.connected(self._now(), stream)
        self.replica.received(self._now(), stream, message)
        self._dispatch_outputs()

    def stream_closed(self, stream: int) -> None:
        """Handles the end of a stream."""
        if stream in self._connected_streams:
            self._connected_streams.remove(stream)
            self.replica.disconnected(self._now(), stream)
            self._dispatch_outputs()

    def tick(self) -> None:
        """Runs the replica's periodic work; call it with the ticks of the view."""
        self.replica.tick(self._now())
        self._dispatch_outputs()

    def propose(self, proposal: Proposal) -> Receipt:
        """Proposes an operator's change at this placer."""
        receipt = self.replica.propose(self._now(), proposal)
        self._dispatch_outputs()
        return receipt

    def rollback(self, position: Position, author: str, comment: str, made_ms: float) -> Receipt:
        """Proposes an operator's rollback at this placer."""
        receipt = self.replica.rollback(self._now(), position, author, comment, made_ms)
        self._dispatch_outputs()
        return receipt

    def _dispatch_outputs(self) -> None:
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while outputs := self.replica.take_outputs():
                for output in outputs:
                    self._dispatch(output)
        finally:
            self._dispatching = False

    def _dispatch(self, output: Output) -> None:
        if isinstance(output, Send):
            data = encode_message(output.message)
            self.counters["messages_out"] += 1
            self.counters["bytes_out"] += len(data)
            self.transmit(output.peer, data)
        else:
            self._on_event(output)
