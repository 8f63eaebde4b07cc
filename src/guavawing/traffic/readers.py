"""Which nodes of a data centre follow the store for all of them."""

import zlib
from collections.abc import Iterable

from guavawing.traffic.peers import Peer

__all__ = ["CONFIGURATION_READERS", "NODES_READERS", "is_reader"]

# Nodes of a data centre that follow the configuration: one may be lost, or be
# turned away, before the others have noticed.
CONFIGURATION_READERS = 2
# Those that follow the rows of nodes. Nodes that start greet all others
# themselves, so a lost follower delays only removals.
NODES_READERS = 1


def is_reader(host: str, near: Iterable[Peer], *, readers: int) -> bool:
    """Returns whether a node is one of the readers of its data centre.

    The order is the same at every node that knows the same live nodes. Where
    views differ, a few more nodes read, which does no harm.

    Args:
        host: Address of the node.
        near: The other nodes of its data centre.
        readers: Readers that the data centre is to have.
    """
    own = _score(host)
    above = sum(
        1
        for peer in near
        if peer.view.alive
        and peer.reaches_store
        and _score(peer.record.host) > own
    )
    return above < readers


def _score(host: str) -> int:
    return zlib.crc32(host.encode())
