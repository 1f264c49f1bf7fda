"""Simulated processes that carry a fleet's connections, heartbeats, lists and messages, but run no work.

============ ========================================================================================================
``settings`` what each process reads, and the line in which it announces its addresses
``members``  placers that are members of the view and watch the list of machines; no scheduler, no streams to machines
``workers``  machines that answer offers and report their free resources; tasks of hollow placers start in the process
``clients``  owners of tasks by team; each team has a session at each real placer
``platform`` the bulletin, hosts and owners of the platform for real nodes
============ ========================================================================================================

``python -m sprucepost.scale.hollow FILE`` runs one such process until SIGTERM. Hundreds of members
or workers share one process and one event loop.
"""
