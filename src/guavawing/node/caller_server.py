"""HTTP server for callers: checks requests and answers with a verdict."""

import asyncio
import contextlib
import secrets
from collections.abc import AsyncIterator, Callable

import eliot
from aiohttp import web

from guavawing.config import EffectivePolicy, PolicyTable
from guavawing.errors import InvalidArgumentError
from guavawing.model import Address
from guavawing.node.call_headers import (
    CALL_ID_HEADER,
    DEADLINE_HEADER,
    DEPTH_HEADER,
    KEY_HEADER,
    SERVICE_HEADER,
    strip_call_headers,
)
from guavawing.node.caller_response import (
    build_keys_response,
    build_response,
)
from guavawing.node.entry import Call, Entry, compute_fingerprint
from guavawing.node.messages import Answer, CallAttempt
from guavawing.node.metrics import Metrics
from guavawing.node.target_client import strip_hop_headers
from guavawing.policy.bound_key import is_bound_key, parse_bound_key
from guavawing.verdict import MayHaveRun, NotRun, Reason

__all__ = ["CallerServer", "open_caller_server"]

KEYS_PATH = "/guavawing/keys"
MAX_KEYS = 1_000
KEYS_TIMEOUT_S = 3.0
MAX_DEPTH = 32
MAX_DEADLINE_MS = 600_000
MAX_KEY_LENGTH = 256
MAX_HEADERS = 100
MAX_HEADER_BYTES = 32 * 1024
MAX_CALLS = 4_096
RETRY_AFTER_TOO_MANY_S = 1.0
RETRY_AFTER_NO_CONFIG_S = 1.0
MAX_CALL_ID_LENGTH = 64
CALL_ID_BYTES = 8
MILLISECONDS = 1_000
SHUTDOWN_TIMEOUT_S = 1.0

PolicySource = Callable[[], PolicyTable | None]


class _RefusedError(Exception):
    """Raised when a request can't be taken; carries the verdict."""

    def __init__(
        self,
        reason: Reason,
        message: str,
        *,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.verdict = NotRun(reason, retry_after_s)
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
            if req.path == KEYS_PATH and req.method == "POST":
                return await self._answer_keys(req)
            return await self._answer(req)
        except asyncio.CancelledError:
            self._metrics.refusals.inc({"reason": str(Reason.CANCELLED)})
            raise
        finally:
            self._in_flight -= 1
            if not self._in_flight:
                self._idle.set()

    async def _answer(self, req: web.BaseRequest) -> web.StreamResponse:
        call_id = _read_call_id(req)
        message = ""
        try:
            call = await self._read_call(req, call_id)
            answer = await self._call(call)
        except _RefusedError as exc:
            answer = Answer(exc.verdict)
            message = exc.message
        self._metrics.count_call(answer.verdict)
        resp = build_response(answer, call_id, message)
        if self._stopping:
            resp.force_close()
        return resp

    async def _call(self, call: Call) -> Answer:
        try:
            return await self._entry.call(call)
        except Exception as exc:
            # A fault of this node must not leave a caller without verdict.
            eliot.log_message("call-failed", error=repr(exc))
            return Answer(MayHaveRun(Reason.INTERNAL))

    async def _answer_keys(self, req: web.BaseRequest) -> web.StreamResponse:
        try:
            self._check_capacity()
            service, count = self._read_key_request(req)
            async with asyncio.timeout(KEYS_TIMEOUT_S):
                keys = await self._entry.mint_keys(service, count)
        except _RefusedError as exc:
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
            raise _RefusedError(
                Reason.MALFORMED_HEADER,
                f"got count {text[:32]!r}, expected 1 to {MAX_KEYS}",
            )
        return service, int(text)

    def _check_capacity(self) -> None:
        if self._stopping:
            raise _RefusedError(
                Reason.STOPPING, "this node is stopping", retry_after_s=0.0
            )
        if self._in_flight > MAX_CALLS:
            raise _RefusedError(
                Reason.TOO_MANY_CALLS,
                f"this node has {MAX_CALLS} calls in flight",
                retry_after_s=RETRY_AFTER_TOO_MANY_S,
            )

    async def _read_call(self, req: web.BaseRequest, call_id: str) -> Call:
        self._check_capacity()
        _check_headers(req)
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
        policy = self._find_policy(req)
        caller_key = "" if policy.idempotent else _read_key(req)
        settings = policy.settings
        time_left_s = min(deadline_ms, settings.deadline_ms) / MILLISECONDS
        deadline = arrived_at + time_left_s
        body = await _read_body(req, settings.body_limit, deadline)
        attempt = CallAttempt(
            call_id=call_id,
            policy=policy,
            method=req.method,
            path=req.path_qs,
            headers=strip_call_headers(strip_hop_headers(req.headers.items())),
            body=body,
            deadline=deadline,
            depth=depth + 1,
            fingerprint=_fingerprint(policy, req, body),
        )
        return _build_call(attempt, caller_key)

    def _check_service(self, service: str) -> PolicyTable:
        table = self._policies()
        if table is None:
            raise _RefusedError(
                Reason.NO_CONFIG,
                "this node has no configuration yet",
                retry_after_s=RETRY_AFTER_NO_CONFIG_S,
            )
        if not table.has_service(service):
            raise _RefusedError(
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


def _build_call(attempt: CallAttempt, caller_key: str) -> Call:
    if not is_bound_key(caller_key):
        return Call(attempt, caller_key)
    try:
        return Call(attempt, bound_key=parse_bound_key(caller_key))
    except InvalidArgumentError as exc:
        raise _RefusedError(Reason.MALFORMED_HEADER, str(exc)) from exc


def _check_headers(req: web.BaseRequest) -> None:
    size = sum(len(name) + len(value) for name, value in req.raw_headers)
    count = len(req.raw_headers)
    if count > MAX_HEADERS or size > MAX_HEADER_BYTES:
        raise _RefusedError(
            Reason.HEADERS_TOO_LARGE,
            f"got {count} headers of {size} bytes, expected at most"
            f" {MAX_HEADERS} headers of {MAX_HEADER_BYTES} bytes",
        )


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


@contextlib.asynccontextmanager
async def open_caller_server(
    server: CallerServer, address: Address
) -> AsyncIterator[CallerServer]:
    """Listens for callers until closed."""
    runner = web.ServerRunner(
        web.Server(server.handle, access_log=None, handler_cancellation=True),
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )
    await runner.setup()
    site = web.TCPSite(runner, address.host, address.port)
    await site.start()
    try:
        yield server
    finally:
        await runner.cleanup()
