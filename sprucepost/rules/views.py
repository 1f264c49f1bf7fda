"""What placers know of each other (docs/view.md), checked from recorded bytes and from the views that they wrote.

=================  ==============================================  =====================================================
result            evidence                                        broken where
=================  ==============================================  =====================================================
view settles       the last beats that each placer sent, as        the digests of those that run differ, or one's last
                   recorded; its last ``view`` line                view is not who runs, 15 s after the last fault
view is told       each ``view`` line, with what the run did to    a member that runs and is reached is away; one that was
                   placers and to the links between them           killed is not away everywhere in time
one fleet          the words on each stream, as recorded           members of two clusters say more than hello to each
                                                                   other, or one is shown by the other's
=================  ==============================================  =====================================================

While the links of placers are spoilt, while one of them stands still and for ``RECOVERY_MS`` after that, nothing is said of
who is away. What the machine gave no processor to is undecided.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from sprucepost.rules.checker import RuleResult, RunHistory
from sprucepost.rules.streams import Closed, Message
from sprucepost.v1 import peer_pb2 as pb

PEER_WATCH = "/sprucepost.v1.Peer/Watch"
SETTLE_LIMIT_MS = 15_000.0  # promised, after the last fault
DETECTION_LIMIT_MS = 3000.0  # promised, for a process that ended
REPORT_SLACK_MS = 2000.0  # a line is written a step after the change, by a process that shares its core
RECOVERY_MS = 8000.0  # after a fault between placers: until they have found each other again
FINAL_WINDOW_MS = 4500.0  # of the record, in which each placer beats twice at the least (view.IDLE_HEARTBEAT_MS)
MAX_STARVED_MS = 400.0
LINK_FAULTS = frozenset(
    ("peer_cut", "peer_flap", "peer_slow", "peer_reset", "zone_cut", "reset", "descriptors", "balancer_stall", "resize")
)
PROCESS_FAULTS = frozenset(("placer_kill", "placer_stop", "placer_crowd", "resize"))


@dataclass
class ProcessHistory:
    """What the run did, as spans of time: when each placer ran, and when links or lives were troubled."""

    running_spans: dict[str, list[list[float]]] = field(default_factory=dict)  # by placer: from, until
    link_faults: list[tuple[float, float]] = field(default_factory=list)
    process_faults: list[tuple[float, float]] = field(default_factory=list)
    killed: list[tuple[float, str]] = field(default_factory=list)
    clock_stepped: bool = False  # some placer's own times are not the run's
    quiet_at: float = float("inf")
    ended_at: float = float("inf")

    def ran(self, placer: str, since: float, until: float) -> bool:
        """Whether it ran for all of that time."""
        return any(start <= since and until <= end for start, end in self.running_spans.get(placer, []))

    def running(self) -> set[str]:
        return {placer for placer, spans in self.running_spans.items() if spans and spans[-1][1] == float("inf")}


def process_history(events: Iterable[dict[str, Any]]) -> ProcessHistory:
    """From what the run wrote down."""
    found, open_faults = ProcessHistory(), dict[str, list[float]]()
    for event in events:
        what, at, placer = event["what"], float(event["at"]), str(event.get("placer", ""))
        if what == "started":
            found.running_spans.update({f"placer-{n}": [[at, float("inf")]] for n in range(event["placers"])})
        elif what in ("placer_killed", "placer_asked_to_stop"):
            spans = found.running_spans.setdefault(placer, [])
            if spans and spans[-1][1] == float("inf"):
                spans[-1][1] = at
                if what == "placer_killed":
                    found.killed.append((at, placer))
        elif what == "placer_started":
            found.running_spans.setdefault(placer, []).append([at, float("inf")])
        elif what == "fault":
            found.clock_stepped |= event["kind"] == "clock_step"
            open_faults.setdefault(event["kind"], []).append(at)
        elif what == "fault_over" and open_faults.get(event["kind"]):
            span = open_faults[event["kind"]].pop(0), at
            found.link_faults += [span] * (event["kind"] in LINK_FAULTS)
            found.process_faults += [span] * (event["kind"] in PROCESS_FAULTS)
        elif what == "peers_quiet":
            found.quiet_at = at
        elif what == "ended":
            found.ended_at = at
    return found


def check_views(
    found: Sequence[Message | Closed],
    events: Iterable[dict[str, Any]],
    lines: Mapping[str, list[dict[str, Any]]],
    history: RunHistory,
) -> list[RuleResult]:
    """``lines``: the ``view`` lines of each placer's log, oldest first."""
    processes = process_history(events)
    return [_settles(found, processes, lines), _is_told(processes, lines, history), _one_fleet(found, lines)]


