"""Steps with daemons beside targets, and client accounts."""

import asyncio
import itertools

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
def step_publish(context, version):
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
