"""The placer daemon: assembles its parts, starts, reloads its settings, and stops."""

from __future__ import annotations

from typing import Any

from msgspec import structs

from sprucepost.admission import SessionTable
from sprucepost.loop import Address, Co, Listener, Loop, Queue, Scope, Timer, sleep
from sprucepost.membership import Generation, Side
from sprucepost.peers import Peers
from sprucepost.placer.configuration import ConfigurationCallbacks, PlacerConfiguration
from sprucepost.placer.configuration_service import SERVICE as CONFIGURATION_SERVICE
from sprucepost.placer.configuration_service import ConfigurationService
from sprucepost.placer.discovery import DiscoveryWatch, WatchOptions
from sprucepost.placer.engine import Engine
from sprucepost.placer.fleet_membership import FleetMembership, MembershipCallbacks
from sprucepost.placer.lifecycle import Conditions, State, next_state
from sprucepost.placer.links import Links
from sprucepost.placer.log import Logs
from sprucepost.placer.notify import Notifier
from sprucepost.placer.owners import Owners
from sprucepost.placer.pages import pages
from sprucepost.settings import PlacerFile
from sprucepost.settings.reload import changed_keys, restart_required
from sprucepost.settings.running import settings_fingerprint
from sprucepost.view import Record
from sprucepost.view.messages import ViewChanged
from sprucepost.wire.connection import Options
from sprucepost.wire.health import NOT_SERVING, SERVING, Health
from sprucepost.wire.http1 import Http1Server
from sprucepost.wire.reflection import Reflection
from sprucepost.wire.server import Server
from sprucepost.wire.status import Code, RpcError

SERVICE = "sprucepost.v1.Placer"
PEER_SERVICE = "sprucepost.v1.Peer"
NUMBER_RETRY_MS = 3000.0  # after a machine reported the number as taken, until links attach again
NUMBER_FREE_MS = 1500.0  # after that; if no machine has objected by then, the number is free
DELIVERY_MS = 500.0  # at the end of a stop, for owners to read the last outcomes
VIEW_WAIT_MS = 500.0  # with a view, links wait for news of a predecessor before they attach to machines


