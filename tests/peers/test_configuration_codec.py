"""Tests that configuration messages survive encoding, are ignored by older members, and that malformed ones raise."""

from __future__ import annotations

import contextlib
from typing import Any

import pytest
from google.protobuf import descriptor_pb2, descriptor_pool, message_factory
from hypothesis import given
from hypothesis import strategies as st

from sprucepost.configuration.change import MAX_CLOCK, Change, Edit, Position
from sprucepost.configuration.messages import (
    Changes,
    Digest,
    Message,
    SettingRecord,
    Snapshot,
    SnapshotRequest,
    Summary,
    Verdicts,
    VerdictsRequest,
)
from sprucepost.peers.codec import MalformedMessageError, encode, parse, view_message_of
from sprucepost.peers.configuration_codec import configuration_message_of, encode_digest, encode_message
from sprucepost.v1 import peer_pb2 as pb
from sprucepost.view.messages import Heartbeat

TEXT = st.text(max_size=20)
HASH = st.integers(0, 2**64 - 1)
HASHES = st.lists(HASH, max_size=4).map(tuple)
POSITIONS = st.builds(Position, st.integers(0, MAX_CLOCK), TEXT)
LEAVES = (
    st.none() | st.booleans() | st.integers(-(2**53), 2**53) | st.floats(allow_nan=False, allow_infinity=False) | TEXT
)
VALUES = st.recursive(LEAVES, lambda inner: st.lists(inner, max_size=3) | st.dictionaries(TEXT, inner, max_size=3))
EDITS = st.builds(Edit, TEXT, VALUES, st.booleans(), st.none() | POSITIONS)
CHANGES = st.builds(
    Change, POSITIONS, TEXT, TEXT, st.floats(0, 1e13), st.lists(EDITS, max_size=3).map(tuple), st.booleans()
)
SETTINGS = st.builds(SettingRecord, TEXT, VALUES, POSITIONS)
MESSAGES = st.one_of(
    st.builds(Digest, HASH, HASH),
    st.builds(Summary, POSITIONS, HASH, HASHES),
    st.builds(Changes, st.lists(CHANGES, max_size=3).map(tuple)),
    st.just(SnapshotRequest()),
    st.builds(Snapshot, POSITIONS, HASH, st.lists(SETTINGS, max_size=3).map(tuple), HASHES, st.booleans()),
    st.just(VerdictsRequest()),
    st.builds(Verdicts, HASH, HASH, POSITIONS, HASHES),
)


def earlier_frame() -> Any:
    """Returns the frame class of a program version without configuration messages."""
    file = descriptor_pb2.FileDescriptorProto()
    pb.DESCRIPTOR.CopyToProto(file)
    file.package, file.name = "earlier", "earlier.proto"
    for message in file.message_type:
        for field in list(message.field):
            if "Configuration" in field.type_name or field.name == "fixed_settings":
                message.field.remove(field)
            elif field.type_name:
                field.type_name = field.type_name.replace(".sprucepost.v1.", ".earlier.")
    kept = [message for message in file.message_type if not message.name.startswith("Configuration")]
    del file.message_type[:]
    file.message_type.extend(kept)
    del file.service[:]
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    return message_factory.GetMessageClass(pool.FindMessageTypeByName("earlier.PeerFrame"))


@given(MESSAGES)
def test_decoding_returns_the_encoded_message_and_no_view_message(message: Message) -> None:
    frame = parse(encode_message(message))
    assert configuration_message_of(frame) == message
    assert view_message_of(frame) is None


@given(st.binary(max_size=200))
def test_any_bytes_decode_or_raise_one_error(data: bytes) -> None:
    with contextlib.suppress(MalformedMessageError):
        configuration_message_of(
            pb.PeerFrame(configuration=pb.ConfigurationMessage.FromString(parse(data).SerializeToString()))
        )


def test_a_heartbeat_carries_the_digest_only_if_given() -> None:
    assert configuration_message_of(parse(encode(Heartbeat(7)))) is None
    frame = parse(encode(Heartbeat(7), encode_digest(Digest(1, 2))))
    assert configuration_message_of(frame) == Digest(1, 2)
    assert view_message_of(frame) == Heartbeat(7)


def test_an_earlier_version_ignores_messages_and_reads_heartbeats() -> None:
    frame = earlier_frame()
    beat = frame.FromString(encode(Heartbeat(7), encode_digest(Digest(1, 2))))
    assert beat.WhichOneof("word") == "beat" and beat.beat.digest == 7
    assert frame.FromString(encode_message(SnapshotRequest())).WhichOneof("word") is None


def test_a_message_of_a_later_version_is_ignored() -> None:
    assert configuration_message_of(pb.PeerFrame(configuration=pb.ConfigurationMessage())) is None


@pytest.mark.parametrize("value", ["", "{", "NaN", "1e999", "-Infinity", '"\\ud800"', "[" * 100_000])
def test_a_value_that_is_not_json_is_rejected(value: str) -> None:
    edits = [pb.ConfigurationEdit(key="cluster.max_attempts", value=value)]
    changes = pb.ConfigurationChanges(changes=[pb.ConfigurationChange(edits=edits)])
    with pytest.raises(MalformedMessageError):
        configuration_message_of(pb.PeerFrame(configuration=pb.ConfigurationMessage(changes=changes)))


@pytest.mark.parametrize(
    "change",
    [
        pb.ConfigurationChange(author="a" * 300),
        pb.ConfigurationChange(comment="c" * 3000),
        pb.ConfigurationChange(made_ms=float("nan")),
        pb.ConfigurationChange(position=pb.ConfigurationPosition(clock=MAX_CLOCK + 1)),
        pb.ConfigurationChange(position=pb.ConfigurationPosition(origin="o" * 300)),
    ],
)
def test_oversized_or_invalid_changes_are_rejected(change: pb.ConfigurationChange) -> None:
    changes = pb.ConfigurationChanges(changes=[change])
    with pytest.raises(MalformedMessageError):
        configuration_message_of(pb.PeerFrame(configuration=pb.ConfigurationMessage(changes=changes)))
