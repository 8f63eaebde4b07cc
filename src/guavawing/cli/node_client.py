"""Client of the nodes' admin servers."""

import asyncio
from collections.abc import Collection
from typing import Any

import aiohttp
import orjson

from guavawing.errors import ControlError
from guavawing.model import Address, parse_address

__all__ = ["collect_statuses", "read_status", "send_drain"]

REQUEST_TIMEOUT_S = 2.0
MAX_CONCURRENT_REQUESTS = 64

Status = dict[str, Any]


async def read_status(session: aiohttp.ClientSession, node: Address) -> Status:
    """Returns the status of a node.

    Raises:
        ControlError: If the node gives no usable answer.
    """
    try:
        async with session.get(f"http://{node}/status") as resp:
            resp.raise_for_status()
            return _check_status(orjson.loads(await resp.read()))
    except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
        raise ControlError(_describe(node, exc)) from exc


async def collect_statuses(
    node: Address, *, skip: Collection[str] = ()
) -> dict[str, Status | None]:
    """Returns the status of every node that `node` knows, by name.

    A node that does not answer has None.

    Args:
        node: Admin address of any node.
        skip: Names of nodes that are not asked and not returned.

    Raises:
        ControlError: If `node` itself gives no usable answer.
    """
    limit = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
    async with _open_session() as session:
        first = await read_status(session, node)

        async def read_member(member: Status) -> Status | None:
            async with limit:
                try:
                    address = parse_address(member["admin"])
                    return await read_status(session, address)
                except ControlError:
                    return None

        members = [
            member
            for member in first["members"]
            if member["state"] != "left" and member["node"] not in skip
        ]
        statuses = await asyncio.gather(*map(read_member, members))
    names = [member["node"] for member in members]
    return dict(sorted(zip(names, statuses, strict=True)))


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


def _check_status(tree: Any) -> Status:
    """Returns a status that has what this client reads.

    Raises:
        ValueError: If a part is missing.
    """
    expected = {"version": int, "members": list}
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
    return aiohttp.ClientSession(timeout=timeout)
