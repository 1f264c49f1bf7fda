"""Streams to machines: one for each, attached at once and again after every break.

A link numbers its frames in a session that outlives the stream. It queues no offers, only the attempts whose offers are
to be sent: ``MachineHandler.build_offer`` makes the frame at the moment when it is sent, also when it is sent again
after a break, and the frame is left out if the offer must no longer be sent.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from typing import Protocol

from sprucepost.loop import Address, Cancelled, Co, Loop, Rng, Scope, Task, TimedOut, Timer, current, sleep, within
from sprucepost.placing.ports import Key
from sprucepost.v1 import machine_pb2 as pb
from sprucepost.wire.client import ClientCall, ClientConnection, open_client
from sprucepost.wire.connection import Options
from sprucepost.wire.session import Session, SessionBroken
from sprucepost.wire.status import Code, RpcError

OFFERS_PATH = "/sprucepost.v1.Machine/Offers"
CONNECT_TIMEOUT_MS = 1000.0
ATTACH_TIMEOUT_MS = 2000.0
MIN_RECONNECT_MS = 50.0
MAX_RECONNECT_MS = 1000.0
ACK_DELAY_MS = 50.0  # an acknowledgement that no frame carries is sent by itself after this


class MachineHandler(Protocol):
    """Handles the events of machines' streams."""

    def on_machine_attached(self, machine: str, hello: pb.Attached, is_new_incarnation: bool) -> None: ...
    def on_machine_resumed(self, machine: str, hello: pb.Attached) -> None: ...
    def on_machine_detached(self, machine: str) -> None: ...
    def on_machine_frame(self, machine: str, frame: pb.FromMachine) -> None: ...
    def build_offer(self, key: Key, incarnation: int) -> pb.Offer | None:
        """Return the offer as it may be sent now to that incarnation of its machine, or None if it must not be sent."""
        ...


class ConnectLimiter:
    """Limits the placer's concurrent connection attempts: hundreds of machines may come back at once."""

    def __init__(self, limit: int) -> None:
        self._free = limit
        self._waiting: deque[Task[object]] = deque()

    def acquire(self) -> Co[None]:
        """Wait until a connection may be opened."""
        if self._free > 0:
            self._free -= 1
            return

        def wait_for_turn(task: Task[object]) -> Callable[[], None]:
            self._waiting.append(task)
            return lambda: self._waiting.remove(task)

        yield wait_for_turn

    def release(self) -> None:
        """Let the next waiting task open a connection."""
        if self._waiting:
            self._waiting.popleft().wake(())
        else:
            self._free += 1


