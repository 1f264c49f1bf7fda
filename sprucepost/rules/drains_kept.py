"""Rule 3: no offers to machines that drain or are gone."""

from __future__ import annotations

from sprucepost.rules import trace as t
from sprucepost.rules.checker import SLACK_MS, Checker, RunHistory
from sprucepost.settings import Cluster


class DrainsKept(Checker):
    """Checks that no offer goes to a machine later than ``drain_grace_ms`` after notice that it drains or is gone."""

    rule = "3 drains kept"

    def __init__(self, cluster: Cluster, history: RunHistory) -> None:
        super().__init__(cluster, history)
        # By placer and machine: time of the first notice that the placer has read, or may have read.
        self._notified_at: dict[tuple[str, str], float] = {}
        self._maybe_notified_at: dict[tuple[str, str], float] = {}

    def observe(self, event: t.Event) -> None:
        if isinstance(event, t.MachineListed):
            key = (event.placer, event.machine)
            if event.state == 1:
                self._notified_at.pop(key, None)
                self._maybe_notified_at.pop(key, None)
            elif self.history.was_read(event.placer, event.at, event.connection_ended_at):
                self._notified_at.setdefault(key, event.at)
            else:
                self._maybe_notified_at.setdefault(key, event.at)
        elif isinstance(event, t.OfferSent):
            self.result.checked += 1
            self._handle_offer(event)

    def _handle_offer(self, event: t.OfferSent) -> None:
        key = (event.placer, event.machine)
        since = self._notified_at.get(key)
        if since is None:
            maybe_since = self._maybe_notified_at.get(key)
            if maybe_since is not None and event.at > self._due(event.placer, maybe_since):
                self.add_undecided(event.at, self._text(event, maybe_since), "the notice may not have arrived")
        elif event.at > (due := self._due(event.placer, since)):
            self.add_late(event.placer, since, event.at, event.late_ms, due, self._text(event, since))

    def _due(self, placer: str, since: float) -> float:
        return self.history.due_after_pauses(placer, since + self.cluster.drain_grace_ms) + SLACK_MS / 5

    def _text(self, event: t.OfferSent, since: float) -> str:
        after = f"{event.at - since:.0f} ms after notice that it drains or is gone"
        return f"{event.placer} offered {event.name} to {event.machine} {after}"
