"""Streams to machines: one for each, attached at once and again after every break.

A link numbers what it sends in a session that outlives its stream. It holds no offers, only the attempts whose offers
are to be written: the frame is made by ``Receiver.build_offer`` at the moment at which it goes out, also when it goes
out again after a break, and is left out where it must not.
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

PATH = "/sprucepost.v1.Machine/Offers"
CONNECT_MS = 1000.0
ATTACH_MS = 2000.0
AGAIN_FIRST_MS = 50.0
AGAIN_MOST_MS = 1000.0
ACK_MS = 50.0


class Receiver(Protocol):
    """What the engine hears of a machine."""

    def on_machine_attached(self, machine: str, hello: pb.Attached, new_life: bool) -> None: ...
    def on_machine_resumed(self, machine: str, hello: pb.Attached) -> None: ...
    def on_machine_detached(self, machine: str) -> None: ...
    def on_machine_frame(self, machine: str, frame: pb.FromMachine) -> None: ...
    def build_offer(self, key: Key, life: int) -> pb.Offer | None:
        """The offer as it may go out now to that life of its machine."""
        ...


class Gate:
    """Bounds the connection attempts of the whole placer: hundreds of machines may come back at once."""

    def __init__(self, most: int) -> None:
        self._left = most
        self._waiting: deque[Task[object]] = deque()

    def enter(self) -> Co[None]:
        if self._left > 0:
            self._left -= 1
            return

        def trap(task: Task[object]) -> Callable[[], None]:
            self._waiting.append(task)
            return lambda: self._waiting.remove(task)

        yield trap

    def leave(self) -> None:
        if self._waiting:
            self._waiting.popleft().wake(())
        else:
            self._left += 1


class Link:
    """The stream to one machine, kept up by its own coroutine."""

    def __init__(self, links: Links, machine: str, address: Address) -> None:
        self._links, self.machine, self.address = links, machine, address
        self._loop = links.loop
        self._session: Session[pb.ToMachine] = Session()
        self._token = b""
        self.machine_incarnation = 0
        self.call: ClientCall | None = None
        self._queue: dict[Key, None] = {}  # attempts whose offers are not written yet, oldest first
        self.closed_to_offers = False  # it takes nothing new
        self._ack_timer: Timer | None = None
        self.task: Task[None] = links.scope.spawn(self._keep(), f"link {machine}")

    @property
    def attached(self) -> bool:
        return self.call is not None

    # Out

    def offer(self, key: Key) -> None:
        """Write that attempt's offer as soon as the stream takes it."""
        self._queue[key] = None
        self._write_offers()

    def drop(self, key: Key) -> None:
        """The attempt waits no more."""
        self._queue.pop(key, None)

    def close_to_offers(self, closed: bool) -> None:
        """Whether the machine takes no new work; what waited to be written is dropped."""
        self.closed_to_offers = closed
        if closed:
            self._queue.clear()
            # Offers may sit in our own buffers, to go out when the machine reads again: long after the grace (rule 3).
            self.give_up_buffered()

    def give_up_buffered(self) -> None:
        """What lies in our own buffers must not go out any more. Without the connection it is void; whatever else is owed
        goes out after the next attach."""
        if self.call is not None and self.call.send_blocked:
            self._links.counters["link_behind"] += 1
            self.call.connection.abort("the machine has not read its offers in time")

    def send(self, frame: pb.ToMachine) -> None:
        """A numbered frame; it goes out now or after the next attach."""
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
        # Not into a stream that is behind: an offer there waits with a time that runs out unseen.
        while self._queue and self.call is not None and not self.call.send_blocked:
            key = next(iter(self._queue))
            del self._queue[key]
            offer = self._links.receiver.build_offer(key, self.machine_incarnation)
            if offer is not None:
                self.send(pb.ToMachine(offer=offer))

    def _restart(self, why: str) -> None:
        """Begin a new session: the machine names what it holds."""
        self._token, self._session = b"", Session()
        call, self.call = self.call, None
        if call is not None:
            call.cancel(Code.ABORTED, why)

    # In

    def _frame(self, call: ClientCall, data: bytes) -> None:
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
            fresh = bool(frame.seq) and self._session.accept(frame.seq)
        except SessionBroken as error:
            self._links.counters["link_numbering"] += 1
            self._restart(str(error))
            return
        if fresh:
            if self._ack_timer is None:
                self._ack_timer = self._loop.call_later(ACK_MS, self._ack)
            self._links.receiver.on_machine_frame(self.machine, frame)
        if self._queue:
            self._write_offers()

    def _ack(self) -> None:
        self._ack_timer = None
        if self.call is not None and self._session.ack_due:
            self.call.send(pb.ToMachine(ack=self._session.ack()).SerializeToString())

    # The stream's life

    def _keep(self) -> Co[None]:
        wait = AGAIN_FIRST_MS
        while True:
            connection: ClientConnection | None = None
            while self._links.suspended:
                yield from sleep(100.0)
            try:
                yield from self._links.gate.enter()
                try:
                    connection = yield from open_client(
                        self._loop, self.address, CONNECT_MS, self._links.options, self._links.source
                    )
                    call = yield from self._attach(connection)
                finally:
                    self._links.gate.leave()
                wait = AGAIN_FIRST_MS
                yield from call.wait_done()
            except Cancelled:
                if connection is not None:
                    connection.close()
                raise
            except RpcError as error:
                if error.code is Code.ALREADY_EXISTS:
                    self._links.counters["link_number_taken"] += 1
                    self._links.on_taken(self.machine, error.message)
                elif error.code is Code.FAILED_PRECONDITION:
                    self._links.counters["link_newer_incarnation"] += 1
                    self._links.on_newer(self.machine, error.message)
            except (OSError, TimedOut):
                self._links.counters["link_connect"] += 1
            finally:
                if self.call is not None:
                    self.call = None
                    self._links.receiver.on_machine_detached(self.machine)
            if connection is not None:
                connection.close()
            yield from sleep(wait * self._links.rng.uniform(0.5, 1.0))
            wait = min(wait * 2, AGAIN_MOST_MS)

    def _attach(self, connection: ClientConnection) -> Co[ClientCall]:
        call = connection.call(PATH)
        hello = pb.PlacerHello(
            number=self._links.number,
            incarnation=self._links.incarnation,
            session=self._token,
            last_seen=self._session.last_received,
        )
        call.send(pb.ToMachine(hello=hello).SerializeToString())
        data = yield from within((yield from current()), ATTACH_MS, call.receive())
        if data is None:
            raise RpcError(Code.UNAVAILABLE, "the stream ended before it was attached")
        first = _parse(data)
        if first.WhichOneof("body") != "attached":
            raise RpcError(Code.INTERNAL, "the first frame is not attached")
        attached = first.attached
        new_life = self.machine_incarnation not in (0, attached.life)
        self.machine_incarnation = attached.life
        if attached.resumed:
            self._session.update_unacknowledged(self._still_wanted)
            try:
                again = self._session.resume(attached.last_seen)
            except SessionBroken as error:
                self._restart(str(error))
                raise RpcError(Code.ABORTED, str(error)) from None
        else:
            self._session, again = Session(), []
            self._token = attached.session
        self.call = call
        for seq, frame in again:
            frame.seq, frame.ack = seq, self._session.ack()
            call.send(frame.SerializeToString())
        if attached.resumed:
            self._links.receiver.on_machine_resumed(self.machine, attached)
        else:
            self._links.receiver.on_machine_attached(self.machine, attached, new_life)
        call.deliver_to(lambda data: self._frame(call, data))  # some may have come in one read with the first
        self._links.counters["link_resumed" if attached.resumed else "link_attached"] += 1
        self._write_offers()
        return call

    def _still_wanted(self, frame: pb.ToMachine) -> pb.ToMachine:
        """What goes out again after a break: no offer that must not go out now, and none with its first time."""
        if frame.WhichOneof("body") != "offer":
            return frame
        offer = self._links.receiver.build_offer((frame.offer.request, frame.offer.attempt), self.machine_incarnation)
        return pb.ToMachine(nothing=pb.Nothing()) if offer is None else pb.ToMachine(offer=offer)