class Link:
    """The stream to one machine, which its own coroutine keeps attached."""

    def __init__(self, links: Links, machine: str, address: Address) -> None:
        self._links, self.machine, self.address = links, machine, address
        self._loop = links.loop
        self._session: Session[pb.ToMachine] = Session()
        self._token = b""
        self.machine_incarnation = 0
        self.call: ClientCall | None = None
        self._queue: dict[Key, None] = {}  # attempts whose offers are not sent yet, oldest first
        self.closed_to_offers = False  # the machine takes no new work
        self._ack_timer: Timer | None = None
        self.task: Task[None] = links.scope.spawn(self._maintain(), f"link {machine}")

    @property
    def attached(self) -> bool:
        """Whether there is a stream."""
        return self.call is not None

    # Outgoing frames.

    def offer(self, key: Key) -> None:
        """Send that attempt's offer as soon as the stream accepts it."""
        self._queue[key] = None
        self._write_offers()

    def drop(self, key: Key) -> None:
        """Remove the attempt from the queue of offers."""
        self._queue.pop(key, None)

    def close_to_offers(self, closed: bool) -> None:
        """Set whether the machine takes no new work; if so, queued offers are dropped."""
        self.closed_to_offers = closed
        if closed:
            self._queue.clear()
            # Buffered offers would be sent when the machine reads again, long after the drain grace (rule 3).
            self.give_up_buffered()

    def give_up_buffered(self) -> None:
        """Make sure that buffered bytes are not sent any more, by closing the connection.

        Frames other than void offers are sent again after the next attach.
        """
        if self.call is not None and self.call.send_blocked:
            self._links.counters["link_behind"] += 1
            self.call.connection.abort("the machine has not read its offers in time")

    def send(self, frame: pb.ToMachine) -> None:
        """Send a numbered frame, now or after the next attach."""
        try:
            frame.seq = self._session.assign_seq(frame)
        except SessionBroken as error:
            self._links.counters["link_unacknowledged"] += 1
            self._restart(str(error))
            return
        if self.call is not None:
            frame.ack = self._session.ack()
            self.call.send(frame.SerializeToString())

    def _write_offers(self) -> None:
        # Not if the stream is backlogged: an offer would wait there with an unchanged time limit.
        while self._queue and self.call is not None and not self.call.send_blocked:
            key = next(iter(self._queue))
            del self._queue[key]
            offer = self._links.handler.build_offer(key, self.machine_incarnation)
            if offer is not None:
                self.send(pb.ToMachine(offer=offer))

    def _restart(self, why: str) -> None:
        """Begin a new session, in which the machine names the tasks that it has."""
        self._token, self._session = b"", Session()
        call, self.call = self.call, None
        if call is not None:
            call.cancel(Code.ABORTED, why)

    # Incoming frames.

    def _on_frame(self, call: ClientCall, data: bytes) -> None:
        if call is not self.call:
            return
        try:
            frame = _parse(data)
        except RpcError as error:
            self._links.counters["link_malformed"] += 1
            call.cancel(error.code, error.message)
            return
        try:
            self._session.receive_ack(frame.ack)
            is_new = bool(frame.seq) and self._session.accept(frame.seq)
        except SessionBroken as error:
            self._links.counters["link_numbering"] += 1
            self._restart(str(error))
            return
        if is_new:
            if self._ack_timer is None:
                self._ack_timer = self._loop.call_later(ACK_DELAY_MS, self._ack)
            self._links.handler.on_machine_frame(self.machine, frame)
        if self._queue:
            self._write_offers()

    def _ack(self) -> None:
        self._ack_timer = None
        if self.call is not None and self._session.ack_due:
            self.call.send(pb.ToMachine(ack=self._session.ack()).SerializeToString())

    # Connecting and attaching.

    def _maintain(self) -> Co[None]:
        retry_ms = MIN_RECONNECT_MS
        while True:
            connection: ClientConnection | None = None
            while self._links.suspended:
                yield from sleep(100.0)
            try:
                yield from self._links.connect_limiter.acquire()
                try:
                    connection = yield from open_client(
                        self._loop, self.address, CONNECT_TIMEOUT_MS, self._links.options, self._links.source
                    )
                    call = yield from self._attach(connection)
                finally:
                    self._links.connect_limiter.release()
                retry_ms = MIN_RECONNECT_MS
                yield from call.wait_done()
            except Cancelled:
                if connection is not None:
                    connection.close()
                raise
            except RpcError as error:
                if error.code is Code.ALREADY_EXISTS:
                    self._links.counters["link_number_taken"] += 1
                    self._links.on_number_taken(self.machine, error.message)
                elif error.code is Code.FAILED_PRECONDITION:
                    self._links.counters["link_newer_incarnation"] += 1
                    self._links.on_newer_incarnation(self.machine, error.message)
            except (OSError, TimedOut):
                self._links.counters["link_connect"] += 1
            finally:
                if self.call is not None:
                    self.call = None
                    self._links.handler.on_machine_detached(self.machine)
            if connection is not None:
                connection.close()
            yield from sleep(retry_ms * self._links.rng.uniform(0.5, 1.0))
            retry_ms = min(retry_ms * 2, MAX_RECONNECT_MS)

    def _attach(self, connection: ClientConnection) -> Co[ClientCall]:
        call = connection.call(OFFERS_PATH)
        hello = pb.PlacerHello(
            number=self._links.number,
            incarnation=self._links.incarnation,
            session=self._token,
            last_seen=self._session.last_received,
        )
        call.send(pb.ToMachine(hello=hello).SerializeToString())
        data = yield from within((yield from current()), ATTACH_TIMEOUT_MS, call.receive())
        if data is None:
            raise RpcError(Code.UNAVAILABLE, "the stream ended before it was attached")
        first = _parse(data)
        if first.WhichOneof("body") != "attached":
            raise RpcError(Code.INTERNAL, "the first frame is not attached")
        attached = first.attached
        if attached.machine not in ("", self.machine):  # the address has changed hands, and the list is late
            self._links.counters["link_other_machine"] += 1
            raise RpcError(Code.UNAVAILABLE, f"{attached.machine} is at the address of {self.machine}")
        is_new_incarnation = self.machine_incarnation not in (0, attached.life)
        self.machine_incarnation = attached.life
        if attached.resumed:
            self._session.update_unacknowledged(self._rebuild_for_resend)
            try:
                frames_to_resend = self._session.resume(attached.last_seen)
            except SessionBroken as error:
                self._restart(str(error))
                raise RpcError(Code.ABORTED, str(error)) from None
        else:
            self._session, frames_to_resend = Session(), []
            self._token = attached.session
        self.call = call
        for seq, frame in frames_to_resend:
            frame.seq, frame.ack = seq, self._session.ack()
            call.send(frame.SerializeToString())
        if attached.resumed:
            self._links.handler.on_machine_resumed(self.machine, attached)
        else:
            self._links.handler.on_machine_attached(self.machine, attached, is_new_incarnation)
        # Frames may have arrived in the same read as the first.
        call.deliver_to(lambda data: self._on_frame(call, data))
        self._links.counters["link_resumed" if attached.resumed else "link_attached"] += 1
        self._write_offers()
        return call

    def _rebuild_for_resend(self, frame: pb.ToMachine) -> pb.ToMachine:
        """Return what to send again after a break: an offer with its current time limit, or nothing if it is void."""
        if frame.WhichOneof("body") != "offer":
            return frame
        offer = self._links.handler.build_offer((frame.offer.request, frame.offer.attempt), self.machine_incarnation)
        return pb.ToMachine(nothing=pb.Nothing()) if offer is None else pb.ToMachine(offer=offer)


