"""One placer process on the platform: its components, signals, start and shutdown.

SIGHUP reloads the configuration: a new address of the bulletin is used from then on, and everything else stays as it was at
the start; a file that cannot be used is rejected with one log line. SIGTERM shuts down: set-ups are placed as before while
the platform may still send some, and are refused after that; the process ends when every admitted set-up has been answered
and all output has been sent. Placed tasks keep running.

========= ========================= ================================= ================================================
state     until                     set-ups                           then
========= ========================= ================================= ================================================
serving   SIGTERM                   placed
leaving   ``SHUTDOWN_ADMIT_MS``     placed; health checks fail        the listen backlog is accepted, and no
          later                                                       connection after it
refusing  ``TICK_MS`` after all     refused                           open tasks fail
          are answered, or the
          time limit
ended     all connections are       not read; owners send them again  the process ends
          closed, within
          ``LINGER_MS``
========= ========================= ================================= ================================================
"""

from __future__ import annotations

import contextlib
import gc
import os
import signal
import sys
from collections import Counter
from collections.abc import Mapping

from sprucepost import interface as i
from sprucepost.loop import Closed, Co, Loop, Queue, Scope, in_scope
from sprucepost.loop.epoll import EpollLoop, retry_on_startup
from sprucepost.node import parsing
from sprucepost.node.bulletin import Bulletin, ListUpdate
from sprucepost.node.client_shares import max_handed_over_tasks
from sprucepost.node.config import Config, ConfigError, ConfigUnavailable, read_config
from sprucepost.node.descriptors import Descriptors, descriptor_limit
from sprucepost.node.feed import BODY_MEMORY_DIVISOR, Feed
from sprucepost.node.framing import Malformed
from sprucepost.node.hosts import Hosts
from sprucepost.node.log import Log, Output
from sprucepost.node.owners import Owners
from sprucepost.node.start_times import StartTimes
from sprucepost.node.tasks import Tasks
from sprucepost.placing.scheduler_driver import SchedulerDriver

SIGNALS = (signal.SIGHUP, signal.SIGTERM)
TICK_MS = 250.0  # interval of the periodic checks on connections and hosts
COUNTERS_INTERVAL_MS = 10_000.0  # between log lines with the counters
# After SIGTERM the platform still sends set-ups for 0.6 s; the rest is slack.
SHUTDOWN_ADMIT_MS = 700.0
# A process that ends may be killed the longest task deadline after that, which counts as this at most.
MAX_SHUTDOWN_DEADLINE_MS = 3000.0
# The process ends this long before it may be killed; set-ups that came at the end of SHUTDOWN_ADMIT_MS have had their time
# by then.
SHUTDOWN_MARGIN_MS = 60.0
CLOCK_SLEW = 0.05  # rate at which the aligned clock follows a step of the system's clock, as a share of elapsed time


