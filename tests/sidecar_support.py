"""Helpers of the steps that run daemons beside targets."""

import asyncio
import itertools

import aiohttp

from guavawing.sidecar.beacons import Beacons
from guavawing.sidecar.decision_log import DecisionLog
from guavawing.traffic.model import Attempt
from standins.vm_fleet import HOST_NAME

DEADLINE_MS = 2900
POLL_S = 0.05
_ids = itertools.count(1)


def make_attempt(name, *, now, left_s=5.0, **changes):
    """Returns an attempt of an idempotent read.

    Args:
        name: Request id.
        now: Event loop's time, in seconds.
        left_s: Time to the deadline, in seconds.
        **changes: Fields that replace the defaults.
    """
    fields = {
        "request_id": name.encode(),
        "service": "desk",
        "origin": "feed",
        "method": b"GET",
        "path": b"/x",
        "head": b"",
        "body": b"",
        "deadline": now + left_s,
        "priority": 1,
        "idempotent": True,
        "bulk": False,
        "late": False,
        "useful_until": now + left_s,
        "spare_only": False,
    }
    return Attempt(**(fields | changes))


def make_quiet_beacons(record, *, port, peers, read_load, metrics):
    """Returns the beacons of a node whose other components do nothing."""
    return Beacons(
        own_record=record,
        port=port,
        peers=peers,
        read_load=read_load,
        on_peer=lambda _: None,
        read_departure=lambda: None,
        on_slots=lambda _: None,
        on_target_record=lambda _: None,
        log=DecisionLog(node=record.node),
        metrics=metrics,
    )


def find_vm(context, name):
    return context.vms.vms[name]


async def send_request(
    context, vm, path, *, method="GET", request_id="", extra_headers=None
):
    """Sends a request as a client on a VM.

    Returns:
        Status, headers and body of the answer; status 0 and the error as body
        if no answer was received.
    """
    request_id = request_id or f"auto-{next(_ids)}"
    headers = {
        "Host": HOST_NAME,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(DEADLINE_MS),
        **(extra_headers or {}),
    }
    data = b"some body" if method == "POST" else None
    try:
        async with context.vms.http.request(
            method, vm.url + path, headers=headers, data=data
        ) as resp:
            return resp.status, resp.headers, await resp.read()
    except aiohttp.ClientError as exc:
        return 0, {}, repr(exc).encode()


def start_request(context, name, path, **options):
    """Sends a request as `send_request` and returns the task of its answer."""

    async def start():
        call = send_request(context, find_vm(context, name), path, **options)
        return asyncio.get_running_loop().create_task(call)

    return context.run(start())


def find_executions(context, request_id):
    """Returns each execution of a request at a target, with its VM."""
    return [
        (vm, execution)
        for vm in context.vms.vms.values()
        for execution in vm.target.executions
        if execution.request_id == request_id
    ]


async def wait_for(seconds, condition, describe):
    """Waits until an asynchronous condition holds.

    Args:
        seconds: Maximum time to wait.
        condition: Returns an awaitable of whether it holds.
        describe: Returns the message of the failure at the time-out.
    """
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + seconds
    while not await condition():
        assert loop.time() < ends_at, describe()
        await asyncio.sleep(POLL_S)
