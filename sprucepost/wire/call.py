"""One call on a connection: messages in and out with bounded buffers, shared by client and server."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from sprucepost.loop import Co, Loop, Task, Timer, Transport, park
from sprucepost.loop.task import Undo
from sprucepost.wire.http2 import Http2Endpoint
from sprucepost.wire.message_framing import MessageDecoder, encode_message
from sprucepost.wire.status import Code, RpcError

MAX_UNREAD_BYTES = 65_536  # bytes of messages waiting for receive() over which the peer's window is not opened again
MAX_UNSENT_BYTES = (
    262_144  # bytes that may wait on one call before a sender has to wait, or a callback sender sees it full
)


class CallConnection(Protocol):
    """What a call needs of the connection that it is on."""

    loop: Loop
    http2: Http2Endpoint
    transport: Transport
    calls: dict[int, Call]

    def consumed(self, call: Call, size: int) -> None:
        """The peer may send so many more bytes."""
        ...

    def schedule_send(self, call: Call) -> None:
        """The call has something to send."""
        ...

    def send_blocked(self, call: Call) -> bool: ...
    def call_done(self) -> None: ...
    def flush_soon(self) -> None: ...
    def abort(self, text: str) -> None: ...


class Call:
    """The part of a call that both ends share.

    Messages arrive through ``on_message`` where it is set; else they are kept, within the stream's window, for
    :meth:`receive`. ``on_end`` tells that the peer sends no more, ``on_done`` that the call has ended, with its status;
    nothing is called after that. Set the callbacks before the next turn of the loop.
    """

    def __init__(self, connection: CallConnection, max_message_bytes: int) -> None:
        self.connection = connection
        self.stream = 0
        self.on_message: Callable[[bytes], None] | None = None
        self.on_end: Callable[[], None] | None = None
        self.on_done: Callable[[RpcError], None] | None = None
        self.decoder = MessageDecoder(max_message_bytes)
        self.gzip_out = False
        self.last_compressed = False
        self.end_status: RpcError | None = None  # the status once the call has ended, OK included
        self.timer: Timer | None = None
        self._received: deque[tuple[bytes, bool]] = deque()  # message, and whether it came compressed
        self._unread_bytes = 0  # bytes of those
        self._withheld_window = 0  # bytes received whose window the peer does not get back yet
        self._window_held = False  # the peer gets no window back, see hold_window
        self._peer_ended = False  # the peer sends no more
        self._unsent: list[bytes] = []
        self.unsent_bytes = 0
        self._end_requested = False
        self.end_sent = False
        self._after_flush: Callable[[], None] | None = None  # what to send once the buffer is out
        self._waiting_receiver: Task[Any] | None = None
        self._waiting_senders: list[Task[Any]] = []

    # Receiving

    def handle_data(self, data: bytes) -> None:
        """DATA from the peer; RpcError where it breaks framing or limits."""
        messages = self.decoder.feed(data)
        if self.on_message is not None:
            if self._window_held:
                self._withheld_window += len(data)
            else:
                self.connection.consumed(self, len(data))
            for message in messages:
                if self.end_status is None and self.on_message is not None:
                    self.last_compressed = self.decoder.compressed
                    self.on_message(message)
            return
        for message in messages:
            self._received.append((message, self.decoder.compressed))
            self._unread_bytes += len(message)
        # Bytes of a message that is not whole count as taken, else one larger than the window would never end.
        if self._unread_bytes <= MAX_UNREAD_BYTES:
            self.connection.consumed(self, len(data))
        else:
            self._withheld_window += len(data)
        if messages:
            self._wake_receiver()

    def handle_end(self) -> None:
        """The peer sends no more messages."""
        if self._peer_ended:
            return
        self._peer_ended = True
        if self.on_end is not None:
            self.on_end()
        self._wake_receiver()

    def receive(self) -> Co[bytes | None]:
        """The next message, or None at the peer's end. RpcError where the call ended otherwise."""
        while not self._received:
            if self.end_status is not None and self.end_status.code is not Code.OK:
                raise self.end_status
            if self._peer_ended or self.end_status is not None:
                return None

            def trap(task: Task[Any]) -> Undo:
                assert self._waiting_receiver is None, "two receivers on one call"
                self._waiting_receiver = task

                def undo() -> None:
                    self._waiting_receiver = None

                return undo

            yield trap
        message, self.last_compressed = self._received.popleft()
        self._unread_bytes -= len(message)
        if self._withheld_window and self._unread_bytes <= MAX_UNREAD_BYTES:
            owed, self._withheld_window = self._withheld_window, 0
            self.connection.consumed(self, owed)
        return message

    def deliver_to(self, on_message: Callable[[bytes], None]) -> None:
        """From now on give messages to a callback, first those that wait for :meth:`receive`."""
        while self._received:
            message, self.last_compressed = self._received.popleft()
            self._unread_bytes -= len(message)
            on_message(message)
        self.on_message = on_message
        owed, self._withheld_window = self._withheld_window, 0
        self.connection.consumed(self, owed)

    def hold_window(self, held: bool) -> None:
        """Give this stream's window back no more, until told otherwise: once it is used up the peer has to wait, and other
        streams of its connection do not. What has arrived is still delivered: it could not be answered in time later."""
        self._window_held = held
        if not held and self.end_status is None and self.on_message is not None:
            owed, self._withheld_window = self._withheld_window, 0
            self.connection.consumed(self, owed)

    def _wake_receiver(self) -> None:
        if self._waiting_receiver is not None:
            task, self._waiting_receiver = self._waiting_receiver, None
            task.wake()

    # Sending

    def send(self, message: bytes, compress: bool | None = None) -> None:
        """Send a message; it waits in this call's buffer where the peer's window or the socket is full."""
        if self.end_status is not None or self._end_requested or self.end_sent or self._after_flush is not None:
            return
        data = encode_message(message, self.gzip_out if compress is None else compress and self.gzip_out)
        self.start_sending()
        self._unsent.append(data)
        self.unsent_bytes += len(data)
        self.connection.schedule_send(self)

    def start_sending(self) -> None:
        """What has to go before the first message."""

    @property
    def full(self) -> bool:
        """Whether more waits than a careful sender adds to."""
        return self.unsent_bytes >= MAX_UNSENT_BYTES

    @property
    def send_blocked(self) -> bool:
        """Whether bytes of this call wait for the peer, beyond what this turn wrote."""
        return self.end_status is None and self.connection.send_blocked(self)

    def send_wait(self, message: bytes, compress: bool | None = None) -> Co[None]:
        """Send a message and wait while the buffer is full. RpcError where the call has ended."""
        if self.end_status is not None:
            raise self.end_status
        self.send(message, compress)
        while self.full:

            def trap(task: Task[Any]) -> Undo:
                self._waiting_senders.append(task)
                return lambda: self._waiting_senders.remove(task)

            yield from park(trap)
            if self.end_status is not None:
                raise self.end_status

    def flush(self) -> bool:
        """Move what the windows let out to the connection; whether anything is left."""
        http2 = self.connection.http2
        if self._unsent:
            room = http2.send_window(self.stream)
            if room <= 0:
                return True
            data: bytes | memoryview = b"".join(self._unsent) if len(self._unsent) > 1 else self._unsent[0]
            self._unsent.clear()
            if len(data) > room:
                self._unsent.append(bytes(memoryview(data)[room:]))
                data = memoryview(data)[:room]
            http2.send_data(self.stream, data)
            self.unsent_bytes -= len(data)
            if not self.full and self._waiting_senders:
                senders, self._waiting_senders = self._waiting_senders, []
                for task in senders:
                    task.wake()
            if self._unsent:
                return True
        if self._end_requested:
            self._end_requested, self.end_sent = False, True
            http2.end_stream(self.stream)
        if self._after_flush is not None:
            closing, self._after_flush = self._after_flush, None
            closing()
        return False

    def wait_done(self) -> Co[None]:
        """Wait until the call has ended. Takes the place of ``on_done``."""

        def trap(task: Task[Any]) -> Undo:
            self.on_done = lambda status: task.wake()

            def undo() -> None:
                self.on_done = None

            return undo

        if self.end_status is None:
            yield from park(trap)

    def mark_done(self, status: RpcError) -> None:
        """The call has ended; called once by the connection or by this end itself."""
        if self.end_status is not None:
            return
        self.end_status = status
        if self.timer is not None:
            self.timer.cancel()
        self._unsent.clear()
        self.unsent_bytes = 0
        self.connection.calls.pop(self.stream, None)
        self._wake_receiver()
        senders, self._waiting_senders = self._waiting_senders, []
        for task in senders:
            task.wake()
        on_done, self.on_done, self.on_message, self.on_end = self.on_done, None, None, None
        if on_done is not None:
            on_done(status)
        self.connection.call_done()
