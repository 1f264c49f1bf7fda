"""Dials that fail because this machine has no port or route, or has stood still: they must not count against the host."""

from __future__ import annotations

import errno
from pathlib import Path

import pytest

from sprucepost.loop import Address, Co, Sock, sleep
from sprucepost.loop.epoll import EpollLoop
from sprucepost.node import binary
from sprucepost.node.binary import Kind
from tests.node import virtual
from tests.node.platform import Platform, run_on_platform, setup, wait_for_message
from tests.node.virtual import DISCOVERY, LISTEN, Placer, SocketLoop, run_virtual
from tests.wire.support import wait_for

TASK, NEXT = "c0455aa5c7e00001", "c0455aa5c7e00002"


class ShortLoop(EpollLoop):
    """Fails each dial to one of ``hosts`` with ``code`` while ``short`` is true."""

    def __init__(self, code: int) -> None:
        super().__init__(1)
        self.code, self.short = code, True
        self.hosts: set[Address] = set()

    def dial(self, address: Address, source: str | None = None) -> Sock:
        if self.short and address in self.hosts:
            raise OSError(self.code, "no way out")
        return super().dial(address, source)


# Guards against avoiding hosts, a whole zone at once, after this machine had no port or route for a while.
@pytest.mark.parametrize("code", [errno.EADDRNOTAVAIL, errno.ENETUNREACH])
def test_a_dial_that_failed_locally_counts_against_no_host(tmp_path: Path, code: int) -> None:
    loop = ShortLoop(code)

    def body(platform: Platform) -> Co[None]:
        hosts = [platform.host("s-1"), platform.host("s-2")]
        loop.hosts = {("127.0.0.1", host.port) for host in hosts}
        platform.start()
        owner = yield from platform.owner()
        owner.transport.write(setup(TASK))
        yield from wait_for(lambda: platform.service.counters["unsent"] >= 2)  # offers that timed out meanwhile
        assert platform.service.counters["ended_connect_failed"] == 0
        assert not any(machine.suspicions for machine in platform.service.driver.scheduler.machines.values())
        loop.short = False
        owner.transport.write(setup(NEXT))
        yield from wait_for_message(owner, NEXT, Kind.ANSWER, 1000.0)

    run_on_platform(tmp_path, body, loop)


class PausedLoop(SocketLoop):
    """Stands still for ``pause_ms`` at each dial to a host, as a process does that is stopped or collects its garbage."""

    pause_ms = 0.0

    def dial(self, address: Address, source: str | None = None) -> Sock:
        if address != DISCOVERY:
            self.time += self.pause_ms
        return super().dial(address, source)


def offer_while_paused(folder: Path, monkeypatch: pytest.MonkeyPatch, pause_ms: float, up_after_ms: float) -> Placer:
    """Return a placer that stood still at the dial for its one task; the connection came up that much later."""
    monkeypatch.setattr(virtual, "SocketLoop", PausedLoop)
    monkeypatch.setattr(PausedLoop, "pause_ms", pause_ms)
    placers: list[Placer] = []

    def body(placer: Placer) -> Co[None]:
        placers.append(placer)
        yield from sleep(1)
        client = placer.loop.arrive(LISTEN, "127.0.2.1:1", setup(TASK))
        yield from sleep(up_after_ms)
        ends = placer.loop.time + 300.0
        while placer.loop.time < ends:
            placer.serve_hosts()
            yield from sleep(5)
        found = [message.kind for message in binary.Decoder().feed(bytes(client.sent))]
        assert found == [Kind.ANSWER, Kind.RELEASE] or not pause_ms

    run_virtual(folder, body)
    return placers[0]


# Guards against a host that is avoided for 4 s, the last one with room too, as this process stood still at its dial.
@pytest.mark.parametrize("pause_ms", [350.0, 600.0, 1000.0])
def test_a_pause_of_this_process_at_a_dial_counts_against_no_host(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, pause_ms: float
) -> None:
    placer = offer_while_paused(tmp_path, monkeypatch, pause_ms, up_after_ms=1.0)
    assert placer.service.counters["unsent"] >= 1 and placer.service.counters["ended_connect_failed"] == 0
    assert not any(machine.suspicions for machine in placer.service.driver.scheduler.machines.values())


def test_a_host_that_does_not_come_up_in_time_is_blamed(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    placer = offer_while_paused(tmp_path, monkeypatch, pause_ms=0.0, up_after_ms=350.0)
    assert placer.service.counters["ended_connect_failed"] == 1
