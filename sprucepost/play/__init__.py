"""State machines played alone, in virtual time: links that are slow, cut or reset, processes that stop and die.

=========== ======================================================================================================
``agenda``  what is to happen when
``world``   processes and the streams between them
``letters`` processes that send letters by name, and their disks
``cold_starts`` decision modules of a whole fleet, and machines that start cold (``cold_conditions``: under which conditions)
=========== ======================================================================================================

A machine is played through its own calls and actions: in the ``world`` those of :mod:`sprucepost.view.words` (``tick``,
``opened``, ``not_opened``, ``ended`` and ``heard`` in; ``Send``, ``Dial`` and ``Close`` out), with ``letters`` those of
:mod:`sprucepost.agreement.words`. Anything else is noted as told. Same seed, same play.
"""

from sprucepost.play.letters import Letters, Place
from sprucepost.play.world import Process, World

__all__ = ["Letters", "Place", "Process", "World"]
