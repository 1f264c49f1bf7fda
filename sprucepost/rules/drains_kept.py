"""Rule 3: drains kept."""

from __future__ import annotations

from sprucepost.rules import trace as t
from sprucepost.rules.checker import SLACK_MS, Checker, RunHistory
from sprucepost.settings import Cluster


class DrainsKept(Checker):
    """Rule 3: nothing new to a machine later than the grace after word that it drains or is gone."""

    rule = "3 drains kept"

    def __init__(self, cluster: Cluster, history: RunHistory) -> None:
        super().__init__(cluster, history)
        self._since: dict[tuple[str, str], float] = {}  # word that the placer has read
        self._maybe_since: dict[tuple[str, str], float] = {}  # word that it may have read

    def observe(self, event: t.Event) -> None:
        if isinstance(event, t.MachineListed):
            key = (event.placer, event.machine)
            if event.state == 1:
                self._since.pop(key, None)
                self._maybe_since.pop(key, None)
            elif self.history.was_read(event.placer, event.at, event.connection_ended_at):
                self._since.setdefault(key, event.at)
            else:
                self._maybe_since.setdefault(key, event.at)
        elif isinstance(event, t.OfferSent):
            self.result.checked += 1
            self._handle_offer(event)

    def _handle_offer(self, event: t.OfferSent) -> None:
        key = (event.placer, event.machine)
        since = self._since.get(key)
        if since is None:
            maybe_since = self._maybe_since.get(key)
            if maybe_since is not None and event.at > self._due(event.placer, maybe_since):
                self.add_undecided(event.at, self._text(event, maybe_since), "the word may not have arrived")
        elif event.at > (due := self._due(event.placer, since)):
            self.add_late(event.placer, since, event.at, event.late_ms, due, self._text(event, since))

    def _due(self, placer: str, since: float) -> float:
        return self.history.due_after_pauses(placer, since + self.cluster.drain_grace_ms) + SLACK_MS / 5

    def _text(self, event: t.OfferSent, since: float) -> str:
        after = f"{event.at - since:.0f} ms after word that it drains or is gone"
        return f"{event.placer} offers {event.name} to {event.machine} {after}"
