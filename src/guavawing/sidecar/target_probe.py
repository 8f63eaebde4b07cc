"""Asks a target whether it is there, before its first heartbeat has come."""

import asyncio
from collections.abc import Callable

from guavawing.model import Address
from guavawing.platform.headers import find_target_id
from guavawing.sidecar.http_client import (
    ClientConnection,
    HttpReply,
    ResponseHandler,
)
from guavawing.traffic.model import TargetPhase
from guavawing.traffic.peers import PeerTable
from guavawing.traffic.target_state import TargetState

__all__ = ["TargetProbe"]

PROBE_TIMEOUT_S = 0.5
OK = 200
# Health checks of a target that has sent no heartbeat yet.
MAX_PROBES = 8
PROBE_PERIOD_S = 0.2
# Of these the first ones are left out until a peer had been heard a period
# before, so that its answer is here: beacons come within 1.1 s if any do.
PROBES_AFTER_PEERS = 6


class TargetProbe:
    """Finds the target before its first heartbeat, if it is there."""

    def __init__(
        self,
        address: Address,
        *,
        state: TargetState,
        find_path: Callable[[], str | None],
        peers: PeerTable,
        on_found: Callable[[], None],
    ) -> None:
        """Creates a search that has not begun.

        Args:
            address: Where the target takes requests.
            state: Takes what is found.
            find_path: Returns the path of the health check, once it is known.
            peers: The other nodes, which may know that the target leaves.
            on_found: Is told that the target is there.
        """
        self._address = address
        self._state = state
        self._find_path = find_path
        self._peers = peers
        self._on_found = on_found

    async def run(self) -> None:
        """Asks the target's health check until something is known of it."""
        for number in range(MAX_PROBES):
            had_peers = self._peers.has_heard()
            await asyncio.sleep(PROBE_PERIOD_S)
            if number < PROBES_AFTER_PEERS and not had_peers:
                continue
            if self._state.phase is not TargetPhase.UNKNOWN:
                return
            path = self._find_path()
            if path is None:
                continue
            target_id = await _probe_target(self._address, path)
            if target_id and self._state.take_probe(target_id):
                self._on_found()


async def _probe_target(address: Address, path: str) -> str:
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
            handler = ResponseHandler(
                accepts=lambda _: True,
                on_reply=resolve,
                on_loss=lambda _: resolve(None),
            )
            request = f"GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n"
            conn.send(request.encode(), handler)
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
