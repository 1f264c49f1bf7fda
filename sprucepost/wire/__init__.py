"""gRPC over HTTP/2 on the event loop, built on h2 and protobuf alone, and an HTTP/1.1 server for health and metrics.

=================== ==============================================================================
``status``          status codes, ``RpcError``, mappings from HTTP and HTTP/2
``metadata``        metadata and time-outs as header fields
``message_framing`` length-prefixed messages, gzip
``frames``          HTTP/2 frames and checks of their headers
``fields``          checks of HTTP field sections, by RFC 9113
``rate_limits``     limits on control frames and pings
``http2``           one end of a connection, without I/O
``call``            the buffers and flow control of one call
``connection``      a connection on a transport: flushing, keepalive, stalled calls
``server``          accepting, dispatch, deadlines, graceful shutdown
``client``          calls on one connection
``health``          the standard health service
``reflection``      the standard reflection service
``session``         numbered frames that survive the loss of a stream
``capture``         files of recorded connections
``http1``           HTTP/1.1 for health, readiness and metrics
=================== ==============================================================================
"""
