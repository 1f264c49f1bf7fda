"""A soak of one placer's process over loopback, drawn from a seed: ``python -m tests.node.soak FROM TO [SECONDS [DEFECT]]``.

Beside steady load from several owners, each seed draws which system calls fail, how the wall clock is stepped, hosts that
reset connections, hang, die and come back having forgotten their tasks, drains, a list that falls silent or breaks off,
SIGHUP, owners that leave or cancel, and at the end SIGTERM while owners go on using their connections until the process ends
or may be killed. The oracle knows what each host did; what an owner is owed by then is in :class:`Verdict`.
"""

from __future__ import annotations

import os
import random
import signal
import subprocess
import sys
import tempfile
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from sprucepost.loop import Co, Task, TimedOut, connect, current, sleep
from sprucepost.node import binary
from sprucepost.node.binary import Code, Kind, Message
from sprucepost.node.config import read_config
from sprucepost.node.jsonl import Line, MessageType
from tests.node.faulty_system import BREAKING, PASSING, Faults
from tests.node.platform import Host, Link, Platform, run_on_platform, settings, setup

ROOT = Path(__file__).parent.parent.parent
HOSTS, CONNECTIONS = 6, 4
SERVICES = ("00000000b4d65521", "00000000b4d65522", "00000000b4d65523")
DEADLINES_MS = (3000.0, 300.0, 1000.0, 8000.0)  # of both classes, in turn by seed
LONGEST_MS = 3000.0  # a longer deadline counts as this from SIGTERM to SIGKILL
SLACK_MS = 500.0  # what a request may be late by, as the platform counts
LEFT_MS = 100.0 + 50.0  # an attempt may begin so long after its owner has left, and the platform's slack
END_OWED_MS = 8000.0 + SLACK_MS  # from a task's end to its release, where the host could not tell
RELEASE_OWED_MS = 1000.0 + SLACK_MS  # where it could
WHOLE_MS = 300.0  # a connection that lives so much longer has carried what was said on it
SETTLED_MS = 1000.0  # from the last fault of the list to when its drains count
FAULTS = ("reset", "die", "hang", "drain", "list", "hup", "stand", "none")
FAULTS_AT_THE_END = ("reset", "hang", "hup", "none")
QUIET_MS = END_OWED_MS + 200.0  # after the load: by then each owner has had what it is owed
AGAIN_MS = 300.0  # load again before SIGTERM
KILL_AFTER_MS = 700.0  # the longest deadline and this lie between SIGTERM and SIGKILL, at the earliest
BETWEEN_MS = (20.0, 120.0)  # set-ups of one owner
CROSSING_MS = 50.0  # a set-up sent so shortly before the placer's close may have crossed it, and is sent again
BREAKS_APART_S = 0.25  # a host says a release twice and no more
DRAINS_MS = 4000.0
END_CHOICES = (0.05, 0.2, 0.6, 2.0)  # how long tasks run, in s


@dataclass
class TaskSeen:
    """What the oracle knows of one task."""

    sid: str
    sent: float
    link: Link
    left: float | None = None  # when its owner left or cancelled
    answers: int = 0
    releases: list[float] = field(default_factory=list)
    ended: float | None = None  # when the copy that was answered was over at its host
    told: float | None = None  # when its host could tell so
    refused: bool = False


@dataclass
class Verdict:
    """Counts of a run; each of ``bad`` is something that an owner or a host was owed."""

    counts: Counter[str] = field(default_factory=Counter)
    bad: list[str] = field(default_factory=list)


