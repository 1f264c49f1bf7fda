"""Which machines must not get work after this placer was stalled; free of I/O and clock.

A process that was stopped, or starved of CPU, for as long as a drain's grace may have missed the report of a drain: the
stream that carried it can be reset before anybody reads it. Until newer messages arrive, its knowledge of machines is stale
and machines are suspect.

=============================  =============================================================
since the stall                a machine gets new work
=============================  =============================================================
nothing was received           no
the list has sent a message    yes, where the list says so
a call for the list has        yes, once the machine itself has sent a message: the list is
failed                         out of reach, and the machine is alive
``list_ask_every_ms`` is over  yes: the last known list is used, as it is without a stall
                               when the list is out of reach
=============================  =============================================================

Tasks that wait meanwhile keep their timers: each is answered before its owner gives up in any case.
"""

from __future__ import annotations


class PauseRecovery:
    """Tracks which machines are suspect.

    ``min_pause_ms``: the shortest stall that counts (the grace of a drain). ``max_suspect_ms``: how long machines stay
    suspect at most.
    """

    def __init__(self, min_pause_ms: float, max_suspect_ms: float) -> None:
        self.min_pause_ms, self._max_suspect_ms = min_pause_ms, max_suspect_ms
        self.suspect_until: float | None = None  # None: no machine is suspect
        self._list_call_failed = False
        self._heard_machines: set[str] = set()

    def on_pause(self, now_ms: float, length_ms: float) -> bool:
        """Record a stall that has just ended. Returns whether it makes machines suspect."""
        if length_ms < self.min_pause_ms:
            return False
        self.suspect_until, self._list_call_failed = now_ms + self._max_suspect_ms, False
        self._heard_machines.clear()
        return True

    def on_list_message(self) -> None:
        """Record a message of the list: nothing is suspect any more."""
        self.suspect_until = None
        self._heard_machines.clear()

    def on_list_failure(self) -> None:
        """Record a failed call for the list."""
        self._list_call_failed = True

    def on_machine_message(self, machine: str) -> None:
        """Record a message of that machine."""
        if self.suspect_until is not None:
            self._heard_machines.add(machine)

    def is_suspect(self, machine: str, now_ms: float) -> bool:
        """Whether the machine must not get new offers for now."""
        if self.suspect_until is None:
            return False
        if now_ms >= self.suspect_until:
            self.on_list_message()
            return False
        return not (self._list_call_failed and machine in self._heard_machines)
