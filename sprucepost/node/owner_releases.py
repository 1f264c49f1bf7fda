"""Releases that are owed to owners whose tasks have ended: on which connections they are sent, and for how long.

A release is owed to the owner that brought the task, and the platform tells owners by nothing but what they send: several
clients may have one address, and another one may come to the address of one that has gone.

==================================== ================================ ====================================================
evidence that a connection is the    what it tells                    the release
owner's
==================================== ================================ ====================================================
it has brought the task, and is open it is the owner's                is sent there alone
it hands the task over, or ends it   it is the owner's, who knows the is sent there alone (handed over), or nowhere any
                                     task, or its end                 more
it has brought the task and confirms its owner knows of the end       is sent nowhere any more
the release
it comes from the owner's address,   it may be the owner's            is a *guess* there: it is sent to the likeliest one
and has brought a message                                             at once, to the others of that address after
                                                                      ``COPY_DELAY_MS``, and to each that comes until
                                                                      ``RELEASE_RETENTION_MS`` have passed; once on each
it confirms a guess                  nothing: a client may confirm a  goes on to the others
                                     release of a task that it
                                     doesn't know
it comes from another address        it is not the owner's            is not sent there
the owner's was ended for its input  its client misuses the placer    is a guess once, on the likeliest one or the next
==================================== ================================ ====================================================

A release is sent after all is handled that the latest poll has found: an end of its connection that had arrived by then is
not written to. A release that is in doubt when its connection ends (see ``delivery``) is a guess from then on.

A client that is sent a release of a task which it doesn't know drops it, as placers do with what hosts repeat. Copies of
guesses are bounded for each check. Connections on which a task was answered come before the others, and those that have
brought the tasks take turns: one that had thousands does not hold up the others.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass, field
from typing import Protocol

from sprucepost.loop import Loop
from sprucepost.node.log import Log

RELEASE_RETENTION_MS = 8000.0  # how long a release that is not known to have reached its owner is kept
COPY_DELAY_MS = 100.0  # from the first guess to its copies: by then the owner may have handed the task over
# With an older poll, the sockets are polled again before releases are sent: a tenth of what may cross an end.
MAX_POLL_AGE_MS = 5.0
COPIES_PER_CHECK = 256  # of guesses, each a message of some 20 bytes


class OwnerConnection(Protocol):
    """A connection of an owner, open or ended. Times are ms of the loop's clock."""

    owner_address: str
    first_message_number: int  # of the connections in the order of their first messages, from 1; 0: none yet
    was_answered: bool  # whether a task was answered here
    proven: bool  # whether it has brought a task that was admitted
    used: float  # time of the last admitted task or of the last write
    owed_releases: int  # that will be sent here in this turn of the loop: it is kept for them
    misused: bool  # whether it has been ended for what its client has sent, or not read

    @property
    def peer(self) -> str: ...
    @property
    def closed(self) -> bool: ...
    def release(self, owed: OwedRelease, state: str = "released") -> None:
        """Send the release; ``state`` is what the log says of the task."""
        ...


@dataclass(slots=True, eq=False)
class OwedRelease:
    """The release of a task that has ended, owed to the owner whose connection brought it. Times are ms of the loop's
    clock."""

    sid: str
    cause: int
    owner: OwnerConnection
    expires_at: float
    is_cancelled: bool = False  # the task has been handed over since, or its owner knows of the end
    first_guess: OwnerConnection | None = None  # the connection to which it was sent first, where the owner's has ended
    first_guess_at: float = 0.0
    guessed: set[OwnerConnection] = field(default_factory=set)  # connections to which it has been sent as a guess


