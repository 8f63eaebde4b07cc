"""HTTP servers with limits on the connections of clients."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from guavawing.model import Address
from guavawing.node.listener import Listener
from guavawing.node.metrics import Metrics

__all__ = ["BoundedServer", "open_http_server"]

# Time from the accept of a connection to its first complete request head.
FIRST_REQUEST_TIMEOUT_S = 10.0
KEEPALIVE_TIMEOUT_S = 75.0
SHUTDOWN_TIMEOUT_S = 1.0
# Time for the first request of a connection after the listener has closed.
LAST_REQUEST_TIMEOUT_S = 0.5
LAST_REQUEST_POLL_S = 0.01

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
ErrorHandler = Callable[[int, str], web.Response]


class _Protocol(web.RequestHandler):
    """One connection; a hook builds the responses to errors of aiohttp."""

    __slots__ = ("answer_error",)

    answer_error: ErrorHandler | None

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Returns the response to a malformed request or a handler error."""
        if self.answer_error is None:
            return super().handle_error(request, status, exc, message)
        resp = self.answer_error(status, message or "")
        resp.force_close()
        return resp


class BoundedServer(web.Server):
    """A server that limits its connections.

    It closes connections above `max_connections`, and those without a
    complete request head within `FIRST_REQUEST_TIMEOUT_S`.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        name: str,
        max_connections: int,
        metrics: Metrics,
        answer_error: ErrorHandler | None = None,
        handler_cancellation: bool = False,
    ) -> None:
        super().__init__(
            handler,
            request_factory=self._create_request,
            handler_cancellation=handler_cancellation,
        )
        self._answer_error = answer_error
        self._name = name
        self._max_connections = max_connections
        self._metrics = metrics
        self._silent: set[RequestHandler] = set()

    def __call__(self) -> web.RequestHandler:
        """Returns the protocol of a new connection."""
        # aiohttp's annotation of `access_log` does not include None.
        options: dict[str, Any] = {"access_log": None}
        protocol = _Protocol(
            self,
            loop=asyncio.get_running_loop(),
            # Bodies are forwarded unchanged, compressed or not.
            auto_decompress=False,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            **options,
        )
        protocol.answer_error = self._answer_error
        return protocol

    def connection_made(
        self, handler: Any, transport: asyncio.Transport
    ) -> None:
        """Registers a connection, or closes it above the limit."""
        super().connection_made(handler, transport)
        if len(self.connections) > self._max_connections:
            self._refuse(transport, "too-many")
            return
        self._silent.add(handler)
        asyncio.get_running_loop().call_later(
            FIRST_REQUEST_TIMEOUT_S, self._close_if_silent, handler, transport
        )

    def connection_lost(
        self, handler: Any, exc: BaseException | None = None
    ) -> None:
        """Removes a connection."""
        super().connection_lost(handler, exc)
        self._silent.discard(handler)

    async def wait_first_requests(self) -> None:
        """Waits until every open connection has sent a request."""
        while self._silent:
            await asyncio.sleep(LAST_REQUEST_POLL_S)

    def _create_request(
        self, message: Any, payload: Any, protocol: Any, *rest: Any
    ) -> web.BaseRequest:
        self._silent.discard(protocol)
        return self._make_request(message, payload, protocol, *rest)

    def _close_if_silent(
        self, handler: Any, transport: asyncio.Transport
    ) -> None:
        if handler in self._silent:
            self._refuse(transport, "silent")

    def _refuse(self, transport: asyncio.Transport, reason: str) -> None:
        labels = {"listener": self._name, "reason": reason}
        self._metrics.refused_connections.inc(labels)
        transport.abort()


@contextlib.asynccontextmanager
async def open_http_server(
    server: BoundedServer, address: Address
) -> AsyncIterator[None]:
    """Listens at an address until closed.

    On exit, accepted connections get `LAST_REQUEST_TIMEOUT_S` for a first
    request.
    """
    runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
    await runner.setup()
    listener = Listener(server)
    await listener.open(address.host, address.port)
    try:
        yield
    finally:
        listener.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LAST_REQUEST_TIMEOUT_S):
                await listener.wait_accepted()
                await server.wait_first_requests()
        await runner.cleanup()
