"""What the view of the fleet means for this placer itself: its number, its size, its start. Nothing here places a task.

=================  ==================================================  =================================================
what is seen       when                                                what follows
=================  ==================================================  =================================================
a newer            some record has one (docs/fleet.md)                 this placer runs under it from now on
generation
an older one       some record that has not left                       during the resize the new side takes no seat
another of the     some record that has not left                       no seat, until all have the same
same number
the resize over    all numbers of the new size are here, nobody else   its end is proposed, and told
its number twice   another process, older than this one, is here with  not ready; machines are released, until it is
                   it, or with this one's name for ``NAMESAKE_MS``     gone
a predecessor      its record's incarnation is not below this one's    this one's is raised above it, while it has
with a clock                                                           offered nothing
that was ahead
=================  ==================================================  =================================================
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import reduce

from sprucepost.loop import Loop
from sprucepost.membership import Generation, KnownPlacer, Resize, newer_generation
from sprucepost.view import View

CHECK_MS = 1000.0  # at the least, also where no record has changed: some of it depends on the time
NAMESAKE_MS = 1000.0  # a predecessor's streams may be believed for a while after its end


@dataclass(frozen=True, slots=True)
class MembershipCallbacks:
    """What the placer is told.

    ``adopt``: the fleet runs under another generation. ``resize_known``: whether all placers know of the generation, and
    whether it is disputed. ``number_shared``: who else has this placer's number, empty where nobody has; may be repeated.
    ``predecessor``: the view has raised this placer's incarnation to that one. ``others_heard``: there are other placers.
    """

    adopt: Callable[[Generation], None]
    resize_known: Callable[[bool, bool], None]
    number_shared: Callable[[str], None]
    predecessor: Callable[[int], object]
    others_heard: Callable[[], None]


class FleetMembership:
    """Derives them from the view. ``wall`` is the aligned wall clock, ms."""

    def __init__(self, loop: Loop, view: View, wall: Callable[[], float], callbacks: MembershipCallbacks) -> None:
        self._loop, self._view, self._wall, self._callbacks = loop, view, wall, callbacks
        self.incarnation = view.own_record.incarnation
        self.disputed = False
        self._seen: tuple[int, frozenset[str], int] | None = None
        self._next_check = 0.0
        self._namesake_since: float | None = None  # since when another process of this name is seen

    def check(self) -> None:
        """To be called after each tick of the view."""
        view, now = self._view, self._loop.now()
        if view.own_record.incarnation > self.incarnation:
            self.incarnation = view.own_record.incarnation
            self._callbacks.predecessor(view.own_record.incarnation)
        seen = (view.digest, view.here, len(view.streams))
        if seen == self._seen and now < self._next_check:
            return
        self._seen, self._next_check = seen, now + CHECK_MS
        if len(view.records) > 1:
            self._callbacks.others_heard()
        self._check_number(now)
        self._check_generation()

    def _check_number(self, now: float) -> None:
        view = self._view
        self._note_namesake(now)
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
        since = self._namesake_since
        if older:
            self._callbacks.number_shared(f"{older[0].name} at {older[0].address} has number {view.own_record.number}")
        elif since is not None and now - since >= NAMESAKE_MS:
            self._callbacks.number_shared(f"another process is {view.own_record.name}")
        else:
            self._callbacks.number_shared("")
        if since is not None:
            due = since + NAMESAKE_MS
            self._next_check = min(self._next_check, due) if now < due else now

    def _note_namesake(self, now: float) -> None:
        if not self._view.has_namesake or self._view.is_superseded:
            self._namesake_since = None
        elif self._namesake_since is None:
            self._namesake_since = now

    def _check_generation(self) -> None:
        view = self._view
        others = [
            KnownPlacer(record.number, record.generation, name in view.here)
            for name, record in view.records.items()
            if name != view.own_record.name and not record.left and record.generation.size
        ]
        mine = view.own_record.generation
        best = reduce(newer_generation, (other.generation for other in others), mine)
        resize = Resize(view.own_record.number, best, others)
        best = resize.propose_end(self._wall()) or best
        if best != mine:
            view.update(generation=best)
            self._callbacks.adopt(best)
        self.disputed = resize.is_disputed
        self._callbacks.resize_known(resize.is_known_to_all, resize.is_disputed)
