"""Health checks of the target until its process is known.

They find a target before its first heartbeat, and verify the heartbeats that
introduce a process of it.
"""

import asyncio
import enum
from collections.abc import Callable

import attrs

from guavawing.model import Address
from guavawing.platform.headers import find_target_id, parse_answer_head
from guavawing.sidecar.http_client import (
    ClientConnection,
    HttpReply,
    ResponseHandler,
)
from guavawing.traffic.heartbeat_proof import HeartbeatProof
from guavawing.traffic.model import TargetPhase
from guavawing.traffic.peers import PeerTable
from guavawing.traffic.target_state import TargetState

__all__ = ["TargetProbe"]

PROBE_TIMEOUT_S = 0.5
OK = 200
NOT_FOUND = 404
# Health checks sent to a target from which no heartbeat was received.
MAX_PROBES = 8
PROBE_PERIOD_S = 0.2
# The first checks are skipped unless a beacon of a peer was received at least
# one period earlier: its reply may report the departure of the target. Beacons
# are received within 1.1 s if there are peers.
PROBES_AFTER_PEERS = 6


class Health(enum.Enum):
    """What a health check of the target has shown."""

    PASSED = enum.auto()
    FAILED = enum.auto()
    # The target has no health check at the path.
    MISSING = enum.auto()
    # It did not answer, or did not execute the check, as when it is full.
    UNKNOWN = enum.auto()


@attrs.frozen
class HealthCheck:
    """Result of a health check.

    Attributes:
        health: What it has shown.
        target_id: Id that the target gave; empty if it gave none.
    """

    health: Health
    target_id: str = ""


_UNKNOWN = HealthCheck(Health.UNKNOWN)


class TargetProbe:
    """Detects a healthy target, and verifies what introduces it."""

    def __init__(
        self,
        address: Address,
        *,
        state: TargetState,
        proof: HeartbeatProof,
        find_path: Callable[[], str | None],
        peers: PeerTable,
        on_found: Callable[[], None],
    ) -> None:
        """Creates a probe that has not started.

        Args:
            address: Address of the target.
            state: Updated when the target is found.
            proof: Holds the heartbeats to verify.
            find_path: Returns the path of the health check, or None if no
                configuration is in force.
            peers: The other nodes, which may have recorded the departure of
                the target.
            on_found: Called when the target is found.
        """
        self._loop = asyncio.get_running_loop()
        self._address = address
        self._state = state
        self._proof = proof
        self._find_path = find_path
        self._peers = peers
        self._on_found = on_found
        self._verifying = False

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
            check = await _probe_target(self._address, path)
            if check.health is not Health.PASSED:
                continue
            if not self._confirm(check.target_id) and self._state.apply_probe(
                check.target_id
            ):
                self._on_found()

    async def verify(self) -> None:
        """Verifies the heartbeat that is held, if there is one.

        It checks again while the target is full or the path is not known; a
        failed check is repeated after the next heartbeat only.
        """
        if self._verifying:
            return
        self._verifying = True
        try:
            for _ in range(MAX_PROBES):
                pending, path = self._proof.pending, self._find_path()
                if pending is None:
                    return
                check = _UNKNOWN
                if path is not None:
                    check = await _probe_target(self._address, path)
                match check.health:
                    case Health.PASSED:
                        self._confirm(check.target_id)
                        return
                    case Health.MISSING:
                        self._confirm(pending.id)
                        return
                    case Health.FAILED:
                        return
                await asyncio.sleep(PROBE_PERIOD_S)
        finally:
            self._verifying = False

    def _confirm(self, target_id: str) -> bool:
        """Applies a held heartbeat; returns whether there was one."""
        now = self._loop.time()
        report = self._proof.confirm(target_id, now=now)
        if report is None:
            return False
        if self._state.apply_report(report, now=now):
            self._on_found()
        return True


async def _probe_target(address: Address, path: str) -> HealthCheck:
    """Sends one health check.

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
        # The target is not listening yet, or is busy.
        return _UNKNOWN
    finally:
        if conn is not None:
            conn.close()
    if reply is None:
        return _UNKNOWN
    head = parse_answer_head(reply.status, reply.headers)
    target_id = find_target_id(reply.headers)
    if head.notice.leaving:
        return HealthCheck(Health.FAILED, target_id)
    if head.not_executed:
        return _UNKNOWN
    if reply.status == NOT_FOUND:
        return HealthCheck(Health.MISSING)
    passed = reply.status == OK and target_id
    return HealthCheck(Health.PASSED if passed else Health.FAILED, target_id)


def _make_resolver(
    fut: "asyncio.Future[HttpReply | None]",
) -> Callable[[HttpReply | None], None]:
    def resolve(reply: HttpReply | None) -> None:
        if not fut.done():
            fut.set_result(reply)

    return resolve
