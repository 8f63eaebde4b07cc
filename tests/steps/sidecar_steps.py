"""Steps that run daemons beside targets on a stand-in of the platform."""

import asyncio
import collections
import signal

from behave import given, then, when

from standins.vm_fleet import (
    HOST_NAME,
    OUTBOUND,
    SLOTS,
    open_vm_fleet,
)
from standins.vm_target import BODY
from tests.sidecar_support import (
    DEADLINE_MS,
    find_executions,
    find_vm,
    send_request,
    start_request,
    wait_for,
)
from tests.steps.fresh_steps import start_fresh_callers
from tests.support import open_in_scenario

START_TIMEOUT_S = 10.0


@given("VMs of two data centres")
def step_vms(context):
    start_vms(context, {})


@given("VMs of two data centres where withdrawn keys end within {seconds:g} s")
def step_strict_vms(context, seconds):
    bounds = {"revokeStrict": "true", "revokeMs": round(seconds * 1000)}
    start_vms(context, bounds)


def start_vms(context, bounds):
    plan = [(r["vm"], r["data centre"], r["service"]) for r in context.table]
    context.vms = open_in_scenario(context, open_vm_fleet(plan, bounds=bounds))
    context.results = []
    wait_until_serving(context, ["/desk/safe/ok", "/feed/safe/ok"])


def find_usable_targets(vm):
    """Returns the names of the VMs whose targets a daemon uses."""
    phases = {}
    for record in vm.read_log():
        match record["message_type"]:
            case "target":
                phases[vm.name] = record["phase"]
            case "peer-target":
                phases[record["peer"]] = record["phase"]
    return {name for name, phase in phases.items() if phase == "ready"}


def wait_until_serving(context, paths):
    """Waits until all VMs serve the paths and use all targets.

    Clears what the targets have counted.
    """

    async def is_serving():
        vms = context.vms.vms.values()
        if not all([await context.vms.is_ready(vm) for vm in vms]):
            return False
        if any(find_usable_targets(vm) != set(context.vms.vms) for vm in vms):
            return False
        found = [
            (await send_request(context, v, p))[0] for v in vms for p in paths
        ]
        return set(found) == {200}

    logs = [vm.log for vm in context.vms.vms.values()]
    context.run(
        wait_for(
            START_TIMEOUT_S,
            is_serving,
            lambda: "\n".join(log.read_text()[-2000:] for log in logs),
        )
    )
    for vm in context.vms.vms.values():
        vm.target.executions.clear()
        vm.target.max_running = 0


@when('a client on "{name}" sends {method:w} "{path}" as "{request_id}"')
def step_send(context, name, method, path, request_id):
    context.answer = context.run(
        send_request(
            context,
            find_vm(context, name),
            path,
            method=method,
            request_id=request_id,
        )
    )


@when(
    'on "{name}" a client with the header "{header}" sends {method:w} "{path}"'
    ' as "{request_id}"'
)
def step_send_header(context, name, header, method, path, request_id):
    key, value = header.split(": ")
    context.answer = context.run(
        send_request(
            context,
            find_vm(context, name),
            path,
            method=method,
            request_id=request_id,
            extra_headers={key: value},
        )
    )


@then("it gets {status:d}")
def step_gets(context, status):
    assert context.answer[0] == status, context.answer


@then("it gets 200 with the complete answer")
def step_gets_whole(context):
    status, headers, body = context.answer
    assert (status, body) == (200, BODY), context.answer
    assert headers["X-Response-Signature"] == "1.2.3"
    assert headers["X-Request-Id"] == "r1"


@then(
    'one target of "{service}" executed "{request_id}" once, for "{origin}"'
    " with a deadline of at most {most_ms:d} ms"
)
def step_executed_once(context, service, request_id, origin, most_ms):
    [(vm, execution)] = find_executions(context, request_id)
    assert vm.service == service
    headers = execution.headers
    assert headers["x-caller-service"] == origin, headers
    assert 0 < int(headers["x-deadline-ms"]) <= most_ms, headers
    assert headers["x-expected-instance"] == vm.target.id, headers


@then('"{request_id}" was executed {times} times')
def step_times(context, request_id, times):
    found = len(find_executions(context, request_id))
    assert found == int(times), found


@when('a client on "{name}" sends a request that smuggles another one')
def step_smuggle(context, name):
    vm = find_vm(context, name)
    payload = (
        f"POST /desk/unsafe/ok HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
        "X-Request-Id: outer\r\nX-Deadline-Ms: 2000\r\n"
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
        f"0\r\n\r\nGET /desk/safe/ok HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
        "X-Request-Id: hidden\r\n\r\n"
    )

    async def send():
        host, port = vm.url.removeprefix("http://").split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(payload.encode())
        answer = await asyncio.wait_for(reader.read(), 5)
        writer.close()
        return answer

    answer = context.run(send())
    assert answer.startswith(b"HTTP/1.1 400"), answer


@then("no target executed a request")
def step_nothing(context):
    for vm in context.vms.vms.values():
        assert not vm.target.executions, vm


async def send_all(context, names, count, path, *, together=False):
    vms = [find_vm(context, name) for name in names]
    calls = [
        send_request(context, vms[n % len(vms)], path) for n in range(count)
    ]
    if together:
        return await asyncio.gather(*calls)
    return [await call for call in calls]


@when('clients on all VMs send {count:d} requests "{path}" at the same time')
def step_burst(context, count, path):
    context.results = context.run(
        send_all(context, context.vms.vms, count, path, together=True)
    )


