"""What hollow members and clients begin with."""

from __future__ import annotations

from dataclasses import replace

from sprucepost.scale.hollow.clients import KEEPALIVE_MS
from sprucepost.scale.hollow.members import fleet_records, member_name, record_of
from sprucepost.scale.hollow.settings import KnownMember
from sprucepost.view.record import merge
from sprucepost.view.rings import ring_successors
from sprucepost.wire.connection import Options

FLEET = [
    KnownMember(n, f"host{n // 2}", f"room{n % 3}", 1000 + n, f"life{n}", f"127.0.0.1:{n}", real=n < 3)
    for n in range(30)
]


def test_hollow_members_see_whom_the_rings_ask_for_and_who_asks_for_them() -> None:
    records = {record.name: record for record in fleet_records(FLEET, 30)}
    hollow = {member_name(known.number) for known in FLEET if not known.real}
    assert set(records) == {member_name(n) for n in range(30)}
    for name in hollow:
        record, seen = records[name], {other for other, _ in records[name].sees}
        assert seen >= set(ring_successors(record, list(records.values())))
        assert all(records[other].life == life for other, life in record.sees)
        for other in seen & hollow:
            assert name in {back for back, _ in records[other].sees}, "a stream is seen from both of its ends"


def test_what_a_real_member_tells_of_itself_counts() -> None:
    real = record_of(FLEET[0], 30)
    assert not real.sees
    later = replace(real, version=1, sees=(("p5", "life5"),))
    assert merge(real, later) == later


def test_hollow_clients_ping_no_more_often_than_a_placer_allows() -> None:
    assert Options().min_ping_interval_ms <= KEEPALIVE_MS
