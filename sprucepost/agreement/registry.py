"""The replicated state: small values with versions, sessions and leases. It depends on the log alone.

=======  ======================  ===================================================  ====================================
a lease  when                    what holds                                           ends
=======  ======================  ===================================================  ====================================
free     no client holds it      the first client to ask acquires it, with a fencing  acquired
                                 token greater than all before, which it must
                                 present with each action
held     acquired while free     no other client can acquire it; its holder renews    released; its session ends; not
                                 it                                                   renewed within its time to live
=======  ======================  ===================================================  ====================================

Time is kept in the log: the leader reports how much has passed on its monotonic clock (``AdvanceClock``). Between two
leaders no time passes, so a change of the leader can only prolong a lease. For the same reason the time to live of a
lease or session starts at the next ``AdvanceClock``: the time that this one reports may have passed before they began.
A holder counts on its own clock, from before its request, and stops acting after :func:`safe_ttl_ms`: it stops before
another client can acquire the lease, as long as no clock drifts by more than ``MAX_CLOCK_DRIFT``. No wall clock is
read.

A session executes its commands exactly once: they are numbered and the latest result is kept, so that a command that a
client repeats after a leader failed is answered and not executed again.
"""

from __future__ import annotations

from collections import deque

from msgspec import DecodeError, Struct, msgpack

from sprucepost.agreement.commands import (
    AcquireLease,
    AdvanceClock,
    CloseSession,
    Command,
    Delete,
    OpenSession,
    Operation,
    Put,
    Refusal,
    ReleaseLease,
    RenewLease,
    Result,
    SessionCommand,
    decode,
)

MAX_CLOCK_DRIFT = 0.05  # relative; how much faster or slower than true time a monotonic clock may run


class Value(Struct, frozen=True):
    """A value; ``version`` is the index of the log entry that set it."""

    value: bytes
    version: int


class Lease(Struct):
    """A lease that is held. ``expires_at`` is in the log's time, ms; None: set by the next ``AdvanceClock``."""

    session: int
    fencing_token: int
    ttl_ms: float
    expires_at: float | None = None


class Session(Struct):
    """A client's session; ``expires_at`` as in :class:`Lease`, ``last_result`` that of ``last_sequence``."""

    client: str
    ttl_ms: float
    expires_at: float | None = None
    last_sequence: int = 0
    last_result: Result | None = None


class ValueChanged(Struct, frozen=True):
    """A change that watchers receive: the new value, None if it was deleted."""

    index: int
    key: str
    value: bytes | None


class Limits(Struct, frozen=True):
    """Limits on what the registry holds; more is refused as ``FULL``."""

    keys: int = 10_000
    value_bytes: int = 4096
    sessions: int = 4096
    leases: int = 10_000
    name_length: int = 256
    changes: int = 1024  # kept for watchers that reconnect


class _State(Struct):
    applied_index: int = 0
    now: float = 0.0
    values: dict[str, Value] = {}
    leases: dict[str, Lease] = {}
    sessions: dict[int, Session] = {}
    last_fencing_token: int = 0


def safe_ttl_ms(ttl_ms: float) -> float:
    """How long a holder may act under a lease of that time to live, on its own clock and from before its request."""
    return ttl_ms * (1 - MAX_CLOCK_DRIFT) / (1 + MAX_CLOCK_DRIFT)


