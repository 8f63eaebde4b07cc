"""HTTP server for operators and monitoring."""

import contextlib
from collections.abc import AsyncIterator, Callable

import orjson
from aiohttp import web

from guavawing.model import Address
from guavawing.node.metrics import Metrics

__all__ = ["AdminActions", "open_admin_server"]

SHUTDOWN_TIMEOUT_S = 1.0


class AdminActions:
    """What operators can ask of a node.

    Attributes:
        read_status: Returns the state of the node as a JSON tree.
        is_ready: Returns whether the node takes calls.
        set_draining: Starts or ends a drain of the target.
    """

    __slots__ = ("is_ready", "read_status", "set_draining")

    def __init__(
        self,
        *,
        read_status: Callable[[], dict[str, object]],
        is_ready: Callable[[], bool],
        set_draining: Callable[[bool], None],
    ) -> None:
        self.read_status = read_status
        self.is_ready = is_ready
        self.set_draining = set_draining


def build_admin_app(actions: AdminActions, metrics: Metrics) -> web.Application:
    """Returns the HTTP application for operators."""

    async def get_status(_: web.Request) -> web.Response:
        return _respond(actions.read_status())

    async def get_health(_: web.Request) -> web.Response:
        return _respond({"alive": True})

    async def get_readiness(_: web.Request) -> web.Response:
        ready = actions.is_ready()
        return _respond({"ready": ready}, status=200 if ready else 503)

    async def get_metrics(_: web.Request) -> web.Response:
        payload, headers = metrics.render()
        return web.Response(body=payload, headers=headers)

    async def start_drain(_: web.Request) -> web.Response:
        actions.set_draining(True)
        return _respond({"draining": True})

    async def stop_drain(_: web.Request) -> web.Response:
        actions.set_draining(False)
        return _respond({"draining": False})

    app = web.Application()
    app.router.add_get("/status", get_status)
    app.router.add_get("/healthz", get_health)
    app.router.add_get("/readyz", get_readiness)
    app.router.add_get("/metrics", get_metrics)
    app.router.add_post("/drain", start_drain)
    app.router.add_delete("/drain", stop_drain)
    return app


def _respond(tree: dict[str, object], status: int = 200) -> web.Response:
    return web.Response(
        status=status,
        body=orjson.dumps(tree),
        content_type="application/json",
    )


@contextlib.asynccontextmanager
async def open_admin_server(
    app: web.Application, address: Address
) -> AsyncIterator[None]:
    """Listens for operators until closed."""
    runner = web.AppRunner(
        app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S
    )
    await runner.setup()
    await web.TCPSite(runner, address.host, address.port).start()
    try:
        yield
    finally:
        await runner.cleanup()
