"""Steps that kill, pause and start processes of nodes."""

import asyncio
import signal
import socket
import time
import uuid

import attrs
from behave import given, step, then, when

from guavawing.membership import Notice
from guavawing.model import parse_address
from guavawing.store.client import open_platform
from guavawing.store.seeds import fetch_seeds
from standins.process import Process
from tests.fleet_support import (
    POLL_S,
    check_executions,
    encode_false_datagram,
    read_admin,
    read_log,
    read_statuses,
    send_signal,
    start_nodes,
    wait_until,
)
from tests.support import PUBLISH, set_platform_faults, start_call


@when('node "{name}" is killed')
def step_kill(context, name):
    kill(context, [name])


@when("half of the nodes are killed")
@when('half of the nodes of "{data_centre}" are killed')
def step_kill_half(context, data_centre=""):
    names = [
        name
        for name, node in context.fleet.nodes.items()
        if data_centre in ("", node.data_centre)
    ]
    context.killed = names[1::2]
    kill(context, context.killed)


def kill(context, names):
    for name in names:
        context.run(context.fleet.nodes[name].node.kill())
        context.down.add(name)


@step('node "{name}" starts again')
def step_start(context, name):
    start_nodes(context, [name])


@step('node "{name}" starts again and is ready')
def step_start_until_ready(context, name):
    start_nodes(context, [name], "/readyz")


@when("the killed nodes start again")
def step_start_killed(context):
    start_nodes(context, context.killed)


@step('node "{name}" gets {sig:w}')
@when('node "{name}" is resumed')
def step_signal(context, name, sig="SIGCONT"):
    send_signal(context, name, sig)


@when("the platform gets {sig:w}")
def step_signal_platform(context, sig):
    context.fleet.platform_process.send(signal.Signals[sig])


@given('the target of "{name}" is frozen')
def step_freeze_target(context, name):
    process = context.fleet.nodes[name].target_process
    process.send(signal.SIGSTOP)
    context.add_cleanup(process.send, signal.SIGCONT)


@when("{seconds:g} s elapse")
def step_elapse(context, seconds):
    context.run(asyncio.sleep(seconds))


@when('the target of node "{name}" is {change:w}')
def step_drain(context, name, change):
    method = {"drained": "POST", "undrained": "DELETE"}[change]
    url = f"http://{context.fleet.nodes[name].admin}/drain"

    async def send():
        async with context.fleet.session.request(method, url) as resp:
            resp.raise_for_status()

    context.run(send())


@when('a faulty peer sends "{name}" a record of a higher incarnation of itself')
def step_send_higher_incarnation(context, name):
    node = context.fleet.nodes[name]
    addresses = {
        kind: parse_address(getattr(node, kind))
        for kind in ("mesh", "control", "admin")
    }
    datagram = encode_false_datagram(
        name,
        Notice(0, b""),
        addresses,
        incarnation=read_admin(context, name)["incarnation"] + 5_000,
        data_centre=node.data_centre,
        service=node.service,
    )
    control = addresses["control"]
    with socket.socket(type=socket.SOCK_DGRAM) as sock:
        sock.sendto(datagram, (control.host, control.port))


@when('a second process "{name}" starts at other addresses')
def step_second_process(context, name):
    fleet = context.fleet
    old = fleet.nodes[name]
    kinds = ("caller", "mesh", "control", "admin")
    addresses = {kind: fleet.ports.allocate() for kind in kinds}
    text = old.settings.read_text().replace(".log\n", "-second.log\n")
    for kind, address in addresses.items():
        line = f"{kind} = {getattr(old, kind)}\n"
        assert line in text
        text = text.replace(line, f"{kind} = {address}\n")
    settings = old.settings.with_name(f"{name}-second.ini")
    settings.write_text(text)
    argv = [*old.node.argv[:-1], str(settings)]
    context.first = old
    context.add_cleanup(lambda: context.run(old.node.kill()))
    fleet.nodes[name] = attrs.evolve(
        old, **addresses, settings=settings, node=Process(name, argv)
    )
    step_start(context, name)


@then("the first process exits within {seconds:g} s with code {code:d}")
def step_first_exits(context, seconds, code):
    assert context.run(context.first.node.wait(seconds)) == code


@then('its log records at level "{level}" that it was replaced')
def step_logged(context, level):
    records = read_log(context.first.settings.with_suffix(".log"))
    found = [r for r in records if r.get("message_type") == "replaced"]
    assert [record["level"] for record in found] == [level], found


@then('{count:d} publishes through "{entry}" have run')
def step_publishes_run(context, count, entry):
    keys = [uuid.uuid4().hex for _ in range(count)]
    futs = [start_call(context, entry, **PUBLISH, key=key) for key in keys]
    verdicts = [(f.result().verdict, f.result().reason) for f in futs]
    assert {verdict for verdict, _ in verdicts} == {"ran"}, verdicts
    check_executions(context, keys, 1)


@step("the platform is {state:w}")
def step_platform(context, state):
    set_platform_faults(context, down=state == "down")
    context.add_cleanup(set_platform_faults, context)


def read_members(context):
    """Returns the members by name, as each running node lists them."""
    return {
        viewer: {member["node"]: member for member in status["members"]}
        for viewer, status in read_statuses(context).items()
    }


def read_available(context):
    """Returns the nodes that each running node lists as available."""
    return {
        viewer: {
            name
            for name, member in view.items()
            if member["serving"] and member["state"] == "alive"
        }
        for viewer, view in read_members(context).items()
    }


def wait_for_available(context, seconds, holds):
    wait_until(
        seconds,
        lambda: holds(read_available(context)),
        lambda: read_available(context),
    )


@then('within {seconds:g} s no node lists "{name}" as available')
@then("within {seconds:g} s no node lists the killed nodes as available")
def step_not_available(context, seconds, name=""):
    names = {name} if name else {*context.killed}

    def holds(available):
        return not any(
            listed & names - {viewer} for viewer, listed in available.items()
        )

    wait_for_available(context, seconds, holds)


@then("every node lists all {count:d} targets as available")
@then(
    "within {seconds:g} s every node lists all {count:d} targets as available"
)
def step_available(context, count, seconds=0):
    def holds(available):
        return {len(listed) for listed in available.values()} == {count}

    wait_for_available(context, seconds, holds)


@then('for {seconds:g} s no node but "{name}" is suspected')
def step_no_suspects(context, seconds, name):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        for view in read_members(context).values():
            states = {m["state"] for m in view.values() if m["node"] != name}
            assert states == {"alive"}, view
        time.sleep(POLL_S)


@then("the seed rows of each data centre name {count:d} of its nodes")
def step_seed_rows(context, count):
    async def read():
        address = parse_address(context.fleet.platform)
        async with open_platform(address) as platform:
            return await fetch_seeds(platform)

    nodes = context.fleet.nodes

    def holds():
        rows = context.run(read())
        names = {(row.data_centre, row.member_id) for row in rows}
        misplaced = [n for d, n in names if nodes[n].data_centre != d]
        assert not misplaced, rows
        return len(names) == count * 2

    wait_until(60, holds)
