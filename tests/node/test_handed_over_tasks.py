"""Tasks that run on after their placer has given them up, and whose owner hands them over with ``at``."""

from __future__ import annotations

from pathlib import Path

from sprucepost.loop import Co, sleep
from sprucepost.node import binary, jsonl
from sprucepost.node.binary import Kind
from sprucepost.node.jsonl import Line, MessageType
from sprucepost.node.tasks import RELEASE_RETENTION_MS
from tests.node.platform import setup
from tests.node.virtual import LISTEN, Placer, VirtualSock, host_address, run_virtual

TASK, OTHER = "c0255aa5c7e00001", "c0255aa5c7e00002"
AT_HOST = "cores:1;memory:2;service:00000000b4d65521;at:s-0"
OWNER_WAIT_MS = 3000.0  # after the loss of its host the owner of a task waits that long before it looks for the task
STEP_MS = 10.0


class HostSide:
    """The one host of a virtual placer. While ``cut`` no dial to it comes up, and it neither reads nor sends."""

    def __init__(self, placer: Placer) -> None:
        self._placer = placer
        self.cut = False
        self.received: list[Line] = []

    def links(self) -> list[VirtualSock]:
        """The open connections to the host."""
        return [sock for sock in self._placer.dialled(host_address(0)) if sock.up and not sock.closed]

    def send(self, message_type: MessageType, sid: str, code: int | None = None, text: str | None = None) -> None:
        """Send a message on the latest connection."""
        quoted = jsonl.quoted(text) if text is not None else None
        self.links()[-1].inbox.append(jsonl.encode(message_type, sid, code=code, text=quoted))

    def serve(self, duration_ms: float) -> Co[None]:
        """Accept tasks and answer health checks for that long."""
        ends = self._placer.loop.time + duration_ms
        while self._placer.loop.time < ends:
            if not self.cut:
                self._step()
            yield from sleep(STEP_MS)

    def _step(self) -> None:
        for sock in self._placer.dialled(host_address(0)):
            if sock.closed:
                continue
            sock.up = True
            lines, sock.sent = jsonl.Decoder().feed(bytes(sock.sent)), bytearray()
            for line in lines:
                self.received.append(line)
                if line.type is MessageType.OPEN:
                    sock.inbox.append(jsonl.encode(MessageType.READY, line.sid, text=jsonl.quoted("x")))
                elif line.type is MessageType.PROBE:
                    sock.inbox.append(jsonl.encode(MessageType.PROBED, line.sid, code=1))

    def asked_to_end(self) -> list[str]:
        """The tasks that the placer has asked this host to end."""
        return [line.sid for line in self.received if line.type is MessageType.CLOSE]


def told(client: VirtualSock) -> list[tuple[str, int, int | None]]:
    """What a client has been sent, as task, kind and cause."""
    return [(message.task, message.kind, message.cause) for message in binary.Decoder().feed(bytes(client.sent))]


def lose_by_silence(placer: Placer, host: HostSide, client: VirtualSock, *sids: str) -> Co[None]:
    """Have the client's tasks accepted, and cut the host off until the client has been told that they are lost."""
    client.inbox.append(b"".join(setup(sid) for sid in sids))
    yield from host.serve(1000.0)
    assert told(client) == [(sid, Kind.ANSWER, None) for sid in sids]
    host.cut = True
    yield from host.serve(RELEASE_RETENTION_MS)
    assert told(client)[len(sids) :] == [(sid, Kind.RELEASE, 41) for sid in sids]


# Guards against a placer that ends tasks which their owner has handed to another placer meanwhile.
def test_a_host_that_was_silent_is_not_asked_to_end_its_tasks(tmp_path: Path) -> None:
    def body(placer: Placer) -> Co[None]:
        host, client = HostSide(placer), placer.loop.arrive(LISTEN, "127.0.2.1:1")
        yield from lose_by_silence(placer, host, client, TASK)
        yield from host.serve(OWNER_WAIT_MS)
        host.cut = False
        client.inbox.append(setup(OTHER))  # the next task brings a connection
        yield from host.serve(2000.0)
        assert (OTHER, Kind.ANSWER, None) in told(client) and host.asked_to_end() == []

    run_virtual(tmp_path, body)
