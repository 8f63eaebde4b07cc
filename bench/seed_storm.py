"""Counts the platform's load while many nodes start at the same moment.

The real joiner runs on a loop whose clock jumps to the next timer. The
platform is a table in memory that counts requests by second.
"""

import asyncio
import collections
import random
from collections.abc import Iterable, Sequence

import attrs

from bench.gossip_driver import make_member
from guavawing.membership import MemberTable
from guavawing.model import Address
from guavawing.node.joiner import Joiner
from guavawing.platform.client import Row, TransactionRefusedError, Write

__all__ = ["StormLoad", "measure_storm"]

DURATION_S = 45.0
REPLY_S = 0.01


@attrs.frozen
class StormLoad:
    """Most reads and writes (refused ones too) in one second."""

    reads: int
    writes: int
    rows: int


class _JumpingLoop(asyncio.SelectorEventLoop):
    """An event loop whose time is that of the next timer."""

    def __init__(self) -> None:
        self._now = 0.0
        super().__init__()

    def time(self) -> float:
        return self._now

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:
            self._now = max(self._now, self._scheduled[0]._when)
        super()._run_once()


class _CountingPlatform:
    def __init__(self) -> None:
        self.reads: collections.Counter[int] = collections.Counter()
        self.writes: collections.Counter[int] = collections.Counter()
        self.rows: dict[str, Row] = {}

    async def scan_rows(self, table: str) -> list[Row]:
        del table
        self.reads[_second()] += 1
        await asyncio.sleep(REPLY_S)
        return list(self.rows.values())

    async def transact(self, writes: Sequence[Write]) -> None:
        self.writes[_second()] += 1
        await asyncio.sleep(REPLY_S)
        for write in writes:
            row = self.rows.get(write.key)
            revision = 0 if row is None else row.revision
            if revision != write.expected_revision:
                raise TransactionRefusedError("another revision")
            self.rows[write.key] = Row(write.key, write.value, revision + 1)


class _Starter:
    """What a joiner asks of a machine.

    With `everyone` it has joined, and knows them all, as soon as it has read
    a contact. Without it it meets nobody.
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


def _second() -> int:
    return int(asyncio.get_running_loop().time())


async def _run(
    nodes: int, centres: int, answered: bool, seed: int
) -> StormLoad:
    platform = _CountingPlatform()
    rng = random.Random(seed)
    everyone = MemberTable() if answered else None
    tasks = []
    for number in range(nodes):
        starter = _Starter(f"n{number}", f"c{number % centres}", everyone)
        joiner = Joiner(platform, starter, random.Random(rng.random()))
        tasks.append(asyncio.ensure_future(joiner.run()))
    await asyncio.sleep(DURATION_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return StormLoad(
        max(platform.reads.values()),
        max(platform.writes.values()),
        len(platform.rows),
    )


def measure_storm(
    nodes: int, *, centres: int, answered: bool, seed: int
) -> StormLoad:
    """Returns the platform's load of `nodes` that start together.

    Args:
        nodes: How many start.
        centres: Data centres that they are spread over.
        answered: Whether a node has joined once it has read a contact.
        seed: Seed of the jitter.
    """
    loop = _JumpingLoop()
    try:
        return loop.run_until_complete(_run(nodes, centres, answered, seed))
    finally:
        loop.close()
