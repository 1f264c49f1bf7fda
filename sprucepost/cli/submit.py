"""``sprucepost owner submit``: submits one task and prints the placer's frames on standard output."""

from __future__ import annotations

import sys

from google.protobuf.json_format import MessageToJson

from sprucepost.loop import Co, Scope, in_scope, sleep
from sprucepost.loop.epoll import EpollLoop
from sprucepost.standin.daemons import parse_address
from sprucepost.standin.owner_link import OwnerLink
from sprucepost.v1 import common_pb2
from sprucepost.v1 import placer_pb2 as pb

CONNECT_TIMEOUT_MS = 5000.0


def run(address: str, name: str, task: common_pb2.Task, left_ms: float, follow: bool) -> int:
    """Submit the task and print each frame as a JSON line.

    Returns the exit status: 0 placed (and, with ``follow``, done), 1 refused, failed or lost, 3 no placer or no answer.
    """
    loop = EpollLoop()
    frames: list[pb.PlacerFrame] = []

    def main(scope: Scope) -> Co[int]:
        link = OwnerLink(loop, scope, parse_address(address), "cli", frames.append, lambda resumed: None)
        deadline = loop.now() + CONNECT_TIMEOUT_MS
        while not link.up:
            if loop.now() > deadline:
                print(f"sprucepost: no placer answers at {address}", file=sys.stderr)
                scope.cancel()
                return 3
            yield from sleep(5.0)
        link.submit(name, task, left_ms)
        deadline = loop.now() + left_ms + 500.0
        shown, status = 0, 3
        while True:
            for frame in frames[shown:]:
                print(MessageToJson(frame, indent=None, preserving_proto_field_name=True), flush=True)
                kind = frame.WhichOneof("body")
                if kind in ("refused", "failed"):
                    scope.cancel()
                    return 1
                if kind == "bound":
                    status = 0
                if kind == "ended":
                    scope.cancel()
                    return 0 if frame.ended.how == pb.Ended.DONE else 1
            shown = len(frames)
            if status == 0 and not follow:
                yield from sleep(100.0)  # lets the acknowledgement go out
                scope.cancel()
                return 0
            if status == 3 and loop.now() > deadline:
                print("sprucepost: no answer in time", file=sys.stderr)
                scope.cancel()
                return 3
            yield from sleep(5.0)

    try:
        return loop.run(lambda: in_scope(main))
    finally:
        loop.close()
