"""Nodes of a simulated fleet, with their requests and attempts."""

from collections.abc import Callable

import attrs

from bench.fleet_load import Kind
from guavawing.traffic.balancer import Balancer
from guavawing.traffic.budget import RetryBudget
from guavawing.traffic.client_wait import ClientWaitEstimator
from guavawing.traffic.failures import FailureShare
from guavawing.traffic.model import (
    Incarnation,
    LoadReport,
    TargetLimit,
    TargetPhase,
)
from guavawing.traffic.neighbours import Neighbours
from guavawing.traffic.owner_view import OwnerView
from guavawing.traffic.slot_offers import SlotOffers
from guavawing.traffic.slot_queue import SlotQueue

__all__ = ["Attempt", "Node", "Request"]


@attrs.define(eq=False)
class Node:
    """A node with its target and its views of the owners.

    Attributes:
        name: Name of the node.
        data_centre: Number of its data centre.
        service: Service of its target.
        speed: Relative speed of the target; 1 is normal.
        queue: Slots and queue of the target.
        balancer: Selects owners for the clients of the node's VM.
        budget: The node's share of the retry budgets.
        failures: Failure rate by service.
        wait_estimator: Estimates the time that clients have already waited.
        views: Views of the owners, by service.
        slowdown: Factor applied to execution times.
        refused: Share of requests that the target refuses without execution.
        limit_per_s: Rate limit that the target names; None for none.
        offers: Offers of the target's slots to entry nodes.
        neighbours: What the owner knows of its neighbours.
        waiting: Queued and running attempts at the target, by number.
    """

    name: str
    data_centre: int
    service: str
    speed: float
    queue: SlotQueue
    balancer: Balancer
    budget: RetryBudget
    failures: FailureShare = attrs.field(factory=FailureShare)
    wait_estimator: ClientWaitEstimator = attrs.field(
        factory=ClientWaitEstimator
    )
    views: dict[str, list[OwnerView]] = attrs.field(factory=dict)
    slowdown: float = 1.0
    refused: float = 0.0
    limit_per_s: float | None = None
    offers: SlotOffers = attrs.field(factory=SlotOffers)
    neighbours: Neighbours = attrs.field(factory=Neighbours)
    waiting: dict[int, "Attempt"] = attrs.field(factory=dict)

    def count_free(self, now: float) -> int:
        """Returns the number of free slots that no queued request needs."""
        if self.queue.find_limit_wait_s(now=now) > 0:
            return 0
        return self.queue.slots - self.queue.running - self.queue.queued

    def load(self, now: float) -> LoadReport:
        """Returns the load report of the target at `now`, in seconds."""
        known = self.queue.has_service_time
        return LoadReport(
            TargetPhase.READY,
            self.queue.slots,
            self.queue.running,
            self.queue.queued,
            self.queue.service_s if known else 0.0,
            self.queue.refused_share,
            kind_s=dict(self.queue.kind_s),
            limit=TargetLimit(Incarnation(self.name, 0), self.limit_per_s),
            limit_wait_s=self.queue.find_limit_wait_s(now=now),
        )


@attrs.define(eq=False)
class Request:
    """One try of a client, or one call made by a target."""

    kind: Kind
    entry: Node
    deadline: float
    useful_until: float
    late: bool
    on_end: Callable[[bool, float | None], None]
    urgent: bool
    tried_owners: list[str] = attrs.field(factory=list)
    sent: int = 0
    passed_on: bool = False
    retry_after_s: float | None = None


@attrs.define(eq=False)
class Attempt:
    """An attempt of a request at one owner."""

    request: Request
    view: OwnerView
    owner: Node
