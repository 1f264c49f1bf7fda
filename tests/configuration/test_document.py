"""Tests of flattening and expanding documents, and of the errors for keys that conflict."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sprucepost.configuration.document import DocumentError, expand, flatten, settings_digest

NAMES = st.text("abcxyz_", min_size=1, max_size=3)
SCALARS = st.none() | st.booleans() | st.integers(-5, 5) | st.floats(0, 1) | st.text("ab", max_size=2)


def objects(inner: st.SearchStrategy[Any]) -> st.SearchStrategy[Any]:
    named = st.dictionaries(NAMES.filter(lambda name: name != "name"), inner, max_size=2)
    lists = st.dictionaries(NAMES, named, max_size=3).map(lambda by: [{"name": n, **rest} for n, rest in by.items()])
    return st.dictionaries(NAMES, inner, min_size=1, max_size=3) | lists


DOCUMENTS = st.dictionaries(NAMES, st.recursive(SCALARS | st.lists(SCALARS, max_size=3), objects, max_leaves=8))


@given(DOCUMENTS)
def test_flattening_and_expanding_returns_the_same_document(document: dict[str, Any]) -> None:
    flat = flatten(document)
    assert expand(flat) == document
    assert settings_digest(flat) == settings_digest(dict(reversed(flat.items())))


def test_paths_address_list_elements_by_name() -> None:
    document = {
        "c": {"zones": ["z1", "z2"], "classes": [{"name": "web", "aim": 3}, {"name": "batch", "aim": 9}], "t": []}
    }
    flat = flatten(document)
    assert flat == {
        "c.zones": ["z1", "z2"], "c.classes[]": ["web", "batch"], "c.classes[web].aim": 3,
        "c.classes[batch].aim": 9, "c.t[]": [],
    }  # fmt: skip
    grown = expand({**flat, "c.classes[zz].aim": 1, "c.classes[aa].aim": 2})
    assert [each["name"] for each in grown["c"]["classes"]] == ["web", "batch", "aa", "zz"]
    del flat["c.classes[web].aim"]
    assert expand(flat)["c"]["classes"] == [{"name": "batch", "aim": 9}]


@pytest.mark.parametrize(
    ("settings", "message"),
    [
        ({"a": 1, "a.b": 2}, "a.b: stands inside another key's value"),
        ({"": 1}, "key: empty"),
        ({"a..b": 1}, "a..b: not a key path"),
        ({"a.": 1}, "a.: not a key path"),
        ({"a[x": 1}, "a[x: a bracket isn't closed"),
        ({"a[x]b": 1}, "a[x]b: not a key path"),
        ({"a[x]": 1}, "a[x]: an element of a list is set by its keys"),
        ({"a[]": 1}, "a[]: not the order of a list"),
        ({"a[x].b": 1, "a.c": 1}, "c: stands in a list of named objects"),
    ],
)
def test_conflicting_or_malformed_keys_raise_an_error_that_names_the_key(
    settings: dict[str, Any], message: str
) -> None:
    with pytest.raises(DocumentError) as raised:
        expand(settings)
    assert str(raised.value) == message
