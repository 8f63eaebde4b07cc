"""Steps that kill, freeze and start nodes as processes."""

import signal
import socket
import time
import uuid

import attrs
import orjson
from behave import then, when

from guavawing.membership import (
    Datagram,
    Listeners,
    Member,
    MemberState,
    Notice,
    Push,
)
from guavawing.model import parse_address
from guavawing.node.datagrams import encode_datagram
from guavawing.platform.client import open_platform
from guavawing.platform.seeds import fetch_seeds
from standins.process import Process
from standins.records import count_executions
from tests.support import PUBLISH, set_platform_faults, start_call

POLL_S = 0.1


def pick(context, name):
    return context.fleet.nodes[name]


def start(context, name):
    context.run(context.fleet.start_node(name))
    down(context).discard(name)


@when('node "{name}" is killed')
def kill(context, name):
    context.run(pick(context, name).node.kill())
    down(context).add(name)


def down(context):
    if "down" not in context:
        context.feature.down = getattr(context.feature, "down", set())
        context.down = context.feature.down
    return context.down


def read_members(context):
    """Returns what each running node says of all members, by name."""
    views = {}
    for name, node in context.fleet.nodes.items():
        if name in down(context):
            continue
        status = context.run(context.fleet.get(node.admin, "/status"))
        views[name] = {m["node"]: m for m in status["members"]}
    return views


def is_offered(view, name):
    member = view.get(name, {"serving": False, "state": ""})
    return member["serving"] and member["state"] == "alive"


def wait(context, seconds, holds):
    deadline = time.monotonic() + seconds
    while not holds():
        assert time.monotonic() < deadline, describe(context)
        time.sleep(POLL_S)


def describe(context):
    """Returns whom each running node offers."""
    return {
        viewer: sorted(name for name in view if is_offered(view, name))
        for viewer, view in read_members(context).items()
    }


def wait_not_offered(context, seconds, names):
    def holds():
        views = read_members(context)
        return not any(
            is_offered(view, name)
            for viewer, view in views.items()
            for name in names
            if viewer != name
        )

    wait(context, seconds, holds)


def count_offered(context):
    return {
        sum(is_offered(view, name) for name in view)
        for view in read_members(context).values()
    }


@when('node "{name}" starts again')
def step_start(context, name):
    start(context, name)
    context.run(
        context.fleet.wait_for_http(pick(context, name).admin, "/healthz")
    )


@when('node "{name}" gets SIGSTOP')
def step_freeze(context, name):
    pick(context, name).node.send(signal.SIGSTOP)
    down(context).add(name)


@when('node "{name}" wakes')
def step_wake(context, name):
    pick(context, name).node.send(signal.SIGCONT)
    down(context).discard(name)


@when('node "{name}" has its target {change:w}')
def step_drain(context, name, change):
    method = {"drained": "POST", "undrained": "DELETE"}[change]
    url = f"http://{pick(context, name).admin}/drain"

    async def send():
        async with context.fleet.session.request(method, url) as resp:
            resp.raise_for_status()

    context.run(send())


@when('a broken peer tells "{name}" of a higher incarnation of itself')
def step_tell_higher(context, name):
    node = pick(context, name)
    status = context.run(context.fleet.get(node.admin, "/status"))
    mesh, control, admin = map(
        parse_address, (node.mesh, node.control, node.admin)
    )
    record = Member(
        id=name,
        incarnation=status["incarnation"] + 5_000,
        sequence=0,
        state=MemberState.ALIVE,
        data_centre=node.data_centre,
        region=node.region,
        service=node.service,
        host=mesh.host,
        listeners=Listeners.share(mesh, control, admin),
        slots=0,
        serving=False,
    )
    lie = Datagram("liar", Push(), Notice(0, b""), (record,))
    with socket.socket(type=socket.SOCK_DGRAM) as sock:
        sock.sendto(encode_datagram(lie), (control.host, control.port))


@when('a second process "{name}" starts at other addresses')
def step_second_process(context, name):
    fleet, old = context.fleet, pick(context, name)
    kinds = ("caller", "mesh", "control", "admin")
    taken = {kind: fleet.ports.take() for kind in kinds}
    text = old.settings.read_text().replace(".log\n", "-second.log\n")
    for kind, address in taken.items():
        line = f"{kind} = {getattr(old, kind)}\n"
        assert line in text
        text = text.replace(line, f"{kind} = {address}\n")
    settings = old.settings.with_name(f"{name}-second.ini")
    settings.write_text(text)
    argv = [*old.node.argv[:-1], str(settings)]
    context.first = old
    context.add_cleanup(lambda: context.run(old.node.kill()))
    fleet.nodes[name] = attrs.evolve(
        old, **taken, settings=settings, node=Process(name, argv)
    )
    step_start(context, name)


@then("the first one ends within {seconds:g} s with exit code {code:d}")
def step_first_ends(context, seconds, code):
    assert context.run(context.first.node.wait(seconds)) == code


@then('its log says at level "{level}" that it was replaced')
def step_logged(context, level):
    log = context.first.settings.with_suffix(".log")
    records = map(orjson.loads, log.read_bytes().splitlines())
    found = [r for r in records if r.get("message_type") == "replaced"]
    assert [record["level"] for record in found] == [level], found


@then('{count:d} publishes through "{entry}" have run')
def step_publishes_run(context, count, entry):
    keys = [uuid.uuid4().hex for _ in range(count)]
    futs = [start_call(context, entry, **PUBLISH, key=key) for key in keys]
    verdicts = [(f.result().verdict, f.result().reason) for f in futs]
    assert {verdict for verdict, _ in verdicts} == {"ran"}, verdicts
    executions = context.run(count_executions(context.fleet))
    assert {executions[key] for key in keys} == {1}


@when("the platform is {state}")
def step_platform(context, state):
    set_platform_faults(context, down=state == "down")


@when("half of the nodes are killed")
def step_kill_half(context):
    context.killed = list(context.fleet.nodes)[1::2]
    for name in context.killed:
        kill(context, name)


@when("the killed nodes start again")
def step_start_killed(context):
    for name in context.killed:
        start(context, name)
    for name in context.killed:
        node = pick(context, name)
        context.run(context.fleet.wait_for_http(node.admin, "/healthz"))


@then('within {seconds:g} s no node offers "{name}"')
def step_not_offered(context, seconds, name):
    wait_not_offered(context, seconds, [name])


@then("within {seconds:g} s no node offers the killed ones")
def step_killed_not_offered(context, seconds):
    wait_not_offered(context, seconds, context.killed)


@then("within {seconds:g} s every node offers all {count:d} targets")
def step_offered(context, seconds, count):
    wait(context, seconds, lambda: count_offered(context) == {count})


@then("every node offers all {count:d} targets")
def step_offered_now(context, count):
    assert count_offered(context) == {count}


@then('for {seconds:g} s no node but "{name}" is suspected')
def step_no_suspects(context, seconds, name):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        for view in read_members(context).values():
            for member in view.values():
                if member["node"] != name:
                    assert member["state"] == "alive", view
        time.sleep(POLL_S)


@then("the seed rows of each data centre name {count:d} of its nodes")
def step_rows(context, count):
    async def read():
        address = parse_address(context.fleet.platform)
        async with open_platform(address) as platform:
            return await fetch_seeds(platform)

    nodes = context.fleet.nodes

    def holds():
        rows = context.run(read())
        names = {(row.data_centre, row.member_id) for row in rows}
        wrong = [n for d, n in names if nodes[n].data_centre != d]
        assert not wrong, rows
        return len(names) == count * 2

    wait(context, 60, holds)