def _parse(data: bytes) -> pb.FromMachine:
    try:
        return pb.FromMachine.FromString(data)
    except Exception:  # protobuf's DecodeError, which has no public base of its own
        raise RpcError(Code.INTERNAL, "not a FromMachine message") from None


class Links:
    """All links of a placer."""

    def __init__(
        self,
        loop: Loop,
        scope: Scope,
        receiver: Receiver,
        number: int,
        incarnation: int,
        source: str | None,
        dials: int,
        stale_ms: float,
        on_newer: Callable[[str, str], None],
        on_taken: Callable[[str, str], None],
    ) -> None:
        self.loop, self.scope, self.receiver = loop, scope, receiver
        self.number, self.incarnation, self.source = number, incarnation, source
        self.on_newer, self.on_taken = on_newer, on_taken
        self.suspended = False  # no link attaches
        # Offers in a stream tell the time that is left of them: what a pause kept from going out is void.
        self.options = Options(keepalive_ms=10_000.0, keepalive_timeout_ms=5000.0, max_send_delay_ms=stale_ms)
        self.counters: Counter[str] = Counter()
        self.rng: Rng = loop.rng()
        self.gate = Gate(dials)
        self._links: dict[str, Link] = {}

    def all(self) -> list[Link]:
        return list(self._links.values())

    def get(self, machine: str) -> Link | None:
        return self._links.get(machine)

    def see(self, machine: str, address: Address) -> None:
        """The list names the machine: keep a link to it."""
        link = self._links.get(machine)
        if link is not None and link.address != address:
            self.gone(machine)
            link = None
        if link is None:
            self._links[machine] = Link(self, machine, address)

    def suspend(self, renounce: bool) -> None:
        """Let go of every machine; with ``renounce`` an older incarnation may have them back."""
        self.suspended = True
        for link in self._links.values():
            if link.call is not None:
                if renounce:
                    link.send(pb.ToMachine(renounce=pb.Renounce()))
                link.call.end()

    def gone(self, machine: str) -> None:
        """The machine is no more: give its link up."""
        link = self._links.pop(machine, None)
        if link is not None:
            link.task.cancel()
