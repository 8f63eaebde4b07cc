"""Callers that open a connection for each request."""

import asyncio
import collections
from collections.abc import Callable

__all__ = ["send_on_new_connections"]

CALLERS = 16
TIMEOUT_S = 10.0
PAUSE_WHEN_REFUSED_S = 0.005


async def send_on_new_connections(
    host: str, port: int, request: bytes, is_over: Callable[[], bool]
) -> collections.Counter[str]:
    """Sends requests as fast as they are answered, until told to end.

    Args:
        host: Address to connect to.
        port: Its port.
        request: Bytes of each request.
        is_over: Whether the callers shall end.

    Returns:
        How many requests were `answered`, `refused` when they connected, and
        `cut`: taken by the kernel of the listener, and closed without answer.
    """
    seen: collections.Counter[str] = collections.Counter()

    async def call() -> str:
        try:
            reader, writer = await asyncio.open_connection(host, port)
        except OSError:
            await asyncio.sleep(PAUSE_WHEN_REFUSED_S)
            return "refused"
        try:
            writer.write(request)
            line = await reader.readline()
        except OSError:
            line = b""
        finally:
            writer.transport.abort()
        return "answered" if line.endswith(b"\n") else "cut"

    async def run() -> None:
        while not is_over():
            async with asyncio.timeout(TIMEOUT_S):
                seen[await call()] += 1

    await asyncio.gather(*(run() for _ in range(CALLERS)))
    return seen
