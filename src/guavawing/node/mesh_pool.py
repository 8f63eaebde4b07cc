"""Connection pool of an entry node, with one connection to each owner."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from guavawing.membership import Member
from guavawing.model import MemberId
from guavawing.node.frame_queue import ByteCount
from guavawing.node.logs import log
from guavawing.node.mesh_client import (
    CONNECT_TIMEOUT_S,
    LoadListener,
    MeshConnection,
    open_mesh_connection,
)

__all__ = ["MeshPool", "open_mesh_pool"]


class MeshPool:
    """Connections to owners, opened on first use."""

    def __init__(
        self,
        *,
        member_id: MemberId,
        incarnation: int,
        source: str,
        on_load: LoadListener,
    ) -> None:
        """Creates an empty pool.

        Args:
            member_id: Id of this node.
            incarnation: Incarnation of this process.
            source: IP address of this node to connect from.
            on_load: Called with each load report of an owner.
        """
        self._source = source
        self._member_id = member_id
        self._incarnation = incarnation
        self._on_load = on_load
        self._expected = ByteCount()
        self._connections: dict[MemberId, MeshConnection] = {}
        self._opening: dict[MemberId, asyncio.Task[MeshConnection | None]] = {}

    async def connect(self, member: Member) -> MeshConnection | None:
        """Returns an open connection to a member; None if it failed to open."""
        conn = self._find(member)
        if conn is not None:
            return conn
        # Concurrent requests share one attempt to connect, so that they do
        # not wait for an unreachable member one after the other.
        opening = self._opening.get(member.id)
        if opening is None:
            loop = asyncio.get_running_loop()
            opening = loop.create_task(self._open(member))
            self._opening[member.id] = opening
            opening.add_done_callback(lambda _: self._opening.pop(member.id))
        return await asyncio.shield(opening)

    def close(self) -> None:
        """Closes every connection."""
        for opening in tuple(self._opening.values()):
            opening.cancel()
        for conn in self._connections.values():
            conn.close()

    def _find(self, member: Member) -> MeshConnection | None:
        conn = self._connections.get(member.id)
        if conn is None or not conn.open:
            return None
        if conn.incarnation < member.incarnation:
            return None
        return conn

    async def _open(self, member: Member) -> MeshConnection | None:
        old = self._connections.pop(member.id, None)
        if old is not None:
            old.close()
        conn = MeshConnection(
            self._member_id,
            self._incarnation,
            on_load=self._on_load,
            expected=self._expected,
        )
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await open_mesh_connection(
                    member.mesh, conn, source=self._source
                )
        except (OSError, TimeoutError) as exc:
            # The refusal of the call has its own reason and counter.
            log(
                "debug",
                "owner-not-reached",
                member=member.id,
                address=str(member.mesh),
                cause=repr(exc),
            )
            return None
        if conn.owner != member.id:
            # Another node has taken over the address.
            conn.close()
            return None
        self._connections[member.id] = conn
        return conn


@contextlib.asynccontextmanager
async def open_mesh_pool(
    *,
    member_id: MemberId,
    incarnation: int,
    source: str,
    on_load: LoadListener,
) -> AsyncIterator[MeshPool]:
    """Opens an empty pool; closes its connections on exit.

    The arguments are those of `MeshPool`.
    """
    pool = MeshPool(
        member_id=member_id,
        incarnation=incarnation,
        source=source,
        on_load=on_load,
    )
    try:
        yield pool
    finally:
        pool.close()
