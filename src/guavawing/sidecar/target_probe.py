"""Asks a target whether it is there, before its first heartbeat has come."""

import asyncio
from collections.abc import Callable

from guavawing.model import Address
from guavawing.platform.headers import find_target_id
from guavawing.sidecar.http_client import (
    Awaited,
    ClientConnection,
    HttpReply,
)

__all__ = ["probe_target"]

PROBE_TIMEOUT_S = 0.5
OK = 200


async def probe_target(address: Address, path: str) -> str:
    """Returns the id of a healthy target, or an empty text.

    Args:
        address: Where the target takes requests.
        path: Path of its health check.
    """
    loop = asyncio.get_running_loop()
    fut: asyncio.Future[HttpReply | None] = loop.create_future()
    conn: ClientConnection | None = None
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, conn = await loop.create_connection(
                ClientConnection, address.host, address.port
            )
            resolve = _make_resolver(fut)
            awaited = Awaited(
                accepts=lambda _: True,
                on_reply=resolve,
                on_loss=lambda _: resolve(None),
            )
            request = f"GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n"
            conn.send(request.encode(), awaited)
            reply = await fut
    except (OSError, TimeoutError):
        # A target that does not answer is not there yet.
        return ""
    finally:
        if conn is not None:
            conn.close()
    if reply is None or reply.status != OK:
        return ""
    return find_target_id(reply.headers)


def _make_resolver(
    fut: "asyncio.Future[HttpReply | None]",
) -> Callable[[HttpReply | None], None]:
    def resolve(reply: HttpReply | None) -> None:
        if not fut.done():
            fut.set_result(reply)

    return resolve