class SoakHost:
    """A host that runs tasks, and may die, hang or drain."""

    def __init__(self, soak: Soak, uid: str) -> None:
        self.soak, self.uid, self.platform = soak, uid, soak.platform
        self.host: Host = self._listen(0)
        self.running: dict[str, Link] = {}
        self.hangs_until = 0.0
        self.drains_since: float | None = None
        self.boot_ms = 0.0
        self.life = 0

    def _listen(self, port: int) -> Host:
        host = self.platform.host(self.uid, port)
        host.on_open = self._open
        return host

    def _when_awake(self, call: Callable[[], None]) -> None:
        """A host that hangs does and says nothing until it is awake; one that has died never does."""
        life, now = self.life, self.platform.loop.now()

        def awake() -> None:
            if self.life == life:
                call()

        if now < self.hangs_until:
            self.platform.loop.call_later(self.hangs_until - now, awake)
        else:
            call()

    def _open(self, link: Link, line: Line) -> None:
        self._when_awake(lambda: self._take(link, line))

    def _take(self, link: Link, line: Line) -> None:
        if link.ended:
            return
        rng = self.soak.rng
        self.soak.attempt_came(self, line.sid)
        if rng.random() < 0.06:
            link.send(MessageType.CLOSE, line.sid, code=rng.choice((34, 47)))
            return
        self.running[line.sid] = link
        pause = rng.choice((0.0, 0.0, 0.0, 20.0, 200.0))
        life = self.life
        self.platform.loop.call_later(pause, lambda: self._answer(link, line.sid, life))

    def _answer(self, link: Link, sid: str, life: int) -> None:
        if life != self.life or self.running.get(sid) is not link:
            return
        if any(said.type is MessageType.CLOSE and said.sid == sid for said in link.received) or link.ended:
            self.running.pop(sid)  # it was taken back, or its connection ended with it open
            return
        self._when_awake(lambda: link.send(MessageType.READY, sid, text=self.uid))
        runs = 1000.0 * self.soak.rng.choice(END_CHOICES)
        self.platform.loop.call_later(runs, lambda: self._when_awake(lambda: self._end(link, sid, life)))

    def _end(self, link: Link, sid: str, life: int) -> None:
        if life != self.life or self.running.pop(sid, None) is None:
            return
        if any(
            said.type is MessageType.CLOSE and said.sid == sid for each in self.host.links for said in each.received
        ):
            return  # the placer has cut it
        self.soak.task_over(sid, self.uid)
        now = self.platform.loop.now()
        said = self._say_end(sid, link)
        self.platform.loop.call_later(WHOLE_MS, lambda: self._note_told(sid, said, now))
        self._repeat(sid, len(self.host.links), life)

    def _say_end(self, sid: str, link: Link) -> Link | None:
        usable = [link] if not link.ended else [other for other in self.host.links if not other.ended]
        if not usable:
            return None
        usable[0].send(MessageType.CLOSE, sid, code=16)
        return usable[0]

    def _note_told(self, sid: str, said: Link | None, at: float) -> None:
        if said is not None and not said.ended:
            self.soak.task_told(sid, at)

    def _repeat(self, sid: str, links: int, life: int) -> None:
        """Say the release once more on the next connection that is opened, and lives long enough to be written to."""
        if life != self.life or self.soak.over:
            return
        later = [link for link in self.host.links[links:] if not link.ended]
        if later:
            self._when_awake(lambda: later[0].send(MessageType.CLOSE, sid, code=16))
        else:
            self.platform.loop.call_later(10.0, lambda: self._repeat(sid, links, life))

    # Faults

    def reset_all(self) -> None:
        for link in self.host.links:
            if not link.ended:
                link.transport.abort()
                link.ended = True

    def die(self) -> None:
        """Its tasks are over, and it comes back at its address having forgotten them."""
        self.life += 1
        for sid in self.running:
            self.soak.task_over(sid, self.uid)
        self.running = {}
        for link in self.host.links:
            link.ended = True
        self.host.die()
        port = self.host.port
        life = self.life

        def back() -> None:
            if self.life == life and not self.soak.over:
                self.host = self._listen(port)
                self.boot_ms = self.soak.platform.loop.wall()
                self.platform.loop.call_later(self.soak.rng.choice((0.0, 100.0, 1500.0)), self.tell)

        self.platform.loop.call_later(self.soak.rng.choice((30.0, 600.0)), back)

    def tell(self) -> None:
        """Have the list tell of it."""
        state = "DRAINING" if self.drains_since is not None else "SERVING"
        self.platform.bulletin.publish(self.host.entry(boot_ms=self.boot_ms, state=state))

    def drain(self) -> None:
        if self.drains_since is None:
            self.drains_since = self.platform.loop.now()
            self.tell()
            self.platform.loop.call_later(DRAINS_MS, self.serve_again)

    def serve_again(self) -> None:
        self.drains_since = None
        self.tell()


