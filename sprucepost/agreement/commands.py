"""Commands of the registry, as they stand in the replicated log, and their results."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

from msgspec import Meta, Struct, msgpack

DEFAULT_SESSION_TTL_MS = 30_000.0


class Put(Struct, tag="put", frozen=True):
    """Set a value; ``expected_version``: only if it has that version, 0: only if there is none, None: in any case."""

    key: str
    value: bytes
    expected_version: int | None = None


class Delete(Struct, tag="delete", frozen=True):
    """Remove a value; ``expected_version`` as in :class:`Put`."""

    key: str
    expected_version: int | None = None


class AcquireLease(Struct, tag="acquire_lease", frozen=True):
    """Take a lease for that long."""

    lease: str
    ttl_ms: Annotated[float, Meta(gt=0)]


class RenewLease(Struct, tag="renew_lease", frozen=True):
    """Hold a lease for its time to live again."""

    lease: str
    fencing_token: int


class ReleaseLease(Struct, tag="release_lease", frozen=True):
    """Give a lease back."""

    lease: str
    fencing_token: int


Operation = Put | Delete | AcquireLease | RenewLease | ReleaseLease


class OpenSession(Struct, tag="open_session", frozen=True):
    """Open a session of that client; its number is the result. It expires when nothing is heard of it for ``ttl_ms``."""

    client: str
    ttl_ms: Annotated[float, Meta(gt=0)] = DEFAULT_SESSION_TTL_MS


class CloseSession(Struct, tag="close_session", frozen=True):
    """End a session, and its leases."""

    session: int


class SessionCommand(Struct, tag="session_command", frozen=True):
    """A session's operation, numbered from 1; without an operation it keeps the session alive."""

    session: int
    sequence: int
    operation: Operation | None = None


class AdvanceClock(Struct, tag="advance_clock", frozen=True):
    """The time since the leader's last one, or since it was elected."""

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
    """``number``: a version, a session or a fencing token. ``holder``: who has the lease instead."""

    number: int = 0
    refusal: Refusal | None = None
    holder: str = ""

    @property
    def ok(self) -> bool:
        return self.refusal is None


def encode(command: Command) -> bytes:
    """The command as it stands in the log."""
    return msgpack.encode(command)


def decode(data: bytes) -> Command:
    """The command that was encoded; :class:`msgspec.DecodeError`."""
    return msgpack.decode(data, type=Command)
