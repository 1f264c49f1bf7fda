"""The gRPC streams between placers, which carry the membership view and the replicated configuration.

=========================== ======================================================================================
``codec``                   encodes and decodes the messages of the view as protobuf frames
``peers``                   opens, accepts and closes the streams, and drives the view's ticks
``configuration_codec``     encodes and decodes the messages between configuration replicas
``configuration_transport`` connects a configuration replica to the streams
=========================== ======================================================================================

Disabled unless ``placer.peers`` is set. ``sprucepost node`` must not import this package.
"""

from sprucepost.peers.peers import Peers

__all__ = ["Peers"]
