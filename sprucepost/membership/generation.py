"""Changes of size as two-sided generations.

What a cold machine bears is shared out by seats. With one size known to all, a placer's seat is its number. While a size
changes, placers that know only the old size and placers that know only the new one would together take more than one of
them may: 88 of 88 and 262 of 350 sent 52 offers to a machine that bears 30. So a change has a layout that both sides
share: the seats of the old size and, behind them, those of the new one. Any mix of the two then holds at most as many
seats as the layout has, and spends no more than one generation of that size may.

=============  =======================  =========================================  ==================
phase          when                     who sits where                             ends
=============  =======================  =========================================  ==================
steady         no change is on          number of size                             a change is told
waiting        told, before it begins   the old side as before; the new side       at ``begins_ms``
                                        offers nothing to cold machines
joint          until it is over         old side: number; new side: old size +     overlap over, or
                                        number; of old + new seats                 all have reported
held           a change that was not    the new side offers nothing to cold        overlap over, or
               announced to the old,    machines: the old one has all seats        all have reported
               or has not reached all
               who are remembered
done           after it                 number of the new size; a number above     the next change
                                        it offers nothing to cold machines
=============  =======================  =========================================  ==================

A rollback keeps the layout of the change that it takes back and ends at the old size: nobody changes seats half way. A
change that never ends stays joint: less is offered to cold machines, no rule is at risk. Moving to other seats costs two
``fall`` of silence towards cold machines (the module's), which covers clocks that differ by up to one ``fall``.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Phase(Enum):
    STEADY = "steady"
    WAITING = "waiting"
    JOINT = "joint"
    HELD = "held"
    DONE = "done"


class Side(Enum):
    """Whether a placer was there before the change (``OLD``) or was started for it (``NEW``)."""

    OLD = "old"
    NEW = "new"


@dataclass(frozen=True)
class Generation:
    """A size and, while it is new, the change that leads to it. Times are wall-clock ms.

    ``announced``: every placer of the old size has been told before ``begins_ms``. ``rollback``: this takes back a change
    from ``size`` to ``previous`` that was not over.
    """

    number: int
    size: int
    previous: int | None = None
    begins_ms: float = 0.0
    overlap_ms: float = 0.0
    announced: bool = False
    rollback: bool = False
    over_ms: float | None = None  # settled by the fleet: the change ends then, before its overlap does

    @property
    def ends_ms(self) -> float:
        """When the change is over, wall-clock ms."""
        ends = self.begins_ms + self.overlap_ms
        return ends if self.over_ms is None else min(ends, self.over_ms)

    @property
    def order(self) -> tuple[float, ...]:
        """All that an operator has said, to be compared: the greater one counts."""
        previous = -1 if self.previous is None else self.previous
        return self.number, self.size, previous, self.begins_ms, self.overlap_ms, self.announced, self.rollback

    def problems(self) -> list[str]:
        """What cannot be, one line each."""
        found = []
        if self.previous is None and (self.announced or self.rollback):
            found.append("previous_instances: needed where a change is announced or rolled back")
        if self.previous is not None and self.overlap_ms <= 0:
            found.append("overlap_ms: must be above 0 where previous_instances is given")
        return found


@dataclass(frozen=True)
class SlotAssignment:
    """Where a placer sits now. ``seats`` 0: no cold offers. ``until_ms``: when that changes by itself."""

    phase: Phase
    fleet_size: int
    slot: int
    slots: int
    until_ms: float | None = None
    reason: str = ""


def assign_slot(
    generation: Generation, number: int, side: Side, now_ms: float, all_informed: bool = True
) -> SlotAssignment:
    """What a placer does under ``generation``.

    ``told``: no placer is known that has not heard of this generation. Placers that keep a view know; others believe it.
    """
    size, previous = generation.size, generation.previous
    if previous is None:
        return _seated(Phase.STEADY, number, size)
    ends = generation.ends_ms
    if now_ms >= ends:
        return _seated(Phase.DONE, number, size)
    most = max(size, previous)
    if not generation.announced:
        if side is Side.OLD:
            return _seated(Phase.WAITING, number, previous, most, ends)
        return SlotAssignment(Phase.HELD, most, 0, 0, ends, "the old size was not told of the change and has all seats")
    if now_ms < generation.begins_ms and not generation.rollback:
        if side is Side.OLD:
            return _seated(Phase.WAITING, number, previous, most, generation.begins_ms)
        return SlotAssignment(Phase.WAITING, most, 0, 0, generation.begins_ms, "the change has not begun")
    if not all_informed and side is Side.NEW and not generation.rollback:
        return SlotAssignment(Phase.HELD, most, 0, 0, ends, "not every placer has heard of the change")
    # The seats of the size that was there first come first, whichever of the two is to stay.
    first = size if generation.rollback else previous
    in_first = (side is Side.OLD) != generation.rollback
    seats = size + previous
    seat = number if in_first else first + number
    if number >= (first if in_first else seats - first):
        return SlotAssignment(Phase.JOINT, most, 0, 0, ends, f"number {number} has no seat in this change")
    return SlotAssignment(Phase.JOINT, most, seat, seats, ends)


def _seated(
    phase: Phase, number: int, size: int, reckon: int | None = None, until: float | None = None
) -> SlotAssignment:
    if number >= size:
        return SlotAssignment(phase, reckon or size, 0, 0, until, f"number {number} is not below the size {size}")
    return SlotAssignment(phase, reckon or size, number, size, until)
