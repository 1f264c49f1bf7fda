"""The state of one host and of one connection to it. No I/O of its own."""

from __future__ import annotations

from collections import deque

from sprucepost.loop import Transport
from sprucepost.node.address_holders import Address, Age
from sprucepost.node.attempt import Attempt
from sprucepost.node.delivery import Deliveries
from sprucepost.node.jsonl import Decoder
from sprucepost.node.process_identity import ProcessConnection

ENDED_SETUPS_MAX = 64  # set-ups; copies of answers come within milliseconds


class HostLink:
    """One connection to a host.

    A message belongs to a set-up by its task's id alone. So a set-up that has ended here without an answer is sent again
    on another connection where one is free: a second copy of that end would be taken for the end of the new attempt. No
    connection is opened for this: by the platform's specification hosts send copies of answers, not of refusals, and most
    second attempts right away go to a host that failed the first one (a handshake for each cost 0.010 of G on zone, two
    seeds, and on join).
    """

    def __init__(self, host: Host, transport: Transport, now: float, number: int, dialled_at: float) -> None:
        self.host, self.transport = host, transport
        self.process = ProcessConnection(now, dialled_at)
        self.process.process.connections = 1
        self.number = number  # counts the connections to this host, from 1
        self.decoder = Decoder()
        self.open: dict[str, Attempt] = {}  # set-ups without an answer, by task id
        self.ended_unanswered: deque[str] = deque(maxlen=ENDED_SETUPS_MAX)  # set-ups that ended here without an answer
        self.withdrawn: set[str] = set()  # set-ups withdrawn here: messages about them are not about a later attempt
        self.last_used = now  # ms of the loop's clock, like all times here
        self.ends: Deliveries[None] = Deliveries(transport)  # of placed tasks, which the host has been told here
        self.check_sent: float | None = None  # when the unanswered health check was sent
        self.checks_sent: deque[float] = deque()  # when those were that have had no answer of their own
        self.retired = False  # whether it takes no more set-ups

    @property
    def usable(self) -> bool:
        """Whether a whole set-up may be written now."""
        return not (self.retired or self.transport.closed or self.transport.blocked or self.decoder.buffered_bytes)


class Host:
    """One host of the list. ``started`` is in Unix ms of the platform, other times are in ms of the loop's clock."""

    def __init__(self, uid: str, address: Address, started: float, age: Age) -> None:
        self.uid, self.address, self.started, self.age = uid, address, started, age
        self.links: list[HostLink] = []
        self.connections_opened = 0  # how many were established so far
        self.waiting: list[Attempt] = []  # offers for which a connection is being opened
        self.dialing = 0  # connections that are being opened
        self.failed_dials = 0  # in a row
        self.dial_failed_locally = False  # whether the last dial failed on this machine, for want of a resource
        self.needs_reconnect = False  # a connection broke while a task of ours ran here, and none was opened since
        self.redial_at = 0.0  # not before
        self.pending_ends: dict[str, float] = {}  # tasks ended by their owners: until when to tell it
        self.gone = False
