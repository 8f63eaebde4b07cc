"""Steps that cut data centres off, stop processes and watch versions."""

import asyncio
import contextlib
import itertools
import signal

import aiohttp
import attrs
from behave import given, then, when

from bench.gossip_driver import make_member
from guavawing.membership import Datagram, Listeners, Notice, Push
from guavawing.model import parse_address
from guavawing.node.datagrams import encode_datagram
from standins.caller import send_call


def split(names):
    return [name.strip() for name in names.split(",")]


@when('"{zone}" is cut in {way} from "{others}"')
def step_cut_zone(context, zone, way, others):
    relay = context.fleet.relay
    for other in split(others):
        match way:
            case "both directions":
                relay.cut_both(zone, other)
            case "what it sends":
                relay.cut(zone, other)
            case "what it hears":
                relay.cut(other, zone)
            case _:
                raise AssertionError(way)


@then('the nodes {place} "{zone}" enforce the {version} version within 19 s')
def step_place_in_force(context, place, zone, version):
    fleet = context.fleet
    names = [
        name
        for name, node in fleet.nodes.items()
        if (node.data_centre == zone) == (place == "in")
    ]
    number = context.version - (version == "previous")
    behind = context.run(fleet.wait_for_version(number, names))
    assert not behind, behind
    if version == "previous":
        found = context.run(read_versions(fleet, names))
        assert set(found.values()) == {number}, found


async def read_versions(fleet, names):
    return {
        name: (await fleet.get(fleet.nodes[name].admin, "/status"))["version"]
        for name in names
    }


@then('a read of "{service}" through "{name}" is served')
def step_read_served(context, service, name):
    node = context.fleet.nodes[name]
    outcome = context.run(
        send_call(
            context.fleet.session,
            node.caller,
            service=service,
            path="/packages/1",
        )
    )
    assert outcome.verdict == "ran", outcome


def find_process(context, name):
    if name == "platform":
        return context.fleet.platform_process
    return context.fleet.nodes[name].node


@when('the process of "{name}" is sent {sig}')
def step_signal(context, name, sig):
    process = find_process(context, name)
    process.send(signal.Signals[sig])


@when('the process of "{name}" is killed and started again')
def step_restart(context, name):
    fleet = context.fleet
    node = fleet.nodes[name]
    context.run(node.node.kill())
    context.run(fleet.start_node(name))
    context.run(fleet.wait_for_http(node.admin, "/healthz"))


@then('"{name}" enforces the newest version within 19 s')
def step_node_in_force(context, name):
    behind = context.run(
        context.fleet.wait_for_version(context.version, [name])
    )
    assert not behind, behind


@then("one node enforces the newest version within 19 s")
def step_one_in_force(context):
    fleet = context.fleet

    async def wait():
        waits = [
            asyncio.ensure_future(
                fleet.wait_for_version(context.version, [name])
            )
            for name in fleet.nodes
        ]
        done, rest = await asyncio.wait(
            waits, return_when=asyncio.FIRST_COMPLETED
        )
        for each in rest:
            each.cancel()
        return [each.result() for each in done]

    assert [] in context.run(wait())


@given("the versions of all nodes are watched")
def step_watch(context):
    context.seen = {}
    context.falls = []
    context.rounds = 0
    task = asyncio.run_coroutine_threadsafe(watch(context), context.loop)
    context.add_cleanup(task.cancel)
    context.run(wait_rounds(context, 1))
    assert_all_seen(context)


async def watch(context):
    """Reads versions until cancelled; a stopped process is left out."""
    fleet = context.fleet
    timeout = aiohttp.ClientTimeout(total=0.3)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while True:
            for node in fleet.nodes.values():
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    url = f"http://{node.admin}/status"
                    async with session.get(url) as resp:
                        take_status(context, await resp.json())
            context.rounds += 1
            await asyncio.sleep(0.05)


async def wait_rounds(context, count):
    """Waits until the watch has gone through all nodes COUNT more times."""
    wanted = context.rounds + count
    while context.rounds < wanted:
        await asyncio.sleep(0.02)


def assert_all_seen(context):
    assert len(context.seen) == len(context.fleet.nodes), context.seen


@when("a member that never answers floods every node with false notices")
def step_flood(context):
    task = asyncio.run_coroutine_threadsafe(flood(context.fleet), context.loop)
    context.add_cleanup(task.cancel)


async def flood(fleet):
    """Sends false notices from a member that accepts and stays silent."""
    host, port = "127.0.0.1", int(fleet.ports.take().rpartition(":")[2])
    silent = await asyncio.start_server(
        lambda _reader, _writer: None, host, port
    )
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        asyncio.DatagramProtocol, local_addr=(host, port)
    )
    try:
        for turn in itertools.count(1):
            for node in fleet.nodes.values():
                payload = make_lie(f"{host}:{port}", turn)
                address = parse_address(node.control)
                transport.sendto(payload, (address.host, address.port))
            await asyncio.sleep(0.02)
    finally:
        transport.close()
        silent.close()


def make_lie(address, turn):
    """Returns a datagram that announces a version which does not exist."""
    place = parse_address(address)
    liar = attrs.evolve(
        make_member("liar", 1, service="feed", serving=False),
        sequence=turn,
        slots=0,
        host=place.host,
        listeners=Listeners.share(place, place, place),
    )
    notice = Notice(100 + turn, turn.to_bytes(32))
    return encode_datagram(Datagram("liar", Push(), notice, (liar,)))


def take_status(context, status):
    name, number = status["node"], status["version"]
    seen = context.seen.setdefault(name, [])
    if number == 0:
        # A process that has just started enforces nothing yet.
        return
    if seen and number < seen[-1]:
        context.falls.append((name, seen[-1], number))
    seen.append(number)


@then("no version was seen to fall")
def step_no_fall(context):
    # The round that runs now began before the last event: one more whole
    # round after it reads every node once all has happened.
    context.run(wait_rounds(context, 2))
    assert_all_seen(context)
    assert not context.falls, context.falls
