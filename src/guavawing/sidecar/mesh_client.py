"""Client of the mesh: connections to owners on other VMs."""

import asyncio
from collections.abc import Callable

from guavawing.sidecar.body_sender import BodySender, has_large_body
from guavawing.sidecar.link_pacer import LinkPacer
from guavawing.sidecar.mesh_codec import (
    encode_config_request,
)
from guavawing.sidecar.mesh_messages import (
    ConfigFrame,
)
from guavawing.sidecar.owner_connection import (
    OutcomeListener,
    OwnerConnection,
    RemoteAttempt,
)
from guavawing.traffic.model import (
    Attempt,
    Incarnation,
    LoadReport,
    TargetRecord,
)
from guavawing.traffic.neighbours import NeighbourLoad

__all__ = ["MeshClient", "RemoteAttempt"]

# Connections to one owner for small and for large answers: a lost packet or a
# large answer delays only the attempts on the same connection.
SMALL_CONNECTIONS = 2
BULK_CONNECTIONS = 1
# Interval of the check for silent owners, in seconds.
CHECK_PERIOD_S = 0.1
# Delay of a check beyond which this process itself was stalled, so that the
# silence is no evidence of a fault of the owner.
LATE_CHECK_S = 0.1

LoadListener = Callable[[str, LoadReport, Incarnation | None, bool], None]


class MeshClient:
    """Connections to all owners, opened on demand.

    Attributes:
        stopping: Whether this process stops. Attempts at silent owners are
            then not released for a retry.
    """

    def __init__(
        self,
        *,
        source: str,
        on_load: LoadListener,
        find_record: Callable[[str], TargetRecord],
        on_alive: Callable[[str], None],
        on_suspicion: Callable[[str], None],
        on_config: Callable[[ConfigFrame], None],
        pacer: LinkPacer | None = None,
    ) -> None:
        """Creates a client without connections.

        Args:
            source: Local IP address of the connections.
            on_load: Called with the load and the departure of the target that
                an answer contains, and whether it offers a free slot.
            find_record: Returns what is recorded about the target on a host.
            on_alive: Called with the host of a node that has responded.
            on_suspicion: Called with the host of a node that is silent or
                can't be connected to.
            on_config: Called with a configuration that was requested.
            pacer: Paces large bodies; None sends them within the request.
        """
        self.loop = asyncio.get_running_loop()
        self.source = source
        self.on_load = on_load
        self.find_record = find_record
        self.on_alive = on_alive
        self.on_suspicion = on_suspicion
        self.on_config = on_config
        self.pacer = pacer
        self.senders: set[BodySender] = set()
        if pacer is not None:
            pacer.count_pending(
                lambda: sum(sender.rest for sender in self.senders)
            )
        self.stopping = False
        self._conns: dict[tuple[str, int, bool], list[OwnerConnection]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._checked_at = self.loop.time()
        self._check_timer = self.loop.call_later(CHECK_PERIOD_S, self._check)

    def submit(
        self,
        host: str,
        port: int,
        attempt: Attempt,
        on_outcome: OutcomeListener,
        *,
        neighbour: NeighbourLoad | None = None,
    ) -> RemoteAttempt:
        """Sends an attempt to the owner at an address.

        Args:
            host: IP address of the owner's VM.
            port: Its mesh port.
            attempt: The attempt.
            on_outcome: Called once with the outcome unless it is cancelled.
            neighbour: What the owner is told of another owner; None if the
                attempt must not be passed on.
        """
        remote = RemoteAttempt(attempt, on_outcome, neighbour=neighbour)
        bulk = attempt.bulk or has_large_body(attempt)
        self._pick_connection(host, port, bulk=bulk).add(remote)
        return remote

    def cancel(self, remote: RemoteAttempt) -> bool:
        """Cancels an attempt; its outcome is no longer reported.

        Returns:
            Whether it certainly has not run, and won't.
        """
        remote.on_outcome = None
        return remote.conn is None or remote.conn.cancel(remote)

    def request_config(self, host: str, port: int, version: int) -> None:
        """Requests a configuration newer than `version` from a node.

        Its answer does not wait for the end of a large one.
        """
        conn = self._pick_connection(host, port, bulk=False)
        conn.send(encode_config_request(version))

    def close(self) -> None:
        """Closes all connections."""
        self._check_timer.cancel()
        for conns in self._conns.values():
            for conn in conns:
                conn.close()

    def disconnect(self, host: str) -> None:
        """Closes the connections to a node that was removed."""
        for key, conns in self._conns.items():
            if key[0] == host:
                for conn in conns:
                    conn.close()

    def track(self, task: "asyncio.Task[None]") -> None:
        """Holds a reference to a task until it is done."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _check(self) -> None:
        """Checks all connections for silent owners."""
        now = self.loop.time()
        late = now - self._checked_at > CHECK_PERIOD_S + LATE_CHECK_S
        self._checked_at = now
        self._check_timer = self.loop.call_later(CHECK_PERIOD_S, self._check)
        # A released attempt may open connections to another owner.
        for conns in tuple(self._conns.values()):
            for conn in conns:
                conn.check(now, late=late)

    def _pick_connection(
        self, host: str, port: int, *, bulk: bool
    ) -> "OwnerConnection":
        key = (host, port, bulk)
        conns = self._conns.get(key)
        if conns is None:
            count = BULK_CONNECTIONS if bulk else SMALL_CONNECTIONS
            conns = self._conns[key] = [
                OwnerConnection(self, host, port) for _ in range(count)
            ]
        return min(conns, key=lambda conn: conn.outstanding)
