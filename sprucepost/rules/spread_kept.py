"""Rule 5: spread kept."""

from __future__ import annotations

from sprucepost.rules import trace as t
from sprucepost.rules.checker import SLACK_MS, Checker, MachineLocations, RunHistory
from sprucepost.settings import Cluster


class SpreadKept(Checker):
    """Rule 5: of a service, no more tasks of one placer in one place than its class says."""

    rule = "5 spread kept"

    def __init__(self, cluster: Cluster, history: RunHistory) -> None:
        super().__init__(cluster, history)
        self._locations = MachineLocations()
        self._held: dict[tuple[int, int], dict[t.Key, tuple[str, str, float]]] = {}  # machine, service, out until
        self._services: dict[str, tuple[str, str]] = {}  # by task: service and class
        self._incarnations: dict[tuple[str, str], int] = {}
        self._names: dict[t.Key, str] = {}
        self._open: dict[tuple[int, str], list[t.Key]] = {}  # by incarnation and task: attempts without an outcome yet

    def observe(self, event: t.Event) -> None:
        match event:
            case t.MachineAttached():
                self._handle_attached(event)
            case t.MachineListed(state=0):
                for held in self._held.values():
                    self._drop(held, event.machine)
            case t.MachineListed():
                self._locations.record(event)
            case t.OfferSent(is_repeat=False):
                self._services[event.name] = event.task.service, event.task.task_class
                self._names[event.key] = event.name
                self._open.setdefault((event.key[1], event.name), []).append(event.key)
                self._handle_offer(event)
            case t.OutcomeSent(kind="bound" | "refused" | "failed"):
                self._handle_outcome(event)
            case t.TaskAdopted():
                self._handle_adopted(event)
            case t.AttemptWithdrawn():
                # A report about the time-out is heard or given up: without the placer's own word both were counted.
                self._held.get(event.key[:2], {}).pop(event.key, None)
            case t.AttemptReported():
                self._handle_report(event)

    def _handle_attached(self, event: t.MachineAttached) -> None:
        before = self._incarnations.get((event.placer, event.machine))
        self._incarnations[event.placer, event.machine] = event.machine_incarnation
        # All that it held is lost, and its placer knows before any list tells.
        if before not in (None, event.machine_incarnation):
            for number, incarnation in self._held:
                if incarnation == event.incarnation:
                    self._drop(self._held[number, incarnation], event.machine)

    def _handle_outcome(self, event: t.OutcomeSent) -> None:
        keys = self._open.pop((event.incarnation, event.task), ())
        # Given up: an acceptance that the tap saw before that was not read by then, else the task were bound. It counts
        # from its adoption, if a client claims it.
        for key in keys if event.kind != "bound" else ():
            self._held.get(key[:2], {}).pop(key, None)

    def _handle_adopted(self, event: t.TaskAdopted) -> None:
        named = self._services.get(event.name)
        held = self._held.setdefault(event.key[:2], {})
        # It takes the place of the attempt by which the machine came to hold the task: with an acceptance about the
        # time-out both were counted.
        for key in [key for key in held if self._names.get(key) == event.name]:
            del held[key]
        if named is not None:
            held[event.key] = event.machine, named[0], float("inf")
            self._names[event.key] = event.name

    def _handle_report(self, event: t.AttemptReported) -> None:
        held = self._held.get(event.key[:2], {})
        if event.kind in ("refused", "ended"):
            held.pop(event.key, None)
        elif event.key in held:
            machine, service, until = held[event.key]
            if event.at <= until + SLACK_MS:  # later reports are of an attempt that was given up
                held[event.key] = machine, service, float("inf")

    def _handle_offer(self, event: t.OfferSent) -> None:
        held = self._held.setdefault(event.key[:2], {})
        # Of a request one attempt counts: whoever offers the next has given the one before up. An acceptance that the tap
        # saw in the millisecond before, and the placer had not read, counted as another task of the service.
        for key in [key for key in held if key[2] == event.key[2] and key[3] < event.key[3]]:
            del held[key]
        cls = self.classes.get(event.task.task_class)
        if cls is not None and cls.spread != "none":
            self.result.checked += 1
            count = 1 + sum(
                service == event.task.service and until > event.at and self._share_place(event, machine, cls.spread)
                for machine, service, until in held.values()
            )
            if count > cls.most:
                self.add_violation(
                    event.at,
                    f"{event.placer} has {count} tasks of {event.task.service} in one {cls.spread} "
                    f"({event.machine}), {cls.most} allowed",
                )
        # Out until its time-out at the latest; the placer's own clock ran from a moment before.
        held[event.key] = event.machine, event.task.service, event.at - event.late_ms + event.wait_ms - SLACK_MS

    @staticmethod
    def _drop(held: dict[t.Key, tuple[str, str, float]], machine: str) -> None:
        for key in [key for key, entry in held.items() if entry[0] == machine]:
            del held[key]

    def _share_place(self, event: t.OfferSent, machine: str, spread: str) -> bool:
        if machine == event.machine:
            return True
        return spread != "machine" and bool(self._locations.share(event.placer, event.machine, machine, spread))
