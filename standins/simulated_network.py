"""Simulated network and clock for testing state machines without sockets.

All random decisions use one seeded generator, so that runs are reproducible.
"""

import heapq
import itertools
import random
from collections.abc import Callable

import attrs


@attrs.define
class Faults:
    """Faults applied to messages.

    Attributes:
        loss: Fraction of messages that are lost.
        repeat: Fraction of messages that are duplicated.
        damage: Fraction of payloads with one corrupted byte.
        jitter_s: Maximum random delay added to a message, in seconds.
        cuts: Pairs of zones (sender, receiver) between which all messages
            are lost.
    """

    loss: float = 0.0
    repeat: float = 0.0
    damage: float = 0.0
    jitter_s: float = 0.0
    cuts: set[tuple[str, str]] = attrs.field(factory=set)


class SimulatedNetwork:
    """Delivers messages between zones with delays, duplicates and losses.

    Attributes:
        now: Simulated time, in seconds.
        faults: Faults applied to messages.
        rng: Random generator of all random decisions.
    """

    def __init__(self, *, seed: int, delay_s: float, far_delay_s: float):
        self.now = 0.0
        self.faults = Faults()
        self.rng = random.Random(seed)
        self._delays = (delay_s, far_delay_s)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def run(self, seconds: float) -> None:
        """Runs the actions due in the given simulated time, in seconds."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = end

    def call_after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedules an action after a simulated delay, in seconds."""
        entry = (self.now + delay_s, next(self._order), action)
        heapq.heappush(self._queue, entry)

    def send(
        self, sender: str, receiver: str, action: Callable[[], None]
    ) -> None:
        """Schedules the delivery of a message, subject to faults."""
        faults = self.faults
        if (sender, receiver) in faults.cuts:
            return
        for _ in range(1 + (self.rng.random() < faults.repeat)):
            if self.rng.random() < faults.loss:
                continue
            delay_s = self._delays[sender != receiver]
            self.call_after(
                delay_s + self.rng.uniform(0, faults.jitter_s), action
            )

    def damage(self, data: bytes) -> bytes:
        """Returns the data, corrupted in one byte if the fault applies."""
        if not data or self.rng.random() >= self.faults.damage:
            return data
        index = self.rng.randrange(len(data))
        return data[:index] + bytes([data[index] ^ 0x41]) + data[index + 1 :]
