"""Sizes of state entries are plausible and agree with the kept results."""

from __future__ import annotations

from pathlib import Path

from sprucepost.scale.roles import ROLES
from sprucepost.scale.state import load_state, measure_state

KEPT = Path(__file__).parents[2] / "docs" / "results" / "scale-state.json"


def test_every_entry_has_a_role_and_a_size() -> None:
    entries = measure_state()
    assert {entry.role for entry in entries} <= {role.key for role in ROLES}
    for entry in entries:
        assert entry.encoded_bytes is None or 10 < entry.encoded_bytes < 10_000, entry
        assert entry.memory_bytes is None or 100 < entry.memory_bytes < 100_000, entry


def test_encoded_sizes_agree_with_the_kept_results() -> None:
    """After a change of a codec, measure again with ``sprucepost scale state``.

    Memory is not compared, since it differs between versions of Python.
    """
    kept = load_state(KEPT)
    assert [(each.role, each.entry, each.encoded_bytes) for each in measure_state()] == [
        (each.role, each.entry, each.encoded_bytes) for each in kept.entries
    ]
