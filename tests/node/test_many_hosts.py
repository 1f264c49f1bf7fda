"""Sixteen times the usual number of hosts: what one list costs before the sockets are read again."""

from __future__ import annotations

import time
from pathlib import Path

from sprucepost.loop import Co, sleep
from tests.node.virtual import Placer, host_address, known_hosts, run_virtual
from tests.test_decision_slices import BATCH_MOST_S

HOSTS, REPLACED = 3200, 1920


# Guards against a release that is read late since a list of newcomers is compared with every host known (incident 8).
def test_a_list_of_many_newcomers_leaves_the_sockets_no_longer_than_a_release_may_wait(tmp_path: Path) -> None:
    def body(placer: Placer) -> Co[None]:
        yield from sleep(1)
        whole = known_hosts(HOSTS + REPLACED)["items"][0]["roster"]["targets"]
        event = {"no": 2, "roster": {"rev": 2, "all": False, "targets": whole[HOSTS:]}}
        told = placer.service.feed.bulletin.apply({"no": 2, "items": [event]})
        assert told is not None
        began = time.process_time()
        placer.service.hosts.apply_list(told)
        assert time.process_time() - began <= BATCH_MOST_S
        assert len(placer.service.hosts.hosts) == HOSTS + REPLACED

    run_virtual(tmp_path, body, known=known_hosts(HOSTS))


# Guards against a host that stays in service at an address that another has taken.
def test_a_newcomer_takes_the_address_of_the_former_alone(tmp_path: Path) -> None:
    def body(placer: Placer) -> Co[None]:
        yield from sleep(1)
        [entry] = known_hosts(1)["items"][0]["roster"]["targets"]
        for number, uid in enumerate(("s-a", "s-b"), 2):
            event = {"no": number, "roster": {"rev": number, "all": False, "targets": [entry | {"uid": uid}]}}
            told = placer.service.feed.bulletin.apply({"no": number, "items": [event]})
            assert told is not None
            placer.service.hosts.apply_list(told)
            assert {host.uid for host in placer.service.hosts.hosts.values()} == {uid, "s-1", "s-2"}
            assert placer.service.hosts.hosts[uid].address == host_address(0)

    run_virtual(tmp_path, body, known=known_hosts(3))