def _parse(data: bytes) -> pb.FromMachine:
    try:
        return pb.FromMachine.FromString(data)
    except Exception:  # protobuf's DecodeError, which has no public base class
        raise RpcError(Code.INTERNAL, "not a FromMachine message") from None


class Links:
    """All links of a placer.

    ``source``: the local address to connect from. ``stale_ms``: after a pause of the process that is longer than this,
    the bytes that were kept from being sent are void. ``on_newer_incarnation`` and ``on_number_taken`` get the machine
    and its message.
    """

    def __init__(
        self,
        loop: Loop,
        scope: Scope,
        handler: MachineHandler,
        number: int,
        incarnation: int,
        source: str | None,
        max_connects: int,
        stale_ms: float,
        on_newer_incarnation: Callable[[str, str], None],
        on_number_taken: Callable[[str, str], None],
    ) -> None:
        self.loop, self.scope, self.handler = loop, scope, handler
        self.number, self.incarnation, self.source = number, incarnation, source
        self.on_newer_incarnation, self.on_number_taken = on_newer_incarnation, on_number_taken
        self.suspended = False  # whether links are kept from attaching
        # An offer states the time that is left for it, so those that a pause of the process delayed are void.
        self.options = Options(keepalive_ms=10_000.0, keepalive_timeout_ms=5000.0, max_send_delay_ms=stale_ms)
        self.counters: Counter[str] = Counter()
        self.rng: Rng = loop.rng()
        self.connect_limiter = ConnectLimiter(max_connects)
        self._links: dict[str, Link] = {}

    def all(self) -> list[Link]:
        """Return all links."""
        return list(self._links.values())

    def get(self, machine: str) -> Link | None:
        """Return the link to that machine, if there is one."""
        return self._links.get(machine)

    def add(self, machine: str, address: Address) -> None:
        """Keep a link to a machine that the list names; a new address replaces the link."""
        link = self._links.get(machine)
        if link is not None and link.address != address:
            self.gone(machine)
            link = None
        if link is None:
            self._links[machine] = Link(self, machine, address)

    def suspend(self, renounce: bool) -> None:
        """End all streams; with ``renounce`` an older incarnation may have the machines back."""
        self.suspended = True
        for link in self._links.values():
            if link.call is not None:
                if renounce:
                    link.send(pb.ToMachine(renounce=pb.Renounce()))
                link.call.end()

    def gone(self, machine: str) -> None:
        """Remove the link to a machine that no longer exists."""
        link = self._links.pop(machine, None)
        if link is not None:
            link.task.cancel()
