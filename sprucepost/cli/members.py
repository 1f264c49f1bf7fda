"""``fleet members``, ``fleet status ADDRESS`` and ``fleet watch``: one placer's view, asked over its HTTP port."""

from __future__ import annotations

import json
import time
import urllib.error
import urllib.request
from collections.abc import Iterator
from typing import Any

from sprucepost.cli.tables import table

STATUS = ["name", "condition", "status", "number", "generation", "size", "address"]
HEAD = ["name", "condition", "number", "room", "host", "address", "generation", "size"]


class NoView(Exception):
    """Why there is none, in one line."""


def ask(address: str, limit_s: float = 5.0) -> dict[str, Any]:
    """The placer's ``/members`` page. NoView where it cannot be had."""
    try:
        with urllib.request.urlopen(f"http://{address}/members", timeout=limit_s) as answer:
            document: dict[str, Any] = json.loads(answer.read())
    except urllib.error.HTTPError as error:
        raise NoView(error.read().decode(errors="replace").strip() or str(error)) from None
    except (OSError, ValueError) as error:
        raise NoView(str(error)) from None
    return document


def shown(view: dict[str, Any], head: list[str] | None = None) -> str:
    """A row for each member, and what is to be known of all."""
    head = head or HEAD
    rows = [[member[key] for key in head] for member in view["members"]]
    conditions = [member["condition"] for member in view["members"]]
    counts = ", ".join(f"{conditions.count(word)} {word}" for word in ("here", "away", "left"))
    lines = [table(head, rows), f"{counts}; digest {view['digest']}, unchanged for {view['settled_ms'] / 1000:.1f} s"]
    lines += [f"number {number} is held by {', '.join(names)}" for number, names in view["conflicts"].items()]
    return "\n".join(lines)


def changes(address: str, every_s: float, sleep: Any = time.sleep) -> Iterator[str]:
    """A line for each member whose condition changes, for ever; NoView where the placer cannot be asked any more."""
    known: dict[str, str] | None = None
    while True:
        now = {member["name"]: member["condition"] for member in ask(address)["members"]}
        if known is not None:
            for name in sorted(now.keys() | known.keys()):
                if now.get(name) != known.get(name):
                    yield f"{name}: {known.get(name, 'unknown')} to {now.get(name, 'forgotten')}"
        known = now
        sleep(every_s)
