"""HTTP/1.1 server for clients, targets and the platform."""

import asyncio
from collections.abc import Callable

from guavawing.node.listener import Listener
from guavawing.sidecar.http_connection import ServerConnection, ServerState
from guavawing.sidecar.http_request import HttpRequest
from guavawing.sidecar.link_pacer import LinkPacer

__all__ = ["HttpServer"]

# Interval of the check for idle connections and slow requests.
SWEEP_PERIOD_S = 0.5


class HttpServer:
    """One listener and its connections.

    Attributes:
        state: State shared by the connections.
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
            handler: Called with each complete request.
            max_connections: Further connections are closed on accept.
            pacer: Paces large answers; None sends them unpaced.
            overlaps: Returns whether a request may run concurrently with
                others of its connection.
        """
        self._loop = asyncio.get_running_loop()
        self.state = ServerState(
            handler, overlaps, max_connections, pacer, self._loop.time()
        )
        self._listener = Listener(lambda: ServerConnection(self.state))
        self._sweep_timer: asyncio.TimerHandle | None = None

    @property
    def busy(self) -> bool:
        """Whether any request is unanswered, or any answer not sent."""
        return bool(self.state.flushing) or any(
            conn.busy or conn.sending for conn in self.state.connections
        )

    @property
    def awaits_first_request(self) -> bool:
        """Whether the first request of a new connection may be in transit."""
        return self._listener.accepting or any(
            conn.awaits_request() for conn in self.state.connections
        )

    async def listen(self, host: str, port: int) -> None:
        """Opens the listener."""
        await self._listener.open(host, port)
        self._sweep()

    def close_listener(self) -> None:
        """Stops accepting connections."""
        self._listener.close()

    def close(self) -> None:
        """Closes the listener and aborts all connections."""
        self.close_listener()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        for conn in tuple(self.state.connections):
            conn.abort()

    def close_idle(self) -> None:
        """Closes the connections that have no request in progress."""
        for conn in tuple(self.state.connections):
            if not (conn.busy or conn.reading or conn.awaits_request()):
                conn.close()

    def _sweep(self) -> None:
        # Scheduled first, so that an error does not end the checks.
        self._sweep_timer = self._loop.call_later(SWEEP_PERIOD_S, self._sweep)
        now = self._loop.time()
        for conn in tuple(self.state.connections):
            conn.check_limits(now)
