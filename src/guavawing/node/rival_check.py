"""The task that asks the platform whether another process has this id.

Gossip only raises the suspicion. A process yields when its own row was
written over by a process of a higher rank: as each writer names the revision
that it read, that process lived after this one had registered. Neither lies
of peers nor rows of processes that are gone can bring that about. Of the
processes that live, the one of the highest rank never yields.
"""

import asyncio
import contextlib
import enum
import random
from collections.abc import AsyncIterator

import attrs

from guavawing.errors import PlatformError
from guavawing.membership import Gossip
from guavawing.membership.duplicate import Rank
from guavawing.node.metrics import Metrics
from guavawing.store.processes import (
    ProcessRow,
    fetch_process,
    write_process,
)
from guavawing.store.store import PlatformStore

__all__ = ["CheckOutcome", "RivalCheck", "open_rival_check"]

POLL_S = 0.5
# Shortest time between two checks.
MIN_PAUSE_S = 2.0
# Checks are spread over this time for each known member: if a peer lies to
# 15,000 nodes at once, they make 200 checks a second with a write at most.
SPREAD_PER_MEMBER_S = 0.005


class CheckOutcome(enum.StrEnum):
    """What a check has found or done."""

    CONFIRMED = "confirmed"
    REGISTERED = "registered"
    REPLACED = "replaced"
    UNANSWERED = "unanswered"


class RivalCheck:
    """Checks the row of this node's id while a second process is suspected."""

    def __init__(
        self,
        platform: PlatformStore,
        gossip: Gossip,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self._platform = platform
        self._gossip = gossip
        self._rng = rng
        self._metrics = metrics
        # Whether the row named this process at some time.
        self._registered = False

    async def run(self) -> None:
        """Checks the row when it is due until this process yields."""
        loop = asyncio.get_running_loop()
        while not self._gossip.replaced:
            await asyncio.sleep(POLL_S)
            if self._gossip.suspects_duplicate(now=loop.time()):
                await asyncio.sleep(self.draw_delay())
                await self.check()
                await asyncio.sleep(MIN_PAUSE_S)

    def draw_delay(self) -> float:
        """Returns how long a check that is due is put off, in seconds."""
        spread_s = SPREAD_PER_MEMBER_S * len(self._gossip.table)
        return self._rng.uniform(0, spread_s)

    async def check(self) -> None:
        """Makes one read of the row, and one write at most."""
        rank = self._gossip.rank
        if rank is None:
            return
        outcome = await self._check(rank)
        self._metrics.rival_checks.inc({"outcome": str(outcome)})

    async def _check(self, rank: Rank) -> CheckOutcome:
        try:
            row = await fetch_process(self._platform, self._gossip.me.id)
        except PlatformError:
            return CheckOutcome.UNANSWERED
        if row.rank == rank:
            self._registered = True
            return CheckOutcome.CONFIRMED
        if self._registered and row.rank is not None and row.rank > rank:
            self._gossip.mark_replaced()
            return CheckOutcome.REPLACED
        return await self._register(row, rank)

    async def _register(self, row: ProcessRow, rank: Rank) -> CheckOutcome:
        """Challenges the process that the row names, if it lives."""
        if await write_process(self._platform, attrs.evolve(row, rank=rank)):
            self._registered = True
            return CheckOutcome.REGISTERED
        return CheckOutcome.UNANSWERED


@contextlib.asynccontextmanager
async def open_rival_check(check: RivalCheck) -> AsyncIterator[RivalCheck]:
    """Checks the row until closed."""
    task = asyncio.get_running_loop().create_task(check.run())
    try:
        yield check
    finally:
        task.cancel()
