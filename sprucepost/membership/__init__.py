"""Who the placers are: their number and size as a generation, and what a change of size means for shared budgets.

Free of I/O, clock and the decision module: facts and the time go in, a :class:`SlotAssignment` comes out. Each placer
works out the same from what it was told and its aligned clock; where placers keep a view (docs/view.md), ``resize`` says
which of several generations counts and when a change is over.
"""

from sprucepost.membership.generation import Generation, Phase, Side, SlotAssignment, assign_slot
from sprucepost.membership.resize import KnownPlacer, Resize, newer_generation
from sprucepost.membership.skew import ClockSkewMonitor

__all__ = [
    "ClockSkewMonitor",
    "Generation",
    "KnownPlacer",
    "Phase",
    "Resize",
    "Side",
    "SlotAssignment",
    "assign_slot",
    "newer_generation",
]
