"""gRPC server from which other nodes pull configuration versions."""

import contextlib
import random
from collections.abc import AsyncIterator

from grpclib.server import Stream

from guavawing.distribution import (
    PullResponder,
    Version,
    VersionHistory,
    VersionId,
)
from guavawing.distribution.responder import (
    PullAnswer,
    RetryLater,
    SendDelta,
    SendNothing,
    SendSnapshot,
)
from guavawing.model import Address
from guavawing.node.channel import CountingServer
from guavawing.node.distributor import Distributor
from guavawing.node.metrics import Metrics
from guavawing.proto.control_grpc import ControlBase
from guavawing.proto.control_pb2 import PullReply, PullRequest

__all__ = ["ControlServer", "open_control_server"]

MS_PER_S = 1_000


class ControlServer(ControlBase):
    """Handles the control requests of other nodes."""

    def __init__(self, distributor: Distributor, metrics: Metrics) -> None:
        self._distributor = distributor
        self._metrics = metrics
        self._responder = PullResponder(random.Random())

    async def Pull(  # noqa: N802
        self, stream: "Stream[PullRequest, PullReply]"
    ) -> None:
        """Sends the version in force: a delta if possible, or a snapshot."""
        request = await stream.recv_message()
        if request is None:
            return
        current = self._distributor.current
        history: VersionHistory = self._distributor.history
        base = VersionId(request.base_version, request.base_digest)
        answer = self._responder.begin(request.puller, base, current, history)
        reply = _make_reply(current, answer)
        self._metrics.pulls_answered.inc({"answer": _describe(answer)})
        if isinstance(answer, SendNothing | RetryLater):
            await stream.send_message(reply)
            return
        sent = None
        try:
            await stream.send_message(reply)
            sent = VersionId(current.number, current.digest)
        finally:
            self._responder.end(request.puller, sent=sent)

    def count(self, direction: str, size: int) -> None:
        """Counts bytes of the pulls that this node serves."""
        # The connection does not identify the puller's data centre.
        labels = {
            "direction": direction,
            "kind": "answer",
            "cross_data_centre": "unknown",
        }
        self._metrics.control_bytes.add(labels, size)


def _make_reply(current: Version, answer: PullAnswer) -> PullReply:
    reply = PullReply(version=current.number, digest=current.digest)
    match answer:
        case SendDelta(delta=delta):
            reply.delta = delta
        case SendSnapshot(data=data):
            reply.snapshot = data
        case RetryLater(retry_after_s=retry_after_s, ask_instead=member):
            reply.retry_after_ms = round(retry_after_s * MS_PER_S)
            reply.ask_instead = member
        case SendNothing():
            pass
    return reply


def _describe(answer: PullAnswer) -> str:
    match answer:
        case SendDelta():
            return "delta"
        case SendSnapshot():
            return "snapshot"
        case RetryLater():
            return "later"
        case SendNothing():
            return "nothing"


@contextlib.asynccontextmanager
async def open_control_server(
    control: ControlServer, address: Address
) -> AsyncIterator[ControlServer]:
    """Serves other nodes until closed."""
    server = CountingServer([control], on_bytes=control.count)
    await server.start(address.host, address.port)
    try:
        yield control
    finally:
        server.close()
        await server.wait_closed()
