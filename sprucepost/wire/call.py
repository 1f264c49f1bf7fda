"""One call on a connection: messages in and out with bounded buffers, shared by client and server."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from sprucepost.loop import Co, Loop, Task, Timer, Transport, park
from sprucepost.loop.task import Undo
from sprucepost.wire.http2 import Http2
from sprucepost.wire.message_framing import Decoder, encode
from sprucepost.wire.status import Code, RpcError

HELD_MOST = 65_536  # bytes of messages waiting for receive() over which the peer's window is not opened again
OUT_MOST = 262_144  # bytes that may wait on one call before a sender has to wait, or a callback sender sees it full


class Carrier(Protocol):
    """What a call needs of the connection that it is on."""

    loop: Loop
    http2: Http2
    transport: Transport
    calls: dict[int, Call]

    def consumed(self, call: Call, size: int) -> None:
        """The peer may send so many more bytes."""
        ...

    def dirty(self, call: Call) -> None:
        """The call has something to send."""
        ...

    def behind(self, call: Call) -> bool: ...
    def call_over(self) -> None: ...
    def flush_soon(self) -> None: ...
    def abort(self, text: str) -> None: ...


class Call:
    """The part of a call that both ends share.

    Messages arrive through ``on_message`` where it is set; else they are kept, within the stream's window, for
    :meth:`receive`. ``on_end`` tells that the peer sends no more, ``on_over`` that the call has ended, with its status;
    nothing is called after that. Set the callbacks before the next turn of the loop.
    """

    def __init__(self, connection: Carrier, message_most: int) -> None:
        self.connection = connection
        self.stream = 0
        self.on_message: Callable[[bytes], None] | None = None
        self.on_end: Callable[[], None] | None = None
        self.on_over: Callable[[RpcError], None] | None = None
        self.decoder = Decoder(message_most)
        self.gzip_out = False
        self.last_compressed = False
        self.over: RpcError | None = None  # the status once the call has ended, OK included
        self.timer: Timer | None = None
        self._waiting: deque[tuple[bytes, bool]] = deque()  # message, and whether it came compressed
        self._held = 0  # bytes of those
        self._owed = 0  # bytes received whose window the peer does not get back yet
        self._unread = False  # the peer gets no window back, see hold_reading
        self._ended = False  # the peer sends no more
        self._out: list[bytes] = []
        self.out_bytes = 0
        self._end_due = False
        self.end_sent = False
        self._closing: Callable[[], None] | None = None  # what to send once the buffer is out
        self._receiver: Task[Any] | None = None
        self._sender: list[Task[Any]] = []

    # Receiving

    def take_data(self, data: bytes) -> None:
        """DATA from the peer; RpcError where it breaks framing or limits."""
        messages = self.decoder.feed(data)
        if self.on_message is not None:
            if self._unread:
                self._owed += len(data)
            else:
                self.connection.consumed(self, len(data))
            for message in messages:
                if self.over is None and self.on_message is not None:
                    self.last_compressed = self.decoder.compressed
                    self.on_message(message)
            return
        for message in messages:
            self._waiting.append((message, self.decoder.compressed))
            self._held += len(message)
        # Bytes of a message that is not whole count as taken, else one larger than the window would never end.
        if self._held <= HELD_MOST:
            self.connection.consumed(self, len(data))
        else:
            self._owed += len(data)
        if messages:
            self._wake_receiver()

    def take_end(self) -> None:
        """The peer sends no more messages."""
        if self._ended:
            return
        self._ended = True
        if self.on_end is not None:
            self.on_end()
        self._wake_receiver()

    def receive(self) -> Co[bytes | None]:
        """The next message, or None at the peer's end. RpcError where the call ended otherwise."""
        while not self._waiting:
            if self.over is not None and self.over.code is not Code.OK:
                raise self.over
            if self._ended or self.over is not None:
                return None

            def trap(task: Task[Any]) -> Undo:
                assert self._receiver is None, "two receivers on one call"
                self._receiver = task

                def undo() -> None:
                    self._receiver = None

                return undo

            yield trap
        message, self.last_compressed = self._waiting.popleft()
        self._held -= len(message)
        if self._owed and self._held <= HELD_MOST:
            owed, self._owed = self._owed, 0
            self.connection.consumed(self, owed)
        return message

    def deliver(self, on_message: Callable[[bytes], None]) -> None:
        """From now on give messages to a callback, first those that wait for :meth:`receive`."""
        while self._waiting:
            message, self.last_compressed = self._waiting.popleft()
            self._held -= len(message)
            on_message(message)
        self.on_message = on_message
        owed, self._owed = self._owed, 0
        self.connection.consumed(self, owed)

    def hold_reading(self, held: bool) -> None:
        """Give this stream's window back no more, until told otherwise: once it is used up the peer has to wait, and other
        streams of its connection do not. What has arrived is still delivered: it could not be answered in time later."""
        self._unread = held
        if not held and self.over is None and self.on_message is not None:
            owed, self._owed = self._owed, 0
            self.connection.consumed(self, owed)

    def _wake_receiver(self) -> None:
        if self._receiver is not None:
            task, self._receiver = self._receiver, None
            task.wake()

    # Sending

    def send(self, message: bytes, compress: bool | None = None) -> None:
        """Send a message; it waits in this call's buffer where the peer's window or the socket is full."""
        if self.over is not None or self._end_due or self.end_sent or self._closing is not None:
            return
        data = encode(message, self.gzip_out if compress is None else compress and self.gzip_out)
        self.start_sending()
        self._out.append(data)
        self.out_bytes += len(data)
        self.connection.dirty(self)

    def start_sending(self) -> None:
        """What has to go before the first message."""

    @property
    def full(self) -> bool:
        """Whether more waits than a careful sender adds to."""
        return self.out_bytes >= OUT_MOST

    @property
    def behind(self) -> bool:
        """Whether bytes of this call wait for the peer, beyond what this turn wrote."""
        return self.over is None and self.connection.behind(self)

    def send_wait(self, message: bytes, compress: bool | None = None) -> Co[None]:
        """Send a message and wait while the buffer is full. RpcError where the call has ended."""
        if self.over is not None:
            raise self.over
        self.send(message, compress)
        while self.full:

            def trap(task: Task[Any]) -> Undo:
                self._sender.append(task)
                return lambda: self._sender.remove(task)

            yield from park(trap)
            if self.over is not None:
                raise self.over

    def pump(self) -> bool:
        """Move what the windows let out to the connection; whether anything is left."""
        http2 = self.connection.http2
        if self._out:
            room = http2.may_send(self.stream)
            if room <= 0:
                return True
            data: bytes | memoryview = b"".join(self._out) if len(self._out) > 1 else self._out[0]
            self._out.clear()
            if len(data) > room:
                self._out.append(bytes(memoryview(data)[room:]))
                data = memoryview(data)[:room]
            http2.send_data(self.stream, data)
            self.out_bytes -= len(data)
            if not self.full and self._sender:
                senders, self._sender = self._sender, []
                for task in senders:
                    task.wake()
            if self._out:
                return True
        if self._end_due:
            self._end_due, self.end_sent = False, True
            http2.end(self.stream)
        if self._closing is not None:
            closing, self._closing = self._closing, None
            closing()
        return False

    def wait_over(self) -> Co[None]:
        """Wait until the call has ended. Takes the place of ``on_over``."""

        def trap(task: Task[Any]) -> Undo:
            self.on_over = lambda status: task.wake()

            def undo() -> None:
                self.on_over = None

            return undo

        if self.over is None:
            yield from park(trap)

    def finish_over(self, status: RpcError) -> None:
        """The call has ended; called once by the connection or by this end itself."""
        if self.over is not None:
            return
        self.over = status
        if self.timer is not None:
            self.timer.cancel()
        self._out.clear()
        self.out_bytes = 0
        self.connection.calls.pop(self.stream, None)
        self._wake_receiver()
        senders, self._sender = self._sender, []
        for task in senders:
            task.wake()
        on_over, self.on_over, self.on_message, self.on_end = self.on_over, None, None, None
        if on_over is not None:
            on_over(status)
        self.connection.call_over()
