"""The task that checks with the platform for a duplicate process of a node id.

Gossip only raises a suspicion. A process stops only if its own row in the
platform was overwritten by a process of a higher rank. Writes are conditional
on the revision that was read, so that process was running after this one had
registered. Neither false messages of peers nor rows of processes that have
ended can cause this. Of the running processes, the one of the highest rank
never stops.
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

__all__ = [
    "CheckOutcome",
    "DuplicateProcessCheck",
    "open_duplicate_process_check",
]

POLL_S = 0.5
# Minimum time between two checks, in seconds.
MIN_CHECK_INTERVAL_S = 2.0
# Checks are spread over this time for each known member. If a peer sends false
# messages to 15,000 nodes at once, they make at most 200 checks a second, each
# with one write at most.
SPREAD_PER_MEMBER_S = 0.005


class CheckOutcome(enum.StrEnum):
    """Outcome of a check."""

    CONFIRMED = "confirmed"
    REGISTERED = "registered"
    REPLACED = "replaced"
    UNANSWERED = "unanswered"


class DuplicateProcessCheck:
    """Checks the row of this node's id while a duplicate is suspected."""

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
        # Whether the row named this process at an earlier check.
        self._registered = False

    async def run(self) -> None:
        """Checks the row on suspicion until this process is replaced."""
        loop = asyncio.get_running_loop()
        while not self._gossip.replaced:
            await asyncio.sleep(POLL_S)
            if self._gossip.suspects_duplicate(now=loop.time()):
                await asyncio.sleep(self.draw_delay())
                await self.check()
                await asyncio.sleep(MIN_CHECK_INTERVAL_S)

    def draw_delay(self) -> float:
        """Returns a random delay before a check, in seconds."""
        spread_s = SPREAD_PER_MEMBER_S * len(self._gossip.table)
        return self._rng.uniform(0, spread_s)

    async def check(self) -> None:
        """Checks the row once: one read, and at most one write."""
        rank = self._gossip.rank
        if rank is None:
            return
        outcome = await self._check(rank)
        self._metrics.duplicate_process_checks.inc({"outcome": str(outcome)})

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
        """Writes this process to the row.

        If the process that the row names is running, it detects the change.
        """
        if await write_process(self._platform, attrs.evolve(row, rank=rank)):
            self._registered = True
            return CheckOutcome.REGISTERED
        return CheckOutcome.UNANSWERED


@contextlib.asynccontextmanager
async def open_duplicate_process_check(
    check: DuplicateProcessCheck,
) -> AsyncIterator[DuplicateProcessCheck]:
    """Checks the row until closed."""
    task = asyncio.get_running_loop().create_task(check.run())
    try:
        yield check
    finally:
        task.cancel()
