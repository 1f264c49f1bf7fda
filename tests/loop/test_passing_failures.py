"""System calls that fail for a moment, as their manual pages allow: accept, connect, socket options."""

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

PASSING = ["ECONNABORTED", "EPROTO", "ENETDOWN", "ENOPROTOOPT", "EHOSTDOWN", "ENONET", "EHOSTUNREACH", "EOPNOTSUPP",
           "ENETUNREACH", "EPERM", "EINTR"]  # fmt: skip
SHORT = ["EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"]


class Failing:
    """A socket whose call of that name fails ``times`` with that error, and then works."""

    def __init__(self, real: Any, name: str, code: int, times: int) -> None:
        self._real, self._name, self._code, self.times = real, name, code, times

    def __getattr__(self, name: str) -> Any:
        if name != self._name or not self.times:
            return getattr(self._real, name)

        def fail(*args: Any) -> None:
            self.times -= 1
            raise OSError(self._code, os.strerror(self._code))

        return fail


def waiting(number: int) -> tuple[EpollLoop, EpollListener, list[socket.socket]]:
    """A listener in whose backlog so many connections wait."""
    loop = EpollLoop(1)
    listener = loop.listen(("127.0.0.1", 0))
    assert isinstance(listener, EpollListener)
    return loop, listener, [socket.create_connection(listener.address) for _ in range(number)]  # type: ignore[arg-type]


def drained(loop: EpollLoop, listener: EpollListener) -> list[Sock]:
    """What an acceptor takes that drains the backlog at once and closes."""
    taken: list[Sock] = []
    acceptor = Acceptor(loop, listener, taken.append)
    closed: list[bool] = []
    acceptor.drain(lambda: closed.append(True))
    for _ in range(200):
        if closed:
            return taken
        loop.call_later(5.0, lambda: None)
        loop.turn()
    raise AssertionError("the backlog was not drained")


# Guards against connections that wait in the backlog and are reset at a stop, since one accept before them failed.
@pytest.mark.parametrize("name", [*PASSING, *SHORT])
def test_a_passing_failure_of_accept_leaves_nobody_in_the_backlog(name: str) -> None:
    loop, listener, clients = waiting(3)
    listener._sock = Failing(listener._sock, "accept", getattr(errno, name), 2)  # type: ignore[assignment]
    assert len(drained(loop, listener)) == len(clients)


# Guards against a connection that is closed with no word because an option of its socket could not be set.
@pytest.mark.parametrize("name", ["EINVAL", "ENOBUFS"])
def test_an_option_that_cannot_be_set_costs_no_connection(monkeypatch: pytest.MonkeyPatch, name: str) -> None:
    loop, listener, clients = waiting(1)
    accept: Callable[[], tuple[socket.socket, Any]] = listener._sock.accept

    class Accepting:
        def accept(self) -> tuple[Any, Any]:
            sock, address = accept()
            return Failing(sock, "setsockopt", getattr(errno, name), 1), address

    listener._sock = Accepting()  # type: ignore[assignment]
    taken = listener.accept()
    assert taken is not None and len(clients) == 1
    loop.close()


# Guards against a host, or a whole zone, that is held to be dead because our own machine has no port or no route.
@pytest.mark.parametrize("name", [*SHORT, "EADDRNOTAVAIL", "ENETUNREACH"])
def test_what_our_own_machine_lacks_says_nothing_of_the_peer(name: str) -> None:
    assert is_local_shortage(OSError(getattr(errno, name), name))


@pytest.mark.parametrize("name", ["ECONNREFUSED", "ETIMEDOUT", "ECONNRESET", "EHOSTUNREACH"])
def test_what_a_peer_does_is_no_shortage(name: str) -> None:
    assert not is_local_shortage(OSError(getattr(errno, name), name))
