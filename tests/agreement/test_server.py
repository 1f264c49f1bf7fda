"""A single Raft server: what it may send, and when. Random fault schedules of several servers, and seeded defects."""

from __future__ import annotations

import random

import pytest

from sprucepost.agreement import Change, Members, PersistentState, RaftServer, Role
from sprucepost.agreement.actions import Action, Apply, ReadReady, ReadRejected, RestoreSnapshot, Send, Write
from sprucepost.agreement.entries import Entry, LogPosition, Snapshot
from sprucepost.agreement.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    InstallSnapshotResponse,
    Message,
    RequestVote,
    RequestVoteResponse,
    TimeoutNow,
)
from tests.agreement.defects import DEFECTS, defect_applied
from tests.agreement.schedules import play, violations

THREE = Members(frozenset("abc"))


class Driver:
    """Drives server ``a`` of three step by step; its writes stay pending until :meth:`complete_writes`."""

    def __init__(self, *entries: Entry, term: int = 0, members: Members = THREE) -> None:
        stored = PersistentState(term, None, Snapshot(0, 0, members, b""), entries)
        self.server = RaftServer("a", stored, random.Random(1), 0.0)
        self.now = 0.0
        self.writes: list[Write] = []

    @property
    def term(self) -> int:
        return self.server.state.term

    @property
    def last_index(self) -> int:
        return self.server.state.log.last_index

    def _collect(self, actions: list[Action]) -> list[Action]:
        self.writes += [action for action in actions if isinstance(action, Write)]
        return actions

    def receive(self, peer: str, message: Message) -> list[Action]:
        return self._collect(self.server.receive(self.now, peer, message))

    def tick(self, passed_ms: float) -> list[Action]:
        self.now += passed_ms
        return self._collect(self.server.tick(self.now))

    def change(self, change: Change, name: str) -> tuple[str, list[Action]]:
        """Returns the reason of a rejection, empty if the change has begun, and the actions."""
        rejection, actions = self.server.change(self.now, change, name)
        return str(rejection or ""), self._collect(actions)

    def propose(self, command: bytes) -> LogPosition | None:
        position, actions = self.server.propose(self.now, command)
        self._collect(actions)
        return position

    def read(self, ticket: int) -> list[Action]:
        return self.server.read(self.now, ticket)

    def complete_writes(self) -> list[Action]:
        assert self.writes, "no write is pending"
        return self._collect(self.server.write_completed(self.now, self.writes[-1].sequence))

    def become_leader(self) -> None:
        """Win an election by the vote of b; the first entry of the term is durable here and not committed."""
        self.tick(2000.0)
        self.receive("b", RequestVoteResponse(self.term + 1, True, pre_vote=True))
        self.complete_writes()
        self.receive("b", RequestVoteResponse(self.term, True))
        self.complete_writes()
        assert self.server.is_leader

    def commit_all(self) -> None:
        """Commit the whole log: it is durable here and at b."""
        self.complete_writes()
        heartbeat_round = self.server.replication.heartbeat_round
        self.receive("b", AppendEntriesResponse(self.term, True, self.last_index, heartbeat_round))
        assert self.server.state.commit_index == self.last_index


def messages(actions: list[Action], kind: type) -> list[Message]:
    return [action.message for action in actions if isinstance(action, Send) and isinstance(action.message, kind)]


def votes(actions: list[Action]) -> list[Message]:
    return messages(actions, RequestVoteResponse)


def append_responses(actions: list[Action]) -> list[Message]:
    return messages(actions, AppendEntriesResponse)


def snapshot_responses(actions: list[Action]) -> list[Message]:
    return messages(actions, InstallSnapshotResponse)


def of_kind(actions: list[Action], kind: type) -> list[Action]:
    return [action for action in actions if isinstance(action, kind)]


def test_a_vote_is_sent_once_it_is_durable_and_granted_once_a_term() -> None:
    driver = Driver()
    assert not votes(driver.receive("b", RequestVote(1, 0, 0)))
    assert (driver.writes[-1].term, driver.writes[-1].voted_for) == (1, "b"), "the term and the vote are written"
    assert votes(driver.complete_writes()) == [RequestVoteResponse(1, True)]
    assert votes(driver.receive("c", RequestVote(1, 0, 0))) == [RequestVoteResponse(1, False)]
    assert votes(driver.receive("b", RequestVote(1, 0, 0))) == [RequestVoteResponse(1, True)], "repeated: the same vote"
    restarted = RaftServer("a", PersistentState(1, "b", Snapshot(0, 0, THREE, b"")), random.Random(1), 0.0)
    actions = restarted.receive(0.0, "c", RequestVote(1, 9, 1))
    assert votes(actions) == [RequestVoteResponse(1, False)], "also after a restart"


