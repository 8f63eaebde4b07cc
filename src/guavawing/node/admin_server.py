"""HTTP server for operators and monitoring."""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator, Callable, Iterator

import attrs
import orjson
from aiohttp import web

from guavawing.model import Address
from guavawing.node.http_server import BoundedServer, open_http_server
from guavawing.node.metrics import Metrics

__all__ = ["AdminActions", "AdminServer", "open_admin_server"]

MAX_CONNECTIONS = 64
# Members written before yielding to the event loop.
MEMBERS_PER_CHUNK = 200

JSON_TYPE = "application/json"

Tree = dict[str, object]
Route = Callable[[web.BaseRequest], web.Response]


@attrs.frozen(kw_only=True)
class AdminActions:
    """Operations that a node offers to operators.

    Attributes:
        read_status: Returns the state of the node as a JSON tree.
        list_members: Yields the members in the node's member table.
        is_ready: Returns whether the node accepts calls.
        set_draining: Starts or ends a drain of the target.
        update_gauges: Updates the gauges; called before each scrape.
    """

    read_status: Callable[[], Tree]
    list_members: Callable[[], Iterator[Tree]]
    is_ready: Callable[[], bool]
    set_draining: Callable[[bool], None]
    update_gauges: Callable[[], None]


class AdminServer:
    """Handles requests of operators and monitoring.

    `/healthz` reports liveness: the process responds. `/readyz` reports
    whether the node should get calls; a node without a configuration or
    with a drain in progress should not.
    """

    __slots__ = ("_actions", "_routes", "metrics")

    def __init__(self, actions: AdminActions, metrics: Metrics) -> None:
        self._actions = actions
        self.metrics = metrics
        self._routes: dict[tuple[str, str], Route] = {
            ("GET", "/status"): lambda _: _respond(actions.read_status()),
            ("GET", "/healthz"): lambda _: _respond({"alive": True}),
            ("GET", "/readyz"): self._answer_readiness,
            ("GET", "/metrics"): self._answer_metrics,
            ("POST", "/drain"): lambda _: self._set_draining(True),
            ("DELETE", "/drain"): lambda _: self._set_draining(False),
        }

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        """Handles one request."""
        wants_members = req.query.get("members") != "no"
        if (req.method, req.path) == ("GET", "/status") and wants_members:
            return await self._stream_status(req)
        route = self._routes.get((req.method, req.path))
        if route is None:
            paths = sorted({path for _, path in self._routes})
            return _respond(
                {"error": f"got {req.path!r}, expected one of {paths}"}, 404
            )
        return route(req)

    async def _stream_status(self, req: web.BaseRequest) -> web.StreamResponse:
        """Streams the state of the node and its member list.

        The list of a large fleet has several megabytes. It is written in
        chunks, so that it is never completely in memory and does not block
        calls. Clients that query every node need the list of only one, and
        omit it for the others with `members=no`.
        """
        resp = web.StreamResponse(headers={"Content-Type": JSON_TYPE})
        await resp.prepare(req)
        status = orjson.dumps(self._actions.read_status())
        await resp.write(status.removesuffix(b"}") + b',"members":[')
        members = map(orjson.dumps, self._actions.list_members())
        separator = b""
        while chunk := list(itertools.islice(members, MEMBERS_PER_CHUNK)):
            await resp.write(separator + b",".join(chunk))
            separator = b","
            await asyncio.sleep(0)
        await resp.write(b"]}")
        await resp.write_eof()
        return resp

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
        content_type=JSON_TYPE,
    )


@contextlib.asynccontextmanager
async def open_admin_server(
    server: AdminServer, address: Address
) -> AsyncIterator[None]:
    """Serves the admin API until closed."""
    http = BoundedServer(
        server.handle,
        name="admin",
        max_connections=MAX_CONNECTIONS,
        metrics=server.metrics,
    )
    async with open_http_server(http, address):
        yield
