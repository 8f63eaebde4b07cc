"""Selection of the nodes that read the store for their data centre."""

import zlib
from collections.abc import Iterable

from guavawing.traffic.peers import Peer

__all__ = [
    "CONFIGURATION_READERS",
    "NODES_READERS",
    "find_rank",
    "is_reader",
    "rank_nodes",
]

# Nodes of a data centre that read the configuration: one may be lost, or be
# rejected by the store, before the others detect it.
CONFIGURATION_READERS = 2
# Nodes that read the rows of nodes. A starting node sends its beacon to all
# others itself, so a lost reader delays only removals.
NODES_READERS = 1


def is_reader(host: str, near: Iterable[Peer], *, readers: int) -> bool:
    """Returns whether a node is one of the readers of its data centre.

    Nodes with the same view of the live nodes compute the same order. If views
    differ, additional nodes read, which is harmless.

    Args:
        host: Address of the node.
        near: Other nodes of its data centre of which it has heard lately.
        readers: Number of readers that the data centre should have.
    """
    return find_rank(host, near) < readers


def find_rank(host: str, near: Iterable[Peer]) -> int:
    """Returns how many nodes of its data centre read the store before a node.

    Args:
        host: Address of the node.
        near: Other nodes of its data centre.
    """
    own = _score(host)
    return sum(
        1
        for peer in near
        if peer.view.alive
        and peer.reaches_store
        and _score(peer.record.host) > own
    )


def rank_nodes(hosts: Iterable[str]) -> list[str]:
    """Returns addresses of nodes in the order in which they become readers."""
    return sorted(hosts, key=_score, reverse=True)


def _score(host: str) -> int:
    return zlib.crc32(host.encode())
