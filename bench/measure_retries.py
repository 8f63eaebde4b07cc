"""Attempts at a failing leaf for each call offered to a chain of services."""

import asyncio
import pathlib
import sys
import tempfile

import aiohttp

from bench.figure import Figure
from bench.retry_chain import ChainPlan, run_chain
from guavawing.config import (
    Defaults,
    Document,
    LimitClass,
    Route,
    ServiceEntry,
)
from guavawing.model import parse_address
from guavawing.platform import publish_document
from guavawing.platform.client import open_platform
from standins.caller import send_call
from standins.cluster import (
    Fleet,
    FleetNode,
    NodePlan,
    Process,
    build_fleet,
)
from standins.records import read_records

BOUND = 1.2
SHARES_FAILING = (0.3, 1.0)
CALL_COUNTS = (1, 10, 100, 10_000)
PROCESS_DEPTH = 4
COPIES = 2
PROCESS_CALLS = 400
CONCURRENT_CALLS = 8
DEADLINE_MS = 5_000


async def run() -> list[Figure]:
    """Measures the chain without sockets, then one of processes."""
    figures = [
        Figure(
            f"leaf_attempts_depth18_failing{failing:g}_calls{calls}",
            run_chain(ChainPlan(calls=calls, failing=failing)),
            "attempts/call",
            BOUND,
        )
        for failing in SHARES_FAILING
        for calls in CALL_COUNTS
    ]
    hidden = run_chain(ChainPlan(calls=10_000, hides_flag=True))
    figures.append(
        Figure("leaf_attempts_depth18_flag_hidden", hidden, "attempts/call")
    )
    for failure in ("answer", "drop"):
        attempts = await _measure_processes(failure)
        name = f"leaf_attempts_processes_depth{PROCESS_DEPTH}_{failure}"
        figures.append(Figure(name, attempts, "attempts/call", BOUND))
    return figures


async def _measure_processes(failure: str) -> float:
    services = [f"layer-{number}" for number in range(PROCESS_DEPTH)]
    plans = [
        NodePlan(f"{name}-{copy}", name, "bergen", "vestland")
        for name in services
        for copy in range(COPIES)
    ]
    timeout = aiohttp.ClientTimeout(total=10.0)
    with tempfile.TemporaryDirectory(prefix="guavawing-") as name:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            fleet = build_fleet(pathlib.Path(name), plans, session)
            following = dict(zip(services, [*services[1:], "-"], strict=True))
            for node in fleet.nodes.values():
                _replace_target(node, following[node.service], failure)
            try:
                await fleet.start()
                await _publish(fleet, services)
                return await _offer_calls(fleet, services)
            finally:
                await fleet.stop()


def _replace_target(node: FleetNode, following: str, failure: str) -> None:
    module = "bench.chain_target"
    argv = [sys.executable, "-m", module, node.target, node.caller]
    node.target_process = Process(
        f"{node.name} target", [*argv, following, failure]
    )


async def _publish(fleet: Fleet, services: list[str]) -> None:
    document = Document(
        defaults=Defaults(deadline_ms=DEADLINE_MS),
        limit_classes={"small": LimitClass(slots=10, connections=110)},
        services={name: ServiceEntry("small") for name in services},
        routes={
            name: Route(name, "GET", "/", idempotent=True) for name in services
        },
    )
    async with open_platform(parse_address(fleet.platform)) as platform:
        await publish_document(
            platform,
            document,
            change_id="bench",
            base_version=0,
            author="bench",
        )
    behind = await fleet.wait_for_version(1)
    assert not behind, behind
    assert await fleet.wait_for_serving(len(fleet.nodes))


async def _offer_calls(fleet: Fleet, services: list[str]) -> float:
    limit = asyncio.Semaphore(CONCURRENT_CALLS)
    entry = next(iter(fleet.nodes.values())).caller

    async def offer() -> None:
        async with limit:
            await send_call(
                fleet.session,
                entry,
                service=services[0],
                deadline_ms=DEADLINE_MS,
            )

    await asyncio.gather(*(offer() for _ in range(PROCESS_CALLS)))
    records = await read_records(fleet, services[-1])
    return sum(record["attempts"] for record in records) / PROCESS_CALLS