class Soak:
    """One run."""

    def __init__(self, platform: Platform, seed: int, seconds: float, defect: str) -> None:
        self.platform, self.seed, self.seconds, self.defect = platform, seed, seconds, defect
        self.rng = random.Random(seed)
        # By itself, so that a seed's faults do not depend on the order in which requests and answers come.
        self._fault_rng = random.Random(f"faults of {seed}")
        self.over = False
        self.quiet = False  # no new set-ups and no faults
        self.ending = False  # load and faults once more, and the end
        self.terminated = 0.0  # when SIGTERM was sent
        self.verdict = Verdict()
        self.tasks: dict[str, TaskSeen] = {}
        self.links: list[Link] = []  # of owners, ever
        self._ended_at: dict[Link, float] = {}  # owners' connections that the placer, or a fault, has ended
        self.list_fault_until = 0.0
        self.busy_until = 0.0  # the placer's process stands still until then
        self._answered_at: dict[str, str] = {}
        self._copies: defaultdict[str, set[str]] = defaultdict(set)
        self.hosts = [SoakHost(self, f"s-{n}") for n in range(HOSTS)]
        for host in self.hosts:
            host.tell()
        platform.bulletin.items.clear()
        platform.bulletin.publish(*(host.host.entry() for host in self.hosts), everything=True)
        self.deadline_ms = DEADLINES_MS[seed % len(DEADLINES_MS)]
        self.kill_ms = min(LONGEST_MS, self.deadline_ms) + KILL_AFTER_MS
        classes = [{**each, "deadline": self.deadline_ms} for each in settings()["classes"]]
        self.environment = platform.environment(settings=settings(classes=classes))
        self.listen = read_config(self.environment).listen
        self.log = (platform.folder / f"log-{seed}").open("w")
        self.process = subprocess.Popen(
            [sys.executable, "-m", "tests.node.faulty_system", self._faults().text()],
            stdout=self.log, stderr=self.log, cwd=ROOT, env={**os.environ, **self.environment},
        )  # fmt: skip

    def _faults(self) -> Faults:
        # A shutdown(2) of a connection that stands does not fail on Linux; the table plays it all the same.
        calls = self.rng.sample(sorted(PASSING.keys() - {"shutdown"}), 5)
        errnos = {call: list(PASSING[call]) for call in calls}
        share, apart = self.rng.choice(((0.05, 0.0), (0.0, 0.0))) if self.rng.random() < 0.5 else (0.02, BREAKS_APART_S)
        if apart:
            call = self.rng.choice(sorted(BREAKING))
            errnos = {call: list(BREAKING[call])}
        self._breaks = apart > 0.0
        steps = [(0.0, 0.0)] if self.rng.random() < 0.5 else [(0.0, self.rng.choice((0.0, 3600.0, -3600.0, -7.0)))]
        steps.append((self.seconds * self.rng.uniform(0.2, 0.6), self.rng.choice((0.0, 7.0, -7.0, 3600.0, -3600.0))))
        return Faults(self.seed, errnos, share, 0, apart, self.rng.choice((0.0, 0.3)), steps, self.defect)

    # What hosts report

    def attempt_came(self, host: SoakHost, sid: str) -> None:
        now, seen = self.platform.loop.now(), self.tasks.get(sid)
        self.verdict.counts["attempts"] += 1
        if seen is None:
            self.verdict.bad.append(f"{sid}: nobody sent it")
            return
        self._copies[sid].add(host.uid)
        late = now - max(seen.left, self.busy_until) if seen.left is not None else 0.0
        hung = host.hangs_until and now < host.hangs_until + WHOLE_MS
        if late > LEFT_MS and not hung:
            self.verdict.bad.append(f"{sid}: an attempt at {host.uid} {late:.0f} ms after its owner left")
        drains = host.drains_since
        if drains is not None and now > max(drains, self.list_fault_until) + SETTLED_MS + SLACK_MS and not hung:
            self.verdict.bad.append(f"{sid}: an attempt at {host.uid}, which drains since {now - drains:.0f} ms")

    def task_over(self, sid: str, uid: str) -> None:
        seen = self.tasks[sid]
        if seen.answers and self._answered_at.get(sid) == uid and seen.ended is None:
            seen.ended = self.platform.loop.now()

    def task_told(self, sid: str, at: float) -> None:
        seen = self.tasks[sid]
        if seen.ended is not None and seen.told is None:
            seen.told = at

    # Owners

    def _heard(self, message: Message) -> None:
        seen = self.tasks.get(message.task)
        if seen is None:
            return
        if message.kind == Kind.ANSWER:
            seen.answers += 1
            text = message.parameters.get(Code.DESCRIPTION, b"")
            self._answered_at[message.task] = text.decode().strip('"')
        elif message.kind == Kind.RELEASE:
            seen.releases.append(self.platform.loop.now())
            seen.refused |= not seen.answers

    def _connect(self, task: Task[Any]) -> Co[Link | None]:
        try:
            transport = yield from connect(self.platform.loop, task, self.listen, 1000.0)
        except (OSError, TimedOut):
            return None
        link = Link(transport, binary.Decoder(), lambda _, message: self._heard(message))
        self.links.append(link)

        def ended() -> None:
            link.ended = True
            link.transport.close()
            self._ended_at[link] = self.platform.loop.now()

        transport.on_end, transport.on_lost = ended, lambda error: ended()
        return link

    def owner(self, number: int) -> Co[None]:
        """One owner's connection, opened anew whenever it ends: steady set-ups, some given up."""
        task = yield from current()
        link: Link | None = None
        count = 0
        while not self.over:
            if link is None or link.ended:
                link = yield from self._connect(task)
                if link is None:
                    yield from sleep(50)
                    continue
            if self.quiet:
                yield from sleep(20)
                continue
            count += 1
            sid = f"{number:04x}{count:04x}{self.seed & 0xFFFFFFFF:08x}"
            seen = self.tasks[sid] = TaskSeen(sid, self.platform.loop.now(), link)
            self.verdict.counts["requests"] += 1
            changes = self.rng.choice(({"CLASS": "web"}, {"CLASS": "bill", "KEY": sid}))
            figures = f"cores:1;memory:2;service:{self.rng.choice(SERVICES)}"
            link.transport.write(setup(sid, FIGURES=figures, LEFT=f"{self.deadline_ms:.0f}", **changes))
            fate = self.rng.random()
            if fate < 0.05:
                yield from sleep(self.rng.choice((0.0, 5.0, 100.0)))
                if not link.ended and not seen.answers and not seen.releases:
                    seen.left = self.platform.loop.now()
                    link.transport.write(binary.encode(Kind.RELEASE, sid, [(Code.CAUSE, bytes([16]))]))
            elif fate < 0.06:
                self._leave(link)
            yield from sleep(self.rng.uniform(*BETWEEN_MS))

    def _leave(self, link: Link) -> None:
        for seen in self.tasks.values():
            if seen.link is link and not seen.answers and not seen.releases and seen.left is None:
                seen.left = self.platform.loop.now()
        link.transport.abort()
        link.ended = True

    # Faults

    def faults(self) -> Co[None]:
        """One after the other, until the run ends."""
        deck: list[str] = []
        while not self.over:
            yield from sleep(self._fault_rng.uniform(100.0, 600.0))
            if self.quiet:
                continue
            if not deck:  # each kind comes once before any comes again
                deck = self._fault_rng.sample(FAULTS, len(FAULTS))
            kind = self._fault_rng.choice(FAULTS_AT_THE_END) if self.ending else deck.pop()
            self.verdict.counts[f"fault {kind}"] += 1
            host = self._fault_rng.choice(self.hosts)
            if kind == "reset":
                host.reset_all()
            elif kind == "die":
                host.die()
            elif kind == "hang":
                host.hangs_until = self.platform.loop.now() + self._fault_rng.choice((200.0, 1500.0))
            elif kind == "drain":
                host.drain()
            elif kind == "list":
                self._list_fault()
            elif kind == "hup":
                self.process.send_signal(signal.SIGHUP)
            elif kind == "stand":
                self._stand_still()

    def _list_fault(self) -> None:
        for_ms = self._fault_rng.choice((300.0, 2000.0))
        self.platform.bulletin.mode = self._fault_rng.choice(("silent", "breaks"))
        self.list_fault_until = self.platform.loop.now() + for_ms + 2500.0

        def well() -> None:
            self.platform.bulletin.mode = "answers"

        self.platform.loop.call_later(for_ms, well)

    def _stand_still(self) -> None:
        """The process is stopped for a moment."""
        for_ms = self._fault_rng.choice((50.0, 300.0))
        self.busy_until = self.platform.loop.now() + for_ms + LEFT_MS
        self.process.send_signal(signal.SIGSTOP)
        self.platform.loop.call_later(for_ms, lambda: self.process.send_signal(signal.SIGCONT))

    # The run

    def play(self) -> Co[None]:
        """Load and faults, quiet until all is over, then the end."""
        yield from sleep(1000.0 * self.seconds)
        self.quiet = True
        yield from sleep(QUIET_MS)
        self.quiet, self.ending = False, True
        yield from sleep(AGAIN_MS)
        if self.process.poll() is not None:
            self.verdict.bad.append(f"the process ended by itself, status {self.process.returncode}")
            return
        self.process.send_signal(signal.SIGCONT)
        self.process.send_signal(signal.SIGTERM)
        began = self.terminated = self.platform.loop.now()
        while self.process.poll() is None and self.platform.loop.now() - began < self.kill_ms:
            if self.rng.random() < 0.02:  # once more
                self.process.send_signal(signal.SIGTERM)
            yield from sleep(5)
        status = self.process.poll()
        left_open = sum(not link.ended for link in self.links)
        if status is None and left_open:  # it may be killed while it exits, with nothing owed to anybody
            self.verdict.bad.append(f"{left_open} connections open {self.kill_ms:.0f} ms after SIGTERM")
        elif status:
            self.verdict.bad.append(f"ended with status {status}")
        self.over = True

    def judge(self, ended: float) -> None:
        """What each owner was owed when the process began to end, or before."""
        for seen in self.tasks.values():
            broke = seen.link.ended and not (seen.answers or seen.releases)
            self._count(seen, broke)
            if seen.answers > 1 or len(seen.releases) > (2 if seen.answers else 1):
                self._bad(seen, f"{seen.answers} answers, {len(seen.releases)} releases")
            ended_at = self._ended_at.get(seen.link)
            waited = ended_at - seen.sent if ended_at is not None else 0.0
            if broke and seen.left is None and waited > CROSSING_MS and not self._breaks:
                self._bad(seen, f"its connection ended {waited:.0f} ms later without an answer")
            if seen.left is not None or broke:
                continue
            if not seen.answers and not seen.releases and ended - seen.sent > self.deadline_ms + SLACK_MS:
                self._bad(seen, "no outcome")
            if not seen.answers or seen.ended is None:
                continue
            due = min(seen.ended + END_OWED_MS, (seen.told or seen.ended + END_OWED_MS) + RELEASE_OWED_MS)
            first = seen.releases[0] if seen.releases else ended
            if first > max(due, self.busy_until) and ended > due:
                self._bad(seen, f"over {first - seen.ended:.0f} ms before its release, told {seen.told is not None}")

    def _count(self, seen: TaskSeen, broke: bool) -> None:
        kinds = {"served": seen.answers > 0, "refused or failed": seen.refused, "connection broke": broke}
        kinds["left"] = seen.left is not None
        self.verdict.counts.update(name for name, holds in kinds.items() if holds)

    def _bad(self, seen: TaskSeen, text: str) -> None:
        self.verdict.bad.append(f"{seen.sid}: {text}; sent {seen.sent:.0f}, left {seen.left}")