class Registry:
    """The state machine: pass the committed entries to :meth:`apply`, in order."""

    def __init__(self, limits: Limits = Limits()) -> None:  # noqa: B008 - frozen
        self._limits = limits
        self._state = _State()
        self._changes: deque[ValueChanged] = deque(maxlen=limits.changes)
        self._changes_dropped_to = 0  # changes up to that log index are no longer kept

    # Reads

    @property
    def applied_index(self) -> int:
        """Index of the last applied log entry."""
        return self._state.applied_index

    def get(self, key: str) -> Value | None:
        """The value of a key, None if there is none."""
        return self._state.values.get(key)

    def keys(self, prefix: str = "") -> list[str]:
        """The keys that begin with a prefix, sorted."""
        return sorted(key for key in self._state.values if key.startswith(prefix))

    def lease_holder(self, lease: str) -> tuple[str, int] | None:
        """The client that holds the lease, and its fencing token; None if it is free."""
        held = self._state.leases.get(lease)
        return None if held is None else (self._state.sessions[held.session].client, held.fencing_token)

    def changes_after(self, index: int, prefix: str = "") -> list[ValueChanged] | None:
        """Changes after that log index; None if they are no longer kept: the watcher must read all values again."""
        if index < self._changes_dropped_to:
            return None
        return [change for change in self._changes if change.index > index and change.key.startswith(prefix)]

    # Snapshots

    def snapshot(self) -> bytes:
        """The whole state, for :meth:`restore`."""
        return msgpack.encode(self._state)

    def restore(self, data: bytes) -> None:
        """Replace the state; watchers must read all values again."""
        self._state = msgpack.decode(data, type=_State) if data else _State()
        self._changes.clear()
        self._changes_dropped_to = self._state.applied_index

    # Commands

    def apply(self, index: int, command: bytes | None) -> Result:
        """Apply the next log entry; one that cannot be decoded changes nothing, on all servers alike."""
        assert index == self._state.applied_index + 1, "in order, each once"
        self._state.applied_index = index
        if command is None:
            return Result()
        try:
            decoded = decode(command)
        except DecodeError:
            return Result(refusal=Refusal.UNREADABLE)
        return self._execute(decoded)

    def _execute(self, command: Command) -> Result:
        match command:
            case AdvanceClock():
                return self._advance_clock(command.elapsed_ms)
            case OpenSession():
                return self._open_session(command)
            case CloseSession():
                return self._close_session(command.session)
            case SessionCommand():
                return self._execute_once(command)

    def _advance_clock(self, elapsed_ms: float) -> Result:
        state = self._state
        state.now += elapsed_ms
        for number in [number for number, session in state.sessions.items() if self._has_expired(session)]:
            self._close_session(number)
        for name in [name for name, lease in state.leases.items() if self._has_expired(lease)]:
            del state.leases[name]
        return Result()

    def _has_expired(self, item: Lease | Session) -> bool:
        """Whether its time to live is over; starts the time to live if it has not started yet."""
        now = self._state.now
        if item.expires_at is None:
            item.expires_at = now + item.ttl_ms
        return item.expires_at <= now

    def _open_session(self, command: OpenSession) -> Result:
        state = self._state
        if len(state.sessions) >= self._limits.sessions or len(command.client) > self._limits.name_length:
            return Result(refusal=Refusal.FULL)
        state.sessions[state.applied_index] = Session(command.client, command.ttl_ms)
        return Result(state.applied_index)

    def _close_session(self, number: int) -> Result:
        state = self._state
        if state.sessions.pop(number, None) is None:
            return Result(refusal=Refusal.NO_SESSION)
        state.leases = {name: lease for name, lease in state.leases.items() if lease.session != number}
        return Result()

    def _execute_once(self, command: SessionCommand) -> Result:
        """Execute a session's operation, or answer a repeated one with the kept result."""
        session = self._state.sessions.get(command.session)
        if session is None:
            return Result(refusal=Refusal.NO_SESSION)
        session.expires_at = None
        if command.operation is None:
            return Result()
        if command.sequence <= session.last_sequence:
            is_latest = command.sequence == session.last_sequence
            return (session.last_result if is_latest else None) or Result(refusal=Refusal.STALE_SEQUENCE)
        session.last_sequence = command.sequence
        session.last_result = self._operate(command.session, command.operation)
        return session.last_result

    def _operate(self, session: int, operation: Operation) -> Result:
        match operation:
            case Put():
                return self._put(operation)
            case Delete():
                return self._delete(operation)
            case AcquireLease():
                return self._acquire(session, operation)
            case RenewLease() | ReleaseLease():
                return self._renew_or_release(session, operation)

    def _acquire(self, session: int, operation: AcquireLease) -> Result:
        state, held = self._state, self._state.leases.get(operation.lease)
        if held is not None and held.session != session:
            return Result(held.fencing_token, Refusal.LEASE_TAKEN, state.sessions[held.session].client)
        is_full = len(state.leases) >= self._limits.leases or len(operation.lease) > self._limits.name_length
        if held is None and is_full:
            return Result(refusal=Refusal.FULL)
        # Also for its present holder: actions under the earlier lease must not count as later ones.
        state.last_fencing_token += 1
        state.leases[operation.lease] = Lease(session, state.last_fencing_token, operation.ttl_ms)
        return Result(state.last_fencing_token)

    def _renew_or_release(self, session: int, operation: RenewLease | ReleaseLease) -> Result:
        held = self._state.leases.get(operation.lease)
        if held is None or held.session != session or held.fencing_token != operation.fencing_token:
            return Result(refusal=Refusal.LEASE_NOT_HELD)
        if isinstance(operation, RenewLease):
            held.expires_at = None
        else:
            del self._state.leases[operation.lease]
        return Result(operation.fencing_token)

    def _put(self, operation: Put) -> Result:
        state = self._state
        if mismatch := self._version_mismatch(operation):
            return mismatch
        is_full = operation.key not in state.values and len(state.values) >= self._limits.keys
        is_long = len(operation.value) > self._limits.value_bytes or len(operation.key) > self._limits.name_length
        if is_full or is_long:
            return Result(refusal=Refusal.FULL)
        state.values[operation.key] = Value(operation.value, state.applied_index)
        self._record_change(operation.key, operation.value)
        return Result(state.applied_index)

    def _delete(self, operation: Delete) -> Result:
        if mismatch := self._version_mismatch(operation):
            return mismatch
        removed = self._state.values.pop(operation.key, None)
        if removed is None:
            return Result(refusal=Refusal.NO_KEY)
        self._record_change(operation.key, None)
        return Result(removed.version)

    def _version_mismatch(self, operation: Put | Delete) -> Result | None:
        """The refusal of an operation that expects another version; None if the version matches."""
        held = self._state.values.get(operation.key)
        version = held.version if held is not None else 0
        if operation.expected_version is None or operation.expected_version == version:
            return None
        return Result(version, Refusal.VERSION_MISMATCH)

    def _record_change(self, key: str, value: bytes | None) -> None:
        if len(self._changes) == self._changes.maxlen:
            self._changes_dropped_to = self._changes[0].index
        self._changes.append(ValueChanged(self._state.applied_index, key, value))
