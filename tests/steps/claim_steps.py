"""Steps that remove old claims."""

import asyncio
import time

from behave import given, then, when

from guavawing.store.claims import BOUND_AT, TABLE, remove_claims
from guavawing.store.client import Write
from standins.memory_platform import MemoryPlatform, MemoryStore

SECONDS_PER_DAY = 86_400


class RacingPlatform(MemoryPlatform):
    """Binds one claim again after the first page has been read."""

    bound_again = False

    async def scan_rows(self, table, **options):
        rows = await super().scan_rows(table, **options)
        if not self.bound_again:
            self.bound_again = True
            put_claim(self._store, rows[0].key, time.time())
        return rows


def put_claim(store, name, bound_at):
    value = {"key": f"gw1~desk-1~1~0~{name}", BOUND_AT: int(bound_at)}
    assert store.transact((Write(TABLE, name, value, None),))


@given("{old:d} claims bound 8 days ago and {new:d} bound an hour ago")
def step_claims(context, old, new):
    context.store = MemoryStore()
    now = time.time()
    for number in range(old):
        put_claim(context.store, f"{number:04}", now - 8 * SECONDS_PER_DAY)
    for number in range(old, old + new):
        put_claim(context.store, f"{number:04}", now - 3600)
    context.store.writes = 0


@when("claims older than {days:d} days are removed")
@when("claims older than {days:d} days are removed while {race}")
def step_remove(context, days, race=""):
    platform = (RacingPlatform if race else MemoryPlatform)(context.store)
    before = time.time() - days * SECONDS_PER_DAY

    async def remove():
        async for _ in remove_claims(platform, bound_before_s=before):
            pass

    asyncio.run(remove())


@then("{count:d} of the old claims and the newer ones are left")
def step_partly_removed(context, count):
    # The transaction that contained the row bound again removed nothing.
    left = context.store.tables[TABLE]
    assert len(left) == count + 3, len(left)
    assert "0000" in left


@then("{count:d} claims are left")
def step_left(context, count):
    left = sorted(context.store.tables[TABLE])
    assert left == ["0000", "0450", "0451", "0452"], left
    assert len(left) == count


@then("removing {count:d} claims took at most {writes:d} writes")
def step_writes(context, count, writes):
    assert context.store.writes <= writes, context.store.writes
