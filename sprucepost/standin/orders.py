"""Orders to a simulated peer: a name and a JSON object of arguments in, a JSON object out."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from sprucepost.loop import Co
from sprucepost.v1 import standin_pb2 as pb
from sprucepost.wire.client import ClientConnection
from sprucepost.wire.server import Method, ServerCall, unary
from sprucepost.wire.status import Code, RpcError

PATH = "/sprucepost.v1.StandIn/Do"


class OrderService:
    """Serves orders by name. An unknown order or wrong arguments are answered with a status that names the order."""

    def __init__(self, handlers: dict[str, Callable[..., dict[str, Any]]]) -> None:
        self._handlers = handlers

    def methods(self) -> dict[str, Method]:
        """Return the RPC method that takes the orders."""
        return {PATH: unary(pb.Order.FromString, self._do)}

    def _do(self, order: pb.Order, call: ServerCall) -> Co[pb.Done]:
        if order.what not in self._handlers:
            raise RpcError(Code.NOT_FOUND, f"no order {order.what!r}")
        try:
            result = self._handlers[order.what](**json.loads(order.arguments or "{}"))
        except (TypeError, ValueError, KeyError) as error:
            raise RpcError(Code.INVALID_ARGUMENT, f"{order.what}: {type(error).__name__}: {error}") from None
        return pb.Done(result=json.dumps(result))
        yield


def send_order(connection: ClientConnection, what: str, /, **arguments: Any) -> Co[Any]:
    """Send an order and return its result."""
    request = pb.Order(what=what, arguments=json.dumps(arguments)).SerializeToString()
    reply = yield from connection.unary(PATH, request, timeout_ms=10_000.0)
    return json.loads(pb.Done.FromString(reply).result)
