"""Fault injection: injects the faults of a scenario into a running fleet.

==================== ================================================================
``context``          the fleet under test, and the choice of what a fault affects
``machine_faults``   faults of machines and their tasks
``client_faults``    faults of clients
``discovery_faults`` faults of the discovery service
``placer_faults``    faults of placers, their clocks, their numbers and the fleet's size
``link_faults``      faults of links, also between placers
``injector``         injects each fault at its time
==================== ================================================================
"""

from sprucepost.standin.faults.context import FleetControl
from sprucepost.standin.faults.injector import FaultInjector

__all__ = ["FaultInjector", "FleetControl"]
