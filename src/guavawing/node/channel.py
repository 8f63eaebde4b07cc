"""gRPC channels with a fixed source address and byte counts."""

import asyncio
import contextlib
from collections.abc import Callable, Iterator
from typing import Any

from grpclib.client import Channel
from grpclib.protocol import H2Protocol
from grpclib.server import Server

from guavawing.model import Address

__all__ = ["ByteListener", "CountingServer", "SourceChannel", "open_channel"]

# Called with the direction ("sent" or "received") and a number of bytes.
ByteListener = Callable[[str, int], None]


class _CountingTransport:
    """A transport that counts the bytes written to it."""

    def __init__(
        self, transport: asyncio.Transport, on_bytes: ByteListener
    ) -> None:
        self._transport = transport
        self._on_bytes = on_bytes

    def write(self, data: bytes) -> None:
        """Writes bytes and counts them."""
        self._on_bytes("sent", len(data))
        self._transport.write(data)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)


class _CountingProtocol(H2Protocol):  # type: ignore[misc]
    """HTTP/2 protocol that counts all bytes and limits received ones."""

    def __init__(
        self, *args: Any, on_bytes: ByteListener, limit: int | None
    ) -> None:
        super().__init__(*args)
        self._on_bytes = on_bytes
        self._bytes_left = limit

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wraps the transport to count the bytes written."""
        super().connection_made(
            _CountingTransport(transport, self._on_bytes)  # type: ignore
        )

    def data_received(self, data: bytes) -> None:
        """Processes bytes; closes the connection above the limit."""
        self._on_bytes("received", len(data))
        if self._bytes_left is not None:
            self._bytes_left -= len(data)
            if self._bytes_left < 0:
                self.processor.close("too many bytes")
                return
        super().data_received(data)


class SourceChannel(Channel):  # type: ignore[misc]
    """A channel that connects from a given IP address.

    grpclib has no option for the source address, so the method that opens
    the connection is overridden.
    """

    def __init__(
        self,
        address: Address,
        *,
        source: str,
        on_bytes: ByteListener,
        limit: int,
    ) -> None:
        super().__init__(address.host, address.port)
        self._address = address
        self._source = source
        self._on_bytes = on_bytes
        self._limit = limit

    def _protocol_factory(self) -> H2Protocol:
        plain = super()._protocol_factory()
        return _CountingProtocol(
            plain.handler,
            plain.config,
            plain.h2_config,
            on_bytes=self._on_bytes,
            limit=self._limit,
        )

    async def _create_connection(self) -> H2Protocol:
        loop = asyncio.get_running_loop()
        factory: Any = self._protocol_factory
        _, protocol = await loop.create_connection(
            factory,
            self._address.host,
            self._address.port,
            local_addr=(self._source, 0),
        )
        return protocol


class CountingServer(Server):  # type: ignore[misc]
    """A gRPC server that counts the bytes of its connections."""

    def __init__(self, handlers: Any, *, on_bytes: ByteListener) -> None:
        super().__init__(handlers)
        self._on_bytes = on_bytes

    def _protocol_factory(self) -> H2Protocol:
        plain = super()._protocol_factory()
        return _CountingProtocol(
            plain.handler,
            plain.config,
            plain.h2_config,
            on_bytes=self._on_bytes,
            limit=None,
        )


@contextlib.contextmanager
def open_channel(
    address: Address, *, source: str, on_bytes: ByteListener, limit: int
) -> Iterator[SourceChannel]:
    """Opens a channel for one pull; closes it on exit.

    Args:
        address: Where the peer listens.
        source: IP address to connect from.
        on_bytes: Called for all bytes sent or received.
        limit: Highest number of bytes accepted from the peer.
    """
    channel = SourceChannel(
        address, source=source, on_bytes=on_bytes, limit=limit
    )
    try:
        yield channel
    finally:
        channel.close()
