"""Tests of single replicas and small networks: proposals, merges, held configurations, saved state and limits."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from sprucepost.configuration import (
    Change,
    ChangeState,
    ConfigurationReplica,
    Edit,
    KeyEdit,
    Limits,
    Position,
    Problem,
    ProblemKind,
    Proposal,
    Version,
)
from sprucepost.configuration.messages import (
    Changes,
    Digest,
    Diverged,
    Held,
    InForce,
    Overwritten,
    Refused,
    Send,
    SetAside,
    Summary,
)
from tests.configuration.oracle import fold
from tests.configuration.support import CHANGEABLE, FILE, KNOWN, ReplicaNetwork, proposal, removal, replica


def test_the_first_change_makes_its_placers_file_the_baseline_everywhere() -> None:
    fleet = ReplicaNetwork(replica("p0"), replica("p1", file={**FILE, "c.a": 7}), replica("p2"))
    fleet.join(0, 1)
    fleet.join(1, 2)
    receipt = fleet.replicas[0].propose(0.0, proposal(b=4))
    fleet.deliver_all()
    assert receipt.refusal == "" and receipt.position is not None
    assert fleet.converged()
    assert fleet.replicas[2].configuration == {**{k: v for k, v in FILE.items() if k != "own.number"}, "c.b": 4}
    assert all(InForce(receipt.version) in events for events in fleet.events.values())
    assert [entry.state for entry in fleet.replicas[2].history] == [ChangeState.IN_FORCE, ChangeState.IN_FORCE]


def test_of_two_concurrent_changes_the_later_wins_and_the_overwrite_is_reported() -> None:
    fleet = ReplicaNetwork(replica("p0"), replica("p1"))
    fleet.join(0, 1)
    fleet.replicas[0].propose(0.0, proposal(d=2))
    fleet.deliver_all()
    fleet.cut(0, 1)
    first = fleet.replicas[0].propose(0.0, proposal(a=2, low=11)).position
    second = fleet.replicas[1].propose(0.0, proposal(a=3, high=30)).position
    assert first is not None and second is not None
    fleet.join(0, 1)
    assert fleet.converged()
    configuration = fleet.replicas[0].configuration
    assert (configuration["c.a"], configuration["c.low"], configuration["c.high"]) == (3, 11, 30)
    assert Overwritten(first, "c.a", second) in fleet.events["p0"]
    shown = {entry.change.position: entry for entry in fleet.replicas[1].history}
    assert shown[first].superseded_by == {"c.a": second} and shown[first].state is ChangeState.IN_FORCE


def test_changes_valid_alone_but_invalid_together_are_refused_as_a_whole() -> None:
    fleet = ReplicaNetwork(replica("p0"), replica("p1"))
    fleet.join(0, 1)
    fleet.replicas[0].propose(0.0, proposal(d=2))
    fleet.deliver_all()
    fleet.cut(0, 1)
    fleet.replicas[0].propose(0.0, proposal(a=8))
    second = fleet.replicas[1].propose(0.0, proposal(b=8, high=40)).position
    assert second is not None and fleet.replicas[1].configuration["c.b"] == 8
    fleet.join(0, 1)
    assert fleet.converged() and fleet.replicas[1].configuration["c.high"] == 20
    reason = "c.a: a, b and d make more than 12"
    assert Refused(second, reason) in fleet.events["p0"] and Refused(second, reason) in fleet.events["p1"]
    assert fleet.replicas[0].refused == [f"{second}: {reason}"]


def connected_network(*replicas: ConfigurationReplica) -> ReplicaNetwork:
    """Connects all replicas and makes one change, so that an agreed configuration exists."""
    fleet = ReplicaNetwork(*replicas)
    fleet.join_all()
    assert fleet.replicas[0].propose(0.0, proposal(d=2)).refusal == ""
    fleet.deliver_all()
    assert fleet.converged()
    return fleet


POSITIONS = st.builds(Position, st.integers(2, 9), st.sampled_from("xyz"))
EDITS = st.dictionaries(
    st.sampled_from(["c.low", "c.high", "c.a", "c.b", "c.new"]), st.none() | st.integers(0, 25), min_size=1, max_size=3
)
CHANGES = st.dictionaries(POSITIONS, EDITS, max_size=8)


@given(CHANGES, st.randoms(use_true_random=False))
def test_order_repetition_and_batching_do_not_change_the_result(
    drawn: dict[Position, dict[str, object]], rng: Random
) -> None:
    baseline = tuple(Edit(key, value) for key, value in FILE.items() if key.startswith("c."))
    changes = [Change(Position(1, "x"), "ann", "", 0.0, baseline, True)]
    for position, values in drawn.items():
        edits = tuple(Edit(key, value, value is None) for key, value in values.items())
        changes.append(Change(position, "bob", "", 0.0, edits))
    folded = fold(changes)
    seen = set()
    for _ in range(3):
        one = replica("p9")
        one.connected(0.0, 1)
        mixed = changes + rng.choices(changes, k=4)
        rng.shuffle(mixed)
        while mixed:
            count = rng.randint(1, 4)
            one.received(0.0, 1, Changes(tuple(mixed[:count])))
            del mixed[:count]
        assert one.agreed == folded.values
        assert {entry.change.position: entry.state for entry in one.history} == folded.states
        seen.add(one.version)
    assert len(seen) == 1


def test_a_refused_proposal_returns_one_line_that_names_the_key() -> None:
    one = replica(number=3)
    one.propose(0.0, proposal(d=2))
    refused = {
        "own.number": Proposal((KeyEdit("own.number", 1),), "ann"),
        "c.low": proposal(low=20),
        "c.size": proposal(size=3),
        "c.other": proposal(other=1),
        "c.e": removal("e"),
        "c.d": proposal(d=2),
        "c.a": Proposal((KeyEdit("c.a", 1), KeyEdit("c.a", 2)), "ann"),
        "c.new": proposal(new="x" * 20_000),
        "c.high": removal("high"),
    }
    before = one.version
    for key, refused_proposal in refused.items():
        receipt = one.propose(0.0, refused_proposal)
        assert receipt.position is None and receipt.refusal.startswith(f"{key}: "), receipt
        assert "\n" not in receipt.refusal
    assert one.propose(0.0, Proposal((), "ann")).refusal == "no key is changed"
    assert "longer than" in one.propose(0.0, proposal(author="a" * 300, a=2)).refusal
    assert "65 keys" in one.propose(0.0, Proposal(tuple(KeyEdit(f"c.{n}", 1) for n in range(65)), "ann")).refusal
    assert one.version == before and not [each for each in one.take_outputs() if isinstance(each, Refused)]


def test_the_rate_of_proposals_is_limited() -> None:
    one = replica(limits=Limits(proposals_burst=3, proposals_per_s=2))
    refusals = [one.propose(0.0, proposal(a=number)).refusal for number in range(2, 7)]
    assert refusals[:3] == ["", "", ""] and all("too many changes" in each for each in refusals[3:])
    assert one.propose(1000.0, proposal(a=8)).refusal == ""


def test_a_proposal_against_a_version_is_refused_only_if_its_keys_changed() -> None:
    fleet = connected_network(replica("p0"), replica("p1"))
    read = fleet.replicas[0].version
    assert fleet.replicas[1].propose(0.0, proposal(a=2)).refusal == ""
    fleet.deliver_all()
    assert fleet.replicas[0].propose(0.0, replace(proposal(b=2), against=read)).refusal == ""
    refused = fleet.replicas[0].propose(0.0, replace(proposal(a=3, b=3), against=read)).refusal
    assert refused == f"c.a: has changed since version {read}"
    unknown = fleet.replicas[0].propose(0.0, replace(proposal(a=3), against=Version(7, 7))).refusal
    assert "isn't known at this placer" in unknown


def test_a_rollback_is_a_new_change_with_the_earlier_values() -> None:
    one = replica()
    first = one.propose(0.0, proposal(a=2, b=3)).position
    one.propose(0.0, proposal(a=4, new=1))
    one.propose(0.0, proposal(b=5))
    assert first is not None
    receipt = one.rollback(0.0, first, "ann")
    assert receipt.refusal == "" and receipt.position is not None and receipt.position > first
    assert (one.configuration["c.a"], one.configuration["c.b"], "c.new" in one.configuration) == (2, 3, False)
    assert len(one.history) == 5
    assert "isn't in the history" in one.rollback(0.0, Position(77, "x"), "ann").refusal
    assert one.rollback(0.0, receipt.position, "ann").refusal == "no key is changed"


def test_an_invalid_file_cannot_become_the_baseline() -> None:
    one = replica(file={**FILE, "c.low": 30})
    refusal = one.propose(0.0, proposal(low=1)).refusal
    assert refusal == ("c.low: must be below c.high (in this placer's own file, from which the fleet would begin)")
    assert one.version == Version(0, 0)


def test_a_replica_that_has_not_synchronized_refuses_proposals() -> None:
    one = replica()
    one.connected(0.0, 1)
    assert "not caught up" in one.propose(0.0, proposal(a=2)).refusal
    one.received(0.0, 1, Digest(0, 0))
    assert one.propose(0.0, proposal(a=2)).refusal == ""


def test_a_key_unknown_to_half_of_the_programs_is_relayed_but_held_there() -> None:
    old = KNOWN - {"new"}
    fleet = ReplicaNetwork(replica("p0"), replica("p1", old), replica("p2"), replica("p3", old))
    for number in (0, 1, 2):
        fleet.join(number, number + 1)
    fleet.replicas[0].propose(0.0, proposal(a=2))
    fleet.deliver_all()
    fleet.replicas[0].propose(0.0, proposal(new=1, b=3))
    fleet.deliver_all()
    assert fleet.replicas[2].configuration["c.b"] == 3, "an old program relays changes of unknown keys"
    for held in (fleet.replicas[1], fleet.replicas[3]):
        assert held.held == Held("c.new", "c.new: unknown key")
        assert (held.configuration["c.a"], held.configuration["c.b"]) == (2, 1)
        assert "c.new" in held.propose(0.0, proposal(a=3)).refusal
    assert Held("c.new", "c.new: unknown key") in fleet.events["p1"]
    fleet.replicas[2].propose(0.0, removal("new"))
    fleet.deliver_all()
    fleet.pass_time(5000.0)
    assert fleet.converged() and fleet.replicas[1].held is None
    assert fleet.replicas[1].propose(0.0, proposal(a=4)).refusal == ""
    fleet.deliver_all()
    assert fleet.converged()


def test_verdicts_of_a_peer_correct_an_unchecked_change() -> None:
    old = KNOWN - {"new"}
    fleet = connected_network(replica("p0"), replica("p1"), replica("p2", old))
    fleet.cut(0, 1)
    fleet.replicas[0].propose(0.0, proposal(a=9))
    fleet.cut(0, 2)
    fleet.deliver_all()
    late = fleet.replicas[1].propose(0.0, proposal(b=9, new=1))  # exceeds the total together with a=9
    assert late.position is not None
    fleet.join(0, 1)
    fleet.pass_time(5000.0)
    assert fleet.converged() and fleet.replicas[2].held is None
    assert fleet.replicas[2].configuration["c.b"] == 1
    assert "refused by a placer that knows it" in fleet.replicas[2].refused[0]


def test_local_limits_hold_the_last_configuration_as_a_whole() -> None:
    fleet = connected_network(replica("p0"), replica("p1", number=6), replica("p2"))
    fleet.replicas[0].propose(0.0, proposal(size=5, a=3))
    fleet.deliver_all()
    held = fleet.replicas[1]
    assert held.held == Held("c.size", "c.size: must be above this placer's number 6")
    assert (held.configuration["c.size"], held.configuration["c.a"]) == (9, 1)
    assert fleet.replicas[2].configuration["c.size"] == 5
    fleet.replicas[2].propose(0.0, proposal(size=8))
    fleet.deliver_all()
    assert fleet.converged() and held.held is None


def test_programs_with_different_validators_report_a_divergence() -> None:
    strict = ConfigurationReplica(
        "p1",
        FILE,
        lambda settings: [Problem(ProblemKind.INVALID, "c.a", "c.a: odd")] if settings["c.a"] == 3 else [],
        CHANGEABLE,
        0.0,
    )
    fleet = ReplicaNetwork(replica("p0"), strict)
    fleet.join_all()
    fleet.replicas[0].propose(0.0, proposal(a=3))
    fleet.deliver_all()
    fleet.pass_time(1000.0)
    assert any(isinstance(event, Diverged) for event in fleet.events["p0"])
    assert strict.configuration["c.a"] == 1 and strict.refused == [f"{fleet.replicas[0].setter('c.a')}: c.a: odd"]


def test_a_replica_started_with_an_old_file_gets_the_latest_configuration() -> None:
    fleet = ReplicaNetwork(replica("p0"), replica("p1"), replica("p2", file={**FILE, "c.a": 5, "c.e": 1}))
    fleet.join(0, 1)
    for number in range(2, 9):
        fleet.replicas[0].propose(0.0, proposal(a=number))
    fleet.deliver_all()
    fleet.join(1, 2)
    assert fleet.converged() and "c.e" not in fleet.replicas[2].configuration


SHORT_HORIZON = Limits(horizon_ms=10_000.0)


def test_changes_from_before_the_horizon_are_set_aside_after_a_partition() -> None:
    fleet = connected_network(replica("p0", limits=SHORT_HORIZON), replica("p1", limits=SHORT_HORIZON))
    fleet.cut(0, 1)
    lost = fleet.replicas[1].propose(0.0, proposal(a=5)).position
    assert lost is not None
    for number in range(3, 6):
        fleet.replicas[0].propose(0.0, proposal(b=number))
    fleet.replicas[0].tick(0.0)
    fleet.pass_time(40_000.0)
    fleet.replicas[0].propose(fleet.now, proposal(b=6))
    assert fleet.replicas[0].cut.clock == 5 > lost.clock
    fleet.join(0, 1)
    fleet.pass_time(10_000.0)
    assert fleet.converged() and fleet.replicas[1].configuration["c.a"] == 1
    assert SetAside(lost) in fleet.events["p0"] and SetAside(lost) in fleet.events["p1"]
    for each in fleet.replicas:
        shown = {entry.change.position: entry for entry in each.history}
        assert shown[lost].state is ChangeState.SET_ASIDE and shown[lost].reason.startswith("c.a: ")
    assert fleet.replicas[1].refused[0].startswith(f"{lost}: c.a: ")


def test_a_restarted_replica_resumes_from_its_saved_state() -> None:
    one = replica("p0/1", limits=SHORT_HORIZON)
    for number in range(2, 6):
        one.propose(0.0, proposal(a=number))
    one.tick(20_000.0)
    one.propose(20_000.0, proposal(b=2))
    two = replica("p0/2", limits=SHORT_HORIZON, saved=one.saved_state(), now=30_000.0)
    assert (two.version, two.configuration, two.history) == (one.version, one.configuration, one.history)
    receipt = two.propose(30_000.0, proposal(b=3))
    assert receipt.position == Position(one.version.number + 1, "p0/2")


def test_an_idle_fleet_sends_nothing() -> None:
    fleet = connected_network(replica("p0"), replica("p1"), replica("p2"))
    before = fleet.messages
    fleet.pass_time(60_000.0)
    assert fleet.messages == before


def test_messages_lost_with_a_stream_are_recovered_by_digests() -> None:
    fleet = connected_network(replica("p0"), replica("p1"))
    fleet.replicas[0].propose(0.0, proposal(a=2))
    fleet.replicas[0].take_outputs()  # messages lost without a disconnect
    fleet.pass_time(5000.0)
    assert fleet.converged()


def test_a_long_history_is_bounded_and_a_new_replica_still_catches_up() -> None:
    limits = Limits(live_changes=16, archived_changes=20, remembered_fingerprints=30, proposals_burst=1000)
    fleet = connected_network(replica("p0", limits=limits), replica("p1", limits=limits))
    for number in range(200):
        assert fleet.replicas[number % 2].propose(0.0, proposal(e=number)).refusal == ""
        fleet.deliver_all()
    fleet.pass_time(1000.0)
    for each in fleet.replicas:
        assert len(each.history) <= 16 + 20 and each.cut.clock > 150
    fleet.replicas.append(replica("p2", limits=limits))
    fleet.events["p2"] = []
    fleet.join(1, 2)
    assert fleet.converged() and fleet.replicas[2].configuration["c.e"] == 199


def test_changes_are_split_into_messages_within_the_limits() -> None:
    limits = Limits(message_bytes=1000, flush_bytes=3000, proposals_burst=1000)
    one = replica(limits=limits)
    for number in range(60):
        one.propose(0.0, proposal(e=number, comment="x" * 100))
    one.take_outputs()
    one.connected(0.0, 1)
    one.received(0.0, 1, Digest(0, 0))
    one.received(0.0, 1, Summary(Position(0, ""), 0, ()))
    arrived: list[Position] = []
    for tick in range(40):
        sent = [
            each.message for each in one.take_outputs() if isinstance(each, Send) and isinstance(each.message, Changes)
        ]
        sizes = [sum(change.size for change in message.changes) for message in sent]
        assert sum(sizes) <= 3000 and max(sizes, default=0) <= 1000
        arrived += [change.position for message in sent for change in message.changes]
        one.tick(500.0 * tick)
    assert arrived == sorted(arrived) and len(arrived) == 61


def test_implausible_changes_are_rejected() -> None:
    one = replica()
    one.connected(0.0, 1)
    bad = [
        Change(Position(2**60, "x"), "ann", "", 0.0, (Edit("c.a", 1),)),
        Change(Position(2, ""), "ann", "", 0.0, (Edit("c.a", 1),)),
        Change(Position(2, "x"), "ann", "", 0.0, ()),
        Change(Position(2, "x"), "ann", "", 0.0, (Edit("c.a", 1), Edit("c.a", 2))),
        Change(Position(2, "x"), "ann", "y" * 300_000, 0.0, (Edit("c.a", 1),)),
    ]
    one.received(0.0, 1, Changes(tuple(bad)))
    one.received(0.0, 2, Changes(()))
    assert one.version == Version(0, 0) and one.counters["implausible"] == len(bad)
    assert one.counters["from_strangers"] == 1


def test_a_change_of_a_placers_own_key_is_never_applied() -> None:
    fleet = connected_network(replica("p0"), replica("p1"))
    rogue = Change(Position(9, "x"), "ann", "", 0.0, (Edit("own.number", 7), Edit("c.a", 3)))
    fleet.replicas[0].received(0.0, 1, Changes((rogue,)))
    fleet.pass_time(5000.0)
    for each in fleet.replicas:
        assert "own.number" not in each.configuration and each.configuration["c.a"] == 1
        assert each.held is not None and each.held.key == "own.number"


def test_a_rollback_can_reach_compacted_changes() -> None:
    one = replica(limits=Limits(proposals_burst=1000))
    for number in range(2, 40):
        one.propose(0.0, removal("e") if "c.e" in one.configuration else proposal(e=number, high=20 + number))
    positions = [entry.change.position for entry in one.history]
    before = [one._store.settings_at(position) for position in positions]
    one.tick(1e9)
    assert one.cut == positions[-1] and one.agreed == before[-1]
    one.propose(1e9, proposal(e=99))
    assert [one._store.settings_at(position) for position in positions] == before
    two = replica("p0/2", saved=one.saved_state())
    receipt = two.rollback(0.0, positions[4], "ann")
    assert receipt.refusal == "" and two.configuration == before[4]