def parse_address(text: str) -> Address:
    """Parse ``host:port``."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def format_address(address: Address) -> str:
    """Return ``host:port``, or the path of a Unix socket."""
    return address if isinstance(address, str) else f"{address[0]}:{address[1]}"


class Placer:
    """One placer in a scope. ``run`` returns after a stop was requested and all accepted tasks are settled."""

    def __init__(
        self, loop: Loop, scope: Scope, file: PlacerFile, logs: Logs, notifier: Notifier | None = None
    ) -> None:
        self.loop, self.scope, self.file, self.logs = loop, scope, file, logs
        options, cluster = file.placer, file.cluster
        # Ordered by time, so that machines can tell the newer of two; random low bits make each unique.
        self.incarnation = int(loop.wall()) << 16 | int.from_bytes(loop.token(2), "big")
        self.log = logs.log.bind(placer=options.number, incarnation=self.incarnation)
        self.engine = Engine(
            loop, cluster, options, lambda: self.discovery.start_watch(), self._log_info, file.generation()
        )
        self.owners = Owners(
            loop,
            options.number,
            self.incarnation,
            options.resume_ms,
            options.limits.unacknowledged,
            SessionTable(options.limits.sessions, min(options.limits.sessions, options.limits.sessions_per_peer)),
            self.engine.admission,
            self.engine.on_owner_frame,
        )
        self.links = Links(
            loop,
            scope,
            self.engine,
            options.number,
            self.incarnation,
            options.source,
            options.limits.dials,
            max(2 * options.answer_margin_ms, cluster.drain_grace_ms / 4),
            self._on_newer_incarnation,
            self._on_number_taken,
        )
        self.engine.connect(self.owners, self.links)
        self.discovery = DiscoveryWatch(
            loop,
            scope,
            WatchOptions(
                parse_address(options.list),
                options.source,
                options.number,
                tuple(cluster.zones),
                tuple(kind.name for kind in cluster.kinds),
            ),
            self.engine.roster.on_list,
            lambda machine, address: self._on_machine_address(machine, address),
            self.engine.on_list_update,
        )
        self.health = Health()
        self.configuration: PlacerConfiguration | None = None
        self.peers = self._make_peers()
        self.fleet_membership = self._make_fleet_membership()
        services = [SERVICE, "grpc.health.v1.Health"] + [PEER_SERVICE] * (self.peers is not None)
        services += [CONFIGURATION_SERVICE] * (self.configuration is not None)
        methods = {
            **self.owners.methods(),
            **self.health.methods(),
            **Reflection(services).methods(),
            **(self.peers.methods() if self.peers is not None else {}),
            **(ConfigurationService(loop, self.configuration).methods() if self.configuration is not None else {}),
        }
        limits = options.limits
        self.server = Server(
            loop,
            scope,
            methods,
            Options(max_message_bytes=limits.message_bytes, max_connections=limits.connections),
            lambda path, error: self.log.error("handler", path=path, error=f"{type(error).__name__}: {error}"),
        )
        self.notifier = notifier or Notifier(loop, {}, 0)
        self.state = State.STARTING
        self.number_taken = ""  # a machine's report that another process has this number
        self.number_shared = ""  # the same from the view
        self._retry_timer: Timer | None = None
        self._links_started = self.peers is None
        self.generation = file.generation()  # from the file, or a newer one from the fleet
        self.stop_requested = False
        self._stop_requests: Queue[None] = Queue(1)
        self.report: dict[str, Any] = {}
        self.slot_warning = ""  # the problem with the slot that holds this number, if any
        self._stop_by: float | None = None
        self._stop_now = self._state_update_scheduled = False
        self.grpc_address: Address = ""
        self.http: Http1Server | None = None

    def _make_peers(self) -> Peers | None:
        """Create the streams to other placers and the view of the fleet, if the settings ask for them."""
        options = self.file.placer.peers
        if options is None:
            return None
        number = self.file.placer.number
        record = Record(
            name=options.name or f"placer-{number}",
            incarnation=self.incarnation >> 16,
            life=self.loop.token(8).hex(),
            version=0,
            number=number,
            host=options.host or self.file.placer.listen.rpartition(":")[0],
            room=options.room or self.file.placer.zone,
            address=options.advertise,  # else set once the placer listens
            generation=self.file.generation(),
        )
        self.configuration = self._make_configuration(f"{record.name}/{record.life}")
        return Peers(
            self.loop,
            self.scope,
            record,
            options.cluster,
            settings_fingerprint(self.file.cluster),
            tuple(options.seeds),
            self.file.placer.source,
            self._on_view_changed,
            self._check_membership,
            lambda event, **more: self.log.debug(event, **more),
            self.configuration.transport if self.configuration is not None else None,
            self.configuration.validator.fixed_fingerprint if self.configuration is not None else "",
        )

    def _make_configuration(self, origin: str) -> PlacerConfiguration | None:
        """Create the deployment's configuration, if the settings ask for it."""
        peers = self.file.placer.peers
        if peers is None or peers.configuration is None:
            return None
        callbacks = ConfigurationCallbacks(
            apply=self.engine.set_cluster,
            info=self._log_info,
            warn=lambda event, **more: self.log.warning(event, **more),
        )
        return PlacerConfiguration(self.loop, self.file.cluster, peers.configuration, origin, callbacks)

    def _make_fleet_membership(self) -> FleetMembership | None:
        if self.peers is None:
            return None
        callbacks = MembershipCallbacks(
            generation_adopted=self._adopt_generation,
            resize_updated=self.engine.driver.set_fleet_view,
            number_shared=self._number_shared,
            incarnation_raised=self._on_incarnation_raised,
            others_seen=self._start_links,
        )
        return FleetMembership(self.loop, self.peers.view, self.engine.driver.now, callbacks)

    def _check_membership(self) -> None:
        if self.fleet_membership is not None:
            self.fleet_membership.check()

    def _on_view_changed(self, change: ViewChanged) -> None:
        view = self.peers.view if self.peers is not None else None
        digest = f"{view.digest:016x}" if view is not None else None
        self.log.info(
            "view", here=sorted(change.here), away=sorted(change.away), left=sorted(change.left), digest=digest
        )
        self.schedule_state_update()

    def _adopt_generation(self, generation: Generation) -> None:
        """Take over a generation that other placers run under."""
        self.log.info("generation", number=generation.number, size=generation.size, over_ms=generation.over_ms)
        self._set_generation(generation)

    def _set_generation(self, generation: Generation) -> None:
        """Run under a generation. A placer that already runs is on the old side; a rollback swaps the sides."""
        if generation.order == self.generation.order:
            side = self.engine.driver.side  # only the end of the change is new
        elif generation.previous is None:
            side = Side.NEW
        elif generation.rollback:
            side = Side.OLD if self.engine.driver.side is Side.NEW else Side.NEW
        else:
            side = Side.OLD
        self.generation = generation
        self.engine.driver.set_generation(generation, side)

    def _number_shared(self, text: str) -> None:
        """Handle the view's report that an older process has this number; an empty text means that none has."""
        if text == self.number_shared:
            return
        self.number_shared = text
        if text:
            self.log.error("number_shared", text=text)
            self.links.suspend(renounce=True)
        elif not self.number_taken:
            self.links.suspended = False
        self.schedule_state_update()

    def _start_links(self) -> None:
        """Let links attach: the view has told of any predecessor by now, or there is no other placer to tell of one."""
        if not self._links_started:
            self._links_started = True
            self.links.suspended = bool(self.number_taken or self.number_shared)

    def _on_incarnation_raised(self, incarnation: int) -> None:
        """Follow the view, which has raised this placer's incarnation above its predecessor's."""
        if not self._raise_incarnation((incarnation << 16) - 1):
            self.log.error("newer_incarnation", text=f"the view knows {incarnation - 1}")

    def _on_newer_incarnation(self, machine: str, text: str) -> None:
        """Handle a machine that knows a newer incarnation of this number; the text ends with it (docs/protocol.md)."""
        known = text.rpartition(" ")[2]
        if not known.isdecimal() or not self._raise_incarnation(int(known)):
            self.log.error("newer_incarnation", machine=machine, text=text)

    def _raise_incarnation(self, known: int) -> bool:
        """Raise the incarnation above ``known``, a predecessor's whose clock was ahead. False if it is too late.

        Once an offer is sent, machines know the tasks by this incarnation. Before that another incarnation loses
        nothing: tasks that owners have submitted so far are refused, and they open new sessions. Should the other
        process still run, machines will report it next.
        """
        if known < self.incarnation:
            return True
        if self.engine.counters["offers"]:
            return False
        self.engine.reporter.refuse_unattempted()
        for session in list(self.owners.sessions.values()):
            self.owners.end_session(session, RpcError(Code.ABORTED, "this placer begins anew"))
        self.incarnation = (known >> 16) + 1 << 16 | int.from_bytes(self.loop.token(2), "big")
        self.links.incarnation = self.owners.incarnation = self.incarnation
        self.log = self.log.bind(incarnation=self.incarnation)
        self.log.warning("incarnation_raised", known=known)
        if self.fleet_membership is not None and self.peers is not None:
            self.fleet_membership.incarnation = self.incarnation >> 16
            known_incarnation = self.peers.view.own_record.incarnation
            self.peers.view.update(incarnation=max(self.fleet_membership.incarnation, known_incarnation))
        return True

    def _log_info(self, event: str, **more: Any) -> None:
        self.log.info(event, **more)

    def _on_machine_address(self, machine: str, address: str) -> None:
        host, _, port = address.rpartition(":")
        if host and port.isdecimal():
            self.links.add(machine, (host, int(port)))
        else:
            self.log.warning("no_address", machine=machine, address=address)

    def list_age_ms(self) -> float:
        """Return the time since the latest update of the list; infinite before the first."""
        last_update_ms = self.discovery.last_update_ms
        return float("inf") if last_update_ms is None else self.loop.now() - last_update_ms

    def not_ready_reason(self) -> str:
        """Return why this placer accepts no tasks; empty when it is ready."""
        return next_state(self.state, self._conditions())[1]

    def start(self, listeners: dict[str, Listener] | None = None) -> None:
        """Bind the ports, or use the listeners that were passed, and start. OSError if a port cannot be bound."""
        passed = listeners or {}
        if "grpc" in passed or "0" in passed:
            self.grpc_address = self.server.serve(passed.get("grpc") or passed["0"])
        else:
            self.grpc_address = self.server.listen(parse_address(self.file.placer.listen))
        http = passed.get("http") or passed.get("1") or parse_address(self.file.placer.http)
        self.http = Http1Server(self.loop, http, pages(self))
        for service in ("", SERVICE):
            self.health.set(service, NOT_SERVING)
        self.engine.on_conditions_changed = self.schedule_state_update
        self.engine.start()
        if self.peers is not None:
            if not self.peers.view.own_record.address:
                self.peers.view.update(address=format_address(self.grpc_address))
            self.links.suspended = True
            self.loop.call_later(VIEW_WAIT_MS, self._start_links)
            self.peers.start()
        self._update_state()
        self.log.info("listening", address=format_address(self.grpc_address), http=format_address(self.http.address))

    def _on_number_taken(self, machine: str, text: str) -> None:
        """Handle a machine with a live stream of an older process of this number: the younger stops being ready."""
        if not self.number_taken:
            self.log.error("number_taken", machine=machine, text=text)
        self.number_taken = text
        self.links.suspend(renounce=True)
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        self._retry_timer = self.loop.call_later(NUMBER_RETRY_MS, self._retry_number)
        self.schedule_state_update()

    def _retry_number(self) -> None:
        self.links.suspended = bool(self.number_shared)
        self._retry_timer = self.loop.call_later(NUMBER_FREE_MS, self._clear_conflict)

    def _clear_conflict(self) -> None:
        """No machine has objected in the meantime: the number belongs to this placer."""
        self._retry_timer, self.number_taken = None, ""
        self.schedule_state_update()

    # Lifecycle.

    def _conditions(self) -> Conditions:
        return Conditions(
            listening=self.http is not None,
            has_list=self.engine.roster.listed,
            conflict=self.number_taken or self.number_shared,
            stop_requested=self.stop_requested,
            open_tasks=self.engine.ledger.open,
            deadline_passed=self._stop_now or (self._stop_by is not None and self.loop.now() >= self._stop_by),
        )

    def schedule_state_update(self) -> None:
        """Update the state in the loop's next turn, because one of its conditions may have changed."""
        if not self._state_update_scheduled:
            self._state_update_scheduled = True
            self.loop.call_soon(self._update_state)

    def _update_state(self) -> None:
        self._state_update_scheduled = False
        before = self.state
        self.state, why = next_state(before, self._conditions())
        if (
            self.peers is not None
            and (status := f"{self.state.value} {why}".strip()[:120]) != self.peers.view.own_record.status
        ):
            self.peers.view.update(status=status)
        if self.state is before:
            return
        self.log.info("state", was=before.value, now=self.state.value, why=why or None)
        for service in ("", SERVICE):
            self.health.set(service, SERVING if self.state is State.READY else NOT_SERVING)
        self.engine.intake.leaving = self.state not in (State.READY, State.JOINING, State.STARTING)
        self.notifier.notify(STATUS=f"{self.state.value} {why}".strip())
        if self.state is State.READY:
            self.notifier.notify(READY="1")
        elif self.state is State.DRAINING or (self.state is State.STOPPED and before is not State.DRAINING):
            self.notifier.notify(STOPPING="1")

    def reload(self, new: PlacerFile) -> list[str]:
        """Apply other settings as a whole or not at all. Returns the reasons for a refusal, one line each."""
        new = self._without_agreed_keys(new)
        changed = changed_keys(self.file, new)
        lines = restart_required(changed)
        if lines:
            return lines
        old, self.file = self.file, new
        for path, was, now in changed:
            self.log.info("setting_changed", key=path, was=was, now=now)
        self.logs.level = new.placer.log.level
        self.engine.set_options(new.placer)
        generation = new.generation()
        if generation != old.generation() and generation.order != self.generation.order:
            if self.peers is None or generation.number >= self.generation.number:
                self._set_generation(generation)
                if self.peers is not None:
                    self.peers.view.update(generation=generation)
            else:  # another placer was told a newer one, which counts until this file has one that is newer still
                self.log.warning("generation_kept", number=self.generation.number, file=generation.number)
        return []

    def _without_agreed_keys(self, new: PlacerFile) -> PlacerFile:
        """Return the file, with this placer's deployment if they differ only in keys of the fleet's configuration."""
        keys = self.configuration.ineffective_keys(new.cluster) if self.configuration is not None else None
        if not keys:
            return new
        self.log.warning("file_keys_without_effect", keys=keys, text="the fleet's configuration holds them")
        return structs.replace(new, cluster=self.file.cluster)

    def run(self) -> Co[int]:
        """Run until stopped and return the exit status: 0 if all tasks were settled, 1 if the time limit ended some."""
        if not self.stop_requested:
            yield from self._stop_requests.get()
        return (yield from self._drain())

    def stop(self) -> None:
        """Accept no new tasks and settle the open ones; a second call settles them at once."""
        if self.stop_requested:
            self._stop_now = True
        else:
            self._stop_requests.put_now(None)
        self.stop_requested = True
        self.schedule_state_update()

    def _drain(self) -> Co[int]:
        """Drain: send owners elsewhere, refuse the tasks that have no attempt, and wait for the attempts to end."""
        ledger, stop_ms = self.engine.ledger, self.file.placer.stop_ms
        open_at_stop = ledger.open
        stop_by = (
            self.loop.now() + stop_ms if stop_ms is not None else self.engine.reporter.last_deadline() + DELIVERY_MS
        )
        self._stop_by = stop_by
        self._update_state()
        if self.peers is not None:
            self.peers.stop()
        self.log.info("stopping", open=open_at_stop, at_most_ms=round(stop_by - self.loop.now()))
        self.scope.spawn(self.server.drain(stop_by - self.loop.now() + DELIVERY_MS), "drain")
        handed_back = 0
        while ledger.open and self.loop.now() < stop_by and not self._stop_now:
            handed_back += self.engine.reporter.refuse_unattempted()
            yield from sleep(10.0)
        settled_by_force = self.engine.reporter.settle_all()
        self._update_state()
        yield from sleep(DELIVERY_MS)
        self.report = {
            "open_at_stop": open_at_stop,
            "handed_back": handed_back,
            "settled": open_at_stop - handed_back - settled_by_force,
            "answered_at_the_end": settled_by_force,
            "outcomes": {outcome.value: count for outcome, count in ledger.outcomes.items()},
        }
        self.log.info("stopped", **self.report)
        if self.http is not None:
            self.http.close()
        self.server.close()
        self.notifier.close()
        return 1 if settled_by_force else 0
