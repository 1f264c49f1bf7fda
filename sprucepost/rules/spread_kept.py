"""Rule 5: the spread of a service over machines, cells and zones."""

from __future__ import annotations

import math

from sprucepost.rules import trace as t
from sprucepost.rules.checker import SLACK_MS, Checker, MachineLocations, RunHistory
from sprucepost.settings import Cluster


class SpreadKept(Checker):
    """Checks that a placer puts at most ``most`` tasks of a service on one machine, or in one cell or zone.

    The level is the class's ``spread``. An offer counts until its time-out, and an accepted one until its task ends.
    """

    rule = "5 spread kept"

    def __init__(self, cluster: Cluster, history: RunHistory) -> None:
        super().__init__(cluster, history)
        self._locations = MachineLocations()
        # By placer number and incarnation, the attempts that count: machine, service, and until when.
        self._counted: dict[tuple[int, int], dict[t.Key, tuple[str, str, float]]] = {}
        self._services: dict[str, tuple[str, str]] = {}  # by task: service and class
        self._incarnations: dict[tuple[str, str], int] = {}
        self._task_names: dict[t.Key, str] = {}  # by attempt: its task
        self._attempts_without_outcome: dict[
            tuple[int, str], list[t.Key]
        ] = {}  # by incarnation and task: attempts without an outcome yet

    def observe(self, event: t.Event) -> None:
        match event:
            case t.MachineAttached():
                self._handle_attached(event)
            case t.MachineListed(state=0):
                for held in self._counted.values():
                    self._drop_machine(held, event.machine)
            case t.MachineListed():
                self._locations.record(event)
            case t.OfferSent(is_repeat=False):
                self._services[event.name] = event.task.service, event.task.task_class
                self._task_names[event.key] = event.name
                self._attempts_without_outcome.setdefault((event.key[1], event.name), []).append(event.key)
                self._handle_offer(event)
            case t.OutcomeSent(kind="bound" | "refused" | "failed"):
                self._handle_outcome(event)
            case t.TaskAdopted():
                self._handle_adopted(event)
            case t.AttemptWithdrawn():
                # An acceptance that comes close to the time-out may be too late for the placer. Its withdrawal settles
                # that: without it, both this attempt and the next one would count.
                self._counted.get(event.key[:2], {}).pop(event.key, None)
            case t.AttemptReported():
                self._handle_report(event)

    def _handle_attached(self, event: t.MachineAttached) -> None:
        before = self._incarnations.get((event.placer, event.machine))
        self._incarnations[event.placer, event.machine] = event.machine_incarnation
        for (_, incarnation), counted in self._counted.items():
            if incarnation != event.incarnation:
                continue
            if before not in (None, event.machine_incarnation):
                # The machine restarted and lost its tasks; its placer knows so before the list says it.
                self._drop_machine(counted, event.machine)
            elif event.held is not None:
                self._drop_ended(counted, event.machine, event.held)

    def _handle_outcome(self, event: t.OutcomeSent) -> None:
        keys = self._attempts_without_outcome.pop((event.incarnation, event.task), ())
        # The placer gave the task up. An acceptance that the recording proxy saw before had not been read by then, or
        # the task would be bound. The task counts again once the placer adopts it, after an owner has claimed it.
        for key in keys if event.kind != "bound" else ():
            self._counted.get(key[:2], {}).pop(key, None)

    def _handle_adopted(self, event: t.TaskAdopted) -> None:
        known = self._services.get(event.name)
        held = self._counted.setdefault(event.key[:2], {})
        # The adoption replaces the attempt by which the machine got the task: where the acceptance came close to the
        # time-out, both would count.
        for key in [key for key in held if self._task_names.get(key) == event.name]:
            del held[key]
        if known is not None:
            held[event.key] = event.machine, known[0], float("inf")
            self._task_names[event.key] = event.name

    def _handle_report(self, event: t.AttemptReported) -> None:
        held = self._counted.get(event.key[:2], {})
        if event.kind in ("refused", "ended"):
            held.pop(event.key, None)
        elif event.key in held:
            machine, service, until = held[event.key]
            if event.at <= until + SLACK_MS:  # later reports belong to an attempt that was given up
                held[event.key] = machine, service, float("inf")

    def _handle_offer(self, event: t.OfferSent) -> None:
        held = self._counted.setdefault(event.key[:2], {})
        # One attempt of a request counts: a placer that makes the next one has given up the one before. An acceptance
        # that the recording proxy saw a millisecond earlier, unread by the placer, would count as another task of the
        # service.
        for key in [key for key in held if key[2] == event.key[2] and key[3] < event.key[3]]:
            del held[key]
        cls = self.classes.get(event.task.task_class)
        if cls is not None and cls.spread != "none":
            self.result.checked += 1
            count = 1 + sum(
                service == event.task.service and until > event.at and self._share_location(event, machine, cls.spread)
                for machine, service, until in held.values()
            )
            if count > cls.most:
                self.add_violation(
                    event.at,
                    f"{event.placer} has {count} tasks of {event.task.service} in one {cls.spread} "
                    f"({event.machine}), {cls.most} allowed",
                )
        # Open until its time-out at the latest; the placer's timer started a little earlier.
        held[event.key] = event.machine, event.task.service, event.at - event.late_ms + event.wait_ms - SLACK_MS

    @staticmethod
    def _drop_ended(counted: dict[t.Key, tuple[str, str, float]], machine: str, held: frozenset[t.Key]) -> None:
        """Drop the accepted attempts that a machine no longer has: their ends were lost with the session before.

        An offer that waits for its answer may have reached the machine later than the attach, and counts on.
        """
        for key, (holder, _, until) in list(counted.items()):
            if holder == machine and until == math.inf and key not in held:
                del counted[key]

    @staticmethod
    def _drop_machine(held: dict[t.Key, tuple[str, str, float]], machine: str) -> None:
        for key in [key for key, entry in held.items() if entry[0] == machine]:
            del held[key]

    def _share_location(self, event: t.OfferSent, machine: str, spread: str) -> bool:
        if machine == event.machine:
            return True
        return spread != "machine" and bool(
            self._locations.share_location(event.placer, event.machine, machine, spread)
        )
