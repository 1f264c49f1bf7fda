"""Which connections are accepted and which are closed while hundreds of idle clients connect; on virtual time."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Any

import pytest

from sprucepost.adapter import settings_from
from sprucepost.loop import Co, sleep
from sprucepost.node import binary, parsing
from sprucepost.node.binary import Code, Kind
from sprucepost.node.descriptors import Descriptors
from sprucepost.node.log import Log
from sprucepost.node.owners import ARRIVAL_GRACE_MS, Owners
from sprucepost.node.tasks import Tasks
from sprucepost.placing.scheduler_driver import SchedulerDriver
from tests.node.platform import settings, setup
from tests.node.test_crossings import release
from tests.node.virtual import DISCOVERY, LISTEN, Placer, SocketLoop, VirtualSock, known_hosts, run_virtual

ADDRESS = LISTEN
TEST = binary.encode(Kind.TEST, "5c" * 8, [(Code.CAUSE, b"\0")])


class Front:
    """The owners' side of a placer with 64 descriptors and at most 32 client connections."""

    def __init__(self) -> None:
        self.loop, self.counters = SocketLoop(), Counter[str]()
        found = settings_from(settings())
        driver = SchedulerDriver(self.loop, found, 1, 0.05, lambda: None, lambda *a, **k: None, self.counters)
        tasks = Tasks(self.loop, driver, found, lambda text: parsing.parse_load_report(text, (), ()), self.counters)
        descriptors = Descriptors(64, lambda: len(self.owners.links))
        self.owners = Owners(
            self.loop,
            self.loop.listen(ADDRESS),
            tasks,
            parsing.SetUpParser(found),
            descriptors,
            32,
            64,
            30_000.0,
            Log(self.loop, "n0", lambda line: None),
            self.counters,
        )
        self.socks: list[VirtualSock] = []

    def idle(self, number: int) -> None:
        """That many clients connect and send nothing."""
        self.socks += [self.loop.arrive(ADDRESS, f"127.0.1.1:{n}") for n in range(number)]

    def reconnect(self) -> None:
        """The clients whose connections were closed connect again at once."""
        closed = [sock for sock in self.socks if sock.closed]
        self.socks = [sock for sock in self.socks if not sock.closed]
        self.idle(len(closed))


def test_reconnecting_clients_do_not_evict_one_whose_first_message_is_in_flight() -> None:
    front = Front()
    front.idle(200)
    front.loop.pass_ms(200.0)
    for _ in range(20):
        usual = front.loop.arrive(ADDRESS, "127.0.2.1:1")
        waited = 0
        while usual in front.loop.listeners[ADDRESS].backlog:
            front.reconnect()
            front.loop.pass_ms(1.0)
            waited += 1
        for _ in range(int(ARRIVAL_GRACE_MS) - 10):
            front.reconnect()
            front.loop.pass_ms(1.0)
        usual.inbox.append(TEST)
        front.loop.pass_ms(1.0)
        assert usual.sent and not usual.closed
        assert waited <= 7 * ARRIVAL_GRACE_MS, "200 are before it, and 32 are accepted at a time"
    assert front.counters["owners_turned_away"] == 0


def test_reconnecting_clients_are_accepted_at_a_limited_rate() -> None:
    front = Front()
    front.idle(200)
    for _ in range(1000):
        front.reconnect()
        front.loop.pass_ms(1.0)
    assert front.counters["owner_room"] <= 32 * 1000.0 / ARRIVAL_GRACE_MS


def test_a_new_client_is_accepted_at_once_with_a_free_or_idle_connection() -> None:
    front = Front()
    front.idle(31)
    front.loop.pass_ms(1.0)
    usual = front.loop.arrive(ADDRESS, "127.0.2.1:1", TEST)
    front.loop.pass_ms(1.0)
    assert usual.sent
    front.loop.pass_ms(ARRIVAL_GRACE_MS + 1.0)
    usual = front.loop.arrive(ADDRESS, "127.0.2.1:1", TEST)
    front.loop.pass_ms(1.0)
    assert usual.sent and front.counters["owner_room"] == 1


