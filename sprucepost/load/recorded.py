"""The submissions of a recorded run, for a replay."""

from __future__ import annotations

from pathlib import Path

from sprucepost.load.arrivals import TaskArrival
from sprucepost.rules import trace as t
from sprucepost.rules.record import CAPTURE, CLUSTER, RecordError
from sprucepost.settings import Cluster, read
from sprucepost.wire.capture import read_capture


def read_recorded_arrivals(folder: Path) -> list[TaskArrival]:
    """Return the first submission of each task in a record, timed from the first one.

    Later submissions of a task are left out: whether to retry is up to the owners of the replay. Owners are numbered in
    the order of their sessions. Raises RecordError or SettingsError where the folder holds no submissions.
    """
    cluster = read(folder / CLUSTER, Cluster)
    aims = {cls.name: cls.aim_ms for cls in cluster.classes}
    try:
        events = list(t.read_events(iter(list(read_capture((folder / CAPTURE).read_bytes())))))
    except OSError as error:
        raise RecordError(f"{folder}: {error.strerror}: {CAPTURE}") from None
    except ValueError as error:
        raise RecordError(f"{folder}: {error}") from None
    arrivals: list[TaskArrival] = []
    owners: dict[bytes, int] = {}
    seen_tasks: set[str] = set()
    start_ms: float | None = None
    for event in events:
        if (
            not isinstance(event, t.TaskSubmitted)
            or event.task_spec is None
            or event.is_repeat
            or event.task in seen_tasks
        ):
            continue
        seen_tasks.add(event.task)
        start_ms = event.at if start_ms is None else start_ms
        task, owner = event.task_spec, owners.setdefault(event.session, len(owners))
        aim = aims.get(task.task_class, event.left_ms)
        arrivals.append(
            TaskArrival(
                event.at - start_ms, task.task_class, owner, task.service, task.cores, task.memory, event.left_ms, aim,
                task.life_ms,
            )
        )  # fmt: skip
    if not arrivals:
        raise RecordError(f"{folder}: the record holds no submissions")
    return arrivals
