"""Helpers of the steps that drive daemons beside targets."""

import asyncio
import itertools

import aiohttp

from guavawing.traffic.model import Attempt
from standins.vm_fleet import HOST_NAME

DEADLINE_MS = 2900
POLL_S = 0.05
_ids = itertools.count(1)


def make_attempt(name, *, now, left_s=5.0, **changes):
    """Returns an attempt of a read that may be repeated."""
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


def find(context, name):
    return context.vms.vms[name]


async def ask(context, vm, path, *, method="GET", request_id="", head=None):
    """Sends a request as a client of a VM; returns (status, head, body)."""
    request_id = request_id or f"auto-{next(_ids)}"
    headers = {
        "Host": HOST_NAME,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(DEADLINE_MS),
        **(head or {}),
    }
    data = b"some body" if method == "POST" else None
    try:
        async with context.vms.http.request(
            method, vm.url + path, headers=headers, data=data
        ) as resp:
            return resp.status, resp.headers, await resp.read()
    except aiohttp.ClientError as exc:
        return 0, {}, repr(exc).encode()


def executions(context, request_id):
    return [
        (vm, execution)
        for vm in context.vms.vms.values()
        for execution in vm.target.executions
        if execution.request_id == request_id
    ]


async def wait_for(seconds, holds, describe):
    """Waits until an asynchronous condition holds."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + seconds
    while not await holds():
        assert loop.time() < ends_at, describe()
        await asyncio.sleep(POLL_S)
