"""Health checks of the target until its first heartbeat is received."""

import asyncio
from collections.abc import Callable

from guavawing.model import Address
from guavawing.platform.headers import find_target_id, parse_answer_head
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
# Health checks sent to a target from which no heartbeat was received.
MAX_PROBES = 8
PROBE_PERIOD_S = 0.2
# The first checks are skipped unless a beacon of a peer was received at least
# one period earlier: its reply may report the departure of the target. Beacons
# are received within 1.1 s if there are peers.
PROBES_AFTER_PEERS = 6


class TargetProbe:
    """Detects a healthy target before its first heartbeat."""

    def __init__(
        self,
        address: Address,
        *,
        state: TargetState,
        find_path: Callable[[], str | None],
        peers: PeerTable,
        on_found: Callable[[], None],
    ) -> None:
        """Creates a probe that has not started.

        Args:
            address: Address of the target.
            state: Updated when the target is found.
            find_path: Returns the path of the health check, or None if no
                configuration is in force.
            peers: The other nodes, which may have recorded the departure of
                the target.
            on_found: Called when the target is found.
        """
        self._address = address
        self._state = state
        self._find_path = find_path
        self._peers = peers
        self._on_found = on_found

    async def run(self) -> None:
        """Sends health checks until the state of the target is known."""
        for number in range(MAX_PROBES):
            had_peers = self._peers.has_seen_any()
            await asyncio.sleep(PROBE_PERIOD_S)
            if number < PROBES_AFTER_PEERS and not had_peers:
                continue
            if self._state.phase is not TargetPhase.UNKNOWN:
                return
            path = self._find_path()
            if path is None:
                continue
            target_id = await _probe_target(self._address, path)
            if target_id and self._state.apply_probe(target_id):
                self._on_found()


async def _probe_target(address: Address, path: str) -> str:
    """Returns the id of a healthy target, or an empty string.

    Args:
        address: Address of the target.
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
        # The target is not listening yet.
        return ""
    finally:
        if conn is not None:
            conn.close()
    if reply is None or reply.status != OK:
        return ""
    if parse_answer_head(reply.status, reply.headers).notice.leaving:
        return ""
    return find_target_id(reply.headers)


def _make_resolver(
    fut: "asyncio.Future[HttpReply | None]",
) -> Callable[[HttpReply | None], None]:
    def resolve(reply: HttpReply | None) -> None:
        if not fut.done():
            fut.set_result(reply)

    return resolve
