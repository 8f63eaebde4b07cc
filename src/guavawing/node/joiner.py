"""The task that finds contacts for joining and maintains the seed rows."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Iterable, Sequence

from guavawing.errors import PlatformError
from guavawing.membership import Gossip
from guavawing.node.logs import log
from guavawing.store import Platform
from guavawing.store.seeds import (
    SEEDS_PER_DATA_CENTRE,
    Seed,
    fetch_seeds,
    write_seed,
)

__all__ = ["Joiner", "open_joiner"]

# Longest time that a node waits for an answer from its data centre before it
# opens its servers although it has not joined.
JOIN_WAIT_S = 1.0
JOIN_POLL_S = 0.02
# Time over which nodes that start simultaneously spread their first reads.
FIRST_READ_SPREAD_S = 12.0
# Mean time between two reads of the rows, over all members of a data centre
# together.
CHECK_PERIOD_S = 10.0
# Mean time between two reads by a node that has not joined.
ISOLATED_CHECK_PERIOD_S = 20.0
# Time after which a node that has not joined may replace rows of others.
ISOLATION_TIMEOUT_S = 20.0


class Joiner:
    """Reads and writes seed rows at a bounded rate for the whole fleet.

    Attributes:
        expects_peers: Whether other members may be running: the rows have
            not been read yet, or named some at the last read.
    """

    def __init__(
        self, platform: Platform, gossip: Gossip, rng: random.Random
    ) -> None:
        self._platform = platform
        self._gossip = gossip
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()
        self._previous_revisions: dict[int, int] = {}
        self.expects_peers = True

    async def wait_joined(self) -> bool:
        """Waits up to `JOIN_WAIT_S`; returns whether the node has joined."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(JOIN_WAIT_S):
                while not self._gossip.joined:
                    await asyncio.sleep(JOIN_POLL_S)
        log("info", "join", joined=self._gossip.joined)
        return self._gossip.joined

    async def run(self) -> None:
        """Checks the seed rows until cancelled."""
        await asyncio.sleep(self._rng.uniform(0, FIRST_READ_SPREAD_S))
        while True:
            with contextlib.suppress(PlatformError):
                await self._check()
            await asyncio.sleep(
                self._rng.uniform(0, 2 * self._mean_check_period_s())
            )

    def _mean_check_period_s(self) -> float:
        if not self._gossip.joined:
            return ISOLATED_CHECK_PERIOD_S
        here = self._gossip.me.data_centre
        members = self._gossip.table.members_in(here)
        return CHECK_PERIOD_S * sum(1 for m in members if m.running)

    async def _check(self) -> None:
        seeds = await fetch_seeds(self._platform)
        me = self._gossip.me
        self.expects_peers = any(seed.member_id != me.id for seed in seeds)
        for name in {seed.data_centre for seed in seeds}:
            addresses = [s.control for s in seeds if s.data_centre == name]
            self._gossip.add_contacts(name, addresses)
        here = me.data_centre
        own = [seed for seed in seeds if seed.data_centre == here]
        slot = self._find_slot(own)
        self._previous_revisions = {seed.slot: seed.revision for seed in own}
        if slot is not None:
            await write_seed(self._platform, slot)

    def _find_slot(self, own: Sequence[Seed]) -> Seed | None:
        """Returns the seed row to write for this node, or None."""
        me = self._gossip.me
        if any(seed.member_id == me.id for seed in own):
            return self._find_moved(own)
        if not own or self._gossip.joined:
            stale = [seed for seed in own if not self._is_running(seed)]
        elif self._is_isolated(own):
            # All members named by the rows may have stopped permanently.
            stale = list(own)
        else:
            return None
        stale += self._list_unused(own)
        if not stale:
            return None
        row = self._rng.choice(stale)
        return self._make_own_seed(row)

    def _find_moved(self, own: Iterable[Seed]) -> Seed | None:
        """Returns this node's updated row if it has an old address."""
        me = self._gossip.me
        for seed in own:
            if seed.member_id == me.id and seed.control != me.control:
                return self._make_own_seed(seed)
        return None

    def _make_own_seed(self, row: Seed) -> Seed:
        me = self._gossip.me
        return Seed(me.data_centre, row.slot, me.id, me.control, row.revision)

    def _list_unused(self, own: Iterable[Seed]) -> list[Seed]:
        me = self._gossip.me
        used = {seed.slot for seed in own}
        return [
            Seed(me.data_centre, slot, me.id, me.control, 0)
            for slot in range(SEEDS_PER_DATA_CENTRE)
            if slot not in used
        ]

    def _is_running(self, seed: Seed) -> bool:
        member = self._gossip.table.get(seed.member_id)
        return member is not None and member.running

    def _is_isolated(self, own: Iterable[Seed]) -> bool:
        waited_s = self._loop.time() - self._started_at
        changed = {
            seed.slot: seed.revision for seed in own
        } != self._previous_revisions
        return waited_s > ISOLATION_TIMEOUT_S and not changed


@contextlib.asynccontextmanager
async def open_joiner(joiner: Joiner) -> AsyncIterator[Joiner]:
    """Checks the seed rows until closed."""
    task = asyncio.get_running_loop().create_task(joiner.run())
    try:
        yield joiner
    finally:
        task.cancel()
