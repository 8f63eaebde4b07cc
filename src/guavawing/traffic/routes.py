"""Selection of the route of a request and of the service to execute it."""

from collections.abc import Sequence
from random import Random

import attrs

from guavawing.traffic.accounts import AccountTable
from guavawing.traffic.model import Route, Routing, SplitPart

__all__ = ["RouteTable"]

# A new split skips a random number of requests below this one: the period of
# weights in hundredths.
START_STEPS = 100


@attrs.define
class _Split:
    """Smooth weighted round robin over the parts of a route.

    The part with the largest deficit is next, so that short sequences of
    requests also come close to the weights. Each node schedules independently
    and begins at a random position of the sequence; otherwise many nodes with
    few requests each would all send them to the first part.

    Attributes:
        deficits: Number of requests by which each service is below its share.
    """

    deficits: dict[str, float] = attrs.field(factory=dict)

    def begin(self, parts: Sequence[SplitPart], rng: Random) -> None:
        """Skips to a random position of the sequence."""
        for _ in range(rng.randrange(START_STEPS)):
            self.pick(parts)

    def pick(self, parts: Sequence[SplitPart]) -> str:
        """Returns the service of the next request.

        The weights may differ from those of the previous request; a new
        service has no deficit.
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
    """The routes and client accounts of one configuration version.

    Attributes:
        routing: The version.
        accounts: Its client accounts by key.
    """

    __slots__ = (
        "_by_host",
        "_rng",
        "_splits",
        "_top_priorities",
        "accounts",
        "routing",
    )

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
            earlier: Table of the previous version. Its splits continue, so
                that versions in quick succession don't each begin with the
                same part.
            rng: Source of the random positions at which new splits begin.
        """
        self.routing = routing
        self.accounts: AccountTable = AccountTable(
            routing.accounts.values(),
            earlier=None if earlier is None else earlier.accounts,
        )
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
            first = self._find_first_priority(route)
            for part in route.parts:
                top = self._top_priorities.get(part.service, first)
                self._top_priorities[part.service] = min(top, first)

    def is_most_urgent(self, route: Route, *, priority: int) -> bool:
        """Returns whether no requests to its services precede a request.

        Args:
            route: Route of the request.
            priority: Priority of the request.
        """
        return all(
            priority <= self._top_priorities[part.service]
            for part in route.parts
        )

    def _find_first_priority(self, route: Route) -> int:
        """Returns the highest priority that a request of a route may have."""
        accounts = self.routing.accounts.values()
        if route.public or not accounts:
            return route.priority
        return min(
            route.priority if account.priority is None else account.priority
            for account in accounts
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
