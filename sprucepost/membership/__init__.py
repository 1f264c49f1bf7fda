"""Who the placers are: their number and size as a generation, and what a change of size means for shared budgets.

Free of I/O, clock and the decision module: facts and the time go in, a :class:`Stance` comes out. Each placer works out the
same from what it was told and its aligned clock; where placers keep a view (docs/view.md), ``resize`` says which of several
generations counts and when a change is over.
"""

from sprucepost.membership.generation import Generation, Phase, Side, Stance, stance
from sprucepost.membership.resize import KnownPlacer, Resize, newest
from sprucepost.membership.skew import ClockGuard

__all__ = ["ClockGuard", "Generation", "KnownPlacer", "Phase", "Resize", "Side", "Stance", "newest", "stance"]
