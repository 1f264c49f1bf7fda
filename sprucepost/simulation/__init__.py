"""State machines played alone, in virtual time: links that are slow, cut or reset, processes that stop and die.

=============== ==================================================================================================
``agenda``      what is to happen when
``world``       processes and the streams between them
``network``     processes with disks that send each other datagrams
``cold_starts`` the schedulers of a whole fleet, and machines that start cold (``cold_conditions``: under which conditions)
=============== ==================================================================================================

A machine is played through its own calls and actions: in the ``world`` those of :mod:`sprucepost.view.messages` (``tick``,
``stream_opened``, ``dial_failed``, ``stream_ended`` and ``message_received`` in; ``Send``, ``Dial`` and ``Close`` out), on
the ``network`` those of :mod:`sprucepost.agreement.actions`. Anything else is noted as told. Same seed, same play.
"""

from sprucepost.simulation.network import DatagramNetwork, DiskProcess
from sprucepost.simulation.world import Process, World

__all__ = ["DatagramNetwork", "DiskProcess", "Process", "World"]
