"""A keyed task may be sent again only within the rack of its first try; the list forgets which rack that was."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from cluster import TROUBLE, Cluster, NotRun, main, now_ms, settings

CLASSES = [
    {
        "name": "member-svc", "objective": 700.0, "deadline": 6000.0, "effect": "token", "worth": 3.0, "late_value": 0.2,
        "key_scope": "cell", "window": 5000.0, "lasting": True,
    }
]  # fmt: skip
FAMILY = {
    "class_spread": ["machine"],
    "most_together": [2],
    "precedence": [2],
    "calm_level": [0.8],
    "fades_over": [0.2],
}
RULES = {"drain_grace": 2000.0, "fall": 1500.0, "fall_multiple": 4.0, "warm_after": 17000.0}

FULL = (-12.0, -24.0)  # listed cores and memory of a host that has accepted all that it may
BURST = 24  # set-ups at once
BURSTS = 8
OPEN = 3  # set-ups without an answer at the host that dies
ADDED_S = 1.5  # after the death until the list has the new host
NOTICED_S = 3.0  # after the death until the list has it as gone
WATCHED_S = 8.0  # after the death: every task has had its time by then


async def body(cluster: Cluster) -> list[str]:
    """Play the case."""
    room = "room-a"
    await cluster.add_host("s-a", 0, room)
    for uid in ("s-c1", "s-c2"):  # the rest of that rack is full
        host = await cluster.add_host(uid, 0, room)
        host.free, host.refuses = FULL, "no_cores"
    for uid in ("s-d", "s-e"):
        await cluster.add_host(uid, 1, room)
    await cluster.start()
    owner = cluster.owner("owner-1")
    dying = cluster.hosts["s-a"]

    for n in range(BURST):
        await owner.ask("member-svc", f"{n:016x}")
    await asyncio.sleep(1.0)
    if not dying.running:
        raise NotRun("no task stands at the host that is to die")

    for _ in range(BURSTS):  # until it has read set-ups that it has not answered yet
        for n in range(BURST):
            await owner.ask("member-svc", f"{n:016x}")
        began = now_ms()
        while len(dying.open) < OPEN and now_ms() < began + 200:
            await asyncio.sleep(0.001)
        if len(dying.open) >= OPEN:
            break
    else:
        raise NotRun("too few set-ups came to the host that is to die")
    if TROUBLE:
        died_at = now_ms()
        dying.die()
        await asyncio.sleep(0.5)
        # Another host comes up at the address, in the other rack. It is empty: nobody has been told of it yet.
        new = await cluster.add_host("s-b", 1, room, dying.address)
        new.boot_ms = int(now_ms())
        await asyncio.sleep(ADDED_S - (now_ms() - died_at) / 1000.0)
        cluster.bulletin.publish(new)
        await asyncio.sleep(NOTICED_S - (now_ms() - died_at) / 1000.0)
        dying.state = "DELETED"
        cluster.bulletin.publish(dying)
    await asyncio.sleep(WATCHED_S - (NOTICED_S if TROUBLE else 0.0))
    cluster.placer.check_alive()

    broken = []
    for ask in cluster.asks.values():
        may_have_run = [(at, uid) for at, uid in ask.arrivals if uid not in ask.refused]
        racks = [cluster.hosts[uid].rack for _, uid in may_have_run]
        if len(set(racks)) > 1:
            ways = ", ".join(f"{uid} of rack {cluster.hosts[uid].rack}" for _, uid in may_have_run)
            apart = may_have_run[1][0] - may_have_run[0][0]
            broken.append(f"{ask.sid}: may have run at {ways}, {apart:.0f} ms apart")
    return broken


if __name__ == "__main__":
    main(__file__, settings(CLASSES, FAMILY, RULES), body)
