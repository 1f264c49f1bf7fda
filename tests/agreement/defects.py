"""Seeded defects of a Raft server, each a change to its source text; the tests must detect every one."""

from __future__ import annotations

import inspect
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from types import FunctionType, ModuleType
from unittest import mock

from sprucepost.agreement import election, follower, log, membership, reads, replication, server, snapshots, state


@dataclass(frozen=True)
class Defect:
    """``old`` occurs once in the module's source and is replaced by ``new``."""

    module: ModuleType
    old: str
    new: str


DEFECTS: dict[str, Defect] = {
    "votes for two in one term": Defect(election, "state.voted_for in (None, peer)", "True"),
    "votes for a log that is behind": Defect(
        election,
        "and state.voted_for in (None, peer)\n            and state.is_up_to_date(request.last_index, request.last_term)",
        "and state.voted_for in (None, peer)",
    ),
    "a vote is not made durable": Defect(
        election, "state.voted_for = peer\n            state.write()", "state.voted_for = peer"
    ),
    "a term is not made durable": Defect(
        state,
        "self.term, self.voted_for = term, None\n            self.write()",
        "self.term, self.voted_for = term, None",
    ),
    "sends what is not durable yet": Defect(state, "if self._written_sequence < self._last_sequence:", "if False:"),
    "a candidate's own vote counts at once": Defect(
        election,
        "self._votes = set()\n        state.counters",
        "self._votes = {state.server_id}\n        state.counters",
    ),
    "a leader counts what it has not durable": Defect(
        replication,
        "state.durable_index if name == state.server_id",
        "state.log.last_index if name == state.server_id",
    ),
    "commits what an earlier leader sent": Defect(
        replication,
        "index > state.commit_index and state.log.term_at(index) == state.term",
        "index > state.commit_index",
    ),
    "a minority commits": Defect(
        replication, "matches[(len(matches) - 1) // 2]", "matches[len(matches) // 2 + (len(matches) > 2)]"
    ),
    "conflicting entries are kept": Defect(follower, "if term != entry.term:", "if term is None:"),
    "commits what it has, not what agrees": Defect(
        follower,
        "state.commit_to(min(request.commit_index, match_index))",
        "state.commit_to(min(request.commit_index, state.log.last_index))",
    ),
    "does not check whether the logs agree": Defect(follower, "if term != request.prev_term:", "if term is None:"),
    "reads without asking the others": Defect(
        reads, "return self._state.log.members.is_quorum(", "return True or (lambda _: True)("
    ),
    "reads before anything of its term is committed": Defect(
        reads, "state.log.term_at(state.commit_index) == state.term", "True"
    ),
    "two changes at a time": Defect(membership, "if state.log.members_index > state.commit_index:", "if False:"),
    "a change before anything of its term is committed": Defect(
        membership, "if state.log.term_at(state.commit_index) != state.term:", "if False:"
    ),
    "what learners have is committed": Defect(
        replication,
        "voters = state.log.members.voters\n        matches",
        "voters = state.log.members.all\n        matches",
    ),
    "a voter removed in its own log alone does not campaign": Defect(
        election, "log.members.voters | log.members_at(self._state.commit_index).voters", "log.members.voters"
    ),
    "a chunk of a snapshot is taken at any offset": Defect(
        snapshots, "if request.offset == len(self._received):", "if True:"
    ),
    "conflicting entries behind a snapshot are kept": Defect(
        snapshots,
        "if state.log.term_at(index) == request.last_included_term:",
        "if state.log.term_at(index) is not None:",
    ),
    "goes on after a write has failed": Defect(
        server, "self.state.role = Role.FAILED", "self.state.write_completed(self.state._last_sequence)"
    ),
    "truncated entries count as durable": Defect(
        state,
        "self.durable_index = min([max(self.durable_index, end), self.log.last_index, *kept])",
        "self.durable_index = max(self.durable_index, end)",
    ),
    "truncation does not reach the members": Defect(log, "while self._members[-1][0] >= index:", "while False:"),
}


@contextmanager
def defect_applied(name: str) -> Iterator[None]:
    """Run the body with that defect in the module's classes."""
    defect = DEFECTS[name]
    module, text = defect.module, inspect.getsource(defect.module)
    assert text.count(defect.old) == 1, f"{name}: its text occurs {text.count(defect.old)} times"
    namespace = dict(vars(module))
    exec(compile(text.replace(defect.old, defect.new), module.__file__ or "", "exec"), namespace)
    with ExitStack() as stack:
        classes = [value for value in vars(module).values() if isinstance(value, type)]
        for real in [cls for cls in classes if cls.__module__ == module.__name__]:
            defective_class = namespace[real.__name__]
            namespace[real.__name__] = (
                real  # instances that the defective code creates or raises are of the real classes
            )
            for key, value in vars(defective_class).items():
                if isinstance(value, (FunctionType, property)) and not key.startswith("__"):
                    stack.enter_context(mock.patch.object(real, key, value))
        yield
