"""Members of a view on rough links for long, in virtual time: ``python -m benchmarks.view_rough MEMBERS MINUTES SEED``.

Words up to 200 ms late, each second a twentieth of all streams reset, every five seconds some member stands
still for a second. Prints how often anybody told a living member as away (exit status 1 where somebody did).
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
    resets = stops = 0
    while world.now < until:
        world.reset(0.05)
        resets += 1
        if resets % 5 == 0:
            world.pause(fleet.processes[rng.choice(list(fleet.numbers))], 1000.0)
            stops += 1
        world.run(world.now + 1000.0)
    told = [
        (round(moment), process.address, sorted(what.away))
        for process in fleet.living
        for moment, what in process.notifications
        if isinstance(what, ViewChanged) and what.away and moment > SETTLE_MS
    ]
    print(
        f"{members} members, {minutes} minutes, seed {seed}: {resets} times 5 % of streams reset, {stops} stops of 1 s"
    )
    print(f"{len(told)} times somebody told a living member as away {told[:5]}; {world.messages_sent} words")
    return 1 if told else 0


if __name__ == "__main__":
    sys.exit(main())
