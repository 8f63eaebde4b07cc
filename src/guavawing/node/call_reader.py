"""Parsing and validation of callers' HTTP requests."""

import asyncio
import itertools
import secrets

from aiohttp import web

from guavawing.config import EffectivePolicy
from guavawing.errors import GuavawingError, InvalidArgumentError
from guavawing.node.call import Call, compute_fingerprint
from guavawing.node.call_headers import (
    CALL_ID_HEADER,
    DEPTH_HEADER,
    KEY_HEADER,
)
from guavawing.node.messages import CallAttempt
from guavawing.policy.bound_key import is_bound_key, parse_bound_key
from guavawing.verdict import NotRun, Reason

__all__ = [
    "RequestRefusedError",
    "build_call",
    "check_headers",
    "fingerprint",
    "read_body",
    "read_call_id",
    "read_depth",
    "read_key",
    "read_number",
]

MAX_DEPTH = 32
MAX_KEY_LENGTH = 256
MAX_CALL_ID_LENGTH = 64
CALL_ID_BYTES = 8
MAX_HEADERS = 100
MAX_HEADER_BYTES = 32 * 1024


class RequestRefusedError(GuavawingError):
    """Raised when a request is refused; carries the verdict."""

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


def fingerprint(
    policy: EffectivePolicy, req: web.BaseRequest, body: bytes
) -> bytes:
    """Returns the digest of a request; empty for an idempotent one."""
    if policy.idempotent:
        return b""
    return compute_fingerprint(req.method, req.path_qs, body)


def build_call(attempt: CallAttempt, caller_key: str) -> Call:
    """Returns the call with its bound key or the key of the caller.

    Raises:
        RequestRefusedError: If the key is a malformed bound key.
    """
    if not is_bound_key(caller_key):
        return Call(attempt, caller_key)
    try:
        return Call(attempt, bound_key=parse_bound_key(caller_key))
    except InvalidArgumentError as exc:
        raise RequestRefusedError(Reason.MALFORMED_HEADER, str(exc)) from exc


def check_headers(req: web.BaseRequest) -> None:
    """Checks the number and the total size of the headers.

    Raises:
        RequestRefusedError: If either exceeds its limit.
    """
    size = sum(map(len, itertools.chain.from_iterable(req.raw_headers)))
    count = len(req.raw_headers)
    if count > MAX_HEADERS or size > MAX_HEADER_BYTES:
        raise RequestRefusedError(
            Reason.HEADERS_TOO_LARGE,
            f"got {count} headers of {size} bytes, expected at most"
            f" {MAX_HEADERS} headers of {MAX_HEADER_BYTES} bytes",
        )


def read_number(
    req: web.BaseRequest, name: str, reason: Reason, highest: int
) -> int:
    """Returns the integer in a header.

    Raises:
        RequestRefusedError: If the header is missing, with `reason`, or
            holds no integer up to `highest`.
    """
    text = req.headers.get(name)
    if text is None:
        raise RequestRefusedError(reason, f"got no {name} header, expected one")
    try:
        value = int(text)
    except ValueError:
        value = highest + 1
    if value > highest or len(text) > len(str(highest)) + 1:
        raise RequestRefusedError(
            Reason.MALFORMED_HEADER,
            f"got {name} {text[:32]!r}, expected a whole number up to"
            f" {highest}",
        )
    return value


def read_depth(req: web.BaseRequest) -> int:
    """Returns the number of calls upstream of this one."""
    if DEPTH_HEADER not in req.headers:
        return 0
    depth = read_number(req, DEPTH_HEADER, Reason.MALFORMED_HEADER, 10**6)
    if depth < 0:
        raise RequestRefusedError(
            Reason.MALFORMED_HEADER,
            f"got {DEPTH_HEADER} {depth}, expected 0 or more",
        )
    if depth >= MAX_DEPTH:
        raise RequestRefusedError(
            Reason.TOO_DEEP,
            f"got {DEPTH_HEADER} {depth}, expected less than {MAX_DEPTH}",
        )
    return depth


def read_key(req: web.BaseRequest) -> str:
    """Returns the idempotency key; empty for none."""
    key = req.headers.get(KEY_HEADER, "")
    if len(key) > MAX_KEY_LENGTH or not key.isascii():
        raise RequestRefusedError(
            Reason.MALFORMED_HEADER,
            f"got {KEY_HEADER} of {len(key)} characters, expected at most"
            f" {MAX_KEY_LENGTH} ASCII characters",
        )
    return key


def read_call_id(req: web.BaseRequest) -> str:
    """Returns the call id in the headers, or a new one."""
    call_id = req.headers.get(CALL_ID_HEADER)
    if not call_id or len(call_id) > MAX_CALL_ID_LENGTH:
        return secrets.token_hex(CALL_ID_BYTES)
    if call_id.isascii() and call_id.replace("-", "").isalnum():
        return call_id
    return secrets.token_hex(CALL_ID_BYTES)


async def read_body(req: web.BaseRequest, limit: int, deadline: float) -> bytes:
    """Returns the complete body of a request.

    Args:
        req: The request.
        limit: Highest size of the body, in bytes.
        deadline: Event loop's time by which the body has to be received, in
            seconds.

    Raises:
        RequestRefusedError: If the body is too large or late.
    """
    too_large = RequestRefusedError(
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
        raise RequestRefusedError(
            Reason.DEADLINE_PASSED, "the body was not sent in time"
        ) from None
    return bytes(body)
