"""Steps about requests that come late in a planned stop."""

import asyncio
import collections
import signal
import socket

from behave import given, then, when

from standins.vm_fleet import HOST_NAME, OUTBOUND, make_document
from tests.sidecar_support import (
    DEADLINE_MS,
    find_executions,
    find_vm,
    send_request,
    start_request,
    wait_for,
)

MAX_HEAD_BYTES = 65_536
READ_BUFFER_BYTES = 65_536
SEGMENT_BYTES = 1_460
# Rounds of requests until each target has got one.
MAX_ROUNDS = 20
# Time in which a version comes into force, or an execution begins, in seconds.
START_S = 5.0


@given('each target of "{service}" has executed {method:w} "{path}"')
def step_executed(context, service, method, path):
    vms = [vm for vm in context.vms.vms.values() if vm.service == service]

    async def send():
        for _ in range(MAX_ROUNDS):
            if all(vm.target.executions for vm in vms):
                return
            calls = [
                send_request(context, vm, path, method=method) for vm in vms
            ]
            answers = await asyncio.gather(*calls)
            assert {status for status, _, _ in answers} == {200}, answers
        raise AssertionError([len(vm.target.executions) for vm in vms])

    context.run(send())


@given('clients on "{name}" have sent {method:w} "{path}" {count:d} times')
def step_have_sent(context, name, method, path, count):
    vm = find_vm(context, name)

    async def send():
        for _ in range(count):
            status, *_ = await send_request(context, vm, path, method=method)
            assert status == 200, status

    context.run(send())


@when(
    'the daemon of "{first}" is killed {first_s:g} s and that of "{second}"'
    " {second_s:g} s later"
)
def step_kill_later(context, first, first_s, second, second_s):
    async def kill(name, seconds):
        await asyncio.sleep(seconds)
        await find_vm(context, name).process.kill()

    async def start():
        loop = asyncio.get_running_loop()
        context.kills = [
            loop.create_task(kill(first, first_s)),
            loop.create_task(kill(second, second_s)),
        ]

    context.run(start())


@when(
    'a client on "{name}" sends GET "{path}" and reads {size:d} MB in'
    " {seconds:g} s"
)
def step_read_slowly(context, name, path, size, seconds):
    vm = find_vm(context, name)
    lines = (
        f"GET {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nX-Request-Id: slow-1"
        f"\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n\r\n"
    )

    async def read():
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BUFFER_BYTES)
        # The kernel would buffer more of an answer in large segments.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        await loop.sock_connect(sock, (vm.host, OUTBOUND))
        reader, writer = await asyncio.open_connection(sock=sock)
        writer.write(lines.encode())
        context.head = await reader.readuntil(b"\r\n\r\n")
        context.got, began_at = 0, loop.time()
        while piece := await reader.read(READ_BUFFER_BYTES):
            context.got += len(piece)
            due = began_at + seconds * context.got / (size * 1_000_000)
            await asyncio.sleep(max(0.0, due - loop.time()))
        writer.close()

    context.run(read())


@then("that client has got the whole answer")
def step_whole(context):
    assert context.head.startswith(b"HTTP/1.1 200 "), context.head
    assert f"Content-Length: {context.got}\r\n".encode() in context.head, (
        context.got,
        context.head,
    )


@when(
    'clients on "{name}" send {method:w} "{path}" each {period_s:g} s for'
    " {seconds:g} s"
)
def step_send_series(context, name, method, path, period_s, seconds):
    vm = find_vm(context, name)

    async def send():
        loop = asyncio.get_running_loop()
        tasks = {}
        for number in range(int(seconds / period_s)):
            request_id = f"late-{number}"
            call = send_request(
                context, vm, path, method=method, request_id=request_id
            )
            tasks[request_id] = loop.create_task(call)
            await asyncio.sleep(period_s)
        return {each: await task for each, task in tasks.items()}

    context.answers = context.run(send())


@then("each request that was executed was answered with 200")
def step_executed_answered(context):
    cut = {
        request_id: (status, body)
        for request_id, (status, _, body) in context.answers.items()
        if status != 200 and find_executions(context, request_id)
    }
    assert not cut, (cut, summarize(context))


@then("the others got 503 or no connection")
def step_others(context):
    found = {status for status, _, _ in context.answers.values()}
    assert found <= {200, 503, 0}, summarize(context)


@then("some got 200")
def step_some_served(context):
    found = {status for status, _, _ in context.answers.values()}
    assert 200 in found, summarize(context)


def make_request(path):
    return (
        f"GET {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
        f"X-Request-Id: kept\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n\r\n"
    ).encode()


@given('a client on "{name}" with an open connection')
def step_open_connection(context, name):
    vm = find_vm(context, name)

    async def connect():
        context.conn = await asyncio.open_connection(vm.host, OUTBOUND)
        reader, writer = context.conn
        writer.write(make_request("/desk/safe/ok"))
        assert b" 200 " in await reader.readline()
        # The rest of the answer.
        await asyncio.sleep(0.1)
        await reader.read(MAX_HEAD_BYTES)

    context.run(connect())
    context.stopped_vm = vm


@when(
    "it is paused from {from_s:g} s to {until_s:g} s after that, and the client"
    ' sends GET "{path}" at {sent_s:g} s'
)
def step_pause(context, from_s, until_s, path, sent_s):
    process = context.stopped_vm.process

    async def pause():
        await asyncio.sleep(from_s)
        process.send(signal.SIGSTOP)
        await asyncio.sleep(sent_s - from_s)
        context.conn[1].write(make_request(path))
        await asyncio.sleep(until_s - sent_s)
        process.send(signal.SIGCONT)
        try:
            return await context.conn[0].readline()
        except ConnectionError as exc:
            return repr(exc).encode()

    context.status_line = context.run(pause())


@then("the paused process has answered with {status:d}")
def step_status(context, status):
    assert f" {status} ".encode() in context.status_line, context.status_line


@given('requests have {seconds:g} s on the routes of "{service}"')
def step_long_routes(context, seconds, service):
    routes = make_document(2)["routes"]
    for route in routes.values():
        if route["service"] == service:
            route["timeoutMs"] = round(seconds * 1000)
    context.vms.publish(2, routes=routes)
    vms = context.vms.vms.values()

    async def is_in_force():
        return all(
            any(record.get("version") == 2 for record in vm.read_log())
            for vm in vms
        )

    context.run(wait_for(START_S, is_in_force, lambda: "version 2 is late"))


@when(
    'a client on "{name}" sends {method:w} "{path}" with {seconds:g} s to its'
    " deadline"
)
def step_send_long(context, name, method, path, seconds):
    deadline = {"X-Deadline-Ms": str(round(seconds * 1000))}

    context.long = start_request(
        context,
        name,
        path,
        method=method,
        request_id="long",
        extra_headers=deadline,
    )

    async def has_begun():
        return bool(find_executions(context, "long"))

    context.run(wait_for(START_S, has_begun, lambda: "it was not executed"))


@then("that client gets {status:d} within {seconds:g} s")
def step_long_answer(context, status, seconds):
    async def wait():
        async with asyncio.timeout(seconds):
            return await context.long

    answer = context.run(wait())
    assert answer[0] == status, answer


def summarize(context):
    return dict(
        collections.Counter(status for status, _, _ in context.answers.values())
    )
