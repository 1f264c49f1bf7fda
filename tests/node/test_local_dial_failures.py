"""Dials that fail because this machine has no port or route: they must not count against the host."""

from __future__ import annotations

import errno
from pathlib import Path

import pytest

from sprucepost.loop import Address, Co, Sock
from sprucepost.loop.epoll import EpollLoop
from sprucepost.node.binary import Kind
from tests.node.platform import Platform, run_on_platform, setup, wait_for_message
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
