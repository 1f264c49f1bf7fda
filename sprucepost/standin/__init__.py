"""Simulated peers of a placer: machines, the list and owners, with a recording proxy between all processes.

They follow the protocol of ``docs/protocol.md`` and use none of the placer's code. ``simulated_machine`` is a machine
without I/O or clock; ``machines`` serves it over gRPC.
"""
