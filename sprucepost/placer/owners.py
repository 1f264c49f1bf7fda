"""The Submit service: owners' sessions, which outlive their streams for a limited time."""

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

SUBMIT_PATH = "/sprucepost.v1.Placer/Submit"
ACK_DELAY_MS = 50.0  # an acknowledgement that no frame carries is sent by itself after this
CREDIT_INTERVAL_MS = 100.0  # between updates of how many requests owners may have open
MAX_BUFFERED_BYTES = 1_048_576  # a stream whose owner reads too slowly is ended beyond this; the session goes on


OUTCOME_KINDS = ("bound", "refused", "failed")


class OwnerSession:
    """One owner's session, with or without a stream.

    ``pending_outcomes``: by task, the accepted requests whose outcome has not been sent. A stream that its owner has
    half-closed (every command-line client does, after its last request) goes on until there are none, and then ends
    with OK.
    """

    def __init__(self, owners: Owners, token: bytes, owner: str) -> None:
        self._owners, self.token, self.owner = owners, token, owner
        self.session: Session[pb.PlacerFrame] = Session(owners.unacknowledged)
        self.call: ServerCall | None = None
        self.pending_outcomes: Counter[str] = Counter()
        self.half_closed = False  # the owner sends no more requests on this stream
        self.takes_batches = False  # whether the owner accepts refused_all
        self.takes_credit = False  # whether the owner accepts credit
        self.last_credit = 0  # the limit on open requests that the owner got last; 0: none
        self._reading_timer: Timer | None = None  # until the stream is read again
        # Until when arriving frames may have waited unread at the owner, and for how long they may have, in ms.
        self._unread_pause = (0.0, 0.0)
        self._refusal_batch: pb.RefusedAll | None = None  # to be sent at the end of this turn of the loop
        self.forget_timer: Timer | None = None
        self._ack_timer: Timer | None = None

    def refuse(self, task: str, why: str, retry_after_ms: float, is_invalid: bool = False) -> None:
        """Refuse a request, in one frame for all refusals of a turn of the loop; ``is_invalid``: for what it contains.

        That frame is numbered, kept, encoded and acknowledged once. With a frame for each request a refusal cost a
        quarter of a placement, and an overloaded placer spent its time on refusals.
        """
        if retry_after_ms or is_invalid:
            self._pause_reading()
        if not self.takes_batches:
            self.send(pb.PlacerFrame(task=task, refused=pb.Refused(why=why, retry_after_ms=retry_after_ms)))
            return
        batch = self._refusal_batch
        if batch is None or batch.why != why:
            self._flush_refusals()
            batch = self._refusal_batch = pb.RefusedAll(
                why=why, retry_from_ms=retry_after_ms, retry_to_ms=retry_after_ms
            )
            self._owners.loop.at_turn_end(self._flush_refusals)
        batch.tasks.append(task)
        if retry_after_ms > batch.retry_to_ms:
            batch.retry_to_ms = retry_after_ms
        elif retry_after_ms < batch.retry_from_ms:
            batch.retry_from_ms = retry_after_ms

    def _pause_reading(self) -> None:
        """Stop reading the stream for a while if refusing its requests costs too much; they wait at the owner."""
        loop, call = self._owners.loop, self.call
        if call is None or self._reading_timer is not None:
            return
        pause_ms = self._owners.admission.read_pause_ms(self.token, loop.now())
        if pause_ms <= 0:
            return
        self._owners.counters["owner_unread"] += 1
        call.hold_window(True)

        def resume_reading() -> None:
            # Requests of that time waited at the owner, whose library may have stated the time left before the wait.
            self._reading_timer, self._unread_pause = None, (loop.now() + pause_ms, pause_ms)
            call.hold_window(False)

        self._reading_timer = loop.call_later(pause_ms, resume_reading)

    def send_credit(self, limit: int) -> None:
        """Send the limit on open requests, if it has changed by an eighth or more."""
        if (
            self.call is None
            or not self.takes_credit
            or abs(limit - self.last_credit) * 8 < max(limit, self.last_credit)
        ):
            return
        if limit != self.last_credit:
            self.last_credit = limit
            self.call.send(pb.PlacerFrame(credit=pb.Credit(open=limit)).SerializeToString())

    def _flush_refusals(self) -> None:
        batch, self._refusal_batch = self._refusal_batch, None
        if batch is not None:
            self._send(pb.PlacerFrame(refused_all=batch))
            for task in batch.tasks:
                self.released(task, 1)

    def send(self, frame: pb.PlacerFrame) -> None:
        """Send a numbered frame, now or when the owner comes back.

        Earlier refusals are sent first: of two requests for one task the first must get its refusal before the second
        gets anything.
        """
        if self._refusal_batch is not None:
            self._flush_refusals()
        self._send(frame)

    def _send(self, frame: pb.PlacerFrame) -> None:
        try:
            frame.seq = self.session.assign_seq(frame)
        except SessionBroken as error:
            self._owners.counters["owner_unacknowledged"] += 1
            self._owners.end_session(self, RpcError(Code.RESOURCE_EXHAUSTED, str(error)))
            return
        is_outcome = frame.WhichOneof("body") in OUTCOME_KINDS
        call = self.call
        if call is None:
            if is_outcome:
                self.released(frame.task, 1)
            return
        frame.ack = self.session.ack()
        call.send(frame.SerializeToString())
        if is_outcome:
            self.released(frame.task, 1)
        if call.unsent_bytes > MAX_BUFFERED_BYTES:
            self._owners.counters["owner_behind"] += 1
            call.finish(RpcError(Code.RESOURCE_EXHAUSTED, "reads too slowly; resume the session"))

    def released(self, task: str, asks: int) -> None:
        """Count ``asks`` fewer pending outcomes of the task.

        There may be none: a task that was handed over gets the outcome bound without a request.
        """
        if self.pending_outcomes[task] > asks:
            self.pending_outcomes[task] -= asks
        else:
            del self.pending_outcomes[task]
        if not self.pending_outcomes:
            self._owners.session_table.outcomes_delivered(self.token)
            self._end_if_done()

    def on_half_close(self, call: ServerCall) -> None:
        """Handle the end of the owner's side of a stream."""
        if call is self.call:  # else another stream has taken over the session, and half-closes by itself
            self.half_closed = True
            self._end_if_done()

    def _end_if_done(self) -> None:
        if self.half_closed and not self.pending_outcomes and self.call is not None:
            self._ack()
            self.call.finish()

    def waited_ms(self) -> float:
        """Return how long, at most, the current frame waited in this host or because its stream was not read, in ms."""
        until, pause_ms = self._unread_pause
        unread = pause_ms if self._owners.loop.now() < until else 0.0
        return unread + (self.call.connection.transport.waited_ms if self.call is not None else 0.0)

    def ack_soon(self) -> None:
        """Send an acknowledgement within ``ACK_DELAY_MS``, unless a frame carries it before."""
        if self._ack_timer is None:
            self._ack_timer = self._owners.loop.call_later(ACK_DELAY_MS, self._ack)

    def _ack(self) -> None:
        self._ack_timer = None
        if self.call is not None and self.session.ack_due:
            self.call.send(pb.PlacerFrame(ack=self.session.ack()).SerializeToString())


