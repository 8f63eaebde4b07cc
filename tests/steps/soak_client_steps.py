"""Steps about the clients of the soak test."""

import asyncio
import types

import aiohttp
from behave import given, then, when

from guavawing.model import parse_address
from soak.__main__ import send_request
from standins.ports import PortBlock

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


def make_vm(context):
    ports = PortBlock()
    context.add_cleanup(ports.close)
    address = ports.allocate()
    context.vm = types.SimpleNamespace(url=f"http://{address}")
    return parse_address(address)


def start_server(context, answer):
    address = make_vm(context)

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        writer.close()

    context.run(asyncio.start_server(serve, address.host, address.port))


@given("a VM on which nothing listens")
def step_nothing_listens(context):
    make_vm(context)


@given("a VM that closes connections unanswered")
def step_closes(context):
    start_server(context, b"")


@given("a VM that answers with 200")
def step_answers(context):
    start_server(context, ANSWER)


@when("a client of the soak sends it a request")
def step_send(context):
    async def send():
        async with aiohttp.ClientSession() as http:
            return await send_request(http, context.vm, "safe", "/x", "r1")

    context.status, _ = context.run(send())


@then("the client records status {status:d}")
def step_status(context, status):
    assert context.status == status, context.status
