"""Planned stop: graceful shutdown from SIGTERM to the last answer.

The process serves requests as usual until the platform has informed clients
that this node is not ready, and from then on only those that it can finish. It
then refuses attempts of other nodes and closes client connections after their
next answer. Finally it refuses new requests, and ends once all running ones
have been answered and the answers have left its transports.
"""

import asyncio

from guavawing.sidecar.beacons import Beacons
from guavawing.sidecar.entry import Entry
from guavawing.sidecar.http_server import HttpServer
from guavawing.sidecar.mesh_client import MeshClient
from guavawing.sidecar.mesh_server import MeshServer
from guavawing.sidecar.owner import Owner
from guavawing.traffic.peers import PeerTable

__all__ = ["PlannedStop"]

# Time after SIGTERM in which clients may still send requests: the platform
# checks readiness once a second and acts on two failures.
READINESS_DELAY_S = 2.3
# Maximum time after SIGTERM for which the process continues to serve while
# other nodes of its service restart: the rest of the grace period suffices for
# the shutdown.
MAX_RESTART_WAIT_S = 4.0
# Time after the start of the drain in which requests are still accepted. Later
# ones are refused,
# so that the running ones complete before the process is killed.
LATE_REQUESTS_S = 0.5
# Time without a request after which a stopping process may end, in seconds.
QUIET_S = 0.4
# Time before the end of the grace period at which the process ends in any case,
# in seconds.
STOP_MARGIN_S = 0.4
STOP_POLL_S = 0.05
# Time before the end of the process at which all open requests are answered, in
# seconds: enough to send the answers.
LAST_FLUSH_S = 0.15


class PlannedStop:
    """Graceful shutdown of a process within the grace period."""

    def __init__(
        self,
        *,
        service: str,
        grace_s: float,
        callers: HttpServer,
        entry: Entry,
        owner: Owner,
        mesh: MeshClient,
        mesh_server: MeshServer,
        beacons: Beacons,
        peers: PeerTable,
    ) -> None:
        """Creates a shutdown that has not started.

        Args:
            service: Service of the target on this VM.
            grace_s: Time from SIGTERM until the process is killed, in
                seconds.
            callers: HTTP server of the clients.
            entry: Handles the requests of clients.
            owner: Owner of the target.
            mesh: Connections to other nodes.
            mesh_server: Connections of other nodes to this owner.
            beacons: Announces the shutdown to other nodes.
            peers: The other nodes.
        """
        self._loop = asyncio.get_running_loop()
        self._service = service
        self._grace_s = grace_s
        self._callers = callers
        self._entry = entry
        self._owner = owner
        self._mesh = mesh
        self._mesh_server = mesh_server
        self._beacons = beacons
        self._peers = peers

    async def run(self) -> float:
        """Runs the shutdown and returns its duration in seconds."""
        started_at = self._loop.time()
        ends_at = started_at + self._grace_s - STOP_MARGIN_S
        self._mesh.stopping = True
        process_end = self._owner.process_end
        process_end.at = ends_at
        # Requests that came before the stop may have later deadlines.
        self._loop.call_at(ends_at - LAST_FLUSH_S, self._entry.end_open_calls)
        await asyncio.sleep(READINESS_DELAY_S)
        process_end.clients_informed = True
        await self._wait_for_restarts(started_at + MAX_RESTART_WAIT_S)
        self._begin_drain()
        # A request may have come on a connection that still looks idle, as
        # timers run before sockets are read after a pause.
        await asyncio.sleep(STOP_POLL_S)
        self._callers.close_idle()
        closes_at = self._loop.time() + LATE_REQUESTS_S
        while self._loop.time() < ends_at and self._has_work():
            self._entry.closing |= self._loop.time() > closes_at
            await asyncio.sleep(STOP_POLL_S)
        self._callers.close_listener()
        while self._loop.time() < ends_at and (
            self._callers.busy
            or self._callers.awaits_first_request
            or self._mesh_server.sending
        ):
            await asyncio.sleep(STOP_POLL_S)
        return self._loop.time() - started_at

    async def _wait_for_restarts(self, ends_at: float) -> None:
        """Waits while many other owners of the service restart.

        Otherwise nodes that are restarted one after the other would be
        unavailable at the same time, with most slots of the service.
        """
        while self._loop.time() < ends_at:
            now = self._loop.time()
            if not self._peers.has_many_restarting(self._service, now=now):
                return
            await asyncio.sleep(STOP_POLL_S)

    def _begin_drain(self) -> None:
        """Refuses attempts of other nodes; answers close connections."""
        self._owner.stopping = True
        self._beacons.announce_change()
        self._callers.state.stopping = True

    def _has_work(self) -> bool:
        if self._callers.busy or self._owner.busy:
            return True
        quiet_s = self._loop.time() - self._callers.state.last_request_at
        return not self._entry.closing and quiet_s < QUIET_S
