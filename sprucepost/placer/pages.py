"""Health, readiness, metrics and status pages over HTTP."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from typing import Any, Protocol

from sprucepost.loop import Loop
from sprucepost.peers import Peers
from sprucepost.placer.configuration import PlacerConfiguration
from sprucepost.placer.engine import Engine
from sprucepost.placer.fleet_membership import FleetMembership
from sprucepost.placer.links import Links
from sprucepost.placer.owners import Owners
from sprucepost.view import View
from sprucepost.wire.http1 import Page
from sprucepost.wire.server import Server


class PlacerState(Protocol):
    """What the pages read of a placer."""

    loop: Loop
    engine: Engine
    owners: Owners
    links: Links
    server: Server
    slot_warning: str
    peers: Peers | None
    fleet_membership: FleetMembership | None
    configuration: PlacerConfiguration | None

    def not_ready_reason(self) -> str: ...
    def list_age_ms(self) -> float: ...


def pages(placer: PlacerState) -> dict[str, Page]:
    """Return the pages of the HTTP port by path."""

    def ready() -> tuple[int, str, bytes]:
        why = placer.not_ready_reason()
        text = f"{why or 'ready'}\n{_view_line(placer)}"
        return 503 if why else 200, "text/plain", text.encode()

    def alive() -> tuple[int, str, bytes]:
        return 200, "text/plain", b"alive\n"

    def members() -> tuple[int, str, bytes]:
        if placer.peers is None:
            return 404, "text/plain", b"off: no peers in the settings\n"
        return 200, "application/json", json.dumps(view_status(placer.peers.view, placer.loop.now())).encode()

    def configuration() -> tuple[int, str, bytes]:
        if placer.configuration is None:
            return 404, "text/plain", b"off: no placer.peers.configuration in the settings\n"
        return 200, "application/json", json.dumps(placer.configuration.status()).encode()

    return {
        "/healthz": alive,
        "/readyz": ready,
        "/metrics": _metrics(placer),
        "/members": members,
        "/config": configuration,
    }


def _view_line(placer: PlacerState) -> str:
    """Return one line about the fleet as this placer sees it; empty without a view."""
    if placer.peers is None or placer.fleet_membership is None:
        return ""
    view = placer.peers.view
    settled = (placer.loop.now() - view.changed_at) / 1000.0
    parts = [f"view: {len(view.here)} here, {len(view.away)} away, size {view.own_record.generation.size}"]
    parts += [f"digest {view.digest:016x}", f"settled for {settled:.1f} s"]
    parts += ["generation disputed"] * placer.fleet_membership.disputed
    return ", ".join(parts) + "\n"


def view_status(view: View, now: float) -> dict[str, Any]:
    """Return a view for the members page, as of ``now`` on the loop's clock.

    ``settled_ms``: for how long nothing has changed.
    """
    return {
        "name": view.own_record.name,
        "digest": f"{view.digest:016x}",
        "settled_ms": round(now - view.changed_at),
        "conflicts": {str(number): names for number, names in view.conflicts().items()},
        "members": [
            {
                "name": record.name,
                "condition": "left" if record.left else "here" if name in view.here else "away",
                "number": record.number,
                "host": record.host,
                "room": record.room,
                "address": record.address,
                "incarnation": record.incarnation,
                "life": record.life,
                "generation": record.generation.number,
                "size": record.generation.size,
                "over_ms": record.generation.over_ms,
                "status": record.status,
            }
            for name, record in sorted(view.records.items())
        ],
    }


def _metrics(placer: PlacerState) -> Callable[[], tuple[int, str, bytes]]:
    # Imported at the first scrape: it would slow down the start of each of hundreds of daemons.
    def page() -> tuple[int, str, bytes]:
        from prometheus_client import CollectorRegistry, exposition

        registry = CollectorRegistry()
        registry.register(_MetricsCollector(placer))
        return 200, exposition.CONTENT_TYPE_LATEST, exposition.generate_latest(registry)

    return page


class _MetricsCollector:
    """Reads the placer's counters at the time of a scrape."""

    def __init__(self, placer: PlacerState) -> None:
        self._placer = placer

    def collect(self) -> Iterator[Any]:
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        placer, engine = self._placer, self._placer.engine
        outcomes = CounterMetricFamily("sprucepost_outcomes", "Tasks answered", labels=["outcome", "task_class"])
        events = CounterMetricFamily("sprucepost_events", "What happened, by name", labels=["event"])
        for name, count in sorted(engine.counters.items()):
            if name.startswith("outcome "):
                _, outcome, cls = name.split(" ", 2)
                outcomes.add_metric([outcome, cls], count)
            else:
                events.add_metric([name.replace(" ", "_")], count)
        refusals = CounterMetricFamily("sprucepost_refused_offers", "Offers refused by machines", labels=["reason"])
        for name, count in sorted(engine.attempts.refusals.items()):
            refusals.add_metric([name], count)
        peers = CounterMetricFamily(
            "sprucepost_peer_errors", "Errors of peers, by port and name", labels=["side", "error"]
        )
        for side, counters in (
            ("server", placer.server.counters),
            ("owners", placer.owners.counters),
            ("machines", placer.links.counters),
        ):
            for name, count in sorted(counters.items()):
                peers.add_metric([side, name], count)
        yield from (outcomes, events, refusals, peers)
        if placer.peers is not None:
            yield from _view_gauges(placer.peers, placer.fleet_membership, placer.loop.now())
        if placer.configuration is not None:
            yield from _configuration_gauges(placer.configuration)
        links = placer.links.all()
        for name, help_text, value in (
            ("open_tasks", "Tasks taken and not answered", engine.ledger.open),
            ("line", "Asks let in and not taken up yet", len(engine.admission.queue)),
            (
                "ask_cost_ms",
                "What an ask costs this process, learned while asks wait",
                engine.admission.service_time.cost_ms,
            ),
            (
                "line_stands",
                "1 since the line was long for a whole aim, until it has refused nothing for one",
                engine.admission.overload.recent(placer.loop.now()),
            ),
            ("credit", "Asks that owners may have open together; 0: no bound", engine.admission.credit.total),
            ("owner_sessions", "Sessions of owners", len(placer.owners.sessions)),
            ("machines", "Machines linked to", len(links)),
            ("machines_attached", "Machines with a stream", sum(link.attached for link in links)),
            (
                "slot_trouble",
                "1 while the slot of the number is not as it should be",
                bool(placer.slot_warning),
            ),
            ("loop_late_ms", "How late the loop's latest timer was", placer.loop.late_ms),
            ("list_age_ms", "Since the latest word of the list", placer.list_age_ms()),
        ):
            gauge = GaugeMetricFamily(f"sprucepost_{name}", help_text)
            gauge.add_metric([], value)
            yield gauge


