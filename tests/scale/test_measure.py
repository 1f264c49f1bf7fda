"""Readings of a process from outside, and the figures computed from them."""

from __future__ import annotations

import os
import socket

import pytest

from sprucepost.scale.measure import Counters, Reading, counter_figures, cpu_s, process_figures, read_process
from sprucepost.scale.sockets import Traffic, connections, inodes


def test_bytes_of_a_connection_are_counted_at_both_ends() -> None:
    with socket.create_server(("127.0.0.1", 0)) as server, socket.create_connection(server.getsockname()) as one:
        other, _ = server.accept()
        with other:
            ports = one.getsockname()[1], server.getsockname()[1]
            before = connections()
            one.sendall(b"x" * 1234)
            received = 0
            while received < 1234:
                received += len(other.recv(4096))
            other.sendall(b"y" * 55)
            assert len(one.recv(4096)) == 55  # its packet acknowledges the bytes sent before
            after = connections()
            assert after[ports].sent - before[ports].sent == 1234
            assert after[ports[::-1]].received - before[ports[::-1]].received == 1234
            assert after[ports].received == 55
            own = inodes(os.getpid())
            assert {after[ports].inode, after[ports[::-1]].inode} <= own
            assert ports in read_process(os.getpid(), after).traffic


def test_processor_time_grows_with_the_work_of_the_process() -> None:
    before, own = cpu_s(os.getpid()), os.times()
    while os.times().user + os.times().system - own.user - own.system < 0.2:
        pass
    assert 0.1 < cpu_s(os.getpid()) - before < 10.0


def test_figures_cover_the_interval_only() -> None:
    before = Reading(100.0, 5.0, 30.0, 10, {(1, 2): Traffic(7, 1000, 500), (3, 4): Traffic(8, 10, 10)})
    traffic = {(1, 2): Traffic(7, 1400, 600), (5, 6): Traffic(9, 20, 40), (3, 4): Traffic(99, 5, 5)}
    after = Reading(104.0, 5.1, 40.0, 12, traffic)
    figures = process_figures(before, after, lambda ports: "list" if ports == (1, 2) else "peers")
    assert figures.pop("cpu_percent") == pytest.approx(2.5)
    assert figures == {
        "memory_mib": 40.0,
        "descriptors": 12.0,
        "bytes_out_per_s": 106.25,
        "bytes_out_per_s.list": 100.0,
        "bytes_out_per_s.peers": 6.25,  # a new connection, and one that reuses the ports of an earlier one
        "bytes_in_per_s": 36.25,
        "bytes_in_per_s.list": 25.0,
        "bytes_in_per_s.peers": 11.25,
    }


def test_counter_rates_use_the_interval_between_their_own_readings() -> None:
    before, after = Counters(10.0, {"messages_out": 5.0}), Counters(15.0, {"messages_out": 15.0})
    assert counter_figures(before, after) == {"messages_out_per_s": 2.0}
