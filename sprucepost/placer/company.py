"""What the view of the fleet means for this placer itself: its number, its size, its start. Nothing here places a task.

=================  ==================================================  =================================================
what is seen       when                                                what follows
=================  ==================================================  =================================================
a newer            some record has one (docs/fleet.md)                 this placer runs under it from now on
generation
an older one       some record that has not left                       while the change is on, the new side takes no seat
another of the     some record that has not left                       no seat, until all have the same
same number
the change over    all numbers of the new size are here, nobody else   its end is proposed, and told
its number twice   another process, older than this one, is here with  not ready; machines are let go, until it is gone
                   it, or with this one's name for ``NAMESAKE_MS``
a predecessor      its record's incarnation is not below this one's    this one's is raised above it, while it has
with a clock                                                           offered nothing
that was ahead
=================  ==================================================  =================================================
"""

from __future__ import annotations

from collections.abc import Callable
from functools import reduce

from sprucepost.loop import Loop
from sprucepost.membership import Course, Generation, Seated, newest
from sprucepost.view import View

LOOK_MS = 1000.0  # at the least, also where no record has changed: some of it depends on the time
NAMESAKE_MS = 1000.0  # a predecessor's streams may be believed for a while after its end


class Company:
    """Looks at the view after each of its ticks. The callbacks are told of changes only."""

    def __init__(
        self,
        loop: Loop,
        view: View,
        wall: Callable[[], float],
        adopt: Callable[[Generation], None],
        seat: Callable[[bool, bool], None],
        shared: Callable[[str], None],
        outbid: Callable[[int], object],
        heard: Callable[[], None],
    ) -> None:
        self._loop, self._view, self._wall = loop, view, wall
        self._adopt, self._seat, self._shared, self._outbid, self._heard = adopt, seat, shared, outbid, heard
        self.incarnation = view.me.incarnation
        self.disputed = False
        self._seen: tuple[int, frozenset[str], int] | None = None
        self._next = 0.0
        self._namesake: float | None = None  # since when another process of this name is seen

    def look(self) -> None:
        """To be called after each tick of the view."""
        view, now = self._view, self._loop.now()
        if view.me.incarnation > self.incarnation:
            self.incarnation = view.me.incarnation
            self._outbid(view.me.incarnation)
        seen = (view.digest, view.here, len(view.streams))
        if seen == self._seen and now < self._next:
            return
        self._seen, self._next = seen, now + LOOK_MS
        if len(view.records) > 1:
            self._heard()
        self._number(now)
        self._course()

    def _number(self, now: float) -> None:
        view = self._view
        others = [view.records[name] for name in view.conflicts().get(view.me.number, ()) if name != view.me.name]
        older = [other for other in others if (other.incarnation, other.name) < (view.me.incarnation, view.me.name)]
        namesake = view.namesake
        if not namesake or view.superseded:
            self._namesake = None
        elif self._namesake is None:
            self._namesake = now
        if older:
            self._shared(f"{older[0].name} at {older[0].address} has number {view.me.number}")
        elif self._namesake is not None and now - self._namesake >= NAMESAKE_MS:
            self._shared(f"another process is {view.me.name}")
        else:
            self._shared("")
        if self._namesake is not None:
            self._next = min(self._next, self._namesake + NAMESAKE_MS) if now < self._namesake + NAMESAKE_MS else now

    def _course(self) -> None:
        view = self._view
        others = [
            Seated(record.number, record.generation, name in view.here)
            for name, record in view.records.items()
            if name != view.me.name and not record.left and record.generation.size
        ]
        mine = view.me.generation
        best = reduce(newest, (other.generation for other in others), mine)
        course = Course(view.me.number, best, others)
        best = course.over(self._wall()) or best
        if best != mine:
            view.update(generation=best)
            self._adopt(best)
        self.disputed = course.disputed
        self._seat(course.told, course.disputed)
