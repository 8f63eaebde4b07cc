"""Finding the route of a request and the service that is to execute it."""

import attrs

from guavawing.traffic.model import Route, Routing

__all__ = ["RouteTable"]


@attrs.define
class _Split:
    """Deals requests to the parts of a route in proportion to weights.

    The part that is furthest behind its share is next, so that also short
    runs of requests come close to the weights.
    """

    owed: list[float]


class RouteTable:
    """The routes of one version."""

    __slots__ = ("_by_host", "_splits", "_top_priorities", "routing")

    def __init__(self, routing: Routing) -> None:
        self.routing = routing
        self._by_host: dict[str, dict[str, Route]] = {}
        self._splits: dict[str, _Split] = {}
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
            split = self._splits[route.name] = _Split([0.0] * len(parts))
        total = sum(part.weight for part in parts)
        owed = split.owed
        for index, part in enumerate(parts):
            owed[index] += part.weight / total
        chosen = max(range(len(parts)), key=owed.__getitem__)
        owed[chosen] -= 1.0
        return parts[chosen].service
