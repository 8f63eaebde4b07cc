"""A TCP listener that accepts all established connections before it closes.

The kernel completes handshakes before the process accepts the connections. It
resets those left in the backlog when the listening socket is closed, although
their clients may have sent a request by then.
"""

import asyncio
import socket
from collections.abc import Callable

__all__ = ["Listener"]

# Established connections that the kernel queues until they are accepted.
BACKLOG = 1_024


class Listener:
    """Listens at an address.

    Args:
        make_protocol: Creates the protocol of each connection.
    """

    def __init__(
        self, make_protocol: Callable[[], asyncio.BaseProtocol]
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._make_protocol = make_protocol
        self._sock: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._accepting: set[asyncio.Task[object]] = set()

    @property
    def accepting(self) -> bool:
        """Whether any accepted connection has no protocol yet."""
        return bool(self._accepting)

    async def open(self, host: str, port: int) -> None:
        """Starts to listen.

        Raises:
            OSError: If the address can't be used.
        """
        sock = socket.create_server((host, port), backlog=BACKLOG)
        sock.setblocking(False)
        self._sock = sock
        self._server = await self._loop.create_server(
            self._make_protocol, sock=sock, backlog=BACKLOG
        )

    def close(self) -> None:
        """Accepts the connections in the backlog, then stops listening."""
        server, self._server = self._server, None
        if server is None:
            return
        accepted = self._accept_waiting()
        server.close()
        for sock in accepted:
            task = self._loop.create_task(self._connect(sock))
            self._accepting.add(task)
            task.add_done_callback(self._accepting.discard)

    async def wait_accepted(self) -> None:
        """Waits until all accepted connections have a protocol."""
        await asyncio.gather(*self._accepting)

    def _accept_waiting(self) -> list[socket.socket]:
        assert self._sock is not None
        accepted: list[socket.socket] = []
        while True:
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                return accepted
            except ConnectionError:
                # The client has closed this connection already.
                continue
            sock.setblocking(False)
            accepted.append(sock)

    async def _connect(self, sock: socket.socket) -> None:
        await self._loop.connect_accepted_socket(self._make_protocol, sock)
