"""Outages that last for more failures in a row than a float can be doubled: more than 1,024."""

from __future__ import annotations

import random
from pathlib import Path

import pytest

from sprucepost import interface as i
from sprucepost.backoff import exponential_backoff
from sprucepost.loop import Co, sleep
from sprucepost.node import binary, feed, hosts
from sprucepost.node.binary import Kind
from sprucepost.view import Record, View
from sprucepost.view.view import MAX_DIAL_BACKOFF_MS
from tests.node.platform import setup
from tests.node.virtual import LISTEN, Placer, host_address, run_virtual
from tests.support import Cluster, entry, offers, settings

FAILURES = 1100
TASK = "c0255aa5c7e00001"


# Guards against a crash of every placer after ten minutes without discovery.
def test_a_placer_serves_on_through_a_long_outage_of_discovery(tmp_path: Path) -> None:
    def body(placer: Placer) -> Co[None]:
        yield from sleep(FAILURES * (feed.RETRY_MAX_MS + placer.service.config.connect_ms))
        assert placer.service.counters["bulletin_failed"] > FAILURES
        client = placer.loop.arrive(LISTEN, "127.0.2.1:1", setup(TASK))
        yield from sleep(5)
        for _ in range(3):
            placer.serve_hosts()
            yield from sleep(5)
        kinds = [message.kind for message in binary.Decoder().feed(bytes(client.sent))]
        assert kinds == [Kind.ANSWER, Kind.RELEASE]

    run_virtual(tmp_path, body)


# Guards against the same through dials of one host that fail.
def test_a_placer_serves_on_after_many_failed_dials_of_a_host(tmp_path: Path) -> None:
    def body(placer: Placer) -> Co[None]:
        yield from sleep(1)
        host = placer.service.hosts.hosts["s-0"]
        host.failed_dials = FAILURES
        placer.loop.arrive(LISTEN, "127.0.2.1:1", setup(TASK))
        yield from sleep(5)
        [sock] = placer.dialled(host_address(0))
        sock.error, sock.up = ConnectionRefusedError("refused"), True
        yield from sleep(5)
        assert host.failed_dials == FAILURES + 1
        assert host.redial_at - placer.loop.now() <= hosts.REDIAL_MAX_MS

    run_virtual(tmp_path, body)


# Guards against the same in the decisions, through a machine that never answers offers of one class.
def test_a_machine_that_is_silent_for_long_is_still_tried() -> None:
    cluster = Cluster(settings(max_attempts=1), entry("m"))
    tried = 0
    for _ in range(FAILURES):
        offer = cluster.place(later=5000.0)
        if offer is not None:
            tried += 1
            cluster.report_outcome(offer, i.Ending.TIMEOUT, later=10.0)
    assert tried == FAILURES


# Guards against the same in the decisions, through calls for the list that fail.
def test_the_list_is_asked_for_through_a_long_outage() -> None:
    cluster = Cluster(settings(list_mode=i.ListMode.ASK), entry("m"))
    for _ in range(FAILURES):
        actions = cluster.after(10_000.0, i.MachineList(i.ListKind.FAILED))
        assert [action for action in actions if isinstance(action, i.SetTimer) and action.name == "list"]
    assert offers(cluster.after(0.0, cluster.task_request()))


# Guards against the same in the fleet's view, through dials of one member that fail.
def test_a_member_of_the_view_that_cannot_be_dialled_for_long_is_still_dialled() -> None:
    own = Record(name="p0", incarnation=1, life="l0", version=0, number=0, host="h0", room="r0", address="a0")
    view = View(own, "fleet", "settings", (), random.Random(1), 0.0)
    for _ in range(FAILURES):
        view._back_off(0.0, "p1")
    failures, next_dial_at = view._dial_backoff["p1"]
    assert failures == FAILURES and next_dial_at <= MAX_DIAL_BACKOFF_MS


@pytest.mark.parametrize("earlier_failures, delay_ms", [(0, 50.0), (1, 100.0), (4, 800.0), (5, 800.0), (10**6, 800.0)])
def test_the_delay_doubles_up_to_its_maximum(earlier_failures: int, delay_ms: float) -> None:
    assert exponential_backoff(50.0, earlier_failures, 800.0) == delay_ms
