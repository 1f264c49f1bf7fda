"""Tests that a replica's messages go only to peers that replicate a configuration, in the order of their creation."""

from __future__ import annotations

from sprucepost.configuration import ChangeableKeys, ConfigurationReplica, KeyEdit, Proposal
from sprucepost.configuration.messages import Changes, Digest, Event, Snapshot, SnapshotRequest
from sprucepost.peers.codec import parse
from sprucepost.peers.configuration_codec import configuration_message_of
from sprucepost.peers.configuration_transport import ConfigurationTransport

STREAM = 1
CHANGE = Proposal((KeyEdit("cluster.max_attempts", 4),), "ann")


class Member:
    """A transport whose frames are collected for the test to deliver."""

    def __init__(self, name: str) -> None:
        settings = {"cluster.max_attempts": 3}
        replica = ConfigurationReplica(name, settings, lambda _: [], ChangeableKeys(("cluster",)), 0.0)
        self.events: list[Event] = []
        self.transport = ConfigurationTransport(replica, lambda: 0.0, self.events.append)
        self.frames: list[bytes] = []
        self.transport.transmit = lambda stream, data: self.frames.append(data)

    def receive_from(self, other: Member) -> None:
        """Receives all that the other member has sent so far."""
        frames, other.frames = other.frames, []
        for data in frames:
            message = configuration_message_of(parse(data))
            assert message is not None
            self.transport.handle_message(STREAM, message)


def test_nothing_is_sent_to_a_peer_that_has_sent_no_digest() -> None:
    member = Member("a")
    member.transport.handle_message(STREAM, SnapshotRequest())
    assert member.transport.propose(CHANGE).refusal == ""
    member.transport.tick()
    assert member.frames == [] and member.transport.connected_streams == 0


def test_a_change_is_sent_to_a_peer_that_has_sent_its_digest() -> None:
    one, other = Member("a"), Member("b")
    one.transport.handle_message(STREAM, other.transport.replica.digest)
    other.transport.handle_message(STREAM, one.transport.replica.digest)
    one.receive_from(other)
    other.receive_from(one)
    assert one.transport.propose(CHANGE).refusal == ""
    other.receive_from(one)
    assert other.transport.replica.configuration == {"cluster.max_attempts": 4}
    assert other.transport.replica.version == one.transport.replica.version


def test_nothing_is_sent_on_a_closed_stream() -> None:
    member = Member("a")
    member.transport.handle_message(STREAM, Digest(0, 0))
    assert member.transport.connected_streams == 1
    member.transport.stream_closed(STREAM)
    member.frames.clear()
    assert member.transport.propose(CHANGE).refusal == ""
    assert member.frames == [] and member.transport.connected_streams == 0


def test_outputs_that_result_from_a_send_are_queued() -> None:
    """Sending on one stream may close another: its outputs must follow the current ones."""
    member = Member("a")
    for stream in (1, 2, 3):
        member.transport.handle_message(stream, Digest(0, 0))
    sent: list[tuple[int, type]] = []

    def transmit(stream: int, data: bytes) -> None:
        message = configuration_message_of(parse(data))
        sent.append((stream, type(message)))
        if sent == [(1, Changes)]:
            member.transport.stream_closed(2)
            member.transport.handle_message(3, SnapshotRequest())

    member.transport.transmit = transmit
    assert member.transport.propose(CHANGE).refusal == ""
    assert [kind for stream, kind in sent if stream == 3] == [Changes, Snapshot]
    assert member.transport.connected_streams == 2