@pytest.mark.parametrize(
    "last_index, last_term, granted", [(2, 2, True), (3, 2, True), (1, 2, False), (9, 1, False), (1, 3, True)]
)
def test_no_vote_for_a_log_that_is_behind(last_index: int, last_term: int, granted: bool) -> None:
    driver = Driver(Entry(1, 1, b"x"), Entry(2, 2, b"y"), term=2)
    driver.receive("b", RequestVote(5, last_index, last_term))
    assert votes(driver.complete_writes()) == [RequestVoteResponse(5, granted)]
    asked = Driver(Entry(1, 1, b"x"), Entry(2, 2, b"y"), term=2)
    response = RequestVoteResponse(5 if granted else 2, granted, pre_vote=True)
    assert votes(asked.receive("b", RequestVote(5, last_index, last_term, pre_vote=True))) == [response]
    assert not asked.writes, "a pre-vote changes nothing"


def test_a_server_with_a_leader_denies_votes_and_ignores_their_term() -> None:
    driver = Driver()
    driver.receive("b", AppendEntries(1, 0, 0, (), 0))
    driver.complete_writes()
    driver.now += 300.0
    assert not votes(driver.receive("c", RequestVote(9, 5, 5))) and driver.term == 1
    pre_vote = RequestVote(9, 5, 5, pre_vote=True)
    assert votes(driver.receive("c", pre_vote)) == [RequestVoteResponse(1, False, pre_vote=True)]
    driver.receive("c", RequestVote(9, 5, 5, leadership_transfer=True))
    assert votes(driver.complete_writes()) == [RequestVoteResponse(9, True)], "except for a leadership transfer"


def test_entries_are_acknowledged_once_durable_and_conflicts_are_truncated() -> None:
    driver = Driver(Entry(1, 1, b"x"), Entry(2, 1, b"y"), term=1)
    request = AppendEntries(2, 1, 1, (Entry(2, 2, b"z"),), 1)
    actions = driver.receive("b", request)
    assert not append_responses(actions) and driver.writes[-1].truncate_from == 2
    assert of_kind(actions, Apply) == [Apply((Entry(1, 1, b"x"),))]
    assert append_responses(driver.complete_writes()) == [AppendEntriesResponse(2, True, 2)]
    assert append_responses(driver.receive("b", request)) == [AppendEntriesResponse(2, True, 2)]
    assert driver.last_index == 2


@pytest.mark.parametrize(
    "peer, request_, response",
    [
        pytest.param(
            "b", AppendEntries(2, 5, 2, (), 0), AppendEntriesResponse(2, False, 2), id="lacks earlier entries"
        ),
        pytest.param("b", AppendEntries(2, 2, 1, (), 0), AppendEntriesResponse(2, False, 1), id="has another entry"),
        pytest.param("c", AppendEntries(1, 0, 0, (), 0), AppendEntriesResponse(2, False, 2), id="of an older term"),
    ],
)
def test_entries_that_do_not_follow_the_log_are_rejected(
    peer: str, request_: AppendEntries, response: AppendEntriesResponse
) -> None:
    driver = Driver(Entry(1, 1, b"x"), Entry(2, 2, b"z"), term=2)
    assert append_responses(driver.receive(peer, request_)) == [response]


def test_a_leader_commits_only_what_a_quorum_has_durable_and_begins_with_its_own_term() -> None:
    driver = Driver(Entry(1, 1, b"x"), term=1)
    driver.become_leader()
    assert driver.last_index == 2
    actions = driver.receive("b", AppendEntriesResponse(driver.term, True, 1))
    assert not of_kind(actions, Apply), "an entry of an earlier term is not committed by counting replicas"
    assert of_kind(driver.receive("b", AppendEntriesResponse(driver.term, True, 2)), Apply)
    assert driver.propose(b"z") == LogPosition(3, driver.term)
    actions = driver.receive("b", AppendEntriesResponse(driver.term, True, 3))
    assert not of_kind(actions, Apply), "not durable here, so no quorum"
    assert of_kind(driver.complete_writes(), Apply)


