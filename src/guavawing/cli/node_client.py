"""Client of the admin servers of nodes."""

import asyncio
import collections
import contextlib
from collections.abc import Collection
from typing import Any

import aiohttp
import attrs
import orjson

from guavawing.errors import ControlError
from guavawing.model import Address, parse_address

__all__ = ["FleetStatus", "collect_statuses", "send_drain"]

REQUEST_TIMEOUT_S = 2.0
# Each node that does not answer occupies one request until its timeout.
MAX_CONCURRENT_REQUESTS = 512
MEMBERS = "members"
# The list of members covers the whole fleet and is needed from one node only.
WITHOUT_MEMBERS = {MEMBERS: "no"}

Status = dict[str, Any]


@attrs.frozen
class FleetStatus:
    """Statuses of the nodes of a fleet.

    Attributes:
        answers: Status of each node that answered, by name; without its
            list of members.
        silent: Names of nodes that gave no usable answer.
        unreached: Names of nodes whose request was not started, or not
            completed, within the time limit for all nodes.
    """

    answers: dict[str, Status]
    silent: list[str]
    unreached: list[str]


async def _read_status(
    session: aiohttp.ClientSession,
    node: Address,
    *,
    members: bool,
) -> Status:
    """Returns the status of a node, optionally with its list of members.

    Raises:
        ControlError: If the node gives no usable answer.
    """
    params = {} if members else WITHOUT_MEMBERS
    try:
        async with session.get(f"http://{node}/status", params=params) as resp:
            resp.raise_for_status()
            return _check_status(orjson.loads(await resp.read()), members)
    except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
        raise ControlError(_describe(node, exc)) from exc


async def collect_statuses(
    node: Address,
    *,
    skip: Collection[str] = (),
    no_retry: Collection[str] = (),
    until: float | None = None,
) -> FleetStatus:
    """Requests the status of every node that is a member for `node`.

    The request to a node that does not answer is repeated once, after those
    to the others: the node, or this client, may only be slow.

    Args:
        node: Admin address of any node.
        skip: Names of nodes that are left out.
        no_retry: Names of nodes whose request is not repeated.
        until: Time of the event loop's clock at which waiting for answers
            ends; None for no limit.

    Raises:
        ControlError: If `node` itself gives no usable answer.
    """
    loop = asyncio.get_running_loop()
    found: dict[str, Status | None] = {}
    async with _open_session() as session:
        first = await _read_status(session, node, members=True)
        members = [
            member
            for member in first[MEMBERS]
            if member["state"] != "left" and member["node"] not in skip
        ]
        pending = collections.deque(members)

        async def poll_members() -> None:
            # The tasks share `pending`; each member is polled by one of them.
            # The time is checked too: a request whose own timeout coincides
            # with the cancellation of its task reports only the timeout.
            while pending and (until is None or loop.time() < until):
                member = pending.popleft()
                name = member["node"]
                may_retry = name not in found and name not in no_retry
                found[name] = await _try_read_status(session, member)
                if may_retry and found[name] is None:
                    pending.append(member)

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(until), asyncio.TaskGroup() as group:
                for _ in range(min(MAX_CONCURRENT_REQUESTS, len(members))):
                    group.create_task(poll_members())
    names = sorted(member["node"] for member in members)
    return FleetStatus(
        answers={n: s for n in names if (s := found.get(n)) is not None},
        silent=[n for n in names if n in found and found[n] is None],
        unreached=[n for n in names if n not in found],
    )


async def _try_read_status(
    session: aiohttp.ClientSession, member: Status
) -> Status | None:
    try:
        address = parse_address(member["admin"])
        return await _read_status(session, address, members=False)
    except ControlError:
        # The caller reports the node as silent.
        return None


async def send_drain(node: Address, *, draining: bool) -> None:
    """Starts or ends the drain of a node's target.

    Raises:
        ControlError: If the node gives no usable answer.
    """
    method = "POST" if draining else "DELETE"
    try:
        async with (
            _open_session() as session,
            session.request(method, f"http://{node}/drain") as resp,
        ):
            resp.raise_for_status()
    except (aiohttp.ClientError, TimeoutError) as exc:
        raise ControlError(_describe(node, exc)) from exc


def _check_status(tree: Any, members: bool) -> Status:
    """Returns a status if it has the fields that this client reads.

    Raises:
        ValueError: If a field is missing or has another type.
    """
    expected: dict[str, type] = {"version": int}
    if members:
        expected[MEMBERS] = list
    for name, kind in expected.items():
        value = tree.get(name) if isinstance(tree, dict) else None
        if not isinstance(value, kind):
            raise ValueError(f"its status has no {name!r}")
    status: Status = tree
    return status


def _describe(node: Address, exc: Exception) -> str:
    text = " ".join(str(exc).split()) or type(exc).__name__
    return f"node {node} did not answer: {text}"


def _open_session() -> aiohttp.ClientSession:
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    connector = aiohttp.TCPConnector(
        limit=MAX_CONCURRENT_REQUESTS, force_close=True
    )
    return aiohttp.ClientSession(connector=connector, timeout=timeout)
