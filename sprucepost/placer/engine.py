"""Connects the parts on a task's path, and passes messages of the wire to the part that each is for.

``sprucepost.scheduler`` alone decides where a task goes; the other parts are in ``sprucepost.placing``.
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

MIN_RETRY_LIMIT_MS = 200.0  # the limit on retry delays for refused owners is at least this


def _retry_limit_ms(cluster: Cluster) -> float:
    return max(MIN_RETRY_LIMIT_MS, cluster.max_retry_after_ms)


class Engine:
    """One placer without its sockets; :meth:`connect` provides those.

    ``request_list`` starts a watch on the list, ``log`` writes a log event.
    """

    def __init__(
        self,
        loop: Loop,
        cluster: Cluster,
        options: PlacerOptions,
        request_list: Callable[[], None],
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
            _retry_limit_ms(cluster),
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
            request_list,
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
        self.driver.on_action, self.driver.before_batch = self._execute, self._prepare_batch
        self.on_conditions_changed: Callable[[], None] = lambda: None  # of the daemon's state
        self.reporter.on_settled = lambda: self.on_conditions_changed() if self.intake.leaving else None
        self.roster.on_listed = lambda: self.on_conditions_changed()

    def connect(self, owners: OwnersPort, links: MachinesPort) -> None:
        """Set the streams to owners and machines."""
        self.reporter.owners = owners
        self.attempts.machines = self.late_messages.machines = self.roster.machines = links

    def start(self) -> None:
        """Start. The scheduler learns its slot before the first list arrives."""
        self.driver.update_slot()
        self.loop.on_stall(self.roster.pause_recovery.min_pause_ms, self.roster.on_pause)
        self.loop.call_later(SETTLED_RETENTION_MS / 2, self._purge_expired)

    def _purge_expired(self) -> None:
        self.loop.call_later(SETTLED_RETENTION_MS / 2, self._purge_expired)
        self.reporter.purge_settled()
        self.late_messages.purge()

    def set_options(self, options: PlacerOptions) -> None:
        """Apply reloaded options: the limit on open tasks changes with them."""
        self.admission.set_max_open(options.limits.open_tasks)

    def set_cluster(self, cluster: Cluster) -> None:
        """Apply other values of the deployment's changeable keys (``settings.running``), from the next decision on.

        Must not be called while the scheduler is deciding. Tasks that it already has keep their class as it was.
        """
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
        self.admission.max_retry_ms = _retry_limit_ms(cluster)

    def _prepare_batch(self) -> None:
        """Add changes of machines and the queued requests that are due to each batch of events for the scheduler."""
        self.roster.publish_changes()
        self.intake.dequeue_tasks()

    def _execute(self, action: i.Offer | i.Refuse | i.Fail) -> None:
        if isinstance(action, i.Offer):
            self.attempts.offer(action)
        else:
            self.reporter.on_decision(action)

    # Owners.

    def on_owner_frame(self, session: SessionPort, frame: pb.OwnerFrame) -> None:
        """Handle a new frame of an owner."""
        kind = frame.WhichOneof("body")
        if kind == "submit":
            self.intake.submit(session, frame.task, frame.submit)
        elif kind == "cancel":
            self.intake.cancel(session, frame.task)
        elif kind == "hand_over":
            self.late_messages.hand_over(session, frame.task, frame.hand_over)

    # Machines.

    def on_machine_attached(self, machine: str, hello: machine_pb2.Attached, is_new_incarnation: bool) -> None:
        """Handle a machine that attached with a new session: compare the tasks that it names with known attempts."""
        restarted = self.roster.on_attached(machine, hello.started_ms, is_new_incarnation)
        incarnation = self.attempts.machines.incarnation
        own_attempts = {
            (held.request, held.attempt): held.running for held in hello.held if held.incarnation == incarnation
        }
        held_of_others = {held.name for held in hello.held if held.incarnation != incarnation}
        known = {key for key, _ in self.attempts.on_machine(machine)}
        self.attempts.on_attached(machine, own_attempts, held_of_others, restarted)
        for held in hello.held:
            if held.incarnation != incarnation or (held.request, held.attempt) not in known:
                self.late_messages.on_held(machine, held)
        self.late_messages.fail_missing_hand_overs(machine)  # the machine has named all its tasks

    def on_machine_resumed(self, machine: str, hello: machine_pb2.Attached) -> None:
        """Handle a machine that resumed its session, whose frames report everything else.

        An answer may have been lost inside the machine before it became a frame: a task that the machine names while
        its offer still waits for an answer counts as accepted.
        """
        self.roster.on_attached(machine, hello.started_ms, False)
        for held in hello.held:
            key = (held.request, held.attempt)
            attempt = self.attempts.get(key)
            if held.incarnation == self.attempts.machines.incarnation and attempt is not None and not attempt.accepted:
                self.attempts.accept(key, attempt)

    def on_machine_detached(self, machine: str) -> None:
        """Handle the end of a machine's stream."""
        self.roster.on_detached(machine)

    def on_machine_frame(self, machine: str, frame: machine_pb2.FromMachine) -> None:
        """Handle a new frame of a machine about one attempt."""
        self.roster.on_machine_frame(machine)
        key = (frame.request, frame.attempt)
        attempt, kind = self.attempts.get(key), frame.WhichOneof("body")
        if attempt is not None and attempt.machine == machine:  # else the frame is about another machine's attempt
            self.attempts.on_frame(key, attempt, frame)
        elif kind == "accepted":
            self.late_messages.on_accepted(machine, frame)

    def build_offer(self, key: Key, incarnation: int) -> machine_pb2.Offer | None:
        """Return the offer as it may be sent now to that incarnation of its machine, or None if it must not be sent."""
        return self.attempts.build_offer(key, incarnation)

    # The list of machines.

    def on_list_update(self, list_ms: float) -> None:
        """Handle an update of the list, sent at the list's own time ``list_ms``."""
        self.driver.check_list_time(list_ms)
        self.roster.on_list_heartbeat()