@when('clients on all VMs send {count:d} requests "{path}" one after the other')
def step_series(context, count, path):
    context.results = context.run(
        send_all(context, context.vms.vms, count, path)
    )


@when(
    'clients on "{name}" send {count:d} requests "{path}" one after the other'
)
def step_series_of(context, name, count, path):
    context.results = context.run(send_all(context, [name], count, path))


@then("some of them get 200 and the others 503 with a Retry-After header")
def step_some(context):
    found = collections.Counter(each[0] for each in context.results)
    assert set(found) == {200, 503}, found
    for status, headers, _ in context.results:
        if status == 503:
            assert float(headers["Retry-After"]) > 0, headers


@then("no target ever ran more than {most:d} requests at a time")
def step_most(context, most):
    assert most == SLOTS
    for vm in context.vms.vms.values():
        assert vm.target.max_running <= most, vm.target.max_running


@then("all of them get {status:d}")
def step_all(context, status):
    found = collections.Counter(each[0] for each in context.results)
    assert set(found) == {status}, (found, context.results)


@when('target "{name}" reports that it drains')
def step_drains(context, name):
    vm = find_vm(context, name)
    vm.draining, vm.target.healthy = True, False
    assert context.run(context.vms.send_heartbeat(vm)) == 200
    vm.target.executions.clear()


@when('target "{name}" departs and stops its heartbeats')
def step_departs(context, name):
    vm = find_vm(context, name)
    vm.sends_heartbeats = False
    assert context.run(context.vms.deregister(vm)) == 200
    # Beacons announce the departure to the other nodes within this time.
    context.run(asyncio.sleep(0.5))
    vm.target.executions.clear()


@then('target "{name}" has executed no request since')
def step_none_since(context, name):
    assert not find_vm(context, name).target.executions


@when(
    'a client on "{name}" sends {method:w} "{path}" as "{request_id}" without'
    " waiting"
)
def step_send_concurrently(context, name, method, path, request_id):
    context.tasks = [
        start_request(context, name, path, method=method, request_id=request_id)
    ]


@when('{count:d} clients on "{name}" send {method:w} "{path}" without waiting')
def step_send_many(context, count, name, method, path):
    async def start():
        loop = asyncio.get_running_loop()
        vm = find_vm(context, name)
        context.ids = [f"many-{number}" for number in range(count)]
        tasks = [
            loop.create_task(
                send_request(context, vm, path, method=method, request_id=each)
            )
            for each in context.ids
        ]
        await asyncio.sleep(0.3)
        return tasks

    context.tasks = context.run(start())


@when('the daemon of "{name}" gets SIGTERM while {count:d} requests follow')
def step_term(context, name, count):
    vm = find_vm(context, name)

    async def stop():
        await asyncio.sleep(0.2)
        vm.process.send(signal.SIGTERM)
        results = []
        for _ in range(count):
            results.append(
                await send_request(
                    context, vm, "/desk/unsafe/ok", method="POST"
                )
            )
            await asyncio.sleep(0.05)
        return results + [await task for task in context.tasks]

    context.results = context.run(stop())


@given('clients open a connection for each request "{path}" on "{name}"')
def step_fresh_clients(context, path, name):
    head = (
        f"GET {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
        f"X-Request-Id: fresh\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n\r\n"
    )
    vm = find_vm(context, name)
    start_fresh_callers(context, vm.host, OUTBOUND, head.encode())


@when('the daemon of "{name}" gets SIGTERM')
def step_terminate(context, name):
    find_vm(context, name).process.send(signal.SIGTERM)


@then('the daemon of "{name}" exits with code {code:d} within {seconds:g} s')
def step_ends(context, name, code, seconds):
    assert context.run(find_vm(context, name).process.wait(seconds)) == code


@then("none was executed twice")
def step_none_twice(context):
    counts = collections.Counter(
        execution.request_id
        for vm in context.vms.vms.values()
        for execution in vm.target.executions
    )
    assert set(counts.values()) <= {1}, counts


@when('the daemons of "{names}" are killed')
def step_kill(context, names):
    for name in names.split():
        context.run(find_vm(context, name).process.kill())


async def gather(tasks):
    return await asyncio.gather(*tasks)


@then("each gets 200, 502 or 503")
def step_each(context):
    context.results = context.run(gather(context.tasks))
    found = collections.Counter(each[0] for each in context.results)
    assert set(found) <= {200, 502, 503}, (found, context.results)


@then("none that got 503 was executed")
def step_refused_not_run(context):
    pairs = zip(context.ids, context.results, strict=True)
    for request_id, (status, _, _) in pairs:
        if status == 503:
            assert not find_executions(context, request_id), request_id


@when('the daemon of "{name}" is frozen')
def step_freeze(context, name):
    process = find_vm(context, name).process
    process.send(signal.SIGSTOP)
    context.add_cleanup(lambda: process.send(signal.SIGCONT))


@when(
    'a client on "{name}" sends GET "{path}" and disconnects after'
    " {seconds:g} s"
)
def step_disconnect(context, name, path, seconds):
    async def disconnect():
        call = send_request(
            context, find_vm(context, name), path, request_id="left"
        )
        task = asyncio.get_running_loop().create_task(call)
        await asyncio.sleep(seconds)
        task.cancel()

    context.run(disconnect())


@then("within {seconds:g} s its execution at the target is aborted")
def step_aborted(context, seconds):
    async def is_aborted():
        found = find_executions(context, "left")
        return bool(found) and all(e.cancelled for _, e in found)

    context.run(
        wait_for(seconds, is_aborted, lambda: find_executions(context, "left"))
    )
