"""Settings files: each error is reported with the path of its key."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import msgspec
import pytest

from sprucepost.settings import PlacerFile, SettingsError, read, schema
from sprucepost.settings.reading import decode
from tests.placer.support import cluster

ROOT = Path(__file__).parent.parent


def valid_document() -> dict[str, Any]:
    """Return a placer's settings file as a parsed document."""
    raw = msgspec.to_builtins(cluster())
    placer = {"number": 0, "instances": 2, "zone": "room-a", "list": "127.0.0.1:7000"}
    return {"cluster": raw, "placer": placer}


def error_lines(raw: Any) -> list[str]:
    with pytest.raises(SettingsError) as error:
        decode(json.dumps(raw).encode(), PlacerFile, "f")
    return error.value.lines


def test_valid_file_is_read() -> None:
    file = decode(json.dumps(valid_document()).encode(), PlacerFile)
    settings = file.cluster.to_interface(0, 2, "room-a", 50.0)
    assert settings.classes[1].window == 2500.0 and settings.tick == 50.0


def test_all_unknown_keys_are_reported_and_a_wrong_unit_gets_a_suggestion() -> None:
    raw = valid_document()
    raw["cluster"]["classes"][1]["aim"] = raw["cluster"]["classes"][1].pop("aim_ms")
    raw["placer"]["resume_s"] = 3
    raw["extra"] = 1
    assert error_lines(raw) == [
        "f: cluster.classes[1].aim: unknown key; did you mean aim_ms?",
        "f: placer.resume_s: unknown key; did you mean resume_ms?",
        "f: extra: unknown key",
    ]


@pytest.mark.parametrize(
    "path, value, line",
    [
        ("cluster.kinds.0.cores", "many", "cluster.kinds[0].cores: expected float, got str"),
        ("cluster.kinds.0.cores", -1, "cluster.kinds[0].cores: expected float > 0.0"),
        ("cluster.classes.0.effect", "mostly", "cluster.classes[0].effect: invalid enum value 'mostly'"),
        ("cluster.classes.1.window_ms", 0, "cluster.classes[1].window_ms: must be above 0 for a keyed class"),
        ("cluster.classes.0.aim_ms", 9000, "cluster.classes[0].aim_ms: must not be above deadline_ms"),
        ("cluster.classes.0.kind", "big", "cluster.classes[0].kind: no machine kind is named 'big'"),
        ("cluster.classes.0.spread", "zone", "cluster.classes[0].most: must be at least 1 where spread is 'zone'"),
        ("cluster.zones", ["a", "a"], "cluster.zones: 'a' appears twice"),
        ("placer.zone", "nowhere", "placer.zone: 'nowhere' is none of cluster.zones"),
        ("placer.number", 2, "placer.number: must be below placer.instances"),
        ("placer.list", "127.0.0.1:99999", "placer.list: not an address"),
        ("placer.answer_margin_ms", 1600, "placer.answer_margin_ms: more than half of cluster.classes[0].deadline_ms"),
    ],
)
def test_each_error_is_one_line_with_its_path(path: str, value: Any, line: str) -> None:
    raw = valid_document()
    parent = raw
    *parents, last = path.split(".")
    for key in parents:
        parent = parent[int(key)] if isinstance(parent, list) else parent[key]
    parent[last] = value
    found = error_lines(raw)
    assert any(text == f"f: {line}" for text in found), found


def test_missing_files_and_malformed_json_are_reported(tmp_path: Path) -> None:
    with pytest.raises(SettingsError, match=r"none\.json: No such file"):
        read(tmp_path / "none.json", PlacerFile)
    (tmp_path / "cut.json").write_text('{"cluster": {')
    with pytest.raises(SettingsError, match=r"cut\.json: not JSON"):
        read(tmp_path / "cut.json", PlacerFile)
    assert error_lines({}) == ["f: file: object missing required field cluster"]


def test_published_schema_is_up_to_date() -> None:
    assert (ROOT / "docs" / "settings.schema.json").read_text() == schema(PlacerFile)