class Service:
    """A running placer."""

    def __init__(self, loop: Loop, scope: Scope, environment: Mapping[str, str], config: Config, log: Log) -> None:
        self.loop, self._environment, self.config, self.log = loop, environment, config, log
        self.counters: Counter[str] = Counter()
        settings = config.settings
        self.driver = SchedulerDriver(
            loop, settings, config.seed, CLOCK_SLEW, lambda: self.feed.start(), log, self.counters
        )
        self.tasks = Tasks(
            loop,
            self.driver,
            settings,
            lambda text: parsing.parse_load_report(text, config.report_names, config.report_fields),
            self.counters,
            max_handed_over_tasks(config.limits.memory_mb * 1024 * 1024),
        )
        sockets = descriptor_limit(config.limits.sockets)
        self.descriptors = Descriptors(sockets, lambda: len(self.owners.links) + self.hosts.connections)
        self.start_times = StartTimes(loop, self.driver.now)
        self.hosts = Hosts(
            loop,
            scope,
            self.tasks,
            self.descriptors,
            self.start_times,
            config.connect_ms,
            config.idle_ms,
            log,
            self.counters,
        )
        bulletin = Bulletin(settings.zones, settings.kinds)
        max_body_bytes = int(config.limits.memory_mb * 1024 * 1024) // BODY_MEMORY_DIVISOR
        self.feed = Feed(
            loop,
            scope,
            bulletin,
            config.bulletin,
            config.connect_ms,
            max_body_bytes,
            self._on_bulletin,
            log,
            self.counters,
        )
        self.owners = Owners(
            loop,
            retry_on_startup(lambda: loop.listen(config.listen)),
            self.tasks,
            parsing.SetUpParser(settings),
            self.descriptors,
            sockets // 2,
            max(64, int(config.limits.memory_mb * 8)),
            config.idle_ms,
            log,
            self.counters,
        )
        self.tasks.owners, self.tasks.hosts, self.tasks.trace = self.owners, self.hosts, log.task
        self.owners.free_other_connection = self.hosts.close_idle_connection
        self.finished = False  # all set-ups are answered, or the time limit has passed
        self._started_at = loop.now()
        self._finish_event: Queue[None] = Queue(1)
        self._counters_due = 0.0  # when the counters are logged next, in ms of the loop's clock

    def start(self) -> None:
        """Load the hosts known from the configuration; the first batch follows at the end of this turn of the loop."""
        if self.config.known is not None:
            try:
                update = self.feed.bulletin.apply(self.config.known)
            except Malformed as error:
                self.log("known_unreadable", why=str(error))
            else:
                if update is not None:
                    self._on_bulletin(update)
        self.driver.schedule_batch()
        self.feed.start()  # whatever the settings' list mode: the bulletin must be polled
        self.log("ready", listen=self.config.listen, hosts=len(self.hosts.hosts), pid=os.getpid())

    def _on_bulletin(self, update: ListUpdate) -> None:
        for fault in update.faults:
            self.log("bulletin_unreadable", why=fault)
        starts_moved = self.start_times.learn(update.list, self.feed.last_answer_at or self._started_at)
        self.hosts.apply_list(update)
        self.driver.push(self.start_times.with_aligned_starts(update.list))
        if starts_moved:
            self.counters["starts_moved"] += 1
            known = tuple(entry for entry in self.feed.bulletin.entries.values() if entry.started)
            self.driver.push(self.start_times.with_aligned_starts(i.MachineList(i.ListKind.DELTA, known)))
        self.counters["lists"] += 1

    def run(self) -> Co[int]:
        """Run until the shutdown is complete; return the exit status."""
        self.start()
        self._counters_due = self.loop.now() + COUNTERS_INTERVAL_MS
        self.loop.call_later(TICK_MS, self._run_periodic)
        with contextlib.suppress(Closed):
            yield from self._finish_event.get()
        self.tasks.fail_open_tasks()
        yield from self.owners.close_connections()
        self.log_counters()
        self.log("end")
        return 0

    def _run_periodic(self) -> None:
        self.loop.call_later(TICK_MS, self._run_periodic)
        self.hosts.tick()
        self.owners.tick()
        self.tasks.expire_records()
        if self.loop.now() >= self._counters_due:
            self._counters_due = self.loop.now() + COUNTERS_INTERVAL_MS
            self.log_counters()

    def log_counters(self) -> None:
        """Log the current sizes and the counters since the start."""
        scheduler = self.driver.scheduler
        in_doubt, oldest_doubt_ms = self.hosts.in_doubt()
        self.log(
            "counts",
            open=self.tasks.ledger.open,
            known=len(self.tasks.ledger),
            standing=sum(map(len, self.tasks.placed.values())),
            standing_oldest_ms=self.tasks.oldest_placed_ms(),
            standing_unlisted=sum(
                len(placed) for uid, placed in self.tasks.placed.items() if not self.hosts.is_listed(uid)
            ),
            in_doubt=in_doubt,
            in_doubt_oldest_ms=round(oldest_doubt_ms),
            owner_links=len(self.owners.links),
            owner_links_waiting=sum(bool(link.open) for link in self.owners.links),
            owner_link_states={state.value: number for state, number in self.owners.states().items()},
            releases_pending=self.owners.releases.pending,
            releases_oldest_ms=round(self.owners.releases.oldest_pending_ms()),
            host_links=sum(len(host.links) for host in self.hosts.hosts.values()),
            closing=self.descriptors.closing,
            accepts_failed=self.owners.accepts_failed,
            hosts=len(self.hosts.hosts),
            services=len(scheduler.services),
            machines=len(scheduler.machines),
            orders=len(scheduler.machine_orders),
            late_ms=round(self.loop.late_ms, 1),
            log_dropped=self.log.dropped(),
            **dict(sorted(self.counters.items())),
        )

    # Signals

    def reload(self) -> None:
        """Reload the configuration, on SIGHUP."""
        try:
            config = read_config(self._environment)
        except ConfigUnavailable as error:
            self.log("reload_delayed", why=str(error))
            self.loop.call_later(TICK_MS, self.reload)
            return
        except ConfigError as error:
            self.log("reload_refused", why=str(error))
            return
        self.log("reloaded", bulletin=config.bulletin)
        self.feed.change_address(config.bulletin)

    def begin_shutdown(self) -> None:
        """Begin the shutdown, on SIGTERM; repeated signals change nothing."""
        if self.owners.fails_health_checks:
            return
        self.owners.fails_health_checks = True
        longest_ms = min(MAX_SHUTDOWN_DEADLINE_MS, max(cls.deadline for cls in self.config.settings.classes))
        self.log("leaving", open=self.tasks.ledger.open)
        self.loop.call_later(SHUTDOWN_ADMIT_MS, self._refuse_set_ups)
        self.loop.call_later(longest_ms + SHUTDOWN_ADMIT_MS - SHUTDOWN_MARGIN_MS, self._finish)

    def _refuse_set_ups(self) -> None:
        self.owners.refuses_set_ups = True
        self.owners.stop_listening()
        self.tasks.on_settled = self._finish_when_settled
        self._finish_when_settled()

    def _finish_when_settled(self) -> None:
        if not self.tasks.ledger.open:
            self.loop.call_later(TICK_MS, self._finish)

    def _finish(self) -> None:
        self.finished = True
        self._finish_event.close()


