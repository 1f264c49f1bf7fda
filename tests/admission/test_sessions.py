"""The number of sessions is bounded, and no session with pending outcomes is evicted for another."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sprucepost.admission import SessionTable


class SessionTableModel(RuleBasedStateMachine):
    """Compares the session table with a simple model over any order of calls."""

    def __init__(self) -> None:
        super().__init__()
        self.table = SessionTable(6, 4)
        # attached, pending or free; those without a stream for the longest come first
        self.state: dict[bytes, str] = {}
        self.peer: dict[bytes, str] = {}
        self.next = 0

    @rule(peer=st.sampled_from("ab"))
    def hello(self, peer: str) -> None:
        token, self.next = b"%d" % self.next, self.next + 1
        of_peer = [t for t in self.state if self.peer[t] == peer]
        pool = of_peer if len(of_peer) >= 4 else list(self.state) if len(self.state) >= 6 else None
        free = None if pool is None else next((t for t in pool if self.state[t] == "free"), None)
        assert self.table.add(token, peer) == (pool is None or free is not None, free)
        if free is not None:
            del self.state[free]
        if pool is None or free is not None:
            self.state[token], self.peer[token] = "attached", peer

    def _pick(self, number: int, *states: str) -> bytes | None:
        chosen = [t for t, state in self.state.items() if state in states]
        return chosen[number % len(chosen)] if chosen else None

    @rule(number=st.integers(0, 9), pending=st.booleans())
    def stream_ends(self, number: int, pending: bool) -> None:
        if token := self._pick(number, "attached"):
            del self.state[token]
            self.state[token] = "pending" if pending else "free"
            self.table.detach(token, pending)

    @rule(number=st.integers(0, 9))
    def outcomes_delivered(self, number: int) -> None:
        if token := self._pick(number, "pending", "attached"):
            if self.state[token] == "pending":
                del self.state[token]
                self.state[token] = "free"
            self.table.outcomes_delivered(token)

    @rule(number=st.integers(0, 9))
    def resumes(self, number: int) -> None:
        if token := self._pick(number, "pending", "free"):
            self.state[token] = "attached"
            self.table.attach(token)

    @rule(number=st.integers(0, 9))
    def removed(self, number: int) -> None:
        if token := self._pick(number, "pending", "free", "attached"):
            del self.state[token]
            self.table.remove(token)

    @invariant()
    def bounded(self) -> None:
        assert len(self.table) == len(self.state) <= 6


TestSessionTable = SessionTableModel.TestCase
