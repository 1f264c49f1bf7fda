"""A client's set-up that is whole and within 16 KiB, but too long for the line to a host, beside a usual client."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from platform_standin import SLACK_S, TROUBLE, Bulletin, Host, NotRun, Owner, Placer, Record, Task, run_case  # noqa: E402
from settings import ROOMS, catania  # noqa: E402

LETTERS = "αβγδεζηθικλμνξοπρστυφχψω"
NAME_CHARS = 120
DESCRIPTION_BYTES = 15_200 if TROUBLE else 13_000


async def case(record: Record, folder: Path) -> str:
    bulletin = Bulletin(record)
    await bulletin.start()
    hosts = [Host(record, f"s-0000000{n}", ROOMS[n], n, 31.0, 60.0) for n in range(3)]
    for host in hosts:
        await host.start()
    bulletin.publish(*hosts, everything=True)
    placer = Placer(record, folder, "n0", catania(), bulletin)
    try:
        placer.start()
        await placer.ready()
        usual = Owner(record, "usual client", placer.address)
        connection = await usual.connect()
        standing = [Task(f"{n + 1:016x}", f"task-{n}", "reading-api", f"{n:016x}", 8000) for n in range(3)]
        for task in standing:
            usual.submit(connection, task)
        await asyncio.sleep(1.0)
        if not all(task.answers for task in standing):
            raise NotRun("the usual client's first tasks were not placed")

        for host in hosts:
            host.admit_s = 0.5  # slow, so that a request is open meanwhile
        waiting = Task("00000000000000f1", "task-open", "reading-api", "00000000000000f1", 8000)
        usual.submit(connection, waiting)
        await asyncio.sleep(0.1)

        other = Owner(record, "other client", placer.address)
        long = Task("00000000000000f2", (LETTERS * 6)[:NAME_CHARS], "billing-run", "00000000000000f2", 5000)
        long.key = (LETTERS[::-1] * 6)[:NAME_CHARS]
        long.description = ("m=audio " * 2000)[:DESCRIPTION_BYTES]
        size = len(long.setup())
        record("other client", f"its set-up has {size} bytes of at most 16384")
        assert size <= 16384
        other.submit(await other.connect(), long)

        await asyncio.sleep(waiting.left_ms / 1000 + SLACK_S)
        status = placer.exit_status()
        if status is not None:
            record("n0", f"ended by itself, exit status {status}; the end of its log: {placer.log_tail(1)}")
        broken = []
        if status is not None:
            broken.append(f"the placer crashed (exit status {status})")
        if len(waiting.answers) + len(waiting.releases) != 1:
            broken.append(f"the usual client's open request got {len(waiting.answers) + len(waiting.releases)} answers")
        return "; ".join(broken)
    finally:
        placer.kill()


sys.exit(run_case(HERE, case))
