"""Fault injection: the faults of a scenario, played on a running fleet.

==================== ================================================================
``context``          the fleet under test, and which machines and placers a fault meets
``machine_faults``   of machines and their tasks
``client_faults``    of clients
``discovery_faults`` of the discovery service
``placer_faults``    of placers, their clocks, their numbers and the fleet's size
``link_faults``      of links, also between placers
``injector``         each fault at its time
==================== ================================================================
"""

from sprucepost.standin.faults.context import FleetControl
from sprucepost.standin.faults.injector import FaultInjector

__all__ = ["FaultInjector", "FleetControl"]
