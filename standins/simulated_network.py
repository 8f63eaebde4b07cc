"""A network in memory with a simulated clock, for machines without sockets.

Everything random comes from one seeded generator.
"""

import heapq
import itertools
import random
from collections.abc import Callable

import attrs


@attrs.define
class Faults:
    """What goes wrong on the way.

    Attributes:
        loss: Share of messages that are lost.
        repeat: Share of messages that arrive twice.
        damage: Share of pieces with one wrong byte.
        jitter_s: Largest time added to a message, in seconds.
        cuts: Pairs of zones (sender, receiver) between which all is lost.
    """

    loss: float = 0.0
    repeat: float = 0.0
    damage: float = 0.0
    jitter_s: float = 0.0
    cuts: set[tuple[str, str]] = attrs.field(factory=set)


class SimulatedNetwork:
    """Carries messages between zones, late, twice or not at all.

    Attributes:
        now: Simulated time, in seconds.
        faults: What goes wrong on the way.
        rng: Source of everything random.
    """

    def __init__(self, *, seed: int, delay_s: float, far_delay_s: float):
        self.now = 0.0
        self.faults = Faults()
        self.rng = random.Random(seed)
        self._delays = (delay_s, far_delay_s)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = end

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        """Does something after a time, in seconds."""
        entry = (self.now + delay_s, next(self._order), action)
        heapq.heappush(self._queue, entry)

    def send(
        self, sender: str, receiver: str, action: Callable[[], None]
    ) -> None:
        """Carries a message between zones, or loses it."""
        faults = self.faults
        if (sender, receiver) in faults.cuts:
            return
        for _ in range(1 + (self.rng.random() < faults.repeat)):
            if self.rng.random() < faults.loss:
                continue
            delay_s = self._delays[sender != receiver]
            self.at(delay_s + self.rng.uniform(0, faults.jitter_s), action)

    def damage(self, data: bytes) -> bytes:
        """Returns a piece with one wrong byte, or as it is."""
        if not data or self.rng.random() >= self.faults.damage:
            return data
        at = self.rng.randrange(len(data))
        return data[:at] + bytes([data[at] ^ 0x41]) + data[at + 1 :]
