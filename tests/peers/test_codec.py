"""Tests that messages of the view survive encoding, and that malformed frames raise one type of error."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sprucepost.membership import Generation
from sprucepost.peers.codec import MalformedMessageError, decode, encode
from sprucepost.v1 import peer_pb2 as pb
from sprucepost.view.messages import Heartbeat, Hello, RecordUpdates, Summary, ViewMessage
from sprucepost.view.view import MAX_MEMBERS
from tests.view.test_view import record

TEXT = st.text(min_size=1, max_size=20)
BIG = st.integers(0, 2**63)
TIMES = st.floats(0, 1e13)
GENERATIONS = st.builds(
    Generation, st.integers(0, 2**31), st.integers(0, 2**31), st.integers(0, 2**31), TIMES, st.floats(1, 1e13),
    st.booleans(), st.booleans(), st.none() | TIMES,
)  # fmt: skip
RECORDS = st.builds(
    record, st.integers(0, 350), incarnation=BIG, version=BIG, life=TEXT, name=TEXT, address=st.text(max_size=20),
    roles=st.lists(TEXT, max_size=3).map(tuple), sees=st.lists(st.tuples(TEXT, TEXT), max_size=4).map(tuple),
    left=st.booleans(), generation=GENERATIONS, status=st.text(max_size=20),
)  # fmt: skip
MESSAGES = st.one_of(
    st.builds(Hello, st.text(max_size=9), st.text(max_size=9), RECORDS),
    st.builds(Heartbeat, st.integers(0, 2**64 - 1)),
    st.builds(RecordUpdates, st.lists(RECORDS, max_size=3).map(tuple)),
    st.builds(Summary, st.lists(st.tuples(TEXT, BIG, BIG), max_size=4).map(tuple), st.booleans()),
)


@given(MESSAGES)
def test_decoding_returns_the_encoded_message(message: ViewMessage) -> None:
    assert decode(encode(message)) == message


@given(st.binary(max_size=200))
def test_any_bytes_decode_or_raise_one_error(data: bytes) -> None:
    with contextlib.suppress(MalformedMessageError):
        decode(data)


def test_unknown_fields_and_messages_of_a_later_version_are_ignored() -> None:
    beat = encode(Heartbeat(7))
    assert decode(beat + b"\xfa\x01\x03abc") == Heartbeat(7)
    assert decode(b"\xfa\x01\x03abc") is None


@pytest.mark.parametrize(
    "frame",
    [
        pb.PeerFrame(hello=pb.PeerHello(cluster="c")),
        pb.PeerFrame(news=pb.PeerNews(records=[pb.PeerRecord(name="p", life="l", host="h" * 300)])),
        pb.PeerFrame(news=pb.PeerNews(records=[pb.PeerRecord(name="p", life="l", sees=[pb.PeerSight()] * 300)])),
        pb.PeerFrame(summary=pb.PeerSummary(ages=[pb.PeerAge(name="p")] * (MAX_MEMBERS + 1))),
    ],
)
def test_oversized_or_anonymous_records_are_rejected(frame: pb.PeerFrame) -> None:
    with pytest.raises(MalformedMessageError):
        decode(frame.SerializeToString())
