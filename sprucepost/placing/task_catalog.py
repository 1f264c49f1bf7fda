"""What a task asks for, checked, and in the module's terms."""

from __future__ import annotations

import math

from sprucepost import interface as i
from sprucepost.placing.ledger import Entry
from sprucepost.settings import Cluster
from sprucepost.v1 import common_pb2

NAME_MOST = 256  # characters


class TaskCatalog:
    """The deployment's classes and tenants, by name."""

    def __init__(self, cluster: Cluster) -> None:
        self.set_worth(cluster)
        self.aim_ms = [cls.aim_ms for cls in cluster.classes]
        self.classes = {cls.name: n for n, cls in enumerate(cluster.classes)}
        self._tenants = {tenant.name: n for n, tenant in enumerate(cluster.tenants)}

    def set_worth(self, cluster: Cluster) -> None:
        """What the classes are worth, from now on."""
        dearest = max(cls.worth for cls in cluster.classes) or 1.0
        self.worth = {cls.name: cls.worth / dearest for cls in cluster.classes}  # relative to the dearest, 0 to 1

    def problem(self, name: str, task: common_pb2.Task) -> str | None:
        """Why this task cannot be taken."""
        if not name or len(name) > NAME_MOST or not task.service or len(task.service) > NAME_MOST:
            return f"task and service need names of 1 to {NAME_MOST} characters"
        if task.task_class not in self.classes:
            return f"class {task.task_class!r} is not known"
        if not (0 <= task.cores < math.inf and 0 <= task.memory < math.inf) or task.cores + task.memory <= 0:
            return "cores and memory must be numbers, not negative, one of them above 0"
        if self._tenants and task.tenant not in self._tenants:
            return f"tenant {task.tenant!r} is not known"
        return None

    def request(self, entry: Entry, left_ms: float, repeat: bool = False) -> i.TaskRequest:
        """The task for the module; ``left_ms`` until its owner gives up."""
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
