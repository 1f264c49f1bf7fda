"""The gRPC service for operators' requests about the configuration, on the placer's port."""

from __future__ import annotations

import json

from sprucepost.configuration import KeyEdit, Proposal, Receipt, Version
from sprucepost.configuration.change import Position
from sprucepost.loop import Co, Loop
from sprucepost.peers.codec import MalformedMessageError
from sprucepost.peers.configuration_codec import read_value
from sprucepost.placer.configuration import PlacerConfiguration
from sprucepost.v1 import configuration_pb2 as pb
from sprucepost.wire.server import Method, ServerCall, unary

SERVICE = "sprucepost.v1.Configuration"
SHOW_PATH = f"/{SERVICE}/Show"
PROPOSE_PATH = f"/{SERVICE}/Propose"


class ConfigurationService:
    """Answers requests from one placer's configuration."""

    def __init__(self, loop: Loop, configuration: PlacerConfiguration) -> None:
        self._loop, self._configuration = loop, configuration

    def methods(self) -> dict[str, Method]:
        """Return the service's methods by path."""
        return {
            SHOW_PATH: unary(pb.ConfigurationShowRequest.FromString, self._show),
            PROPOSE_PATH: unary(pb.ConfigurationProposal.FromString, self._propose),
        }

    def _show(self, request: pb.ConfigurationShowRequest, call: ServerCall) -> Co[pb.ConfigurationShown]:
        return pb.ConfigurationShown(json=json.dumps(self._configuration.status()))
        yield

    def _propose(self, request: pb.ConfigurationProposal, call: ServerCall) -> Co[pb.ConfigurationReceipt]:
        receipt = self._decide(request)
        position = "" if receipt.position is None else str(receipt.position)
        return pb.ConfigurationReceipt(version=str(receipt.version), position=position, refusal=receipt.refusal)
        yield

    def _decide(self, request: pb.ConfigurationProposal) -> Receipt:
        configuration = self._configuration
        if not configuration.options.takes_changes:
            return self._refusal("this placer takes no changes: placer.peers.configuration.takes_changes is false")
        try:
            if request.rollback_to:
                position = parse_position(request.rollback_to)
                return configuration.rollback(position, request.author, request.comment)
            return configuration.propose(self._proposal(request))
        except (MalformedMessageError, ValueError) as error:
            return self._refusal(str(error))

    def _refusal(self, reason: str) -> Receipt:
        return Receipt(self._configuration.replica.version, refusal=reason)

    def _proposal(self, request: pb.ConfigurationProposal) -> Proposal:
        return Proposal(
            tuple(_key_edit(edit) for edit in request.edits),
            request.author,
            request.comment,
            self._loop.wall(),
            parse_version(request.against) if request.against else None,
        )


def _key_edit(edit: pb.ConfigurationKeyEdit) -> KeyEdit:
    if edit.removed:
        return KeyEdit(edit.key, removed=True)
    try:
        return KeyEdit(edit.key, read_value(edit.value))
    except MalformedMessageError as error:
        raise MalformedMessageError(f"{edit.key}: {error}") from error


def parse_position(text: str) -> Position:
    """Parse a position as the history shows it. Raises ValueError with one line if the text is not a position."""
    clock, _, origin = text.partition("@")
    if not clock.isdecimal() or not origin:
        raise ValueError(f"{text!r} isn't a change: CLOCK@ORIGIN, as the history shows it")
    return Position(int(clock), origin)


def parse_version(text: str) -> Version:
    """Parse a version as the status shows it. Raises ValueError with one line if the text is not a version."""
    number, _, digest = text.partition("-")
    try:
        return Version(int(number), int(digest, 16))
    except ValueError:
        raise ValueError(f"{text!r} isn't a version: NUMBER-DIGEST, as the status shows it") from None
