"""Rule 4: no overload of machines that started recently."""

from __future__ import annotations

from collections import deque

from sprucepost.rules import trace as t
from sprucepost.rules.checker import Checker, RunHistory
from sprucepost.settings import Cluster


class ColdKept(Checker):
    """Checks that a cold machine gets at most ``cold_bears`` offers in any window of ``fall_ms``.

    A machine is cold for ``warm_after_ms`` after its start. Offers count from placers that have been notified of that
    start.
    """

    rule = "4 no cold machine pushed over"

    def __init__(self, cluster: Cluster, history: RunHistory) -> None:
        super().__init__(cluster, history)
        self._started_at: dict[tuple[str, str], float] = {}  # start time by placer and machine
        self._recent: dict[
            str, deque[tuple[float, float]]
        ] = {}  # by machine: time of each offer, and by how much it may be earlier
        self.max_offers = 0  # the most offers in any window

    def observe(self, event: t.Event) -> None:
        if isinstance(event, (t.MachineListed, t.MachineAttached)):
            if self.history.was_read(event.placer, event.at, event.connection_ended_at):
                self._record_start(event.placer, event.machine, event.started_ms)
        elif isinstance(event, t.OfferSent) and not event.is_repeat:
            self._handle_offer(event)

    def _handle_offer(self, event: t.OfferSent) -> None:
        started = self._started_at.get((event.placer, event.machine), 0.0)
        if not started or not started <= event.at < started + self.cluster.warm_after_ms:
            return
        self.result.checked += 1
        recent = self._recent.setdefault(event.machine, deque())
        recent.append((event.at, event.late_ms))
        while recent[0][0] <= event.at - self.cluster.fall_ms:
            recent.popleft()
        self.max_offers = max(self.max_offers, len(recent))
        if len(recent) > self.cluster.cold_bears:
            text = f"{event.machine} is cold and got {len(recent)} offers within {self.cluster.fall_ms:g} ms"
            certain = [at for at, late in recent if at - late > event.at - self.cluster.fall_ms]
            if len(certain) > self.cluster.cold_bears:
                self.add_violation(event.at, text)
            else:
                self.add_undecided(
                    event.at, text, f"the recording proxy read {max(late for _, late in recent):.0f} ms late"
                )

    def _record_start(self, placer: str, machine: str, started_ms: float) -> None:
        """Record a machine's start; the latest one counts, since a list may be out of date."""
        self._started_at[placer, machine] = max(self._started_at.get((placer, machine), 0.0), started_ms)
