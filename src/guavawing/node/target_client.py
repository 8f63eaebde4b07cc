"""HTTP client for the target beside a node."""

import contextlib
from collections.abc import AsyncIterator

import aiohttp
import attrs
import yarl

from guavawing.model import Address
from guavawing.node.call_headers import (
    build_target_headers,
    strip_hop_headers,
)
from guavawing.node.messages import Answer, CallAttempt
from guavawing.verdict import MayHaveRun, NotRun, Ran, Reason

__all__ = ["Execution", "TargetClient", "open_target_client"]

CONNECT_RETRY_AFTER_S = 1.0

MAX_ANSWER_BYTES = 64 * 1024 * 1024
HEALTH_TIMEOUT_S = 1.0
# Shorter than the keep-alive timeout of common servers, so that a request is
# rarely sent on a connection that the target is closing.
IDLE_CONNECTION_S = 3.0
_HTTP_OK = 200

# aiohttp adds these headers to requests without them. A caller that did not
# accept compression must not get a compressed answer.
_AUTO_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")


@attrs.frozen
class Execution:
    """Outcome of an attempt at the target.

    Attributes:
        answer: The target's answer, or only a verdict if there is none.
        ended: Whether the target has certainly ended its work: it has sent
            its complete answer, or never received the request. After a broken
            connection the target may still be working.
    """

    answer: Answer
    ended: bool


class _BrokenConnectionError(Exception):
    """Replaces the errors after which aiohttp resends a request."""


async def _forbid_resending(
    req: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Converts a lost connection to an error that aiohttp does not retry.

    aiohttp resends GET, PUT and DELETE requests if the connection is lost
    before the response. The configuration defines which requests are
    idempotent, not the HTTP method, so no request may be resent here.
    """
    try:
        return await handler(req)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as exc:
        raise _BrokenConnectionError(str(exc)) from exc


class TargetClient:
    """Sends attempts to the target and classifies their outcomes."""

    __slots__ = ("_base", "_session")

    def __init__(
        self, session: aiohttp.ClientSession, address: Address
    ) -> None:
        self._session = session
        self._base = f"http://{address}"

    async def execute(self, attempt: CallAttempt, *, now: float) -> Execution:
        """Sends an attempt to the target once and reads the complete answer.

        The deadline limits the time to get a connection and is sent to the
        target. It does not limit the wait for the answer: after closing the
        connection, the node could not detect the end of the target's work.
        """
        time_left_s = attempt.deadline - now
        timeout = aiohttp.ClientTimeout(total=None, connect=time_left_s)
        headers = build_target_headers(attempt, now=now)
        try:
            async with self._session.request(
                attempt.method,
                self._make_url(attempt.path),
                headers=headers,
                data=attempt.body or None,
                timeout=timeout,
                allow_redirects=False,
            ) as resp:
                return await _read_answer(resp)
        except aiohttp.ConnectionTimeoutError:
            return Execution(Answer(NotRun(Reason.DEADLINE_PASSED)), ended=True)
        except aiohttp.ClientConnectorError:
            verdict = NotRun(Reason.TARGET_UNREACHABLE, CONNECT_RETRY_AFTER_S)
            return Execution(Answer(verdict), ended=True)
        except aiohttp.InvalidURL:
            verdict = NotRun(Reason.MALFORMED_HEADER)
            return Execution(Answer(verdict), ended=True)
        except aiohttp.ClientPayloadError:
            return _may_have_run(Reason.ANSWER_TRUNCATED)
        except (aiohttp.ClientError, _BrokenConnectionError, TimeoutError):
            return _may_have_run(Reason.TARGET_BROKE)

    def _make_url(self, path: str) -> yarl.URL:
        """Returns the URL of a path, with the quoting unchanged.

        Paths may be signed, so their quoting must be preserved.
        """
        return yarl.URL(self._base + path, encoded=True)

    async def is_healthy(self) -> bool:
        """Returns whether the target's health endpoint responds with 200."""
        timeout = aiohttp.ClientTimeout(total=HEALTH_TIMEOUT_S)
        try:
            async with self._session.get(
                self._base + "/health", timeout=timeout
            ) as resp:
                return resp.status == _HTTP_OK
        except (aiohttp.ClientError, TimeoutError, _BrokenConnectionError):
            return False


async def _read_answer(resp: aiohttp.ClientResponse) -> Execution:
    length = resp.content_length
    if length is not None and length > MAX_ANSWER_BYTES:
        return _may_have_run(Reason.ANSWER_TOO_LARGE)
    body = await _read_body(resp)
    if body is None:
        return _may_have_run(Reason.ANSWER_TOO_LARGE)
    headers = strip_hop_headers(resp.headers.items())
    answer = Answer(Ran(), resp.status, headers, body)
    return Execution(answer, ended=True)


async def _read_body(resp: aiohttp.ClientResponse) -> bytes | None:
    """Returns the body; None if it is above `MAX_ANSWER_BYTES`."""
    if resp.content_length is not None:
        return await resp.read()
    body = bytearray()
    async for chunk in resp.content.iter_any():
        body += chunk
        if len(body) > MAX_ANSWER_BYTES:
            resp.close()
            return None
    return bytes(body)


def _may_have_run(reason: Reason) -> Execution:
    return Execution(Answer(MayHaveRun(reason)), ended=False)


@contextlib.asynccontextmanager
async def open_target_client(
    address: Address, *, connections: int
) -> AsyncIterator[TargetClient]:
    """Opens a client that holds at most `connections` connections."""
    connector = aiohttp.TCPConnector(
        limit=connections, keepalive_timeout=IDLE_CONNECTION_S
    )
    async with aiohttp.ClientSession(
        connector=connector,
        middlewares=(_forbid_resending,),
        auto_decompress=False,
        skip_auto_headers=_AUTO_HEADERS,
        cookie_jar=aiohttp.DummyCookieJar(),
    ) as session:
        yield TargetClient(session, address)
