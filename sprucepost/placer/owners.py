"""The Submit service: owners' sessions, which outlive their streams for a stated time."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

from sprucepost.admission import Admission, SessionTable
from sprucepost.loop import Loop, Timer
from sprucepost.v1 import placer_pb2 as pb
from sprucepost.wire.server import Method, ServerCall
from sprucepost.wire.session import Session, SessionBroken
from sprucepost.wire.status import Code, RpcError

PATH = "/sprucepost.v1.Placer/Submit"
ACK_MS = 50.0
CREDIT_MS = 100.0  # between two looks at how many asks owners may have open
BEHIND = 1_048_576  # bytes that an owner has not let out yet, over which its stream is ended; the session goes on


OUTCOMES = ("bound", "refused", "failed")


class OwnerSession:
    """One owner's session, with or without a stream.

    ``owed``: asks taken whose outcome has not been told, by task. A stream that its owner has half-closed (every
    command-line client does, after its last ask) goes on until there are none, and then ends OK.
    """

    def __init__(self, owners: Owners, token: bytes, owner: str) -> None:
        self._owners, self.token, self.owner = owners, token, owner
        self.session: Session[pb.PlacerFrame] = Session(owners.unacknowledged)
        self.call: ServerCall | None = None
        self.owed: Counter[str] = Counter()
        self.half_closed = False  # the owner asks nothing more on this stream
        self.batches = False  # it takes refused_all
        self.credit = False  # it takes credit
        self.told = 0  # the bound on its open asks that it was told last; 0: none
        self._unread: Timer | None = None  # until its stream is read again
        # Until when what arrives may have waited at the owner because we did not read, and for how long.
        self._stale = (0.0, 0.0)
        self._refused: pb.RefusedAll | None = None  # what is to go out at this turn's end
        self.forget: Timer | None = None
        self._ack_timer: Timer | None = None

    def refuse(self, task: str, why: str, retry_after_ms: float) -> None:
        """One frame for all that a turn refuses: numbered, kept, encoded and acknowledged once. Apart, refusing an ask
        cost a quarter of placing one, and a placer that had too much to do spent its time on saying so."""
        if retry_after_ms:
            self._leave_unread()
        if not self.batches:
            self.send(pb.PlacerFrame(task=task, refused=pb.Refused(why=why, retry_after_ms=retry_after_ms)))
            return
        batch = self._refused
        if batch is None or batch.why != why:
            self._send_refused()
            batch = self._refused = pb.RefusedAll(why=why, retry_from_ms=retry_after_ms, retry_to_ms=retry_after_ms)
            self._owners.loop.at_turn_end(self._send_refused)
        batch.tasks.append(task)
        if retry_after_ms > batch.retry_to_ms:
            batch.retry_to_ms = retry_after_ms
        elif retry_after_ms < batch.retry_from_ms:
            batch.retry_from_ms = retry_after_ms

    def _leave_unread(self) -> None:
        """Where refusing this session costs too much, its asks stay with the owner for a while."""
        loop, call = self._owners.loop, self.call
        if call is None or self._unread is not None:
            return
        pause_ms = self._owners.admission.read_pause_ms(self.token, loop.now())
        if pause_ms <= 0:
            return
        self._owners.counters["owner_unread"] += 1
        call.hold_window(True)

        def on() -> None:
            # What was asked meanwhile has waited at the owner, whose library may have written its time left before.
            self._unread, self._stale = None, (loop.now() + pause_ms, pause_ms)
            call.hold_window(False)

        self._unread = loop.call_later(pause_ms, on)

    def tell_credit(self, bound: int) -> None:
        """How many asks it may have open, where that has moved by an eighth or more."""
        if self.call is None or not self.credit or abs(bound - self.told) * 8 < max(bound, self.told):
            return
        if bound != self.told:
            self.told = bound
            self.call.send(pb.PlacerFrame(credit=pb.Credit(open=bound)).SerializeToString())

    def _send_refused(self) -> None:
        batch, self._refused = self._refused, None
        if batch is not None:
            self._send(pb.PlacerFrame(refused_all=batch))
            for task in batch.tasks:
                self.released(task, 1)

    def send(self, frame: pb.PlacerFrame) -> None:
        """A numbered frame; it goes out now or when the owner comes back. What was refused before it goes first: of two
        asks for one task the first must hear of its refusal before the second hears anything."""
        if self._refused is not None:
            self._send_refused()
        self._send(frame)

    def _send(self, frame: pb.PlacerFrame) -> None:
        try:
            frame.seq = self.session.assign_seq(frame)
        except SessionBroken as error:
            self._owners.counters["owner_unacknowledged"] += 1
            self._owners.end(self, RpcError(Code.RESOURCE_EXHAUSTED, str(error)))
            return
        told = frame.WhichOneof("body") in OUTCOMES
        call = self.call
        if call is None:
            if told:
                self.released(frame.task, 1)
            return
        frame.ack = self.session.ack()
        call.send(frame.SerializeToString())
        if told:
            self.released(frame.task, 1)
        if call.unsent_bytes > BEHIND:
            self._owners.counters["owner_behind"] += 1
            call.finish(RpcError(Code.RESOURCE_EXHAUSTED, "reads too slowly; resume the session"))

    def released(self, task: str, asks: int) -> None:
        """So many fewer outcomes are owed. A task that was handed over is told as bound too, without an ask."""
        if self.owed[task] > asks:
            self.owed[task] -= asks
        else:
            del self.owed[task]
        if not self.owed:
            self._owners.book.outcomes_delivered(self.token)
            self._end_if_done()

    def on_half_close(self, call: ServerCall) -> None:
        if call is self.call:  # else another stream has taken the session, and says for itself when it is done
            self.half_closed = True
            self._end_if_done()

    def _end_if_done(self) -> None:
        if self.half_closed and not self.owed and self.call is not None:
            self._ack()
            self.call.finish()

    def waited_ms(self) -> float:
        """How long, at most, the frame that is being taken had waited: in this host, or because we did not read."""
        until, pause_ms = self._stale
        unread = pause_ms if self._owners.loop.now() < until else 0.0
        return unread + (self.call.connection.transport.waited_ms if self.call is not None else 0.0)

    def ack_soon(self) -> None:
        if self._ack_timer is None:
            self._ack_timer = self._owners.loop.call_later(ACK_MS, self._ack)

    def _ack(self) -> None:
        self._ack_timer = None
        if self.call is not None and self.session.ack_due:
            self.call.send(pb.PlacerFrame(ack=self.session.ack()).SerializeToString())


class Owners:
    """All sessions. ``take(session, frame)`` gets each new frame once, in order."""

    def __init__(
        self,
        loop: Loop,
        number: int,
        incarnation: int,
        resume_ms: float,
        unacknowledged: int,
        book: SessionTable,
        admission: Admission[Any],
        take: Callable[[OwnerSession, pb.OwnerFrame], None],
    ) -> None:
        self.loop, self._number, self.incarnation = loop, number, incarnation
        self._resume_ms, self.unacknowledged, self._take = resume_ms, unacknowledged, take
        self.book, self.admission = book, admission
        self._credit_due = False
        self._each = 0  # the bound that owners were told last
        self.sessions: dict[bytes, OwnerSession] = {}
        self.counters: Counter[str] = Counter()

    def methods(self) -> dict[str, Method]:
        return {PATH: Method(attach=self._attach)}

    def tell(self, token: bytes, frame: pb.PlacerFrame) -> None:
        session = self.sessions.get(token)
        if session is not None:
            session.send(frame)

    def end(self, session: OwnerSession, status: RpcError) -> None:
        """Forget a session; its stream ends with that status."""
        self.sessions.pop(session.token, None)
        self.book.remove(session.token)
        if session.forget is not None:
            session.forget.cancel()
        call, session.call = session.call, None
        if call is not None:
            call.finish(status)

    def _attach(self, call: ServerCall) -> None:
        call.on_message = lambda data: self._hello(call, data)
        call.on_end = call.finish

    def _hello(self, call: ServerCall, data: bytes) -> None:
        frame = self._parse(data)
        if frame.WhichOneof("body") != "hello":
            raise RpcError(Code.INVALID_ARGUMENT, "hello must come first")
        hello = frame.hello
        session = self.sessions.get(hello.session) if hello.session else None
        resumed, again = session is not None, []
        if session is None:
            session = self._enter(call, hello.owner)
        else:
            try:
                again = session.session.resume(hello.last_seen)
            except SessionBroken as error:
                raise RpcError(Code.INVALID_ARGUMENT, str(error)) from None
            self.counters["owner_resumed"] += 1
            self.book.attach(session.token)
        if session.forget is not None:
            session.forget.cancel()
            session.forget = None
        old, session.call = session.call, call
        if old is not None:
            old.finish(RpcError(Code.ABORTED, "another stream has taken the session"))
        taken, session.half_closed, session.batches = session, False, hello.batches
        session.credit, session.told = hello.credit, 0
        call.on_message = lambda data: self._frame(taken, call, data)
        call.on_end = lambda: taken.on_half_close(call)
        call.on_done = lambda status: self._left(taken, call)
        welcome = pb.Welcome(
            session=session.token,
            resumed=resumed,
            last_seen=session.session.last_received,
            resume_ms=self._resume_ms,
            number=self._number,
            incarnation=self.incarnation,
        )
        call.send(pb.PlacerFrame(ack=session.session.ack(), welcome=welcome).SerializeToString())
        for seq, kept in again:
            kept.seq, kept.ack = seq, session.session.ack()
            call.send(kept.SerializeToString())
        if self._each:  # else owners that come back together ask for all that they have held
            session.tell_credit(self._each)

    def _enter(self, call: ServerCall, owner: str) -> OwnerSession:
        """A new session. Hellos alone cost memory for as long as a session may be resumed, so they are bounded."""
        session = OwnerSession(self, self.loop.token(16), owner)
        room, goes = self.book.add(session.token, str(call.connection.transport.peer).rsplit(":", 1)[0])
        if goes is not None:
            self.counters["owner_evicted"] += 1
            self.end(self.sessions[goes], RpcError(Code.ABORTED, "forgotten for a newer session"))
        if not room:
            self.counters["owner_sessions"] += 1
            raise RpcError(Code.RESOURCE_EXHAUSTED, "too many sessions")
        self.sessions[session.token] = session
        return session

    def _left(self, session: OwnerSession, call: ServerCall) -> None:
        if session.call is call:
            session.call = None
            self.book.detach(session.token, bool(session.owed))
            session.forget = self.loop.call_later(self._resume_ms, lambda: self._forget(session))

    def _forget(self, session: OwnerSession) -> None:
        if self.sessions.get(session.token) is session and session.call is None:
            del self.sessions[session.token]
            self.book.remove(session.token)
            self.counters["owner_forgotten"] += 1

    def _frame(self, session: OwnerSession, call: ServerCall, data: bytes) -> None:
        if session.call is not call:
            return
        frame = self._parse(data)
        try:
            session.session.receive_ack(frame.ack)
            fresh = bool(frame.seq) and session.session.accept(frame.seq)
        except SessionBroken as error:
            self.counters["owner_numbering"] += 1
            raise RpcError(Code.INVALID_ARGUMENT, str(error)) from None
        if fresh:
            session.ack_soon()
            if frame.WhichOneof("body") == "submit":
                session.owed[frame.task] += 1
                self._watch_credit()
            self._take(session, frame)

    # Credit

    def _watch_credit(self) -> None:
        if not self._credit_due:
            self._credit_due = True
            self.loop.call_later(CREDIT_MS, self._look_at_credit)

    def _look_at_credit(self) -> None:
        """Tell owners their bounds; again after an interval for as long as there are any."""
        self._credit_due = False
        self.admission.update_credit(self.loop.now())
        was = self._each
        if not (was or self.admission.credit.total):
            return
        asking: Counter[str] = Counter()  # sessions by owner: one with many has no more than one with one
        owed: Counter[str] = Counter()
        for session in self.sessions.values():
            if session.call is not None:
                asking[session.owner] += 1
                owed[session.owner] += session.owed.total()
        self._each = self.admission.credit.per_owner_bound([count for count in owed.values() if count], was)
        for session in self.sessions.values():
            if session.call is not None:
                bound = self._each and max(1, self._each // asking[session.owner])
                session.tell_credit(bound)
        if self._each:
            self._watch_credit()

    def _parse(self, data: bytes) -> pb.OwnerFrame:
        try:
            return pb.OwnerFrame.FromString(data)
        except Exception:  # protobuf's DecodeError
            self.counters["owner_malformed"] += 1
            raise RpcError(Code.INVALID_ARGUMENT, "not an OwnerFrame") from None
