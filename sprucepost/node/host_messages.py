"""What hosts send: bytes are decoded, and each message goes to the set-up that is open on its connection or to the tasks."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from sprucepost.loop import Loop
from sprucepost.node.health import HealthChecks
from sprucepost.node.host import Host, HostLink
from sprucepost.node.jsonl import Line, MessageType
from sprucepost.node.log import Log
from sprucepost.node.tasks import Tasks


@dataclass(frozen=True, slots=True)
class HostMessagePorts:
    """What the handling of messages needs of the connections."""

    end: Callable[[Host, HostLink, str], None]  # ends a connection for that cause
    end_if_retired: Callable[[Host, HostLink], None]  # ends a connection that nothing is expected on any more
    serve: Callable[[Host], None]  # sends the offers that wait for a connection
    is_listed: Callable[[Host], bool]  # False once the host has been removed or replaced


class HostMessages:
    """Handles what is read on the connections to hosts."""

    def __init__(
        self,
        loop: Loop,
        tasks: Tasks,
        health: HealthChecks,
        log: Log,
        counters: Counter[str],
        ports: HostMessagePorts,
    ) -> None:
        self._loop, self._tasks, self._health, self._log = loop, tasks, health, log
        self._counters, self._ports = counters, ports

    def handle_data(self, host: Host, link: HostLink, data: bytes) -> None:
        """Decode and handle what was read on a connection; end it where the bytes cannot be parsed."""
        link.process.heard_at = self._loop.now() - link.transport.waited_ms
        for line in link.decoder.feed(data):
            link.last_used = self._loop.now()
            self._health.message_received(host, link)
            self._handle_line(link, host, line)
        if link.decoder.error is not None:
            self._counters["host_malformed"] += 1
            self._log("host_malformed", host=host.uid, why=str(link.decoder.error), open=len(link.open))
            self._ports.end(host, link, "malformed")

    def handle_late_data(self, host: Host, link: HostLink, data: bytes) -> None:
        """Handle releases and notes that were in flight when this side ended the connection. The host repeats a release only
        on its next connection, which may be opened much later."""
        if self._ports.is_listed(host):
            for line in link.decoder.feed(data):
                if line.type in (MessageType.CLOSE, MessageType.EVENT):
                    self._pass_on(host, link, line)

    def _handle_line(self, link: HostLink, host: Host, line: Line) -> None:
        """Handle one message: of a set-up that is open on this connection, or of any other task."""
        if line.type is MessageType.PROBED:
            self._health.check_answered(host, link)
        if line.type in (MessageType.CLOSE, MessageType.CLOSED) and link.ends:
            link.ends.confirm(line.sid)
        attempt = link.open.get(line.sid)
        if attempt is not None and (
            line.type is MessageType.CLOSE or (line.type is MessageType.READY and line.text is not None)
        ):
            del link.open[line.sid]
            if line.type is MessageType.CLOSE:
                link.ended_unanswered.append(line.sid)
            self._health.replied(host, link, attempt.written_at)
            self._tasks.handle_answer(attempt, line)
            self._ports.end_if_retired(host, link)
            self._ports.serve(host)
        elif attempt is not None and line.type is MessageType.EVENT:
            attempt.noted = True
        elif attempt is None and line.type is MessageType.CLOSED:
            self._tasks.handle_confirmed_end(host.uid, line, link.process)
        elif attempt is None and line.type in (MessageType.READY, MessageType.CLOSE, MessageType.EVENT):
            self._pass_on(host, link, line)

    def _pass_on(self, host: Host, link: HostLink, line: Line) -> None:
        """Pass on a message about a task that has no open set-up on this connection."""
        if line.sid in link.withdrawn:
            self._tasks.handle_withdrawn_message(host.uid, line)
        else:
            self._tasks.handle_message(host.uid, line, link.process)