def _view_gauges(peers: Peers, fleet_membership: FleetMembership | None, now: float) -> Iterator[Any]:
    from prometheus_client.core import GaugeMetricFamily

    view = peers.view
    for name, help_text, value in (
        ("view_here", "Placers that can be reached", len(view.here)),
        ("view_size", "The size under which this placer runs", view.own_record.generation.size),
        ("view_generation", "Its generation", view.own_record.generation.number),
        (
            "view_disputed",
            "1 while placers hold unlike generations of one number",
            bool(fleet_membership and fleet_membership.disputed),
        ),
        ("view_bytes_sent", "Bytes said to other placers", peers.counters["bytes_out"]),
        ("view_bytes_received", "Bytes heard of other placers", peers.counters["bytes_in"]),
        ("view_messages_sent", "Messages said to other placers", peers.counters["messages_out"]),
        ("view_messages_received", "Messages heard of other placers", peers.counters["messages_in"]),
        ("view_away", "Placers that are remembered and not reached", len(view.away)),
        ("view_conflicts", "Numbers that more than one placer has", len(view.conflicts())),
        ("view_settled_ms", "Since the view last changed, here or at a peer", now - view.changed_at),
        ("view_streams", "Streams to other placers", len(view.streams)),
    ):
        gauge = GaugeMetricFamily(f"sprucepost_{name}", help_text)
        gauge.add_metric([], value)
        yield gauge
    digest = GaugeMetricFamily("sprucepost_view_digest", "1; equal labels are equal views", labels=["digest"])
    digest.add_metric([f"{view.digest:016x}"], 1)
    yield digest


def _configuration_gauges(configuration: PlacerConfiguration) -> Iterator[Any]:
    from prometheus_client.core import GaugeMetricFamily

    replica, transport = configuration.replica, configuration.transport
    for name, help_text, value in (
        ("number", "The highest number of a change known here", replica.version.number),
        ("held", "1 while the agreed configuration isn't in force here", replica.held is not None),
        ("refused_changes", "Known changes that aren't applied", len(replica.refused)),
        ("peers", "Streams to placers that carry a configuration", transport.connected_streams),
        ("messages_sent", "Messages about it to other placers", transport.counters["messages_out"]),
        ("bytes_sent", "Their bytes, without the digests in heartbeats", transport.counters["bytes_out"]),
    ):
        gauge = GaugeMetricFamily(f"sprucepost_configuration_{name}", help_text)
        gauge.add_metric([], value)
        yield gauge
    digest = GaugeMetricFamily(
        "sprucepost_configuration_version",
        "1; equal labels are equal sets of changes",
        labels=["version"],
    )
    digest.add_metric([str(replica.version)], 1)
    yield digest
