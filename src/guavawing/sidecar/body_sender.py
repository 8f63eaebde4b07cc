"""Entry side of large bodies: sends what the owner grants, in paced pieces."""

from collections.abc import Callable

from guavawing.node.frame_stream import FrameStream
from guavawing.sidecar.link_pacer import LARGE_BYTES, LinkPacer
from guavawing.sidecar.mesh_codec import encode_body_piece
from guavawing.traffic.model import Attempt
from guavawing.traffic.uploads import OutgoingBody

__all__ = ["BodySender", "has_large_body"]

# Bytes of a frame besides the piece of the body; with them it is still written
# by the pacer at once.
FRAME_OVERHEAD_BYTES = 64


def has_large_body(attempt: Attempt) -> bool:
    """Returns whether the body of an attempt is sent in pieces."""
    return attempt.bulk_body and len(attempt.body) >= LARGE_BYTES


class BodySender:
    """One body on its way to its owner."""

    def __init__(
        self,
        frame_id: int,
        body: bytes,
        *,
        stream: FrameStream,
        pacer: LinkPacer,
        on_stop: Callable[["BodySender"], None],
    ) -> None:
        """Creates a sender without a grant.

        Args:
            frame_id: Id of the request on the connection.
            body: The body.
            stream: The connection.
            pacer: Paces the link.
            on_stop: Called when nothing is left to send.
        """
        self._frame_id = frame_id
        self._body = memoryview(body)
        self._stream = stream
        self._pacer = pacer
        self._on_stop = on_stop
        self._progress = OutgoingBody(len(body))
        self._offered = False

    @property
    def rest(self) -> int:
        """Bytes that were not passed to the pacer."""
        return self._progress.rest

    @property
    def is_sent(self) -> bool:
        """Whether the owner may have the whole body, and may execute it."""
        return self._progress.is_sent

    def grant(self, until: int) -> None:
        """Applies a grant of the owner."""
        self._progress.grant(until)
        self._offer()

    def stop(self) -> None:
        """Sends nothing more."""
        self._pacer.drop(self)
        self._on_stop(self)

    def _offer(self) -> None:
        if self._offered:
            return
        bounds = self._progress.take(
            self._pacer.piece_bytes - FRAME_OVERHEAD_BYTES
        )
        if bounds is None:
            return
        start, end = bounds
        self._offered = True
        self._pacer.offer(
            self,
            encode_body_piece(self._frame_id, bytes(self._body[start:end])),
            self._write,
            order=self._progress.rest,
        )

    def _write(self, frame: bytes, _: bool) -> None:
        self._offered = False
        self._stream.write(frame)
        if self.is_sent:
            self._on_stop(self)
        else:
            self._offer()
