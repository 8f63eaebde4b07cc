"""Steps about the connections and bodies that a node's listeners accept."""

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
    options = {"service": service, "body": gzip.compress(context.body)}
    headers = {"Content-Encoding": "gzip"}
    send(context, node, **PUBLISH | options, headers=headers)


@then("the target has decompressed exactly what the caller compressed")
def step_decompressed(context):
    assert context.outcome.verdict == "ran", context.outcome
    expected = make_answer(b"/bulletins" + context.body, 64)
    assert context.outcome.body == expected, context.outcome


@when(
    '{count:d} connections are opened to the admin address of "{node}", and'
    " at most {most:d} stay open"
)
def step_connect(context, count, most, node):
    host, port = context.fleet.nodes[node].admin.split(":")

    async def connect():
        pairs = [
            await asyncio.open_connection(host, port) for _ in range(count)
        ]
        await asyncio.sleep(SETTLE_S)
        are_open = [await is_open(reader) for reader, _ in pairs]
        for _, writer in pairs:
            writer.close()
        await asyncio.sleep(SETTLE_S)
        return are_open.count(True)

    open_count = context.run(connect())
    assert 0 < open_count <= most, open_count


async def is_open(reader):
    try:
        async with asyncio.timeout(0.01):
            return await reader.read(1) != b""
    except TimeoutError:
        return True
    except ConnectionError:
        return False


@then('"{name}" listens at exactly its addresses')
def step_listens(context, name):
    node = context.fleet.nodes[name]
    pid = node.node.proc.pid
    expected = {
        int(address.rpartition(":")[2])
        for address in (node.caller, node.mesh, node.control, node.admin)
    }
    found = read_ports(pid, "tcp", TCP_LISTEN)
    assert found == expected, (found, expected)
    udp = read_ports(pid, "udp")
    assert udp == {int(node.control.rpartition(":")[2])}, udp


def read_ports(pid, protocol, state=None):
    """Returns the local ports of the sockets of a process."""
    process = pathlib.Path(f"/proc/{pid}")
    links = {str(entry.readlink()) for entry in (process / "fd").iterdir()}
    lines = [
        line.split()
        for family in (protocol, f"{protocol}6")
        for line in (process / "net" / family).read_text().splitlines()[1:]
    ]
    return {
        int(fields[1].rpartition(":")[2], 16)
        for fields in lines
        if f"socket:[{fields[9]}]" in links and state in (None, fields[3])
    }
