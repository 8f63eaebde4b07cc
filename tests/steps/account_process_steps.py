"""Steps with daemons beside targets, and client accounts."""

import asyncio
import itertools
import signal
import time

import aiohttp
from behave import given, then, use_step_matcher, when

from guavawing.platform.settings import METRICS_PORT
from standins.vm_fleet import HOST_NAME, make_document
from tests.sidecar_support import (
    DEADLINE_MS,
    find_executions,
    find_vm,
    wait_for,
)
from tests.steps.account_steps import make_accounts

APPLY_TIMEOUT_S = 10.0
# Longer than the log is buffered, in seconds.
FLUSH_S = 0.6
KEYS = ("key-one", "key-two", "key-three", "key-four")
_ids = itertools.count(1)


def make_routes(version):
    """Returns the routes of a version, and a public one to each service."""
    routes = make_document(version)["routes"]
    for service in ("desk", "feed"):
        routes[f"{service}-public"] = {
            **routes[f"{service}-safe"],
            "prefix": f"/{service}/public/",
            "public": True,
        }
    return routes


async def send_as(context, vm, path, headers, request_id):
    """Sends a GET as a client; returns the status, 0 if there is no answer."""
    fields = [
        ("Host", HOST_NAME),
        ("X-Request-Id", request_id),
        ("X-Deadline-Ms", str(DEADLINE_MS)),
        *headers,
    ]
    try:
        async with context.vms.http.get(vm.url + path, headers=fields) as resp:
            await resp.read()
            context.answer_headers = resp.headers
            return resp.status
    except aiohttp.ClientError:
        return 0


def parse_header_pairs(text):
    return [tuple(line.split(": ", 1)) for line in text.split(", ")]


@given("version {version:d} with the client accounts")
@when("version {version:d} has the client accounts")
def step_publish(context, version):
    context.published_at = time.monotonic()
    context.vms.publish(
        version,
        routes=make_routes(version),
        tenants=make_accounts(context.table),
    )


def list_versions(vm):
    return [
        record["version"]
        for record in vm.read_log()
        if record["message_type"] == "version-in-force"
    ]


@given("all VMs have version {version:d}")
@then("all VMs have version {version:d}")
def step_have_version(context, version):
    vms = context.vms.vms.values()

    async def have_version():
        return all(version in list_versions(vm) for vm in vms)

    context.run(
        wait_for(
            APPLY_TIMEOUT_S,
            have_version,
            lambda: [list_versions(v) for v in vms],
        )
    )


@when('on "{name}" a client with the headers "{headers}" sends GET "{path}"')
def step_send(context, name, headers, path):
    context.request_id = f"account-{next(_ids)}"
    context.status = context.run(
        send_as(
            context,
            find_vm(context, name),
            path,
            parse_header_pairs(headers),
            context.request_id,
        )
    )


@then("no key is in the output or the metrics of a daemon")
def step_no_key(context):
    async def read_all():
        await asyncio.sleep(FLUSH_S)
        texts = []
        for vm in context.vms.vms.values():
            texts.append(vm.log.read_text())
            url = f"http://{vm.host}:{METRICS_PORT}/metrics"
            async with context.vms.http.get(url) as resp:
                texts.append(await resp.text())
        return texts

    for text in context.run(read_all()):
        assert "guavawing" in text or "message_type" in text, text
        for key in KEYS:
            assert key not in text, text


async def ask_all(context, key, path="/desk/safe/ok"):
    """Sends a request with a key on each VM; returns the statuses by VM."""
    vms = context.vms.vms.values()
    headers = [("Authorization", f"Token {key}")]
    found = [
        send_as(context, vm, path, headers, f"account-{next(_ids)}")
        for vm in vms
    ]
    statuses = await asyncio.gather(*found)
    return dict(zip(context.vms.vms, statuses, strict=True))


def expect_within(context, seconds, key, status, path="/desk/safe/ok"):
    found = {}

    async def have_status():
        found.update(await ask_all(context, key, path))
        return set(found.values()) == {status}

    context.run(wait_for(seconds, have_status, lambda: found))


@given('within {seconds:g} s all VMs serve the key "{key}"')
@then('within {seconds:g} s all VMs serve the key "{key}"')
def step_serve(context, seconds, key):
    expect_within(context, seconds, key, 200)


@then('all VMs refuse the key "{key}" with 401')
@then('within {seconds:g} s all VMs refuse the key "{key}" with 401')
def step_deny(context, key, seconds=2.0):
    expect_within(context, seconds, key, 401)


@then(
    'within {seconds:g} s all VMs refuse the key "{key}" with 503 and a'
    " Retry-After header"
)
def step_unproven(context, seconds, key):
    expect_within(context, seconds, key, 503)
    assert float(context.answer_headers["Retry-After"]) > 0


@then("all VMs serve the public route")
def step_public(context):
    expect_within(context, 0.0, "key-four", 200, path="/desk/public/ok")


@then('for {seconds:g} s all VMs serve the key "{key}"')
def step_serve_for(context, seconds, key):
    watch_keys(context, seconds, key, "", 0.0)


@then(
    'for {seconds:g} s all VMs serve the key "{key}", but "{gone}" only for'
    " {bound:g} s"
)
def step_serve_others(context, seconds, key, gone, bound):
    watch_keys(context, seconds, key, gone, bound)


def watch_keys(context, seconds, key, gone, bound):
    async def watch():
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            found = await ask_all(context, key)
            assert set(found.values()) == {200}, (key, found)
            sent_at = time.monotonic()
            if gone and sent_at > context.published_at + bound:
                found = await ask_all(context, gone)
                assert 200 not in found.values(), (gone, found)
            await asyncio.sleep(0.1)

    context.run(watch())


@when('the store refuses the VMs "{names}"')
def step_refuses(context, names):
    refused = {find_vm(context, name).host for name in names.split()}
    context.vms.store.faults.refused |= refused


@when("the store is unavailable for {seconds:g} s")
def step_store_down(context, seconds):
    faults = context.vms.store.faults

    async def fail():
        faults.down = True
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, setattr, faults, "down", False)

    context.run(fail())


@when(
    '{seconds:g} s later a client on "{name}" sends a request with the key'
    ' "{key}"'
)
def step_send_later(context, seconds, name, key):
    context.request_id = f"account-{next(_ids)}"

    async def send():
        await asyncio.sleep(seconds)
        call = send_as(
            context,
            find_vm(context, name),
            "/desk/safe/ok",
            [("Authorization", f"Token {key}")],
            context.request_id,
        )
        context.call = asyncio.get_running_loop().create_task(call)
        # The request reaches the socket of the frozen process.
        await asyncio.sleep(0.2)

    context.run(send())


@when('the daemon of "{name}" goes on')
def step_go_on(context, name):
    find_vm(context, name).process.send(signal.SIGCONT)


@then("that request gets 401 or 503 and no target executes it")
def step_not_run(context):
    async def wait():
        return await context.call

    status = context.run(wait())
    assert status in (401, 503), status
    assert not find_executions(context, context.request_id)


use_step_matcher("re")


@then(
    "it gets (?P<status>\\d+), and the target received the account"
    ' "(?P<account>.*)"'
)
def step_account(context, status, account):
    assert context.status == int(status), context.status
    found = find_executions(context, context.request_id)
    assert len(found) == (context.status == 200), found
    for _, execution in found:
        assert execution.headers.get("x-tenant", "") == account
        assert "authorization" not in execution.headers
        assert not any(
            key in value for value in execution.headers.values() for key in KEYS
        )


use_step_matcher("parse")