def test_lingering_closes_are_counted_with_the_connections() -> None:
    """All served clients are closed as idle in one step, and connect again while their closes linger."""
    front = Front()
    for n in range(32):
        sid = f"5ec{n:013x}"
        front.socks.append(front.loop.arrive(ADDRESS, f"127.0.1.1:{n}", setup(sid) + release(sid)))
    front.loop.pass_ms(30_100.0)
    front.owners.tick()
    assert all(sock.ended and not sock.closed for sock in front.socks)
    newer = [front.loop.arrive(ADDRESS, f"127.0.2.1:{n}", TEST) for n in range(32)]
    front.loop.pass_ms(1.0)
    assert all(sock.sent for sock in newer)
    assert sum(not sock.closed for sock in front.socks + newer) <= 56


def alone_on_their_hosts() -> dict[str, Any]:
    """Settings by which a service has at most one task on a host, so that many hosts are in use."""
    found = settings()
    spread = {"class_spread": ["machine"] * 2, "most_together": [1, 1]}
    return {**found, "family_info": {**found["family_info"], **spread}}


def test_lingering_closes_of_host_connections_are_counted_too(tmp_path: Path) -> None:
    """Forty connections are closed as idle in one step and forty others are dialled, with 64 descriptors."""

    def body(placer: Placer) -> Co[None]:
        client = placer.loop.arrive(ADDRESS, "127.0.0.9:1")

        def held() -> int:
            return sum(not sock.closed for address, sock in placer.loop.dialled if address != DISCOVERY)

        def ask(first: int) -> Co[None]:
            client.inbox.append(b"".join(setup(f"5ec{n:013x}") for n in range(first, first + 40)))
            for _ in range(20):
                placer.serve_hosts()
                yield from sleep(1)
                assert held() + 1 <= 56

        yield from ask(1)
        before = held()
        assert before > 30
        while not placer.service.counters["host_link_idle"]:
            yield from sleep(10)
        assert held() == before, "the closes linger"
        yield from ask(100)
        assert placer.service.counters["over_ok"] == 80

    found = alone_on_their_hosts()
    found["policy_limits"]["keepalive"] = 1000.0
    run_virtual(tmp_path, body, known=known_hosts(60), settings=found)


@pytest.mark.parametrize("clients", [12, 60])
def test_clients_get_their_share_of_descriptors_at_once_while_hosts_use_the_rest(tmp_path: Path, clients: int) -> None:
    """Guards against new clients that evict or wait for one another while connections to hosts use all descriptors."""

    def body(placer: Placer) -> Co[None]:
        client = placer.loop.arrive(ADDRESS, "127.0.0.9:1")
        client.inbox.append(b"".join(setup(f"5ec{n:013x}") for n in range(1, 60)))
        counters = placer.service.counters
        while counters["over_ok"] < 59:
            placer.serve_hosts()
            yield from sleep(1)
        assert placer.service.descriptors.available() <= 0
        closed = counters["host_link_room"]
        first = [placer.loop.arrive(ADDRESS, f"127.0.1.1:{n}") for n in range(clients)]
        yield from sleep(2)
        for sock in first[:12]:
            sock.inbox.append(TEST)
        yield from sleep(2)
        assert all(sock.sent and not sock.closed for sock in first[:12]), "each is connected when its message comes"
        for sock in placer.loop.listeners[ADDRESS].backlog:
            assert sock in first[20:], "21 connections are the clients' share"
        yield from sleep(4 * ARRIVAL_GRACE_MS)
        assert not placer.loop.listeners[ADDRESS].backlog
        assert counters["host_link_room"] - closed <= 21 and not counters["owners_turned_away"]

    run_virtual(tmp_path, body, known=known_hosts(60), settings=alone_on_their_hosts())
