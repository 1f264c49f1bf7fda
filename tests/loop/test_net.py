"""Transports, signals and file descriptor exhaustion, over real sockets."""

from __future__ import annotations

import contextlib
import gc
import os
import resource
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator

import pytest

from sprucepost.loop import Co, Scope, Sock, Transport, connect, current, in_scope, sleep
from sprucepost.loop.accept import Acceptor
from sprucepost.loop.epoll import EpollLoop


@pytest.fixture
def loop() -> Iterator[EpollLoop]:
    loop = EpollLoop(seed=1)
    yield loop
    loop.close()


class EchoServer:
    """Sends back what each connection receives."""

    def __init__(self, loop: EpollLoop) -> None:
        self.transports: list[Transport] = []
        self.loop = loop
        self.acceptor = Acceptor(loop, loop.listen(("127.0.0.1", 0)), self.on_connection)

    def on_connection(self, sock: Sock) -> None:
        transport = Transport(self.loop, sock)
        transport.on_data = transport.write
        transport.on_end = transport.close
        self.transports.append(transport)
        transport.start()


def test_data_larger_than_the_socket_buffers_is_echoed_completely(loop: EpollLoop) -> None:
    data = bytes(range(256)) * 20_000  # several times the size of a socket buffer, to force partial writes

    def main() -> Co[bytes]:
        echo = EchoServer(loop)
        client = yield from connect(loop, (yield from current()), echo.acceptor.address, 1000)
        received: list[bytes] = []
        client.on_data = received.append
        done: list[bool] = []
        client.on_end = lambda: done.append(True)
        client.start()
        client.write(data)
        client.shutdown_write()
        while not done:
            yield from sleep(1)
        client.close()
        echo.acceptor.close()
        return b"".join(received)

    assert loop.run(main) == data


# Guards against a peer that is never heard again, since a closed connection is paused whose descriptor its own has by now.
def test_pausing_a_closed_connection_leaves_the_next_one_with_its_descriptor_alone(loop: EpollLoop) -> None:
    def main() -> Co[list[bytes]]:
        echo = EchoServer(loop)
        task = yield from current()
        first = yield from connect(loop, task, echo.acceptor.address, 1000)
        first.start()
        descriptor = first._sock.fd  # type: ignore[attr-defined]
        first.abort()
        second = yield from connect(loop, task, echo.acceptor.address, 1000)
        assert second._sock.fd == descriptor  # type: ignore[attr-defined]
        received: list[bytes] = []
        second.on_data = received.append
        second.start()
        first.pause()
        second.write(b"hello")
        yield from sleep(100)
        second.close()
        echo.acceptor.close()
        return received

    assert loop.run(main) == [b"hello"]


# Guards against requests that are refused unplaced as too old: their connection had been paused once, seconds before.
@pytest.mark.parametrize("polls_between", [1, 3])
def test_a_pause_that_is_over_adds_nothing_to_how_long_later_data_has_waited(
    loop: EpollLoop, polls_between: int
) -> None:
    def main() -> Co[list[tuple[bytes, float]]]:
        echo = EchoServer(loop)
        assert isinstance(echo.acceptor.address, tuple)
        client = socket.create_connection(echo.acceptor.address)
        yield from sleep(20)
        [transport] = echo.transports
        seen: list[tuple[bytes, float]] = []
        transport.on_data = lambda data: seen.append((data, transport.waited_ms))
        transport.pause()
        yield from sleep(20)
        transport.resume()
        for _ in range(polls_between):
            yield from sleep(300 / polls_between)
        client.sendall(b"later")
        yield from sleep(20)
        transport.pause()
        client.sendall(b"meanwhile")
        yield from sleep(200)
        transport.resume()
        yield from sleep(20)
        client.close()
        echo.acceptor.close()
        return seen

    [(later, later_waited), (meanwhile, meanwhile_waited)] = loop.run(main)
    assert (later, meanwhile) == (b"later", b"meanwhile")
    assert later_waited < 150.0, "less than the 300 ms since the pause"
    assert meanwhile_waited >= 195.0, "what arrives during a pause has waited for all of it"


def test_a_reader_that_does_not_read_stops_the_sender(loop: EpollLoop) -> None:
    def main() -> Co[tuple[int, int]]:
        accepted: list[Transport] = []

        def on_connection(sock: Sock) -> None:
            accepted.append(Transport(loop, sock))

        acceptor = Acceptor(loop, loop.listen(("127.0.0.1", 0)), on_connection)
        client = yield from connect(loop, (yield from current()), acceptor.address, 1000)
        client.start()
        client.write(bytes(50_000_000))
        yield from sleep(50)
        before = client.buffered
        yield from sleep(50)
        after = client.buffered
        client.abort()
        for transport in accepted:
            transport.abort()
        acceptor.close()
        return before, after

    before, after = loop.run(main)
    assert before == after > 10_000_000


def test_a_refused_connection_raises_and_leaves_nothing_watched(loop: EpollLoop) -> None:
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        address = ("127.0.0.1", unused.getsockname()[1])

    def main() -> Co[None]:
        yield from connect(loop, (yield from current()), address, 1000)

    with pytest.raises(ConnectionRefusedError):
        loop.run(main)
    assert not loop._watched


def test_a_signal_runs_its_callback_in_the_loop(loop: EpollLoop) -> None:
    got: list[int] = []

    def main() -> Co[None]:
        loop.on_signal(signal.SIGUSR1, lambda: got.append(signal.SIGUSR1))
        os.kill(os.getpid(), signal.SIGUSR1)
        for _ in range(100):
            if got:
                return
            yield from sleep(5)

    old = signal.getsignal(signal.SIGUSR1)
    try:
        loop.run(main)
    finally:
        signal.signal(signal.SIGUSR1, old)
    assert got == [signal.SIGUSR1]


