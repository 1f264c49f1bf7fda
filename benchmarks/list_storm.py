"""Start all list watches at once on a list that answers few calls a second; measure when each gets the list.

``python -m benchmarks.list_storm [SIZE] [PER_S ...]`` (350; 40 and 15); writes ``docs/results/list-storm.json``. The watches
are the placers' own, over sockets, in one process. The list serves calls in order, including those whose caller has
timed out, which is the worst case for callers with short timeouts.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

from sprucepost.loop import Co, Loop, Scope, in_scope, sleep
from sprucepost.loop.epoll import EpollLoop
from sprucepost.placer.discovery import DiscoveryWatch, WatchOptions
from sprucepost.standin.list_service import CALL_COST_ENTRIES, ListService
from sprucepost.wire.server import Server


def storm(loop: Loop, scope: Scope, size: int, per_s: float, retry_ms: float, limit_ms: float) -> Co[dict[str, Any]]:
    """Run one storm. ``retry_ms``: retry delay of a failed watch, of which half is random, as in the decision module."""
    listing = ListService(loop, lines_per_s=per_s * CALL_COST_ENTRIES, call_wait_ms=1e9)
    calls = ListService.__dict__["_admit"]
    counts = {"calls": 0, "open": 0, "most_open": 0}

    def admit(call: Any, answer: Any) -> None:
        counts["calls"] += 1
        counts["open"] += 1
        counts["most_open"] = max(counts["most_open"], counts["open"])
        over = call.on_done

        def on_over(status: Any) -> None:
            counts["open"] -= 1
            over(status)

        call.on_done = on_over
        calls(listing, call, answer)

    listing._admit = admit  # type: ignore[method-assign]
    address = Server(loop, scope, listing.methods()).listen(("127.0.0.1", 0))
    began, heard, rng = loop.now(), dict[int, float](), loop.rng()
    watches: list[DiscoveryWatch] = []

    def watch(number: int) -> DiscoveryWatch:
        def failed(found: Any) -> None:
            if found.kind.name == "FAILED":
                loop.call_later(retry_ms * rng.uniform(0.5, 1.0), lambda: watches[number].start_watch())

        def on_list(now_ms: float) -> None:
            heard.setdefault(number, loop.now() - began)

        return DiscoveryWatch(
            loop,
            scope,
            WatchOptions(address, None, number, ("room-a",), ("std",)),
            failed,
            lambda machine, address: None,
            on_list,
        )

    watches += [watch(n) for n in range(size)]
    for one in watches:
        one.start_watch()
    while len(heard) < size and loop.now() - began < limit_ms:
        yield from sleep(20.0)
    times = sorted(heard.values())
    return {
        "size": size, "per_s": per_s, "heard": len(heard), "calls": counts["calls"], "most_calls_open": counts["most_open"],
        "failures": sum(one.failures for one in watches), "half_s": round(times[len(times) // 2] / 1000.0, 2),
        "last_s": round(times[-1] / 1000.0, 2), "at_best_s": round(size / per_s, 2),
    }  # fmt: skip


def main() -> None:
    size = int(sys.argv[1]) if len(sys.argv) > 1 else 350
    found = [run_storm(size, per_s) for per_s in [float(arg) for arg in sys.argv[2:]] or [40.0, 15.0]]
    print(json.dumps(found, indent=1))
    Path("docs/results/list-storm.json").write_text(json.dumps(found, indent=1) + "\n")


def run_storm(size: int, per_s: float, retry_ms: float = 2000.0, limit_ms: float = 120_000.0) -> dict[str, Any]:
    loop = EpollLoop(1)

    def body(scope: Scope) -> Co[dict[str, Any]]:
        found = yield from storm(loop, scope, size, per_s, retry_ms, limit_ms)
        scope.cancel()
        return found

    try:
        return dict(loop.run(lambda: in_scope(body)))
    finally:
        loop.close()


if __name__ == "__main__":
    main()
