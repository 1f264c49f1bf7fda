"""What plays on the virtual platform share: their variants, their tasks, and the run of a play in each variant."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from sprucepost.loop import Co
from tests.node.virtual_platform import OwnerConnection, Process, VirtualPlatform, run_on_virtual_platform

END_DUE_MS = 8050.0  # from the end of a task to its release, where its host could not tell
RELEASE_DUE_MS = 1050.0  # from a host's release to that of the owner
TASKS = 6

Play = Callable[[VirtualPlatform, "Variant"], Co[None]]


@dataclass(frozen=True)
class Variant:
    """How a play is varied: the number of placers, how late their loop is, how often the address changes hands, whether
    what one poll finds is handled in the reverse order, and whether the placers have a third of a core, in slices."""

    placers: int = 1
    late_ms: float = 0.0
    replacements: int = 1
    reverses_order: bool = False
    is_sliced: bool = False


VARIANTS = (
    Variant(),
    Variant(placers=3),
    *(Variant(late_ms=late_ms) for late_ms in (50.0, 150.0, 350.0, 500.0)),
    Variant(replacements=2),
    Variant(placers=3, late_ms=350.0, replacements=2),
)


DELIVERY_VARIANTS = (
    Variant(),
    Variant(placers=3),
    *(Variant(late_ms=late_ms) for late_ms in (20.0, 50.0, 200.0, 500.0)),
    Variant(reverses_order=True),
    Variant(is_sliced=True),
    Variant(placers=3, late_ms=200.0, reverses_order=True, is_sliced=True),
)


class PlayFailure(Exception):
    """What was seen where the play expected something else."""


def failures(folder: Path, plays: dict[str, Play], variants: tuple[Variant, ...] = VARIANTS) -> list[str]:
    """Run each play in each variant; return what failed."""
    found = []
    for name, play in plays.items():
        for number, variant in enumerate(variants):
            place = folder / name.replace(" ", "-") / str(number)
            place.mkdir(parents=True)

            def body(platform: VirtualPlatform, play: Play = play, variant: Variant = variant) -> Co[None]:
                platform.loop.reverses_order = variant.reverses_order
                platform.is_sliced = variant.is_sliced
                return play(platform, variant)

            try:
                run_on_virtual_platform(place, body)
            except PlayFailure as failure:
                found.append(f"{name}, {variant}: {failure}")
    return found


def sids(first: int, number: int = TASKS) -> list[str]:
    return [f"c0655aa5c7e{first + n:05x}" for n in range(number)]


def start(platform: VirtualPlatform, variant: Variant) -> tuple[Process, list[OwnerConnection]]:
    """Start the one host of the list and the placers, with an owner at each."""
    process = platform.start_process("s-0")
    platform.publish(process.entry(boot_ms=0), everything=True)
    for _ in range(variant.placers):
        platform.start_placer()
    return process, [platform.connect(placer) for placer in platform.placers]


def tasks_of(owner: OwnerConnection, tasks: list[str]) -> list[str]:
    """Return the tasks of an owner: each one has its own, by the number of its placer."""
    number = owner.platform.placers.index(owner.placer)
    return [f"{number:x}{sid[1:]}" for sid in tasks]
