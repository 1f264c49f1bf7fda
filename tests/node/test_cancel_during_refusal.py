"""A request is cancelled between the timer of its deadline and the batch in which the scheduler is told of both."""

from __future__ import annotations

from pathlib import Path

import pytest

from sprucepost import interface as i
from sprucepost.loop import Co, sleep
from sprucepost.node.tasks import Tasks
from tests.node.platform import setup
from tests.node.virtual import LISTEN, Placer, known_hosts, run_virtual

TASK, OTHER = "c0455aa5c7e00001", "c0455aa5c7e00002"


# Guards against a placer process that ends with an error when its refusal crosses the client's cancellation in one batch.
@pytest.mark.parametrize("hosts", [0, 1])
@pytest.mark.parametrize("by", ["its owner", "its connection's end"])
def test_the_refusal_of_a_cancelled_request_is_ignored(tmp_path: Path, hosts: int, by: str) -> None:
    def body(placer: Placer) -> Co[None]:
        driver, tasks = placer.service.driver, placer.service.tasks
        submit_new_tasks = driver.before_batch

        def cancel_first() -> None:
            timers = [event.name for event in driver._events if isinstance(event, i.TimerFired)]
            if any(name.startswith("answer:") for name in timers) and tasks.ledger.current(TASK) is not None:
                _cancel(tasks, by)
            submit_new_tasks()

        driver.before_batch = cancel_first
        placer.loop.arrive(LISTEN, "10.9.0.1:1000", setup(TASK, LEFT="300"))
        yield from sleep(1000)
        assert tasks.counters["given_up"] == 1
        sock = placer.loop.arrive(LISTEN, "10.9.0.1:1001", setup(OTHER, LEFT="300"))
        yield from sleep(1000)
        assert sock.sent, "the placer keeps running"

    run_virtual(tmp_path, body, known=known_hosts(hosts))


def _cancel(tasks: Tasks, by: str) -> None:
    if by == "its owner":
        tasks.owner_cancelled(TASK)
    else:
        tasks.owner_disconnected([TASK])
