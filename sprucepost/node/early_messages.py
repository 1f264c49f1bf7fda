"""Cache of messages about tasks that are not known here because they arrived before the task's set-up. No I/O.

An owner may use any of its connections, and a host may report on a task before its owner has reported the task again:
after a restart of the placer, or if one connection is read before another. An owner that has not yet heard of the end of
its task may also report that task once more.

====================== =================================== ========================================================
message                recorded when                       effect on a later set-up of that id
====================== =================================== ========================================================
``TASK_ENDED``         a placed task has ended             with ``at``: none, its owner has been sent the release
``CANCELLED_BY_OWNER`` an owner cancels or ends a task     not placed and not answered; with ``at``: the host is
                       that is not known                   told to end the task
``RELEASED_BY_HOST``   a host releases a task that is not  with ``at`` and of that host: recorded as placed, and
                       known                               ended at once
====================== =================================== ========================================================
"""

from __future__ import annotations

from enum import Enum
from typing import Any

MAX_EARLY_MESSAGES = 2048  # bounds the memory: a peer that sends unknown ids only displaces the oldest entries


class EarlyMessage(Enum):
    """What is recorded about a task id."""

    TASK_ENDED = "over"
    CANCELLED_BY_OWNER = "unwanted"
    RELEASED_BY_HOST = "ended"


class EarlyMessageCache:
    """Messages by task id; each is kept for ``retention_ms``, and at most ``max_messages`` of them."""

    def __init__(self, retention_ms: float, max_messages: int = MAX_EARLY_MESSAGES) -> None:
        self._retention_ms, self._max_messages = retention_ms, max_messages
        self._messages: dict[str, tuple[float, EarlyMessage, Any]] = {}  # expiry, message, details; oldest first

    def __len__(self) -> int:
        return len(self._messages)

    def record(self, sid: str, message: EarlyMessage, now: float, details: Any = None) -> None:
        """Record a message; ``TASK_ENDED`` is not overwritten by a later message of another kind."""
        known = self._messages.pop(sid, None)
        if known is not None and known[1] is EarlyMessage.TASK_ENDED and message is not EarlyMessage.TASK_ENDED:
            message, details = known[1], known[2]
        elif len(self._messages) >= self._max_messages:
            del self._messages[next(iter(self._messages))]
        self._messages[sid] = now + self._retention_ms, message, details

    def get(self, sid: str, now: float) -> tuple[EarlyMessage | None, Any]:
        """Return the message about that id and its details, or a pair of None if there is none or it has expired."""
        expires_at, message, details = self._messages.get(sid, (0.0, None, None))
        return (message, details) if expires_at > now else (None, None)

    def expire(self, now: float) -> None:
        """Drop expired messages."""
        for sid in [sid for sid, message in self._messages.items() if message[0] <= now]:
            del self._messages[sid]
