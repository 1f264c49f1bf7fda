"""Placers to each other, on the existing wire: the streams that carry the fleet's own view.

========= ========================================================================================================
``codec`` the view's words as protobuf frames, and what is refused
``peers`` the streams: dialled, taken, ended; the view is ticked here
========= ========================================================================================================

Off unless ``placer.peers`` is in the settings. ``sprucepost node`` may not import it.
"""

from sprucepost.peers.peers import Peers

__all__ = ["Peers"]
