"""Simulations of state machines in virtual time, with slow, cut and reset links and processes that pause and end.

===================  ===================================================================
``event_queue``      calls at points of virtual time
``world``            processes and the streams between them
``network``          processes with disks that send each other datagrams
``cold_starts``      the schedulers of a whole fleet and machines that start cold
``cold_conditions``  conditions and results of that simulation
===================  ===================================================================

A state machine is driven through its own calls and actions: in the ``world`` those of :mod:`sprucepost.view.messages`
(``tick``, ``stream_opened``, ``dial_failed``, ``stream_ended`` and ``message_received`` in; ``Send``, ``Dial`` and
``Close`` out), on the ``network`` those of :mod:`sprucepost.agreement.actions`. All other actions are recorded as
notifications or passed on. The same seed gives the same run.
"""

from sprucepost.simulation.network import DatagramNetwork, DiskProcess
from sprucepost.simulation.world import Process, World

__all__ = ["DatagramNetwork", "DiskProcess", "Process", "World"]
