"""Changes of the deployment's configuration in a harness engine: they take effect from the next decision on."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import msgspec

from sprucepost.configuration import KeyEdit, Proposal
from sprucepost.loop.epoll import EpollLoop
from sprucepost.membership import Generation
from sprucepost.placer.configuration import ConfigurationCallbacks, PlacerConfiguration
from sprucepost.placer.engine import Engine
from sprucepost.settings import Cluster, ConfigurationOptions, PlacerOptions
from sprucepost.settings.cluster import Tenant
from tests.placer.support import cluster

OPTIONS = PlacerOptions(instances=3, zone="room-a", list="127.0.0.1:1", number=1)
FILE_CLUSTER = cluster(tenants=[Tenant("red", 1.0, 40.0)])


class ConfiguredEngine:
    """An engine with a configuration, without streams."""

    def __init__(self) -> None:
        self.loop = EpollLoop(1)
        generation = Generation(0, 3, None, 0.0, 0.0, False, False)
        self.engine = Engine(self.loop, FILE_CLUSTER, OPTIONS, lambda: None, lambda *_, **__: None, generation)
        self.logged: list[tuple[str, dict[str, Any]]] = []
        host = ConfigurationCallbacks(self.engine.set_cluster, self._log, self._log)
        self.configuration = PlacerConfiguration(self.loop, FILE_CLUSTER, ConfigurationOptions(), "p1/life", host)

    def _log(self, event: str, **more: Any) -> None:
        self.logged.append((event, more))

    def change(self, **edits: Any) -> str:
        """Propose new values of keys under ``cluster``; return the refusal."""
        keys = tuple(KeyEdit(f"cluster.{key}", value) for key, value in edits.items())
        return self.configuration.propose(Proposal(keys, "ann")).refusal


def test_a_change_reaches_every_reader_of_its_keys() -> None:
    harness = ConfiguredEngine()
    before = harness.engine.driver.scheduler.settings
    keys = {
        "max_attempts": 8, "over_share_worth": 0.25, "max_retry_after_ms": 5000, "tenants[red].quota_cores": 7,
        "tenants[red].share": 3, "classes[web].worth": 18, "classes[web].late_worth": 1,
    }  # fmt: skip
    assert harness.change(**keys) == ""
    after = harness.engine.driver.scheduler.settings
    assert (after.max_attempts, after.over_share_worth, after.max_retry_after) == (8, 0.25, 5000)
    assert (after.tenants[0].quota_cores, after.tenants[0].share) == (7, 3)
    assert (after.classes[0].worth, after.classes[0].late_worth) == (18, 1)
    assert harness.engine.task_catalog.worth == {"web": 1.0, "bill": 0.5, "once": 5 / 18}
    assert harness.engine.admission.max_retry_ms == 5000
    changed = ("classes", "tenants", "max_attempts", "over_share_worth", "max_retry_after")
    assert replace(after, **{name: getattr(before, name) for name in changed}) == before
    (event, line), *more = harness.logged
    assert not more and event == "configuration" and line["number"] == 2
    assert line["keys"] == sorted(f"cluster.{key}" for key in keys)


def test_an_invalid_change_changes_nothing_and_names_the_key() -> None:
    harness = ConfiguredEngine()
    before = harness.engine.driver.scheduler.settings
    refusal = harness.change(max_attempts=0, over_share_worth=0.5)
    assert refusal.startswith("cluster.max_attempts: ")
    assert harness.change(fall_ms=1).startswith("cluster.fall_ms: ")
    assert harness.engine.driver.scheduler.settings is before
    assert not harness.logged and not harness.configuration.agreed


def test_a_reloaded_file_that_differs_only_in_agreed_keys_has_no_effect() -> None:
    harness = ConfiguredEngine()
    other: Cluster = msgspec.structs.replace(FILE_CLUSTER, max_attempts=9)
    assert harness.configuration.ineffective_keys(other) is None  # the fleet has no configuration yet
    assert harness.change(max_attempts=4) == ""
    assert harness.configuration.ineffective_keys(other) == ["cluster.max_attempts"]
    assert harness.configuration.ineffective_keys(msgspec.structs.replace(other, fall_ms=1.0)) is None
