"""One end of an HTTP/2 connection without any I/O: bytes in, callbacks and bytes out.

The state machine is h2's. DATA frames, which are nearly all of a long stream, go around it: h2 spends several times
what the rest of the path costs on each (parsing, state, events, windows that must be acknowledged through it). Here
they are split off, checked against this side's own windows and handed on; of a DATA frame that ends its stream h2
sees an empty one. WINDOW_UPDATE frames, of which gRPC clients send two for each message, go around it too. Outgoing DATA
uses h2's own outbound windows: it moves them at SETTINGS, this module at WINDOW_UPDATE and DATA.
"""

from __future__ import annotations

import struct
from typing import Protocol

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings
from h2.settings import SettingCodes
from h2.stream import StreamState

from sprucepost.wire import fields, frames
from sprucepost.wire.frames import (
    ACK,
    CONTINUATION,
    DATA,
    END_HEADERS,
    END_STREAM,
    FRAME_MOST,
    GOAWAY,
    HEADERS,
    LAST_STREAM,
    NAMES,
    PADDED,
    PING,
    PREFACE,
    PRIORITY,
    SETTINGS,
    WINDOW_UPDATE,
    WITH_PRIORITY,
)
from sprucepost.wire.metadata import Headers
from sprucepost.wire.rate_limits import Budget, PingPolicy

_TWO = struct.Struct(">II")
Code = h2.errors.ErrorCodes
_KINDS = {
    h2.events.RequestReceived: fields.Kind.REQUEST,
    h2.events.ResponseReceived: fields.Kind.RESPONSE,
    h2.events.TrailersReceived: fields.Kind.TRAILERS,
}


class Broken(Exception):
    """The peer broke the protocol or a limit: the connection ends. ``name`` is the counter's label."""

    def __init__(self, name: str, text: str, code: int = Code.PROTOCOL_ERROR) -> None:
        super().__init__(text)
        self.name, self.code = name, code


class Sink(Protocol):
    """What happens on the connection, in order."""

    def on_headers(self, stream: int, headers: Headers, end: bool) -> None: ...
    def on_data(self, stream: int, data: bytes, end: bool) -> None: ...
    def on_reset(self, stream: int, code: int) -> None: ...
    def on_error(self, stream: int, name: str, code: int) -> None: ...
    def on_window(self) -> None: ...
    def on_goaway(self, code: int, last: int, text: bytes) -> None: ...
    def on_ping_ack(self, payload: bytes) -> None: ...


