"""The folder that a recorded run leaves, and checking it again.

``scenario.json`` (the day), ``capture.bin`` (bytes at the tap), ``cluster.json`` (the deployment's settings),
``events.jsonl`` (what the run did, with times), ``result.json`` (the figures that were printed).
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
    """What the run did to placers."""
    history = RunHistory()
    stopped: dict[str, float] = {}
    for event in events:
        what, placer = event["what"], event.get("placer", "")
        if what == "placer_killed":
            history.killed.setdefault(placer, []).append(event["at"])
        elif what == "placer_stopped":
            stopped.setdefault(placer, event["at"])  # two stops that overlap end with the first that is lifted
        elif what == "placer_continued" and placer in stopped:
            history.stalled.setdefault(placer, []).append((stopped.pop(placer), event["at"]))
        elif what == "placer_starved":
            history.starved.setdefault(placer, []).append((event["since"], event["at"]))
        elif what == "ended":
            history.ended_at = event["at"]
    return history


def check(folder: Path) -> list[RuleResult]:
    """The results of the five rules on a recorded run, and of the views' where placers kept some.

    RecordError or SettingsError where it cannot be checked.
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
    found = list(read_messages(iter(records)))
    history = build_run_history(events)
    results = check_rules(events_from_messages(found), read(folder / CLUSTER, Cluster), history)
    if any(event["what"] == "peers_quiet" for event in events):
        results += check_views(found, events, _view_lines(folder), history)
    return results


def _view_lines(folder: Path) -> dict[str, list[dict[str, Any]]]:
    """The views that each placer wrote into its log."""
    found: dict[str, list[dict[str, Any]]] = {}
    for path in sorted([*folder.glob("placer-*.log"), *folder.glob("stranger-*.log")]):
        text = path.read_text(errors="replace").splitlines()
        found[path.stem] = [json.loads(line) for line in text if '"event": "view"' in line and line.endswith("}")]
    return found
