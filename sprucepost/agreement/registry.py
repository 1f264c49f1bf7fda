"""What is agreed on: small values with versions, sessions, leases. A function of the log, the same at every keeper.

=======  ======================  ===================================================  ====================================
a lease  when                    what holds                                           ends
=======  ======================  ===================================================  ====================================
free     nobody has it           whoever asks gets it, with a number greater than     asked for
                                 all before: who acts under it shows that number
held     asked for while free    nobody else gets it; renewed by its holder           released; its session is over; not
                                                                                      renewed for its time
=======  ======================  ===================================================  ====================================

Time is the log's own: its leader says how much has passed by its monotonic clock (:class:`Pass`), and between two leaders
none passes, so a lease lasts longer where the lead changes, never shorter. For the same reason a lease and a session count
from the next ``Pass``: what that tells may have passed before they began. A holder counts from before it asked, by its own
clock, and stops at :func:`safe_ms`: however two clocks drift within ``DRIFT``, it stops before anybody else begins. No wall
clock is read.

A session makes commands exactly-once: it numbers them, and its latest answer is kept, so that a command that is repeated
after its leader died is answered and not done again.
"""

from __future__ import annotations

from collections import deque
from typing import Annotated

from msgspec import DecodeError, Meta, Struct, msgpack

DRIFT = 0.05  # how much faster or slower than true time a monotonic clock may go


class Put(Struct, tag="put", frozen=True):
    """Set a value; ``expect``: only if that is its version, 0: only if there is none, None: whatever there is."""

    key: str
    value: bytes
    expect: int | None = None


class Delete(Struct, tag="delete", frozen=True):
    key: str
    expect: int | None = None


class Acquire(Struct, tag="acquire", frozen=True):
    """A lease for that long."""

    lease: str
    ms: Annotated[float, Meta(gt=0)]


class Renew(Struct, tag="renew", frozen=True):
    lease: str
    fence: int


class Release(Struct, tag="release", frozen=True):
    lease: str
    fence: int


class Enter(Struct, tag="enter", frozen=True):
    """A new session of that client; its number is the answer. It is over when nothing is heard of it for so long."""

    client: str
    ms: Annotated[float, Meta(gt=0)] = 30_000.0


class Leave(Struct, tag="leave", frozen=True):
    session: int


class Do(Struct, tag="do", frozen=True):
    """A session's command with that number, counted from 1; None keeps the session alive."""

    session: int
    number: int
    what: Put | Delete | Acquire | Renew | Release | None = None


class Pass(Struct, tag="pass", frozen=True):
    """So much time has passed since the leader's last one, or since it was elected."""

    ms: Annotated[float, Meta(ge=0)]


Command = Enter | Leave | Do | Pass


class Answer(Struct, frozen=True):
    """``ok`` or ``why`` not; ``number``: a version, a session or a lease's fence. ``holder``: who has the lease instead."""

    ok: bool
    number: int = 0
    why: str = ""
    holder: str = ""


class Value(Struct, frozen=True):
    value: bytes
    version: int  # the place in the log that set it


class Lease(Struct):
    session: int
    fence: int
    ms: float
    until: float | None = None  # the log's time; None: counted from the next ``Pass``


class Session(Struct):
    client: str
    ms: float
    until: float | None = None  # likewise
    number: int = 0
    answer: Answer | None = None  # to that number


class Change(Struct, frozen=True):
    """What watchers are told: a value is another, or with None is gone."""

    at: int
    key: str
    value: bytes | None


class Limits(Struct, frozen=True):
    """What the registry may hold; more is answered ``full``."""

    keys: int = 10_000
    value: int = 4096
    sessions: int = 4096
    leases: int = 10_000
    name: int = 256
    changes: int = 1024  # kept for watchers that come back


class _State(Struct):
    at: int = 0
    now: float = 0.0
    values: dict[str, Value] = {}
    leases: dict[str, Lease] = {}
    sessions: dict[int, Session] = {}
    fence: int = 0


def safe_ms(ms: float) -> float:
    """For how long, by its own clock and from before it asked, a holder may act under a lease of that length."""
    return ms * (1 - DRIFT) / (1 + DRIFT)


def encode(command: Command) -> bytes:
    return msgpack.encode(command)


