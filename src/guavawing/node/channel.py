"""gRPC channels that connect from the node's own address."""

import asyncio
from typing import Any

from grpclib.client import Channel
from grpclib.protocol import H2Protocol

from guavawing.model import Address

__all__ = ["SourceChannel"]


class SourceChannel(Channel):  # type: ignore[misc]
    """A channel whose connection starts at a given IP address.

    grpclib has no setting for the source address, so the one method that
    opens the connection is replaced.
    """

    def __init__(self, address: Address, *, source: str) -> None:
        super().__init__(address.host, address.port)
        self._address = address
        self._source = source

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
