"""Planted defects of a keeper, each a change to the text that serves; the drawn schedules must find every one."""

from __future__ import annotations

import inspect
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from types import FunctionType, ModuleType
from unittest import mock

from sprucepost.agreement import changes, core, election, keeper, log, reads, replication, snapshots

DEFECTS: dict[str, tuple[ModuleType, str, str]] = {
    "votes for two in one term": (election, "core.vote in (None, peer)", "True"),
    "votes for a log that is behind": (
        election,
        "core.vote in (None, peer) and core.as_new(ask.last_index, ask.last_term)",
        "core.vote in (None, peer)",
    ),
    "a vote is not made durable": (election, "core.vote = peer\n            core.write()", "core.vote = peer"),
    "a term is not made durable": (
        core,
        "self.term, self.vote = term, None\n            self.write()",
        "self.term, self.vote = term, None",
    ),
    "says what is not durable yet": (core, "if self._written < self._wrote:", "if False:"),
    "a candidate's own vote counts at once": (
        election,
        "self._votes = set()\n        core.counters",
        "self._votes = {core.ident}\n        core.counters",
    ),
    "a leader counts what it has not durable": (
        replication,
        "core.safe if name == core.ident",
        "core.log.last if name == core.ident",
    ),
    "settles what an earlier leader sent": (
        replication,
        "index > core.commit and core.log.term_at(index) == core.term",
        "index > core.commit",
    ),
    "a minority settles": (
        replication,
        "matches[(len(matches) - 1) // 2]",
        "matches[len(matches) // 2 + (len(matches) > 2)]",
    ),
    "entries that differ are kept": (replication, "if known != entry.term:", "if known is None:"),
    "settles what it has, not what agrees": (
        replication,
        "core.committed(min(word.commit, match))",
        "core.committed(min(word.commit, core.log.last))",
    ),
    "does not look whether the logs agree": (replication, "if term != word.before_term:", "if term is None:"),
    "reads without asking the others": (
        reads,
        "return self._core.log.members.majority(",
        "return True or (lambda _: True)(",
    ),
    "reads before anything of its term is settled": (reads, "core.log.term_at(core.commit) == core.term", "True"),
    "two changes at a time": (changes, "if core.log.members_at > core.commit:", "if False:"),
    "a change before anything of its term is settled": (
        changes,
        "if core.log.term_at(core.commit) != core.term:",
        "if False:",
    ),
    "what learners have settles": (
        replication,
        "voters = core.log.members.voters\n        matches",
        "voters = core.log.members.all\n        matches",
    ),
    "who is removed by its own log alone does not stand": (
        election,
        "log.members.voters | log.members_before(self._core.commit).voters",
        "log.members.voters",
    ),
    "a piece of a snapshot is taken wherever it belongs": (snapshots, "if word.at == len(self._parts):", "if True:"),
    "what differs behind a snapshot is kept": (
        snapshots,
        "if core.log.term_at(word.index) == word.index_term:",
        "if core.log.term_at(word.index) is not None:",
    ),
    "goes on after a write has failed": (
        keeper,
        "self.core.role, self.core.leader = Role.DEAD, None",
        "self.core.written(self.core._wrote)",
    ),
    "what was cut counts as durable": (
        core,
        "self.safe = min([max(self.safe, end), self.log.last, *cuts])",
        "self.safe = max(self.safe, end)",
    ),
    "a cut does not reach the members": (log, "while self._members[-1][0] >= since:", "while False:"),
}


@contextmanager
def planted(name: str) -> Iterator[None]:
    """With that defect."""
    module, old, new = DEFECTS[name]
    text = inspect.getsource(module)
    assert text.count(old) == 1, f"{name}: its text stands {text.count(old)} times"
    space = dict(vars(module))
    exec(compile(text.replace(old, new), module.__file__ or "", "exec"), space)
    with ExitStack() as stack:
        kinds = [kind for kind in vars(module).values() if isinstance(kind, type)]
        for real in [kind for kind in kinds if kind.__module__ == module.__name__]:
            for key, value in vars(space[real.__name__]).items():
                if isinstance(value, (FunctionType, property)) and not key.startswith("__"):
                    stack.enter_context(mock.patch.object(real, key, value))
        yield
