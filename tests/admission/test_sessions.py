"""Sessions that hellos leave behind: bounded, and none that is owed an outcome goes for another."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sprucepost.admission import SessionTable


class SessionsAsSaid(RuleBasedStateMachine):
    """The book against its own words, over any order of comings and goings."""

    def __init__(self) -> None:
        super().__init__()
        self.table = SessionTable(6, 4)
        self.state: dict[bytes, str] = {}  # attached, owed or free, the longest without a stream first
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

    def _in(self, number: int, *states: str) -> bytes | None:
        chosen = [t for t, state in self.state.items() if state in states]
        return chosen[number % len(chosen)] if chosen else None

    @rule(number=st.integers(0, 9), owed=st.booleans())
    def leaves(self, number: int, owed: bool) -> None:
        if token := self._in(number, "attached"):
            del self.state[token]
            self.state[token] = "owed" if owed else "free"
            self.table.detach(token, owed)

    @rule(number=st.integers(0, 9))
    def is_told(self, number: int) -> None:
        if token := self._in(number, "owed", "attached"):
            if self.state[token] == "owed":
                del self.state[token]
                self.state[token] = "free"
            self.table.outcomes_delivered(token)

    @rule(number=st.integers(0, 9))
    def comes_back(self, number: int) -> None:
        if token := self._in(number, "owed", "free"):
            self.state[token] = "attached"
            self.table.attach(token)

    @rule(number=st.integers(0, 9))
    def is_forgotten(self, number: int) -> None:
        if token := self._in(number, "owed", "free", "attached"):
            del self.state[token]
            self.table.remove(token)

    @invariant()
    def bounded(self) -> None:
        assert len(self.table) == len(self.state) <= 6


TestSessionsAsSaid = SessionsAsSaid.TestCase
