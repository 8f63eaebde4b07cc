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
# Members of a list that are written in one turn of the event loop.
MEMBERS_PER_PIECE = 200

JSON_TYPE = "application/json"

Tree = dict[str, object]
Route = Callable[[web.BaseRequest], web.Response]


@attrs.frozen(kw_only=True)
class AdminActions:
    """What operators can ask of a node.

    Attributes:
        read_status: Returns the state of the node as a JSON tree.
        list_members: Yields the members that the node knows.
        is_ready: Returns whether the node takes calls.
        set_draining: Starts or ends a drain of the target.
        update_gauges: Brings gauges up to date before they are scraped.
    """

    read_status: Callable[[], Tree]
    list_members: Callable[[], Iterator[Tree]]
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
            ("GET", "/status"): lambda _: _respond(actions.read_status()),
            ("GET", "/healthz"): lambda _: _respond({"alive": True}),
            ("GET", "/readyz"): self._answer_readiness,
            ("GET", "/metrics"): self._answer_metrics,
            ("POST", "/drain"): lambda _: self._set_draining(True),
            ("DELETE", "/drain"): lambda _: self._set_draining(False),
        }

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        """Answers one request."""
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
        """Answers with the state of the node and the members it knows.

        The list of a large fleet is some megabytes. It is written in pieces,
        so that it is never held whole and that calls go on meanwhile.
        Whoever asks every node needs the list of one only, and says so.
        """
        resp = web.StreamResponse(headers={"Content-Type": JSON_TYPE})
        await resp.prepare(req)
        status = orjson.dumps(self._actions.read_status())
        await resp.write(status.removesuffix(b"}") + b',"members":[')
        members = map(orjson.dumps, self._actions.list_members())
        separator = b""
        while piece := list(itertools.islice(members, MEMBERS_PER_PIECE)):
            await resp.write(separator + b",".join(piece))
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
    """Listens for operators until closed."""
    http = BoundedServer(
        server.handle,
        name="admin",
        max_connections=MAX_CONNECTIONS,
        metrics=server.metrics,
    )
    async with open_http_server(http, address):
        yield
