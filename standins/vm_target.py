"""Stand-in for the target of a VM on the platform.

The last segment of the request path selects the behaviour: `ok`; `slow`
(service time of 1 s); `slower` (2 s); `endless` (an hour); `lost` (executed,
then the connection is aborted); `late` (an answer to another request precedes
its own); `cut` (the answer is truncated); `shed` (refused without execution);
`unsigned` (no signature header); `error` (status 500); `large` (200,000 bytes);
`huge` (more than the kernel buffers of a connection);
`too-large` (status 413 before the body is read); `hang-up` (closes within the
body); `flood` (a body in tiny chunks without end). With the suffix `-once` only
the first attempt of a request behaves so.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import cast

import attrs
import httptools

WORK_S = {"slow": 1.0, "slower": 2.0, "endless": 3600.0}
DEFAULT_WORK_S = 0.005
BODY = b"the whole answer"
LARGE_BYTES = 200_000
HUGE_BYTES = 3_000_000
FLOOD = b"2\r\naa\r\n" * 4_000


def make_large_body(request_id: str) -> bytes:
    """Returns the body of a `large` answer to a request."""
    line = f"answer to {request_id}\n".encode()
    return (line * (LARGE_BYTES // len(line) + 1))[:LARGE_BYTES]


@attrs.define
class Execution:
    """Execution of a request.

    Attributes:
        request_id: Id of the request.
        target_id: Id of the target incarnation that executed it.
        headers: Request headers, with lower-case names.
        body: Request body.
        at: Event loop time of the start, in seconds.
        ended: Whether the execution completed.
        cancelled: Whether the connection closed before that.
    """

    request_id: str
    target_id: str
    headers: dict[str, str]
    body: bytes
    at: float
    ended: bool = False
    cancelled: bool = False


@attrs.define(eq=False)
class VmTarget:
    """State of one target.

    Attributes:
        id: Id of its incarnation; requests that expect another one get 421.
        healthy: Whether its health check returns status 200.
        executions: Executions in start order.
        running: Number of requests in progress.
        max_running: Maximum number of concurrent requests.
        failed: Ids of requests already attempted, for the suffix `-once`, at
            any target that shares the set.
        limit: Value of `Server-Limit` in its answers; empty for none.
        leaving: Value of `Server-Leaving` in its answers; empty for none.
        retry_after: Value of `Retry-After` in its refusals; empty for none.
        faulty: Whether it answers all requests with status 500.
    """

    id: str
    healthy: bool = True
    executions: list[Execution] = attrs.field(factory=list)
    running: int = 0
    max_running: int = 0
    failed: set[str] = attrs.field(factory=set)
    limit: str = ""
    leaving: str = ""
    retry_after: str = ""
    faulty: bool = False

    def count(self, request_id: str) -> int:
        """Returns the number of executions of a request."""
        return sum(1 for e in self.executions if e.request_id == request_id)


class _Connection(asyncio.Protocol):
    def __init__(self, target: VmTarget) -> None:
        self._target = target
        self._parser = httptools.HttpRequestParser(self)
        self._task: asyncio.Task[None] | None = None
        self._answered = False
        self._writable = asyncio.Event()
        self._writable.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        self._url, self._body = b"", bytearray()
        self._answered = False
        self._headers: dict[str, str] = {}

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode().lower()] = value.decode()

    def on_headers_complete(self) -> None:
        if self._url.endswith(b"/too-large"):
            self._answered = True
            request_id = self._headers.get("x-request-id", "")
            self._write(413, f"X-Request-Id: {request_id}\r\n", b"")

    def on_body(self, body: bytes) -> None:
        self._body += body
        if self._url.endswith(b"/hang-up"):
            self._answered = True
            self._transport.abort()

    def on_message_complete(self) -> None:
        if self._answered:
            return
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._answer())

    async def _answer(self) -> None:
        target, headers = self._target, self._headers
        request_id = headers.get("x-request-id", "")
        if self._url == b"/health":
            status = 200 if target.healthy else 503
            self._write(status, f"X-Instance-Id: {target.id}\r\n", b"")
            return
        expected = headers.get("x-expected-instance", target.id)
        if expected != target.id:
            self._write(421, f"X-Instance-Id: {target.id}\r\n", b"")
            return
        mode = self._url.decode().rpartition("/")[2]
        name, _, once = mode.partition("-")
        if once and request_id in target.failed:
            name = "ok"
        if target.faulty:
            name = "error"
        target.failed.add(request_id)
        request_id_header = f"X-Request-Id: {request_id}\r\n"
        if name == "shed":
            head = request_id_header + "X-Not-Executed: 1\r\n"
            if target.retry_after:
                head += f"Retry-After: {target.retry_after}\r\n"
            self._write(503, head, b"")
            return
        await self._execute(name, request_id_header, request_id)

    async def _execute(
        self, name: str, request_id_header: str, request_id: str
    ) -> None:
        target = self._target
        loop = asyncio.get_running_loop()
        execution = Execution(
            request_id, target.id, self._headers, bytes(self._body), loop.time()
        )
        target.executions.append(execution)
        target.running += 1
        target.max_running = max(target.max_running, target.running)
        try:
            await asyncio.sleep(WORK_S.get(name, DEFAULT_WORK_S))
            execution.ended = True
        except asyncio.CancelledError:
            execution.cancelled = True
            raise
        finally:
            target.running -= 1
        signed_headers = request_id_header + "X-Response-Signature: 1.2.3\r\n"
        match name:
            case "lost":
                self._transport.abort()
            case "late":
                stale = signed_headers.replace(request_id, "another")
                self._write(200, stale, b"of another request")
                self._write(200, signed_headers, BODY)
            case "cut":
                self._write(200, signed_headers, BODY, length=len(BODY) + 9)
                self._transport.close()
            case "unsigned":
                self._write(200, request_id_header, BODY)
            case "large":
                self._write(200, signed_headers, make_large_body(request_id))
            case "huge":
                self._write(200, signed_headers, bytes(HUGE_BYTES))
            case "flood":
                await self._flood(signed_headers)
            case "error":
                self._write(500, signed_headers, b"")
            case _:
                self._write(200, signed_headers, BODY)

    async def _flood(self, head: str) -> None:
        """Sends a body without end until the caller closes."""
        lines = f"HTTP/1.1 200 X\r\n{head}Transfer-Encoding: chunked\r\n\r\n"
        self._transport.write(lines.encode())
        while True:
            self._transport.write(FLOOD)
            await asyncio.sleep(0)
            await self._writable.wait()

    def _write(
        self, status: int, head: str, body: bytes, *, length: int = -1
    ) -> None:
        length = len(body) if length < 0 else length
        if self._target.limit:
            head += f"Server-Limit: {self._target.limit}\r\n"
        if self._target.leaving:
            head += f"Server-Leaving: {self._target.leaving}\r\n"
        lines = f"HTTP/1.1 {status} X\r\n{head}Content-Length: {length}\r\n\r\n"
        self._transport.write(lines.encode() + body)


@contextlib.asynccontextmanager
async def open_vm_target(
    target: VmTarget, host: str, port: int
) -> AsyncIterator[VmTarget]:
    """Serves a target until the context exits."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: _Connection(target), host, port)
    try:
        yield target
    finally:
        server.close()
