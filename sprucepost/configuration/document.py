"""Converts settings documents to flat maps of key paths to values, and back.

A change edits single keys, so that two operators who change different keys don't conflict. A JSON document is flattened
to paths such as ``cluster.max_attempts``. If all elements of a list are objects with a ``name``, they are addressed by
it (``cluster.classes[batch].aim_ms``), and the order of the list is a key of its own (``cluster.classes[]``); elements
missing from that order follow it, sorted by name. Any other list is a single value.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterator, Mapping
from functools import lru_cache
from typing import Any

Value = Any  # a JSON value: None, bool, int, float, str, and lists and dicts of these
Settings = Mapping[str, Value]

ORDER_SUFFIX = "[]"  # suffix of the key that holds the order of a list of named objects


class DocumentError(Exception):
    """Keys that cannot form one document. The text is a single line that names the key."""


def flatten(document: Mapping[str, Value], prefix: str = "") -> dict[str, Value]:
    """Returns the values of a document by key path."""
    found: dict[str, Value] = {}
    for name, value in document.items():
        found.update(_flatten_value(f"{prefix}.{name}" if prefix else name, value))
    return found


def expand(settings: Settings) -> dict[str, Value]:
    """Returns the document with these values.

    Raises DocumentError where a key is nested in another key's value or a path is malformed.
    """
    root = _Node()
    for key in sorted(settings):
        _insert(root, key, settings[key])
    document = _build(root)
    return document if isinstance(document, dict) else {}


def canonical_json(value: Value) -> str:
    """Returns JSON text that is equal for equal values, independent of the order of their keys."""
    return json.dumps(value, sort_keys=True, separators=(",", ":"), ensure_ascii=False, allow_nan=False)


def fingerprint(text: str) -> int:
    """Returns a 64-bit hash of the text."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def key_fingerprint(key: str, value: Value) -> int:
    """Returns the contribution of one key to the digest of a configuration."""
    return fingerprint(f"{key}={canonical_json(value)}")


def settings_digest(settings: Settings) -> int:
    """Returns a 64-bit digest that is equal for equal configurations."""
    digest = 0
    for key, value in settings.items():
        digest ^= key_fingerprint(key, value)
    return digest


class _Node:
    """An object or list of named objects under construction."""

    __slots__ = ("members", "named", "order")

    def __init__(self) -> None:
        self.members: dict[str, Value | _Node] = {}
        self.named: dict[str, _Node] = {}
        self.order: list[str] | None = None


def _flatten_value(path: str, value: Value) -> dict[str, Value]:
    if isinstance(value, dict):
        return flatten(value, path)
    if isinstance(value, list) and (not value or all(_is_named(element) for element in value)):
        names = [element["name"] for element in value]
        if len(set(names)) == len(names):
            found: dict[str, Value] = {f"{path}{ORDER_SUFFIX}": names}
            for element in value:
                rest = {key: each for key, each in element.items() if key != "name"}
                found.update(flatten(rest, f"{path}[{element['name']}]") or {f"{path}[{element['name']}]": {}})
            return found
    return {path: value}


def _is_named(element: Value) -> bool:
    if not isinstance(element, dict) or not isinstance(element.get("name"), str):
        return False
    name: str = element["name"]
    return bool(name) and not set(name) & set("[]")


@lru_cache(maxsize=8192)
def _path_steps(key: str) -> tuple[tuple[str, str | None], ...]:
    """Returns the steps of a path: the name of a member and, for a list element, the name of the element."""
    return tuple(_parse_path(key))


def _parse_path(key: str) -> Iterator[tuple[str, str | None]]:
    rest = key
    while rest:
        name_length = min((rest.find(mark) for mark in ".[" if mark in rest), default=len(rest))
        name, rest = rest[:name_length], rest[name_length:]
        element: str | None = None
        if rest.startswith("["):
            element, closed, rest = rest[1:].partition("]")
            if not closed:
                raise DocumentError(f"{key}: a bracket isn't closed")
        if not name:
            raise DocumentError(f"{key}: not a key path")
        yield name, element
        if rest:
            if not rest.startswith(".") or rest == ".":
                raise DocumentError(f"{key}: not a key path")
            rest = rest[1:]


def _insert(root: _Node, key: str, value: Value) -> None:
    steps = _path_steps(key)
    if not steps:
        raise DocumentError("key: empty")
    node = root
    for depth, (name, element) in enumerate(steps):
        last = depth == len(steps) - 1
        if last and element is None:
            if name in node.members:
                raise DocumentError(f"{key}: another key stands inside it")
            node.members[name] = value
            return
        inner = node.members.get(name)
        if inner is None and name not in node.members:
            inner = node.members[name] = _Node()
        if not isinstance(inner, _Node):
            raise DocumentError(f"{key}: stands inside another key's value")
        node = inner
        if element is None:
            continue
        if not element:
            if not last or not isinstance(value, list):
                raise DocumentError(f"{key}: not the order of a list")
            node.order = [each for each in value if isinstance(each, str)]
            return
        if element not in node.named:
            node.named[element] = _Node()
        node = node.named[element]
    if value != {}:
        raise DocumentError(f"{key}: an element of a list is set by its keys")


def _build(node: _Node) -> Value:
    if node.named or node.order is not None:
        if node.members:
            raise DocumentError(f"{next(iter(node.members))}: stands in a list of named objects")
        ordered = [name for name in node.order or [] if name in node.named]
        ordered += sorted(node.named.keys() - set(ordered))
        return [{"name": name, **_build(node.named[name])} for name in ordered]
    return {name: _build(value) if isinstance(value, _Node) else value for name, value in node.members.items()}
