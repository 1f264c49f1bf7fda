"""Processes that keep a fleet's connections, heartbeats, lists and messages, with no work behind them.

============ ========================================================================================================
``settings`` what each process reads, and the line in which it tells its addresses
``members``  placers that are members of the view and watch the list of machines: no scheduler, no streams to machines
``workers``  machines that answer offers and report their room; the tasks of hollow placers reach them in the process
``clients``  owners of tasks by team, with a session of each team at each real placer
``platform`` the bulletin, hosts and owners of the platform around a real node
============ ========================================================================================================

``python -m sprucepost.scale.hollow FILE`` runs one of them until SIGTERM. Hundreds share one process and one loop.
"""
