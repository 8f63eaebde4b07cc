"""HTTP/1.1 server for callers, targets and the platform."""

import asyncio
from collections.abc import Callable

from guavawing.node.listener import Listener
from guavawing.sidecar.http_connection import ServerConnection, ServerState
from guavawing.sidecar.http_request import HttpRequest
from guavawing.sidecar.link_pacer import LinkPacer

__all__ = ["HttpServer"]

# Period in which idle connections and slow requests are looked for.
SWEEP_PERIOD_S = 0.5


class HttpServer:
    """One listener and its connections.

    Attributes:
        state: What the connections share.
    """

    def __init__(
        self,
        handler: Callable[[HttpRequest], None],
        *,
        max_connections: int,
        pacer: LinkPacer | None = None,
        overlaps: Callable[[HttpRequest], bool] = lambda _: False,
    ) -> None:
        """Creates a server that does not listen yet.

        Args:
            handler: Takes whole requests.
            max_connections: Connections beyond that are closed.
            pacer: Paces large answers; None if there are none.
            overlaps: Tells whether a request may be under way beside others
                of its connection.
        """
        self._loop = asyncio.get_running_loop()
        self.state = ServerState(
            handler, overlaps, max_connections, pacer, self._loop.time()
        )
        self._listener = Listener(lambda: ServerConnection(self.state))
        self._sweep_timer: asyncio.TimerHandle | None = None

    @property
    def busy(self) -> bool:
        """Whether a request is not answered."""
        return any(conn.busy for conn in self.state.connections)

    @property
    def awaits_first_request(self) -> bool:
        """Whether a new connection's first request may be on its way."""
        return self._listener.taking or any(
            conn.awaits_first_request() for conn in self.state.connections
        )

    async def listen(self, host: str, port: int) -> None:
        """Opens the listener."""
        await self._listener.open(host, port)
        self._sweep()

    def close_listener(self) -> None:
        """Takes no more connections."""
        self._listener.close()

    def close(self) -> None:
        """Closes everything at once."""
        self.close_listener()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        for conn in tuple(self.state.connections):
            conn.abort()

    def close_idle(self) -> None:
        """Closes the connections on which no request is under way."""
        for conn in tuple(self.state.connections):
            if not (conn.busy or conn.reading or conn.awaits_first_request()):
                conn.close()

    def _sweep(self) -> None:
        now = self._loop.time()
        for conn in tuple(self.state.connections):
            conn.check_limits(now)
        self._sweep_timer = self._loop.call_later(SWEEP_PERIOD_S, self._sweep)
