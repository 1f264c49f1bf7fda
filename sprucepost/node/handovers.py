"""Hand-overs of tasks that are open or placed here already. No I/O.

The owner of a task knows best which host has it. What it says of a placed task counts at once, or once that host is listed;
what it says of a task whose set-up is still open is kept until the set-up has its outcome.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from sprucepost.node.attempt import Attempt, HandOver, HostsPort, OwnerPort, SetUpResult
from sprucepost.node.parsing import SetUp
from sprucepost.node.placed_tasks import PlacedTasks
from sprucepost.node.releases import CAUSE_REFUSED
from sprucepost.placing.ledger import Entry, Ledger, Outcome


def is_handed_over_at(attempt: Attempt) -> bool:
    """Return whether the owner has handed the task over at the host that has the attempt: it runs there."""
    handover: HandOver | None = attempt.entry.ask.handover
    return handover is not None and handover.setup.current_host == attempt.host


class HandOvers:
    """Handles hand-overs of known tasks; ``admit`` takes one whose task is not known any more."""

    def __init__(
        self,
        ledger: Ledger,
        placed: PlacedTasks,
        counters: Counter[str],
        hosts: Callable[[], HostsPort],
        admit: Callable[[SetUp, OwnerPort], SetUpResult],
        trace: Callable[..., None],
    ) -> None:
        self._ledger, self._placed, self._counters = ledger, placed, counters
        self._hosts, self._admit, self._trace = hosts, admit, trace

    def take(self, entry: Entry, handover: HandOver) -> None:
        """Handle a hand-over of a task that is open or placed."""
        host = handover.setup.current_host
        if entry.outcome is Outcome.OPEN:
            entry.ask.handover = handover  # until the set-up has its outcome
            self._counters["handovers_kept"] += 1
            self._trace(entry.name, "handover_kept", host=host, why="its set-up is open")
            return
        self._placed.change_owner(entry, handover.owner)
        if entry.machine != host:
            self._placed.name_host(entry, host, self._hosts().is_listed(host))

    def take_kept(self, entry: Entry) -> None:
        """Handle the hand-over that was kept while the set-up was open, now that it has its outcome."""
        handover: HandOver | None = entry.ask.handover
        if handover is None:
            return
        entry.ask.handover = None
        if entry.outcome is Outcome.PLACED:
            if self._ledger.current(entry.name) is entry:  # it has not ended in the same turn
                self.take(entry, handover)
        elif not handover.owner.closed and self._admit(handover.setup, handover.owner) is SetUpResult.OVER_SHARE:
            handover.owner.refuse(entry.name, CAUSE_REFUSED, 0.0)

    def ended_by_owner(self, entry: Entry) -> None:
        """Have an open task ended at the host at which its owner has handed it over, where its attempt is not there."""
        handover: HandOver | None = entry.ask.handover
        if handover is None:
            return
        entry.ask.handover = None
        host, attempt = handover.setup.current_host, entry.ask.attempt
        if attempt is None or attempt.host != host:
            self._hosts().end_task(host, entry.name)
