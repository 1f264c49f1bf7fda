"""The number and size of the placers as a generation, and how a change of size affects shared limits.

The package has no I/O, no clock and no scheduling decisions: it turns a generation and the time into a
:class:`SlotAssignment`. Each placer computes its own from what it has been told and its aligned clock, and all reach
the same result. Where placers keep a view of the fleet (docs/view.md), ``resize`` decides which of several generations
counts and when a change of size is over.
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
