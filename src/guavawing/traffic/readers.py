"""Which nodes of a data centre follow the store for all of them."""

import zlib
from collections.abc import Iterable

from guavawing.traffic.peers import Peer

__all__ = ["READERS", "is_reader"]

# Nodes of a data centre that follow the store: one may be lost, or be turned
# away, before the others have noticed.
READERS = 2


def is_reader(host: str, near: Iterable[Peer]) -> bool:
    """Returns whether a node is one of the readers of its data centre.

    The order is the same at every node that knows the same live nodes. Where
    views differ, a few more nodes read, which does no harm.

    Args:
        host: Address of the node.
        near: The other nodes of its data centre.
    """
    own = _score(host)
    above = sum(
        1
        for peer in near
        if peer.view.alive
        and peer.reaches_store
        and _score(peer.record.host) > own
    )
    return above < READERS


def _score(host: str) -> int:
    return zlib.crc32(host.encode())
