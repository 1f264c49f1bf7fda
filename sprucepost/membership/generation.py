"""Changes of the fleet's size, during which an old and a new side share one layout of slots.

The limit on offers to a cold machine is divided among slots. With one size known to all, a placer's slot is its number.
While the size changes, placers that know only the old size and placers that know only the new one would together exceed
the limit: 88 of 88 and 262 of 350 sent 52 offers to a machine that accepts 30. A change therefore has a layout that
both sides share: the slots of the old size, followed by those of the new one. Any mix of the two sides then uses at
most as many slots as the layout has, and offers no more than one generation of that size may.

=============  =======================  =========================================  ====================
phase          when                     slots                                      ends
=============  =======================  =========================================  ====================
steady         no change in progress    slot = number, of size                     a change is announced
waiting        announced, before it     old side: as before; new side: no offers   at ``begins_ms``
               begins                   to cold machines
joint          until the change is      old side: number; new side: old size +     at the end of the
               over                     number; of old + new slots                 overlap, or when all
                                                                                   have reported
held           the old side was not     new side: no offers to cold machines; the  at the end of the
               told in advance, or not  old side has all slots                     overlap, or when all
               all known placers have                                              have reported
               been informed
done           after the change         slot = number, of the new size; a number   the next change
                                        above it: no offers to cold machines
=============  =======================  =========================================  ====================

A rollback keeps the layout of the change that it takes back and ends at the old size: no placer changes its slot
midway. A change that never ends stays joint: fewer offers go to cold machines, and no rule is broken. After a change of
slot, a scheduler sends no offers to cold machines for two ``fall`` intervals, which covers clocks that differ by up to
one ``fall``.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Phase(Enum):
    """The phase of a change of size, from one placer's position; the table of this module describes them."""

    STEADY = "steady"
    WAITING = "waiting"
    JOINT = "joint"
    HELD = "held"
    DONE = "done"


class Side(Enum):
    """Whether a placer ran before the change (``OLD``) or was started for it (``NEW``)."""

    OLD = "old"
    NEW = "new"


@dataclass(frozen=True)
class Generation:
    """A fleet size and, while it is new, the change that leads to it. Times are wall-clock ms.

    ``announced``: every placer of the old size has been told before ``begins_ms``. ``rollback``: this takes back a
    change from ``size`` to ``previous`` that was not over.
    """

    number: int
    size: int
    previous: int | None = None
    begins_ms: float = 0.0
    overlap_ms: float = 0.0
    announced: bool = False
    rollback: bool = False
    over_ms: float | None = None  # agreed by the fleet: the change ends then if its overlap would end later

    @property
    def ends_ms(self) -> float:
        """When the change is over, in wall-clock ms."""
        overlap_end = self.begins_ms + self.overlap_ms
        return overlap_end if self.over_ms is None else min(overlap_end, self.over_ms)

    @property
    def order(self) -> tuple[float, ...]:
        """All that an operator has set, as a sort key: the greater generation counts."""
        previous = -1 if self.previous is None else self.previous
        return self.number, self.size, previous, self.begins_ms, self.overlap_ms, self.announced, self.rollback

    def problems(self) -> list[str]:
        """Return the inconsistencies between the fields, one line each."""
        found = []
        if self.previous is None and (self.announced or self.rollback):
            found.append("previous_instances: needed where a change is announced or rolled back")
        if self.previous is not None and self.overlap_ms <= 0:
            found.append("overlap_ms: must be above 0 where previous_instances is given")
        return found


@dataclass(frozen=True)
class SlotAssignment:
    """A placer's current slot.

    With ``slots`` 0 it sends no offers to cold machines. ``fleet_size``: the number of placers to assume.
    ``until_ms``: when the assignment changes by itself, in wall-clock ms. ``reason``: why there is no slot.
    """

    phase: Phase
    fleet_size: int
    slot: int
    slots: int
    until_ms: float | None = None
    reason: str = ""


def assign_slot(
    generation: Generation, number: int, side: Side, now_ms: float, all_informed: bool = True
) -> SlotAssignment:
    """Return the slot under ``generation`` of the placer with that number.

    ``all_informed``: no placer is known that has not heard of this generation. A placer that keeps a view of the fleet
    knows this; others assume it.
    """
    size, previous = generation.size, generation.previous
    if previous is None:
        return _slot_by_number(Phase.STEADY, number, size)
    ends = generation.ends_ms
    if now_ms >= ends:
        return _slot_by_number(Phase.DONE, number, size)
    larger_size = max(size, previous)
    if not generation.announced:
        if side is Side.OLD:
            return _slot_by_number(Phase.WAITING, number, previous, larger_size, ends)
        return SlotAssignment(Phase.HELD, larger_size, 0, 0, ends, "not announced: the old size has all slots")
    if now_ms < generation.begins_ms and not generation.rollback:
        if side is Side.OLD:
            return _slot_by_number(Phase.WAITING, number, previous, larger_size, generation.begins_ms)
        return SlotAssignment(Phase.WAITING, larger_size, 0, 0, generation.begins_ms, "the change has not begun")
    if not all_informed and side is Side.NEW and not generation.rollback:
        return SlotAssignment(Phase.HELD, larger_size, 0, 0, ends, "not every placer has heard of the change")
    # The slots of the size that was there first come first, whichever of the two sizes is to stay.
    first_size = size if generation.rollback else previous
    in_first = (side is Side.OLD) != generation.rollback
    slots = size + previous
    slot = number if in_first else first_size + number
    if number >= (first_size if in_first else slots - first_size):
        return SlotAssignment(Phase.JOINT, larger_size, 0, 0, ends, f"number {number} has no slot in this change")
    return SlotAssignment(Phase.JOINT, larger_size, slot, slots, ends)


def _slot_by_number(
    phase: Phase, number: int, size: int, fleet_size: int | None = None, until_ms: float | None = None
) -> SlotAssignment:
    if number >= size:
        return SlotAssignment(
            phase, fleet_size or size, 0, 0, until_ms, f"number {number} is not below the size {size}"
        )
    return SlotAssignment(phase, fleet_size or size, number, size, until_ms)