class Owners:
    """All sessions. ``handle_frame(session, frame)`` gets each new frame once, in order."""

    def __init__(
        self,
        loop: Loop,
        number: int,
        incarnation: int,
        resume_ms: float,
        unacknowledged: int,
        session_table: SessionTable,
        admission: Admission[Any],
        handle_frame: Callable[[OwnerSession, pb.OwnerFrame], None],
    ) -> None:
        self.loop, self._number, self.incarnation = loop, number, incarnation
        self._resume_ms, self.unacknowledged, self._handle_frame = resume_ms, unacknowledged, handle_frame
        self.session_table, self.admission = session_table, admission
        self._credit_update_scheduled = False
        self._credit_per_owner = 0  # the limit that owners got last; 0: none
        self.sessions: dict[bytes, OwnerSession] = {}
        self.counters: Counter[str] = Counter()

    def methods(self) -> dict[str, Method]:
        """Return the service's methods by path."""
        return {SUBMIT_PATH: Method(attach=self._attach)}

    def tell(self, token: bytes, frame: pb.PlacerFrame) -> None:
        """Send a frame to the owner of that session, if there still is one."""
        session = self.sessions.get(token)
        if session is not None:
            session.send(frame)

    def end_session(self, session: OwnerSession, status: RpcError) -> None:
        """Forget a session and end its stream with that status."""
        self.sessions.pop(session.token, None)
        self.session_table.remove(session.token)
        if session.forget_timer is not None:
            session.forget_timer.cancel()
        call, session.call = session.call, None
        if call is not None:
            call.finish(status)

    def _attach(self, call: ServerCall) -> None:
        call.on_message = lambda data: self._on_hello(call, data)
        call.on_end = call.finish

    def _on_hello(self, call: ServerCall, data: bytes) -> None:
        frame = self._parse(data)
        if frame.WhichOneof("body") != "hello":
            raise RpcError(Code.INVALID_ARGUMENT, "hello must come first")
        hello = frame.hello
        session = self.sessions.get(hello.session) if hello.session else None
        resumed, frames_to_resend = session is not None, []
        if session is None:
            session = self._open_session(call, hello.owner)
        else:
            try:
                frames_to_resend = session.session.resume(hello.last_seen)
            except SessionBroken as error:
                raise RpcError(Code.INVALID_ARGUMENT, str(error)) from None
            self.counters["owner_resumed"] += 1
            self.session_table.attach(session.token)
        if session.forget_timer is not None:
            session.forget_timer.cancel()
            session.forget_timer = None
        old, session.call = session.call, call
        if old is not None:
            old.finish(RpcError(Code.ABORTED, "another stream has taken the session"))
        attached, session.half_closed, session.takes_batches = session, False, hello.batches
        session.takes_credit, session.last_credit = hello.credit, 0
        call.on_message = lambda data: self._on_frame(attached, call, data)
        call.on_end = lambda: attached.on_half_close(call)
        call.on_done = lambda status: self._on_stream_closed(attached, call)
        welcome = pb.Welcome(
            session=session.token,
            resumed=resumed,
            last_seen=session.session.last_received,
            resume_ms=self._resume_ms,
            number=self._number,
            incarnation=self.incarnation,
        )
        call.send(pb.PlacerFrame(ack=session.session.ack(), welcome=welcome).SerializeToString())
        for seq, kept in frames_to_resend:
            kept.seq, kept.ack = seq, session.session.ack()
            call.send(kept.SerializeToString())
        if self._credit_per_owner:  # else owners that come back together send all held requests
            session.send_credit(self._credit_per_owner)

    def _open_session(self, call: ServerCall, owner: str) -> OwnerSession:
        """Open a session. Their number is limited, since a mere hello takes memory for as long as it may be resumed."""
        session = OwnerSession(self, self.loop.token(16), owner)
        added, evicted = self.session_table.add(session.token, str(call.connection.transport.peer).rsplit(":", 1)[0])
        if evicted is not None:
            self.counters["owner_evicted"] += 1
            self.end_session(self.sessions[evicted], RpcError(Code.ABORTED, "forgotten for a newer session"))
        if not added:
            self.counters["owner_sessions"] += 1
            raise RpcError(Code.RESOURCE_EXHAUSTED, "too many sessions")
        self.sessions[session.token] = session
        return session

    def _on_stream_closed(self, session: OwnerSession, call: ServerCall) -> None:
        if session.call is call:
            session.call = None
            self.session_table.detach(session.token, bool(session.pending_outcomes))
            session.forget_timer = self.loop.call_later(self._resume_ms, lambda: self._forget(session))

    def _forget(self, session: OwnerSession) -> None:
        if self.sessions.get(session.token) is session and session.call is None:
            del self.sessions[session.token]
            self.session_table.remove(session.token)
            self.counters["owner_forgotten"] += 1

    def _on_frame(self, session: OwnerSession, call: ServerCall, data: bytes) -> None:
        if session.call is not call:
            return
        frame = self._parse(data)
        try:
            session.session.receive_ack(frame.ack)
            is_new = bool(frame.seq) and session.session.accept(frame.seq)
        except SessionBroken as error:
            self.counters["owner_numbering"] += 1
            raise RpcError(Code.INVALID_ARGUMENT, str(error)) from None
        if is_new:
            session.ack_soon()
            if frame.WhichOneof("body") == "submit":
                session.pending_outcomes[frame.task] += 1
                self._schedule_credit_update()
            self._handle_frame(session, frame)

    # Credit.

    def _schedule_credit_update(self) -> None:
        if not self._credit_update_scheduled:
            self._credit_update_scheduled = True
            self.loop.call_later(CREDIT_INTERVAL_MS, self._update_credit)

    def _update_credit(self) -> None:
        """Send owners their limits, and repeat this after an interval while there are any."""
        self._credit_update_scheduled = False
        self.admission.update_credit(self.loop.now())
        previous = self._credit_per_owner
        if not (previous or self.admission.credit.total):
            return
        sessions_by_owner: Counter[str] = Counter()  # several sessions of one owner share its limit
        pending_by_owner: Counter[str] = Counter()
        for session in self.sessions.values():
            if session.call is not None:
                sessions_by_owner[session.owner] += 1
                pending_by_owner[session.owner] += session.pending_outcomes.total()
        self._credit_per_owner = self.admission.credit.per_owner_bound(
            [count for count in pending_by_owner.values() if count], previous
        )
        for session in self.sessions.values():
            if session.call is not None:
                limit = self._credit_per_owner and max(1, self._credit_per_owner // sessions_by_owner[session.owner])
                session.send_credit(limit)
        if self._credit_per_owner:
            self._schedule_credit_update()

    def _parse(self, data: bytes) -> pb.OwnerFrame:
        try:
            return pb.OwnerFrame.FromString(data)
        except Exception:  # protobuf's DecodeError
            self.counters["owner_malformed"] += 1
            raise RpcError(Code.INVALID_ARGUMENT, "not an OwnerFrame") from None
