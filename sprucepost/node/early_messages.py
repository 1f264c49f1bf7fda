"""Words about tasks that are not known here, kept for a while: they came ahead of their set-up. No I/O.

An owner's messages come on any of its connections, and a host speaks of a task before its owner has told us of it again:
after a restart, or where one connection is read before another. And a task that is over may be named once more by an
owner who has not heard of its end yet.

====================== =================================== ========================================================
what                   recorded when                       effect on a later set-up of that id
====================== =================================== ========================================================
``TASK_ENDED``         a placed task has ended             with ``at``: none, its owner has been released
``CANCELLED_BY_OWNER`` an owner cancels or ends a task     not placed and not answered; with ``at``: the host is
                       that is not known                   told to end the task
``RELEASED_BY_HOST``   a host ends a task that is not      with ``at`` and of that host: the task is placed, and
                       known                               ends at once
====================== =================================== ========================================================
"""

from __future__ import annotations

from enum import Enum
from typing import Any

MAX_EARLY_MESSAGES = 2048  # words kept: whoever speaks of ids that nobody knows pushes out the oldest only


class EarlyMessage(Enum):
    """What was said of the id."""

    TASK_ENDED = "over"
    CANCELLED_BY_OWNER = "unwanted"
    RELEASED_BY_HOST = "ended"


class EarlyMessageCache:
    """Words by id, for ``keep_ms`` and at most ``most`` of them."""

    def __init__(self, keep_ms: float, most: int = MAX_EARLY_MESSAGES) -> None:
        self._keep, self._most = keep_ms, most
        self._words: dict[str, tuple[float, EarlyMessage, Any]] = {}  # the oldest first

    def __len__(self) -> int:
        return len(self._words)

    def note(self, sid: str, word: EarlyMessage, now: float, what: Any = None) -> None:
        """Keep it; that a task is over outlasts whatever is said of it afterwards."""
        known = self._words.pop(sid, None)
        if known is not None and known[1] is EarlyMessage.TASK_ENDED and word is not EarlyMessage.TASK_ENDED:
            word, what = known[1], known[2]
        elif len(self._words) >= self._most:
            del self._words[next(iter(self._words))]
        self._words[sid] = now + self._keep, word, what

    def get(self, sid: str, now: float) -> tuple[EarlyMessage | None, Any]:
        """What was said of it within the time, if anything was."""
        until, word, what = self._words.get(sid, (0.0, None, None))
        return (word, what) if until > now else (None, None)

    def forget(self, now: float) -> None:
        """Drop what is too old."""
        for sid in [sid for sid, word in self._words.items() if word[0] <= now]:
            del self._words[sid]
