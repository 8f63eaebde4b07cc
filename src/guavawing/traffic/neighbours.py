"""Late binding: an owner without a free slot passes a request on.

Load: a called service with few targets and many callers. Each caller hears
from each owner a few times a second, while queues there build up and drain
within a tenth of that. But the owner that gets the requests of all of them can
know its neighbours well: each request tells it of the one from which its entry
node has heard last.

A request is passed on by a refusal that names the neighbour, so that it belongs
to its entry node again before another owner gets it. It is passed on once.
"""

from collections.abc import Iterable

import attrs

from guavawing.traffic.owner_view import OwnerView

__all__ = ["NO_NEIGHBOUR", "NeighbourLoad", "Neighbours", "find_last_heard"]

# Age up to which the load of a neighbour is used, in seconds.
MAX_AGE_S = 0.05


@attrs.frozen
class NeighbourLoad:
    """Free slots of another owner of the same service and data centre.

    Attributes:
        node: Its node; empty if none is known.
        free: Free slots that no queued request needs.
        at: Event loop's time at which it reported them, in seconds.
    """

    node: str
    free: int
    at: float


NO_NEIGHBOUR = NeighbourLoad("", 0, 0.0)


def find_last_heard(
    owners: Iterable[OwnerView], chosen: OwnerView, *, now: float
) -> NeighbourLoad:
    """Returns the neighbour of an owner from which this node heard last.

    Args:
        owners: The owners of the service.
        chosen: The owner that is told.
        now: Event loop's time, in seconds.
    """
    if not chosen.near:
        # Its neighbours are not told from other owners elsewhere.
        return NO_NEIGHBOUR
    last: OwnerView | None = None
    last_at = now - MAX_AGE_S
    for owner in owners:
        if (
            owner is not chosen
            and owner.near
            and owner.reported_at > last_at
            and owner.is_usable(now=now)
            and owner.accepts_requests()
        ):
            last, last_at = owner, owner.reported_at
    if last is None:
        return NO_NEIGHBOUR
    return NeighbourLoad(last.node, last.count_free(now=now), last_at)


class Neighbours:
    """What an owner knows of the others of its service and data centre."""

    __slots__ = ("_loads",)

    def __init__(self) -> None:
        self._loads: dict[str, NeighbourLoad] = {}

    def record(self, load: NeighbourLoad) -> None:
        """Records the load of a neighbour if it is newer than the known one."""
        known = self._loads.get(load.node)
        if load.node and (known is None or known.at < load.at):
            self._loads[load.node] = load

    def take_slot(self, *, now: float) -> str:
        """Returns the neighbour that last reported a free slot.

        The slot counts as used afterwards.

        Args:
            now: Event loop's time, in seconds.

        Returns:
            Its node; empty if there is none.
        """
        oldest = now - MAX_AGE_S
        for node in [n for n, e in self._loads.items() if e.at <= oldest]:
            del self._loads[node]
        free = [load for load in self._loads.values() if load.free > 0]
        if not free:
            return ""
        best = max(free, key=lambda load: load.at)
        self._loads[best.node] = attrs.evolve(best, free=best.free - 1)
        return best.node
