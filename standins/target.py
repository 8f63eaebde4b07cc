"""Stand-in for a target that records executions and their concurrency.

Run it with `python -m standins.target IP:PORT`. The `X-Work-Ms` header of a
request sets its service time and `X-Answer-Bytes` the size of its answer.
`GET /record` returns the record; `POST /faults` replaces the injected faults.
"""

import argparse
import asyncio
import hashlib
from typing import Any

import attrs
import orjson
from aiohttp import web

from guavawing.model import parse_address

MAX_BODY_BYTES = 64 * 2**20


@attrs.define
class Faults:
    """Faults that the target injects.

    Attributes:
        work_ms: Service time added to every request, in milliseconds.
        drop_answers: Number of requests to execute without answering; the
            connection is aborted.
        truncate_answers: Number of answers to truncate to half their length.
        unhealthy: Whether the health endpoint returns status 503.
        errors: Number of requests to answer with status 500 after execution.
        end_at_deadline: Whether the service time is limited to the time left
            in the deadline header of the request.
    """

    work_ms: float = 0.0
    drop_answers: int = 0
    truncate_answers: int = 0
    unhealthy: bool = False
    errors: int = 0
    end_at_deadline: bool = False


@attrs.define
class Record:
    """Record of the executions at the target.

    Attributes:
        executions: Executions by value of the `X-Key` header.
        running: Requests in progress.
        max_running: Maximum number of concurrent requests.
        connections: Open connections.
        max_connections: Maximum number of concurrent connections.
        requests: Total number of requests executed.
        last_started_at: Event loop time of the last start, in seconds.
    """

    executions: dict[str, int] = attrs.field(factory=dict)
    running: int = 0
    max_running: int = 0
    connections: int = 0
    max_connections: int = 0
    requests: int = 0
    last_started_at: float = 0.0


class TargetStandIn:
    """HTTP application of the target."""

    def __init__(self) -> None:
        self._faults = Faults()
        self._record = Record()

    def build_app(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_get("/health", self._health)
        app.router.add_get("/record", self._get_record)
        app.router.add_post("/faults", self._set_faults)
        app.router.add_route("*", "/{path:.*}", self._execute)
        return app

    async def _health(self, _: web.Request) -> web.Response:
        return web.Response(status=503 if self._faults.unhealthy else 200)

    async def _get_record(self, _: web.Request) -> web.Response:
        body = orjson.dumps(attrs.asdict(self._record))
        return web.Response(body=body, content_type="application/json")

    async def _set_faults(self, req: web.Request) -> web.Response:
        self._faults = Faults(**orjson.loads(await req.read()))
        return web.Response()

    async def _execute(self, req: web.Request) -> web.StreamResponse:
        record = self._record
        body = await req.read()
        record.requests += 1
        record.running += 1
        record.max_running = max(record.max_running, record.running)
        record.last_started_at = asyncio.get_running_loop().time()
        key = req.headers.get("X-Key")
        if key is not None:
            record.executions[key] = record.executions.get(key, 0) + 1
        try:
            work_ms = float(req.headers.get("X-Work-Ms", "0"))
            work_ms += self._faults.work_ms
            if self._faults.end_at_deadline:
                time_left = req.headers.get("Guavawing-Deadline-Ms", "inf")
                work_ms = min(work_ms, float(time_left))
            if work_ms:
                await asyncio.sleep(work_ms / 1000)
        finally:
            record.running -= 1
        return await self._answer(req, body)

    async def _answer(
        self, req: web.Request, body: bytes
    ) -> web.StreamResponse:
        if self._faults.drop_answers > 0:
            self._faults.drop_answers -= 1
            return _drop(req)
        if self._faults.errors > 0:
            self._faults.errors -= 1
            return web.Response(status=500, text="target error")
        seed = req.headers.get("X-Seed", req.path).encode() + body
        payload = make_answer(seed, int(req.headers.get("X-Answer-Bytes", 64)))
        if self._faults.truncate_answers > 0:
            self._faults.truncate_answers -= 1
            return await _truncate(req, payload)
        if "X-Chunked" in req.headers:
            return await _send_chunks(req, payload)
        return web.Response(body=payload)


def make_answer(seed: bytes, length: int) -> bytes:
    """Returns `length` bytes derived from `seed`, which callers verify."""
    block = hashlib.sha256(seed).digest()
    return (block * (length // len(block) + 1))[:length]


def _drop(req: web.Request) -> web.Response:
    assert req.transport is not None
    req.transport.abort()
    return web.Response()


async def _truncate(req: web.Request, payload: bytes) -> web.StreamResponse:
    resp = web.StreamResponse(headers={"Content-Length": str(len(payload))})
    await resp.prepare(req)
    await resp.write(payload[: len(payload) // 2])
    assert req.transport is not None
    req.transport.close()
    return resp


async def _send_chunks(req: web.Request, payload: bytes) -> web.StreamResponse:
    resp = web.StreamResponse()
    resp.enable_chunked_encoding()
    await resp.prepare(req)
    for start in range(0, len(payload), 1000):
        await resp.write(payload[start : start + 1000])
    await resp.write_eof()
    return resp


class _ConnectionCounter(web.AppRunner):
    """Runner that counts open connections in the record of a target."""

    def __init__(self, app: web.Application, record: Record) -> None:
        super().__init__(app, access_log=None, keepalive_timeout=75.0)
        self._target_record = record

    async def _make_server(self) -> Any:
        server = await super()._make_server()
        record = self._target_record
        connect, disconnect = server.connection_made, server.connection_lost

        def connection_made(*args: Any) -> None:
            record.connections += 1
            record.max_connections = max(
                record.max_connections, record.connections
            )
            connect(*args)

        def connection_lost(*args: Any) -> None:
            record.connections -= 1
            disconnect(*args)

        server.connection_made = connection_made
        server.connection_lost = connection_lost
        return server


async def _serve(host: str, port: int) -> None:
    target = TargetStandIn()
    runner = _ConnectionCounter(target.build_app(), target._record)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    await asyncio.Event().wait()


def main() -> None:
    """Serves the stand-in until the process is stopped."""
    parser = argparse.ArgumentParser()
    parser.add_argument("address")
    args = parser.parse_args()
    address = parse_address(args.address)
    asyncio.run(_serve(address.host, address.port))


if __name__ == "__main__":
    main()
