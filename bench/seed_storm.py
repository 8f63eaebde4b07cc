"""Measures the platform load while many nodes start at the same time.

The production joiner and poll schedule run on an event loop whose clock jumps
to the next timer. The platform is an in-memory table that counts requests by
second. No node has a version; the platform may have one.
"""

import asyncio
import collections
import random
from collections.abc import Iterable, Sequence

import attrs

from bench.gossip_driver import make_member
from guavawing.distribution import PollSchedule
from guavawing.errors import TransactionRefusedError
from guavawing.membership import MemberTable
from guavawing.model import Address
from guavawing.node.joiner import Joiner
from guavawing.store.client import Row, Write
from standins.simulated_time_loop import open_simulated_time_loop

__all__ = ["StormLoad", "measure_storm"]

DURATION_S = 75.0
REPLY_S = 0.01
POLL_PERIOD_S = 1.0


@attrs.frozen
class StormLoad:
    """Peak number of requests in one second.

    Attributes:
        reads: Reads of seed rows.
        all_reads: Reads of seed rows, the head and objects together.
        writes: Writes, including refused ones.
        rows: Seed rows at the end.
    """

    reads: int
    all_reads: int
    writes: int
    rows: int


class _CountingPlatform:
    def __init__(self, *, published: bool) -> None:
        self.published = published
        self.reads: collections.Counter[int] = collections.Counter()
        self.other_reads: collections.Counter[int] = collections.Counter()
        self.writes: collections.Counter[int] = collections.Counter()
        self.rows: dict[str, Row] = {}

    async def scan_rows(self, table: str) -> list[Row]:
        del table
        self.reads[_second()] += 1
        await asyncio.sleep(REPLY_S)
        return list(self.rows.values())

    async def read_version(self, *, known: bool) -> bool:
        """Reads the head, and the object if the version is not known."""
        self.other_reads[_second()] += 1
        await asyncio.sleep(REPLY_S)
        if self.published and not known:
            self.other_reads[_second()] += 1
            await asyncio.sleep(REPLY_S)
        return self.published

    async def transact(self, writes: Sequence[Write]) -> int:
        self.writes[_second()] += 1
        await asyncio.sleep(REPLY_S)
        for write in writes:
            row = self.rows.get(write.key)
            revision = 0 if row is None else row.revision
            if revision != write.expected_revision:
                raise TransactionRefusedError("another revision")
            self.rows[write.key] = Row(write.key, write.value, revision + 1)
        return revision + 1


class _Starter:
    """Stands in for the membership state machine that a joiner uses.

    With `everyone` it has joined, and its table holds all members, as soon as
    it has read a contact. Without it no peer ever answers.
    """

    def __init__(
        self, name: str, centre: str, everyone: MemberTable | None
    ) -> None:
        self.me = make_member(name, 1, data_centre=centre)
        self.joined = False
        self._everyone = everyone
        self._alone = MemberTable()
        self._alone.merge(self.me)
        if everyone is not None:
            everyone.merge(self.me)

    @property
    def table(self) -> MemberTable:
        everyone = self._everyone
        return everyone if everyone and self.joined else self._alone

    def add_contacts(self, centre: str, contacts: Iterable[Address]) -> None:
        own = centre == self.me.data_centre and bool(contacts)
        if own and self._everyone is not None:
            self.joined = True


async def _poll(
    platform: _CountingPlatform, joiner: Joiner, starter: _Starter, seed: float
) -> None:
    """Polls the head on the schedule of a node's distributor."""
    loop = asyncio.get_running_loop()
    schedule = PollSchedule(
        random.Random(seed), period_s=POLL_PERIOD_S, now=loop.time()
    )
    has_version = False
    while True:
        await asyncio.sleep(schedule.draw_interval())
        live = len(starter.table.members_in(starter.me.data_centre))
        due = schedule.is_due(
            now=loop.time(),
            live_nodes=live,
            has_version=has_version,
            awaits_members=joiner.expects_peers and live == 1,
        )
        if due:
            has_version = await platform.read_version(known=has_version)


def _second() -> int:
    return int(asyncio.get_running_loop().time())


async def _run(
    nodes: int, centres: int, answered: bool, published: bool, seed: int
) -> StormLoad:
    platform = _CountingPlatform(published=published)
    rng = random.Random(seed)
    poll_rng = random.Random(seed + 1)
    everyone = MemberTable() if answered else None
    tasks = []
    for number in range(nodes):
        starter = _Starter(f"n{number}", f"c{number % centres}", everyone)
        joiner = Joiner(platform, starter, random.Random(rng.random()))
        poll = _poll(platform, joiner, starter, poll_rng.random())
        tasks += map(asyncio.ensure_future, (joiner.run(), poll))
    await asyncio.sleep(DURATION_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return StormLoad(
        max(platform.reads.values()),
        max((platform.reads + platform.other_reads).values()),
        max(platform.writes.values()),
        len(platform.rows),
    )


def measure_storm(
    nodes: int,
    *,
    centres: int,
    answered: bool,
    published: bool = False,
    seed: int,
) -> StormLoad:
    """Returns the platform load of nodes that start together.

    Args:
        nodes: Number of nodes that start.
        centres: Number of data centres with these nodes.
        answered: Whether a node has joined once it has read a contact.
        published: Whether the platform has a version.
        seed: Seed of the jitter.
    """
    with open_simulated_time_loop() as loop:
        return loop.run_until_complete(
            _run(nodes, centres, answered, published, seed)
        )
