"""Words about tasks that are not known here, kept for a while: they came ahead of their set-up. No I/O.

An owner's messages come on any of its connections, and a host speaks of a task before its owner has told us of it again:
after a restart, or where one connection is read before another. And a task that is over may be named once more by an
owner who has not heard of its end yet.

============ ================================== ==================================================================
what         noted when                        a set-up of that id that comes later
============ ================================== ==================================================================
``OVER``     a task that stood has ended       with ``at``: nothing, its owner has been released
``UNWANTED`` an owner gives up or ends what    is not placed, and no answer is owed; with ``at``: the host is told to
             is not known                      let it go
``ENDED``    a host ends what is not known     with ``at`` and of that host: stands, and is over at once
============ ================================== ==================================================================
"""

from __future__ import annotations

from enum import Enum
from typing import Any

MOST = 2048  # words kept: whoever speaks of ids that nobody knows pushes out the oldest only


class Early(Enum):
    """What was said of the id."""

    OVER = "over"
    UNWANTED = "unwanted"
    ENDED = "ended"


class EarlyWords:
    """Words by id, for ``keep_ms`` and at most ``most`` of them."""

    def __init__(self, keep_ms: float, most: int = MOST) -> None:
        self._keep, self._most = keep_ms, most
        self._words: dict[str, tuple[float, Early, Any]] = {}  # the oldest first

    def __len__(self) -> int:
        return len(self._words)

    def note(self, sid: str, word: Early, now: float, what: Any = None) -> None:
        """Keep it; that a task is over outlasts whatever is said of it afterwards."""
        known = self._words.pop(sid, None)
        if known is not None and known[1] is Early.OVER and word is not Early.OVER:
            word, what = known[1], known[2]
        elif len(self._words) >= self._most:
            del self._words[next(iter(self._words))]
        self._words[sid] = now + self._keep, word, what

    def get(self, sid: str, now: float) -> tuple[Early | None, Any]:
        """What was said of it within the time, if anything was."""
        until, word, what = self._words.get(sid, (0.0, None, None))
        return (word, what) if until > now else (None, None)

    def forget(self, now: float) -> None:
        """Drop what is too old."""
        for sid in [sid for sid, word in self._words.items() if word[0] <= now]:
            del self._words[sid]
