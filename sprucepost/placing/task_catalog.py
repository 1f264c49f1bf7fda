"""Validates what a task asks for and converts it to the scheduler's types."""

from __future__ import annotations

import math

from sprucepost import interface as i
from sprucepost.placing.ledger import Entry
from sprucepost.settings import Cluster
from sprucepost.v1 import common_pb2

MAX_NAME_CHARACTERS = 256


class TaskCatalog:
    """The deployment's classes and tenants by name.

    ``worth``: by class, relative to the most valuable one, 0 to 1; ``aim_ms``: by the class's number.
    """

    def __init__(self, cluster: Cluster) -> None:
        self.set_worth(cluster)
        self.aim_ms = [cls.aim_ms for cls in cluster.classes]
        self.classes = {cls.name: n for n, cls in enumerate(cluster.classes)}
        self._tenants = {tenant.name: n for n, tenant in enumerate(cluster.tenants)}

    def set_worth(self, cluster: Cluster) -> None:
        """Set the relative worth of the classes, at the start and on a reload."""
        highest_worth = max(cls.worth for cls in cluster.classes) or 1.0
        self.worth = {cls.name: cls.worth / highest_worth for cls in cluster.classes}

    def problem(self, name: str, task: common_pb2.Task) -> str | None:
        """Why this task is not valid; None if it is."""
        if not name or len(name) > MAX_NAME_CHARACTERS or not task.service or len(task.service) > MAX_NAME_CHARACTERS:
            return f"task and service need names of 1 to {MAX_NAME_CHARACTERS} characters"
        if task.task_class not in self.classes:
            return f"class {task.task_class!r} is not known"
        if not (0 <= task.cores < math.inf and 0 <= task.memory < math.inf) or task.cores + task.memory <= 0:
            return "cores and memory must be numbers, not negative, one of them above 0"
        if self._tenants and task.tenant not in self._tenants:
            return f"tenant {task.tenant!r} is not known"
        return None

    def request(self, entry: Entry, left_ms: float, repeat: bool = False) -> i.TaskRequest:
        """The task as the scheduler's request; ``left_ms``: the time until its owner gives up."""
        task: common_pb2.Task = entry.ask
        return i.TaskRequest(
            request=entry.request,
            task_class=entry.task_class,
            service=task.service,
            cores=task.cores,
            memory=task.memory,
            left=left_ms,
            tenant=self._tenants.get(task.tenant, 0),
            task=entry.name,
            lifetime=task.life_ms or None,
            repeat=repeat,
        )
