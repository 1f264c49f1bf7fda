"""Fleet sizes and plans shared by the tests of scale runs."""

from __future__ import annotations

from functools import lru_cache
from pathlib import Path

from sprucepost.scale.plan import Day, Plan, draw
from sprucepost.scale.settings import FleetSize
from sprucepost.settings import read

DEPLOY = Path(__file__).parent.parent.parent / "deploy" / "scale"


@lru_cache
def size(name: str = "small") -> FleetSize:
    return read(DEPLOY / f"{name}.json", FleetSize)


@lru_cache
def plan(seed: int = 1, day: Day = Day.ORDINARY, name: str = "small") -> Plan:
    return draw(size(name), seed, day)
