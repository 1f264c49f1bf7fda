"""sprucepost: placement decisions for long-lived tasks on a shared cluster.

The decisions are in :mod:`sprucepost.brain`; the types they speak are in :mod:`sprucepost.interface`.
"""

from sprucepost.brain import Scheduler
from sprucepost.interface import Settings

__all__ = ["Scheduler", "Settings"]
__version__ = "0.1.0"
