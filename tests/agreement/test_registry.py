"""The registry: determined by the log, exactly-once commands, and leases that never overlap under clock drift."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sprucepost.agreement import commands as c
from sprucepost.agreement import registry as r

NAMES = st.sampled_from(["a", "b", "c/1", "c/2"])
FENCING_TOKENS = st.integers(0, 6)
OPERATIONS = st.one_of(
    st.builds(c.Put, NAMES, st.binary(max_size=3), st.none() | st.integers(0, 9)),
    st.builds(c.Delete, NAMES, st.none() | st.integers(0, 9)),
    st.builds(c.AcquireLease, NAMES, st.floats(1, 100)),
    st.builds(c.RenewLease, NAMES, FENCING_TOKENS),
    st.builds(c.ReleaseLease, NAMES, FENCING_TOKENS),
    st.none(),
)
COMMANDS = st.one_of(
    st.builds(c.SessionCommand, st.integers(1, 5), st.integers(1, 6), OPERATIONS),
    st.builds(c.OpenSession, NAMES, st.floats(1, 200)),
    st.builds(c.CloseSession, st.integers(1, 5)),
    st.builds(c.AdvanceClock, st.floats(0, 50)),
).map(c.encode)


def apply_all(commands: list[bytes | None], since: int = 0, state: bytes = b"") -> tuple[r.Registry, list[c.Result]]:
    registry = r.Registry()
    registry.restore(state)
    return registry, [registry.apply(since + n, command) for n, command in enumerate(commands, 1)]


@given(st.lists(st.none() | COMMANDS | st.binary(max_size=6), max_size=40), st.integers(0, 40))
def test_restoring_a_snapshot_midway_changes_nothing(commands: list[bytes | None], cut: int) -> None:
    whole, answers = apply_all(commands)
    first, _ = apply_all(commands[:cut])
    rest, more = apply_all(commands[cut:], len(commands[:cut]), first.snapshot())
    assert rest.snapshot() == whole.snapshot() and more == answers[cut:]


@given(st.lists(COMMANDS, max_size=60))
def test_fencing_tokens_only_grow_and_a_lease_has_one_holder(commands: list[bytes]) -> None:
    registry, tokens = r.Registry(), {"": 0}
    for at, command in enumerate(commands, 1):
        before = {name: registry.lease_holder(name) for name in ("a", "b", "c/1", "c/2")}
        registry.apply(at, command)
        for name, held in before.items():
            now = registry.lease_holder(name)
            if now is not None and now != held:
                assert now[1] > max(tokens.values())
                tokens[name] = now[1]


class Client:
    """A client with one session; sends its commands in order."""

    def __init__(self, registry: r.Registry, name: str = "p1", ms: float = 1000.0) -> None:
        self.registry, self.sequence = registry, 0
        self.session = self.send(c.OpenSession(name, ms)).number

    def send(self, command: c.Command) -> c.Result:
        return self.registry.apply(self.registry.applied_index + 1, c.encode(command))

    def do(self, operation: c.Operation | None) -> c.Result:
        self.sequence += 1
        return self.send(c.SessionCommand(self.session, self.sequence, operation))


def test_a_repeated_command_is_answered_and_not_executed_again() -> None:
    registry = r.Registry()
    client, other = Client(registry), Client(registry, "p2")
    first = client.do(c.Put("k", b"1", expected_version=0))
    assert first.ok and other.do(c.Put("k", b"2", expected_version=first.number)).ok
    assert client.send(c.SessionCommand(client.session, 1, c.Put("k", b"1", expected_version=0))) == first
    value = registry.get("k")
    assert value is not None and value.value == b"2", "the repeated command changed nothing"
    client.do(c.Put("x", b""))
    assert client.send(c.SessionCommand(client.session, 1, c.Put("k", b"1"))).refusal is c.Refusal.STALE_SEQUENCE
    client.send(c.CloseSession(client.session))
    assert client.do(c.Put("k", b"3")).refusal is c.Refusal.NO_SESSION, (
        "the result is gone, so a repeat cannot be recognised"
    )


def test_expected_versions_are_checked_and_limits_are_enforced() -> None:
    registry = r.Registry(r.Limits(keys=1, value_bytes=2, sessions=2, leases=1, name_length=3))
    client = Client(registry)
    assert client.do(c.Put("k", b"123")).refusal == client.do(c.Put("long", b"")).refusal == c.Refusal.FULL
    assert client.do(c.Put("k", b"1")).ok and client.do(c.Put("l", b"1")).refusal is c.Refusal.FULL
    assert client.do(c.Put("k", b"2", expected_version=0)).refusal is c.Refusal.VERSION_MISMATCH
    assert client.do(c.AcquireLease("a", 9.0)).ok and client.do(c.AcquireLease("b", 9.0)).refusal is c.Refusal.FULL
    Client(registry, "q")
    assert client.send(c.OpenSession("r")).refusal is c.Refusal.FULL
    assert client.do(c.Delete("k")).ok and client.do(c.Delete("k")).refusal is c.Refusal.NO_KEY


def test_watchers_resume_from_an_index_or_must_read_all_values_again() -> None:
    registry = r.Registry(r.Limits(changes=4))
    client = Client(registry)
    client.do(c.Put("a/1", b"x"))
    seen = registry.applied_index
    client.do(c.Put("b/1", b"y"))
    client.do(c.Delete("a/1"))
    assert [(change.key, change.value) for change in registry.changes_after(seen) or []] == [
        ("b/1", b"y"),
        ("a/1", None),
    ]
    assert [change.key for change in registry.changes_after(seen, "a/") or []] == ["a/1"]
    for _ in range(4):
        client.do(c.Put("c", b""))
    assert registry.changes_after(seen) is None and registry.changes_after(registry.applied_index) == []
    again = r.Registry()
    again.restore(registry.snapshot())
    assert again.changes_after(seen) is None and again.changes_after(again.applied_index) == []


def test_a_silent_session_expires_with_its_leases() -> None:
    registry = r.Registry()
    client, other = Client(registry, ms=100.0), Client(registry, "p2", 10_000.0)
    token = client.do(c.AcquireLease("works", 5000.0)).number
    assert other.do(c.AcquireLease("works", 10.0)).holder == "p1"
    other.send(c.AdvanceClock(5.0))
    other.send(c.AdvanceClock(90.0))
    assert client.send(c.SessionCommand(client.session, 0)).ok, "keeps the session alive"
    other.send(c.AdvanceClock(50.0))
    other.send(c.AdvanceClock(90.0))
    assert registry.lease_holder("works") == ("p1", token)
    other.send(c.AdvanceClock(20.0))
    taken = other.do(c.AcquireLease("works", 10.0))
    assert taken.ok and taken.number > token and client.do(c.RenewLease("works", token)).refusal is c.Refusal.NO_SESSION


def draw_rate(rng: random.Random) -> float:
    """Draw the rate of a monotonic clock, within the allowed drift."""
    return rng.uniform(1 - r.MAX_CLOCK_DRIFT, 1 + r.MAX_CLOCK_DRIFT)


@pytest.mark.parametrize("seed", range(100))
def test_holders_that_respect_the_safe_ttl_on_their_own_clocks_never_overlap(seed: int) -> None:
    """Clocks of leader and holders drift by up to 5 % each; a change of leader loses the time passed until then."""
    rng = random.Random(seed)
    registry, true = r.Registry(), 0.0
    rates = [draw_rate(rng) for _ in range(3)]  # the leader's, and two holders'
    clients = [Client(registry, f"p{n}", 1e9) for n in range(2)]
    tenures: list[tuple[float, float, int]] = []  # true start, true end, client
    unreported_ms = 0.0
    for _ in range(300):
        passed = rng.uniform(0.0, 40.0)
        true += passed
        unreported_ms += passed * rates[0]
        if rng.random() < 0.1:
            unreported_ms, rates[0] = 0.0, draw_rate(rng)  # a new leader, which starts to count now
        if rng.random() < 0.6:
            clients[0].send(c.AdvanceClock(unreported_ms))
            unreported_ms = 0.0
        n = rng.randrange(2)
        if any(owner == n and true < until for _, until, owner in tenures):
            continue  # it holds the lease and lets it expire
        requested = true  # before the command is sent: the response may come much later
        if clients[n].do(c.AcquireLease("one", 100.0)).ok:
            tenures.append((true, requested + r.safe_ttl_ms(100.0) / rates[1 + n], n))
    for begun, until, owner in tenures:
        assert not [other for other in tenures if other[2] != owner and begun < other[1] and other[0] < until]
    assert len({owner for _, _, owner in tenures}) == 2
