"""State machines played alone: virtual time, streams that are slow, cut or reset, processes that stop and die.

=========== ======================================================================================================
``world``   processes, streams and faults between them, on one heap of virtual moments
=========== ======================================================================================================

A machine is played through the calls and actions of :mod:`sprucepost.view.words`: ``tick``, ``opened``, ``not_opened``,
``ended`` and ``heard`` in; ``Send``, ``Dial`` and ``Close`` out, anything else is noted as told. Same seed, same play.
"""

from sprucepost.play.world import Process, World

__all__ = ["Process", "World"]
