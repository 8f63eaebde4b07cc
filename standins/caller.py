"""HTTP caller that sends calls to nodes and parses the outcomes."""

import time
from collections.abc import Mapping

import aiohttp
import attrs


@attrs.frozen
class Outcome:
    """Outcome of a call as its caller sees it.

    Attributes:
        status: HTTP status; 0 if no response was received.
        verdict: Value of the verdict header.
        reason: Value of the reason header, or the client error if no
            response was received.
        headers: Response headers.
        body: Response body.
        elapsed_s: Time from sending the request to the end of the response,
            in seconds.
    """

    status: int
    verdict: str
    reason: str
    headers: Mapping[str, str]
    body: bytes
    elapsed_s: float


async def send_call(
    session: aiohttp.ClientSession,
    node: str,
    *,
    service: str,
    method: str = "GET",
    path: str = "/",
    deadline_ms: int | None = 5_000,
    key: str = "",
    body: bytes = b"",
    headers: Mapping[str, str] | None = None,
) -> Outcome:
    """Sends one call to a node's caller address and returns its outcome."""
    sent = {"Guavawing-Service": service, **(headers or {})}
    if deadline_ms is not None:
        sent["Guavawing-Deadline-Ms"] = str(deadline_ms)
    if key:
        sent["Idempotency-Key"] = key
        sent.setdefault("X-Key", key)
    start = time.perf_counter()
    timeout = aiohttp.ClientTimeout(total=(deadline_ms or 5_000) / 1000 + 5)
    try:
        async with session.request(
            method,
            f"http://{node}{path}",
            headers=sent,
            data=body or None,
            timeout=timeout,
        ) as resp:
            payload = await resp.read()
            return Outcome(
                status=resp.status,
                verdict=resp.headers.get("Guavawing-Verdict", ""),
                reason=resp.headers.get("Guavawing-Reason", ""),
                headers=resp.headers,
                body=payload,
                elapsed_s=time.perf_counter() - start,
            )
    except (TimeoutError, aiohttp.ClientError) as exc:
        elapsed_s = time.perf_counter() - start
        return Outcome(0, "", repr(exc), {}, b"", elapsed_s)
