"""HTTP server for callers."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

from aiohttp import web

from guavawing.config import EffectivePolicy, PolicyTable
from guavawing.model import Address
from guavawing.node.call import Call
from guavawing.node.call_headers import (
    DEADLINE_HEADER,
    SERVICE_HEADER,
    strip_call_headers,
)
from guavawing.node.call_reader import (
    RequestRefusedError,
    build_call,
    check_headers,
    fingerprint,
    read_body,
    read_call_id,
    read_depth,
    read_key,
    read_number,
)
from guavawing.node.caller_response import (
    build_keys_response,
    build_response,
)
from guavawing.node.entry import Entry
from guavawing.node.http_server import BoundedServer, open_http_server
from guavawing.node.logs import is_logged, log
from guavawing.node.messages import Answer, CallAttempt
from guavawing.node.metrics import Metrics
from guavawing.verdict import MayHaveRun, NotRun, Reason, verdict_name

__all__ = ["CallerServer", "open_caller_server"]

KEYS_PATH = "/guavawing/keys"
MAX_KEYS = 1_000
KEYS_TIMEOUT_S = 3.0
MAX_DEADLINE_MS = 600_000
MAX_CALLS = 4_096
RETRY_AFTER_TOO_MANY_S = 1.0
RETRY_AFTER_NO_CONFIG_S = 1.0
MS_PER_S = 1_000
FIRST_FAULT_STATUS = 500
MAX_CONNECTIONS = 1_024

PolicySource = Callable[[], PolicyTable | None]


class CallerServer:
    """Validates requests of callers and responds with a verdict."""

    def __init__(
        self,
        *,
        entry: Entry,
        policies: PolicySource,
        metrics: Metrics,
        max_calls: int = MAX_CALLS,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._entry = entry
        self._policies = policies
        self._metrics = metrics
        self._max_calls = max_calls
        self._stopping = False
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()

    def answer_error(self, status: int, message: str) -> web.Response:
        """Returns the response to a malformed request or an internal error."""
        verdict: NotRun | MayHaveRun = NotRun(Reason.MALFORMED_HEADER)
        if status >= FIRST_FAULT_STATUS:
            verdict = MayHaveRun(Reason.INTERNAL)
        self._metrics.count_call(verdict)
        return build_response(Answer(verdict), "", message)

    def start_stopping(self) -> None:
        """Refuses new calls from now on; calls in flight continue."""
        self._stopping = True

    async def wait_idle(self) -> None:
        """Waits until no call is in flight."""
        await self._idle.wait()

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        """Handles one request of a caller."""
        self._in_flight += 1
        self._idle.clear()
        try:
            if req.path == KEYS_PATH and req.method == "POST":
                resp = await self._answer_keys(req)
            else:
                resp = await self._answer(req)
            # A call is in flight until its response has been written.
            await resp.prepare(req)
            await resp.write_eof()
            return resp
        except asyncio.CancelledError:
            self._metrics.refusals.inc({"reason": str(Reason.CANCELLED)})
            raise
        finally:
            self._in_flight -= 1
            if not self._in_flight:
                self._idle.set()

    async def _answer(self, req: web.BaseRequest) -> web.Response:
        call_id = read_call_id(req)
        message = ""
        try:
            call = await self._read_call(req, call_id)
            answer = await self._call(call)
        except RequestRefusedError as exc:
            answer = Answer(exc.verdict)
            message = exc.message
        self._metrics.count_call(answer.verdict)
        if is_logged("debug"):
            log(
                "debug",
                "call",
                call_id=call_id,
                service=req.headers.get(SERVICE_HEADER, ""),
                verdict=verdict_name(answer.verdict),
                reason=str(answer.verdict.reason),
            )
        resp = build_response(answer, call_id, message)
        if self._stopping:
            resp.force_close()
        return resp

    async def _call(self, call: Call) -> Answer:
        try:
            return await self._entry.call(call)
        except Exception as exc:
            # A caller gets a verdict also after an internal error.
            log("error", "call-failed", error=repr(exc))
            return Answer(MayHaveRun(Reason.INTERNAL))

    async def _answer_keys(self, req: web.BaseRequest) -> web.Response:
        try:
            self._check_capacity()
            service, count = self._read_key_request(req)
            async with asyncio.timeout(KEYS_TIMEOUT_S):
                keys = await self._entry.mint_keys(service, count)
        except RequestRefusedError as exc:
            return build_response(Answer(exc.verdict), "", exc.message)
        except TimeoutError:
            keys = []
        if not keys:
            verdict = NotRun(Reason.NO_TARGET, RETRY_AFTER_TOO_MANY_S)
            return build_response(Answer(verdict), "", "")
        return build_keys_response(keys)

    def _read_key_request(self, req: web.BaseRequest) -> tuple[str, int]:
        service = req.query.get("service", "")
        self._check_service(service)
        text = req.query.get("count", "1")
        if not text.isdecimal() or not 0 < int(text[:9]) <= MAX_KEYS:
            raise RequestRefusedError(
                Reason.MALFORMED_HEADER,
                f"got count {text[:32]!r}, expected 1 to {MAX_KEYS}",
            )
        return service, int(text)

    def _check_capacity(self) -> None:
        if self._stopping:
            raise RequestRefusedError(
                Reason.STOPPING, "this node is stopping", retry_after_s=0.0
            )
        if self._in_flight > self._max_calls:
            raise RequestRefusedError(
                Reason.TOO_MANY_CALLS,
                f"this node has {self._max_calls} calls in flight",
                retry_after_s=RETRY_AFTER_TOO_MANY_S,
            )

    async def _read_call(self, req: web.BaseRequest, call_id: str) -> Call:
        self._check_capacity()
        check_headers(req)
        arrived_at = self._loop.time()
        deadline_ms = read_number(
            req, DEADLINE_HEADER, Reason.MISSING_DEADLINE, MAX_DEADLINE_MS
        )
        if deadline_ms <= 0:
            raise RequestRefusedError(
                Reason.DEADLINE_PASSED,
                f"got {DEADLINE_HEADER} {deadline_ms}, expected time left",
            )
        depth = read_depth(req)
        policy = self._find_policy(req)
        caller_key = "" if policy.idempotent else read_key(req)
        settings = policy.settings
        time_left_s = min(deadline_ms, settings.deadline_ms) / MS_PER_S
        deadline = arrived_at + time_left_s
        body = await read_body(req, settings.body_limit, deadline)
        attempt = CallAttempt(
            call_id=call_id,
            policy=policy,
            method=req.method,
            path=req.path_qs,
            headers=strip_call_headers(req.headers.items()),
            body=body,
            deadline=deadline,
            depth=depth + 1,
            fingerprint=fingerprint(policy, req, body),
        )
        return build_call(attempt, caller_key)

    def _check_service(self, service: str) -> PolicyTable:
        table = self._policies()
        if table is None:
            raise RequestRefusedError(
                Reason.NO_CONFIG,
                "this node has no configuration yet",
                retry_after_s=RETRY_AFTER_NO_CONFIG_S,
            )
        if not table.has_service(service):
            raise RequestRefusedError(
                Reason.UNKNOWN_SERVICE,
                f"got {SERVICE_HEADER} {service!r}, expected a service of the"
                " configuration",
            )
        return table

    def _find_policy(self, req: web.BaseRequest) -> EffectivePolicy:
        service = req.headers.get(SERVICE_HEADER, "")
        table = self._check_service(service)
        policy = table.find(service, req.method, req.path)
        if policy is None:
            raise RequestRefusedError(
                Reason.UNKNOWN_ROUTE,
                f"got {req.method} {req.path}, expected a route of {service}",
            )
        return policy


@contextlib.asynccontextmanager
async def open_caller_server(
    server: CallerServer, address: Address, metrics: Metrics
) -> AsyncIterator[CallerServer]:
    """Serves callers until closed."""
    http = BoundedServer(
        server.handle,
        name="caller",
        max_connections=MAX_CONNECTIONS,
        metrics=metrics,
        answer_error=server.answer_error,
        handler_cancellation=True,
    )
    async with open_http_server(http, address):
        yield server
