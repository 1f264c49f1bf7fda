"""What is known of one host, and of one connection to it. No I/O of its own."""

from __future__ import annotations

from collections import deque

from sprucepost.loop import Timer, Transport
from sprucepost.node.attempt import Attempt
from sprucepost.node.bulletin import Address
from sprucepost.node.jsonl import Decoder

ENDED_REMEMBERED_MAX = 64  # ended set-ups that a connection remembers: copies of answers come within milliseconds


class HostLink:
    """One connection to a host.

    A word is sorted by the id of its task alone. So a set-up that has ended here without an answer is sent again on another
    connection where one is free: a second copy of that end would be taken for the end of the new attempt. None is opened
    for it: hosts send copies of answers, by the platform's word, not of refusals, and most second attempts at once go to
    a host that failed the first (a handshake each cost 0.010 of G on zone, two seeds, and on join).
    """

    def __init__(self, transport: Transport, now: float, number: int) -> None:
        self.transport = transport
        self.number = number  # of this host's connections, the first is 1
        self.decoder = Decoder()
        self.open: dict[str, Attempt] = {}
        self.ended_unanswered: deque[str] = deque(
            maxlen=ENDED_REMEMBERED_MAX
        )  # set-ups that ended here without an answer
        self.withdrawn: set[str] = set()  # set-ups that were taken back here: what comes of them is of no later attempt
        self.last_used = now
        self.check_sent: float | None = None  # since when a health check has had no answer
        self.retired = False

    @property
    def usable(self) -> bool:
        """Whether a set-up may be written now, whole."""
        return not (self.retired or self.transport.closed or self.transport.blocked or self.decoder.buffered_bytes)


class Host:
    """One host of the list."""

    def __init__(self, uid: str, address: Address, started: float) -> None:
        self.uid, self.address, self.started = uid, address, started
        self.links: list[HostLink] = []
        self.connections_opened = 0  # connections to it that came up
        self.waiting: list[Attempt] = []  # offers for which a connection is being opened
        self.dialing = 0
        self.failed_dials = 0
        self.dial_never_left = False  # whether the last dial never left, for want of something of ours
        self.needs_reconnect = False  # whether a connection broke, with a task of ours here, and none was opened since
        self.redial_at = 0.0
        self.last_heard = 0.0  # when it last said something; 0 while no task of ours stands there
        self.silence_timer: Timer | None = None  # when its silence will have lasted too long
        self.pending_releases: dict[str, float] = {}  # tasks that it is to end, and until when that is worth saying
        self.gone = False
