"""The daemon: its parts put together, its start and its end."""

from __future__ import annotations

from typing import Any

from msgspec import structs

from sprucepost.admission import SessionTable
from sprucepost.loop import Address, Co, Listener, Loop, Queue, Scope, Timer, sleep
from sprucepost.membership import Generation, Side
from sprucepost.peers import Peers
from sprucepost.placer.configuration import ConfigurationHost, PlacerConfiguration
from sprucepost.placer.configuration_service import SERVICE as CONFIGURATION_SERVICE
from sprucepost.placer.configuration_service import ConfigurationService
from sprucepost.placer.discovery import DiscoveryWatch, WatchOptions
from sprucepost.placer.engine import Engine
from sprucepost.placer.fleet_membership import FleetMembership, MembershipCallbacks
from sprucepost.placer.lifecycle import Facts, State, judge
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
TAKEN_MS = 3000.0  # before a number that was taken is tried again
FREE_MS = 1500.0  # without an objection the number is free
LEAVE_MS = 500.0  # for the last answers to be read
FIRST_WORD_MS = 500.0  # a placer that keeps a view hears of its predecessor before it attaches to machines


def parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return host, int(port)


def format_address(address: Address) -> str:
    return address if isinstance(address, str) else f"{address[0]}:{address[1]}"


