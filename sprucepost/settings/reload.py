"""Which settings a reload may change. A new file is either applied completely or rejected completely."""

from __future__ import annotations

from typing import Any

import msgspec

from sprucepost.settings.placer import PlacerFile

RELOADABLE_KEYS = (
    "placer.instances",
    "placer.generation",
    "placer.log",
    "placer.limits.open_tasks",
    "placer.stop_ms",
)


def changed_keys(old: PlacerFile, new: PlacerFile) -> list[tuple[str, Any, Any]]:
    """Return the path, the old and the new value of each key whose value differs."""
    found: list[tuple[str, Any, Any]] = []

    def compare(path: str, before: Any, after: Any) -> None:
        if isinstance(before, dict) and isinstance(after, dict):
            for key in sorted(before.keys() | after.keys()):
                compare(f"{path}.{key}" if path else key, before.get(key), after.get(key))
        elif before != after:
            found.append((path, before, after))

    compare("", msgspec.to_builtins(old), msgspec.to_builtins(new))
    return found


def restart_required(changed: list[tuple[str, Any, Any]]) -> list[str]:
    """Return one line for each change that takes effect only by a restart."""
    return [
        f"{path}: cannot change while running (from {before!r} to {after!r})"
        for path, before, after in changed
        if not any(path == key or path.startswith(f"{key}.") for key in RELOADABLE_KEYS)
    ]
