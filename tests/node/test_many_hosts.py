"""Sixteen times the usual number of hosts: the processor time of one list, during which no socket is read."""

from __future__ import annotations

import gc
import time
from pathlib import Path

from sprucepost.loop import Co, sleep
from tests.node.virtual import Placer, host_address, known_hosts, run_virtual
from tests.test_decision_slices import MAX_BATCH_S

HOSTS, REPLACED = 3200, 1920


# Guards against comparing each new host with every known host: a release was read late for it (incident 8).
def test_a_list_of_many_new_hosts_delays_no_release_too_long(tmp_path: Path) -> None:
    def body(placer: Placer) -> Co[None]:
        yield from sleep(1)
        whole = known_hosts(HOSTS + REPLACED)["items"][0]["roster"]["targets"]
        event = {"no": 2, "roster": {"rev": 2, "all": False, "targets": whole[HOSTS:]}}
        update = placer.service.feed.bulletin.apply({"no": 2, "items": [event]})
        assert update is not None
        gc.collect()  # as the node does at its start: a full collection of the test process itself takes up to 200 ms
        began = time.process_time()
        placer.service.hosts.apply_list(update)
        assert time.process_time() - began <= MAX_BATCH_S
        assert len(placer.service.hosts.hosts) == HOSTS + REPLACED

    run_virtual(tmp_path, body, known=known_hosts(HOSTS))


# Guards against a host that stays listed at an address that another host has taken over.
def test_a_new_host_replaces_only_the_host_at_its_address(tmp_path: Path) -> None:
    def body(placer: Placer) -> Co[None]:
        yield from sleep(1)
        [entry] = known_hosts(1)["items"][0]["roster"]["targets"]
        for number, uid in enumerate(("s-a", "s-b"), 2):
            event = {"no": number, "roster": {"rev": number, "all": False, "targets": [entry | {"uid": uid}]}}
            update = placer.service.feed.bulletin.apply({"no": number, "items": [event]})
            assert update is not None
            placer.service.hosts.apply_list(update)
            assert {host.uid for host in placer.service.hosts.hosts.values()} == {uid, "s-1", "s-2"}
            assert placer.service.hosts.hosts[uid].address == host_address(0)

    run_virtual(tmp_path, body, known=known_hosts(3))
