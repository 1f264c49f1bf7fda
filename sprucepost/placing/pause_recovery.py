"""What a placer may still believe after it has stood still; free of I/O and clock.

A process that was stopped, or starved, for as long as a drain's grace may have missed the word of a drain altogether: the
stream that brought it can be reset before anybody reads it. Until it has heard again, what it knows of machines is old.

=============================  =============================================================
since the pause                a machine gets new work
=============================  =============================================================
nothing was heard              no
the list has spoken            yes, where the list says so
a call for the list has        yes, once the machine itself has spoken: the list cannot be
failed                         had, and the machine is there
``list_ask_every_ms`` is over  yes: what the list told before counts as it does without a
                               pause, when the list is out of reach
=============================  =============================================================

Tasks that wait meanwhile keep their timers: each is answered before its owner gives up, whatever this says.
"""

from __future__ import annotations


class Wake:
    """``gap_ms``: a pause that counts (the drain's grace). ``most_ms``: how long it is remembered at the most."""

    def __init__(self, gap_ms: float, most_ms: float) -> None:
        self.gap_ms, self._most = gap_ms, most_ms
        self.until: float | None = None  # None: nothing is in doubt
        self._failed = False
        self._heard: set[str] = set()

    def paused(self, now_ms: float, length_ms: float) -> bool:
        """The placer stood still for so long until now; whether that puts machines in doubt."""
        if length_ms < self.gap_ms:
            return False
        self.until, self._failed = now_ms + self._most, False
        self._heard.clear()
        return True

    def list_spoke(self) -> None:
        self.until = None
        self._heard.clear()

    def list_failed(self) -> None:
        self._failed = True

    def machine_spoke(self, machine: str) -> None:
        if self.until is not None:
            self._heard.add(machine)

    def in_doubt(self, machine: str, now_ms: float) -> bool:
        """Whether the machine must get nothing new for now."""
        if self.until is None:
            return False
        if now_ms >= self.until:
            self.list_spoke()
            return False
        return not (self._failed and machine in self._heard)
