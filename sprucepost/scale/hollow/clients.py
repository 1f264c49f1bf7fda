"""Hollow clients: owners of tasks by team, with sessions at every real placer, that submit at the planned rate."""

from __future__ import annotations

from typing import Any

from hdrh.histogram import HdrHistogram

from sprucepost.loop import Loop, Scope
from sprucepost.placer.daemon import parse_address
from sprucepost.scale import deployment
from sprucepost.scale.hollow.settings import ClientsFile
from sprucepost.standin.orders import OrderService
from sprucepost.standin.owners import ClassStatistics, Owners, Service

SERVICES_PER_CLASS = 4
KEEPALIVE_MS = 10_000.0
"""The shortest ping interval that a placer accepts on a session on which it sends nothing (docs/protocol.md)."""
SERVICE_ENTRIES = 10
"""Entries that services are drawn from; each class fills its share of them, which keeps the mix of classes."""


class TeamOwners(Owners):
    """The owners of one team.

    Run times are exponential: the remaining run time of a running task then has the same distribution as a whole one,
    so that the number of running tasks is the same at the start as later.
    """

    def draw_life_ms(self, service: Service) -> float:
        """Draw the run time of a task in ms."""
        return self._rng.expovariate(1.0 / service.life_ms)


class Clients:
    """The clients of all teams in this process."""

    def __init__(self, loop: Loop, scope: Scope, file: ClientsFile) -> None:
        self._loop, self._file = loop, file
        self._rng = loop.rng()
        placers = [parse_address(text) for text in file.placers]
        self._owners: dict[str, TeamOwners] = {}
        for team, share in file.shares.items():
            owners = TeamOwners(
                loop,
                scope,
                file.cluster,
                self._services(team),
                placers,
                file.asks_per_s * share,
                prefix=f"{team}-{loop.token(4).hex()}",
                keepalive_ms=KEEPALIVE_MS,
            )
            owners.rate_factor = 0.0
            scope.spawn(owners.run(), f"asks of {team}")
            self._owners[team] = owners

    @property
    def addresses(self) -> list[str]:
        """Empty: clients do not listen."""
        return []

    def _services(self, team: str) -> list[Service]:
        services = []
        for task_class, share in deployment.CLASS_SHARES.items():
            for number in range(round(SERVICE_ENTRIES * share)):
                name = f"{team}-{task_class}-{number % SERVICES_PER_CLASS}"
                services.append(
                    Service(name, task_class, deployment.TASK_CORES, deployment.TASK_MEMORY, self._file.life_ms, team)
                )
        return services

    # Orders

    def orders(self) -> OrderService:
        """The orders that this process takes.

        ``ask``: start submitting, with a number of tasks at once; ``reset``: restart the counts; ``result``: the
        counts; ``status``: sessions that are up.
        """
        return OrderService({"ask": self._ask, "reset": self._reset, "result": self._result, "status": self._status})

    def _ask(self, running: int) -> dict[str, Any]:
        """Start submitting, with ``running`` tasks at once."""
        teams, shares = list(self._owners.values()), list(self._file.shares.values())
        for owners in teams:
            owners.rate_factor = 1.0
        for _ in range(running):
            owners = self._rng.choices(teams, shares)[0]
            owners.submit_new_task(self._rng.choice(owners.services))
        return {}

    def _reset(self) -> dict[str, Any]:
        for owners in self._owners.values():
            owners.statistics = {name: ClassStatistics() for name in owners.statistics}
        return {}

    def _status(self) -> dict[str, Any]:
        links = [link for owners in self._owners.values() for link in owners.links]
        return {"sessions": len(links), "up": sum(link.up for link in links)}

    def _result(self) -> dict[str, Any]:
        """By class of task: outcomes, and ms from the first submission to running."""
        return {name: self._class_result(name) for name in deployment.CLASS_SHARES}

    def _class_result(self, name: str) -> dict[str, Any]:
        tallies = [owners.statistics[name] for owners in self._owners.values()]
        starts, outcomes = HdrHistogram(1, 600_000, 2), dict[str, int]()
        for tally in tallies:
            starts.add(tally.start_ms)
            for outcome, number in tally.outcomes.items():
                outcomes[outcome] = outcomes.get(outcome, 0) + number
        return {
            "outcomes": dict(sorted(outcomes.items())),
            "started": starts.get_total_count(),
            "start_p99_ms": starts.get_value_at_percentile(99),
            "start_worst_ms": starts.get_max_value(),
        }
