"""The parts of a task's walk put together, and the wire's words led to the part that each is for.

Where a task goes is decided in ``sprucepost.scheduler`` alone; what the other parts do stands in ``sprucepost.placing``.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import replace

from sprucepost import interface as i
from sprucepost.admission import Admission
from sprucepost.loop import Loop
from sprucepost.membership import Generation
from sprucepost.placing.attempts import Attempts
from sprucepost.placing.fleet_driver import FleetSchedulerDriver
from sprucepost.placing.intake import Intake
from sprucepost.placing.late_messages import LateMessages
from sprucepost.placing.ledger import Entry, Ledger
from sprucepost.placing.outcome_reporter import SETTLED_RETENTION_MS, OutcomeReporter
from sprucepost.placing.ports import Key, MachinesPort, OwnersPort, SessionPort
from sprucepost.placing.roster import Roster
from sprucepost.placing.task_catalog import TaskCatalog
from sprucepost.settings import Cluster, PlacerOptions
from sprucepost.v1 import machine_pb2
from sprucepost.v1 import placer_pb2 as pb

LEAST_RETRY_MS = 200.0  # an owner that is turned away is told to wait for up to so long at the least


def _most_retry_ms(cluster: Cluster) -> float:
    return max(LEAST_RETRY_MS, cluster.max_retry_after_ms)


class Engine:
    """One placer without its sockets; :meth:`connect` gives it those."""

    def __init__(
        self,
        loop: Loop,
        cluster: Cluster,
        options: PlacerOptions,
        ask_list: Callable[[], None],
        log: Callable[..., None],
        generation: Generation,
    ) -> None:
        self.loop = loop
        self.counters: Counter[str] = Counter()
        self.ledger = Ledger()
        limits = options.limits
        self.admission: Admission[Entry] = Admission(
            loop.now(),
            limits.open_tasks,
            min(cls.aim_ms for cls in cluster.classes),
            limits.lag_ms,
            _most_retry_ms(cluster),
        )
        seed = options.seed if options.seed is not None else int.from_bytes(loop.token(8), "big")
        settings = cluster.to_interface(options.number, options.instances, options.zone, options.answer_margin_ms)
        self._options = options
        self.task_catalog = catalog = TaskCatalog(cluster)
        margin = options.answer_margin_ms
        self.driver = FleetSchedulerDriver(
            loop,
            settings,
            seed,
            options.clock_slew,
            cluster.max_clock_skew_ms,
            generation,
            ask_list,
            log,
            self.counters,
        )
        self.reporter = OutcomeReporter(self.driver, self.ledger, cluster, self.admission, self.counters)
        self.attempts = Attempts(loop, self.driver, self.reporter, margin, self.counters)
        self.late_messages = LateMessages(
            loop, self.driver, self.ledger, self.reporter, self.attempts, catalog, log, self.counters
        )
        self.intake = Intake(
            loop, self.driver, self.ledger, self.reporter, self.attempts, catalog, self.admission, margin, self.counters
        )
        self.roster = Roster(loop, self.driver, self.attempts, self.late_messages, cluster, log)
        self.driver.on_action, self.driver.before_batch = self._carry, self._before
        self.on_change: Callable[[], None] = lambda: None  # something that the daemon's state depends on
        self.reporter.on_settled = lambda: self.on_change() if self.intake.leaving else None
        self.roster.on_listed = lambda: self.on_change()

    def connect(self, owners: OwnersPort, links: MachinesPort) -> None:
        """The streams to owners and machines."""
        self.reporter.owners = owners
        self.attempts.machines = self.late_messages.machines = self.roster.machines = links

    def start(self) -> None:
        """Begin; the seat is known before any list is."""
        self.driver.update_slot()
        self.loop.on_stall(self.roster.pause_recovery.min_pause_ms, self.roster.on_pause)
        self.loop.call_later(SETTLED_RETENTION_MS / 2, self._tidy)

    def _tidy(self) -> None:
        self.loop.call_later(SETTLED_RETENTION_MS / 2, self._tidy)
        self.reporter.purge_settled()
        self.late_messages.purge()

    def set_options(self, options: PlacerOptions) -> None:
        """Other options, from a reload: the bound on open tasks moves with them."""
        self.admission.set_max_open(options.limits.open_tasks)

    def set_cluster(self, cluster: Cluster) -> None:
        """Other values of the deployment's changeable keys (``settings.running``), from the next decision on. Not to be
        called while the module decides. Tasks that it has keep their class as it was."""
        options = self._options
        new = cluster.to_interface(options.number, options.instances, options.zone, options.answer_margin_ms)
        self.driver.scheduler.settings = replace(
            self.driver.scheduler.settings,
            classes=new.classes,
            tenants=new.tenants,
            max_attempts=new.max_attempts,
            over_share_worth=new.over_share_worth,
            max_retry_after=new.max_retry_after,
        )
        self.task_catalog.set_worth(cluster)
        self.admission.max_retry_ms = _most_retry_ms(cluster)

    def _before(self) -> None:
        """Ahead of each batch for the module: what has changed about machines, and the asks whose turn it is."""
        self.roster.publish_changes()
        self.intake.dequeue_tasks()

    def _carry(self, action: i.Offer | i.Refuse | i.Fail) -> None:
        if isinstance(action, i.Offer):
            self.attempts.offer(action)
        else:
            self.reporter.on_decision(action)

    # Owners

    def on_owner_frame(self, session: SessionPort, frame: pb.OwnerFrame) -> None:
        """A new frame of an owner."""
        kind = frame.WhichOneof("body")
        if kind == "submit":
            self.intake.submit(session, frame.task, frame.submit)
        elif kind == "cancel":
            self.intake.cancel(session, frame.task)
        elif kind == "hand_over":
            self.late_messages.hand_over(session, frame.task, frame.hand_over)

    # Machines

    def on_machine_attached(self, machine: str, hello: machine_pb2.Attached, new_life: bool) -> None:
        """A machine attached with a new session: what it is and holds, against what we thought."""
        fresh = self.roster.on_attached(machine, hello.started_ms, new_life)
        incarnation = self.attempts.machines.incarnation
        mine = {(held.request, held.attempt): held.running for held in hello.held if held.incarnation == incarnation}
        known = {key for key, _ in self.attempts.on_machine(machine)}
        self.attempts.on_attached(machine, mine, fresh)
        for held in hello.held:
            if held.incarnation != incarnation or (held.request, held.attempt) not in known:
                self.late_messages.on_held(machine, held)
        self.late_messages.fail_missing_hand_overs(machine)  # what it holds has been named by now

    def on_machine_resumed(self, machine: str, hello: machine_pb2.Attached) -> None:
        """The session goes on, and its frames tell the rest. But an answer may be lost within the machine, before it
        became a frame: a task that the machine names, and whose offer still waits, is accepted."""
        self.roster.on_attached(machine, hello.started_ms, False)
        for held in hello.held:
            key = (held.request, held.attempt)
            out = self.attempts.get(key)
            if held.incarnation == self.attempts.machines.incarnation and out is not None and not out.accepted:
                self.attempts.accept(key, out)

    def on_machine_detached(self, machine: str) -> None:
        self.roster.on_detached(machine)

    def on_machine_frame(self, machine: str, frame: machine_pb2.FromMachine) -> None:
        """A new frame of a machine about one attempt."""
        self.roster.on_machine_frame(machine)
        key = (frame.request, frame.attempt)
        out, kind = self.attempts.get(key), frame.WhichOneof("body")
        if out is not None and out.machine == machine:  # else another machine's word on what is not its own
            self.attempts.on_frame(key, out, frame)
        elif kind == "accepted":
            self.late_messages.on_accepted(machine, frame)

    def build_offer(self, key: Key, life: int) -> machine_pb2.Offer | None:
        return self.attempts.build_offer(key, life)

    # The list

    def on_list_update(self, told_ms: float) -> None:
        """An update of the list has come, with the list's own time."""
        self.driver.check_list_time(told_ms)
        self.roster.on_list_heartbeat()