def test_a_read_waits_for_a_heartbeat_round_and_a_commit_of_the_leaders_term() -> None:
    driver = Driver()
    driver.become_leader()
    assert of_kind(driver.read(1), ReadRejected), "an earlier leader may have committed more"
    driver.commit_all()
    actions = driver.read(2)
    assert not of_kind(actions, ReadReady) and messages(actions, AppendEntries), "a heartbeat round starts at once"
    last, term, heartbeat_round = driver.last_index, driver.term, driver.server.replication.heartbeat_round
    actions = driver.receive("b", AppendEntriesResponse(term, True, last, heartbeat_round - 1))
    assert not of_kind(actions, ReadReady), "it answers an earlier round"
    actions = driver.receive("b", AppendEntriesResponse(term, True, last, heartbeat_round))
    assert of_kind(actions, ReadReady) == [ReadReady(2)]
    driver.read(3)
    actions = driver.receive("c", AppendEntries(term + 1, 0, 0, (), 0))
    assert of_kind(actions, ReadRejected) == [ReadRejected(3)]


def test_a_leader_without_a_quorum_steps_down() -> None:
    driver = Driver()
    driver.become_leader()
    driver.tick(900.0)
    assert driver.server.is_leader
    driver.tick(200.0)
    assert not driver.server.is_leader and driver.server.leader is None


def test_one_membership_change_at_a_time_and_a_learner_first() -> None:
    driver = Driver()
    driver.become_leader()
    assert driver.change(Change.ADD_LEARNER, "d")[0] == "the leader has committed nothing in its term yet"
    driver.commit_all()
    assert driver.change(Change.ADD_LEARNER, "d")[0] == ""
    assert driver.server.members == Members(frozenset("abc"), frozenset("d")), "it takes effect once it is appended"
    assert driver.change(Change.REMOVE, "c")[0] == "another change is not committed yet"
    driver.complete_writes()
    driver.commit_all()
    assert driver.change(Change.PROMOTE, "e")[0] == "e is no learner"
    for number in range(70):
        driver.propose(b"%d" % number)
    assert driver.change(Change.PROMOTE, "d")[0] == "d lacks too much of the log"
    assert driver.change(Change.REMOVE, "x")[0] == "x is no member"


def test_a_leadership_transfer_waits_for_the_log_and_rejects_commands_meanwhile() -> None:
    driver = Driver()
    driver.become_leader()
    driver.commit_all()
    driver.propose(b"x")
    rejection, actions = driver.change(Change.TRANSFER_LEADERSHIP, "b")
    assert rejection == "" and not messages(actions, TimeoutNow)
    assert driver.propose(b"y") is None
    driver.receive("b", AppendEntriesResponse(driver.term, True, driver.last_index))
    assert messages(driver.tick(20.0), TimeoutNow) == [TimeoutNow(driver.term)]
    driver.tick(600.0)
    assert driver.propose(b"z") is not None, "the transfer timed out"


def test_a_snapshot_is_installed_once_all_its_chunks_have_come_in_order() -> None:
    driver = Driver()
    state, members = b"0123456789", Members(frozenset("abcd"))

    def chunk(offset: int, data: bytes, is_last: bool = False) -> InstallSnapshot:
        return InstallSnapshot(3, 40, 2, members, offset, data, is_last)

    four_received = [InstallSnapshotResponse(3, 40, 4)]
    driver.receive("b", chunk(0, state[:4]))
    assert snapshot_responses(driver.complete_writes()) == four_received
    assert snapshot_responses(driver.receive("b", chunk(8, state[8:], True))) == four_received, "a chunk is missing"
    assert snapshot_responses(driver.receive("b", chunk(0, state[:4]))) == four_received, "a repeated chunk"
    driver.receive("b", chunk(4, state[4:8]))
    actions = driver.receive("b", chunk(8, state[8:], True))
    assert of_kind(actions, RestoreSnapshot) == [RestoreSnapshot(Snapshot(40, 2, members, state))]
    assert not snapshot_responses(actions)
    assert snapshot_responses(driver.complete_writes()) == [InstallSnapshotResponse(3, 40, 10, done=True)]
    assert driver.server.members == members
    actions = driver.receive("b", chunk(0, state[:4]))
    assert snapshot_responses(actions) == [InstallSnapshotResponse(3, 40, 0, done=True)], "committed here already"


def test_after_a_failed_write_it_never_sends_again() -> None:
    driver = Driver()
    driver.become_leader()
    driver.server.write_failed(driver.now)
    assert driver.server.state.role is Role.FAILED
    assert driver.receive("b", RequestVote(99, 99, 99)) == []
    assert driver.tick(5000.0) == [] and driver.propose(b"x") is None


def test_uncommitted_commands_are_bounded() -> None:
    driver = Driver()
    driver.become_leader()
    driver.commit_all()
    accepted = 0
    while driver.propose(b"x" * 1_000_000) is not None:
        accepted += 1
    assert accepted == 4 and driver.server.state.counters["proposals_rejected"] == 1


