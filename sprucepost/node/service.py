"""One placer on the platform: what it is made of, its signals, its start and its stop.

SIGHUP reads the configuration again: another bulletin's address is used from then on, and everything else stays as it was
at the start; a file that cannot be used is refused in one line. SIGTERM: set-ups are placed as before while the platform
may still send some, then those that come are refused; the process ends when all that it had taken is answered, and what was
written has gone out. Standing tasks run on.

========= ==================== ============================ =====================================================
state     until                set-ups                      then
========= ==================== ============================ =====================================================
serving   SIGTERM              placed
leaving   ``SHUTDOWN_ADMIT_MS`` later   placed; tests fail           the backlog is taken, and no connection after it
refusing  all is answered and  refused                      what is still open has failed
          ``TICK_MS``, or time
          is up
ended     all connections      not read: sent again         the process ends
          ended, by
          ``LINGER_MS``
========= ==================== ============================ =====================================================
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
from sprucepost.loop.epoll import EpollLoop, insist
from sprucepost.node import parsing
from sprucepost.node.bulletin import Bulletin, Told
from sprucepost.node.config import Config, ConfigError, ConfigUnavailable, read
from sprucepost.node.descriptors import Descriptors, usable
from sprucepost.node.feed import BODY_PART, Feed
from sprucepost.node.framing import Malformed
from sprucepost.node.hosts import Hosts
from sprucepost.node.log import Log, Output
from sprucepost.node.owners import Owners
from sprucepost.node.start_times import StartTimes
from sprucepost.node.tasks import Tasks
from sprucepost.placing.desk import Desk

SIGNALS = (signal.SIGHUP, signal.SIGTERM)
TICK_MS = 250.0  # between looks at connections and hosts
COUNTS_MS = 10_000.0  # between lines with the counters
# After SIGTERM the platform still sends set-ups for 0.6 s; the rest is slack.
SHUTDOWN_ADMIT_MS = 700.0
LONGEST_MS = 3000.0  # a process that ends may be killed the longest deadline after that, which counts as this at most
SPARE_MS = 60.0  # before it may be killed: what came at the end of SHUTDOWN_ADMIT_MS has had its time by then
SLEW = 0.05  # share of its own time by which the aligned clock follows a step of the system's


class Service:
    """A running placer."""

    def __init__(self, loop: Loop, scope: Scope, environment: Mapping[str, str], config: Config, log: Log) -> None:
        self.loop, self._environment, self.config, self.log = loop, environment, config, log
        self.counters: Counter[str] = Counter()
        settings = config.settings
        self.desk = Desk(loop, settings, config.seed, SLEW, lambda: self.feed.start(), log, self.counters)
        self.tasks = Tasks(
            loop,
            self.desk,
            settings,
            lambda text: parsing.parse_load_report(text, config.report_names, config.report_fields),
            self.counters,
        )
        sockets = usable(config.limits.sockets)
        self.descriptors = Descriptors(sockets, lambda: len(self.owners.links) + self.hosts.connections)
        self.start_times = StartTimes(loop, self.desk.now)
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
        body_most = int(config.limits.memory_mb * 1024 * 1024) // BODY_PART
        self.feed = Feed(
            loop, scope, bulletin, config.bulletin, config.connect_ms, body_most, self._told, log, self.counters
        )
        self.owners = Owners(
            loop,
            insist(lambda: loop.listen(config.listen)),
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
        self.owners.free_other_connection = self.hosts.make_room
        self.finished = False  # all is answered, or time is up
        self._began = loop.now()
        self._finish_event: Queue[None] = Queue(1)
        self._due = 0.0  # when the counters are written next

    def start(self) -> None:
        """Take what the configuration knows; the first batch follows at this turn's end."""
        if self.config.known is not None:
            try:
                told = self.feed.bulletin.take(self.config.known)
            except Malformed as error:
                self.log("known_unreadable", why=str(error))
            else:
                if told is not None:
                    self._told(told)
        self.desk.wake()
        self.feed.start()  # whether the settings say that the list is pushed or asked for: the bulletin wants to be asked
        self.log("ready", listen=self.config.listen, hosts=len(self.hosts.hosts), pid=os.getpid())

    def _told(self, told: Told) -> None:
        for fault in told.faults:
            self.log("bulletin_unreadable", why=fault)
        moved = self.start_times.hear(told.list, self.feed.heard_at or self._began)
        self.hosts.see(told)
        self.desk.push(self.start_times.dated(told.list))
        if moved:
            self.counters["starts_moved"] += 1
            known = tuple(entry for entry in self.feed.bulletin.entries.values() if entry.started)
            self.desk.push(self.start_times.dated(i.MachineList(i.ListKind.DELTA, known)))
        self.counters["lists"] += 1

    def run(self) -> Co[int]:
        """Until SIGTERM has been served; the exit status."""
        self.start()
        self._due = self.loop.now() + COUNTS_MS
        self.loop.call_later(TICK_MS, self._tick)
        with contextlib.suppress(Closed):
            yield from self._finish_event.get()
        self.tasks.fail_open_tasks()
        yield from self.owners.close_connections()
        self.log_counters()
        self.log("end")
        return 0

    def _tick(self) -> None:
        self.loop.call_later(TICK_MS, self._tick)
        self.hosts.tick()
        self.owners.tick()
        self.tasks.expire_records()
        if self.loop.now() >= self._due:
            self._due = self.loop.now() + COUNTS_MS
            self.log_counters()

    def log_counters(self) -> None:
        """What there is now, and what has happened so far."""
        scheduler = self.desk.scheduler
        self.log(
            "counts",
            open=self.tasks.ledger.open,
            known=len(self.tasks.ledger),
            standing=sum(map(len, self.tasks.placed.values())),
            owner_links=len(self.owners.links),
            owner_links_waiting=sum(bool(link.open) for link in self.owners.links),
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
        """SIGHUP."""
        try:
            config = read(self._environment)
        except ConfigUnavailable as error:
            self.log("reload_delayed", why=str(error))
            self.loop.call_later(TICK_MS, self.reload)
            return
        except ConfigError as error:
            self.log("reload_refused", why=str(error))
            return
        self.log("reloaded", bulletin=config.bulletin)
        self.feed.move(config.bulletin)

    def begin_shutdown(self) -> None:
        """SIGTERM."""
        if self.owners.fails_health_checks:
            return
        self.owners.fails_health_checks = True
        longest = min(LONGEST_MS, max(cls.deadline for cls in self.config.settings.classes))
        self.log("leaving", open=self.tasks.ledger.open)
        self.loop.call_later(SHUTDOWN_ADMIT_MS, self._refuse_set_ups)
        self.loop.call_later(longest + SHUTDOWN_ADMIT_MS - SPARE_MS, self._finish)

    def _refuse_set_ups(self) -> None:
        self.owners.refuses_set_ups = True
        self.owners.stop_listening()
        self.tasks.on_settled = self._look
        self._look()

    def _look(self) -> None:
        if not self.tasks.ledger.open:
            self.loop.call_later(TICK_MS, self._finish)

    def _finish(self) -> None:
        self.finished = True
        self._finish_event.close()


def serve(loop: Loop, scope: Scope, environment: Mapping[str, str], config: Config, log: Log) -> Co[int]:
    """A placer's whole life."""
    service = Service(loop, scope, environment, config, log)
    insist(lambda: loop.on_signal(signal.SIGHUP, service.reload))
    insist(lambda: loop.on_signal(signal.SIGTERM, service.begin_shutdown))
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
    status = yield from service.run()
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)  # Python gives its handlers up before the process has ended
    scope.cancel()
    return status


def main() -> int:
    """Run a placer until it is told to stop; one line and status 2 where it cannot start."""
    # A signal that comes before there is somebody to take it waits: SIGHUP would end the process, or name a bulletin's
    # address in a file that has been read already.
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    # Ignored until here, where ``run`` of the deploy file says so, since the file had not been read; from now on it waits.
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    try:
        config = insist(lambda: read(os.environ), ConfigUnavailable)
        loop = insist(lambda: EpollLoop(config.seed))
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
    gc.freeze()  # what start-up made stays: the collector need not look at it again
    try:
        return loop.run(lambda: in_scope(lambda scope: serve(loop, scope, os.environ, config, log)))
    except OSError as error:
        print(f"sprucepost: {error}", file=sys.stderr)
        return 1
    finally:
        output.flush()
        loop.close()