def run(folder: Path, seed: int, seconds: float, defect: str = "") -> Verdict:
    """One soak, of a placer with that planted defect if any."""
    found: list[Verdict] = []

    def body(platform: Platform) -> Co[None]:
        soak = Soak(platform, seed, seconds, defect)
        found.append(soak.verdict)
        try:
            spawn = platform.spawn
            for number in range(CONNECTIONS):
                spawn(soak.owner(number), f"owner {number}")
            spawn(soak.faults(), "faults")
            yield from soak.play()
            soak.judge(soak.terminated or platform.loop.now())
        finally:
            soak.over = True
            if soak.process.poll() is None:
                soak.process.kill()
            soak.process.wait(10)
            soak.log.close()

    run_on_platform(folder, body)
    return found[0]


def main() -> int:
    """A line for each seed, and the sums."""
    first, last = int(sys.argv[1]), int(sys.argv[2])
    seconds = float(sys.argv[3]) if len(sys.argv) > 3 else 20.0
    defect = sys.argv[4] if len(sys.argv) > 4 else ""
    total, bad = Counter[str](), 0
    for seed in range(first, last):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        verdict = run(folder, seed, seconds, defect)
        total.update(verdict.counts)
        bad += len(verdict.bad)
        print(f"{seed} {'BAD' if verdict.bad else 'ok'} {dict(sorted(verdict.counts.items()))}", flush=True)
        for text in verdict.bad[:10]:
            print(f"    {text} ({folder})", flush=True)
    print(f"bad {bad}; {dict(sorted(total.items()))}")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
