"""One replica and few: what a proposal gets, what a merge does, what is held, kept, set aside and bounded."""

from __future__ import annotations

from sprucepost.configuration import State
from sprucepost.configuration.messages import InForce, Overwritten, Refused
from tests.configuration.support import FILE, Joined, proposal, replica


def test_a_change_is_in_force_at_all_and_the_file_is_its_base() -> None:
    fleet = Joined(replica("p0"), replica("p1", file={**FILE, "c.a": 7}), replica("p2"))
    fleet.join(0, 1)
    fleet.join(1, 2)
    receipt = fleet.replicas[0].propose(0.0, proposal(b=4))
    fleet.carry()
    assert receipt.refusal == "" and receipt.position is not None
    assert fleet.alike()
    assert fleet.replicas[2].configuration == {**{k: v for k, v in FILE.items() if k != "own.number"}, "c.b": 4}
    assert all(InForce(receipt.version) in events for events in fleet.events.values())
    assert [entry.state for entry in fleet.replicas[2].history] == [State.IN_FORCE, State.IN_FORCE]


def test_of_two_operators_the_later_in_the_order_holds_and_the_other_is_told() -> None:
    fleet = Joined(replica("p0"), replica("p1"))
    fleet.join(0, 1)
    fleet.replicas[0].propose(0.0, proposal(d=2))
    fleet.carry()
    fleet.cut(0, 1)
    first = fleet.replicas[0].propose(0.0, proposal(a=2, low=11)).position
    second = fleet.replicas[1].propose(0.0, proposal(a=3, high=30)).position
    assert first is not None and second is not None
    fleet.join(0, 1)
    assert fleet.alike()
    configuration = fleet.replicas[0].configuration
    assert (configuration["c.a"], configuration["c.low"], configuration["c.high"]) == (3, 11, 30)
    assert Overwritten(first, "c.a", second) in fleet.events["p0"]
    shown = {entry.change.position: entry for entry in fleet.replicas[1].history}
    assert shown[first].superseded_by == {"c.a": second} and shown[first].state is State.IN_FORCE


def test_what_is_valid_on_each_side_and_invalid_together_is_refused_whole_and_told() -> None:
    fleet = Joined(replica("p0"), replica("p1"))
    fleet.join(0, 1)
    fleet.replicas[0].propose(0.0, proposal(d=2))
    fleet.carry()
    fleet.cut(0, 1)
    fleet.replicas[0].propose(0.0, proposal(a=8))
    second = fleet.replicas[1].propose(0.0, proposal(b=8, high=40)).position
    assert second is not None and fleet.replicas[1].configuration["c.b"] == 8
    fleet.join(0, 1)
    assert fleet.alike() and fleet.replicas[1].configuration["c.high"] == 20
    line = "c.a: a, b and d make more than 12"
    assert Refused(second, line) in fleet.events["p0"] and Refused(second, line) in fleet.events["p1"]
    assert fleet.replicas[0].refused == [f"{second}: {line}"]
