"""Commands of the registry, as stored in the replicated log, and their results."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

from msgspec import Meta, Struct, msgpack

DEFAULT_SESSION_TTL_MS = 30_000.0


class Put(Struct, tag="put", frozen=True):
    """Set a value; ``expected_version``: only if it has that version; 0: only if there is none; None: always."""

    key: str
    value: bytes
    expected_version: int | None = None


class Delete(Struct, tag="delete", frozen=True):
    """Remove a value; ``expected_version`` as in :class:`Put`."""

    key: str
    expected_version: int | None = None


class AcquireLease(Struct, tag="acquire_lease", frozen=True):
    """Acquire a lease for that time to live."""

    lease: str
    ttl_ms: Annotated[float, Meta(gt=0)]


class RenewLease(Struct, tag="renew_lease", frozen=True):
    """Extend a lease by its time to live, from now on."""

    lease: str
    fencing_token: int


class ReleaseLease(Struct, tag="release_lease", frozen=True):
    """Release a lease before it expires."""

    lease: str
    fencing_token: int


Operation = Put | Delete | AcquireLease | RenewLease | ReleaseLease


class OpenSession(Struct, tag="open_session", frozen=True):
    """Open a session of that client; the result is its number. It expires after ``ttl_ms`` without a command."""

    client: str
    ttl_ms: Annotated[float, Meta(gt=0)] = DEFAULT_SESSION_TTL_MS


class CloseSession(Struct, tag="close_session", frozen=True):
    """End a session and release its leases."""

    session: int


class SessionCommand(Struct, tag="session_command", frozen=True):
    """A session's operation, numbered from 1; without an operation it only keeps the session alive."""

    session: int
    sequence: int
    operation: Operation | None = None


class AdvanceClock(Struct, tag="advance_clock", frozen=True):
    """Advances the log's time by what has passed since the leader's previous one, or since its election."""

    elapsed_ms: Annotated[float, Meta(ge=0)]


Command = OpenSession | CloseSession | SessionCommand | AdvanceClock


class Refusal(StrEnum):
    """Why a command was not carried out."""

    UNREADABLE = "unreadable"
    FULL = "full"
    NO_SESSION = "no such session"
    NO_KEY = "no such key"
    STALE_SEQUENCE = "answered before, and not kept"
    VERSION_MISMATCH = "another version"
    LEASE_TAKEN = "held"
    LEASE_NOT_HELD = "not held"


class Result(Struct, frozen=True):
    """``number``: a version, a session or a fencing token. ``holder``: the client that holds the lease instead."""

    number: int = 0
    refusal: Refusal | None = None
    holder: str = ""

    @property
    def ok(self) -> bool:
        """Whether the command was carried out."""
        return self.refusal is None


def encode(command: Command) -> bytes:
    """The command as stored in the log."""
    return msgpack.encode(command)


def decode(data: bytes) -> Command:
    """The command that was encoded; raises :class:`msgspec.DecodeError` for anything else."""
    return msgpack.decode(data, type=Command)
