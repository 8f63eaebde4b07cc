"""gRPC server from which other nodes pull versions."""

import contextlib
from collections.abc import AsyncIterator

from grpclib.server import Server, Stream

from guavawing.model import Address
from guavawing.node.distributor import Distributor
from guavawing.proto.control_grpc import ControlBase
from guavawing.proto.control_pb2 import PullReply, PullRequest

__all__ = ["ControlServer", "open_control_server"]


class ControlServer(ControlBase):
    """Answers the control requests of other nodes."""

    def __init__(self, distributor: Distributor) -> None:
        self._distributor = distributor

    async def Pull(  # noqa: N802
        self, stream: "Stream[PullRequest, PullReply]"
    ) -> None:
        """Sends the version in force here."""
        request = await stream.recv_message()
        if request is None:
            return
        current = self._distributor.current
        await stream.send_message(
            PullReply(
                version=current.number,
                digest=current.digest,
                snapshot=current.payload,
            )
        )


@contextlib.asynccontextmanager
async def open_control_server(
    control: ControlServer, address: Address
) -> AsyncIterator[ControlServer]:
    """Listens for other nodes until closed."""
    server = Server([control])
    await server.start(address.host, address.port)
    try:
        yield control
    finally:
        server.close()
        await server.wait_closed()
