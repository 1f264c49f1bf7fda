"""The registry: a function of the log, exactly once, leases that never overlap however clocks drift."""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sprucepost.agreement import registry as r

NAMES = st.sampled_from(["a", "b", "c/1", "c/2"])
FENCES = st.integers(0, 6)
WHAT = st.one_of(
    st.builds(r.Put, NAMES, st.binary(max_size=3), st.none() | st.integers(0, 9)),
    st.builds(r.Delete, NAMES, st.none() | st.integers(0, 9)),
    st.builds(r.Acquire, NAMES, st.floats(1, 100)), st.builds(r.Renew, NAMES, FENCES), st.builds(r.Release, NAMES, FENCES),
    st.none(),
)  # fmt: skip
COMMANDS = st.one_of(
    st.builds(r.Do, st.integers(1, 5), st.integers(1, 6), WHAT), st.builds(r.Enter, NAMES, st.floats(1, 200)),
    st.builds(r.Leave, st.integers(1, 5)), st.builds(r.Pass, st.floats(0, 50)),
).map(r.encode)  # fmt: skip


def played(commands: list[bytes | None], since: int = 0, state: bytes = b"") -> tuple[r.Registry, list[r.Answer]]:
    registry = r.Registry()
    registry.restore(state)
    return registry, [registry.apply(since + n, command) for n, command in enumerate(commands, 1)]


@given(st.lists(st.none() | COMMANDS | st.binary(max_size=6), max_size=40), st.integers(0, 40))
def test_a_snapshot_in_between_changes_nothing(commands: list[bytes | None], cut: int) -> None:
    whole, answers = played(commands)
    first, _ = played(commands[:cut])
    rest, more = played(commands[cut:], len(commands[:cut]), first.snapshot())
    assert rest.snapshot() == whole.snapshot() and more == answers[cut:]


@given(st.lists(COMMANDS, max_size=60))
def test_fences_only_grow_and_a_lease_has_one_holder(commands: list[bytes]) -> None:
    registry, fences = r.Registry(), {"": 0}
    for at, command in enumerate(commands, 1):
        before = {name: registry.holder(name) for name in ("a", "b", "c/1", "c/2")}
        registry.apply(at, command)
        for name, held in before.items():
            now = registry.holder(name)
            if now is not None and now != held:
                assert now[1] > max(fences.values())
                fences[name] = now[1]


class Client:
    """A session's commands, in order."""

    def __init__(self, registry: r.Registry, name: str = "p1", ms: float = 1000.0) -> None:
        self.registry, self.number = registry, 0
        self.session = self.say(r.Enter(name, ms)).number

    def say(self, command: r.Command) -> r.Answer:
        return self.registry.apply(self.registry.at + 1, r.encode(command))

    def do(self, what: Any) -> r.Answer:
        self.number += 1
        return self.say(r.Do(self.session, self.number, what))


def test_a_command_that_is_repeated_is_answered_and_not_done_again() -> None:
    registry = r.Registry()
    client, other = Client(registry), Client(registry, "p2")
    first = client.do(r.Put("k", b"1", expect=0))
    assert first.ok and other.do(r.Put("k", b"2", expect=first.number)).ok
    assert client.say(r.Do(client.session, 1, r.Put("k", b"1", expect=0))) == first
    value = registry.get("k")
    assert value is not None and value.value == b"2", "the repeat did nothing"
    client.do(r.Put("x", b""))
    assert client.say(r.Do(client.session, 1, r.Put("k", b"1"))).why == "answered before, and not kept"
    client.say(r.Leave(client.session))
    assert client.do(r.Put("k", b"3")).why == "no such session", "forgotten: it cannot know whether it was done"


def test_values_are_compared_and_what_does_not_fit_is_refused() -> None:
    registry = r.Registry(r.Limits(keys=1, value=2, sessions=2, leases=1, name=3))
    client = Client(registry)
    assert client.do(r.Put("k", b"123")).why == client.do(r.Put("long", b"")).why == "full"
    assert client.do(r.Put("k", b"1")).ok and client.do(r.Put("l", b"1")).why == "full"
    assert client.do(r.Put("k", b"2", expect=0)).why == "another version"
    assert client.do(r.Acquire("a", 9.0)).ok and client.do(r.Acquire("b", 9.0)).why == "full"
    Client(registry, "q")
    assert client.say(r.Enter("r")).why == "full"
    assert client.do(r.Delete("k")).ok and client.do(r.Delete("k")).why == "no such key"


def test_watchers_go_on_where_they_were_or_are_told_to_read_everything() -> None:
    registry = r.Registry(r.Limits(changes=4))
    client = Client(registry)
    client.do(r.Put("a/1", b"x"))
    seen = registry.at
    client.do(r.Put("b/1", b"y"))
    client.do(r.Delete("a/1"))
    assert [(c.key, c.value) for c in registry.since(seen) or []] == [("b/1", b"y"), ("a/1", None)]
    assert [c.key for c in registry.since(seen, "a/") or []] == ["a/1"]
    for _ in range(4):
        client.do(r.Put("c", b""))
    assert registry.since(seen) is None and registry.since(registry.at) == []
    again = r.Registry()
    again.restore(registry.snapshot())
    assert again.since(seen) is None and again.since(again.at) == []


def test_a_session_that_is_silent_is_over_and_its_leases_with_it() -> None:
    registry = r.Registry()
    client, other = Client(registry, ms=100.0), Client(registry, "p2", 10_000.0)
    fence = client.do(r.Acquire("works", 5000.0)).number
    assert other.do(r.Acquire("works", 10.0)).holder == "p1"
    other.say(r.Pass(5.0))
    other.say(r.Pass(90.0))
    assert client.say(r.Do(client.session, 0)).ok, "a sign of life"
    other.say(r.Pass(50.0))
    other.say(r.Pass(90.0))
    assert registry.holder("works") == ("p1", fence)
    other.say(r.Pass(20.0))
    taken = other.do(r.Acquire("works", 10.0))
    assert taken.ok and taken.number > fence and client.do(r.Renew("works", fence)).why == "no such session"


@pytest.mark.parametrize("seed", range(100))
def test_whoever_heeds_its_own_clock_never_holds_a_lease_beside_another(seed: int) -> None:
    """Clocks of leader and holders drift by up to 5 % each, leaders change and lose what time has passed."""
    rng = random.Random(seed)
    registry, true = r.Registry(), 0.0
    rates = [rng.uniform(1 - r.DRIFT, 1 + r.DRIFT) for _ in range(3)]  # the leader's, and two holders'
    clients = [Client(registry, f"p{n}", 1e9) for n in range(2)]
    acts: list[tuple[float, float, int]] = []  # true time from, until, whose
    told = 0.0
    for _ in range(300):
        passed = rng.uniform(0.0, 40.0)
        true += passed
        told += passed * rates[0]
        if rng.random() < 0.1:
            told, rates[0] = 0.0, rng.uniform(1 - r.DRIFT, 1 + r.DRIFT)  # another leader, which begins to count now
        if rng.random() < 0.6:
            clients[0].say(r.Pass(told))
            told = 0.0
        n = rng.randrange(2)
        if any(whose == n and true < until for _, until, whose in acts):
            continue  # it has it and lets it run out
        asked = true  # before the command goes out: the answer may come much later
        if clients[n].do(r.Acquire("one", 100.0)).ok:
            acts.append((true, asked + r.safe_ms(100.0) / rates[1 + n], n))
    for begun, until, whose in acts:
        assert not [other for other in acts if other[2] != whose and begun < other[1] and other[0] < until]
    assert len({whose for _, _, whose in acts}) == 2
