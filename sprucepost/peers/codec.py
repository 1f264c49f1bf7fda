"""Words between members as protobuf frames, and back. What cannot be read is one error; unknown fields are passed over."""

from __future__ import annotations

from functools import lru_cache
from math import isfinite

from google.protobuf.message import DecodeError

from sprucepost.membership import Generation
from sprucepost.v1 import peer_pb2 as pb
from sprucepost.view.messages import Heartbeat, Hello, RecordUpdates, Summary, ViewMessage
from sprucepost.view.record import Record
from sprucepost.view.view import MAX_MEMBERS

MAX_TEXT_CHARS = 256  # characters of a name, a life, an address
MAX_SEEN_MEMBERS = 256  # streams that one member may claim


class MalformedMessageError(Exception):
    """What a peer sent is no word."""


def encode(word: ViewMessage, configuration: pb.ConfigurationDigest | None = None) -> bytes:
    """The frame of a word; a heartbeat's with the digest of the configuration, where the sender carries one."""
    if isinstance(word, Hello):
        frame = pb.PeerFrame(
            hello=pb.PeerHello(
                cluster=word.cluster,
                settings=word.settings,
                record=_record(word.record),
                fixed_settings=word.fixed_settings,
            )
        )
    elif isinstance(word, Heartbeat):
        frame = pb.PeerFrame(beat=pb.PeerBeat(digest=word.digest, configuration=configuration))
    elif isinstance(word, RecordUpdates):
        frame = pb.PeerFrame(news=pb.PeerNews(records=[_record(record) for record in word.records]))
    else:
        ages = [pb.PeerAge(name=name, incarnation=life, version=version) for name, life, version in word.ages]
        frame = pb.PeerFrame(summary=pb.PeerSummary(ages=ages, answer=word.answer))
    return frame.SerializeToString()


def parse(data: bytes) -> pb.PeerFrame:
    """The frame; Malformed where it is none."""
    try:
        return pb.PeerFrame.FromString(data)
    except DecodeError as error:
        raise MalformedMessageError("no frame") from error


def decode(data: bytes) -> ViewMessage | None:
    """The word of a frame, as ``word_of`` reads it."""
    return view_message_of(parse(data))


def view_message_of(frame: pb.PeerFrame) -> ViewMessage | None:
    """The word of a frame; None for one of a kind that is no word of the view, or that a later version may have. Malformed
    where it can't be."""
    kind = frame.WhichOneof("word")
    if kind == "hello":
        return Hello(frame.hello.cluster, frame.hello.settings, _read(frame.hello.record), frame.hello.fixed_settings)
    if kind == "beat":
        return Heartbeat(frame.beat.digest)
    if kind == "news":
        return RecordUpdates(tuple(_read(record) for record in frame.news.records))
    if kind == "summary":
        if len(frame.summary.ages) > MAX_MEMBERS:
            raise MalformedMessageError(f"a summary of {len(frame.summary.ages)} members")
        return Summary(
            tuple((age.name, age.incarnation, age.version) for age in frame.summary.ages), frame.summary.answer
        )
    return None


def _record(record: Record) -> pb.PeerRecord:
    return pb.PeerRecord(
        name=record.name, incarnation=record.incarnation, life=record.life, version=record.version,
        number=record.number, host=record.host, room=record.room, address=record.address,
        runs=_generation(record.generation), status=record.status, roles=record.roles,
        sees=[pb.PeerSight(name=name, life=life) for name, life in record.sees], left=record.left,
    )  # fmt: skip


def _read(record: pb.PeerRecord) -> Record:
    return _made(record.SerializeToString())


@lru_cache(maxsize=4096)  # each comes by many ways, most of it several times
def _made(data: bytes) -> Record:
    record = pb.PeerRecord.FromString(data)
    texts = (record.name, record.life, record.host, record.room, record.address, record.status, *record.roles)
    if not record.name or not record.life:
        raise MalformedMessageError("a record without a name or a life")
    if (
        max(map(len, texts)) > MAX_TEXT_CHARS
        or len(record.sees) > MAX_SEEN_MEMBERS
        or len(record.roles) > MAX_SEEN_MEMBERS
    ):
        raise MalformedMessageError("a record that is too long")
    return Record(
        name=record.name, incarnation=record.incarnation, life=record.life, version=record.version,
        number=record.number, host=record.host, room=record.room, address=record.address,
        generation=_runs(record.runs), status=record.status, roles=tuple(record.roles),
        sees=tuple((sight.name, sight.life) for sight in record.sees), left=record.left,
    )  # fmt: skip


def _generation(what: Generation) -> pb.PeerGeneration:
    return pb.PeerGeneration(
        number=what.number, size=what.size, previous=what.previous, begins_ms=what.begins_ms,
        overlap_ms=what.overlap_ms, announced=what.announced, rollback=what.rollback, over_ms=what.over_ms,
    )  # fmt: skip


def _runs(what: pb.PeerGeneration) -> Generation:
    found = Generation(
        what.number, what.size, what.previous if what.HasField("previous") else None, what.begins_ms, what.overlap_ms,
        what.announced, what.rollback, what.over_ms if what.HasField("over_ms") else None,
    )  # fmt: skip
    times = (found.begins_ms, found.overlap_ms, found.over_ms or 0.0)
    if found.problems() or not all(isfinite(time) for time in times):
        raise MalformedMessageError(
            f"a generation that cannot be: {'; '.join(found.problems()) or 'times without end'}"
        )
    return found