def serve(loop: Loop, scope: Scope, environment: Mapping[str, str], config: Config, log: Log) -> Co[int]:
    """Run a placer from its start to its end; return the exit status."""
    service = Service(loop, scope, environment, config, log)
    retry_on_startup(lambda: loop.on_signal(signal.SIGHUP, service.reload))
    retry_on_startup(lambda: loop.on_signal(signal.SIGTERM, service.begin_shutdown))
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
    status = yield from service.run()
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)  # Python removes its handlers before the process has ended
    scope.cancel()
    return status


def main() -> int:
    """Run a placer until it is told to stop; return status 2 after one line on standard error if it cannot start."""
    # Signals stay blocked until their handlers are installed: SIGHUP would end the process, and one that announces a new
    # address of the bulletin must not be lost after the file has been read.
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    # The ``run`` command of the deploy file ignores SIGHUP, since the file had not been read; from now on it is pending.
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    try:
        config = retry_on_startup(lambda: read_config(os.environ), ConfigUnavailable)
        loop = retry_on_startup(lambda: EpollLoop(config.seed))
    except ConfigError as error:
        print(f"sprucepost: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"sprucepost: {error}", file=sys.stderr)
        return 1
    output = Output(sys.stdout.fileno())
    log = Log(loop, config.name, output.write, output.flush)
    log.dropped = lambda: output.dropped
    gc.collect()
    gc.freeze()  # objects made at start-up stay; the garbage collector need not scan them again
    try:
        return loop.run(lambda: in_scope(lambda scope: serve(loop, scope, os.environ, config, log)))
    except OSError as error:
        print(f"sprucepost: {error}", file=sys.stderr)
        return 1
    finally:
        output.flush()
        loop.close()
