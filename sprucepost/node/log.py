"""One JSON line on standard output for each thing that operators may want to know.

A flood of one kind is counted, not written.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from sprucepost.loop import Loop

PER_SECOND = 20  # lines of one kind: the log is written by the thread that places


class Log:
    """``write`` takes one line at a time."""

    def __init__(self, loop: Loop, name: str, write: Callable[[str], None]) -> None:
        self._loop, self._name, self._write = loop, name, write
        self._second = 0
        self._counts: dict[str, int] = {}

    def __call__(self, event: str, **fields: Any) -> None:
        now = self._loop.wall()
        if int(now // 1000) != self._second:
            held = {kind: count - PER_SECOND for kind, count in self._counts.items() if count > PER_SECOND}
            self._second, self._counts = int(now // 1000), {}
            if held:
                self._line(now, "log_held_back", held)
        self._counts[event] = self._counts.get(event, 0) + 1
        if self._counts[event] <= PER_SECOND:
            self._line(now, event, fields)

    def _line(self, now: float, event: str, fields: dict[str, Any]) -> None:
        known = {key: value for key, value in fields.items() if value is not None}
        self._write(json.dumps({"at_ms": round(now, 1), "placer": self._name, "event": event, **known}))
