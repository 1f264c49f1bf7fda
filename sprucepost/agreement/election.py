"""Leader election with pre-votes; a partitioned or removed server cannot disrupt it (Ongaro, 2014, 3.4, 4.2.3, 9.6)."""

from __future__ import annotations

from collections.abc import Callable

from sprucepost.agreement.actions import LeaderChanged
from sprucepost.agreement.messages import RequestVote, RequestVoteResponse
from sprucepost.agreement.state import Role, ServerState


class Election:
    """``on_elected`` is called when this server has become the leader."""

    def __init__(self, state: ServerState, on_elected: Callable[[], None]) -> None:
        self._state, self._on_elected = state, on_elected
        self._votes: set[str] = set()
        self._deadline = 0.0
        self.reset_timeout()

    def reset_timeout(self) -> None:
        """Draw a new random election time-out, which starts now."""
        least = self._state.timing.election_timeout
        self._deadline = self._state.now + self._state.rng.uniform(least, 2 * least)

    @property
    def may_campaign(self) -> bool:
        """Whether this server is a voter, or is one according to the committed log.

        The change that removes it may be in its own log only, and then no other server can be elected (4.2.2).
        """
        log = self._state.log
        return self._state.server_id in log.members.voters | log.members_at(self._state.commit_index).voters

    def tick(self) -> None:
        """Request pre-votes once the election time-out has expired."""
        state = self._state
        if state.role in (Role.LEADER, Role.FAILED) or state.now < self._deadline:
            return
        self.reset_timeout()
        if not self.may_campaign:
            return
        if state.leader is not None:
            state.forget_leader("election time-out")
        state.role, self._votes = Role.PRE_CANDIDATE, {state.server_id}
        state.counters["pre_votes"] += 1
        if state.log.members.is_quorum(self._votes):
            self.start()
            return
        for peer in self._other_voters():
            state.send(peer, self._vote_request(state.term + 1, pre_vote=True))

    def start(self, leadership_transfer: bool = False) -> None:
        """Raise the term and request votes; the server's own vote counts once it is durable."""
        state = self._state
        state.term, state.voted_for = state.term + 1, state.server_id
        state.role, state.leader = Role.CANDIDATE, None
        self._votes = set()
        state.counters["elections"] += 1
        state.write()
        self.reset_timeout()
        for peer in self._other_voters():
            state.send_when_durable(peer, self._vote_request(state.term, leadership_transfer=leadership_transfer))

    def write_completed(self) -> None:
        """Count the server's own vote once all writes are durable."""
        state = self._state
        if state.role is Role.CANDIDATE and state.all_durable and state.server_id not in self._votes:
            self._votes.add(state.server_id)
            self._count_votes()

    def handle_request(self, peer: str, request: RequestVote) -> None:
        """Grant or deny a vote.

        A server that leads, or has heard from its leader within the election time-out, denies it and ignores the
        candidate's term: the candidate is partitioned or was removed.
        """
        state = self._state
        has_leader = state.role is Role.LEADER or state.now - state.leader_heard_at < state.timing.election_timeout
        if has_leader and not request.leadership_transfer:
            state.counters["votes_denied_for_leader"] += 1
            if request.term < state.term or request.pre_vote:
                state.send_when_durable(peer, RequestVoteResponse(state.term, False, request.pre_vote))
        elif request.pre_vote:
            self._handle_pre_vote(peer, request)
        else:
            self._handle_vote(peer, request)

    def _handle_pre_vote(self, peer: str, request: RequestVote) -> None:
        state = self._state
        granted = request.term > state.term and state.is_up_to_date(request.last_index, request.last_term)
        term = request.term if granted else state.term
        state.send_when_durable(peer, RequestVoteResponse(term, granted, pre_vote=True))

    def _handle_vote(self, peer: str, request: RequestVote) -> None:
        state = self._state
        if request.term > state.term:
            state.become_follower(request.term, None, "a candidate's newer term")
        granted = (
            request.term == state.term
            and state.voted_for in (None, peer)
            and state.is_up_to_date(request.last_index, request.last_term)
        )
        if granted and state.voted_for is None:
            state.voted_for = peer
            state.write()
        if granted:
            self.reset_timeout()
        state.send_when_durable(peer, RequestVoteResponse(state.term, granted))

    def handle_response(self, peer: str, response: RequestVoteResponse) -> None:
        """Count a vote or a pre-vote."""
        state = self._state
        if response.pre_vote and response.granted:
            if state.role is Role.PRE_CANDIDATE and response.term == state.term + 1:
                self._votes.add(peer)
                if state.log.members.is_quorum(self._votes):
                    self.start()
        elif response.term > state.term:
            state.become_follower(response.term, None, "a newer term")
        elif response.granted and state.role is Role.CANDIDATE and response.term == state.term:
            self._votes.add(peer)
            self._count_votes()

    def _other_voters(self) -> list[str]:
        return sorted(self._state.log.members.voters - {self._state.server_id})

    def _vote_request(self, term: int, pre_vote: bool = False, leadership_transfer: bool = False) -> RequestVote:
        log = self._state.log
        return RequestVote(term, log.last_index, log.last_term, pre_vote, leadership_transfer)

    def _count_votes(self) -> None:
        state = self._state
        if state.role is Role.CANDIDATE and state.log.members.is_quorum(self._votes):
            state.role, state.leader = Role.LEADER, state.server_id
            state.counters["elected"] += 1
            state.emit(LeaderChanged(state.term, state.server_id, "elected"))
            self._on_elected()
