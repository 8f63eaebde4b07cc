"""The planned stop of a process, from SIGTERM to its last answer.

Clients learn from the platform that this node is not ready, so they go on
sending for a while. Until then it serves as before; then it is no owner any
more and tells clients to close their connections; at last it refuses what is
new and ends when all that runs has been answered.
"""

import asyncio

from guavawing.sidecar.beacons import Beacons
from guavawing.sidecar.entry import Entry
from guavawing.sidecar.http_server import HttpServer
from guavawing.sidecar.mesh_client import MeshClient
from guavawing.sidecar.owner import Owner
from guavawing.traffic.peers import PeerTable

__all__ = ["PlannedStop"]

# Time after SIGTERM in which clients may still send as before: the platform
# asks for readiness once a second and acts on two misses.
READINESS_DELAY_S = 2.3
# Time after SIGTERM up to which it serves on while another node of its service
# restarts: what is left of the grace period is enough to end.
MAX_RESTART_WAIT_S = 4.0
# Time after that in which requests are still taken. Later ones are refused, so
# that what runs can end and none is cut.
LATE_REQUESTS_S = 0.5
# Time without a request after which a stopping process may end, in seconds.
QUIET_S = 0.4
# Time before the end of the grace period at which it ends anyway, in seconds.
STOP_MARGIN_S = 0.4
STOP_POLL_S = 0.05


class PlannedStop:
    """Ends the work of one process in time."""

    def __init__(
        self,
        *,
        service: str,
        grace_s: float,
        callers: HttpServer,
        entry: Entry,
        owner: Owner,
        mesh: MeshClient,
        beacons: Beacons,
        peers: PeerTable,
    ) -> None:
        """Prepares a stop.

        Args:
            service: Service of the target beside this node.
            grace_s: Time from SIGTERM until the process is killed, in
                seconds.
            callers: Listener of the clients.
            entry: Takes the clients' requests.
            owner: Owner of the target.
            mesh: Connections to other nodes.
            beacons: Tells other nodes of the stop.
            peers: The other nodes.
        """
        self._loop = asyncio.get_running_loop()
        self._service = service
        self._grace_s = grace_s
        self._callers = callers
        self._entry = entry
        self._owner = owner
        self._mesh = mesh
        self._beacons = beacons
        self._peers = peers

    async def run(self) -> float:
        """Stops the work; returns how long that took, in seconds."""
        began_at = self._loop.time()
        ends_at = began_at + self._grace_s - STOP_MARGIN_S
        self._mesh.stopping = True
        self._entry.ends_at = ends_at
        await asyncio.sleep(READINESS_DELAY_S)
        await self._wait_for_restarts(began_at + MAX_RESTART_WAIT_S)
        self._begin_drain()
        closes_at = self._loop.time() + LATE_REQUESTS_S
        while self._loop.time() < ends_at and self._has_work():
            self._entry.closing |= self._loop.time() > closes_at
            await asyncio.sleep(STOP_POLL_S)
        self._callers.close_listener()
        while self._loop.time() < ends_at and (
            self._callers.busy or self._callers.awaits_first_request
        ):
            await asyncio.sleep(STOP_POLL_S)
        return self._loop.time() - began_at

    async def _wait_for_restarts(self, ends_at: float) -> None:
        """Serves on while many other owners of the service restart.

        Nodes that are stopped one after the other would else be away
        together, with most of the service's slots.
        """
        while self._loop.time() < ends_at:
            now = self._loop.time()
            if not self._peers.has_many_restarting(self._service, now=now):
                return
            await asyncio.sleep(STOP_POLL_S)

    def _begin_drain(self) -> None:
        """Takes the target out of use from elsewhere, and clients off."""
        self._owner.stopping = True
        self._beacons.announce_change()
        self._callers.state.stopping = True
        self._callers.close_idle()

    def _has_work(self) -> bool:
        if self._callers.busy or self._owner.busy:
            return True
        quiet_s = self._loop.time() - self._callers.state.last_request_at
        return not self._entry.closing and quiet_s < QUIET_S
