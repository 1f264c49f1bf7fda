"""What the view of the fleet means for this placer itself: its number, its generation, its start.

Nothing here decides where a task goes.

===================  ================================================  =================================================
seen in the view     when                                              consequence
===================  ================================================  =================================================
a newer generation   some record has one (docs/fleet.md)               this placer runs under it from now on
an older generation  some record that has not left                     the new side has no slot during the resize
another generation   some record that has not left                     no slot until all have the same
of the same number
the resize complete  all numbers of the new size are here, and nobody  its end is proposed, and published
                     else
its number twice     another, older process that is here has it, or    not ready; machines are released until that
                     one with this placer's name is seen for           process is gone
                     ``NAMESAKE_GRACE_MS``
a predecessor whose  its record's incarnation is not below this one's  this placer's incarnation is raised above it, as
clock was ahead                                                        long as it has sent no offer
===================  ================================================  =================================================
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import reduce

from sprucepost.loop import Loop
from sprucepost.membership import Generation, KnownPlacer, Resize, newer_generation
from sprucepost.view import View

CHECK_INTERVAL_MS = 1000.0  # also without changed records, since some conditions depend on the time
NAMESAKE_GRACE_MS = 1000.0  # the view may list streams of a predecessor for a while after its end


@dataclass(frozen=True, slots=True)
class MembershipCallbacks:
    """Callbacks of the placer.

    ``generation_adopted``: the fleet runs under another generation. ``resize_updated``: whether all placers know of the
    generation, and whether it is disputed. ``number_shared``: which other process has this placer's number, empty for
    none; may be repeated. ``incarnation_raised``: the view has raised this placer's incarnation to that one, above a
    predecessor's. ``others_seen``: the view has other placers.
    """

    generation_adopted: Callable[[Generation], None]
    resize_updated: Callable[[bool, bool], None]
    number_shared: Callable[[str], None]
    incarnation_raised: Callable[[int], object]
    others_seen: Callable[[], None]


class FleetMembership:
    """Calls back with what follows from the view. ``wall_ms`` returns the aligned wall clock, in ms."""

    def __init__(self, loop: Loop, view: View, wall_ms: Callable[[], float], callbacks: MembershipCallbacks) -> None:
        self._loop, self._view, self._wall_ms, self._callbacks = loop, view, wall_ms, callbacks
        self.incarnation = view.own_record.incarnation
        self.disputed = False
        self._checked_view: tuple[int, frozenset[str], int] | None = None
        self._next_check_ms = 0.0
        self._namesake_since_ms: float | None = None  # when another process of this name was first seen

    def check(self) -> None:
        """Check the view; to be called after each of its ticks."""
        view, now = self._view, self._loop.now()
        if view.own_record.incarnation > self.incarnation:
            self.incarnation = view.own_record.incarnation
            self._callbacks.incarnation_raised(view.own_record.incarnation)
        view_state = (view.digest, view.here, len(view.streams))
        if view_state == self._checked_view and now < self._next_check_ms:
            return
        self._checked_view, self._next_check_ms = view_state, now + CHECK_INTERVAL_MS
        if len(view.records) > 1:
            self._callbacks.others_seen()
        self._check_number(now)
        self._check_generation()

    def _check_number(self, now: float) -> None:
        view = self._view
        self._track_namesake(now)
        others = [
            view.records[name]
            for name in view.conflicts().get(view.own_record.number, ())
            if name != view.own_record.name
        ]
        older = [
            other
            for other in others
            if (other.incarnation, other.name) < (view.own_record.incarnation, view.own_record.name)
        ]
        since_ms = self._namesake_since_ms
        if older:
            self._callbacks.number_shared(f"{older[0].name} at {older[0].address} has number {view.own_record.number}")
        elif since_ms is not None and now - since_ms >= NAMESAKE_GRACE_MS:
            self._callbacks.number_shared(f"another process is {view.own_record.name}")
        else:
            self._callbacks.number_shared("")
        if since_ms is not None:
            due_ms = since_ms + NAMESAKE_GRACE_MS
            self._next_check_ms = min(self._next_check_ms, due_ms) if now < due_ms else now

    def _track_namesake(self, now: float) -> None:
        if not self._view.has_namesake or self._view.is_superseded:
            self._namesake_since_ms = None
        elif self._namesake_since_ms is None:
            self._namesake_since_ms = now

    def _check_generation(self) -> None:
        view = self._view
        others = [
            KnownPlacer(record.number, record.generation, name in view.here)
            for name, record in view.records.items()
            if name != view.own_record.name and not record.left and record.generation.size
        ]
        own = view.own_record.generation
        generation = reduce(newer_generation, (other.generation for other in others), own)
        resize = Resize(view.own_record.number, generation, others)
        generation = resize.propose_end(self._wall_ms()) or generation
        if generation != own:
            view.update(generation=generation)
            self._callbacks.generation_adopted(generation)
        self.disputed = resize.is_disputed
        self._callbacks.resize_updated(resize.is_known_to_all, resize.is_disputed)
