"""``fleet members``, ``fleet status ADDRESS`` and ``fleet watch``: one placer's view of its fleet, read over HTTP."""

from __future__ import annotations

import json
import time
import urllib.error
import urllib.request
from collections.abc import Iterator
from typing import Any

from sprucepost.cli.tables import table

STATUS_COLUMNS = ["name", "condition", "status", "number", "generation", "size", "address"]
MEMBER_COLUMNS = ["name", "condition", "number", "room", "host", "address", "generation", "size"]


class ViewUnavailable(Exception):
    """A placer's view could not be read; the message says why, in one line."""


def fetch_view(address: str, timeout_s: float = 5.0) -> dict[str, Any]:
    """Return the placer's ``/members`` document; raise ViewUnavailable where it cannot be read."""
    try:
        with urllib.request.urlopen(f"http://{address}/members", timeout=timeout_s) as answer:
            document: dict[str, Any] = json.loads(answer.read())
    except urllib.error.HTTPError as error:
        raise ViewUnavailable(error.read().decode(errors="replace").strip() or str(error)) from None
    except (OSError, ValueError) as error:
        raise ViewUnavailable(str(error)) from None
    return document


def view_table(view: dict[str, Any], columns: list[str] | None = None) -> str:
    """Return a table with a row for each member, then a summary and the conflicting numbers."""
    columns = columns or MEMBER_COLUMNS
    rows = [[member[key] for key in columns] for member in view["members"]]
    conditions = [member["condition"] for member in view["members"]]
    counts = ", ".join(f"{conditions.count(condition)} {condition}" for condition in ("here", "away", "left"))
    lines = [
        table(columns, rows),
        f"{counts}; digest {view['digest']}, unchanged for {view['settled_ms'] / 1000:.1f} s",
    ]
    lines += [f"number {number} is held by {', '.join(names)}" for number, names in view["conflicts"].items()]
    return "\n".join(lines)


def condition_changes(address: str, every_s: float, sleep: Any = time.sleep) -> Iterator[str]:
    """Yield a line for each change of a member's condition, until ViewUnavailable is raised."""
    known: dict[str, str] | None = None
    while True:
        now = {member["name"]: member["condition"] for member in fetch_view(address)["members"]}
        if known is not None:
            for name in sorted(now.keys() | known.keys()):
                if now.get(name) != known.get(name):
                    yield f"{name}: {known.get(name, 'unknown')} to {now.get(name, 'forgotten')}"
        known = now
        sleep(every_s)
