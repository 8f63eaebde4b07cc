"""Callers that open a connection for each request."""

import asyncio
import collections
from collections.abc import Callable

__all__ = ["send_on_new_connections"]

CALLERS = 16
TIMEOUT_S = 10.0
REFUSED_RETRY_PAUSE_S = 0.005


async def send_on_new_connections(
    host: str, port: int, request: bytes, should_stop: Callable[[], bool]
) -> collections.Counter[str]:
    """Sends requests in closed-loop callers, each on a new connection.

    Args:
        host: Host to connect to.
        port: Port to connect to.
        request: Bytes of each request.
        should_stop: Returns whether the callers are to stop.

    Returns:
        Number of requests by result: `answered`; `refused`, if connecting
        failed; `cut`, if the kernel of the listener accepted the connection
        and it was closed without an answer.
    """
    outcomes: collections.Counter[str] = collections.Counter()

    async def call() -> str:
        try:
            reader, writer = await asyncio.open_connection(host, port)
        except OSError:
            await asyncio.sleep(REFUSED_RETRY_PAUSE_S)
            return "refused"
        try:
            writer.write(request)
            line = await reader.readline()
        except OSError:
            line = b""
        finally:
            writer.transport.abort()
        return "answered" if line.endswith(b"\n") else "cut"

    async def call_repeatedly() -> None:
        while not should_stop():
            async with asyncio.timeout(TIMEOUT_S):
                outcomes[await call()] += 1

    await asyncio.gather(*(call_repeatedly() for _ in range(CALLERS)))
    return outcomes
