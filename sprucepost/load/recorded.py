"""The asks of a recorded day, to be played again."""

from __future__ import annotations

from pathlib import Path

from sprucepost.load.arrivals import TaskArrival
from sprucepost.rules import trace as t
from sprucepost.rules.record import CAPTURE, CLUSTER, RecordError
from sprucepost.settings import Cluster, read
from sprucepost.wire.capture import read_capture


def read_recorded_arrivals(folder: Path) -> list[TaskArrival]:
    """Every first ask in the record, from the first one on. RecordError or SettingsError where there is none.

    What owners asked again is left out: whether to ask again is for the owners of the replay. Owners are numbered in the
    order of their sessions.
    """
    cluster = read(folder / CLUSTER, Cluster)
    aims = {cls.name: cls.aim_ms for cls in cluster.classes}
    try:
        events = list(t.read_events(iter(list(read_capture((folder / CAPTURE).read_bytes())))))
    except OSError as error:
        raise RecordError(f"{folder}: {error.strerror}: {CAPTURE}") from None
    except ValueError as error:
        raise RecordError(f"{folder}: {error}") from None
    found: list[TaskArrival] = []
    owners: dict[bytes, int] = {}
    seen: set[str] = set()
    began: float | None = None
    for event in events:
        if not isinstance(event, t.TaskSubmitted) or event.task_spec is None or event.is_repeat or event.task in seen:
            continue
        seen.add(event.task)
        began = event.at if began is None else began
        task, owner = event.task_spec, owners.setdefault(event.session, len(owners))
        aim = aims.get(task.task_class, event.left_ms)
        found.append(
            TaskArrival(
                event.at - began, task.task_class, owner, task.service, task.cores, task.memory, event.left_ms, aim,
                task.life_ms,
            )
        )  # fmt: skip
    if not found:
        raise RecordError(f"{folder}: no asks in it")
    return found
