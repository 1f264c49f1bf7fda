"""How many sessions are kept, and which is evicted when one more comes. Free of I/O and clock."""

from __future__ import annotations

from collections import Counter


class SessionTable:
    """``most`` sessions in all, ``per_peer`` of one peer (a remote host).

    A session is *attached* (it has a stream), *owed* (none, but outcomes of it are still to come) or *free*. Where a bound
    is reached the free session that has been without a stream for the longest goes, of that peer where its own bound
    is; where there is none, the newcomer is turned away: nobody loses an outcome to a stranger's hello.
    """

    def __init__(self, most: int, per_peer: int) -> None:
        if not 1 <= per_peer <= most:
            raise ValueError("per_peer: must be at least 1 and at most most")
        self.most, self.per_peer = most, per_peer
        self._peer_of: dict[bytes, str] = {}
        self._of_peer: Counter[str] = Counter()
        self._owed: set[bytes] = set()
        self._free: dict[bytes, None] = {}  # the longest without a stream first
        self._free_of: dict[str, dict[bytes, None]] = {}

    def __len__(self) -> int:
        return len(self._peer_of)

    def add(self, token: bytes, peer: str) -> tuple[bool, bytes | None]:
        """A new session, attached. Whether there is room for it, and the session that has to go for it."""
        evicted: bytes | None = None
        if self._of_peer[peer] >= self.per_peer:
            evicted = next(iter(self._free_of.get(peer, ())), None)
            if evicted is None:
                return False, None
        elif len(self) >= self.most:
            evicted = next(iter(self._free), None)
            if evicted is None:
                return False, None
        if evicted is not None:
            self.remove(evicted)
        self._peer_of[token] = peer
        self._of_peer[peer] += 1
        return True, evicted

    def detach(self, token: bytes, owed: bool) -> None:
        """Its stream has ended."""
        if owed:
            self._owed.add(token)
        else:
            self._set_free(token)

    def outcomes_delivered(self, token: bytes) -> None:
        """The last outcome that it was owed has been told."""
        if token in self._owed:
            self._owed.discard(token)
            self._set_free(token)

    def attach(self, token: bytes) -> None:
        """It has a stream again."""
        self._owed.discard(token)
        self._not_free(token)

    def remove(self, token: bytes) -> None:
        """It is forgotten."""
        peer = self._peer_of.pop(token, None)
        if peer is None:
            return
        self._owed.discard(token)
        self._of_peer[peer] -= 1
        if not self._of_peer[peer]:
            del self._of_peer[peer]
        self._not_free(token, peer)

    def _set_free(self, token: bytes) -> None:
        self._free[token] = None
        self._free_of.setdefault(self._peer_of[token], {})[token] = None

    def _not_free(self, token: bytes, peer: str | None = None) -> None:
        if token not in self._free:
            return
        del self._free[token]
        peer = self._peer_of[token] if peer is None else peer
        del self._free_of[peer][token]
        if not self._free_of[peer]:
            del self._free_of[peer]
