"""Checks the placers' views of their fleet (docs/view.md) against the recorded bytes and the views that they logged.

============  ====================================  ====================================================================
result        evidence                              violated where
============  ====================================  ====================================================================
view settles  the last heartbeats that each placer  the digests of running placers differ, or a placer's last view isn't
              sent; its last ``view`` line          the set of running placers, 15 s after the last fault
view is told  each ``view`` line; what the run did  a running and reachable member is shown as away; a killed one isn't
              to placers and to their links         shown as away by every placer in time
one fleet     the messages on each stream           members of two clusters exchange more than hello messages, or a
                                                    placer shows a member of another cluster
============  ====================================  ====================================================================

Who is away is not checked while links between placers are disturbed or a placer is stopped, nor for ``RECOVERY_MS``
after that. What happened while a placer got no CPU time is undecided.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from sprucepost.rules.checker import RuleResult, RunHistory
from sprucepost.rules.streams import Closed, Message
from sprucepost.v1 import peer_pb2 as pb

PEER_WATCH = "/sprucepost.v1.Peer/Watch"
SETTLE_LIMIT_MS = 15_000.0  # promised: all views agree this long after the last fault
DETECTION_LIMIT_MS = 3000.0  # promised: a process that ended is shown as away by then
REPORT_SLACK_MS = 2000.0  # a view is logged one tick after it changed, by a process that shares its core
RECOVERY_MS = 8000.0  # after a fault on links: until placers have found each other again
FINAL_WINDOW_MS = 4500.0  # end of the record, with at least two heartbeats of each placer (view.IDLE_HEARTBEAT_MS)
MAX_STARVED_MS = 400.0  # without CPU time; more makes a violation undecided
LINK_FAULTS = frozenset(
    ("peer_cut", "peer_flap", "peer_slow", "peer_reset", "zone_cut", "reset", "descriptors", "balancer_stall", "resize")
)
PROCESS_FAULTS = frozenset(("placer_kill", "placer_stop", "placer_crowd", "resize"))


@dataclass
class ProcessHistory:
    """What the run did: when each placer ran, and when links or processes were disturbed. Times in ms."""

    running_spans: dict[str, list[list[float]]] = field(default_factory=dict)  # [from, until] by placer
    link_faults: list[tuple[float, float]] = field(default_factory=list)
    process_faults: list[tuple[float, float]] = field(default_factory=list)
    killed: list[tuple[float, str]] = field(default_factory=list)  # time and placer
    clock_stepped: bool = False  # a placer's clock was set, so that the times in its log aren't the run's
    quiet_at: float = float("inf")
    ended_at: float = float("inf")

    def ran(self, placer: str, since: float, until: float) -> bool:
        """Return whether the placer ran for all of that time."""
        return any(start <= since and until <= end for start, end in self.running_spans.get(placer, []))

    def running(self) -> set[str]:
        """Return the placers that run at the end."""
        return {placer for placer, spans in self.running_spans.items() if spans and spans[-1][1] == float("inf")}


def process_history(events: Iterable[dict[str, Any]]) -> ProcessHistory:
    """Return the history that the lines of ``events.jsonl`` tell."""
    history, open_faults = ProcessHistory(), dict[str, list[float]]()
    for event in events:
        what, at, placer = event["what"], float(event["at"]), str(event.get("placer", ""))
        if what == "started":
            history.running_spans.update({f"placer-{n}": [[at, float("inf")]] for n in range(event["placers"])})
        elif what in ("placer_killed", "placer_asked_to_stop"):
            spans = history.running_spans.setdefault(placer, [])
            if spans and spans[-1][1] == float("inf"):
                spans[-1][1] = at
                if what == "placer_killed":
                    history.killed.append((at, placer))
        elif what == "placer_started":
            history.running_spans.setdefault(placer, []).append([at, float("inf")])
        elif what == "fault":
            history.clock_stepped |= event["kind"] == "clock_step"
            open_faults.setdefault(event["kind"], []).append(at)
        elif what == "fault_over" and open_faults.get(event["kind"]):
            span = open_faults[event["kind"]].pop(0), at
            history.link_faults += [span] * (event["kind"] in LINK_FAULTS)
            history.process_faults += [span] * (event["kind"] in PROCESS_FAULTS)
        elif what == "peers_quiet":
            history.quiet_at = at
        elif what == "ended":
            history.ended_at = at
    return history


def check_views(
    captured: Sequence[Message | Closed],
    events: Iterable[dict[str, Any]],
    lines: Mapping[str, list[dict[str, Any]]],
    history: RunHistory,
) -> list[RuleResult]:
    """Return the results of the three checks.

    ``captured`` are the messages of the capture, ``events`` the lines of ``events.jsonl``, and ``lines`` the ``view``
    lines of each placer's log, oldest first.
    """
    processes = process_history(events)
    return [
        _check_settled(captured, processes, lines),
        _check_reported(processes, lines, history),
        _check_one_fleet(captured, lines),
    ]


def _peer_frames(captured: Iterable[Message | Closed]) -> Iterable[tuple[Message, str, pb.PeerFrame]]:
    for message in captured:
        if isinstance(message, Message) and message.path == PEER_WATCH:
            sender = message.client if message.from_client else message.target
            yield message, sender, pb.PeerFrame.FromString(message.data)


def _check_settled(
    captured: Iterable[Message | Closed], processes: ProcessHistory, lines: Mapping[str, list[dict[str, Any]]]
) -> RuleResult:
    result = RuleResult("view settles")
    running = processes.running()
    digests: dict[str, int] = {}
    for message, sender, frame in _peer_frames(captured):
        if (
            frame.WhichOneof("word") == "beat"
            and processes.ended_at - FINAL_WINDOW_MS <= message.at <= processes.ended_at
        ):
            digests[sender] = frame.beat.digest
    for placer in sorted(running):
        result.checked += 1
        view = lines.get(placer, [])
        here = set(view[-1]["here"]) if view else {placer}
        if len(running) > 1 and placer not in digests:
            result.broken.append(f"{processes.ended_at:.0f} ms: {placer} sent no heartbeat to any other")
        elif here != running:
            missing, extra = sorted(running - here), sorted(here - running)
            result.broken.append(
                f"{processes.ended_at:.0f} ms: the view of {placer} lacks {missing} and has {extra} too many"
            )
    if len({digests[placer] for placer in running if placer in digests}) > 1:
        text = ", ".join(f"{placer} {digests[placer]:016x}" for placer in sorted(running) if placer in digests)
        result.broken.append(f"{processes.ended_at:.0f} ms: digests differ: {text}")
    return result


def _check_reported(
    processes: ProcessHistory, lines: Mapping[str, list[dict[str, Any]]], history: RunHistory
) -> RuleResult:
    result = RuleResult("view is told")
    if processes.clock_stepped:
        return result

    def disturbed(since: float, until: float, spans: list[tuple[float, float]]) -> bool:
        return any(start < until and since - RECOVERY_MS < end for start, end in spans)

    def add_violation(at: float, text: str, placers: tuple[str, ...], since: float) -> None:
        starved = max(history.starved_ms(placer, since, at) for placer in placers)
        if starved > MAX_STARVED_MS:
            result.undecided.append(f"{at:.0f} ms: {text} (no CPU time for {starved:.0f} ms)")
        else:
            result.broken.append(f"{at:.0f} ms: {text}")

    for placer, view in sorted(lines.items()):
        for line in view:
            at = float(line["at_ms"])
            if not processes.ran(placer, at - RECOVERY_MS, at) or disturbed(
                at - RECOVERY_MS, at, processes.link_faults
            ):
                continue
            result.checked += 1
            for other in line["away"]:
                if processes.ran(other, at - RECOVERY_MS, at):
                    add_violation(
                        at, f"{placer} shows {other} as away although it runs", (placer, other), at - RECOVERY_MS
                    )
    for at, gone in processes.killed:
        until = at + DETECTION_LIMIT_MS + REPORT_SLACK_MS
        restarted = any(at < start <= until for start, _ in processes.running_spans[gone])
        # Faults other than the one that killed it.
        others = [span for span in processes.process_faults if not span[0] <= at <= span[1]]
        if (
            restarted
            or until > processes.ended_at
            or disturbed(at, until, processes.link_faults)
            or disturbed(at, until, others)
        ):
            continue
        for placer in sorted(processes.running_spans):
            if placer != gone and processes.ran(placer, at - RECOVERY_MS, until):
                result.checked += 1
                recent = [line for line in lines.get(placer, []) if at - 50.0 <= float(line["at_ms"]) <= until]
                if not any(gone in line["away"] for line in recent):
                    add_violation(until, f"{placer} does not show {gone} as away although it was killed", (placer,), at)
    return result


def _check_one_fleet(captured: Iterable[Message | Closed], lines: Mapping[str, list[dict[str, Any]]]) -> RuleResult:
    result = RuleResult("one fleet")
    clusters: dict[tuple[int, int], dict[bool, str]] = {}
    names: dict[str, set[str]] = {}  # by cluster: members, from their own hello
    for message, sender, frame in _peer_frames(captured):
        kind = frame.WhichOneof("word")
        hellos = clusters.setdefault((message.connection, message.stream), {})
        if kind == "hello":
            hellos[message.from_client] = frame.hello.cluster
            names.setdefault(frame.hello.cluster, set()).add(frame.hello.record.name)
            result.checked += 1
        elif len(set(hellos.values())) > 1:
            result.broken.append(f"{message.at:.0f} ms: {sender} sent {kind} to a member of another cluster")
    cluster_of = {name: cluster for cluster, members in names.items() for name in members}
    for placer, view in sorted(lines.items()):
        for line in view:
            foreign = [
                name
                for name in (*line["here"], *line["away"])
                if cluster_of.get(name) not in (None, cluster_of.get(placer))
            ]
            if foreign:
                result.broken.append(
                    f"{float(line['at_ms']):.0f} ms: {placer} shows {', '.join(foreign)} of another cluster"
                )
    return result
