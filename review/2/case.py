"""A room is cut off for 10 s; when it is back, the tasks that run there are handed to the placer that had counted them as
lost."""

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
RELEASE_S = 1.0  # a release of the host is passed on within that
END_S = 8.0  # and an end of which no release came is told within that


async def case(record: Record, folder: Path) -> str:
    bulletin = Bulletin(record)
    await bulletin.start()
    rooms = ["room-a", "room-b", "room-b"]
    hosts = [Host(record, f"s-0000000{n}", room, n, 31.0, 60.0) for n, room in enumerate(rooms)]
    ways: list[Way] = []
    for host in hosts:
        await host.start()
        if host.zone == "room-b":
            ways.append(way := Way(host))
            host.listed_address = way.address
    bulletin.publish(*hosts, everything=True)
    placer = Placer(record, folder, "n0", catania(), bulletin)
    try:
        placer.start()
        await placer.ready()
        owner = Owner(record, "owner", placer.address)
        connection = await owner.connect()
        tasks = [Task(f"{n + 1:016x}", f"task-{n}", "billing-run", f"{n:016x}", 5000) for n in range(8)]
        for task in tasks:
            task.key = f"5c0f6e1a2b3d4c59a8b7c6d5e4f3{task.sid[-4:]}"
            owner.submit(connection, task)
        await asyncio.sleep(2.0)
        where = {task.sid: host for task in tasks for host in hosts if host.holds(task.sid)}
        there = [task for task in tasks if task.sid in where and where[task.sid].zone == "room-b"]
        if not there or any(len(task.answers) != 1 for task in tasks):
            raise NotRun("no task was placed in room-b, or one was not placed")

        handed_back: dict[str, float] = {}

        def hand_back(task: Task) -> None:
            host = where[task.sid]
            if not host.holds(task.sid):
                record("owner", f"{task.sid} runs nowhere; it would come again")
                return
            record("owner", f"finds {task.sid} at {host.uid} and hands it to the placer")
            handed_back[task.sid] = record.now()
            connection.send(task.setup(at_host=host.uid))

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
        for task in tasks:  # nobody waits any more for one that was released
            if task.releases and record.now() >= task.releases[0][0] + OWNER_WAIT_S:
                hand_back(task)
        await asyncio.sleep(AFTER_CUT_S)

        ended = {}
        for task in tasks:
            host = where[task.sid]
            if host.holds(task.sid):
                ended[task.sid] = record.now()
                host.end(task.sid)
        await asyncio.sleep(END_S + SLACK_S + 0.5)
        if placer.exit_status() is not None:
            raise NotRun(f"the placer ended: {placer.log_tail()}")

        broken = []
        for task in tasks:
            since = handed_back.get(task.sid, task.sent_at)
            releases = [at for at, _ in task.releases if at > since]
            cut_at = where[task.sid].cut.get(task.sid)
            if cut_at is not None and cut_at > since:
                if not any(at <= cut_at + END_S + SLACK_S for at in releases):
                    broken.append(f"{task.sid} was ended by the placer {cut_at - since:.1f} s after it had been handed"
                                  " to it, and its owner was told nothing")  # fmt: skip
            elif task.sid in ended and not any(at <= ended[task.sid] + RELEASE_S + SLACK_S for at in releases):
                broken.append(f"{task.sid} came to its end, and its owner was not told within a second")
        return "; ".join(broken)
    finally:
        placer.kill()
        for way in ways:
            way.close()


sys.exit(run_case(HERE, case))
