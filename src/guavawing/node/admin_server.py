"""HTTP server for operators and monitoring."""

import contextlib
from collections.abc import AsyncIterator, Callable

import attrs
import orjson
from aiohttp import web

from guavawing.model import Address
from guavawing.node.http_server import BoundedServer, open_http_server
from guavawing.node.metrics import Metrics

__all__ = ["AdminActions", "AdminServer", "open_admin_server"]

MAX_CONNECTIONS = 64

Tree = dict[str, object]
Route = Callable[[web.BaseRequest], web.Response]


@attrs.frozen(kw_only=True)
class AdminActions:
    """What operators can ask of a node.

    Attributes:
        read_status: Returns the state of the node as a JSON tree.
        list_members: Returns the members that the node knows.
        is_ready: Returns whether the node takes calls.
        set_draining: Starts or ends a drain of the target.
        update_gauges: Brings gauges up to date before they are scraped.
    """

    read_status: Callable[[], Tree]
    list_members: Callable[[], list[Tree]]
    is_ready: Callable[[], bool]
    set_draining: Callable[[bool], None]
    update_gauges: Callable[[], None]


class AdminServer:
    """Answers operators and monitoring.

    `/healthz` tells whether the process works at all; `/readyz` whether it
    should get calls, which a node without a configuration or in a drain
    should not.
    """

    __slots__ = ("_actions", "_routes", "metrics")

    def __init__(self, actions: AdminActions, metrics: Metrics) -> None:
        self._actions = actions
        self.metrics = metrics
        self._routes: dict[tuple[str, str], Route] = {
            ("GET", "/status"): self._answer_status,
            ("GET", "/healthz"): lambda _: _respond({"alive": True}),
            ("GET", "/readyz"): self._answer_readiness,
            ("GET", "/metrics"): self._answer_metrics,
            ("POST", "/drain"): lambda _: self._set_draining(True),
            ("DELETE", "/drain"): lambda _: self._set_draining(False),
        }

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        """Answers one request."""
        route = self._routes.get((req.method, req.path))
        if route is None:
            paths = sorted({path for _, path in self._routes})
            return _respond(
                {"error": f"got {req.path!r}, expected one of {paths}"}, 404
            )
        return route(req)

    def _answer_status(self, req: web.BaseRequest) -> web.Response:
        """Answers with the members too, unless they are not wanted.

        Whoever asks every node needs the list of one only, and the lists of
        all grow with the square of the fleet.
        """
        tree = self._actions.read_status()
        if req.query.get("members") != "no":
            tree["members"] = self._actions.list_members()
        return _respond(tree)

    def _answer_readiness(self, _: web.BaseRequest) -> web.Response:
        ready = self._actions.is_ready()
        return _respond({"ready": ready}, 200 if ready else 503)

    def _answer_metrics(self, _: web.BaseRequest) -> web.Response:
        self._actions.update_gauges()
        payload, headers = self.metrics.render()
        return web.Response(body=payload, headers=headers)

    def _set_draining(self, draining: bool) -> web.Response:
        self._actions.set_draining(draining)
        return _respond({"draining": draining})


def _respond(tree: Tree, status: int = 200) -> web.Response:
    return web.Response(
        status=status,
        body=orjson.dumps(tree),
        content_type="application/json",
    )


@contextlib.asynccontextmanager
async def open_admin_server(
    server: AdminServer, address: Address
) -> AsyncIterator[None]:
    """Listens for operators until closed."""
    http = BoundedServer(
        server.handle,
        name="admin",
        max_connections=MAX_CONNECTIONS,
        metrics=server.metrics,
    )
    async with open_http_server(http, address):
        yield
