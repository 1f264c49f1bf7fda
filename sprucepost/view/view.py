"""The fleet as one placer sees it: time and words in, words and changes out. No I/O, no clock of its own.

What is agreed on is small: each member's own :class:`Record`, which nobody else writes and of which the newest counts. All
else is derived from them. A record says whom its member *sees*; whoever can be reached over such sightings from here is
*here*. So nobody accuses anybody: a member is away when none of those who are here sees it, however many streams to it have
broken, and it is back when the first of them does.

=========  ================================  =================================================  =======================
a member   when                              what is done                                       ends
=========  ================================  =================================================  =======================
here       seen by one who is here           watched by its predecessor in each ring            unseen for ``LINGER_MS``
away       seen by none who is here          remembered; one of them is dialled each            seen; forgotten
                                             ``RETRY_MS``
left       its own record says so            remembered, so that no rumour revives it           a newer life; forgotten
forgotten  away or left for ``FORGET_MS``    what is heard of that life is not taken for        its own Hello
                                             as long again
=========  ================================  =================================================  =======================

=========  ================================  =================================================  =======================
a stream   when                              what is done                                       ends
=========  ================================  =================================================  =======================
open       until the peer's Hello            closed after the patience without one              Hello
alive      heard within the patience         in ``sees``; beats, news, and summaries where      silence; its end
                                             digests differ
closed     silent, of another fleet, or      dialled again, later each time, while the ring
           not wanted any more               wants it
=========  ================================  =================================================  =======================

The patience is not fixed: who finds that it stood still itself, or that most of its streams fell silent at one time, doubts
itself first and judges slower for a while (Dadgar, Phillips, Currey: Lifeguard, 2018). Changes close in time are told as one
step, as in Rapid (Suresh, Malkhi and others, 2018), whose rings of observers these are too.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, replace

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

TICK_MS = 100.0  # between two ticks that the carrier gives while something changes,
IDLE_TICK_MS = 500.0  # and else
BEAT_MS = 500.0  # between two beats on a stream while something changes,
RESTLESS_MS = 10_000.0  # and for so long after;
IDLE_MS = 2000.0  # then: most of what a quiet member costs is its beats
PATIENCE_MS = 2.5 * IDLE_MS  # a stream that says nothing for so long is closed: one beat may be lost, and one late
DOUBT_MOST = 2.0  # times the patience, at the most, while this member doubts itself
STOOD_MS = 500.0  # between two ticks, more than there should be: this member stood still
SYNC_MS = 1000.0  # between two summaries on a stream whose ends differ
RETRY_MS = 1000.0  # between two dials of members that are away, or of seeds
DIAL_MS, DIAL_MOST_MS = 200.0, 5000.0  # until a dial that failed is tried again, doubled each time
DIALS = 8  # under way at a time
LINGER_MS = 800.0  # unseen for so long a member is away: streams that broke are there again sooner
FEW, LINGER_FEW_MS = 2, 1500.0  # one that had so few streams: longer than a pause of 1 s and the dial after it
GAINED_MS = 1000.0  # between two times that a member tells whom it sees besides,
YOUNG_MS = 10_000.0  # for so long after its start: hundreds may start at once, and each is news for all
STEP_MS = 300.0  # a change is told when nothing else has changed for so long,
MAX_REPORT_DELAY_MS = 1000.0  # or at the latest after that
FORGET_MS = 600_000.0
PART = 64  # records in one piece of news
MAX_MEMBERS = 4096


@dataclass(slots=True)
class Stream:
    """One stream, opened by either end."""

    ident: int
    dialled: str | None  # the name, or a seed's address
    heard: float
    name: str = ""
    life: str = ""
    synced: float = float("-inf")
    differs: int = 0  # beats in a row whose digest was another than ours


class View:
    """``record`` is this member's own; ``seeds`` are addresses, any of which may be dead. ``fixed_settings``: the digest of
    ``settings`` without what running members can change; empty where they change nothing."""

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
        self.is_replaced = False  # a newer process of this name lives, for as long as others see it: this one must go
        self.counters: Counter[str] = Counter()
        self.streams: dict[int, Stream] = {}
        self._actions: list[Action] = []
        self._pending: dict[int, dict[str, None]] = {}  # by stream: names whose records are to go out
        self._dialling: dict[str, float] = {}  # by name or address: since when
        self._failed: dict[str, tuple[int, float]] = {}  # by name: how often in a row, and not before
        self._away: dict[str, float] = {}  # since when
        self._unseen: dict[str, float] = {}  # of those who are here: since when none sees them
        self._forgotten: dict[str, tuple[tuple[int, int], float]] = {}  # age, and until when
        self._twin: tuple[str, float] | None = None  # a newer process of this name, and since when it is seen
        self._told: tuple[frozenset[str], frozenset[str], frozenset[str]] = (self.here, frozenset(), frozenset())
        self._changing: tuple[float, float] | None = None  # first and latest change that has not been told
        self._last_tick, self._beaten, self._retry = now, now, now
        self._doubt = 1.0
        self._wanted: list[str] = []
        self._dirty = True
        self._born, self._gained = now, float("-inf")  # when it started, and last told that
        self.changed_at = now  # when something changed last, here or at a peer

    # What may be asked

    @property
    def is_changing(self) -> bool:
        """Whether ticks are wanted every ``TICK_MS``: something is changing, or has just changed."""
        return (
            self._dirty
            or bool(self._pending)
            or self._changing is not None
            or self._last_tick - self.changed_at < SYNC_MS
        )

    @property
    def away(self) -> frozenset[str]:
        """Members that nobody who is here sees."""
        return frozenset(name for name, record in self.records.items() if name not in self.here and not record.left)

    @property
    def left(self) -> frozenset[str]:
        return frozenset(name for name, record in self.records.items() if record.left)

    def conflicts(self) -> dict[int, list[str]]:
        """Numbers that more than one member has that is here."""
        holders: dict[int, list[str]] = {}
        for name in sorted(self.here):
            holders.setdefault(self.records[name].number, []).append(name)
        return {number: names for number, names in holders.items() if len(names) > 1}

    @property
    def has_namesake(self) -> bool:
        """Whether another process of this name is seen by somebody who is here: alive, or dead for no longer than its
        streams are believed."""
        mine = self.own_record.name, self.own_record.life
        return any(stream.name == mine[0] for stream in self.streams.values()) or any(
            name == mine[0] and life != mine[1] for member in self.here for name, life in self.records[member].sees
        )

    @property
    def is_superseded(self) -> bool:
        """Whether that other process counts as the newer life of this name."""
        return self._twin is not None

    # What happens

    def update(self, **changes: object) -> None:
        """This member's own record says something else from now on."""
        self._publish(replace(self.own_record, version=self.own_record.version + 1, **changes))  # type: ignore[arg-type]

    def leave(self) -> list[Action]:
        """Go in good order: the last news says so."""
        self.update(left=True)
        self._flush()
        return self._out()

    def stream_opened(self, now: float, stream: int, dialled: str | None) -> list[Action]:
        """A stream is there, dialled by this member (under that name or address) or by another."""
        if dialled is not None:
            self._dialling.pop(dialled, None)
        self.streams[stream] = Stream(stream, dialled, now)
        self._say(stream, Hello(self._cluster, self._settings, self.own_record, self._fixed_settings))
        return self._out()

    def dial_failed(self, now: float, dialled: str) -> list[Action]:
        """A dial has failed."""
        self._dialling.pop(dialled, None)
        self._put_off(now, dialled)
        return self._out()

    def stream_ended(self, now: float, stream: int) -> list[Action]:
        """A stream is over, by the other end or by itself."""
        self._drop(now, stream)
        return self._out()

    def message_received(self, now: float, stream: int, word: ViewMessage) -> list[Action]:
        """A word came; one from a stream that was closed meanwhile is nothing."""
        known = self.streams.get(stream)
        if known is None:
            return self._out()
        known.heard = now
        if isinstance(word, Hello):
            self._hello(now, known, word)
        elif not known.name:
            self._close(now, stream, "a word before its hello")
        elif isinstance(word, Heartbeat):
            known.differs = known.differs + 1 if word.digest != self.digest else 0
            if known.differs:
                self.changed_at = now
        elif isinstance(word, RecordUpdates):
            for record in word.records:
                self._take(now, record, stream)
        else:
            self._compare(now, known, word)
        return self._out()

    def tick(self, now: float) -> list[Action]:
        """To be called every ``TICK_MS``, where nothing is ``is_changing`` every ``IDLE_TICK_MS``."""
        stood = now - self._last_tick
        usual = TICK_MS if self.is_changing else IDLE_TICK_MS
        if stood >= usual + STOOD_MS:  # what was said meanwhile has not been read: nobody is judged by it
            for stream in self.streams.values():
                stream.heard += stood
            self._unseen = {name: since + stood for name, since in self._unseen.items()}
            self._doubt = min(DOUBT_MOST, self._doubt * 2)
            self.counters["stood"] += 1
        self._last_tick = now
        self._judge(now, stood)
        self._twins(now)
        if now - self._beaten >= (BEAT_MS if now - self.changed_at < RESTLESS_MS else IDLE_MS):
            self._beaten = now
            for stream in self.streams.values():
                if stream.name:
                    self._say(stream.ident, Heartbeat(self.digest))
        for stream in self.streams.values():
            if stream.differs >= 2 and now - stream.synced >= SYNC_MS and stream.ident not in self._pending:
                stream.synced = now
                self._say(stream.ident, self._summary())
        self._derive(now)
        self._forget(now)
        self._dial(now)
        self._flush()
        self._tell(now)
        return self._out()

    # Streams

    def _judge(self, now: float, passed: float) -> None:
        if all(now - s.heard <= PATIENCE_MS for s in self.streams.values()):
            self._doubt = max(1.0, self._doubt - passed / PATIENCE_MS / 4)  # nothing speaks against itself any more
            return
        silent = [s for s in self.streams.values() if now - s.heard > PATIENCE_MS * self._doubt]
        if len(silent) >= 3 and 2 * len(silent) > len(self.streams) and self._doubt < DOUBT_MOST:
            self._doubt = min(DOUBT_MOST, self._doubt * 2)  # most at one time: it may be me
            self.counters["doubted"] += 1
            return
        for stream in silent:
            self._close(now, stream.ident, "silent")

    def _close(self, now: float, stream: int, why: str) -> None:
        self.counters[f"closed_{why.replace(' ', '_')}"] += 1
        self._actions.append(Close(stream, why))
        self._drop(now, stream)

    def _drop(self, now: float, stream: int) -> None:
        known = self.streams.pop(stream, None)
        self._pending.pop(stream, None)
        if known is not None and known.name:
            self._dirty = True
            if known.dialled is not None:
                self._put_off(now, known.name)

    def _put_off(self, now: float, dialled: str) -> None:
        times = self._failed.get(dialled, (0, 0.0))[0]
        pause = min(DIAL_MS * 2.0**times, DIAL_MOST_MS) * self._rng.uniform(0.5, 1.0)
        self._failed[dialled] = times + 1, now + pause

    def _settings_agree(self, hello: Hello) -> bool:
        """Equal settings, or unlike only in what both can change while they run."""
        fixed = self._fixed_settings
        return hello.settings == self._settings or (fixed != "" and hello.fixed_settings == fixed)

    def _hello(self, now: float, stream: Stream, word: Hello) -> None:
        peer = word.record
        if word.cluster != self._cluster or not self._settings_agree(word):
            self._close(now, stream.ident, "another fleet")
        elif peer.life == self.own_record.life:
            self._close(now, stream.ident, "myself")
        elif not stream.name:
            stream.name, stream.life = peer.name, peer.life
            self._forgotten.pop(peer.name, None)
            if peer.name != self.own_record.name:
                self._failed.pop(peer.name, None)
            self._take(now, peer, stream.ident)
            self._dirty = True
            held = self.records.get(peer.name)
            if held is not None and held != peer:
                self._pending.setdefault(stream.ident, {})[peer.name] = None  # what its predecessor said, say
            if stream.dialled is not None:
                stream.synced = now
                self._say(stream.ident, self._summary())

    # Records

    def _summary(self, answer: bool = False) -> Summary:
        return Summary(tuple((name, *record.age) for name, record in self.records.items()), answer)

    def _compare(self, now: float, stream: Stream, word: Summary) -> None:
        theirs = {name: (incarnation, version) for name, incarnation, version in word.ages}
        for name, record in self.records.items():
            if theirs.get(name, (-1, -1)) < record.age:
                self._pending.setdefault(stream.ident, {})[name] = None
        lacking = any(self._wants(now, name, age) for name, age in theirs.items())
        if lacking and not word.answer:
            stream.synced = now
            self._say(stream.ident, self._summary(answer=True))
        # Ages may be equal and the digests not, where a lie is about: then what each holds goes over, and merging ends it.
        if stream.differs >= 4 and not lacking:
            self._pending.setdefault(stream.ident, {}).update(dict.fromkeys(self.records))

    def _wants(self, now: float, name: str, age: tuple[int, int]) -> bool:
        held, forgotten = self.records.get(name), self._forgotten.get(name)
        if forgotten is not None and age[0] <= forgotten[0][0] and now < forgotten[1]:
            return False
        return held is None or held.age < age

    def _take(self, now: float, record: Record, source: int) -> None:
        if not 0 <= record.version <= MAX_VERSION or not record.name:
            self.counters["implausible"] += 1
            return
        if record.name == self.own_record.name:
            self._defend(now, record, source)
            return
        held, forgotten = self.records.get(record.name), self._forgotten.get(record.name)
        if held is None and len(self.records) >= MAX_MEMBERS:
            self.counters["too_many"] += 1
            return
        if held is None and forgotten is not None and record.incarnation <= forgotten[0][0] and now < forgotten[1]:
            return
        best = record if held is None else merge(held, record)
        if best is not held and best != held:
            self._set(now, best, source)

    def _set(self, now: float, record: Record, source: int | None) -> None:
        held = self.records.get(record.name)
        if held is not None:
            self.digest ^= fingerprint(held)
        self.digest ^= fingerprint(record)
        self.records[record.name] = record
        self._dirty, self.changed_at = True, now
        for stream in self.streams.values():
            if stream.name and stream.ident != source:
                self._pending.setdefault(stream.ident, {})[record.name] = None

    def _publish(self, record: Record) -> None:
        self.own_record = record
        self._set(self._last_tick, record, None)

    def _defend(self, now: float, record: Record, source: int) -> None:
        """Somebody says something of this name."""
        if record.life == self.own_record.life:
            if record.age > self.own_record.age or (record.age == self.own_record.age and record != self.own_record):
                self._publish(replace(self.own_record, version=min(record.version + 1, MAX_VERSION)))
        elif record.incarnation >= self.own_record.incarnation:
            # A predecessor whose clock was ahead, or a process started after this one: the latter lives and is seen.
            if self._twin is None or self._twin[0] != record.life:
                self._twin = record.life, now
                self._twin_incarnation = record.incarnation
        elif source in self.streams:
            self._pending.setdefault(source, {})[self.own_record.name] = None

    def _twins(self, now: float) -> None:
        if self._twin is None:
            return
        life, since = self._twin
        seen = any(
            (self.own_record.name, life) in self.records[name].sees
            for name in self.here
            if name != self.own_record.name
        )
        seen = seen or any(stream.life == life for stream in self.streams.values())
        if seen and now - since > PATIENCE_MS * DOUBT_MOST:
            self.is_replaced = True
        elif not seen:  # whoever had seen it was late, or cut off
            self._twin, self.is_replaced = None, False
            if self._twin_incarnation >= self.own_record.incarnation:
                self._publish(
                    replace(
                        self.own_record, incarnation=self._twin_incarnation + 1, version=self.own_record.version + 1
                    )
                )

    # What follows from the records

    def _derive(self, now: float) -> None:
        if not self._dirty:
            return
        if not self.own_record.left:
            sees = tuple(
                sorted({(s.name, s.life) for s in self.streams.values() if s.name and s.name != self.own_record.name})
            )
            lost = bool(set(self.own_record.sees) - set(sees))
            soon = lost or not self.own_record.sees or now - self._born >= YOUNG_MS or now - self._gained >= GAINED_MS
            if sees != self.own_record.sees and soon:
                self._gained = now
                self._publish(replace(self.own_record, sees=sees, version=self.own_record.version + 1))
        here, edge = {self.own_record.name}, [self.own_record]
        while edge:
            for name, life in edge.pop().sees:
                other = self.records.get(name)
                if other is not None and other.life == life and not other.left and name not in here:
                    here.add(name)
                    edge.append(other)
        unseen = {n for n in self.here - here if n in self.records and not self.records[n].left}
        self._unseen = {name: self._unseen.get(name, now) for name in unseen}
        here |= {name for name, since in self._unseen.items() if now - since < self._linger(name)}
        self._dirty = bool(self._unseen) or (not self.own_record.left and sees != self.own_record.sees)
        if frozenset(here) != self.here:
            self.here = frozenset(here)
            self._wanted = ring_successors(self.own_record, [self.records[name] for name in here])
        self._shed(now)
        state = (self.here, self.away, self.left)
        if state != self._told:
            self._changing = (self._changing[0] if self._changing else now), now
        else:
            self._changing = None

    def _linger(self, name: str) -> float:
        """Where many lose sight of a member at one time, that is agreement; where it had but a stream or two, chance."""
        return LINGER_FEW_MS if len(self.records[name].sees) <= FEW else LINGER_MS

    def _shed(self, now: float) -> None:
        """A stream that this member dialled, and that no ring of its own asks for, is ended once the rings have theirs."""
        names = {stream.name for stream in self.streams.values()}
        if not all(name in names for name in self._wanted):
            return
        for stream in list(self.streams.values()):
            if stream.dialled is not None and stream.name and stream.name not in self._wanted:
                self._close(now, stream.ident, "not wanted")
                self._failed.pop(stream.name, None)

    def _forget(self, now: float) -> None:
        gone = {name for name in self.records if name not in self.here}
        self._away = {name: self._away.get(name, now) for name in gone}
        for name in [name for name, since in self._away.items() if now - since > FORGET_MS]:
            record = self.records.pop(name)
            self.digest ^= fingerprint(record)
            del self._away[name]
            self._forgotten[name] = record.age, now + FORGET_MS
            self._dirty = True
        for name in [name for name, (_, until) in self._forgotten.items() if until <= now]:
            del self._forgotten[name]

    # Dials

    def _dial(self, now: float) -> None:
        if self.own_record.left:
            return
        names = {stream.name for stream in self.streams.values()}
        for name in self._wanted:
            if name not in names and name in self.records:
                self._try(now, name, self.records[name].address)
        if now < self._retry:
            return
        self._retry = now + RETRY_MS * self._rng.uniform(0.5, 1.5)
        away = sorted(self.away)
        known = {record.address for record in self.records.values()}
        strange = [seed for seed in self._seeds if seed not in known]
        if away and (not strange or self._rng.random() < 0.5):
            name = self._rng.choice(away)
            self._try(now, name, self.records[name].address, patient=False)
        elif strange or not self.streams:
            seed = self._rng.choice(strange or list(self._seeds) or [""])
            if seed and seed != self.own_record.address:
                self._try(now, seed, seed, patient=False)

    def _try(self, now: float, name: str, address: str, patient: bool = True) -> None:
        if name in self._dialling or len(self._dialling) >= DIALS:
            return
        if patient and now < self._failed.get(name, (0, 0.0))[1]:
            return
        self._dialling[name] = now
        self._actions.append(Dial(name, address))

    # Words

    def _say(self, stream: int, word: ViewMessage) -> None:
        self._actions.append(Send(stream, word))

    def _flush(self) -> None:
        pending, self._pending = self._pending, {}
        for stream, names in pending.items():
            if stream in self.streams:
                self._news(stream, [self.records[name] for name in names if name in self.records])

    def _news(self, stream: int, records: Iterable[Record]) -> None:
        rest = list(records)
        while rest:
            part, rest = rest[:PART], rest[PART:]
            self._say(stream, RecordUpdates(tuple(part)))

    def _tell(self, now: float) -> None:
        if self._changing is None:
            return
        first, latest = self._changing
        if now - latest >= STEP_MS or now - first >= MAX_REPORT_DELAY_MS:
            self._changing, self._told = None, (self.here, self.away, self.left)
            self._actions.append(ViewChanged(*self._told))

    def _out(self) -> list[Action]:
        actions, self._actions = self._actions, []
        return actions
