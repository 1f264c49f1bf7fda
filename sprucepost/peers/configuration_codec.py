"""Encodes the messages between configuration replicas as protobuf frames, and decodes them.

All malformed input raises MalformedMessageError.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from math import isfinite
from typing import Any, Never

from sprucepost.configuration.change import MAX_CLOCK, Change, Edit, Position
from sprucepost.configuration.document import Value, canonical_json
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
from sprucepost.peers.codec import MAX_TEXT_CHARS, MalformedMessageError
from sprucepost.v1 import peer_pb2 as pb

MAX_COMMENT_CHARS = 4 * MAX_TEXT_CHARS  # characters


def encode_digest(digest: Digest) -> pb.ConfigurationDigest:
    """Returns the digest as it is sent with a heartbeat."""
    return pb.ConfigurationDigest(changes=digest.changes, outcome=digest.outcome)


def encode_message(message: Message) -> bytes:
    """Returns the frame of a message."""
    return pb.PeerFrame(configuration=_encode(message)).SerializeToString()


def configuration_message_of(frame: pb.PeerFrame) -> Message | None:
    """Returns the configuration message in a frame or heartbeat.

    None if there is none, or one of a kind that this version does not know.
    """
    kind = frame.WhichOneof("word")
    if kind == "beat" and frame.beat.HasField("configuration"):
        return _decode_digest(frame.beat.configuration)
    if kind != "configuration":
        return None
    inner = frame.configuration.WhichOneof("message")
    return None if inner is None else _DECODERS[inner](getattr(frame.configuration, inner))


# Encoding


def _encode(message: Message) -> pb.ConfigurationMessage:
    if isinstance(message, Digest):
        return pb.ConfigurationMessage(digest=encode_digest(message))
    if isinstance(message, Summary):
        summary = pb.ConfigurationSummary(
            cut=_encode_position(message.cut), base_digest=message.base_digest, live=message.live
        )
        return pb.ConfigurationMessage(summary=summary)
    if isinstance(message, Changes):
        changes = pb.ConfigurationChanges(changes=[_encode_change(change) for change in message.changes])
        return pb.ConfigurationMessage(changes=changes)
    if isinstance(message, SnapshotRequest):
        return pb.ConfigurationMessage(snapshot_request=pb.ConfigurationSnapshotRequest())
    if isinstance(message, Snapshot):
        return pb.ConfigurationMessage(snapshot=_encode_snapshot(message))
    if isinstance(message, VerdictsRequest):
        return pb.ConfigurationMessage(verdicts_request=pb.ConfigurationVerdictsRequest())
    verdicts = pb.ConfigurationVerdicts(
        changes=message.changes, outcome=message.outcome, cut=_encode_position(message.cut), refused=message.refused
    )
    return pb.ConfigurationMessage(verdicts=verdicts)


def _encode_position(position: Position) -> pb.ConfigurationPosition:
    return pb.ConfigurationPosition(clock=position.clock, origin=position.origin)


def _encode_edit(edit: Edit) -> pb.ConfigurationEdit:
    replaces = None if edit.replaces is None else _encode_position(edit.replaces)
    return pb.ConfigurationEdit(key=edit.key, value=canonical_json(edit.value), removed=edit.removed, replaces=replaces)


def _encode_change(change: Change) -> pb.ConfigurationChange:
    return pb.ConfigurationChange(
        position=_encode_position(change.position),
        author=change.author,
        comment=change.comment,
        made_ms=change.made_ms,
        edits=[_encode_edit(edit) for edit in change.edits],
        baseline=change.baseline,
    )


def _encode_snapshot(snapshot: Snapshot) -> pb.ConfigurationSnapshot:
    settings = [
        pb.ConfigurationSetting(
            key=record.key, value=canonical_json(record.value), setter=_encode_position(record.setter)
        )
        for record in snapshot.settings
    ]
    return pb.ConfigurationSnapshot(
        cut=_encode_position(snapshot.cut),
        digest=snapshot.digest,
        settings=settings,
        fingerprints=snapshot.fingerprints,
        forgotten=snapshot.forgotten,
    )


# Decoding


def read_value(text: str) -> Value:
    """Parses the JSON value of a key; raises MalformedMessageError if it is invalid or holds a non-finite number."""
    try:
        value = json.loads(text, parse_constant=_not_finite)
        canonical_json(value).encode()
    except (ValueError, RecursionError) as error:  # also raised for lone surrogates and overflowing floats
        raise MalformedMessageError("a value that isn't JSON") from error
    return value


def _not_finite(text: str) -> Never:
    raise ValueError(f"{text} isn't a number of JSON")


def _checked_text(text: str, max_chars: int = MAX_TEXT_CHARS) -> str:
    if len(text) > max_chars:
        raise MalformedMessageError(f"a text of more than {max_chars} characters")
    return text


def _decode_position(position: pb.ConfigurationPosition) -> Position:
    if position.clock > MAX_CLOCK:
        raise MalformedMessageError("a clock that can't be")
    return Position(position.clock, _checked_text(position.origin))


def _decode_edit(edit: pb.ConfigurationEdit) -> Edit:
    replaces = _decode_position(edit.replaces) if edit.HasField("replaces") else None
    return Edit(_checked_text(edit.key), read_value(edit.value), edit.removed, replaces)


def _decode_change(change: pb.ConfigurationChange) -> Change:
    if not isfinite(change.made_ms):
        raise MalformedMessageError("a time that isn't finite")
    return Change(
        _decode_position(change.position),
        _checked_text(change.author),
        _checked_text(change.comment, MAX_COMMENT_CHARS),
        change.made_ms,
        tuple(_decode_edit(edit) for edit in change.edits),
        change.baseline,
    )


def _decode_digest(digest: pb.ConfigurationDigest) -> Digest:
    return Digest(digest.changes, digest.outcome)


def _decode_summary(summary: pb.ConfigurationSummary) -> Summary:
    return Summary(_decode_position(summary.cut), summary.base_digest, tuple(summary.live))


def _decode_changes(changes: pb.ConfigurationChanges) -> Changes:
    return Changes(tuple(_decode_change(change) for change in changes.changes))


def _decode_snapshot(snapshot: pb.ConfigurationSnapshot) -> Snapshot:
    settings = tuple(
        SettingRecord(_checked_text(setting.key), read_value(setting.value), _decode_position(setting.setter))
        for setting in snapshot.settings
    )
    return Snapshot(
        _decode_position(snapshot.cut), snapshot.digest, settings, tuple(snapshot.fingerprints), snapshot.forgotten
    )


def _decode_verdicts(verdicts: pb.ConfigurationVerdicts) -> Verdicts:
    return Verdicts(verdicts.changes, verdicts.outcome, _decode_position(verdicts.cut), tuple(verdicts.refused))


_DECODERS: dict[str, Callable[[Any], Message]] = {
    "digest": _decode_digest,
    "summary": _decode_summary,
    "changes": _decode_changes,
    "snapshot_request": lambda _: SnapshotRequest(),
    "snapshot": _decode_snapshot,
    "verdicts_request": lambda _: VerdictsRequest(),
    "verdicts": _decode_verdicts,
}
