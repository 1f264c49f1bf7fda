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


class PauseRecovery:
    """``min_pause_ms``: a pause that counts (the drain's grace). ``max_suspect_ms``: how long it is
    remembered at the most."""

    def __init__(self, min_pause_ms: float, max_suspect_ms: float) -> None:
        self.min_pause_ms, self._max_suspect_ms = min_pause_ms, max_suspect_ms
        self.suspect_until: float | None = None  # None: nothing is in doubt
        self._list_call_failed = False
        self._heard_machines: set[str] = set()

    def on_pause(self, now_ms: float, length_ms: float) -> bool:
        """The placer stood still for so long until now; whether that puts machines in doubt."""
        if length_ms < self.min_pause_ms:
            return False
        self.suspect_until, self._list_call_failed = now_ms + self._max_suspect_ms, False
        self._heard_machines.clear()
        return True

    def on_list_message(self) -> None:
        self.suspect_until = None
        self._heard_machines.clear()

    def on_list_failure(self) -> None:
        self._list_call_failed = True

    def on_machine_message(self, machine: str) -> None:
        if self.suspect_until is not None:
            self._heard_machines.add(machine)

    def is_suspect(self, machine: str, now_ms: float) -> bool:
        """Whether the machine must get nothing new for now."""
        if self.suspect_until is None:
            return False
        if now_ms >= self.suspect_until:
            self.on_list_message()
            return False
        return not (self._list_call_failed and machine in self._heard_machines)
