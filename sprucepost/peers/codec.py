"""Encodes the messages between members as protobuf frames, and decodes them.

All malformed input raises MalformedMessageError; unknown fields are ignored.
"""

from __future__ import annotations

from functools import lru_cache
from math import isfinite

from google.protobuf.message import DecodeError

from sprucepost.membership import Generation
from sprucepost.v1 import peer_pb2 as pb
from sprucepost.view.messages import Heartbeat, Hello, RecordUpdates, Summary, ViewMessage
from sprucepost.view.record import Record
from sprucepost.view.view import MAX_MEMBERS

MAX_TEXT_CHARS = 256  # of a name, a life, an address
MAX_SEEN_MEMBERS = 256  # connected members in one record; also the limit of its roles


class MalformedMessageError(Exception):
    """A peer sent a malformed message."""


def encode(message: ViewMessage, configuration: pb.ConfigurationDigest | None = None) -> bytes:
    """Returns the frame of a message. ``configuration`` is sent with a heartbeat, if the sender replicates one."""
    if isinstance(message, Hello):
        frame = pb.PeerFrame(
            hello=pb.PeerHello(
                cluster=message.cluster,
                settings=message.settings,
                record=_encode_record(message.record),
                fixed_settings=message.fixed_settings,
            )
        )
    elif isinstance(message, Heartbeat):
        frame = pb.PeerFrame(beat=pb.PeerBeat(digest=message.digest, configuration=configuration))
    elif isinstance(message, RecordUpdates):
        frame = pb.PeerFrame(news=pb.PeerNews(records=[_encode_record(record) for record in message.records]))
    else:
        ages = [
            pb.PeerAge(name=name, incarnation=incarnation, version=version)
            for name, incarnation, version in message.ages
        ]
        frame = pb.PeerFrame(summary=pb.PeerSummary(ages=ages, answer=message.answer))
    return frame.SerializeToString()


def parse(data: bytes) -> pb.PeerFrame:
    """Parses a frame; raises MalformedMessageError if it is invalid."""
    try:
        return pb.PeerFrame.FromString(data)
    except DecodeError as error:
        raise MalformedMessageError("not a protobuf frame") from error


def decode(data: bytes) -> ViewMessage | None:
    """Parses a frame and returns its message, as ``view_message_of`` does."""
    return view_message_of(parse(data))


def view_message_of(frame: pb.PeerFrame) -> ViewMessage | None:
    """Returns the view's message in a frame.

    None for frames without a message of the view, or of a kind that this version does not know. Raises
    MalformedMessageError for invalid contents.
    """
    kind = frame.WhichOneof("word")
    if kind == "hello":
        return Hello(
            frame.hello.cluster, frame.hello.settings, _decode_record(frame.hello.record), frame.hello.fixed_settings
        )
    if kind == "beat":
        return Heartbeat(frame.beat.digest)
    if kind == "news":
        return RecordUpdates(tuple(_decode_record(record) for record in frame.news.records))
    if kind == "summary":
        if len(frame.summary.ages) > MAX_MEMBERS:
            raise MalformedMessageError(f"summary has {len(frame.summary.ages)} members, more than allowed")
        return Summary(
            tuple((age.name, age.incarnation, age.version) for age in frame.summary.ages), frame.summary.answer
        )
    return None


def _encode_record(record: Record) -> pb.PeerRecord:
    return pb.PeerRecord(
        name=record.name, incarnation=record.incarnation, life=record.life, version=record.version,
        number=record.number, host=record.host, room=record.room, address=record.address,
        runs=_encode_generation(record.generation), status=record.status, roles=record.roles,
        sees=[pb.PeerSight(name=name, life=life) for name, life in record.sees], left=record.left,
    )  # fmt: skip


def _decode_record(record: pb.PeerRecord) -> Record:
    return _decode_record_bytes(record.SerializeToString())


@lru_cache(maxsize=4096)  # the same record arrives from several peers
def _decode_record_bytes(data: bytes) -> Record:
    record = pb.PeerRecord.FromString(data)
    texts = (record.name, record.life, record.host, record.room, record.address, record.status, *record.roles)
    if not record.name or not record.life:
        raise MalformedMessageError("record has no name or no life")
    if (
        max(map(len, texts)) > MAX_TEXT_CHARS
        or len(record.sees) > MAX_SEEN_MEMBERS
        or len(record.roles) > MAX_SEEN_MEMBERS
    ):
        raise MalformedMessageError("record exceeds the size limits")
    return Record(
        name=record.name, incarnation=record.incarnation, life=record.life, version=record.version,
        number=record.number, host=record.host, room=record.room, address=record.address,
        generation=_decode_generation(record.runs), status=record.status, roles=tuple(record.roles),
        sees=tuple((sight.name, sight.life) for sight in record.sees), left=record.left,
    )  # fmt: skip


def _encode_generation(generation: Generation) -> pb.PeerGeneration:
    return pb.PeerGeneration(
        number=generation.number, size=generation.size, previous=generation.previous, begins_ms=generation.begins_ms,
        overlap_ms=generation.overlap_ms, announced=generation.announced, rollback=generation.rollback,
        over_ms=generation.over_ms,
    )  # fmt: skip


def _decode_generation(message: pb.PeerGeneration) -> Generation:
    generation = Generation(
        message.number, message.size, message.previous if message.HasField("previous") else None, message.begins_ms,
        message.overlap_ms, message.announced, message.rollback,
        message.over_ms if message.HasField("over_ms") else None,
    )  # fmt: skip
    times = (generation.begins_ms, generation.overlap_ms, generation.over_ms or 0.0)
    if generation.problems() or not all(isfinite(time) for time in times):
        raise MalformedMessageError(f"invalid generation: {'; '.join(generation.problems()) or 'times are not finite'}")
    return generation
