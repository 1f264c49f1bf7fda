"""The standard reflection service, v1 and v1alpha, so that gRPC tools can list what is served."""

from __future__ import annotations

from collections.abc import Iterable

from google.protobuf import descriptor_pb2, descriptor_pool
from google.protobuf.descriptor import FileDescriptor

from sprucepost.std import reflection_pb2 as pb
from sprucepost.wire.server import Method, ServerCall
from sprucepost.wire.status import Code

NAMES = ("grpc.reflection.v1.ServerReflection", "grpc.reflection.v1alpha.ServerReflection")


def _files(first: FileDescriptor) -> list[bytes]:
    """Return the serialized descriptors of a file and of all files that it imports."""
    serialized: dict[str, bytes] = {}
    pending = [first]
    while pending:
        file = pending.pop()
        if file.name not in serialized:
            proto = descriptor_pb2.FileDescriptorProto()
            file.CopyToProto(proto)
            serialized[file.name] = proto.SerializeToString()
            pending.extend(file.dependencies)
    return list(serialized.values())


class Reflection:
    """Describes the given services from the default descriptor pool."""

    def __init__(self, services: Iterable[str]) -> None:
        self._services = sorted({*services, *NAMES})
        self._pool = descriptor_pool.Default()

    def methods(self) -> dict[str, Method]:
        """Return the methods of both versions, by path."""
        return {f"/{name}/ServerReflectionInfo": Method(attach=self._attach) for name in NAMES}

    def _attach(self, call: ServerCall) -> None:
        def on_request(message: bytes) -> None:
            call.send(self.answer(pb.ServerReflectionRequest.FromString(message)).SerializeToString())

        call.on_message = on_request
        call.on_end = call.finish

    def answer(self, request: pb.ServerReflectionRequest) -> pb.ServerReflectionResponse:
        """Return the response to one request."""
        reply = pb.ServerReflectionResponse(valid_host=request.host, original_request=request)
        kind = request.WhichOneof("message_request")
        try:
            if kind == "list_services":
                reply.list_services_response.service.extend(pb.ServiceResponse(name=name) for name in self._services)
            elif kind == "file_by_filename":
                self._add_files(reply, self._pool.FindFileByName(request.file_by_filename))
            elif kind == "file_containing_symbol":
                self._add_files(reply, self._pool.FindFileContainingSymbol(request.file_containing_symbol))
            elif kind == "all_extension_numbers_of_type":
                name = request.all_extension_numbers_of_type
                self._pool.FindMessageTypeByName(name)
                reply.all_extension_numbers_response.base_type_name = name
            else:
                raise KeyError(kind or "an empty request")
        except KeyError as error:
            reply.error_response.error_code = Code.NOT_FOUND
            reply.error_response.error_message = f"not found: {error.args[0]}"
        return reply

    def _add_files(self, reply: pb.ServerReflectionResponse, file: FileDescriptor) -> None:
        reply.file_descriptor_response.file_descriptor_proto.extend(_files(file))