def _frames(found: Iterable[Message | Closed]) -> Iterable[tuple[Message, str, pb.PeerFrame]]:
    for message in found:
        if isinstance(message, Message) and message.path == PEER_WATCH:
            by = message.client if message.from_client else message.target
            yield message, by, pb.PeerFrame.FromString(message.data)


def _settles(
    found: Iterable[Message | Closed], processes: ProcessHistory, lines: Mapping[str, list[dict[str, Any]]]
) -> RuleResult:
    result = RuleResult("view settles")
    running = processes.running()
    said: dict[str, int] = {}
    for message, by, frame in _frames(found):
        if (
            frame.WhichOneof("word") == "beat"
            and processes.ended_at - FINAL_WINDOW_MS <= message.at <= processes.ended_at
        ):
            said[by] = frame.beat.digest
    for placer in sorted(running):
        result.checked += 1
        view = lines.get(placer, [])
        here = set(view[-1]["here"]) if view else {placer}
        if len(running) > 1 and placer not in said:
            result.broken.append(f"{processes.ended_at:.0f} ms: {placer} says nothing to any other")
        elif here != running:
            lacks, has = sorted(running - here), sorted(here - running)
            result.broken.append(f"{processes.ended_at:.0f} ms: {placer}'s view lacks {lacks} and has {has}")
    if len({said[placer] for placer in running if placer in said}) > 1:
        text = ", ".join(f"{placer} {said[placer]:016x}" for placer in sorted(running) if placer in said)
        result.broken.append(f"{processes.ended_at:.0f} ms: digests differ: {text}")
    return result


def _is_told(processes: ProcessHistory, lines: Mapping[str, list[dict[str, Any]]], history: RunHistory) -> RuleResult:
    result = RuleResult("view is told")
    if processes.clock_stepped:
        return result

    def troubled(since: float, until: float, spans: list[tuple[float, float]]) -> bool:
        return any(start < until and since - RECOVERY_MS < end for start, end in spans)

    def say(at: float, text: str, placers: tuple[str, ...], since: float) -> None:
        starved = max(history.starved_ms(placer, since, at) for placer in placers)
        if starved > MAX_STARVED_MS:
            result.undecided.append(f"{at:.0f} ms: {text} (no processor for {starved:.0f} ms)")
        else:
            result.broken.append(f"{at:.0f} ms: {text}")

    for placer, view in sorted(lines.items()):
        for line in view:
            at = float(line["at_ms"])
            if not processes.ran(placer, at - RECOVERY_MS, at) or troubled(at - RECOVERY_MS, at, processes.link_faults):
                continue
            result.checked += 1
            for other in line["away"]:
                if processes.ran(other, at - RECOVERY_MS, at):
                    say(at, f"{placer} has {other} as away, which runs", (placer, other), at - RECOVERY_MS)
    for at, gone in processes.killed:
        until = at + DETECTION_LIMIT_MS + REPORT_SLACK_MS
        again = any(at < start <= until for start, _ in processes.running_spans[gone])
        # Beside the fault that killed it.
        others = [span for span in processes.process_faults if not span[0] <= at <= span[1]]
        if (
            again
            or until > processes.ended_at
            or troubled(at, until, processes.link_faults)
            or troubled(at, until, others)
        ):
            continue
        for placer in sorted(processes.running_spans):
            if placer != gone and processes.ran(placer, at - RECOVERY_MS, until):
                result.checked += 1
                told = [line for line in lines.get(placer, []) if at - 50.0 <= float(line["at_ms"]) <= until]
                if not any(gone in line["away"] for line in told):
                    say(until, f"{placer} does not have {gone} as away, which was killed", (placer,), at)
    return result


def _one_fleet(found: Iterable[Message | Closed], lines: Mapping[str, list[dict[str, Any]]]) -> RuleResult:
    result = RuleResult("one fleet")
    clusters: dict[tuple[int, int], dict[bool, str]] = {}
    names: dict[str, set[str]] = {}  # by cluster: members that have said so themselves
    for message, by, frame in _frames(found):
        word = frame.WhichOneof("word")
        said = clusters.setdefault((message.connection, message.stream), {})
        if word == "hello":
            said[message.from_client] = frame.hello.cluster
            names.setdefault(frame.hello.cluster, set()).add(frame.hello.record.name)
            result.checked += 1
        elif len(set(said.values())) > 1:
            result.broken.append(f"{message.at:.0f} ms: {by} says {word} to a member of another cluster")
    of = {name: cluster for cluster, members in names.items() for name in members}
    for placer, view in sorted(lines.items()):
        for line in view:
            strange = [name for name in (*line["here"], *line["away"]) if of.get(name) not in (None, of.get(placer))]
            if strange:
                result.broken.append(f"{float(line['at_ms']):.0f} ms: {placer} shows {', '.join(strange)}")
    return result