def test_without_descriptors_the_loop_does_not_spin_and_accepting_resumes(loop: EpollLoop) -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)

    def main(scope: Scope) -> Co[tuple[int, int, int]]:
        echo = EchoServer(loop)
        assert isinstance(echo.acceptor.address, tuple)
        clients = [socket.create_connection(echo.acceptor.address) for _ in range(3)]  # they wait in the backlog
        # Garbage collection of objects of earlier tests frees descriptors: do it now, and not during the test.
        gc.collect()
        gc.disable()
        highest = max(int(fd) for fd in os.listdir("/proc/self/fd"))
        fillers = []
        resource.setrlimit(resource.RLIMIT_NOFILE, (highest + 2, hard))
        try:
            while True:
                fillers.append(os.dup(0))
        except OSError:
            pass
        loop.turns = 0
        yield from sleep(300)
        turns = loop.turns
        accepted_exhausted, failed = len(echo.transports), echo.acceptor.failed_accepts
        for fd in fillers:
            os.close(fd)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        yield from sleep(300)
        accepted = len(echo.transports)
        for client in clients:
            client.close()
        yield from sleep(20)
        echo.acceptor.close()
        assert failed >= 1 and turns < 30
        return accepted_exhausted, accepted, turns

    try:
        accepted_exhausted, accepted, _ = loop.run(lambda: in_scope(main))
    finally:
        gc.enable()
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    assert accepted_exhausted < 3 and accepted == 3


_CLIENT = """
import sys
from sprucepost.loop import Co, Transport, connect, current, sleep, within, TimedOut, park
from sprucepost.loop.epoll import EpollLoop
loop = EpollLoop()
def main():
    task = yield from current()
    transport = yield from connect(loop, task, ("127.0.0.1", int(sys.argv[1])), 1000)
    waiting = []
    transport.on_data = lambda data: waiting.pop().wake()
    transport.start()
    def answer():
        def trap(task):
            waiting.append(task)
            return waiting.clear
        yield trap
    print("waiting", flush=True)
    try:
        yield from within(task, 300, answer())
    except TimedOut:
        return "timed out"
    return "answered"
print(loop.run(main), flush=True)
"""


def test_after_sigstop_an_answer_in_the_socket_wins_over_its_timeout() -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        child = subprocess.Popen(
            [sys.executable, "-c", _CLIENT, str(server.getsockname()[1])], stdout=subprocess.PIPE, text=True
        )
        assert child.stdout is not None
        try:
            peer, _ = server.accept()
            assert child.stdout.readline() == "waiting\n"
            time.sleep(0.05)
            child.send_signal(signal.SIGSTOP)
            time.sleep(0.1)
            peer.sendall(b"answer")
            time.sleep(0.6)
            child.send_signal(signal.SIGCONT)
            assert child.stdout.readline() == "answered\n"
        finally:
            child.kill()
            child.wait()
            child.stdout.close()
            peer.close()


def test_without_a_descriptor_left_a_datagram_is_dropped_without_an_error(loop: EpollLoop) -> None:
    """A watchdog heartbeat must not raise: it once stopped a placer whose owners held every descriptor."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    highest = max(int(name) for name in os.listdir("/proc/self/fd"))
    resource.setrlimit(resource.RLIMIT_NOFILE, (highest + 1, hard))
    fillers = []
    try:
        with contextlib.suppress(OSError):
            while True:
                fillers.append(os.dup(0))
        loop.send_datagram("/none/there", b"WATCHDOG=1")
    finally:
        for fd in fillers:
            os.close(fd)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def test_after_a_pause_all_arrived_data_is_read_in_one_turn_and_counts_as_having_waited() -> None:
    """The result of epoll may date from before the pause and name only one of several ready sockets."""

    class PausedLoop(EpollLoop):
        pause_ms = 0.0

        def now(self) -> float:
            return super().now() + self.pause_ms

    loop = PausedLoop(seed=1)
    waits: dict[str, float] = {}

    def main(scope: Scope) -> Co[None]:
        echo = EchoServer(loop)
        assert isinstance(echo.acceptor.address, tuple)
        clients = [socket.create_connection(echo.acceptor.address) for _ in range(2)]
        yield from sleep(50)
        for name, transport in zip("ab", echo.transports, strict=True):
            transport.on_data = lambda data, name=name, of=transport: waits.update({name: of.waited_ms})  # type: ignore[misc]
        real = loop._epoll

        class InterruptedEpoll:
            def poll(self, wait: float, max_events: int) -> list[tuple[int, int]]:
                if not loop.pause_ms:
                    for client in clients:
                        client.sendall(b"x")
                    time.sleep(0.05)
                    loop.pause_ms = 2000.0
                    return real.poll(0.0, max_events)[:1]
                return real.poll(wait, max_events)

            def __getattr__(self, name: str) -> object:
                return getattr(real, name)

        loop._epoll = InterruptedEpoll()  # type: ignore[assignment]
        yield from sleep(50)
        loop._epoll = real
        for client in clients:
            client.close()
        yield from sleep(20)
        echo.acceptor.close()

    loop.run(lambda: in_scope(main))
    loop.close()
    assert set(waits) == {"a", "b"} and all(ms > 1900.0 for ms in waits.values())
