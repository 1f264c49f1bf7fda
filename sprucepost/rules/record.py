"""Reads the folder that a recorded run leaves, and checks the run again.

``scenario.json`` is the scenario, ``capture.bin`` the bytes that the recording proxy saw, ``cluster.json`` the
deployment's settings, ``events.jsonl`` what the run did and when, and ``result.json`` the figures that were printed.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from sprucepost.rules.checker import RuleResult, RunHistory
from sprucepost.rules.checks import check_rules
from sprucepost.rules.streams import read_messages
from sprucepost.rules.trace import events_from_messages
from sprucepost.rules.views import check_views
from sprucepost.settings import Cluster, read
from sprucepost.wire.capture import read_capture

CAPTURE, CLUSTER, EVENTS, RESULT = "capture.bin", "cluster.json", "events.jsonl", "result.json"
SCENARIO = "scenario.json"


class RecordError(Exception):
    """The folder holds no record that can be checked."""


def build_run_history(events: list[dict[str, Any]]) -> RunHistory:
    """Return what the run did to placers, from the lines of ``events.jsonl``."""
    history = RunHistory()
    stopped_at: dict[str, float] = {}
    for event in events:
        what, placer = event["what"], event.get("placer", "")
        if what == "placer_killed":
            history.killed.setdefault(placer, []).append(event["at"])
        elif what == "placer_stopped":
            stopped_at.setdefault(placer, event["at"])  # of stops that overlap, the first continuation ends all
        elif what == "placer_continued" and placer in stopped_at:
            history.stalled.setdefault(placer, []).append((stopped_at.pop(placer), event["at"]))
        elif what == "placer_starved":
            history.starved.setdefault(placer, []).append((event["since"], event["at"]))
        elif what == "ended":
            history.ended_at = event["at"]
    return history


def check(folder: Path) -> list[RuleResult]:
    """Return the results of the five rules on a recorded run, and of the checks of views where placers kept views.

    Raises RecordError or SettingsError where the folder can't be checked.
    """
    try:
        capture = (folder / CAPTURE).read_bytes()
        lines = (folder / EVENTS).read_text().splitlines()
    except OSError as error:
        raise RecordError(f"{folder}: {error.strerror}: {Path(error.filename).name}") from None
    try:
        events = [json.loads(line) for line in lines if line.strip()]
        records = list(read_capture(capture))
    except ValueError as error:
        raise RecordError(f"{folder}: {error}") from None
    captured = list(read_messages(iter(records)))
    history = build_run_history(events)
    results = check_rules(events_from_messages(captured), read(folder / CLUSTER, Cluster), history)
    if any(event["what"] == "peers_quiet" for event in events):
        results += check_views(captured, events, _view_lines(folder), history)
    return results


def _view_lines(folder: Path) -> dict[str, list[dict[str, Any]]]:
    """Return the ``view`` lines of each placer's log, by placer, oldest first."""
    lines: dict[str, list[dict[str, Any]]] = {}
    for path in sorted([*folder.glob("placer-*.log"), *folder.glob("stranger-*.log")]):
        text = path.read_text(errors="replace").splitlines()
        lines[path.stem] = [json.loads(line) for line in text if '"event": "view"' in line and line.endswith("}")]
    return lines
