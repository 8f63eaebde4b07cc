"""Steps that look at what the listeners of a node take."""

import asyncio
import gzip
import pathlib

from behave import then, when

from standins.target import make_answer
from tests.support import PUBLISH, send

SETTLE_S = 0.5
TCP_LISTEN = "0A"


@when('a caller sends "{service}" a compressed body through "{node}"')
def step_compressed(context, service, node):
    context.body = b"running order " * 200
    send(
        context,
        node,
        **PUBLISH | {"service": service, "body": gzip.compress(context.body)},
        headers={"Content-Encoding": "gzip"},
    )


@then("the target has decompressed exactly what the caller compressed")
def step_bytes(context):
    assert context.outcome.verdict == "ran", context.outcome
    expected = make_answer(b"/bulletins" + context.body, 64)
    assert context.outcome.body == expected, context.outcome


@when('{count:d} connections are opened to the "{kind}" address of "{node}"')
def step_connect(context, count, kind, node):
    host, _, port = getattr(context.fleet.nodes[node], kind).rpartition(":")

    async def connect():
        pairs = []
        for _ in range(count):
            pairs.append(await asyncio.open_connection(host, int(port)))
        await asyncio.sleep(SETTLE_S)
        return pairs

    context.pairs = context.run(connect())


@then("at most {count:d} of them stay open")
def step_stay_open(context, count):
    async def count_open():
        still = 0
        for reader, _ in context.pairs:
            try:
                async with asyncio.timeout(0.01):
                    closed = await reader.read(1) == b""
            except TimeoutError:
                closed = False
            except ConnectionError:
                closed = True
            still += not closed
        for _, writer in context.pairs:
            writer.close()
        return still

    still = context.run(count_open())
    assert 0 < still <= count, still


@then('"{one}" and "{other}" still answer "{path}"')
def step_still_answer(context, one, other, path):
    context.run(asyncio.sleep(SETTLE_S))
    for name in (one, other):
        context.run(context.fleet.get(context.fleet.nodes[name].admin, path))


@then('"{name}" listens at exactly its addresses')
def step_listens(context, name):
    node = context.fleet.nodes[name]
    pid = node.node.proc.pid
    inodes = set()
    for entry in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        link = str(entry.readlink())
        if link.startswith("socket:["):
            inodes.add(link[8:-1])
    found = read_ports(pid, "tcp", inodes, TCP_LISTEN)
    expected = {
        int(address.rpartition(":")[2])
        for address in (node.caller, node.mesh, node.control, node.admin)
    }
    assert found == expected, (found, expected)
    udp = read_ports(pid, "udp", inodes, None)
    assert udp == {int(node.control.rpartition(":")[2])}, udp


def read_ports(pid, protocol, inodes, state):
    """Reads the local ports of a process' sockets."""
    ports = set()
    for family in (protocol, f"{protocol}6"):
        lines = pathlib.Path(f"/proc/{pid}/net/{family}").read_text()
        for line in lines.splitlines()[1:]:
            fields = line.split()
            if fields[9] in inodes and state in (None, fields[3]):
                ports.add(int(fields[1].rpartition(":")[2], 16))
    return ports
