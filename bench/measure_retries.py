"""Measures attempts at a failing leaf per call offered to a service chain."""

from bench.figure import Figure
from bench.retry_chain import ChainPlan, run_chain
from guavawing.model import parse_address
from guavawing.store import publish_document
from guavawing.store.client import open_platform
from standins.chain import count_attempts, name_layers, open_chain
from standins.documents import make_chain_document

BOUND = 1.2
SHARES_FAILING = (0.3, 1.0)
CALL_COUNTS = (1, 10, 100, 10_000)
PROCESS_DEPTH = 4
PROCESS_CALLS = 400


async def run() -> list[Figure]:
    """Measures the simulated chain, then a chain of processes."""
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
    layers = name_layers(PROCESS_DEPTH)
    async with open_chain(PROCESS_DEPTH, (failure,)) as fleet:
        async with open_platform(parse_address(fleet.platform)) as platform:
            await publish_document(
                platform,
                make_chain_document(layers),
                change_id="bench",
                base_version=0,
                author="bench",
            )
        behind = await fleet.wait_for_version(1)
        if behind or not await fleet.wait_for_serving(len(fleet.nodes)):
            raise RuntimeError(f"the fleet is not ready: {behind}")
        return await count_attempts(fleet, PROCESS_DEPTH, PROCESS_CALLS)
