"""Steps that cut data centres off and monitor versions."""

import asyncio
import collections
import contextlib
import itertools
import socket

import aiohttp
from behave import given, then, when

from guavawing.membership import Notice
from guavawing.model import parse_address
from tests.fleet_support import (
    encode_false_datagram,
    start_in_scenario,
    wait_until,
)


@when('"{data_centre}" is cut in {way} from "{others}"')
def step_cut(context, data_centre, way, others):
    relay = context.fleet.relay
    cut = {
        "both directions": relay.cut_both,
        "the outbound direction": relay.cut,
        "the inbound direction": lambda name, other: relay.cut(other, name),
    }[way]
    for other in others.split(", "):
        cut(data_centre, other)


@when("every cut is healed")
def step_heal(context):
    context.fleet.relay.heal()


@given("the versions of all nodes are monitored")
def step_monitor(context):
    context.seen = collections.defaultdict(list)
    context.rounds = 0
    start_in_scenario(context, monitor_versions(context))
    wait_until(19, lambda: len(context.seen) == len(context.fleet.nodes))


async def monitor_versions(context):
    """Reads versions until cancelled; skips nodes that do not answer."""
    timeout = aiohttp.ClientTimeout(total=0.3)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while True:
            for node in context.fleet.nodes.values():
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    url = f"http://{node.admin}/status"
                    async with session.get(url) as resp:
                        status = await resp.json()
                    context.seen[status["node"]].append(status["version"])
            context.rounds += 1
            await asyncio.sleep(0.05)


async def wait_rounds(context, count):
    """Waits until all nodes have been read `count` more times."""
    wanted = context.rounds + count
    while context.rounds < wanted:
        await asyncio.sleep(0.02)


def assert_all_seen(context):
    assert len(context.seen) == len(context.fleet.nodes), context.seen


@then("no node's version was seen to decrease")
def step_no_decrease(context):
    # The current round began before the last event; the complete round after
    # it reads every node after that event.
    context.run(wait_rounds(context, 2))
    assert_all_seen(context)
    for name, versions in context.seen.items():
        # A process that has just started enforces no version yet.
        enforced = [version for version in versions if version]
        assert enforced == sorted(enforced), (name, enforced)


@when("a member that never answers floods every node with false notices")
def step_flood(context):
    start_in_scenario(context, flood(context.fleet))


async def flood(fleet):
    """Sends false notices of a member that accepts connections only."""
    address = parse_address(fleet.ports.allocate())
    addresses = dict.fromkeys(("mesh", "control", "admin"), address)
    place = (address.host, address.port)
    with (
        socket.create_server(place),
        socket.socket(type=socket.SOCK_DGRAM) as sender,
    ):
        sender.bind(place)
        for number in itertools.count(1):
            # No version with this number exists.
            notice = Notice(100 + number, number.to_bytes(32))
            datagram = encode_false_datagram(
                "false-member",
                notice,
                addresses,
                service="feed",
                sequence=number,
            )
            for node in fleet.nodes.values():
                to = parse_address(node.control)
                sender.sendto(datagram, (to.host, to.port))
            await asyncio.sleep(0.02)
