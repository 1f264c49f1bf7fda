"""sprucepost: placement decisions for long-lived tasks on a shared cluster.

The decisions are in :mod:`sprucepost.scheduler`; its events, actions and settings are in :mod:`sprucepost.interface`.
"""

from sprucepost.interface import Settings
from sprucepost.scheduler import Scheduler

__all__ = ["Scheduler", "Settings"]
__version__ = "0.1.0"
