"""Finding the route of a request and the service that is to execute it."""

from collections.abc import Sequence
from random import Random

import attrs

from guavawing.traffic.model import Route, Routing, SplitPart

__all__ = ["RouteTable"]

# Requests of which the first ones are taken as dealt already, at random, when
# a split begins: a period of weights in hundredths.
START_STEPS = 100


@attrs.define
class _Split:
    """Deals requests to the parts of a route in proportion to weights.

    The part that is furthest behind its share is next, so that also short
    runs of requests come close to the weights. Each node deals by itself. A
    node begins at a random place of the row, as many nodes with few requests
    each would else all favour the part that comes first.

    Attributes:
        deficits: Requests by which a service is behind its share.
    """

    deficits: dict[str, float] = attrs.field(factory=dict)

    def begin(self, parts: Sequence[SplitPart], rng: Random) -> None:
        """Goes to a random place of the row."""
        for _ in range(rng.randrange(START_STEPS)):
            self.pick(parts)

    def pick(self, parts: Sequence[SplitPart]) -> str:
        """Returns the service of the next request.

        The weights may differ from those of the request before; a service
        that is new is not behind.
        """
        total = sum(part.weight for part in parts)
        self.deficits = {
            part.service: self.deficits.get(part.service, 0.0)
            + part.weight / total
            for part in parts
        }
        chosen = max(self.deficits, key=self.deficits.__getitem__)
        self.deficits[chosen] -= 1.0
        return chosen


class RouteTable:
    """The routes of one version."""

    __slots__ = ("_by_host", "_rng", "_splits", "_top_priorities", "routing")

    def __init__(
        self,
        routing: Routing,
        *,
        earlier: "RouteTable | None" = None,
        rng: Random,
    ) -> None:
        """Creates the table of a version.

        Args:
            routing: The version.
            earlier: Table of the version before: splits go on where they
                were, so that versions in quick succession don't each begin
                with the same part.
            rng: Tells where new splits begin.
        """
        self.routing = routing
        self._rng = rng
        self._by_host: dict[str, dict[str, Route]] = {}
        self._splits: dict[str, _Split] = {}
        if earlier is not None:
            names = {route.name for route in routing.routes}
            self._splits = {
                name: split
                for name, split in earlier._splits.items()
                if name in names
            }
        self._top_priorities: dict[str, int] = {}
        for route in routing.routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route
            for part in route.parts:
                top = self._top_priorities.get(part.service, route.priority)
                self._top_priorities[part.service] = min(top, route.priority)

    def is_most_urgent(self, route: Route) -> bool:
        """Returns whether no route of its services goes before a route."""
        return all(
            route.priority <= self._top_priorities[part.service]
            for part in route.parts
        )

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of a path, or None.

        Args:
            host: Value of the `Host` header; a port is ignored.
            path: Path of the request, with or without a query.
        """
        prefixes = self._by_host.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        path = path.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def pick_service(self, route: Route) -> str:
        """Returns the service for the next request of a route."""
        parts = route.parts
        if len(parts) == 1:
            return parts[0].service
        split = self._splits.get(route.name)
        if split is None:
            split = self._splits[route.name] = _Split()
            split.begin(parts, self._rng)
        return split.pick(parts)
