"""A room is cut off for 10 s. When it is back, its tasks, which their placer had told as lost, still run, and their owner
hands them over: half of them to that placer, half to another one."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from platform_standin import SLACK_S, TROUBLE, Bulletin, Host, NotRun, Owner, Placer, Record, Task, Way, run_case  # noqa: E402
from settings import catania  # noqa: E402

CUT_S = 10.0  # one room is cut off from the others for 5.1 to 19 s
OWNER_WAIT_S = 3.0  # after the loss of the machine the owner of a keyed task waits so long
FIND_S = 0.1  # after the cut, until the owner finds what runs
AFTER_CUT_S = 6.0  # until the tasks that still stand come to their end
END_S = 8.0  # an end of which no release could be sent is told within that; 1 s where it could


async def case(record: Record, folder: Path) -> str:
    hosts = [Host(record, f"s-0000000{n}", "room-b", n, 31.0, 60.0) for n in range(2)]
    for host in hosts:
        await host.start()
    placers: list[Placer] = []
    ways: list[Way] = []
    for n, name in enumerate(["n0", "n1"]):
        bulletin = Bulletin(record)
        await bulletin.start()
        own = [Way(host, name) for host in hosts]
        ways += own
        bulletin.publish(*hosts, everything=True, ways=own)
        placers.append(Placer(record, folder, name, catania(n, 2), bulletin))
    try:
        for placer in placers:
            placer.start()
        for placer in placers:
            await placer.ready()
        owner = Owner(record, "owner", placers[0].address)
        connection = await owner.connect()
        tasks = [Task(f"{n + 1:016x}", f"task-{n}", "billing-run", f"{n:016x}", 5000) for n in range(8)]
        for task in tasks:
            task.key = f"5c0f6e1a2b3d4c59a8b7c6d5e4f3{task.sid[-4:]}"
            owner.submit(connection, task)
        await asyncio.sleep(2.0)
        where = {task.sid: host for task in tasks for host in hosts if host.holds(task.sid)}
        if len(where) < len(tasks) or any(len(task.answers) != 1 for task in tasks):
            raise NotRun("a task was not placed")

        if TROUBLE:
            record("network", "room-b is cut off")
            for way in ways:
                way.cut()
        await asyncio.sleep(CUT_S)
        if TROUBLE:
            record("network", "room-b is back")
            for way in ways:
                way.heal()
        await asyncio.sleep(FIND_S)
        handed: dict[str, tuple[float, str]] = {}
        to = [await owner.connect_to(placer.address) for placer in placers]
        for n, task in enumerate(tasks):  # nobody waits any more for one that was released
            host = where[task.sid]
            if host.holds(task.sid) and task.releases and record.now() >= task.releases[0][0] + OWNER_WAIT_S:
                record("owner", f"finds {task.sid} at {host.uid} and hands it to {placers[n % 2].name}")
                handed[task.sid] = record.now(), placers[n % 2].name
                to[n % 2].send(task.setup(at_host=host.uid))
        await asyncio.sleep(AFTER_CUT_S)

        ended = {}
        for task in tasks:
            host = where[task.sid]
            if host.holds(task.sid):
                ended[task.sid] = record.now()
                host.end(task.sid)
        await asyncio.sleep(END_S + SLACK_S + 0.5)
        for placer in placers:
            if placer.exit_status() is not None:
                raise NotRun(f"{placer.name} ended: {placer.log_tail()}")

        broken = []
        for task in tasks:
            since, holder = handed.get(task.sid, (task.sent_at, "n0"))
            releases = [at for at, _ in task.releases if at > since]
            cut = where[task.sid].cut.get(task.sid, 0.0)
            over = cut if cut > since else ended.get(task.sid)
            if over is not None and not any(at <= over + END_S + SLACK_S for at in releases):
                by = "a placer" if cut > since else "its host"
                broken.append(f"{task.sid}, handed to {holder}, was ended by {by} {over - since:.1f} s later, and its owner"
                              " was told nothing within 8 s")  # fmt: skip
        return "; ".join(broken)
    finally:
        for placer in placers:
            placer.kill()
        for way in ways:
            way.close()


sys.exit(run_case(HERE, case))