class Registry:
    """Feed :meth:`apply` with what is settled, in order."""

    def __init__(self, limits: Limits = Limits()) -> None:  # noqa: B008 - frozen
        self._limits = limits
        self._state = _State()
        self._changes: deque[Change] = deque(maxlen=limits.changes)
        self._oldest = 0  # changes up to there are not kept

    # Reads

    @property
    def at(self) -> int:
        """The place in the log up to which this is."""
        return self._state.at

    def get(self, key: str) -> Value | None:
        return self._state.values.get(key)

    def keys(self, prefix: str = "") -> list[str]:
        return sorted(key for key in self._state.values if key.startswith(prefix))

    def holder(self, lease: str) -> tuple[str, int] | None:
        """Who has it, and its fence."""
        held = self._state.leases.get(lease)
        return None if held is None else (self._state.sessions[held.session].client, held.fence)

    def since(self, at: int, prefix: str = "") -> list[Change] | None:
        """Changes after that place in the log; None where they are not kept any more: read everything, and go on there."""
        if at < self._oldest:
            return None
        return [change for change in self._changes if change.at > at and change.key.startswith(prefix)]

    # Snapshots

    def snapshot(self) -> bytes:
        return msgpack.encode(self._state)

    def restore(self, data: bytes) -> None:
        """Take that state; watchers have to read everything."""
        self._state = msgpack.decode(data, type=_State) if data else _State()
        self._changes.clear()
        self._oldest = self._state.at

    # Commands

    def apply(self, at: int, command: bytes | None) -> Answer:
        """What is settled at the next place in the log; what cannot be read changes nothing, at every keeper alike."""
        assert at == self._state.at + 1, "in order, each once"
        self._state.at = at
        if command is None:
            return Answer(True)
        try:
            what: Command = msgpack.decode(command, type=Command)
        except DecodeError:
            return Answer(False, why="unreadable")
        if isinstance(what, Pass):
            self._pass(what.ms)
            return Answer(True)
        if isinstance(what, Enter):
            return self._enter(what)
        if isinstance(what, Leave):
            return self._leave(what.session)
        return self._do(what)

    def _pass(self, ms: float) -> None:
        state = self._state
        state.now += ms
        for number in [number for number, session in state.sessions.items() if self._over(session)]:
            self._leave(number)
        for name in [name for name, lease in state.leases.items() if self._over(lease)]:
            del state.leases[name]

    def _over(self, what: Lease | Session) -> bool:
        now = self._state.now
        if what.until is None:
            what.until = now + what.ms
        return what.until <= now

    def _enter(self, what: Enter) -> Answer:
        state = self._state
        if len(state.sessions) >= self._limits.sessions or len(what.client) > self._limits.name:
            return Answer(False, why="full")
        state.sessions[state.at] = Session(what.client, what.ms)
        return Answer(True, state.at)

    def _leave(self, number: int) -> Answer:
        state = self._state
        if state.sessions.pop(number, None) is None:
            return Answer(False, why="no such session")
        state.leases = {name: lease for name, lease in state.leases.items() if lease.session != number}
        return Answer(True)

    def _do(self, what: Do) -> Answer:
        state = self._state
        session = state.sessions.get(what.session)
        if session is None:
            return Answer(False, why="no such session")
        session.until = None
        if what.what is None:
            return Answer(True)
        if what.number <= session.number:  # again: the answer, where it is the latest, and never the deed
            again = session.answer if what.number == session.number else None
            return again or Answer(False, why="answered before, and not kept")
        session.number = what.number
        session.answer = self._done(what.session, what.what)
        return session.answer

    def _done(self, session: int, what: Put | Delete | Acquire | Renew | Release) -> Answer:
        if isinstance(what, Put | Delete):
            return self._change(what)
        state, held = self._state, self._state.leases.get(what.lease)
        if isinstance(what, Acquire):
            if held is not None and held.session != session:
                return Answer(False, held.fence, "held", state.sessions[held.session].client)
            if held is None and (len(state.leases) >= self._limits.leases or len(what.lease) > self._limits.name):
                return Answer(False, why="full")
            state.fence += 1  # also for who has it already: what it did before is not what it does now
            state.leases[what.lease] = Lease(session, state.fence, what.ms)
            return Answer(True, state.fence)
        if held is None or held.session != session or held.fence != what.fence:
            return Answer(False, why="not held")
        if isinstance(what, Renew):
            held.until = None
        else:
            del state.leases[what.lease]
        return Answer(True, what.fence)

    def _change(self, what: Put | Delete) -> Answer:
        state, held = self._state, self._state.values.get(what.key)
        version = held.version if held is not None else 0
        if what.expect is not None and what.expect != version:
            return Answer(False, version, "another version")
        if isinstance(what, Delete):
            if held is None:
                return Answer(False, why="no such key")
            del state.values[what.key]
            self._told(what.key, None)
            return Answer(True, version)
        full = held is None and len(state.values) >= self._limits.keys
        if full or len(what.value) > self._limits.value or len(what.key) > self._limits.name:
            return Answer(False, why="full")
        state.values[what.key] = Value(what.value, state.at)
        self._told(what.key, what.value)
        return Answer(True, state.at)

    def _told(self, key: str, value: bytes | None) -> None:
        if len(self._changes) == self._changes.maxlen:
            self._oldest = self._changes[0].at
        self._changes.append(Change(self._state.at, key, value))
