"""System calls that fail temporarily, as their manual pages allow: accept, connect, socket options."""

from __future__ import annotations

import errno
import os
import socket
from collections.abc import Callable
from typing import Any

import pytest

from sprucepost.loop import Acceptor, Sock
from sprucepost.loop.core import is_local_shortage
from sprucepost.loop.epoll import EpollListener, EpollLoop

TRANSIENT = ["ECONNABORTED", "EPROTO", "ENETDOWN", "ENOPROTOOPT", "EHOSTDOWN", "ENONET", "EHOSTUNREACH", "EOPNOTSUPP",
           "ENETUNREACH", "EPERM", "EINTR"]  # fmt: skip
SHORTAGES = ["EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"]


class Failing:
    """A socket whose method ``name`` fails ``times`` times with error ``code`` and then works."""

    def __init__(self, real: Any, name: str, code: int, times: int) -> None:
        self._real, self._name, self._code, self.times = real, name, code, times

    def __getattr__(self, name: str) -> Any:
        if name != self._name or not self.times:
            return getattr(self._real, name)

        def fail(*args: Any) -> None:
            self.times -= 1
            raise OSError(self._code, os.strerror(self._code))

        return fail


def listener_with_backlog(number: int) -> tuple[EpollLoop, EpollListener, list[socket.socket]]:
    """A loop, a listener, and ``number`` clients whose connections wait in its backlog."""
    loop = EpollLoop(1)
    listener = loop.listen(("127.0.0.1", 0))
    assert isinstance(listener, EpollListener)
    return loop, listener, [socket.create_connection(listener.address) for _ in range(number)]  # type: ignore[arg-type]


def drain(loop: EpollLoop, listener: EpollListener) -> list[Sock]:
    """Return the connections that an acceptor accepts when it drains the backlog."""
    accepted: list[Sock] = []
    acceptor = Acceptor(loop, listener, accepted.append)
    drained: list[bool] = []
    acceptor.drain(lambda: drained.append(True))
    for _ in range(200):
        if drained:
            return accepted
        loop.call_later(5.0, lambda: None)
        loop.turn()
    raise AssertionError("the backlog was not drained")


# Guards against resetting the connections in the backlog at shutdown because an accept before them failed.
@pytest.mark.parametrize("name", [*TRANSIENT, *SHORTAGES])
def test_a_transient_accept_error_leaves_no_connection_in_the_backlog(name: str) -> None:
    loop, listener, clients = listener_with_backlog(3)
    listener._sock = Failing(listener._sock, "accept", getattr(errno, name), 2)  # type: ignore[assignment]
    assert len(drain(loop, listener)) == len(clients)


# Guards against closing a connection without an answer because an option of its socket could not be set.
@pytest.mark.parametrize("name", ["EINVAL", "ENOBUFS"])
def test_a_socket_option_that_cannot_be_set_loses_no_connection(monkeypatch: pytest.MonkeyPatch, name: str) -> None:
    loop, listener, clients = listener_with_backlog(1)
    accept: Callable[[], tuple[socket.socket, Any]] = listener._sock.accept

    class Accepting:
        def accept(self) -> tuple[Any, Any]:
            sock, address = accept()
            return Failing(sock, "setsockopt", getattr(errno, name), 1), address

    listener._sock = Accepting()  # type: ignore[assignment]
    connection = listener.accept()
    assert connection is not None and len(clients) == 1
    loop.close()


# Guards against treating a host, or a whole zone, as dead because the local machine has no port or no route.
@pytest.mark.parametrize("name", [*SHORTAGES, "EADDRNOTAVAIL", "ENETUNREACH"])
def test_a_shortage_of_the_local_machine_says_nothing_about_the_peer(name: str) -> None:
    assert is_local_shortage(OSError(getattr(errno, name), name))


@pytest.mark.parametrize("name", ["ECONNREFUSED", "ETIMEDOUT", "ECONNRESET", "EHOSTUNREACH"])
def test_an_error_of_the_peer_is_not_a_local_shortage(name: str) -> None:
    assert not is_local_shortage(OSError(getattr(errno, name), name))