class OwnerReleases:
    """The releases owed to owners; ``links`` has the open connections."""

    def __init__(self, loop: Loop, links: Collection[OwnerConnection], log: Log, counters: Counter[str]) -> None:
        self._loop, self._links, self._log, self._counters = loop, links, log, counters
        self._owed: dict[str, OwedRelease] = {}  # by task, for ``RELEASE_RETENTION_MS``
        self._due: list[OwedRelease] = []  # to be sent in this turn of the loop, or in the next
        self._pending: dict[str, OwedRelease] = {}  # those not known to have been sent to their owners, oldest first

    @property
    def pending(self) -> int:
        """The number of releases that are not known to have been sent to their owners."""
        return len(self._pending)

    def oldest_pending_ms(self) -> float:
        """Return for how long the oldest of them has been owed, in ms; 0 where there is none."""
        oldest = min((owed.expires_at for owed in self._pending.values()), default=None)
        return 0.0 if oldest is None else self._loop.now() + RELEASE_RETENTION_MS - oldest

    def owe(self, link: OwnerConnection, sid: str, cause: int) -> None:
        """Send the release of a task that this connection has brought: there, or where its owner may be."""
        self.cancel(sid)  # of an end before this one
        owed = self._owed[sid] = OwedRelease(sid, cause, link, self._loop.now() + RELEASE_RETENTION_MS)
        link.owed_releases += 1
        if not self._due:
            self._loop.call_soon(self.send_due)
        self._due.append(owed)

    def send_due(self) -> None:
        """Send the releases that have been owed since the latest call, where their connections are still open."""
        if self._due and self._loop.since_poll_ms > MAX_POLL_AGE_MS:
            self._loop.poll_now()
        due, self._due = self._due, []
        guesses = []
        for owed in due:
            owed.owner.owed_releases -= 1
            if owed.is_cancelled:
                continue
            if owed.owner.closed:
                guesses.append(owed)
            else:
                owed.owner.release(owed)
        self._guess(guesses)

    def send_again(self, doubtful: list[OwedRelease], link: OwnerConnection, why: str) -> None:
        """Send releases elsewhere that are in doubt on a connection which has ended."""
        now, guesses = self._loop.now(), list[OwedRelease]()
        for owed in doubtful:
            is_known = self._pending.get(owed.sid) is owed  # copies go to other connections anyway
            if owed.is_cancelled or owed.expires_at <= now or (is_known and owed.first_guess is not link):
                continue
            if owed.owner.misused and owed.first_guess is not None:
                continue
            self._counters[f"releases_in_doubt_{why}"] += 1
            self._log.task(owed.sid, "release_in_doubt", owner=link.peer, why=f"its connection has ended: {why}")
            if not is_known:
                guesses.append(owed)
            else:
                owed.first_guess_at = -math.inf  # copies go out with the next check
        self._guess(guesses)

    def _guess(self, guesses: list[OwedRelease]) -> None:
        """Send releases on the likeliest connections of their owners' addresses, and keep them for the others."""
        likeliest: dict[str, OwnerConnection] = {}
        if guesses:
            for link in self._links:
                best = likeliest.get(link.owner_address)
                if _may_be_owners(link) and (best is None or _likelihood(link) > _likelihood(best)):
                    likeliest[link.owner_address] = link
        for owed in guesses:
            self._pending[owed.sid] = owed
            found = likeliest.get(owed.owner.owner_address)
            if found is not None and found not in owed.guessed:
                self._send_first_guess(owed, found)
                continue
            owed.first_guess = None
            self._counters["releases_waiting"] += 1
            self._log.task(owed.sid, "release_waits", owner=owed.owner.peer, why="no connection to its owner")

    def _send_first_guess(self, owed: OwedRelease, link: OwnerConnection) -> None:
        owed.first_guess, owed.first_guess_at = link, self._loop.now()
        owed.guessed.add(link)
        if owed.owner.misused:
            del self._pending[owed.sid]
        self._counters["releases_guessed"] += 1
        link.release(owed)

    def send_waiting(self, link: OwnerConnection) -> None:
        """Send the releases for which there was no connection so far, on one that has brought its first message."""
        for owed in list(self._pending.values()):
            is_told = owed.first_guess is not None or link in owed.guessed
            if not is_told and owed.owner.owner_address == link.owner_address:
                self._send_first_guess(owed, link)

    def handed_over_again(self, link: OwnerConnection, sid: str) -> None:
        """Send the release on the connection that hands over the task, as its owner hasn't heard of the end."""
        owed = self._pending.pop(sid, None)
        if owed is not None and link not in owed.guessed:
            owed.owner = link
            link.release(owed)

    def cancel(self, sid: str) -> None:
        """Send the release of that task no more: the task has been handed over, or its owner knows of the end."""
        self._pending.pop(sid, None)
        owed = self._owed.pop(sid, None)
        if owed is not None:
            owed.is_cancelled = True

    def confirm(self, link: OwnerConnection, sid: str) -> None:
        """Take in that the client of that connection has heard the release.

        Only the one that has brought the task is known to be owed it. A client may confirm a release of a task that it does
        not know, so where the release was a guess, its owner is still to be found.
        """
        owed = self._owed.get(sid)
        if owed is not None and owed.owner is link:
            self.cancel(sid)

    def check(self) -> None:
        """Drop expired releases; send copies of guesses. Called periodically."""
        now = self._loop.now()
        while self._owed and (owed := next(iter(self._owed.values()))).expires_at <= now:
            del self._owed[owed.sid]
            if self._pending.pop(owed.sid, None) is not None:
                self._counters["releases_expired"] += 1
        self._send_copies(lambda owed: now - owed.first_guess_at >= COPY_DELAY_MS)

    def finish(self) -> None:
        """Send what is due, and copies of guesses without delay: the connections end."""
        self.send_due()
        self._send_copies(lambda owed: True)

    def _send_copies(self, is_due: Callable[[OwedRelease], bool]) -> None:
        """Send guesses on the connections of their addresses that have not been sent them, as many as a check may."""
        by_owner: defaultdict[OwnerConnection, list[OwedRelease]] = defaultdict(list)
        for owed in self._pending.values():
            if owed.first_guess is not None and is_due(owed):
                by_owner[owed.owner].append(owed)
        if not by_owner:
            return
        candidates = [link for link in self._links if _may_be_owners(link)]
        copies = 0
        for is_likely in (True, False):  # all releases go to the likely ones first
            links = [link for link in candidates if link.was_answered is is_likely]
            copies += _send_in_turns(
                [_copy(guesses, links) for guesses in by_owner.values()], COPIES_PER_CHECK - copies
            )
        self._counters["releases_copied"] += copies


def _send_in_turns(owners: list[Iterator[None]], most: int) -> int:
    """Let each owner's releases be sent in turn, one at a time and ``most`` in all; return how many were sent."""
    turns, copies = deque(owners), 0
    while turns and copies < most:
        turn = turns.popleft()
        if next(turn, turns) is None:
            copies += 1
            turns.append(turn)
    return copies


def _copy(guesses: list[OwedRelease], links: list[OwnerConnection]) -> Iterator[None]:
    """Send guesses for one owner on those of the connections that have not been sent them, one at each step."""
    for owed in guesses:
        for link in links:
            if link not in owed.guessed and link.owner_address == owed.owner.owner_address:
                owed.guessed.add(link)
                link.release(owed, "release_copied")
                yield


def _may_be_owners(link: OwnerConnection) -> bool:
    """Return whether releases may be sent on a connection: it is open, and has brought a message."""
    return link.first_message_number > 0 and not link.closed


def _likelihood(link: OwnerConnection) -> tuple[bool, bool, float]:
    """Return how likely it is that a connection is a certain owner's, as a key to compare with others."""
    return link.was_answered, link.proven, link.used
