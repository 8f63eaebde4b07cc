"""Parsing and serialisation of HTTP requests and answers."""

import http
from collections.abc import Sequence

import attrs

from guavawing.platform.decimals import parse_decimal
from guavawing.platform.target_notices import NO_NOTICE, decode_notice
from guavawing.traffic.model import NO_ACCOUNT, TargetNotice

__all__ = [
    "NOT_RUN_STATUSES",
    "AnswerHead",
    "RequestHead",
    "answers_request",
    "build_answer",
    "build_refusal",
    "build_target_request",
    "find_target_id",
    "parse_answer_head",
    "parse_request_head",
]

MS_PER_S = 1000
# Longest time that a client or a target may ask for, in seconds; a longer one
# is cut.
MAX_REQUESTED_S = 3600.0
MAX_QUOTED_BYTES = 80
RawHeaders = Sequence[tuple[bytes, bytes]]

# Hop-by-hop headers, which are not forwarded.
_HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"expect",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
# Request headers that this node replaces.
_REPLACED_HEADERS = frozenset(
    {
        b"content-length",
        b"x-caller-service",
        b"x-deadline-ms",
        b"x-expected-instance",
    }
)
# Request headers that identify the client account.
_ACCOUNT_HEADERS = frozenset({b"authorization", b"x-tenant"})
_KEY_SCHEME = b"token"
UNAUTHORIZED = 401
_STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode()
    for status in http.HTTPStatus
}
_BODILESS_STATUSES = frozenset({204, 304})
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@attrs.frozen
class RequestHead:
    """Parsed headers of a client's request.

    Attributes:
        host: Value of `Host`.
        request_id: Id of the request; empty if missing.
        deadline_s: Time for which the client waits, in seconds; None if
            missing.
        unreadable: Name and value of a header that could not be read; empty if
            there is none.
        forwarded: Header lines to forward, each with its line end.
        expects_continue: Whether the client waits for 100 Continue before
            it sends the body.
        key: Key of the client account; empty if there is none, or more than
            one.
    """

    host: str
    request_id: bytes
    deadline_s: float | None
    unreadable: str
    forwarded: bytes
    expects_continue: bool
    key: bytes = attrs.field(default=b"", repr=False)


@attrs.frozen
class AnswerHead:
    """Parsed headers of a target's answer.

    Attributes:
        request_id: Id of the request that it answers; empty if missing.
        signed: Whether it has a signature of the target.
        not_executed: Whether it states that the request was not executed.
        closes: Whether the target closes the connection after it.
        idle_timeout_s: Time after which the target closes an idle connection,
            in seconds; None if missing.
        framed: Whether the body has a defined end other than the close of
            the connection.
        notice: What the target states about itself.
        retry_after_s: Delay before a retry that the target asks for, in
            seconds; None if missing or unreadable.
        forwarded: Header lines to forward, each with its line end.
    """

    request_id: bytes
    signed: bool
    not_executed: bool
    closes: bool
    idle_timeout_s: float | None
    framed: bool
    notice: TargetNotice
    retry_after_s: float | None
    forwarded: bytes


def parse_request_head(
    headers: RawHeaders, *, has_accounts: bool = False
) -> RequestHead:
    """Parses the headers of a client's request.

    Args:
        headers: Names and values.
        has_accounts: Whether there are client accounts. Headers that identify
            one are then not forwarded.
    """
    host = request_id = b""
    deadline_s = None
    unreadable = ""
    expects_continue = False
    dropped = _find_hop_by_hop_headers(headers)
    lines: list[bytes] = []
    keys: set[bytes] = set()
    for name, value in headers:
        lower = name.lower()
        if has_accounts and lower in _ACCOUNT_HEADERS:
            if lower == b"authorization":
                keys.add(_parse_key(value))
            continue
        if lower in dropped:
            if lower == b"expect":
                expects_continue = value.lower() == b"100-continue"
            continue
        if lower in _REPLACED_HEADERS:
            if lower == b"x-deadline-ms":
                deadline_s = _parse_ms(value)
                if deadline_s is None:
                    unreadable = f"X-Deadline-Ms {value[:MAX_QUOTED_BYTES]!r}"
            continue
        if lower == b"host":
            host = value
        elif lower == b"x-request-id":
            request_id = value
        lines += (name, b": ", value, b"\r\n")
    return RequestHead(
        host.decode("latin-1"),
        request_id,
        deadline_s,
        unreadable,
        b"".join(lines),
        expects_continue,
        keys.pop() if len(keys) == 1 else b"",
    )


def build_target_request(
    method: bytes,
    path: bytes,
    forwarded: bytes,
    body: bytes,
    *,
    deadline_s: float,
    target_id: str,
    origin: str,
    account: str = NO_ACCOUNT,
) -> bytes:
    """Serialises a request to a target.

    Args:
        method: HTTP method.
        path: Path and query.
        forwarded: Header lines of the client's request.
        body: Complete body.
        deadline_s: Remaining time, in seconds.
        target_id: Id of the target that must execute it; a different target
            at the same address rejects the request without executing it.
        origin: Service of the VM from which the request was sent.
        account: Name of the client account; `NO_ACCOUNT` if it has none.
    """
    account_line = b"X-Tenant: %b\r\n" % account.encode() if account else b""
    has_body = body or method in (b"POST", b"PUT", b"PATCH")
    length = b"Content-Length: %d\r\n" % len(body) if has_body else b""
    return b"".join(
        (
            method,
            b" ",
            path,
            b" HTTP/1.1\r\n",
            forwarded,
            length,
            b"X-Deadline-Ms: %d\r\n" % max(1, int(deadline_s * MS_PER_S)),
            b"X-Expected-Instance: ",
            target_id.encode(),
            b"\r\nX-Caller-Service: ",
            origin.encode(),
            b"\r\n",
            account_line,
            b"\r\n",
            body,
        )
    )


