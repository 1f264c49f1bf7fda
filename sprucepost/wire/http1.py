"""An HTTP/1.1 server on h11 for health, readiness and metrics; it serves one request per connection."""

from __future__ import annotations

from collections.abc import Callable

import h11

from sprucepost.loop import Acceptor, Address, Listener, Loop, Sock, Transport

Page = Callable[[], tuple[int, str, bytes]]
"""Returns the status, the content type and the body of a page."""

REQUEST_TIMEOUT_MS = 5000.0  # from accept until the request is received and the response is read
MAX_CONNECTIONS = 64  # concurrent; health checks and metrics need no more


class Http1Server:
    """Serves GET and HEAD of fixed paths; ``pages`` maps a path to the function that renders it."""

    def __init__(self, loop: Loop, listen_on: Address | Listener, pages: dict[str, Page]) -> None:
        self._loop, self._pages = loop, pages
        self._connections: dict[Transport, None] = {}
        listener = listen_on if isinstance(listen_on, Listener) else loop.listen(listen_on)
        self._acceptor = Acceptor(loop, listener, self._accept)
        self.address = self._acceptor.address

    def close(self) -> None:
        """Stop listening and reset the open connections."""
        self._acceptor.close()
        for transport in list(self._connections):
            transport.abort()
        self._connections.clear()

    def _accept(self, sock: Sock) -> None:
        if len(self._connections) >= MAX_CONNECTIONS:
            sock.close(reset=True)
            return
        transport = Transport(self._loop, sock)
        protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=8192)
        self._connections[transport] = None

        def close_connection() -> None:
            self._connections.pop(transport, None)
            timer.cancel()
            if not transport.closed:
                transport.abort()

        def on_end() -> None:
            protocol.receive_data(b"")
            transport.close()
            close_connection()

        timer = self._loop.call_later(REQUEST_TIMEOUT_MS, close_connection)
        transport.on_data = lambda data: self._handle_data(transport, protocol, data)
        transport.on_end = on_end
        transport.on_lost = lambda error: close_connection()
        transport.start()

    def _handle_data(self, transport: Transport, protocol: h11.Connection, data: bytes) -> None:
        if protocol.our_state is not h11.IDLE:
            return  # the request is answered; further bytes are ignored
        try:
            protocol.receive_data(data)
            event = protocol.next_event()
            while event is not h11.NEED_DATA:
                if isinstance(event, h11.Request):
                    self._respond(transport, protocol, event)
                    return
                event = protocol.next_event()
        except h11.RemoteProtocolError as error:
            self._send(transport, protocol, error.error_status_hint, "text/plain", b"malformed request\n", True)

    def _respond(self, transport: Transport, protocol: h11.Connection, request: h11.Request) -> None:
        page = self._pages.get(request.target.split(b"?")[0].decode("latin-1"))
        if request.method not in (b"GET", b"HEAD"):
            status, content_type, body = 405, "text/plain", b"only GET and HEAD\n"
        elif page is None:
            status, content_type, body = 404, "text/plain", b"no such page\n"
        else:
            status, content_type, body = page()
        self._send(transport, protocol, status, content_type, body, request.method != b"HEAD")

    def _send(
        self,
        transport: Transport,
        protocol: h11.Connection,
        status: int,
        content_type: str,
        body: bytes,
        with_body: bool,
    ) -> None:
        headers = [("content-type", content_type), ("content-length", str(len(body))), ("connection", "close")]
        data = protocol.send(h11.Response(status_code=status, headers=headers)) or b""
        if with_body:
            data += protocol.send(h11.Data(data=body)) or b""
            data += protocol.send(h11.EndOfMessage()) or b""
        transport.write(data)
        transport.shutdown_write()