@pytest.mark.parametrize("seed", range(60))
def test_random_fault_schedules_violate_no_invariant(seed: int) -> None:
    assert violations(seed) == []


def test_the_schedules_cover_commands_reads_changes_and_elections() -> None:
    clusters = [play(seed) for seed in range(40)]
    total = {key: sum(cluster.counts[key] for cluster in clusters) for key in clusters[0].counts}
    assert total["commands"] > 200 and total["reads"] > 100 and total["changes"] > 20
    states = [cluster.server(name).state for cluster in clusters for name in cluster.network.processes]
    seen = {name for state in states for name, count in state.counters.items() if count}
    expected = {"elected", "votes_denied_for_leader", "no_quorum", "snapshots_installed", "snapshot_chunks_sent"}
    assert expected <= seen


def test_a_follower_commits_only_as_far_as_the_logs_agree() -> None:
    driver = Driver(Entry(1, 1, b"x"), Entry(2, 1, b"other"), term=1)
    actions = driver.receive("b", AppendEntries(2, 0, 0, (Entry(1, 1, b"x"),), 2))
    assert of_kind(actions, Apply) == [Apply((Entry(1, 1, b"x"),))]


def test_a_voter_removed_in_its_own_log_alone_still_campaigns() -> None:
    driver = Driver(Entry(1, 1, members=Members(frozenset("bc"))), term=1)
    assert messages(driver.tick(2000.0), RequestVote), "no other server has this log, so no other can be elected"
    driver.receive("b", AppendEntries(2, 1, 1, (), 1))
    assert not messages(driver.tick(5000.0), RequestVote), "the removal is committed: it is no longer a voter"


def test_members_truncated_from_the_log_do_not_count() -> None:
    driver = Driver(Entry(1, 1, b"x"), Entry(2, 1, members=Members(frozenset("abcde"))), term=1)
    assert driver.server.members.voters == frozenset("abcde")
    driver.receive("b", AppendEntries(2, 1, 1, (Entry(2, 2, b"z"),), 0))
    assert driver.server.members == THREE


def test_truncated_entries_are_not_durable_when_their_write_is() -> None:
    driver = Driver()
    driver.receive("b", AppendEntries(1, 0, 0, tuple(Entry(n, 1, b"x") for n in (1, 2, 3)), 0))
    first = driver.writes[-1].sequence
    driver.receive("c", AppendEntries(2, 1, 1, (Entry(2, 2, b"y"), Entry(3, 2, b"z")), 0))
    driver.server.write_completed(driver.now, first)
    assert driver.server.state.durable_index == 1
    driver.complete_writes()
    assert driver.server.state.durable_index == 3


@pytest.mark.parametrize(
    "term, last_index", [pytest.param(1, 3, id="equal: later entries stay"), pytest.param(2, 2, id="conflict")]
)
def test_a_snapshot_replaces_a_log_that_conflicts_with_it(term: int, last_index: int) -> None:
    driver = Driver(*(Entry(n, 1, b"x") for n in (1, 2, 3)), term=1)
    driver.receive("b", InstallSnapshot(4, 2, term, THREE, 0, b"state", True))
    assert driver.last_index == last_index and driver.server.state.commit_index == 2


def test_a_single_server_leads_once_its_vote_is_durable() -> None:
    driver = Driver(members=Members(frozenset("a")))
    driver.tick(2000.0)
    assert not driver.server.is_leader
    driver.complete_writes()
    assert driver.server.is_leader


CASES = [
    case
    for name, case in sorted(globals().items())
    if name.startswith("test_")
    and not hasattr(case, "pytestmark")
    and name != "test_the_schedules_cover_commands_reads_changes_and_elections"
]
CASES.append(lambda: test_no_vote_for_a_log_that_is_behind(1, 2, False))
CASES.append(
    lambda: test_entries_that_do_not_follow_the_log_are_rejected(
        "b", AppendEntries(2, 2, 1, (), 0), AppendEntriesResponse(2, False, 1)
    )
)
CASES.append(lambda: test_a_snapshot_replaces_a_log_that_conflicts_with_it(2, 2))


@pytest.mark.parametrize("name", sorted(DEFECTS))
def test_each_seeded_defect_is_detected(name: str) -> None:
    """By one of the cases above. docs/agreement.md lists the defects that the random schedules detect as well."""
    found = 0
    with defect_applied(name):
        for case in CASES:
            try:
                case()
            except AssertionError:
                found += 1
    assert found, "no case fails with it"
