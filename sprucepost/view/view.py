"""The membership state machine of one placer: takes time and messages, returns actions. No I/O, no clock of its own.

Members agree on one thing only: each member's own :class:`Record`, which no other member writes and of which the newest
version wins. All else is derived from the records. A record lists the members that its own member *sees*, that is, has
a live stream to. A member is *here* if it can be reached from this one over such edges. No member reports another as
failed: a member is away when no member that is here sees it, however many of its streams have broken, and it is here
again as soon as one of them does.

=========  ================================  =================================================  =======================
a member   when                              what is done                                       ends
=========  ================================  =================================================  =======================
here       seen by a member that is here     monitored by its predecessor in each ring          unseen for
                                                                                                ``AWAY_AFTER_MS``
away       seen by no member that is here    its record is kept; one away member is dialled     seen; forgotten
                                             about each ``RECONNECT_INTERVAL_MS``
left       its own record says so            its record is kept, so that an outdated record     a newer incarnation;
                                             cannot bring it back                               forgotten
forgotten  away or left for ``FORGET_MS``    records of that incarnation are ignored for as     its own Hello
                                             long again
=========  ================================  =================================================  =======================

=========  ================================  =================================================  =======================
a stream   when                              what is done                                       ends
=========  ================================  =================================================  =======================
open       until the peer's Hello            closed if none comes within the stream time-out    Hello
alive      heard within the stream time-out  listed in ``sees``; carries heartbeats, record     silence; closed by the
                                             updates, and summaries where digests differ        peer
closed     silent, of another fleet, or no   dialled again with an increasing delay, while a
           longer needed                     ring needs it
=========  ================================  =================================================  =======================

The stream time-out adapts. A member that finds that it was stalled itself, or that most of its streams fell silent at
one time, suspects itself first and doubles the time-out for a while (Dadgar, Phillips, Currey: Lifeguard, 2018).
Changes that are close in time are reported as one, as in Rapid (Suresh, Malkhi and others, 2018), which also describes
the rings.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, replace

from sprucepost.backoff import exponential_backoff
from sprucepost.random_source import RandomSource
from sprucepost.view.messages import (
    Action,
    Close,
    Dial,
    Heartbeat,
    Hello,
    RecordUpdates,
    Send,
    Summary,
    ViewChanged,
    ViewMessage,
)
from sprucepost.view.record import MAX_VERSION, Record, fingerprint, merge
from sprucepost.view.rings import ring_successors

TICK_MS = 100.0  # interval of ticks while something changes
IDLE_TICK_MS = 500.0  # interval of ticks otherwise
HEARTBEAT_MS = 500.0  # interval of heartbeats on a stream after a change
FREQUENT_HEARTBEATS_MS = 10_000.0  # for so long after the last change they are sent at that interval
IDLE_HEARTBEAT_MS = 2000.0  # interval of heartbeats otherwise; they are most of what an idle member costs
STREAM_TIMEOUT_MS = 2.5 * IDLE_HEARTBEAT_MS  # a silent stream is closed; one heartbeat may be lost and one late
MAX_TIMEOUT_FACTOR = 2.0  # by which the stream time-out grows while this member suspects itself
MIN_STALL_MS = 500.0  # a tick that is late by so much means that this process was stalled
SUMMARY_INTERVAL_MS = 1000.0  # between summaries on a stream whose ends have different digests
RECONNECT_INTERVAL_MS = 1000.0  # mean interval of dials to members that are away, or to seeds
DIAL_BACKOFF_MS, MAX_DIAL_BACKOFF_MS = 200.0, 5000.0  # delay after a failed dial, doubled each time up to the maximum
MAX_CONCURRENT_DIALS = 8
AWAY_AFTER_MS = 800.0  # a member that nobody sees is away after that; broken streams are usually back sooner
# A member with so few streams is away later: a stall of 1 s and the dial after it fit into this time.
FEW_STREAMS, AWAY_AFTER_WITH_FEW_STREAMS_MS = 2, 1500.0
GAIN_PUBLISH_INTERVAL_MS = 1000.0  # a starting member adds new streams to its record at most that often
STARTUP_MS = 10_000.0  # a member counts as starting; hundreds may start at once, and each update goes to all of them
REPORT_DELAY_MS = 300.0  # a change is reported when nothing else has changed for so long,
MAX_REPORT_DELAY_MS = 1000.0  # or after that at the latest
FORGET_MS = 600_000.0  # the record of a member that is away or left is kept for so long
MAX_RECORDS_PER_UPDATE = 64
MAX_MEMBERS = 4096


@dataclass(slots=True)
class Stream:
    """One stream, opened by either end. Times are in ms on the monotonic clock."""

    ident: int
    dialled: str | None  # the member's name or the seed's address that was dialled; None: opened by the peer
    heard: float  # when the last message came
    name: str = ""  # of the peer, empty until its Hello
    life: str = ""
    synced: float = float("-inf")  # when the last summary was sent
    differs: int = 0  # consecutive heartbeats with a digest other than ours


class View:
    """The members of the fleet as this member knows them.

    ``record`` is this member's own. ``seeds`` are addresses to join by; any of them may be dead. ``settings`` is the
    digest that all members must agree on; ``fixed_settings`` is the digest of the part that running members cannot
    change, empty where they can change nothing. ``now`` is a monotonic clock's ms, here and in all methods.
    """

    def __init__(
        self,
        record: Record,
        cluster: str,
        settings: str,
        seeds: tuple[str, ...],
        rng: RandomSource,
        now: float,
        fixed_settings: str = "",
    ) -> None:
        self.own_record, self._cluster, self._settings, self._seeds, self._rng = record, cluster, settings, seeds, rng
        self._fixed_settings = fixed_settings
        self.records: dict[str, Record] = {record.name: record}
        self.digest = fingerprint(record)
        self.here: frozenset[str] = frozenset({record.name})
        self.is_replaced = False  # others have seen a newer process of this name for long enough: this one must stop
        self.counters: Counter[str] = Counter()
        self.streams: dict[int, Stream] = {}
        self._actions: list[Action] = []
        self._pending_updates: dict[int, dict[str, None]] = {}  # by stream: names whose records are to be sent
        self._dialling: dict[str, float] = {}  # dials in progress, by name or address: start time
        self._dial_backoff: dict[str, tuple[int, float]] = {}  # by name: consecutive failures, time of the next dial
        self._absent_since: dict[str, float] = {}  # members that are away or left
        self._unseen_since: dict[str, float] = {}  # members that count as here and that nobody sees
        self._forgotten: dict[str, tuple[tuple[int, int], float]] = {}  # by name: age of its record, time of expiry
        self._newer_process: tuple[str, float] | None = None  # a newer process of this name: its life, first seen when
        self._reported: tuple[frozenset[str], frozenset[str], frozenset[str]] = (self.here, frozenset(), frozenset())
        self._unreported_change: tuple[float, float] | None = None  # times of the first and the latest one
        self._last_tick, self._last_heartbeat, self._next_reconnect = now, now, now
        self._timeout_factor = 1.0
        self._successors: list[str] = []  # in the rings
        self._must_recompute = True
        self._started_at, self._sees_published_at = now, float("-inf")
        self.changed_at = now  # time of the last change, here or at a peer

    # Queries

    @property
    def is_changing(self) -> bool:
        """Whether ticks are needed every ``TICK_MS``: something is changing, or has just changed."""
        return (
            self._must_recompute
            or bool(self._pending_updates)
            or self._unreported_change is not None
            or self._last_tick - self.changed_at < SUMMARY_INTERVAL_MS
        )

    @property
    def away(self) -> frozenset[str]:
        """Members that no member that is here sees, and that have not left."""
        return frozenset(name for name, record in self.records.items() if name not in self.here and not record.left)

    @property
    def left(self) -> frozenset[str]:
        """Members whose own record says that they have left."""
        return frozenset(name for name, record in self.records.items() if record.left)

    def conflicts(self) -> dict[int, list[str]]:
        """Placer numbers that more than one member that is here has, with the names of these members."""
        holders: dict[int, list[str]] = {}
        for name in sorted(self.here):
            holders.setdefault(self.records[name].number, []).append(name)
        return {number: names for number, names in holders.items() if len(names) > 1}

    @property
    def has_namesake(self) -> bool:
        """Whether a member that is here sees another process of this name.

        That process is alive, or died so recently that its streams have not timed out yet.
        """
        mine = self.own_record.name, self.own_record.life
        return any(stream.name == mine[0] for stream in self.streams.values()) or any(
            name == mine[0] and life != mine[1] for member in self.here for name, life in self.records[member].sees
        )

    @property
    def is_superseded(self) -> bool:
        """Whether another process of this name counts as the newer incarnation."""
        return self._newer_process is not None

    # Events

    def update(self, **changes: object) -> None:
        """Change fields of this member's own record."""
        self._publish(replace(self.own_record, version=self.own_record.version + 1, **changes))  # type: ignore[arg-type]

    def leave(self) -> list[Action]:
        """Leave the fleet: the last record update says so."""
        self.update(left=True)
        self._flush_updates()
        return self._take_actions()

    def stream_opened(self, now: float, stream: int, dialled: str | None) -> list[Action]:
        """A stream is open; ``dialled``: the name or address that this member dialled, None where the peer did."""
        if dialled is not None:
            self._dialling.pop(dialled, None)
        self.streams[stream] = Stream(stream, dialled, now)
        self._send(stream, Hello(self._cluster, self._settings, self.own_record, self._fixed_settings))
        return self._take_actions()

    def dial_failed(self, now: float, dialled: str) -> list[Action]:
        """A dial to that name or address has failed."""
        self._dialling.pop(dialled, None)
        self._back_off(now, dialled)
        return self._take_actions()

    def stream_ended(self, now: float, stream: int) -> list[Action]:
        """The peer closed a stream, or it broke."""
        self._drop_stream(now, stream)
        return self._take_actions()

    def message_received(self, now: float, stream: int, message: ViewMessage) -> list[Action]:
        """A message has come; it is ignored if this member has closed the stream meanwhile."""
        known = self.streams.get(stream)
        if known is None:
            return self._take_actions()
        known.heard = now
        if isinstance(message, Hello):
            self._handle_hello(now, known, message)
        elif not known.name:
            self._close_stream(now, stream, "a word before its hello")
        elif isinstance(message, Heartbeat):
            known.differs = known.differs + 1 if message.digest != self.digest else 0
            if known.differs:
                self.changed_at = now
        elif isinstance(message, RecordUpdates):
            for record in message.records:
                self._merge_record(now, record, stream)
        else:
            self._handle_summary(now, known, message)
        return self._take_actions()

    def tick(self, now: float) -> list[Action]:
        """Must be called every ``TICK_MS`` while ``is_changing``, every ``IDLE_TICK_MS`` otherwise."""
        elapsed = now - self._last_tick
        interval = TICK_MS if self.is_changing else IDLE_TICK_MS
        if elapsed >= interval + MIN_STALL_MS:  # messages of that time are unread: no time-out may count it
            for stream in self.streams.values():
                stream.heard += elapsed
            self._unseen_since = {name: since + elapsed for name, since in self._unseen_since.items()}
            self._timeout_factor = min(MAX_TIMEOUT_FACTOR, self._timeout_factor * 2)
            self.counters["stood"] += 1
        self._last_tick = now
        self._close_silent_streams(now, elapsed)
        self._check_newer_process(now)
        if now - self._last_heartbeat >= (
            HEARTBEAT_MS if now - self.changed_at < FREQUENT_HEARTBEATS_MS else IDLE_HEARTBEAT_MS
        ):
            self._last_heartbeat = now
            for stream in self.streams.values():
                if stream.name:
                    self._send(stream.ident, Heartbeat(self.digest))
        for stream in self.streams.values():
            if (
                stream.differs >= 2
                and now - stream.synced >= SUMMARY_INTERVAL_MS
                and stream.ident not in self._pending_updates
            ):
                stream.synced = now
                self._send(stream.ident, self._make_summary())
        self._recompute(now)
        self._forget_absent(now)
        self._dial_members(now)
        self._flush_updates()
        self._report_change(now)
        return self._take_actions()

    # Streams

    def _close_silent_streams(self, now: float, elapsed: float) -> None:
        if all(now - s.heard <= STREAM_TIMEOUT_MS for s in self.streams.values()):
            # No stream is silent, so nothing suggests any more that this member is slow.
            self._timeout_factor = max(1.0, self._timeout_factor - elapsed / STREAM_TIMEOUT_MS / 4)
            return
        silent = [s for s in self.streams.values() if now - s.heard > STREAM_TIMEOUT_MS * self._timeout_factor]
        if len(silent) >= 3 and 2 * len(silent) > len(self.streams) and self._timeout_factor < MAX_TIMEOUT_FACTOR:
            # Most streams fell silent at one time: this member itself may be the cause.
            self._timeout_factor = min(MAX_TIMEOUT_FACTOR, self._timeout_factor * 2)
            self.counters["doubted"] += 1
            return
        for stream in silent:
            self._close_stream(now, stream.ident, "silent")

    def _close_stream(self, now: float, stream: int, why: str) -> None:
        self.counters[f"closed_{why.replace(' ', '_')}"] += 1
        self._actions.append(Close(stream, why))
        self._drop_stream(now, stream)

    def _drop_stream(self, now: float, stream: int) -> None:
        known = self.streams.pop(stream, None)
        self._pending_updates.pop(stream, None)
        if known is not None and known.name:
            self._must_recompute = True
            if known.dialled is not None:
                self._back_off(now, known.name)

    def _back_off(self, now: float, dialled: str) -> None:
        failures = self._dial_backoff.get(dialled, (0, 0.0))[0]
        delay_ms = exponential_backoff(DIAL_BACKOFF_MS, failures, MAX_DIAL_BACKOFF_MS) * self._rng.uniform(0.5, 1.0)
        self._dial_backoff[dialled] = failures + 1, now + delay_ms

    def _settings_match(self, hello: Hello) -> bool:
        """Whether the settings are equal, or differ only in what both members can change while they run."""
        fixed = self._fixed_settings
        return hello.settings == self._settings or (fixed != "" and hello.fixed_settings == fixed)

    def _handle_hello(self, now: float, stream: Stream, hello: Hello) -> None:
        peer = hello.record
        if hello.cluster != self._cluster or not self._settings_match(hello):
            self._close_stream(now, stream.ident, "another fleet")
        elif peer.life == self.own_record.life:
            self._close_stream(now, stream.ident, "myself")
        elif not stream.name:
            stream.name, stream.life = peer.name, peer.life
            self._forgotten.pop(peer.name, None)
            if peer.name != self.own_record.name:
                self._dial_backoff.pop(peer.name, None)
            self._merge_record(now, peer, stream.ident)
            self._must_recompute = True
            held = self.records.get(peer.name)
            if held is not None and held != peer:
                # For example its predecessor's record: the peer must learn of it to refute it.
                self._pending_updates.setdefault(stream.ident, {})[peer.name] = None
            if stream.dialled is not None:
                stream.synced = now
                self._send(stream.ident, self._make_summary())

    # Records

    def _make_summary(self, answer: bool = False) -> Summary:
        return Summary(tuple((name, *record.age) for name, record in self.records.items()), answer)

    def _handle_summary(self, now: float, stream: Stream, summary: Summary) -> None:
        theirs = {name: (incarnation, version) for name, incarnation, version in summary.ages}
        for name, record in self.records.items():
            if theirs.get(name, (-1, -1)) < record.age:
                self._pending_updates.setdefault(stream.ident, {})[name] = None
        is_behind = any(self._wants_record(now, name, age) for name, age in theirs.items())
        if is_behind and not summary.answer:
            stream.synced = now
            self._send(stream.ident, self._make_summary(answer=True))
        # Where a false record is about, ages can be equal and digests not: both ends send all records, and merging them
        # makes both equal.
        if stream.differs >= 4 and not is_behind:
            self._pending_updates.setdefault(stream.ident, {}).update(dict.fromkeys(self.records))

    def _wants_record(self, now: float, name: str, age: tuple[int, int]) -> bool:
        held, forgotten = self.records.get(name), self._forgotten.get(name)
        if forgotten is not None and age[0] <= forgotten[0][0] and now < forgotten[1]:
            return False
        return held is None or held.age < age

    def _merge_record(self, now: float, record: Record, source: int) -> None:
        if not 0 <= record.version <= MAX_VERSION or not record.name:
            self.counters["implausible"] += 1
            return
        if record.name == self.own_record.name:
            self._handle_own_name(now, record, source)
            return
        held, forgotten = self.records.get(record.name), self._forgotten.get(record.name)
        if held is None and len(self.records) >= MAX_MEMBERS:
            self.counters["too_many"] += 1
            return
        if held is None and forgotten is not None and record.incarnation <= forgotten[0][0] and now < forgotten[1]:
            return
        merged = record if held is None else merge(held, record)
        if merged is not held and merged != held:
            self._store(now, merged, source)

    def _store(self, now: float, record: Record, source: int | None) -> None:
        held = self.records.get(record.name)
        if held is not None:
            self.digest ^= fingerprint(held)
        self.digest ^= fingerprint(record)
        self.records[record.name] = record
        self._must_recompute, self.changed_at = True, now
        for stream in self.streams.values():
            if stream.name and stream.ident != source:
                self._pending_updates.setdefault(stream.ident, {})[record.name] = None

    def _publish(self, record: Record) -> None:
        self.own_record = record
        self._store(self._last_tick, record, None)

    def _handle_own_name(self, now: float, record: Record, source: int) -> None:
        """Handle a received record under this member's own name: refute it, or note that a newer process runs."""
        if record.life == self.own_record.life:
            if record.age > self.own_record.age or (record.age == self.own_record.age and record != self.own_record):
                self._publish(replace(self.own_record, version=min(record.version + 1, MAX_VERSION)))
        elif record.incarnation >= self.own_record.incarnation:
            # Of a predecessor whose clock was ahead, or of a process started after this one. Only the latter is alive,
            # so that other members see it.
            if self._newer_process is None or self._newer_process[0] != record.life:
                self._newer_process = record.life, now
                self._newer_incarnation = record.incarnation
        elif source in self.streams:
            self._pending_updates.setdefault(source, {})[self.own_record.name] = None

    def _check_newer_process(self, now: float) -> None:
        if self._newer_process is None:
            return
        life, since = self._newer_process
        seen = any(
            (self.own_record.name, life) in self.records[name].sees
            for name in self.here
            if name != self.own_record.name
        )
        seen = seen or any(stream.life == life for stream in self.streams.values())
        if seen and now - since > STREAM_TIMEOUT_MS * MAX_TIMEOUT_FACTOR:
            self.is_replaced = True
        elif not seen:  # the members that saw it had outdated information or were partitioned
            self._newer_process, self.is_replaced = None, False
            if self._newer_incarnation >= self.own_record.incarnation:
                self._publish(
                    replace(
                        self.own_record, incarnation=self._newer_incarnation + 1, version=self.own_record.version + 1
                    )
                )

    # Derived from the records

    def _recompute(self, now: float) -> None:
        """Update the own record's ``sees``, and who is here, after a change of records or streams."""
        if not self._must_recompute:
            return
        if not self.own_record.left:
            sees = tuple(
                sorted({(s.name, s.life) for s in self.streams.values() if s.name and s.name != self.own_record.name})
            )
            has_lost = bool(set(self.own_record.sees) - set(sees))
            may_publish = (
                has_lost
                or not self.own_record.sees
                or now - self._started_at >= STARTUP_MS
                or now - self._sees_published_at >= GAIN_PUBLISH_INTERVAL_MS
            )
            if sees != self.own_record.sees and may_publish:
                self._sees_published_at = now
                self._publish(replace(self.own_record, sees=sees, version=self.own_record.version + 1))
        here, to_visit = {self.own_record.name}, [self.own_record]
        while to_visit:
            for name, life in to_visit.pop().sees:
                other = self.records.get(name)
                if other is not None and other.life == life and not other.left and name not in here:
                    here.add(name)
                    to_visit.append(other)
        unseen = {n for n in self.here - here if n in self.records and not self.records[n].left}
        self._unseen_since = {name: self._unseen_since.get(name, now) for name in unseen}
        here |= {name for name, since in self._unseen_since.items() if now - since < self._away_after_ms(name)}
        self._must_recompute = bool(self._unseen_since) or (not self.own_record.left and sees != self.own_record.sees)
        if frozenset(here) != self.here:
            self.here = frozenset(here)
            self._successors = ring_successors(self.own_record, [self.records[name] for name in here])
        self._close_unneeded_streams(now)
        current = (self.here, self.away, self.left)
        if current != self._reported:
            self._unreported_change = (self._unreported_change[0] if self._unreported_change else now), now
        else:
            self._unreported_change = None

    def _away_after_ms(self, name: str) -> float:
        """How long a member may be unseen before it is away.

        Where many members lose it at one time, they agree that it is gone; where it had only one or two streams, these
        may have broken by chance.
        """
        return AWAY_AFTER_WITH_FEW_STREAMS_MS if len(self.records[name].sees) <= FEW_STREAMS else AWAY_AFTER_MS

    def _close_unneeded_streams(self, now: float) -> None:
        """Close the streams that this member dialled and its rings do not need, once it has all that they need."""
        names = {stream.name for stream in self.streams.values()}
        if not all(name in names for name in self._successors):
            return
        for stream in list(self.streams.values()):
            if stream.dialled is not None and stream.name and stream.name not in self._successors:
                self._close_stream(now, stream.ident, "not wanted")
                self._dial_backoff.pop(stream.name, None)

    def _forget_absent(self, now: float) -> None:
        absent = {name for name in self.records if name not in self.here}
        self._absent_since = {name: self._absent_since.get(name, now) for name in absent}
        for name in [name for name, since in self._absent_since.items() if now - since > FORGET_MS]:
            record = self.records.pop(name)
            self.digest ^= fingerprint(record)
            del self._absent_since[name]
            self._forgotten[name] = record.age, now + FORGET_MS
            self._must_recompute = True
        for name in [name for name, (_, until) in self._forgotten.items() if until <= now]:
            del self._forgotten[name]

    # Dials

    def _dial_members(self, now: float) -> None:
        if self.own_record.left:
            return
        names = {stream.name for stream in self.streams.values()}
        for name in self._successors:
            if name not in names and name in self.records:
                self._try_dial(now, name, self.records[name].address)
        if now < self._next_reconnect:
            return
        self._next_reconnect = now + RECONNECT_INTERVAL_MS * self._rng.uniform(0.5, 1.5)
        away = sorted(self.away)
        addresses = {record.address for record in self.records.values()}
        unknown_seeds = [seed for seed in self._seeds if seed not in addresses]
        if away and (not unknown_seeds or self._rng.random() < 0.5):
            name = self._rng.choice(away)
            self._try_dial(now, name, self.records[name].address, respect_backoff=False)
        elif unknown_seeds or not self.streams:
            seed = self._rng.choice(unknown_seeds or list(self._seeds) or [""])
            if seed and seed != self.own_record.address:
                self._try_dial(now, seed, seed, respect_backoff=False)

    def _try_dial(self, now: float, name: str, address: str, respect_backoff: bool = True) -> None:
        if name in self._dialling or len(self._dialling) >= MAX_CONCURRENT_DIALS:
            return
        if respect_backoff and now < self._dial_backoff.get(name, (0, 0.0))[1]:
            return
        self._dialling[name] = now
        self._actions.append(Dial(name, address))

    # Messages and actions

    def _send(self, stream: int, message: ViewMessage) -> None:
        self._actions.append(Send(stream, message))

    def _flush_updates(self) -> None:
        pending, self._pending_updates = self._pending_updates, {}
        for stream, names in pending.items():
            if stream in self.streams:
                self._send_records(stream, [self.records[name] for name in names if name in self.records])

    def _send_records(self, stream: int, records: Iterable[Record]) -> None:
        remaining = list(records)
        while remaining:
            batch, remaining = remaining[:MAX_RECORDS_PER_UPDATE], remaining[MAX_RECORDS_PER_UPDATE:]
            self._send(stream, RecordUpdates(tuple(batch)))

    def _report_change(self, now: float) -> None:
        if self._unreported_change is None:
            return
        first, latest = self._unreported_change
        if now - latest >= REPORT_DELAY_MS or now - first >= MAX_REPORT_DELAY_MS:
            self._unreported_change, self._reported = None, (self.here, self.away, self.left)
            self._actions.append(ViewChanged(*self._reported))

    def _take_actions(self) -> list[Action]:
        actions, self._actions = self._actions, []
        return actions
