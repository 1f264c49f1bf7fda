"""The state of one host and of one connection to it. No I/O of its own."""

from __future__ import annotations

import math
from collections import deque

from sprucepost.loop import Transport
from sprucepost.node.address_holders import Address, Age
from sprucepost.node.attempt import Attempt
from sprucepost.node.delivery import Deliveries
from sprucepost.node.jsonl import Decoder
from sprucepost.node.process_identity import ProcessConnection

LIST_LATE_MS = 8000.0  # a list that has not told by then of another host at an address has none to tell of
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
        self.process.process.is_listed_host = not host.is_doubted(now)
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

    def leads_to_listed_host(self, now: float) -> bool:
        """Whether nothing speaks against it that the host which the list has at the address is the one at its other end."""
        return self.process.process.is_listed_host or not self.host.is_doubted(now)


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
        # When something last spoke for it that its process has gone. Another host may have had the address since, and the
        # list tells of that later: connections that come up meanwhile may lead to it.
        self.doubted_at = -math.inf
        self.doubts_process_at = -math.inf  # when that process had the address: its connection came up, or a dial began

    def is_doubted(self, now: float) -> bool:
        """Whether a connection that comes up now may lead to another host, of which the list has not told yet."""
        return now - self.doubted_at <= LIST_LATE_MS

    def doubt(self, now: float, process_at: float, open_until: float) -> None:
        """Take in that the process may have gone that had the address at that time, since ``open_until`` at the earliest.

        Its end may be read late: connections that have come up meanwhile may lead to another host too.
        """
        self.doubted_at, self.doubts_process_at = now, max(self.doubts_process_at, process_at)
        for link in self.links:
            if link.process.came_up_at > open_until:
                link.process.process.is_listed_host = False

    def inherit_doubt(self, other: Host) -> None:
        """Take over what speaks against the host before it at the same address."""
        self.doubted_at = max(self.doubted_at, other.doubted_at)
        self.doubts_process_at = max(self.doubts_process_at, other.doubts_process_at)

    def confirm(self, started_at: float | None) -> None:
        """Take in that by the list its process has started at that time, in ms of the loop's clock; None: not told when.

        Its connections came up after that, and what spoke against a process before it no longer counts.
        """
        if started_at is None or started_at < self.doubts_process_at:
            return
        self.doubted_at = -math.inf
        for link in self.links:
            link.process.process.is_listed_host = True
