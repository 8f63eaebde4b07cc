"""Steps with large bodies of requests to daemons beside targets."""

import asyncio
import itertools
import pathlib
import signal

import aiohttp
from behave import given, then, when

from guavawing.platform.settings import METRICS_PORT
from standins.vm_fleet import HOST_NAME, OUTBOUND, make_document
from tests.sidecar_support import (
    DEADLINE_MS,
    find_executions,
    find_vm,
    send_request,
    wait_for,
)

PREFIX = "/desk/upload/"
LIMIT_S = 10.0
SENT_BYTES = 65_536

# Time in which refusals of further uploads arrive, in seconds.
REFUSED_S = 5.0
# Time in which a resumed daemon handles what it has received, in seconds.
RESUMED_S = 0.5
KB = 1024
_ids = itertools.count(1)


@given('an upload route of "{service}"')
def step_route(context, service):
    routes = make_document(2)["routes"]
    routes["upload"] = routes[f"{service}-unsafe"] | {
        "type": "upload",
        "prefix": PREFIX,
    }
    context.vms.publish(2, routes=routes)
    context.uploads = []

    async def is_in_force():
        found = [
            await send_request(context, vm, f"{PREFIX}ok", method="POST")
            for vm in context.vms.vms.values()
        ]
        return {status for status, _, _ in found} == {200}

    context.run(wait_for(LIMIT_S, is_in_force, lambda: "not in force"))
    for vm in context.vms.vms.values():
        vm.target.executions.clear()


