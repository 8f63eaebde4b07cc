"""Helpers of the steps that work on a fleet of processes."""

import asyncio
import signal
import time

import aiohttp
import attrs
import orjson

from bench.gossip_driver import make_member
from guavawing.membership import Datagram, Listeners, Push
from guavawing.node.datagrams import encode_datagram
from standins.records import count_executions
from tests.support import PUBLISH, send

POLL_S = 0.05
# Characters of a node's log that a failed start prints.
LOG_TAIL_CHARS = 4_000


def wait_until(seconds, holds, describe=lambda: ""):
    """Polls until a condition holds; fails after `seconds`."""
    deadline = time.monotonic() + seconds
    while not holds():
        assert time.monotonic() < deadline, describe()
        time.sleep(POLL_S)


def start_in_scenario(context, coroutine):
    """Starts a coroutine in the background until the scenario ends.

    If it has raised by then, its exception fails the scenario.
    """
    task = asyncio.run_coroutine_threadsafe(coroutine, context.loop)

    def stop():
        if not task.cancel():
            task.result()

    context.add_cleanup(stop)


def read_admin(context, name, path="/status"):
    """Returns the JSON body that a node's admin address responds with."""
    address = context.fleet.nodes[name].admin
    return context.run(context.fleet.get(address, path))


def read_statuses(context):
    """Returns the statuses of the nodes that no step has stopped."""
    running = [n for n in context.fleet.nodes if n not in context.down]
    return {name: read_admin(context, name) for name in running}


def send_signal(context, name, sig):
    """Sends a signal to a node.

    A node that gets SIGSTOP is resumed at the end of the scenario.
    """
    context.fleet.nodes[name].node.send(signal.Signals[sig])
    if sig == "SIGCONT":
        context.down.discard(name)
    else:
        context.down.add(name)
    if sig == "SIGSTOP":
        context.add_cleanup(send_signal, context, name, "SIGCONT")


def start_nodes(context, names, path="/healthz"):
    """Starts the processes of nodes and waits for responses to `path`."""
    fleet = context.fleet
    for name in names:
        context.run(fleet.start_node(name))
        context.down.discard(name)
    for name in names:
        node = fleet.nodes[name]
        try:
            context.run(fleet.wait_for_http(node.admin, path))
        except aiohttp.ClientError as exc:
            log = fleet.get_log_path(node, "node").read_text()[-LOG_TAIL_CHARS:]
            code = node.node.proc.returncode
            raise AssertionError(f"{name}: exit code {code}\n{log}") from exc


def send_keyed(context, node, key, **options):
    """Sends a call with a key, by which later steps count executions."""
    context.keys = [key]
    send(context, node, **PUBLISH | options, key=key)


def check_executions(context, keys, times):
    """Checks how often the targets have executed each key."""
    executions = context.run(count_executions(context.fleet))
    counts = {key: executions[key] for key in keys}
    assert set(counts.values()) == {times}, counts


def read_log(path):
    """Returns the records of a log."""
    return [orjson.loads(line) for line in path.read_bytes().splitlines()]


def encode_false_datagram(name, notice, addresses, **fields):
    """Returns a datagram with a false member record and a version notice."""
    member = make_member(name, 1, serving=False)
    addressing = {
        "host": addresses["mesh"].host,
        "listeners": Listeners.share(**addresses),
    }
    record = attrs.evolve(member, slots=0, **addressing, **fields)
    return encode_datagram(Datagram("false-member", Push(), notice, (record,)))
