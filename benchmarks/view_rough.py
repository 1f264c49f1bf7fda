"""Run members of a view on unreliable links for a long virtual time.

``python -m benchmarks.view_rough MEMBERS MINUTES SEED`` (20, 30, 1). Messages take up to 200 ms, a twentieth of all streams
is reset each second, and every five seconds one member pauses for a second. Prints how often a member reported a living
member as away (exit status 1 if one did).
"""

from __future__ import annotations

import random
import sys

from sprucepost.simulation import World
from sprucepost.view.messages import ViewChanged
from sprucepost.view.view import TICK_MS
from tests.view.schedules import Fleet

SETTLE_MS = 20_000.0


def main() -> int:
    members, minutes, seed = (int(word) for word in (*sys.argv[1:], *("20", "30", "1")[len(sys.argv) - 1 :]))
    rng = random.Random(seed)
    world = World(seed, TICK_MS, (0.2, 200.0))
    fleet = Fleet(world, members)
    for number in fleet.numbers:
        fleet.start(number)
    world.run(SETTLE_MS)
    until = SETTLE_MS + minutes * 60_000.0
    resets = pauses = 0
    while world.now < until:
        world.reset(0.05)
        resets += 1
        if resets % 5 == 0:
            world.pause(fleet.processes[rng.choice(list(fleet.numbers))], 1000.0)
            pauses += 1
        world.run(world.now + 1000.0)
    false_reports = [
        (round(moment), process.address, sorted(change.away))
        for process in fleet.living
        for moment, change in process.notifications
        if isinstance(change, ViewChanged) and change.away and moment > SETTLE_MS
    ]
    print(
        f"{members} members, {minutes} minutes, seed {seed}: {resets} times 5 % of streams reset, {pauses} pauses of 1 s"
    )
    print(
        f"{len(false_reports)} reports of a living member as away {false_reports[:5]}; {world.messages_sent} messages"
    )
    return 1 if false_reports else 0


if __name__ == "__main__":
    sys.exit(main())