class Http2:
    """``stream_window`` and ``connection_window`` bound what the peer may send before it is taken.

    Call :meth:`receive` with bytes and the time (ms), then send what :meth:`outgoing` returns. Broken from ``receive``
    ends the connection; a GOAWAY that says why is then in ``outgoing``.
    """

    def __init__(
        self,
        sink: Sink,
        client: bool,
        now: float,
        streams: int = 100,
        stream_window: int = 262_144,
        connection_window: int = 1_048_576,
        header_bytes: int = 16_384,
        ping_policy: PingPolicy | None = None,
    ) -> None:
        config = h2.config.H2Configuration(client_side=client, header_encoding=False, validate_inbound_headers=False)
        self._h2 = h2.connection.H2Connection(config)
        self._client, self._sink = client, sink
        self._h2.local_settings = h2.settings.Settings(
            client=client,
            initial_values={
                SettingCodes.ENABLE_PUSH: 0,
                SettingCodes.MAX_CONCURRENT_STREAMS: streams,
                SettingCodes.INITIAL_WINDOW_SIZE: stream_window,
                SettingCodes.MAX_HEADER_LIST_SIZE: header_bytes,
                SettingCodes.MAX_FRAME_SIZE: FRAME_MOST,
            },
        )
        self._fields = self._h2.decoder = fields.Decoder(client, header_bytes)
        self._stream_window, self._connection_window = stream_window, connection_window
        self._header_bytes = header_bytes
        self._in = bytearray()
        self._out: list[bytes] = []
        self._preface = b"" if client else PREFACE
        self._settled = False  # the peer's first frame, its SETTINGS, has come
        self._lengths: dict[int, int] = {}  # what is still to come of bodies whose length was declared, by stream
        self._endless: set[int] = set()  # a second list without END_STREAM came on these
        self._block = 0  # bytes of a header block that goes on in CONTINUATION; 0 outside one
        self._owed: dict[int, int] = {}  # taken and not yet granted again, by stream
        self._windows: dict[int, int] = {}  # what the peer may still send, by open stream
        self._window = connection_window
        self._highest = 0  # highest stream that the peer opened
        self._budget, self._pings = Budget(now), ping_policy
        self._goaway = False
        self._opened = False  # a window was opened since the sink was told
        self._h2.initiate_connection()
        self._take()
        if connection_window > 65_535:
            self._out.append(frames.window_update(0, connection_window - 65_535))

    # Receiving

    def receive(self, data: bytes, now: float) -> None:
        """Take bytes from the peer; Broken where they end the connection."""
        buffer = self._in
        buffer += data
        if self._preface:
            head = bytes(buffer[: len(PREFACE)])
            if head != PREFACE[: len(head)]:
                word = head.split(b" ", 1)[0]
                known = (b"GET", b"POST", b"HEAD", b"PUT", b"OPTIONS", b"DELETE", b"PATCH", b"CONNECT")
                raise Broken("http1" if word in known else "preface", "not an HTTP/2 preface")
            if len(head) < len(PREFACE):
                return
            self._h2.receive_data(PREFACE)
            del buffer[: len(PREFACE)]
            self._preface = b""
        at = 0
        try:
            while len(buffer) - at >= 9:
                size = (buffer[at] << 16) | (buffer[at + 1] << 8) | buffer[at + 2]
                if size > FRAME_MOST:
                    raise Broken("frame_size", f"frame of {size} bytes", Code.FRAME_SIZE_ERROR)
                end = at + 9 + size
                if len(buffer) < end:
                    break
                kind, flags = buffer[at + 3], buffer[at + 4]
                stream = int.from_bytes(buffer[at + 5 : at + 9], "big") & LAST_STREAM
                # Nothing in the head of a DATA frame on a stream can be wrong, and nearly all frames are those.
                wrong = None if kind == DATA and stream else frames.problem(kind, flags, stream, size)
                if wrong is not None:
                    raise Broken("protocol", wrong[1], wrong[0])
                if not self._settled:
                    if kind != SETTINGS or flags & ACK:
                        raise Broken("preface", "SETTINGS must come first")
                    self._settled = True
                if kind == DATA and not self._block:
                    payload, at = bytes(buffer[at + 9 : end]), end
                    self._data(stream, flags, payload, now)
                elif kind == WINDOW_UPDATE and not self._block:
                    more = int.from_bytes(buffer[at + 9 : end], "big")
                    at = end
                    if not self._budget.spend(now):
                        raise Broken("flood_window_update", "too many WINDOW_UPDATE frames", Code.ENHANCE_YOUR_CALM)
                    self._open_window(stream, more & LAST_STREAM, now)
                else:
                    frame, at = bytes(buffer[at:end]), end
                    self._control(kind, flags, frame, now)
            if self._opened:
                self._opened = False
                self._sink.on_window()
        except Broken as broken:
            self.close(broken.code, str(broken).encode())
            raise
        finally:
            del buffer[:at]

    def _open_window(self, stream: int, more: int, now: float) -> None:
        """The peer takes so many bytes more, on a stream or (0) on the connection."""
        self._opened = True
        if not stream:
            if not more:
                raise Broken("protocol", "WINDOW_UPDATE by 0")
            self._h2.outbound_flow_control_window += more
            if self._h2.outbound_flow_control_window > LAST_STREAM:
                raise Broken("window", "the connection's window overflows", Code.FLOW_CONTROL_ERROR)
            return
        state = self._h2.streams.get(stream)
        if state is None:
            if (stream % 2 == 1) != self._client and stream > self._highest:
                raise Broken("protocol", "WINDOW_UPDATE on a stream that is not open")
            return  # closed already
        if not more:
            self._stream_error(stream, "window_by_0", Code.PROTOCOL_ERROR, now)
            return
        if state.outbound_flow_control_window + more > LAST_STREAM:
            # Not added: h2 goes on with a stream that is reset, and its next SETTINGS would overflow the connection.
            self._stream_error(stream, "window", Code.FLOW_CONTROL_ERROR, now)
            return
        state.outbound_flow_control_window += more

    def _stream_error(self, stream: int, name: str, code: int, now: float) -> None:
        """The peer broke a rule on one stream, and only that ends. It costs as much as the peer's own RST_STREAM:
        else a peer that makes us reset its streams opens as many as it likes, whatever it may have open at a time."""
        if not self._budget.spend(now):
            raise Broken("flood_stream_errors", "too many broken streams", Code.ENHANCE_YOUR_CALM)
        self.reset(stream, code)
        self._sink.on_error(stream, name, code)

    def _data(self, stream: int, flags: int, payload: bytes, now: float) -> None:
        size, data = len(payload), payload
        if flags & PADDED:
            if not size or payload[0] >= size:
                raise Broken("padding", "DATA with more padding than data")
            data = payload[1 : size - payload[0]]
        if data:
            self._budget.work()
        elif not flags & END_STREAM and not self._budget.spend(now):
            raise Broken("flood_data", "too many empty DATA frames", Code.ENHANCE_YOUR_CALM)
        self._window -= size
        if self._window < 0:
            raise Broken("window", "DATA beyond the connection's window", Code.FLOW_CONTROL_ERROR)
        left = self._windows.get(stream)
        if left is None:
            if (not self._client and stream > self._highest) or (self._client and stream % 2 == 0):
                raise Broken("protocol", "DATA on a stream that is not open")
            state = self._h2.streams.get(stream)
            if state is not None and state.state_machine.state is StreamState.HALF_CLOSED_REMOTE:
                self._stream_error(stream, "stream_closed", Code.STREAM_CLOSED, now)
            self._replenish()  # a stream that we have closed: its bytes still count for the connection
            return
        if size > left:
            raise Broken("window", "DATA beyond the stream's window", Code.FLOW_CONTROL_ERROR)
        self._windows[stream] = left - size
        self._replenish()
        if padding := size - len(data):
            self.consumed(stream, padding)
        if stream in self._lengths:
            self._lengths[stream] -= len(data)
            if self._lengths[stream] < 0 or (flags & END_STREAM and self._lengths[stream]):
                self._stream_error(stream, "content_length", Code.PROTOCOL_ERROR, now)
                return
        if flags & END_STREAM:
            self._windows.pop(stream, None)
            self._lengths.pop(stream, None)
            self._feed(struct.pack(">IBI", DATA, END_STREAM, stream))
            self._take()
            self._sink.on_data(stream, data, True)
        else:
            self._sink.on_data(stream, data, False)

    def _replenish(self) -> None:
        """The connection's window opens as bytes arrive: what one slow stream holds must not stop the others."""
        used = self._connection_window - self._window
        if used * 2 >= self._connection_window:
            self._window += used
            self._out.append(frames.window_update(0, used))

    def consumed(self, stream: int, size: int) -> None:
        """Bytes of that stream's DATA have been taken: the peer may send as many again."""
        left = self._windows.get(stream)
        if left is None or size <= 0:
            return
        owed = self._owed.get(stream, 0) + size
        if owed * 2 >= self._stream_window:
            self._owed.pop(stream, None)
            self._windows[stream] = left + owed
            self._out.append(frames.window_update(stream, owed))
        else:
            self._owed[stream] = owed

    def _control(self, kind: int, flags: int, frame: bytes, now: float) -> None:
        if self._block:
            self._block += len(frame)
            if self._block > 2 * self._header_bytes:
                raise Broken("headers", "header block too large", Code.ENHANCE_YOUR_CALM)
            if kind == CONTINUATION and flags & END_HEADERS:
                self._block = 0
        elif kind == HEADERS and not flags & END_HEADERS:
            self._block = len(frame)
        # HEADERS are free, as the number of open streams bounds them, but they are no work that earns anything:
        # else opening and resetting streams in turn would pay for itself (rapid reset).
        if kind != HEADERS and not self._budget.spend(now):
            name = NAMES[kind] if kind < len(NAMES) else "UNKNOWN"
            raise Broken(f"flood_{name.lower()}", f"too many {name} frames", Code.ENHANCE_YOUR_CALM)
        if (
            kind == PING
            and not flags & ACK
            and self._pings is not None
            and not self._pings.ping(now, len(self._windows))
        ):
            raise Broken("too_many_pings", "too_many_pings", Code.ENHANCE_YOUR_CALM)
        if kind == GOAWAY and not self._block:
            # Not for h2, which takes a GOAWAY for the end: calls that are open go on after it.
            last, code = _TWO.unpack_from(frame, 9)
            self._sink.on_goaway(code, last & LAST_STREAM, frame[17:])
            return
        if kind == PRIORITY:  # deprecated (5.3.2): nothing in it means anything here, whatever stream it names
            if len(frame) != 14:
                self._stream_error(
                    int.from_bytes(frame[5:9], "big") & LAST_STREAM, "priority", Code.FRAME_SIZE_ERROR, now
                )
            return
        if kind == HEADERS:
            frame = self._headers_frame(frame)
        events = self._feed(frame)
        self._take()
        for event in events:
            self._event(event, now)

    def _headers_frame(self, frame: bytes) -> bytes:
        """HEADERS as h2 is to see them, without what it would end the connection for."""
        if frame[4] & WITH_PRIORITY:
            rest = frames.without_priority(frame)
            if rest is None:
                raise Broken("protocol", "HEADERS cut short", Code.FRAME_SIZE_ERROR)
            frame = rest
        stream = int.from_bytes(frame[5:9], "big") & LAST_STREAM
        if self._client and stream % 2 == 0:
            raise Broken("protocol", "a server opens no streams")
        if not self._client and stream in self._windows and not frame[4] & END_STREAM:
            self._endless.add(stream)
            frame = frame[:4] + bytes((frame[4] | END_STREAM,)) + frame[5:]
        return frame

    def _feed(self, frame: bytes) -> list[h2.events.Event]:
        try:
            return self._h2.receive_data(frame)
        except h2.exceptions.DenialOfServiceError as error:
            raise Broken("headers", str(error), Code.ENHANCE_YOUR_CALM) from None
        except h2.exceptions.ProtocolError as error:
            if isinstance(error, h2.exceptions.TooManyStreamsError):
                raise Broken("streams", "more streams than allowed") from None
            raise Broken("protocol", str(error) or type(error).__name__, int(error.error_code)) from None
        except Exception as error:  # hpack and hyperframe raise their own on some malformed input
            raise Broken("protocol", f"{type(error).__name__}: {error}") from None

    def _event(self, event: h2.events.Event, now: float) -> None:
        sink = self._sink
        if isinstance(event, (h2.events.RequestReceived, h2.events.ResponseReceived, h2.events.TrailersReceived)):
            stream, end = int(event.stream_id or 0), event.stream_ended is not None
            kind = _KINDS[type(event)]
            if kind is fields.Kind.REQUEST:
                self._highest = max(self._highest, stream)
            if not self._well_formed(stream, kind, end):
                self._stream_error(stream, "malformed", Code.PROTOCOL_ERROR, now)
                return
            if end:
                self._windows.pop(stream, None)
                self._lengths.pop(stream, None)
            elif kind is fields.Kind.REQUEST:
                self._windows[stream] = self._stream_window
            sink.on_headers(stream, self._fields.latest, end)
        elif isinstance(event, h2.events.StreamReset):
            stream = int(event.stream_id or 0)
            self._forget(stream)
            sink.on_reset(stream, int(event.error_code or 0))
        elif isinstance(event, (h2.events.WindowUpdated, h2.events.RemoteSettingsChanged)):
            sink.on_window()
        elif isinstance(event, h2.events.PingAckReceived):
            sink.on_ping_ack(bytes(event.ping_data or b""))

    def _well_formed(self, stream: int, kind: fields.Kind, end: bool) -> bool:
        """Whether the list that has just been decoded may pass; what it declares of the body's length is noted."""
        latest = self._fields.latest
        if stream in self._endless or fields.problem(latest, kind):
            return False
        if kind is not fields.Kind.TRAILERS:
            try:
                declared = fields.length(latest)
            except ValueError:
                return False
            if declared is not None:
                self._lengths[stream] = declared
        return not (end and self._lengths.get(stream))

    def _forget(self, stream: int) -> None:
        self._lengths.pop(stream, None)
        self._endless.discard(stream)
        self._windows.pop(stream, None)
        self._owed.pop(stream, None)

    # Sending

    def _take(self) -> None:
        data = self._h2.data_to_send()
        if data:
            self._out.append(data)

    def outgoing(self) -> bytes:
        """The bytes to send now. A server says nothing until the peer has shown that it speaks HTTP/2."""
        if not self._out or self._preface:
            return b""
        data = b"".join(self._out)
        self._out.clear()
        return data

    def open(self, headers: Headers, end: bool = False) -> int:
        """Open a stream (client); its id. Broken with name ``exhausted`` where ids have run out."""
        try:
            stream = self._h2.get_next_available_stream_id()
        except h2.exceptions.NoAvailableStreamIDError:
            raise Broken("exhausted", "no stream ids left", Code.NO_ERROR) from None
        self._windows[stream] = self._stream_window
        self._h2.send_headers(stream, headers, end_stream=end)
        self._take()
        return stream

    def may_open(self) -> bool:
        """Whether the peer allows one more stream now."""
        return self._h2.open_outbound_streams < self._h2.remote_settings.max_concurrent_streams

    def send_headers(self, stream: int, headers: Headers, end: bool = False) -> None:
        self._h2.send_headers(stream, headers, end_stream=end)
        self._take()
        if self._pings is not None:
            self._pings.sent_data()

    def may_send(self, stream: int) -> int:
        """Bytes of DATA that the windows let out on this stream."""
        state = self._h2.streams.get(stream)
        if state is None:
            return 0
        return max(0, min(self._h2.outbound_flow_control_window, state.outbound_flow_control_window))

    def send_data(self, stream: int, data: bytes | memoryview) -> None:
        """DATA frames within :meth:`may_send`."""
        state = self._h2.streams[stream]
        size = len(data)
        assert size <= self.may_send(stream), "DATA beyond the peer's window"
        self._h2.outbound_flow_control_window -= size
        state.outbound_flow_control_window -= size
        most = self._h2.max_outbound_frame_size
        out = self._out
        for at in range(0, size, most):
            part = data[at : at + most]
            out.append(struct.pack(">IBI", len(part) << 8 | DATA, 0, stream))
            out.append(bytes(part))
        if self._pings is not None:
            self._pings.sent_data()

    def end(self, stream: int) -> None:
        """END_STREAM after what has been sent."""
        self._h2.end_stream(stream)
        self._take()

    def reset(self, stream: int, code: int = Code.CANCEL) -> None:
        self._forget(stream)
        try:
            self._h2.reset_stream(stream, code)
        except h2.exceptions.ProtocolError:
            return  # already closed at both ends
        self._take()

    def ping(self, payload: bytes) -> None:
        self._h2.ping(payload)
        self._take()

    def goaway(self, last: int | None = None, code: int = Code.NO_ERROR, text: bytes = b"") -> None:
        """Announce the end; calls that are open go on. ``last`` None: the highest stream that the peer opened.

        Written here, since h2 takes no frame from a peer after its own GOAWAY.
        """
        number = self._highest if last is None else last
        payload = struct.pack(">II", number, code) + text
        self._take()
        self._out.append(struct.pack(">IBI", len(payload) << 8 | GOAWAY, 0, 0) + payload)

    def close(self, code: int = Code.NO_ERROR, text: bytes = b"") -> None:
        """The last frame of a connection that ends now."""
        if not self._goaway:
            self._goaway = True
            self._h2.clear_outbound_data_buffer()
            self.goaway(code=code, text=text[:200])
