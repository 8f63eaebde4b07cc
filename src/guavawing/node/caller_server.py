"""HTTP server for callers: checks requests and answers with a verdict."""

import asyncio
import contextlib
import math
import secrets
from collections.abc import AsyncIterator, Callable

import orjson
from aiohttp import web

from guavawing.config import EffectivePolicy, PolicyTable
from guavawing.model import Address
from guavawing.node.entry import Call, Entry, compute_fingerprint
from guavawing.node.http_server import BoundedServer, open_http_server
from guavawing.node.logs import is_logged, log
from guavawing.node.messages import Answer, CallAttempt
from guavawing.node.metrics import Metrics
from guavawing.node.target_client import strip_hop_headers
from guavawing.verdict import MayHaveRun, NotRun, Ran, Reason, verdict_name

__all__ = ["CallerServer", "open_caller_server"]

SERVICE_HEADER = "Guavawing-Service"
DEADLINE_HEADER = "Guavawing-Deadline-Ms"
DEPTH_HEADER = "Guavawing-Depth"
CALL_ID_HEADER = "Guavawing-Call-Id"
KEY_HEADER = "Idempotency-Key"
VERDICT_HEADER = "Guavawing-Verdict"
REASON_HEADER = "Guavawing-Reason"
BUDGET_HEADER = "Guavawing-Budget-Spent"

MAX_DEPTH = 32
MAX_DEADLINE_MS = 600_000
MAX_KEY_LENGTH = 256
MAX_CALL_ID_LENGTH = 64
CALL_ID_BYTES = 8
MILLISECONDS = 1_000
MAX_CONNECTIONS = 1_024

_STATUS_OF_REASON = {
    Reason.UNKNOWN_SERVICE: 404,
    Reason.UNKNOWN_ROUTE: 404,
    Reason.MISSING_DEADLINE: 400,
    Reason.MALFORMED_HEADER: 400,
    Reason.TOO_DEEP: 400,
    Reason.BODY_TOO_LARGE: 413,
    Reason.KEY_REUSED: 422,
    Reason.DEADLINE_PASSED: 504,
    Reason.TARGET_TIMEOUT: 504,
    Reason.QUEUE_FULL: 429,
    Reason.EVICTED: 429,
}
_STATUS_NOT_RUN = 503
_STATUS_MAY_HAVE_RUN = 502

PolicySource = Callable[[], PolicyTable | None]


class _RefusedError(Exception):
    """Raised when a request can't be taken; carries the verdict."""

    def __init__(self, reason: Reason, message: str) -> None:
        super().__init__(message)
        self.verdict = NotRun(reason)
        self.message = message


