"""Which keys may change while placers run, and the errors for those that may not."""

from __future__ import annotations

from typing import Any

import pytest

from sprucepost.settings import Cluster
from sprucepost.settings.cluster import Tenant
from sprucepost.settings.running import ClusterValidator, changeable_keys, flat_cluster, key_refusal
from tests.placer.support import cluster

TENANTS = [Tenant("red", 1.0, 40.0), Tenant("blue", 2.0)]


def deployment(**changes: Any) -> Cluster:
    return cluster(tenants=TENANTS, **changes)


def values(file: Cluster) -> dict[str, Any]:
    keys = changeable_keys(file)
    return {key: value for key, value in flat_cluster(file).items() if key in keys}


def test_values_of_the_file_reproduce_the_file() -> None:
    file = deployment()
    assert ClusterValidator(file).cluster(values(file)) == file


def test_changed_values_replace_those_of_the_file() -> None:
    changed = {"cluster.max_attempts": 7, "cluster.tenants[blue].quota_cores": 12, "cluster.classes[web].worth": 4.5}
    found = ClusterValidator(deployment()).cluster({**values(deployment()), **changed})
    assert found.max_attempts == 7
    assert [tenant.quota_cores for tenant in found.tenants] == [40.0, 12.0]
    assert found.classes[0].worth == 4.5


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("cluster.max_attempts", 0),
        ("cluster.max_attempts", "three"),
        ("cluster.max_attempts", 1.5),
        ("cluster.over_share_worth", -1),
        ("cluster.tenants[red].quota_cores", 0),
        ("cluster.tenants[red].share", None),
        ("cluster.classes[bill].worth", -0.1),
        ("cluster.classes[bill].late_worth", [1]),
    ],
)
def test_invalid_value_is_one_line_that_names_the_key(key: str, value: Any) -> None:
    (problem,) = ClusterValidator(deployment())({**values(deployment()), key: value})
    assert problem.key == key
    assert problem.reason.startswith(f"{key}: ") and "\n" not in problem.reason


def test_tenant_cannot_be_removed_by_removing_its_keys() -> None:
    remaining = {key: value for key, value in values(deployment()).items() if "[red]" not in key}
    (problem,) = ClusterValidator(deployment())(remaining)
    assert problem.reason == "cluster.tenants[red]: can't be removed while placers run"


def test_only_keys_with_a_default_can_be_removed() -> None:
    validator, present = ClusterValidator(deployment()), values(deployment())
    del present["cluster.tenants[red].quota_cores"]
    assert not validator(present)
    del present["cluster.tenants[red].share"]
    del present["cluster.max_attempts"]
    assert validator(present)


def test_fixed_fingerprint_covers_the_keys_that_need_a_restart() -> None:
    fingerprint = ClusterValidator(deployment()).fixed_fingerprint
    assert ClusterValidator(deployment(max_attempts=9)).fixed_fingerprint == fingerprint
    assert ClusterValidator(deployment(fall_ms=2500.0)).fixed_fingerprint != fingerprint
    assert ClusterValidator(cluster(tenants=TENANTS[:1])).fixed_fingerprint != fingerprint


@pytest.mark.parametrize(
    ("key", "expected"),
    [
        ("cluster.max_attempts", ""),
        ("cluster.tenants[red].share", ""),
        ("cluster.fall_ms", "needs a restart"),
        ("cluster.classes[web].aim_ms", "needs a restart"),
        ("cluster.classes[none].worth", "no such key"),
        ("cluster.max_attempt", "no such key"),
        ("placer.instances", "placer's own file"),
    ],
)
def test_refusal_of_a_key_says_why(key: str, expected: str) -> None:
    line = key_refusal(key, deployment())
    assert (line == "") == (expected == "") and expected in line and (line == "" or line.startswith(f"{key}: "))
