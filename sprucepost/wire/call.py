"""One call on a connection: messages in both directions with bounded buffers, shared by client and server."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from sprucepost.loop import Co, Loop, Task, Timer, Transport, park
from sprucepost.loop.task import Undo
from sprucepost.wire.http2 import Http2Endpoint
from sprucepost.wire.message_framing import MessageDecoder, encode_message
from sprucepost.wire.status import Code, RpcError

MAX_UNREAD_BYTES = 65_536  # messages waiting for receive(); beyond this the peer's window is not returned
MAX_UNSENT_BYTES = 262_144  # buffered per call; from this on send_wait() waits and ``full`` is true


class CallConnection(Protocol):
    """What a call needs from its connection."""

    loop: Loop
    http2: Http2Endpoint
    transport: Transport
    calls: dict[int, Call]

    def consumed(self, call: Call, size: int) -> None:
        """Return ``size`` bytes of the call's window to the peer."""
        ...

    def schedule_send(self, call: Call) -> None:
        """Flush the call's buffer at the end of the turn."""
        ...

    def send_blocked(self, call: Call) -> bool: ...
    def call_done(self) -> None: ...
    def flush_soon(self) -> None: ...
    def abort(self, text: str) -> None: ...


class Call:
    """The part of a call that both ends share.

    Messages go to ``on_message`` if it is set; otherwise they are buffered, within the stream's window, for
    :meth:`receive`. ``on_end`` is called when the peer sends no more messages, ``on_done`` with the status when the
    call has ended; no callback runs after that. Set the callbacks before the next turn of the loop.
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
        self.end_status: RpcError | None = None  # set when the call has ended, also with OK
        self.timer: Timer | None = None
        self._received: deque[tuple[bytes, bool]] = deque()  # message and whether it was compressed
        self._unread_bytes = 0  # size of these messages
        self._withheld_window = 0  # bytes received whose window is not returned to the peer yet
        self._window_held = False  # no window is returned, see hold_window
        self._peer_ended = False  # the peer has half-closed the call
        self._unsent: list[bytes] = []
        self.unsent_bytes = 0
        self._end_requested = False
        self.end_sent = False
        self._after_flush: Callable[[], None] | None = None  # sends the trailers once the buffer is empty
        self._waiting_receiver: Task[Any] | None = None
        self._waiting_senders: list[Task[Any]] = []

    # Receiving

    def handle_data(self, data: bytes) -> None:
        """Process DATA from the peer. RpcError if it violates the message framing or a limit."""
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
        # Bytes of an incomplete message count as consumed, otherwise a message larger than the window never completes.
        if self._unread_bytes <= MAX_UNREAD_BYTES:
            self.connection.consumed(self, len(data))
        else:
            self._withheld_window += len(data)
        if messages:
            self._wake_receiver()

    def handle_end(self) -> None:
        """The peer has half-closed the call: it sends no more messages."""
        if self._peer_ended:
            return
        self._peer_ended = True
        if self.on_end is not None:
            self.on_end()
        self._wake_receiver()

    def receive(self) -> Co[bytes | None]:
        """Wait for the next message; None if the peer sends no more. RpcError if the call ended with an error."""
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
            withheld, self._withheld_window = self._withheld_window, 0
            self.connection.consumed(self, withheld)
        return message

    def deliver_to(self, on_message: Callable[[bytes], None]) -> None:
        """Pass the buffered messages to ``on_message``, and all later ones as they arrive."""
        while self._received:
            message, self.last_compressed = self._received.popleft()
            self._unread_bytes -= len(message)
            on_message(message)
        self.on_message = on_message
        withheld, self._withheld_window = self._withheld_window, 0
        self.connection.consumed(self, withheld)

    def hold_window(self, held: bool) -> None:
        """Stop or resume returning this stream's window to the peer.

        While ``held``, the peer has to wait once the window is used up; other streams of its connection do not.
        Messages that have arrived are still delivered, as a later answer to them would be too late.
        """
        self._window_held = held
        if not held and self.end_status is None and self.on_message is not None:
            withheld, self._withheld_window = self._withheld_window, 0
            self.connection.consumed(self, withheld)

    def _wake_receiver(self) -> None:
        if self._waiting_receiver is not None:
            task, self._waiting_receiver = self._waiting_receiver, None
            task.wake()

    # Sending

    def send(self, message: bytes, compress: bool | None = None) -> None:
        """Send a message; it is buffered while the peer's window or the socket is full."""
        if self.end_status is not None or self._end_requested or self.end_sent or self._after_flush is not None:
            return
        data = encode_message(message, self.gzip_out if compress is None else compress and self.gzip_out)
        self.start_sending()
        self._unsent.append(data)
        self.unsent_bytes += len(data)
        self.connection.schedule_send(self)

    def start_sending(self) -> None:
        """Called before each message; sends the headers if they have to precede it."""

    @property
    def full(self) -> bool:
        """Whether the send buffer has reached its limit; ``send`` itself does not enforce it."""
        return self.unsent_bytes >= MAX_UNSENT_BYTES

    @property
    def send_blocked(self) -> bool:
        """Whether the peer's window or the socket holds back bytes of this call."""
        return self.end_status is None and self.connection.send_blocked(self)

    def send_wait(self, message: bytes, compress: bool | None = None) -> Co[None]:
        """Send a message and wait while the buffer is full. RpcError if the call has ended."""
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
        """Move as many bytes to the connection as the windows allow. Whether any are left."""
        http2 = self.connection.http2
        if self._unsent:
            sendable = http2.send_window(self.stream)
            if sendable <= 0:
                return True
            data: bytes | memoryview = b"".join(self._unsent) if len(self._unsent) > 1 else self._unsent[0]
            self._unsent.clear()
            if len(data) > sendable:
                self._unsent.append(bytes(memoryview(data)[sendable:]))
                data = memoryview(data)[:sendable]
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
            after_flush, self._after_flush = self._after_flush, None
            after_flush()
        return False

    def wait_done(self) -> Co[None]:
        """Wait until the call has ended. Replaces ``on_done``."""

        def trap(task: Task[Any]) -> Undo:
            self.on_done = lambda status: task.wake()

            def undo() -> None:
                self.on_done = None

            return undo

        if self.end_status is None:
            yield from park(trap)

    def mark_done(self, status: RpcError) -> None:
        """End the call with its status, wake all waiters and call ``on_done``. Has an effect only once."""
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
