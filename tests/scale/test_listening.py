"""Free ports for configurations are outside the ephemeral range and not in use."""

from __future__ import annotations

import pytest

from sprucepost.loop.epoll import EpollLoop
from sprucepost.scale import listening
from sprucepost.scale.processes import ScaleError


def test_a_free_port_is_outside_the_ephemeral_range_and_not_in_use() -> None:
    loop = EpollLoop(1)
    found = {listening.free_address(loop) for _ in range(20)}
    first, _ = listening.ephemeral_ports()
    for address in found:
        assert listening.FIRST_PORT <= int(address[1]) < first
        loop.listen(address).close()
    loop.close()


def test_a_port_in_use_is_skipped(monkeypatch: pytest.MonkeyPatch) -> None:
    loop = EpollLoop(1)
    taken = loop.listen(listening.free_address(loop))
    port = int(taken.address[1]) - listening.FIRST_PORT
    draws = iter([port, port, port + 1])
    monkeypatch.setattr(loop, "token", lambda size: next(draws).to_bytes(size, "big"))
    assert listening.free_address(loop) == (listening.LOOPBACK, listening.FIRST_PORT + port + 1)
    taken.close()
    loop.close()


def test_an_error_is_raised_if_no_port_is_free(monkeypatch: pytest.MonkeyPatch) -> None:
    loop = EpollLoop(1)
    taken = loop.listen(listening.free_address(loop))
    port = int(taken.address[1]) - listening.FIRST_PORT
    monkeypatch.setattr(loop, "token", lambda size: port.to_bytes(size, "big"))
    with pytest.raises(ScaleError, match="no free port"):
        listening.free_address(loop)
    monkeypatch.setattr(listening, "ephemeral_ports", lambda: (listening.FIRST_PORT, 60_999))
    with pytest.raises(ScaleError, match="no ports between"):
        listening.free_address(loop)
    taken.close()
    loop.close()