async def upload(context, name, size, mode):
    """Uploads a body; records its id, body, status and elapsed time."""
    request_id = f"upload-{next(_ids)}"
    line = f"body of {request_id}\n".encode()
    body = (line * (size // len(line) + 1))[:size]
    headers = {
        "Host": HOST_NAME,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(DEADLINE_MS),
    }
    url = find_vm(context, name).url + PREFIX + mode
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    try:
        async with context.vms.http.post(
            url, headers=headers, data=body
        ) as resp:
            await resp.read()
            status = resp.status
    except aiohttp.ClientError:
        status = 0
    elapsed_s = loop.time() - started_at
    context.uploads.append((request_id, body, status, elapsed_s))


@when(
    'clients on "{names}" upload {count:d} bodies of {size:d} bytes to "{mode}"'
    " while small requests are sent"
)
def step_upload_mixed(context, names, count, size, mode):
    async def run():
        vms = itertools.cycle(names.split())
        tasks = [
            asyncio.ensure_future(upload(context, next(vms), size, mode))
            for _ in range(count)
        ]
        context.small = []
        while not all(task.done() for task in tasks):
            context.small.append(
                await send_request(
                    context, find_vm(context, "a3"), "/desk/safe/ok"
                )
            )
        await asyncio.gather(*tasks)

    context.run(run())


@then("every small request got 200")
def step_small(context):
    assert {answer[0] for answer in context.small} == {200}


@when('a client on "{name}" uploads {size:d} bytes to "{mode}"')
def step_upload(context, name, size, mode):
    context.run(upload(context, name, size, mode))


@then('a client on "{name}" uploads {size:d} bytes to "{mode}" and gets 200')
def step_upload_served(context, name, size, mode):
    context.run(upload(context, name, size, mode))
    assert context.uploads[-1][2] == 200, context.uploads[-1][2:]


@when(
    'a client on "{name}" uploads {size:d} bytes to "{mode}" and the daemons of'
    ' "{killed}" are killed after {seconds:g} s'
)
def step_kill(context, name, size, mode, killed, seconds):
    async def run():
        task = asyncio.ensure_future(upload(context, name, size, mode))
        await asyncio.sleep(seconds)
        for each in killed.split():
            await find_vm(context, each).process.kill()
        await task

    context.run(run())


@when(
    'a client on "{name}" uploads {size:d} bytes to "{mode}" and the daemons of'
    ' "{frozen}" are frozen from {start:g} s to {end:g} s'
)
def step_freeze(context, name, size, mode, frozen, start, end):
    processes = [find_vm(context, each).process for each in frozen.split()]

    async def run():
        task = asyncio.ensure_future(upload(context, name, size, mode))
        await asyncio.sleep(start)
        for process in processes:
            process.send(signal.SIGSTOP)
        await asyncio.sleep(end - start)
        for process in processes:
            process.send(signal.SIGCONT)
        await task
        await asyncio.sleep(RESUMED_S)

    context.run(run())


@when(
    'clients on "{name}" upload {count:d} bodies of {size:d} bytes to "{mode}"'
    ' and the daemon of "{stopped}" gets SIGTERM'
)
def step_terminate(context, name, count, size, mode, stopped):
    async def run():
        tasks = [upload(context, name, size, mode) for _ in range(count)]
        running = asyncio.gather(*tasks)
        await asyncio.sleep(0.1)
        find_vm(context, stopped).process.send(signal.SIGTERM)
        await running

    context.run(run())


async def begin_upload(context, name, size, sent):
    """Opens a connection and sends the first bytes of a body."""
    host = find_vm(context, name).host
    reader, writer = await asyncio.open_connection(host, OUTBOUND)
    request_id = f"upload-{next(_ids)}"
    head = (
        f"POST {PREFIX}ok HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
        f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n"
        f"Content-Length: {size}\r\n\r\n"
    )
    writer.write(head.encode() + bytes(sent))
    context.uploads.append((request_id, b"", 0, 0.0))
    return reader, writer


@when('a client on "{name}" disconnects after half of a body')
def step_disconnect(context, name):
    async def run():
        _, writer = await begin_upload(context, name, 2_000_000, 1_000_000)
        await writer.drain()
        await asyncio.sleep(0.2)
        writer.transport.abort()
        await asyncio.sleep(0.5)

    context.run(run())


@when('{count:d} clients on "{name}" begin uploads of {size:d} bytes')
def step_begin_many(context, count, name, size):
    async def run():
        conns = [
            await begin_upload(context, name, size, SENT_BYTES)
            for _ in range(count)
        ]
        context.conns = conns
        context.size = size

        async def read_head(reader):
            try:
                async with asyncio.timeout(REFUSED_S):
                    return await reader.readuntil(b"\r\n\r\n")
            except TimeoutError:
                return b""

        heads = [read_head(reader) for reader, _ in conns]
        context.heads = await asyncio.gather(*heads)

    context.run(run())


@then("{count:d} of them get 503 with a Retry-After header")
def step_refused(context, count):
    refused = [head for head in context.heads if head]
    assert len(refused) == count, len(refused)
    for head in refused:
        assert head.startswith(b"HTTP/1.1 503"), head
        assert b"Retry-After: " in head, head
        assert b"X-Request-Id: upload-" in head, head


@then(
    'the daemon of "{name}" uses less than {limit_mb:d} MB when a body has'
    " arrived"
)
def step_memory(context, name, limit_mb):
    async def run():
        [writer] = [
            writer
            for (_, writer), head in zip(
                context.conns, context.heads, strict=True
            )
            if not head
        ]
        writer.write(bytes(context.size - SENT_BYTES))
        await writer.drain()
        await asyncio.sleep(1.0)
        for _, each in context.conns:
            each.close()

    context.run(run())
    pid = find_vm(context, name).process.proc.pid
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    [peak] = [line for line in status.splitlines() if "VmHWM" in line]
    peak_mb = int(peak.split()[1]) / KB
    assert peak_mb < limit_mb, peak_mb


@then('the metrics of "{name}" count {count:d} refused bodies')
def step_counted(context, name, count):
    async def read():
        url = f"http://{find_vm(context, name).host}:{METRICS_PORT}/metrics"
        async with context.vms.http.get(url) as resp:
            return await resp.text()

    line = f'guavawing_bodies_refused_total{{reason="too-many-calls"}} {count}'
    assert line in context.run(read())


@then("each upload got 200 and was executed once with its complete body")
def step_complete(context):
    for request_id, body, status, elapsed_s in context.uploads:
        found = [each.body for _, each in find_executions(context, request_id)]
        assert (status, len(found)) == (200, 1), (status, found, elapsed_s)
        assert found == [body], (request_id, len(found[0]), len(body))


@then("the upload got {status:d}")
@then("the upload got {status:d} within {limit_s:g} s")
def step_got(context, status, limit_s=LIMIT_S):
    _, _, found, elapsed_s = context.uploads[-1]
    assert (found, elapsed_s < limit_s) == (status, True), (found, elapsed_s)


@then("no upload was executed")
@then("no upload was executed {most}")
def step_not_executed(context, most=""):
    counts = [
        len(find_executions(context, request_id))
        for request_id, *_ in context.uploads
    ]
    assert max(counts) <= (1 if most == "twice" else 0), counts
