"""Measures `config wait` at full size against simulated nodes.

All nodes run in one process on this machine, so the times include the cost of
both sides. Unresponsive nodes accept the connection and send no answer.
"""

import asyncio
import os
import sys

from bench.figure import Figure
from bench.process_usage import read_usage
from guavawing.cli.queries.wait import DEFAULT_TIMEOUT_S, wait_for_version
from guavawing.model import parse_address
from standins.status_nodes import VERSION

NODES = 15_000
# Unresponsive nodes on an ordinary day, and during the largest planned loss.
SILENT = {"ordinary": 30, "data-centre-lost": 1_250}


async def run() -> list[Figure]:
    """Returns the time until `config wait` has the state of every node."""
    figures = []
    for name, silent in SILENT.items():
        figures += await _measure(name, silent)
    return figures


async def _measure(name: str, silent: int) -> list[Figure]:
    proc = await asyncio.create_subprocess_exec(
        sys.executable,
        *("-m", "standins.status_nodes", str(NODES), str(silent)),
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        assert proc.stdout is not None
        address = parse_address((await proc.stdout.readline()).decode().strip())
        before = read_usage(os.getpid()).processor_s
        loop = asyncio.get_running_loop()
        start = loop.time()
        spread = await wait_for_version(address, VERSION, DEFAULT_TIMEOUT_S)
        took_s = loop.time() - start
        usage = read_usage(os.getpid())
    finally:
        proc.terminate()
        await proc.wait()
    return [
        Figure(f"wait-{name}", took_s, "s", DEFAULT_TIMEOUT_S),
        Figure(f"wait-{name}-processor", usage.processor_s - before, "s"),
        Figure(f"wait-{name}-peak", usage.peak_mb, "MB"),
        Figure(
            f"wait-{name}-wrong",
            abs(len(spread.unreachable) - silent) + len(spread.unreached),
            "nodes",
            0,
        ),
    ]
