"""Which machines take work now: the list, the machines' own word on their lives, and what a pause has put in doubt."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from sprucepost import interface as i
from sprucepost.loop import Loop
from sprucepost.placing.attempts import Attempts
from sprucepost.placing.desk import Desk
from sprucepost.placing.late import LateWords
from sprucepost.placing.ports import MachinesPort
from sprucepost.placing.wake import Wake
from sprucepost.settings import Cluster


class Roster:
    """``machines`` is set by whoever puts the parts together."""

    machines: MachinesPort

    def __init__(
        self,
        loop: Loop,
        desk: Desk,
        attempts: Attempts,
        late: LateWords,
        cluster: Cluster,
        log: Callable[..., None],
    ) -> None:
        self.loop, self._desk, self._attempts, self._late, self._log = loop, desk, attempts, late, log
        self._kinds = cluster.kinds
        self._entries: dict[str, i.MachineEntry] = {}
        self._doubted: set[str] = set()  # machines that the module believes to drain because of a pause
        self.wake = Wake(cluster.drain_grace_ms, cluster.list_ask_every_ms)
        self.listed = False  # a list has arrived
        self.on_listed: Callable[[], None] = lambda: None
        desk.before = self.settle

    # The list

    def on_list(self, change: i.MachineList) -> None:
        """What the list says goes to the module; streams learn which machines take nothing new."""
        if change.kind is i.ListKind.FAILED:
            self.wake.list_failed()
        else:
            named = {entry.machine for entry in change.entries}
            if change.kind is i.ListKind.FULL:
                for machine in sorted(self._entries.keys() - named):
                    self._see(replace(self._entries[machine], state=i.MachineState.GONE))
            for entry in change.entries:
                self._see(entry)
            if not self.listed:
                self.listed = True
                self.on_listed()
        self._desk.push(change)

    def beat(self) -> None:
        """The list has spoken, whatever it said: its stream is whole, so nothing it told before has been missed."""
        self.wake.list_spoke()
        if self._doubted:
            self._desk.wake()

    def _see(self, entry: i.MachineEntry) -> None:
        machine, before = entry.machine, self._entries.get(entry.machine)
        self._entries[machine] = entry
        self._doubted.discard(machine)  # the module hears this entry, whatever it believed
        if before is None or before.state is not entry.state:
            self._attempts.close(machine, entry.state is not i.MachineState.READY)
        if entry.state is i.MachineState.GONE:
            link = self.machines.get(machine)
            if link is None or not link.attached:
                self._bury(machine)

    def _bury(self, machine: str) -> None:
        """Gone from the list and without a stream: what it held is lost."""
        self._entries.pop(machine, None)
        self.machines.gone(machine)
        self._attempts.buried(machine)
        self._attempts.closed.discard(machine)
        self._late.not_held(machine)

    # The machines themselves

    def attached(self, machine: str, started_ms: float, new_life: bool) -> bool:
        """The machine has attached; whether it has started anew since the list last told of it.

        Another life is a fresh start, cold and empty, and the machine says so before any list can: without this word a
        late list had placers offer to it as to a warm one.
        """
        self.wake.machine_spoke(machine)
        entry = self._entries.get(machine)
        if entry is None:
            return new_life
        started = started_ms or (self._desk.now() if new_life else 0.0)
        if started <= entry.started:
            return new_life
        kind = self._kinds[entry.kind]
        entry = replace(entry, started=started, free_cores=kind.cores, free_memory=kind.memory)
        self._entries[machine] = entry
        if machine not in self._doubted:
            self._desk.push(i.MachineList(i.ListKind.DELTA, (entry,)))
        self._log("fresh_start", machine=machine)
        return True

    def detached(self, machine: str) -> None:
        entry = self._entries.get(machine)
        if entry is not None and entry.state is i.MachineState.GONE:
            self._bury(machine)

    # A pause of this process

    def paused(self, length_ms: float) -> None:
        """The loop had not looked at its sockets for so long."""
        if self.wake.paused(self.loop.now(), length_ms):
            self._log("paused", for_ms=round(length_ms))
            self.loop.call_later(self.wake.until - self.loop.now() if self.wake.until else 0.0, self._desk.wake)
            self._desk.wake()

    def settle(self) -> None:
        """Before the module decides: what is in doubt after a pause counts as draining, until it is not."""
        if self.wake.until is None and not self._doubted:
            return
        now, changed = self.loop.now(), []
        for machine, entry in self._entries.items():
            doubted = entry.state is i.MachineState.READY and self.wake.in_doubt(machine, now)
            if doubted is not (machine in self._doubted):
                (self._doubted.add if doubted else self._doubted.discard)(machine)
                self._attempts.close(machine, doubted or entry.state is not i.MachineState.READY)
                changed.append(replace(entry, state=i.MachineState.DRAINING) if doubted else entry)
        if changed:
            self._desk.push(i.MachineList(i.ListKind.DELTA, tuple(changed)))
