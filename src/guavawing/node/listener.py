"""A TCP listener that turns away no connection which it has let in.

The kernel takes connections before the process does. Those that it has taken
when the listener closes are reset, although their clients may have sent a
request by then; so they are accepted first.
"""

import asyncio
import socket
from collections.abc import Callable

__all__ = ["Listener"]

# Connections that the kernel takes before the process does.
BACKLOG = 1_024


class Listener:
    """Listens at an address.

    Args:
        make_protocol: Makes the protocol of each connection.
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
        """Whether connections that were let in have no protocol yet."""
        return bool(self._accepting)

    async def open(self, host: str, port: int) -> None:
        """Begins to listen.

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
        """Takes what the kernel has taken, and nothing more."""
        server, self._server = self._server, None
        if server is None:
            return
        accepted = self._accept_waiting()
        server.close()
        for sock in accepted:
            task = self._loop.create_task(self._take(sock))
            self._accepting.add(task)
            task.add_done_callback(self._accepting.discard)

    async def wait_accepted(self) -> None:
        """Waits until the last connections have their protocols."""
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
                # This client has gone already.
                continue
            sock.setblocking(False)
            accepted.append(sock)

    async def _take(self, sock: socket.socket) -> None:
        await self._loop.connect_accepted_socket(self._make_protocol, sock)
