"""The service manager's protocols: state datagrams to ``NOTIFY_SOCKET``, listening sockets from ``LISTEN_FDS``.

They are specified in systemd's sd_notify(3) and sd_listen_fds(3). Without these variables no state is sent and no
socket is adopted.
"""

from __future__ import annotations

from collections.abc import Mapping

from sprucepost.loop import Listener, Loop, Timer

FIRST_LISTEN_FD = 3


class Notifier:
    """Sends state to the service manager.

    ``WATCHDOG=1`` is sent from a timer of the loop, so that a blocked loop sends none.
    """

    def __init__(self, loop: Loop, environ: Mapping[str, str], pid: int) -> None:
        self._loop = loop
        self._socket_path = environ.get("NOTIFY_SOCKET", "")
        self._timer: Timer | None = None
        is_for_this_process = environ.get("WATCHDOG_PID", str(pid)) == str(pid)
        watchdog_usec = environ.get("WATCHDOG_USEC", "")
        self._watchdog_interval_ms = (
            int(watchdog_usec) / 2000.0
            if watchdog_usec.isdecimal() and is_for_this_process and self._socket_path
            else 0.0
        )
        if self._watchdog_interval_ms:
            self._send_watchdog()

    def _send_watchdog(self) -> None:
        self._timer = self._loop.call_later(self._watchdog_interval_ms, self._send_watchdog)
        self.notify(WATCHDOG="1")

    def notify(self, **fields: str) -> None:
        """Send fields such as ``READY="1"``; nothing happens where no manager listens."""
        if self._socket_path:
            text = "".join(f"{key}={value.replace(chr(10), ' ')}\n" for key, value in fields.items())
            self._loop.send_datagram(self._socket_path, text.encode())

    def close(self) -> None:
        """Stop the watchdog."""
        if self._timer is not None:
            self._timer.cancel()


def adopt_listeners(loop: Loop, environ: Mapping[str, str], pid: int) -> dict[str, Listener]:
    """Adopt the listening sockets that were passed, by name, or by position (``0``, ``1``) where they have no name.

    The service manager keeps them open, so a successor gets the same sockets and no connection is refused in between.
    """
    if environ.get("LISTEN_PID", str(pid)) != str(pid) or not environ.get("LISTEN_FDS", "").isdecimal():
        return {}
    count = int(environ["LISTEN_FDS"])
    names = environ.get("LISTEN_FDNAMES", "").split(":")
    listeners = {}
    for index in range(count):
        name = names[index] if index < len(names) and names[index] else str(index)
        listeners[name] = loop.adopt(FIRST_LISTEN_FD + index)
    return listeners
