"""Evenness of the load of a simulated fleet."""

from collections.abc import Collection, Mapping

import attrs

from bench.fleet_node import Node

__all__ = ["SAMPLE_PERIOD_S", "Evenness"]

SAMPLE_PERIOD_S = 0.005


@attrs.define
class Evenness:
    """Sampled use of the slots of one service.

    Attributes:
        slots: Sum of the slots over the samples.
        idle: Sum of the idle slots.
        idle_while_waiting: Sum of the idle slots for which a request waits, in
            a queue or at its client after a refusal.
        queued: Sum of the queued requests.
        busy: Busy slots of each target, summed over the samples of each second.
    """

    slots: int = 0
    idle: int = 0
    idle_while_waiting: int = 0
    queued: int = 0
    busy: dict[int, dict[str, int]] = attrs.field(factory=dict)

    def sample(
        self, nodes: Collection[Node], *, refused: int, now: float
    ) -> None:
        """Adds a sample of the nodes in one data centre.

        Args:
            nodes: The nodes of the service.
            refused: Requests whose clients wait after a refusal.
            now: Simulated time, in seconds.
        """
        queued = sum(node.queue.queued for node in nodes)
        slots = sum(node.queue.slots for node in nodes)
        idle = slots - sum(node.queue.running for node in nodes)
        self.slots += slots
        self.idle += idle
        self.queued += queued
        self.idle_while_waiting += min(idle, queued + refused)
        second = self.busy.setdefault(int(now), {})
        for node in nodes:
            busy = second.get(node.name, 0)
            second[node.name] = busy + node.queue.running

    @property
    def idle_while_waiting_share(self) -> float:
        """Share of the slot time that is idle while a request waits."""
        return self.idle_while_waiting / self.slots

    def compute_busiest_ratio(self) -> float:
        """Returns the busiest target's load over the mean, by second."""
        ratios = [_find_ratio(busy) for busy in self.busy.values()]
        return sum(ratios) / len(ratios)


def _find_ratio(busy: Mapping[str, int]) -> float:
    total = sum(busy.values())
    return max(busy.values()) * len(busy) / total if total else 1.0