class Placer:
    """One placer in a scope. ``run`` returns when it has been told to stop and has settled what it took."""

    def __init__(
        self, loop: Loop, scope: Scope, file: PlacerFile, logs: Logs, notifier: Notifier | None = None
    ) -> None:
        self.loop, self.scope, self.file, self.logs = loop, scope, file, logs
        options, cluster = file.placer, file.cluster
        # Ordered by time, so that a machine knows the newer of two; random below, so that two never share one.
        self.incarnation = int(loop.wall()) << 16 | int.from_bytes(loop.token(2), "big")
        self.log = logs.log.bind(placer=options.number, incarnation=self.incarnation)
        self.engine = Engine(
            loop, cluster, options, lambda: self.discovery.start_watch(), self._info, file.generation()
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
            self._newer,
            self._taken,
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
            lambda machine, address: self._see(machine, address),
            self.engine.on_list_update,
        )
        self.health = Health()
        self.configuration: PlacerConfiguration | None = None
        self.peers = self._peers()
        self.fleet_membership = self._membership()
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
        self.conflict = ""  # what a machine says of our number
        self.shared = ""  # what the view says of it
        self._again: Timer | None = None
        self._begun = self.peers is None
        self.generation = file.generation()  # the file's, or a newer one that the fleet has
        self.stopping = False
        self._stops: Queue[None] = Queue(1)
        self.report: dict[str, Any] = {}
        self.slot_trouble = ""  # what is wrong with the slot that holds our number
        self._stop_at: float | None = None
        self._hurry = self._nudged = False
        self.grpc_address: Address = ""
        self.http: Http1Server | None = None

    def _peers(self) -> Peers | None:
        """The carrier of the fleet's own view, where the settings ask for one."""
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
            address=options.advertise,  # else told once it listens
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
            self._seen,
            self._check_membership,
            lambda event, **more: self.log.debug(event, **more),
            self.configuration.transport if self.configuration is not None else None,
            self.configuration.validator.fixed_fingerprint if self.configuration is not None else "",
        )

    def _make_configuration(self, origin: str) -> PlacerConfiguration | None:
        """The deployment's configuration, where the settings ask for it."""
        peers = self.file.placer.peers
        if peers is None or peers.configuration is None:
            return None
        host = ConfigurationHost(
            take=self.engine.set_cluster,
            info=self._info,
            warn=lambda event, **more: self.log.warning(event, **more),
        )
        return PlacerConfiguration(self.loop, self.file.cluster, peers.configuration, origin, host)

    def _membership(self) -> FleetMembership | None:
        if self.peers is None:
            return None
        callbacks = MembershipCallbacks(
            adopt=self._adopt,
            resize_known=self.engine.driver.set_fleet_view,
            number_shared=self._number_shared,
            predecessor=self._predecessor,
            others_heard=self._begin_links,
        )
        return FleetMembership(self.loop, self.peers.view, self.engine.driver.now, callbacks)

    def _check_membership(self) -> None:
        if self.fleet_membership is not None:
            self.fleet_membership.check()

    def _seen(self, step: ViewChanged) -> None:
        view = self.peers.view if self.peers is not None else None
        digest = f"{view.digest:016x}" if view is not None else None
        self.log.info("view", here=sorted(step.here), away=sorted(step.away), left=sorted(step.left), digest=digest)
        self.nudge()

    def _adopt(self, generation: Generation) -> None:
        """The fleet runs under another generation than this placer did."""
        self.log.info("generation", number=generation.number, size=generation.size, over_ms=generation.over_ms)
        self._run_under(generation)

    def _run_under(self, generation: Generation) -> None:
        """Who runs when a change is told was there before it; a rollback turns the sides round."""
        if generation.order == self.generation.order:
            side = self.engine.driver.side  # only its end is new
        elif generation.previous is None:
            side = Side.NEW
        elif generation.rollback:
            side = Side.OLD if self.engine.driver.side is Side.NEW else Side.NEW
        else:
            side = Side.OLD
        self.generation = generation
        self.engine.driver.set_generation(generation, side)

    def _number_shared(self, text: str) -> None:
        """Another process is seen that has our number and was there first; empty: none is any more."""
        if text == self.shared:
            return
        self.shared = text
        if text:
            self.log.error("number_shared", text=text)
            self.links.suspend(renounce=True)
        elif not self.conflict:
            self.links.suspended = False
        self.nudge()

    def _begin_links(self) -> None:
        """Attach to machines: who was here under this name before has been heard of, or nobody is there to tell."""
        if not self._begun:
            self._begun = True
            self.links.suspended = bool(self.conflict or self.shared)

    def _predecessor(self, incarnation: int) -> None:
        """The view has raised this one's incarnation above its predecessor's."""
        if not self._outbid((incarnation << 16) - 1):
            self.log.error("newer_incarnation", text=f"the view knows {incarnation - 1}")

    def _newer(self, machine: str, text: str) -> None:
        """A machine knows a newer incarnation of our number; the text ends with it (docs/protocol.md)."""
        known = text.rpartition(" ")[2]
        if not known.isdecimal() or not self._outbid(int(known)):
            self.log.error("newer_incarnation", machine=machine, text=text)

    def _outbid(self, known: int) -> bool:
        """Be newer than an incarnation that was before us, though our clock is behind its; False where it is too late.

        What has been offered is known to machines by our incarnation. Before that nothing is lost by another: what owners
        have asked so far goes back to them, and they open new sessions. Should the other live, machines will say so next.
        """
        if known < self.incarnation:
            return True
        if self.engine.counters["offers"]:
            return False
        self.engine.reporter.refuse_unattempted()
        for session in list(self.owners.sessions.values()):
            self.owners.end(session, RpcError(Code.ABORTED, "this placer begins anew"))
        self.incarnation = (known >> 16) + 1 << 16 | int.from_bytes(self.loop.token(2), "big")
        self.links.incarnation = self.owners.incarnation = self.incarnation
        self.log = self.log.bind(incarnation=self.incarnation)
        self.log.warning("incarnation_raised", known=known)
        if self.fleet_membership is not None and self.peers is not None:
            self.fleet_membership.incarnation = self.incarnation >> 16
            known_incarnation = self.peers.view.own_record.incarnation
            self.peers.view.update(incarnation=max(self.fleet_membership.incarnation, known_incarnation))
        return True

    def _info(self, event: str, **more: Any) -> None:
        self.log.info(event, **more)

    def _see(self, machine: str, address: str) -> None:
        host, _, port = address.rpartition(":")
        if host and port.isdecimal():
            self.links.see(machine, (host, int(port)))
        else:
            self.log.warning("no_address", machine=machine, address=address)

    def list_age_ms(self) -> float:
        heard = self.discovery.heard_at
        return float("inf") if heard is None else self.loop.now() - heard

    def not_ready(self) -> str:
        """Why no task should be sent here; empty when ready."""
        return judge(self.state, self._facts())[1]

    def start(self, listeners: dict[str, Listener] | None = None) -> None:
        """Bind the ports, or take those that were passed, and begin. OSError where a port cannot be bound."""
        passed = listeners or {}
        if "grpc" in passed or "0" in passed:
            self.grpc_address = self.server.serve(passed.get("grpc") or passed["0"])
        else:
            self.grpc_address = self.server.listen(parse_address(self.file.placer.listen))
        http = passed.get("http") or passed.get("1") or parse_address(self.file.placer.http)
        self.http = Http1Server(self.loop, http, pages(self))
        for service in ("", SERVICE):
            self.health.set(service, NOT_SERVING)
        self.engine.on_change = self.nudge
        self.engine.start()
        if self.peers is not None:
            if not self.peers.view.own_record.address:
                self.peers.view.update(address=format_address(self.grpc_address))
            self.links.suspended = True
            self.loop.call_later(FIRST_WORD_MS, self._begin_links)
            self.peers.start()
        self._move()
        self.log.info("listening", address=format_address(self.grpc_address), http=format_address(self.http.address))

    def _taken(self, machine: str, text: str) -> None:
        """A machine has a live stream of an older process with our number: the younger, which is us, leaves ready."""
        if not self.conflict:
            self.log.error("number_taken", machine=machine, text=text)
        self.conflict = text
        self.links.suspend(renounce=True)
        if self._again is not None:
            self._again.cancel()
        self._again = self.loop.call_later(TAKEN_MS, self._try_again)
        self.nudge()

    def _try_again(self) -> None:
        self.links.suspended = bool(self.shared)
        self._again = self.loop.call_later(FREE_MS, self._free)

    def _free(self) -> None:
        """No machine has objected since: the number is ours."""
        self._again, self.conflict = None, ""
        self.nudge()

    # Life

    def _facts(self) -> Facts:
        return Facts(
            listening=self.http is not None,
            listed=self.engine.roster.listed,
            conflict=self.conflict or self.shared,
            told_to_stop=self.stopping,
            open_tasks=self.engine.ledger.open,
            time_over=self._hurry or (self._stop_at is not None and self.loop.now() >= self._stop_at),
        )

    def nudge(self) -> None:
        """Something that the state may depend on has changed."""
        if not self._nudged:
            self._nudged = True
            self.loop.call_soon(self._move)

    def _move(self) -> None:
        self._nudged = False
        before = self.state
        self.state, why = judge(before, self._facts())
        if (
            self.peers is not None
            and (told := f"{self.state.value} {why}".strip()[:120]) != self.peers.view.own_record.status
        ):
            self.peers.view.update(status=told)
        if self.state is before:
            return
        self.log.info("state", was=before.value, now=self.state.value, why=why or None)
        for service in ("", SERVICE):
            self.health.set(service, SERVING if self.state is State.READY else NOT_SERVING)
        self.engine.intake.leaving = self.state not in (State.READY, State.JOINING, State.STARTING)
        self.notifier.tell(STATUS=f"{self.state.value} {why}".strip())
        if self.state is State.READY:
            self.notifier.tell(READY="1")
        elif self.state is State.DRAINING or (self.state is State.STOPPED and before is not State.DRAINING):
            self.notifier.tell(STOPPING="1")

    def reload(self, new: PlacerFile) -> list[str]:
        """Apply other settings, whole or not at all; the lines that say why not."""
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
        told = new.generation()
        if told != old.generation() and told.order != self.generation.order:
            if self.peers is None or told.number >= self.generation.number:
                self._run_under(told)
                if self.peers is not None:
                    self.peers.view.update(generation=told)
            else:  # one told to another placer counts; the file's next newer one will
                self.log.warning("generation_kept", number=self.generation.number, file=told.number)
        return []

    def _without_agreed_keys(self, new: PlacerFile) -> PlacerFile:
        """The file with this placer's own deployment, where it differs only in keys that the fleet's configuration holds."""
        keys = self.configuration.ineffective_keys(new.cluster) if self.configuration is not None else None
        if not keys:
            return new
        self.log.warning("file_keys_without_effect", keys=keys, text="the fleet's configuration holds them")
        return structs.replace(new, cluster=self.file.cluster)

    def run(self) -> Co[int]:
        """From start to stop; the exit status: 0 all settled by itself, 1 some answered at the time's end."""
        if not self.stopping:
            yield from self._stops.get()
        return (yield from self._leave())

    def stop(self) -> None:
        """Take nothing new and settle what is open; called again: at once."""
        if self.stopping:
            self._hurry = True
        else:
            self._stops.put_now(None)
        self.stopping = True
        self.nudge()

    def _leave(self) -> Co[int]:
        """Drain: owners are sent elsewhere, what no attempt waits for is handed back, attempts come to their end."""
        ledger, stop_ms = self.engine.ledger, self.file.placer.stop_ms
        taken = ledger.open
        until = self.loop.now() + stop_ms if stop_ms is not None else self.engine.reporter.last_deadline() + LEAVE_MS
        self._stop_at = until
        self._move()
        if self.peers is not None:
            self.peers.stop()
        self.log.info("stopping", open=taken, at_most_ms=round(until - self.loop.now()))
        self.scope.spawn(self.server.drain(until - self.loop.now() + LEAVE_MS), "drain")
        handed_back = 0
        while ledger.open and self.loop.now() < until and not self._hurry:
            handed_back += self.engine.reporter.refuse_unattempted()
            yield from sleep(10.0)
        forced = self.engine.reporter.settle_all()
        self._move()
        yield from sleep(LEAVE_MS)
        self.report = {
            "open_at_stop": taken,
            "handed_back": handed_back,
            "settled": taken - handed_back - forced,
            "answered_at_the_end": forced,
            "outcomes": {outcome.value: count for outcome, count in ledger.outcomes.items()},
        }
        self.log.info("stopped", **self.report)
        if self.http is not None:
            self.http.close()
        self.server.close()
        self.notifier.close()
        return 1 if forced else 0
