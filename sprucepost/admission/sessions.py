"""Bounds how many sessions are kept, and decides which is evicted for a new one. Free of I/O and clock."""

from __future__ import annotations

from collections import Counter


class SessionTable:
    """At most ``max_sessions`` sessions in all and ``per_peer`` of one peer (a remote host).

    A session is *attached* (it has a stream), *pending* (it has none, but outcomes are still to be delivered to it) or
    *free*. At the limit the free session that has been without a stream for the longest is evicted; at a peer's own limit,
    the longest of that peer. If there is none, the new session is refused, so that no owner loses an outcome to a
    stranger's hello.
    """

    def __init__(self, max_sessions: int, per_peer: int) -> None:
        if not 1 <= per_peer <= max_sessions:
            raise ValueError("per_peer: must be at least 1 and at most max_sessions")
        self.max_sessions, self.per_peer = max_sessions, per_peer
        self._peer_of: dict[bytes, str] = {}
        self._count_by_peer: Counter[str] = Counter()
        self._pending: set[bytes] = set()
        self._free: dict[bytes, None] = {}  # those without a stream for the longest come first
        self._free_by_peer: dict[str, dict[bytes, None]] = {}

    def __len__(self) -> int:
        return len(self._peer_of)

    def add(self, token: bytes, peer: str) -> tuple[bool, bytes | None]:
        """Add a new, attached session. Returns whether it was added, and the session evicted for it."""
        evicted: bytes | None = None
        if self._count_by_peer[peer] >= self.per_peer:
            evicted = next(iter(self._free_by_peer.get(peer, ())), None)
            if evicted is None:
                return False, None
        elif len(self) >= self.max_sessions:
            evicted = next(iter(self._free), None)
            if evicted is None:
                return False, None
        if evicted is not None:
            self.remove(evicted)
        self._peer_of[token] = peer
        self._count_by_peer[peer] += 1
        return True, evicted

    def detach(self, token: bytes, pending: bool) -> None:
        """Record that the session's stream has ended; ``pending``: outcomes are still to be delivered to it."""
        if pending:
            self._pending.add(token)
        else:
            self._mark_free(token)

    def outcomes_delivered(self, token: bytes) -> None:
        """Record that no outcome is left to be delivered to the session."""
        if token in self._pending:
            self._pending.discard(token)
            self._mark_free(token)

    def attach(self, token: bytes) -> None:
        """Record that the session has a stream again."""
        self._pending.discard(token)
        self._unmark_free(token)

    def remove(self, token: bytes) -> None:
        """Remove a session."""
        peer = self._peer_of.pop(token, None)
        if peer is None:
            return
        self._pending.discard(token)
        self._count_by_peer[peer] -= 1
        if not self._count_by_peer[peer]:
            del self._count_by_peer[peer]
        self._unmark_free(token, peer)

    def _mark_free(self, token: bytes) -> None:
        self._free[token] = None
        self._free_by_peer.setdefault(self._peer_of[token], {})[token] = None

    def _unmark_free(self, token: bytes, peer: str | None = None) -> None:
        if token not in self._free:
            return
        del self._free[token]
        peer = self._peer_of[token] if peer is None else peer
        del self._free_by_peer[peer][token]
        if not self._free_by_peer[peer]:
            del self._free_by_peer[peer]
