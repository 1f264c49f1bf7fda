"""Messages between configuration replicas as protobuf frames, and back. Malformed where a frame is none of them."""

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
    """What a heartbeat carries."""
    return pb.ConfigurationDigest(changes=digest.changes, outcome=digest.outcome)


def encode_message(message: Message) -> bytes:
    """The frame of a message."""
    return pb.PeerFrame(configuration=_written(message)).SerializeToString()


def configuration_message_of(frame: pb.PeerFrame) -> Message | None:
    """The message in a frame, or in a heartbeat; None where there is none, or one of a kind of a later version."""
    kind = frame.WhichOneof("word")
    if kind == "beat" and frame.beat.HasField("configuration"):
        return _digest(frame.beat.configuration)
    if kind != "configuration":
        return None
    inner = frame.configuration.WhichOneof("message")
    return None if inner is None else _READERS[inner](getattr(frame.configuration, inner))


# Out


def _written(message: Message) -> pb.ConfigurationMessage:
    if isinstance(message, Digest):
        return pb.ConfigurationMessage(digest=encode_digest(message))
    if isinstance(message, Summary):
        summary = pb.ConfigurationSummary(
            cut=_position(message.cut), base_digest=message.base_digest, live=message.live
        )
        return pb.ConfigurationMessage(summary=summary)
    if isinstance(message, Changes):
        changes = pb.ConfigurationChanges(changes=[_change(change) for change in message.changes])
        return pb.ConfigurationMessage(changes=changes)
    if isinstance(message, SnapshotRequest):
        return pb.ConfigurationMessage(snapshot_request=pb.ConfigurationSnapshotRequest())
    if isinstance(message, Snapshot):
        return pb.ConfigurationMessage(snapshot=_snapshot(message))
    if isinstance(message, VerdictsRequest):
        return pb.ConfigurationMessage(verdicts_request=pb.ConfigurationVerdictsRequest())
    verdicts = pb.ConfigurationVerdicts(
        changes=message.changes, outcome=message.outcome, cut=_position(message.cut), refused=message.refused
    )
    return pb.ConfigurationMessage(verdicts=verdicts)


def _position(position: Position) -> pb.ConfigurationPosition:
    return pb.ConfigurationPosition(clock=position.clock, origin=position.origin)


def _edit(edit: Edit) -> pb.ConfigurationEdit:
    replaces = None if edit.replaces is None else _position(edit.replaces)
    return pb.ConfigurationEdit(key=edit.key, value=canonical_json(edit.value), removed=edit.removed, replaces=replaces)


def _change(change: Change) -> pb.ConfigurationChange:
    return pb.ConfigurationChange(
        position=_position(change.position),
        author=change.author,
        comment=change.comment,
        made_ms=change.made_ms,
        edits=[_edit(edit) for edit in change.edits],
        baseline=change.baseline,
    )


def _snapshot(snapshot: Snapshot) -> pb.ConfigurationSnapshot:
    settings = [
        pb.ConfigurationSetting(key=record.key, value=canonical_json(record.value), setter=_position(record.setter))
        for record in snapshot.settings
    ]
    return pb.ConfigurationSnapshot(
        cut=_position(snapshot.cut),
        digest=snapshot.digest,
        settings=settings,
        fingerprints=snapshot.fingerprints,
        forgotten=snapshot.forgotten,
    )


# In


def read_value(text: str) -> Value:
    """A key's value from its JSON; Malformed where it is none, or holds a number that isn't finite."""
    try:
        value = json.loads(text, parse_constant=_not_finite)
        canonical_json(value).encode()
    except (ValueError, RecursionError) as error:  # lone surrogates and overflowing floats included
        raise MalformedMessageError("a value that isn't JSON") from error
    return value


def _not_finite(text: str) -> Never:
    raise ValueError(f"{text} isn't a number of JSON")


def _text(text: str, most: int = MAX_TEXT_CHARS) -> str:
    if len(text) > most:
        raise MalformedMessageError(f"a text of more than {most} characters")
    return text


def _read_position(position: pb.ConfigurationPosition) -> Position:
    if position.clock > MAX_CLOCK:
        raise MalformedMessageError("a clock that can't be")
    return Position(position.clock, _text(position.origin))


def _read_edit(edit: pb.ConfigurationEdit) -> Edit:
    replaces = _read_position(edit.replaces) if edit.HasField("replaces") else None
    return Edit(_text(edit.key), read_value(edit.value), edit.removed, replaces)


def _read_change(change: pb.ConfigurationChange) -> Change:
    if not isfinite(change.made_ms):
        raise MalformedMessageError("a time that isn't finite")
    return Change(
        _read_position(change.position),
        _text(change.author),
        _text(change.comment, MAX_COMMENT_CHARS),
        change.made_ms,
        tuple(_read_edit(edit) for edit in change.edits),
        change.baseline,
    )


def _digest(digest: pb.ConfigurationDigest) -> Digest:
    return Digest(digest.changes, digest.outcome)


def _summary(summary: pb.ConfigurationSummary) -> Summary:
    return Summary(_read_position(summary.cut), summary.base_digest, tuple(summary.live))


def _changes(changes: pb.ConfigurationChanges) -> Changes:
    return Changes(tuple(_read_change(change) for change in changes.changes))


def _read_snapshot(snapshot: pb.ConfigurationSnapshot) -> Snapshot:
    settings = tuple(
        SettingRecord(_text(setting.key), read_value(setting.value), _read_position(setting.setter))
        for setting in snapshot.settings
    )
    return Snapshot(
        _read_position(snapshot.cut), snapshot.digest, settings, tuple(snapshot.fingerprints), snapshot.forgotten
    )


def _verdicts(verdicts: pb.ConfigurationVerdicts) -> Verdicts:
    return Verdicts(verdicts.changes, verdicts.outcome, _read_position(verdicts.cut), tuple(verdicts.refused))


_READERS: dict[str, Callable[[Any], Message]] = {
    "digest": _digest,
    "summary": _summary,
    "changes": _changes,
    "snapshot_request": lambda _: SnapshotRequest(),
    "snapshot": _read_snapshot,
    "verdicts_request": lambda _: VerdictsRequest(),
    "verdicts": _verdicts,
}
