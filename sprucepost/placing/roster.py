"""Which machines take work now.

This follows from the machine list, the machines' own reports of their starts, their streams, and stalls of this process
(``pause_recovery``). The scheduler knows all machines, but a ready one that cannot be offered anything now is shown to it
as draining.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from sprucepost import interface as i
from sprucepost.loop import Loop
from sprucepost.placing.attempts import Attempts
from sprucepost.placing.late_messages import LateMessages
from sprucepost.placing.pause_recovery import PauseRecovery
from sprucepost.placing.ports import MachinesPort
from sprucepost.placing.scheduler_driver import SchedulerDriver
from sprucepost.settings import Cluster


class Roster:
    """All listed machines. ``machines`` is set by the code that assembles the placer."""

    machines: MachinesPort

    def __init__(
        self,
        loop: Loop,
        driver: SchedulerDriver,
        attempts: Attempts,
        late_messages: LateMessages,
        cluster: Cluster,
        log: Callable[..., None],
    ) -> None:
        self.loop, self._driver, self._attempts, self._late_messages, self._log = (
            loop,
            driver,
            attempts,
            late_messages,
            log,
        )
        self._kinds, self._warm_after_ms = cluster.kinds, cluster.warm_after_ms + cluster.max_clock_skew_ms
        self._entries: dict[str, i.MachineEntry] = {}
        self._attached: set[str] = set()  # machines that have a stream
        self._hidden: set[str] = set()  # ready machines that the scheduler sees as draining
        self._changed: dict[str, None] = {}  # machines whose visible state must be checked again, in order
        self.pause_recovery = PauseRecovery(cluster.drain_grace_ms, cluster.list_ask_every_ms)
        self.listed = False  # a list has arrived
        self.on_listed: Callable[[], None] = lambda: None

    # The list

    def on_list(self, change: i.MachineList) -> None:
        """Pass a change of the list to the scheduler, and close or open machines' streams for offers."""
        if change.kind is i.ListKind.FAILED:
            self.pause_recovery.on_list_failure()
            if self.pause_recovery.suspect_until is not None:
                self._mark_all_changed()
        else:
            named = {entry.machine for entry in change.entries}
            if change.kind is i.ListKind.FULL:
                for machine in sorted(self._entries.keys() - named):
                    self._update_entry(replace(self._entries[machine], state=i.MachineState.GONE))
            for entry in change.entries:
                self._update_entry(entry)
            known = (self._entries.get(entry.machine, entry) for entry in change.entries)
            change = replace(change, entries=tuple(self._visible_entry(entry) for entry in known))
            if not self.listed:
                self.listed = True
                self.on_listed()
        self._driver.push(change)

    def on_list_heartbeat(self) -> None:
        """Handle any message of the list: its stream is intact, so no earlier message has been missed."""
        if self.pause_recovery.suspect_until is not None:
            self.pause_recovery.on_list_message()
            self._mark_all_changed()

    def _update_entry(self, entry: i.MachineEntry) -> None:
        machine, previous = entry.machine, self._entries.get(entry.machine)
        if previous is not None and previous.started > entry.started:
            # The machine reported a later start, which a lagging list does not undo.
            entry = replace(entry, started=previous.started)
        self._entries[machine] = entry
        self._update_cold_until(entry)
        if previous is None or previous.state is not entry.state:
            self._attempts.set_closed(machine, entry.state is not i.MachineState.READY)
        if entry.state is i.MachineState.GONE:
            link = self.machines.get(machine)
            if link is None or not link.attached:
                self._remove_machine(machine)

    def _remove_machine(self, machine: str) -> None:
        """Remove a machine that is gone from the list and has no stream: the tasks that it held are lost."""
        self._entries.pop(machine, None)
        self._hidden.discard(machine)
        self.machines.gone(machine)
        self._attempts.on_machine_gone(machine)
        self._attempts.closed_machines.discard(machine)
        self._attempts.cold_until.pop(machine, None)
        self._late_messages.fail_missing_hand_overs(machine)

    # Machines

    def on_attached(self, machine: str, started_ms: float, restarted: bool) -> bool:
        """Handle an attach. Returns whether the machine has restarted since the list last reported its start.

        Another incarnation is a fresh start, cold and empty, and the machine reports it before any list can. Without that,
        a late list made placers offer to it as to a warm one.
        """
        self._attached.add(machine)
        self.pause_recovery.on_machine_message(machine)
        self._mark_changed(machine)
        entry = self._entries.get(machine)
        if entry is None:
            return restarted
        started = started_ms or (self._driver.now() if restarted else 0.0)
        if started <= entry.started:
            return restarted
        kind = self._kinds[entry.kind]
        entry = replace(entry, started=started, free_cores=kind.cores, free_memory=kind.memory)
        self._entries[machine] = entry
        self._update_cold_until(entry)
        self._driver.push(i.MachineList(i.ListKind.DELTA, (self._visible_entry(entry),)))
        self._log("fresh_start", machine=machine)
        return True

    def on_machine_frame(self, machine: str) -> None:
        """Handle the arrival of any frame of the machine."""
        if self.pause_recovery.suspect_until is not None:
            self.pause_recovery.on_machine_message(machine)
            self._mark_changed(machine)

    def on_detached(self, machine: str) -> None:
        """Handle a broken stream: unwritten offers go to other machines, and this one gets none until it attaches again."""
        self._attached.discard(machine)
        self._attempts.drop_unwritten(machine)
        self._mark_changed(machine)
        entry = self._entries.get(machine)
        if entry is not None and entry.state is i.MachineState.GONE:
            self._remove_machine(machine)

    # What the scheduler sees

    def _reachable(self, entry: i.MachineEntry) -> bool:
        """Whether a ready machine can be offered anything now: it has a stream and is not suspect after a stall."""
        return entry.machine in self._attached and not self.pause_recovery.is_suspect(entry.machine, self.loop.now())

    def _visible_entry(self, entry: i.MachineEntry) -> i.MachineEntry:
        """The entry as the scheduler is to see it: a ready machine that cannot be offered anything is draining.

        An offer that waits for a stream spends a cold machine's allowance at another time than the scheduler assumes: two
        offers decided 1,500 ms apart were sent 1,488 ms apart, and a machine with an allowance of four got five.
        """
        hidden = entry.state is i.MachineState.READY and not self._reachable(entry)
        (self._hidden.add if hidden else self._hidden.discard)(entry.machine)
        return replace(entry, state=i.MachineState.DRAINING) if hidden else entry

    def _update_cold_until(self, entry: i.MachineEntry) -> None:
        if entry.started:
            self._attempts.cold_until[entry.machine] = entry.started + self._warm_after_ms
        else:
            self._attempts.cold_until.pop(entry.machine, None)

    def _mark_changed(self, machine: str) -> None:
        self._changed[machine] = None
        self._driver.schedule_batch()

    def _mark_all_changed(self) -> None:
        self._changed.update(dict.fromkeys(self._entries))
        self._driver.schedule_batch()

    def publish_changes(self) -> None:
        """Send the scheduler what has changed about machines; runs ahead of each batch."""
        if not self._changed:
            return
        changed, self._changed = self._changed, {}
        updates = []
        for machine in changed:
            entry = self._entries.get(machine)
            if entry is None or entry.state is not i.MachineState.READY:
                continue
            was_hidden = machine in self._hidden
            visible = self._visible_entry(entry)
            if was_hidden is not (machine in self._hidden):
                updates.append(visible)
            suspect = self.pause_recovery.is_suspect(machine, self.loop.now())
            if suspect is not (machine in self._attempts.closed_machines):
                self._attempts.set_closed(machine, suspect)
        if updates:
            self._driver.push(i.MachineList(i.ListKind.DELTA, tuple(updates)))

    # Stalls of this process

    def on_pause(self, length_ms: float) -> None:
        """Handle a stall: the loop has not polled its sockets for ``length_ms``."""
        if self.pause_recovery.on_pause(self.loop.now(), length_ms):
            self._log("paused", for_ms=round(length_ms))
            self.loop.call_later(
                self.pause_recovery.suspect_until - self.loop.now() if self.pause_recovery.suspect_until else 0.0,
                self._mark_all_changed,
            )
            self._mark_all_changed()
