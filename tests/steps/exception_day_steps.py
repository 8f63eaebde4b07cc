"""Steps that change the date at a node's distributor."""

import asyncio
import datetime

import attrs
from behave import given, then

from guavawing.membership import MemberTable
from guavawing.node.distributor import Distributor, open_distributor
from guavawing.node.metrics import Metrics
from guavawing.store import publish_document
from standins.documents import make_exception, make_newsroom_document
from standins.memory_platform import MemoryPlatform, MemoryStore
from tests.fleet_support import wait_until
from tests.support import open_in_scenario

POLL_PERIOD_S = 0.05
START_TIMEOUT_S = 10.0
QUEUE_LIMITS = {
    "exception": 7,
    "default": make_newsroom_document().defaults.queue_limit,
}


class NodePlatform(MemoryPlatform):
    received_bytes = 0


@given("a node that enforces an exception with the last day {day}")
def step_node(context, day):
    context.today = datetime.date.fromisoformat(day)
    entry = make_exception(value=QUEUE_LIMITS["exception"], ends=context.today)
    document = attrs.evolve(
        make_newsroom_document(), exceptions={"archive": entry}
    )
    context.applied = []
    distributor = context.run(make_distributor(context, document))
    context.distributor = distributor
    open_in_scenario(
        context, open_distributor(distributor, poll_period_s=POLL_PERIOD_S)
    )
    wait_until(START_TIMEOUT_S, lambda: distributor.current.number)


async def make_distributor(context, document):
    platform = NodePlatform(MemoryStore())
    await publish_document(
        platform, document, change_id="first", base_version=0, author="tests"
    )
    distributor = Distributor(
        platform=platform,
        table=MemberTable(),
        node_id="desk-1",
        data_centre="bergen",
        source="127.0.0.1",
        metrics=Metrics(),
        read_today=lambda: context.today,
    )
    distributor.add_listener(context.applied.append)
    return distributor


@then("on {day} the {which:w} applies at the node")
def step_applies(context, day, which):
    context.today = datetime.date.fromisoformat(day)
    context.loop.call_soon_threadsafe(context.distributor.apply_current_date)
    context.run(asyncio.sleep(0))
    found = context.distributor.policies().get_queue_limit("desk")
    assert found == QUEUE_LIMITS[which], found


@then("the limits of the target were applied again once")
def step_applied_again(context):
    assert [version.number for version in context.applied] == [1, 1]
