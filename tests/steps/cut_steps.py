"""Steps that cut data centres off and watch versions."""

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


@when('"{zone}" is cut in {way} from "{others}"')
def step_cut_zone(context, zone, way, others):
    relay = context.fleet.relay
    cut = {
        "both directions": relay.cut_both,
        "what it sends": relay.cut,
        "what it hears": lambda zone, other: relay.cut(other, zone),
    }[way]
    for other in others.split(", "):
        cut(zone, other)


@when("every cut is healed")
def step_heal(context):
    context.fleet.relay.heal()


@given("the versions of all nodes are watched")
def step_watch(context):
    context.seen = collections.defaultdict(list)
    context.rounds = 0
    start_in_scenario(context, watch(context))
    wait_until(19, lambda: len(context.seen) == len(context.fleet.nodes))


async def watch(context):
    """Reads versions until cancelled; a stopped process is left out."""
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
    """Waits until the watch has gone through all nodes COUNT more times."""
    wanted = context.rounds + count
    while context.rounds < wanted:
        await asyncio.sleep(0.02)


def assert_all_seen(context):
    assert len(context.seen) == len(context.fleet.nodes), context.seen


@then("no version was seen to fall")
def step_no_fall(context):
    # The round that runs now began before the last event: one more whole
    # round after it reads every node once all has happened.
    context.run(wait_rounds(context, 2))
    assert_all_seen(context)
    for name, versions in context.seen.items():
        # A process that has just started enforces nothing yet.
        enforced = [version for version in versions if version]
        assert enforced == sorted(enforced), (name, enforced)


@when("a member that never answers floods every node with false notices")
def step_flood(context):
    start_in_scenario(context, flood(context.fleet))


async def flood(fleet):
    """Sends false notices from a member that accepts and stays silent."""
    address = parse_address(fleet.ports.take())
    addresses = dict.fromkeys(("mesh", "control", "admin"), address)
    place = (address.host, address.port)
    with (
        socket.create_server(place),
        socket.socket(type=socket.SOCK_DGRAM) as sender,
    ):
        sender.bind(place)
        for turn in itertools.count(1):
            # No version has this number.
            notice = Notice(100 + turn, turn.to_bytes(32))
            lie = encode_false_datagram(
                "liar", notice, addresses, service="feed", sequence=turn
            )
            for node in fleet.nodes.values():
                to = parse_address(node.control)
                sender.sendto(lie, (to.host, to.port))
            await asyncio.sleep(0.02)