def parse_answer_head(status: int, headers: RawHeaders) -> AnswerHead:
    """Parses the headers of a target's answer."""
    request_id = b""
    signed = not_executed = False
    framed = status in _BODILESS_STATUSES
    idle_timeout_s = None
    retry_after_s = None
    limits: list[bytes] = []
    leaving: list[bytes] = []
    dropped = _find_hop_by_hop_headers(headers)
    lines: list[bytes] = []
    for name, value in headers:
        lower = name.lower()
        if lower in dropped:
            if lower == b"transfer-encoding":
                framed = True
            elif lower == b"keep-alive":
                idle_timeout_s = _parse_idle_timeout(value)
            continue
        if lower == b"content-length":
            framed = True
            continue
        if lower == b"x-request-id":
            request_id = value
        elif lower == b"x-response-signature":
            signed = True
        elif lower == b"x-not-executed":
            not_executed = True
        elif lower == b"retry-after":
            retry_after_s = _parse_retry_after(value)
        elif lower == b"server-limit":
            limits.append(value)
        elif lower == b"server-leaving":
            leaving.append(value)
        lines += (name, b": ", value, b"\r\n")
    stated = limits or leaving
    return AnswerHead(
        request_id,
        signed,
        not_executed,
        b"close" in dropped,
        idle_timeout_s,
        framed,
        decode_notice(limits, leaving) if stated else NO_NOTICE,
        retry_after_s,
        b"".join(lines),
    )


def answers_request(
    headers: RawHeaders, request_id: bytes, *, reused: bool
) -> bool:
    """Returns whether an answer belongs to a request.

    A target may send a second answer to an earlier request. A rejection of a
    request that was not executed may have no request id; on a connection that
    has carried another request it may be one of that.

    Args:
        headers: Headers of the answer.
        request_id: Id of the request; empty if it has none.
        reused: Whether its connection has carried another request.
    """
    rejects = False
    for name, value in headers:
        lower = name.lower()
        if lower == b"x-request-id":
            return value == request_id
        if lower in (b"x-not-executed", b"x-instance-id"):
            rejects = not reused
    return rejects or not request_id


def find_target_id(headers: RawHeaders) -> str:
    """Returns the id of the target that answered; empty if missing."""
    for name, value in headers:
        if name.lower() == b"x-instance-id":
            return value.decode("latin-1")
    return ""


def build_answer(
    status: int, forwarded: bytes, body: bytes, *, closes: bool
) -> bytes:
    """Serialises an answer to a client."""
    return b"".join(
        (
            _status_line(status),
            forwarded,
            b"" if status in _BODILESS_STATUSES else _length_line(body),
            b"Connection: close\r\n\r\n" if closes else b"\r\n",
            body,
        )
    )


def build_refusal(
    status: int,
    request_id: bytes,
    *,
    retry_after_s: float | None = None,
    reason: str = "",
    closes: bool = False,
) -> bytes:
    """Serialises an answer that this node generates itself.

    Args:
        status: HTTP status.
        request_id: Id of the request that it answers.
        retry_after_s: Delay before a retry, in seconds; None if not stated.
        reason: Why the request was refused, for the client's logs.
        closes: Whether the connection is closed after it.
    """
    head = b""
    if request_id:
        head = b"X-Request-Id: " + request_id + b"\r\n"
    if retry_after_s is not None:
        head += b"Retry-After: %.3f\r\n" % retry_after_s
    if status == UNAUTHORIZED:
        head += b"WWW-Authenticate: Token\r\n"
    return build_answer(status, head, reason.encode(), closes=closes)


def _status_line(status: int) -> bytes:
    line = _STATUS_LINES.get(status)
    return b"HTTP/1.1 %d Unknown\r\n" % status if line is None else line


def _length_line(body: bytes) -> bytes:
    return b"Content-Length: %d\r\n" % len(body)


def _find_hop_by_hop_headers(headers: RawHeaders) -> frozenset[bytes]:
    """Returns the lower-case names of headers that are not forwarded.

    `Connection` headers, in any position, name further ones. Their options,
    such as `close`, are among the returned names.
    """
    names = _HOP_BY_HOP_HEADERS
    for name, value in headers:
        if name.lower() == b"connection":
            options = (part.strip().lower() for part in value.split(b","))
            names = names.union(options)
    return names


def _parse_ms(value: bytes) -> float | None:
    """Converts milliseconds to seconds; None if it is not a decimal number."""
    number = parse_decimal(value)
    return None if number is None else min(number / MS_PER_S, MAX_REQUESTED_S)


def _parse_key(value: bytes) -> bytes:
    """Returns the key of an `Authorization` header; empty if it has none."""
    scheme, _, key = value.strip().partition(b" ")
    key = key.strip()
    if scheme.lower() != _KEY_SCHEME or len(key.split()) != 1:
        return b""
    return key


def _parse_retry_after(value: bytes) -> float | None:
    """Returns the seconds; None for a date or an unreadable value."""
    number = parse_decimal(value)
    return None if number is None else min(number, MAX_REQUESTED_S)


def _parse_idle_timeout(value: bytes) -> float | None:
    """Returns the `timeout` in seconds; None if missing or not a number."""
    for part in value.split(b","):
        name, _, number = part.partition(b"=")
        if name.strip().lower() == b"timeout":
            return parse_decimal(number)
    return None
