"""Transports, signals and running out of descriptors, over real sockets."""

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


class Echo:
    def __init__(self, loop: EpollLoop) -> None:
        self.transports: list[Transport] = []
        self.loop = loop
        self.acceptor = Acceptor(loop, loop.listen(("127.0.0.1", 0)), self.take)

    def take(self, sock: Sock) -> None:
        transport = Transport(self.loop, sock)
        transport.on_data = transport.write
        transport.on_end = transport.close
        self.transports.append(transport)
        transport.start()


def test_bytes_come_back_whole_whatever_the_size(loop: EpollLoop) -> None:
    data = bytes(range(256)) * 20_000  # several times a socket buffer: partial writes happen

    def main() -> Co[bytes]:
        echo = Echo(loop)
        client = yield from connect(loop, (yield from current()), echo.acceptor.address, 1000)
        got: list[bytes] = []
        client.on_data = got.append
        done: list[bool] = []
        client.on_end = lambda: done.append(True)
        client.start()
        client.write(data)
        client.shutdown_write()
        while not done:
            yield from sleep(1)
        client.close()
        echo.acceptor.close()
        return b"".join(got)

    assert loop.run(main) == data


def test_a_paused_reader_stops_the_sender(loop: EpollLoop) -> None:
    def main() -> Co[tuple[int, int]]:
        taken: list[Transport] = []

        def take(sock: Sock) -> None:
            taken.append(Transport(loop, sock))

        acceptor = Acceptor(loop, loop.listen(("127.0.0.1", 0)), take)
        client = yield from connect(loop, (yield from current()), acceptor.address, 1000)
        client.start()
        client.write(bytes(50_000_000))
        yield from sleep(50)
        held = client.buffered
        yield from sleep(50)
        still = client.buffered
        client.abort()
        for transport in taken:
            transport.abort()
        acceptor.close()
        return held, still

    held, still = loop.run(main)
    assert held == still > 10_000_000


def test_refused_connections_raise(loop: EpollLoop) -> None:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        address = ("127.0.0.1", free.getsockname()[1])

    def main() -> Co[None]:
        yield from connect(loop, (yield from current()), address, 1000)

    with pytest.raises(ConnectionRefusedError):
        loop.run(main)
    assert not loop._watched


def test_signals_arrive_in_the_loop(loop: EpollLoop) -> None:
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
        echo = Echo(loop)
        assert isinstance(echo.acceptor.address, tuple)
        clients = [socket.create_connection(echo.acceptor.address) for _ in range(3)]  # wait in the backlog
        # What earlier tests left to the collector gives its descriptors back whenever that runs: now, and not meanwhile.
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
        starved, short = len(echo.transports), echo.acceptor.failed_accepts
        for fd in fillers:
            os.close(fd)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        yield from sleep(300)
        accepted = len(echo.transports)
        for client in clients:
            client.close()
        yield from sleep(20)
        echo.acceptor.close()
        assert short >= 1 and turns < 30
        return starved, accepted, turns

    try:
        starved, accepted, _ = loop.run(lambda: in_scope(main))
    finally:
        gc.enable()
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    assert starved < 3 and accepted == 3


_STOPPED = """
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


def test_after_sigstop_an_answer_in_the_socket_goes_before_its_time_out() -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        child = subprocess.Popen(
            [sys.executable, "-c", _STOPPED, str(server.getsockname()[1])], stdout=subprocess.PIPE, text=True
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


def test_without_a_descriptor_left_a_datagram_is_dropped_and_nothing_else(loop: EpollLoop) -> None:
    """The watchdog's beat of a placer whose owners had taken every descriptor ended the placer."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    highest = max(int(name) for name in os.listdir("/proc/self/fd"))
    resource.setrlimit(resource.RLIMIT_NOFILE, (highest + 1, hard))
    filled = []
    try:
        with contextlib.suppress(OSError):
            while True:
                filled.append(os.dup(0))
        loop.send_datagram("/none/there", b"WATCHDOG=1")
    finally:
        for fd in filled:
            os.close(fd)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def test_after_a_pause_all_that_has_come_is_read_in_one_turn_and_counts_as_having_waited() -> None:
    """The kernel's answer may be from before the pause, and name one socket of several."""

    class Paused(EpollLoop):
        ahead = 0.0

        def now(self) -> float:
            return super().now() + self.ahead

    loop = Paused(seed=1)
    waited: dict[str, float] = {}

    def main(scope: Scope) -> Co[None]:
        echo = Echo(loop)
        assert isinstance(echo.acceptor.address, tuple)
        clients = [socket.create_connection(echo.acceptor.address) for _ in range(2)]
        yield from sleep(50)
        for name, transport in zip("ab", echo.transports, strict=True):
            transport.on_data = lambda data, name=name, of=transport: waited.update({name: of.waited_ms})  # type: ignore[misc]
        real = loop._epoll

        class Interrupted:
            def poll(self, wait: float, most: int) -> list[tuple[int, int]]:
                if not loop.ahead:
                    for client in clients:
                        client.sendall(b"x")
                    time.sleep(0.05)
                    loop.ahead = 2000.0
                    return real.poll(0.0, most)[:1]
                return real.poll(wait, most)

            def __getattr__(self, name: str) -> object:
                return getattr(real, name)

        loop._epoll = Interrupted()  # type: ignore[assignment]
        yield from sleep(50)
        loop._epoll = real
        for client in clients:
            client.close()
        yield from sleep(20)
        echo.acceptor.close()

    loop.run(lambda: in_scope(main))
    loop.close()
    assert set(waited) == {"a", "b"} and all(ms > 1900.0 for ms in waited.values())
