"""Which deployment-wide keys may change while placers run, and the validation of a complete configuration of them.

A key may be listed here only if every use reads it again at each decision. Tenants and classes are defined by the
settings file: they are neither added nor removed while placers run.
"""

from __future__ import annotations

import json
import re
from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

from msgspec import to_builtins

from sprucepost.configuration import ChangeableKeys, Problem, ProblemKind
from sprucepost.configuration.document import Settings, Value, expand, flatten
from sprucepost.settings.cluster import Cluster
from sprucepost.settings.reading import SettingsError, convert

ROOT = "cluster"
SINGLE_KEYS = ("max_attempts", "max_retry_after_ms", "over_share_worth")
TENANT_KEYS = ("quota_cores", "share")
CLASS_KEYS = ("late_worth", "worth")


@dataclass(frozen=True)
class ExactKeys(ChangeableKeys):
    """Changeable keys without nested keys: a set lookup, whose cost does not grow with the number of tenants."""

    keys: frozenset[str]

    def __contains__(self, key: object) -> bool:
        return key in self.keys


def flat_cluster(cluster: Cluster) -> dict[str, Value]:
    """Return the deployment's settings by key path, including defaults."""
    return flatten(to_builtins(cluster), ROOT)


def changeable_keys(cluster: Cluster) -> ChangeableKeys:
    """Return the keys that may change while placers of this deployment run."""
    keys = [f"{ROOT}.{key}" for key in SINGLE_KEYS]
    keys += [f"{ROOT}.tenants[{tenant.name}].{key}" for tenant in cluster.tenants for key in TENANT_KEYS]
    keys += [f"{ROOT}.classes[{cls.name}].{key}" for cls in cluster.classes for key in CLASS_KEYS]
    return ExactKeys(tuple(keys), frozenset(keys))


def settings_fingerprint(settings: Any) -> str:
    """Return a digest of the settings that is equal for equal settings."""
    return blake2b(json.dumps(to_builtins(settings), sort_keys=True).encode(), digest_size=8).hexdigest()


def key_refusal(key: str, cluster: Cluster) -> str:
    """Return why the key may not be changed, in one line; empty where it may."""
    if key in changeable_keys(cluster):
        return ""
    if key in flat_cluster(cluster):
        return f"{key}: can't change while placers run; it needs a restart with another file"
    if key.startswith(f"{ROOT}."):
        return f"{key}: no such key in this deployment"
    return f"{key}: not a deployment-wide key; it belongs to each placer's own file"


class ClusterValidator:
    """Validates configurations: values of the changeable keys, combined with the fixed values of the settings file."""

    def __init__(self, cluster: Cluster) -> None:
        changeable = changeable_keys(cluster)
        self._fixed = {key: value for key, value in flat_cluster(cluster).items() if key not in changeable}
        self._names = _element_names(cluster)

    @property
    def fixed_fingerprint(self) -> str:
        """A digest that is equal for files that differ only in changeable keys."""
        return settings_fingerprint(self._fixed)

    def __call__(self, settings: Settings) -> Sequence[Problem]:
        try:
            self.cluster(settings)
        except SettingsError as error:
            return [Problem(ProblemKind.INVALID, line.partition(":")[0], line) for line in error.lines]
        return []

    def cluster(self, settings: Settings) -> Cluster:
        """Return the deployment's settings with these values.

        Raises SettingsError for invalid values and DocumentError for keys that contradict each other.
        """
        raw = expand({**self._fixed, **settings}).get(ROOT, {})
        try:
            found = convert(raw, Cluster)
        except SettingsError as error:
            raise SettingsError([f"{ROOT}.{_with_element_name(line, raw)}" for line in error.lines]) from None
        present = set(_element_names(found))
        removed = next((name for name in self._names if name not in present), None)
        if removed is not None:
            raise SettingsError([f"{ROOT}.{removed}: can't be removed while placers run"])
        return found


def _element_names(cluster: Cluster) -> list[str]:
    """The key paths of all tenants and classes."""
    return [f"tenants[{tenant.name}]" for tenant in cluster.tenants] + [
        f"classes[{cls.name}]" for cls in cluster.classes
    ]


def _with_element_name(line: str, raw: dict[str, Any]) -> str:
    """Replace the index of a list element in the key's path by the element's name."""
    path, colon, text = line.partition(":")

    def name(found: re.Match[str]) -> str:
        try:
            return f"{found[1]}[{raw[found[1]][int(found[2])]['name']}]"
        except (KeyError, IndexError, TypeError):
            return found[0]

    return re.sub(r"^(\w+)\[(\d+)\]", name, path) + colon + text