class CallerServer:
    """Takes requests of callers."""

    def __init__(
        self, *, entry: Entry, policies: PolicySource, metrics: Metrics
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._entry = entry
        self._policies = policies
        self._metrics = metrics
        self._stopping = False
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()

    def start_stopping(self) -> None:
        """Refuses new calls; calls in flight go on."""
        self._stopping = True

    async def wait_idle(self) -> None:
        """Waits until no call is in flight."""
        await self._idle.wait()

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        """Answers one request of a caller."""
        self._in_flight += 1
        self._idle.clear()
        try:
            resp = await self._answer(req)
            # A call is in flight until the caller has taken its answer.
            await resp.prepare(req)
            await resp.write_eof()
            return resp
        finally:
            self._in_flight -= 1
            if not self._in_flight:
                self._idle.set()

    async def _answer(self, req: web.BaseRequest) -> web.Response:
        call_id = _read_call_id(req)
        message = ""
        try:
            call = await self._read_call(req, call_id)
            answer = await self._entry.call(call)
        except _RefusedError as exc:
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
        resp = _build_response(answer, call_id, message)
        if self._stopping:
            resp.force_close()
        return resp

    async def _read_call(self, req: web.BaseRequest, call_id: str) -> Call:
        if self._stopping:
            exc = _RefusedError(Reason.STOPPING, "this node is stopping")
            exc.verdict = NotRun(Reason.STOPPING, 0.0)
            raise exc
        arrived_at = self._loop.time()
        deadline_ms = _read_number(
            req, DEADLINE_HEADER, Reason.MISSING_DEADLINE, MAX_DEADLINE_MS
        )
        if deadline_ms <= 0:
            raise _RefusedError(
                Reason.DEADLINE_PASSED,
                f"got {DEADLINE_HEADER} {deadline_ms}, expected time left",
            )
        depth = _read_depth(req)
        caller_key = _read_key(req)
        policy = self._find_policy(req)
        settings = policy.settings
        time_left_s = min(deadline_ms, settings.deadline_ms) / MILLISECONDS
        deadline = arrived_at + time_left_s
        body = await _read_body(req, settings.body_limit, deadline)
        attempt = CallAttempt(
            call_id=call_id,
            policy=policy,
            method=req.method,
            path=req.path_qs,
            headers=strip_hop_headers(req.headers.items()),
            body=body,
            deadline=deadline,
            depth=depth + 1,
            fingerprint=_fingerprint(policy, req, body),
        )
        return Call(attempt, "" if policy.idempotent else caller_key)

    def _find_policy(self, req: web.BaseRequest) -> EffectivePolicy:
        table = self._policies()
        if table is None:
            exc = _RefusedError(
                Reason.NO_CONFIG, "this node has no configuration yet"
            )
            exc.verdict = NotRun(Reason.NO_CONFIG, 1.0)
            raise exc
        service = req.headers.get(SERVICE_HEADER, "")
        if not table.has_service(service):
            raise _RefusedError(
                Reason.UNKNOWN_SERVICE,
                f"got {SERVICE_HEADER} {service!r}, expected a service of the"
                " configuration",
            )
        policy = table.find(service, req.method, req.path)
        if policy is None:
            raise _RefusedError(
                Reason.UNKNOWN_ROUTE,
                f"got {req.method} {req.path}, expected a route of {service}",
            )
        return policy


def _fingerprint(
    policy: EffectivePolicy, req: web.BaseRequest, body: bytes
) -> bytes:
    if policy.idempotent:
        return b""
    return compute_fingerprint(req.method, req.path_qs, body)


def _read_number(
    req: web.BaseRequest, name: str, reason: Reason, highest: int
) -> int:
    text = req.headers.get(name)
    if text is None:
        raise _RefusedError(reason, f"got no {name} header, expected one")
    try:
        value = int(text)
    except ValueError:
        value = highest + 1
    if value > highest or len(text) > len(str(highest)) + 1:
        raise _RefusedError(
            Reason.MALFORMED_HEADER,
            f"got {name} {text[:32]!r}, expected a whole number up to"
            f" {highest}",
        )
    return value


def _read_depth(req: web.BaseRequest) -> int:
    if DEPTH_HEADER not in req.headers:
        return 0
    depth = _read_number(req, DEPTH_HEADER, Reason.MALFORMED_HEADER, 10**6)
    if depth < 0:
        raise _RefusedError(
            Reason.MALFORMED_HEADER,
            f"got {DEPTH_HEADER} {depth}, expected 0 or more",
        )
    if depth >= MAX_DEPTH:
        raise _RefusedError(
            Reason.TOO_DEEP,
            f"got {DEPTH_HEADER} {depth}, expected less than {MAX_DEPTH}",
        )
    return depth


def _read_key(req: web.BaseRequest) -> str:
    key = req.headers.get(KEY_HEADER, "")
    if len(key) > MAX_KEY_LENGTH or not key.isascii():
        raise _RefusedError(
            Reason.MALFORMED_HEADER,
            f"got {KEY_HEADER} of {len(key)} characters, expected at most"
            f" {MAX_KEY_LENGTH} ASCII characters",
        )
    return key


def _read_call_id(req: web.BaseRequest) -> str:
    call_id = req.headers.get(CALL_ID_HEADER, "")
    is_usable = call_id.isascii() and call_id.replace("-", "").isalnum()
    if is_usable and len(call_id) <= MAX_CALL_ID_LENGTH:
        return call_id
    return secrets.token_hex(CALL_ID_BYTES)


async def _read_body(
    req: web.BaseRequest, limit: int, deadline: float
) -> bytes:
    too_large = _RefusedError(
        Reason.BODY_TOO_LARGE, f"expected a body of at most {limit} bytes"
    )
    if req.content_length is not None and req.content_length > limit:
        raise too_large
    if not req.body_exists:
        return b""
    body = bytearray()
    try:
        async with asyncio.timeout_at(deadline):
            async for chunk in req.content.iter_any():
                body += chunk
                if len(body) > limit:
                    raise too_large
    except TimeoutError:
        raise _RefusedError(
            Reason.DEADLINE_PASSED, "the body was not sent in time"
        ) from None
    return bytes(body)


def _build_response(answer: Answer, call_id: str, message: str) -> web.Response:
    verdict = answer.verdict
    headers = [
        (VERDICT_HEADER, verdict_name(verdict)),
        (REASON_HEADER, str(verdict.reason)),
        (CALL_ID_HEADER, call_id),
    ]
    if getattr(verdict, "budget_spent", False):
        headers.append((BUDGET_HEADER, "1"))
    if isinstance(verdict, Ran):
        return web.Response(
            status=answer.status,
            headers=[*answer.headers, *headers],
            body=answer.body,
        )
    retry_after_s = getattr(verdict, "retry_after_s", None)
    if retry_after_s is not None:
        headers.append(("Retry-After", str(math.ceil(retry_after_s))))
    tree = {
        "verdict": verdict_name(verdict),
        "reason": str(verdict.reason),
        "message": message,
        "retry_after_s": retry_after_s,
        "call_id": call_id,
    }
    return web.Response(
        status=_status_of(verdict),
        headers=headers,
        body=orjson.dumps(tree),
        content_type="application/json",
    )


def _status_of(verdict: NotRun | MayHaveRun) -> int:
    default = _STATUS_NOT_RUN
    if isinstance(verdict, MayHaveRun):
        default = _STATUS_MAY_HAVE_RUN
    return _STATUS_OF_REASON.get(verdict.reason, default)


@contextlib.asynccontextmanager
async def open_caller_server(
    server: CallerServer, address: Address, metrics: Metrics
) -> AsyncIterator[CallerServer]:
    """Listens for callers until closed."""
    http = BoundedServer(
        server.handle,
        name="caller",
        max_connections=MAX_CONNECTIONS,
        metrics=metrics,
        handler_cancellation=True,
    )
    async with open_http_server(http, address):
        yield server
