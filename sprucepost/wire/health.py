"""The standard health service, ``grpc.health.v1``."""

from __future__ import annotations

from sprucepost.loop import Co
from sprucepost.std import health_pb2 as pb
from sprucepost.wire.server import Method, ServerCall, unary
from sprucepost.wire.status import Code, RpcError

SERVING = pb.HealthCheckResponse.SERVING
NOT_SERVING = pb.HealthCheckResponse.NOT_SERVING
_UNKNOWN = pb.HealthCheckResponse.SERVICE_UNKNOWN


class Health:
    """The status of each service; ``""`` is the server as a whole. Watchers get the current status and each change."""

    def __init__(self) -> None:
        self._status: dict[str, pb.HealthCheckResponse.ServingStatus] = {}
        self._watchers: dict[ServerCall, str] = {}

    def set(self, service: str, status: pb.HealthCheckResponse.ServingStatus) -> None:
        """Set the status of a service and notify its watchers if it changed."""
        if self._status.get(service) == status:
            return
        self._status[service] = status
        for call, watched_service in list(self._watchers.items()):
            if watched_service == service:
                call.send(pb.HealthCheckResponse(status=status).SerializeToString())

    def methods(self) -> dict[str, Method]:
        """Return the methods of the service, by path."""
        return {
            "/grpc.health.v1.Health/Check": unary(pb.HealthCheckRequest.FromString, self._check),
            "/grpc.health.v1.Health/Watch": Method(attach=self._watch),
        }

    def _check(self, request: pb.HealthCheckRequest, call: ServerCall) -> Co[pb.HealthCheckResponse]:
        if request.service not in self._status:
            raise RpcError(Code.NOT_FOUND, f"service {request.service!r} is not known")
        return pb.HealthCheckResponse(status=self._status[request.service])
        yield

    def _watch(self, call: ServerCall) -> None:
        def begin(message: bytes) -> None:
            if call in self._watchers:
                call.finish(RpcError(Code.INTERNAL, "more than one request message"))
                return
            service = pb.HealthCheckRequest.FromString(message).service
            self._watchers[call] = service
            status = self._status.get(service, _UNKNOWN)
            call.send(pb.HealthCheckResponse(status=status).SerializeToString())

        call.on_message = begin
        call.on_done = lambda status: self._forget(call)

    def _forget(self, call: ServerCall) -> None:
        self._watchers.pop(call, None)
