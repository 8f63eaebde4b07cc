"""Helpers of the steps about a store that is restored, on a paused clock."""

import asyncio

from guavawing.sidecar.decision_log import DecisionLog
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.sidecar.table_watch import TableWatch
from standins.platform_tables import PlatformTables
from standins.simulated_time_loop import open_simulated_time_loop

TABLE = "op"
PERIOD_S = 0.6
# Time after which watches wait for changes, in seconds.
SETTLED_S = 2.0


def run(context, coroutine):
    return context.paused.run_until_complete(coroutine)


def restore(context):
    context.tables.restore(context.copy)
    for transport in context.transports:
        transport.cut()


def start_clock(context):
    manager = open_simulated_time_loop()
    context.paused = manager.__enter__()
    context.add_cleanup(lambda: manager.__exit__(None, None, None))
    context.tables = PlatformTables()
    context.nodes = {}
    context.transports = []


def make_watch(client, table, on_changes, is_reader):
    return TableWatch(
        client,
        table,
        on_changes=on_changes,
        min_period_s=PERIOD_S,
        is_reader=is_reader,
        on_reachability=lambda _: None,
        log=DecisionLog(node="n1"),
        metrics=SidecarMetrics(),
    )


async def wait_until(holds, seconds, describe):
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + seconds
    while not holds():
        assert loop.time() < ends_at, describe()
        await asyncio.sleep(0.01)
