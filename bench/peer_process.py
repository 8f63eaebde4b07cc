"""Runs server modules of the bench as child processes."""

import asyncio
import contextlib
import sys
from collections.abc import AsyncIterator

__all__ = ["run_peer"]

START_TIMEOUT_S = 10.0
POLL_S = 0.05


@contextlib.asynccontextmanager
async def run_peer(module: str, *args: str, listens: str) -> AsyncIterator[int]:
    """Runs a module within the context; yields its process id once it listens.

    Args:
        module: Name of the module.
        *args: Command-line arguments of the module.
        listens: The last address, IP:PORT, that the module opens.
    """
    proc = await asyncio.create_subprocess_exec(
        sys.executable, "-m", module, *args
    )
    try:
        async with asyncio.timeout(START_TIMEOUT_S):
            await _wait_for_listener(listens)
        yield proc.pid
    finally:
        proc.kill()
        await proc.wait()


async def _wait_for_listener(address: str) -> None:
    host, _, port = address.rpartition(":")
    while True:
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(host, int(port))
            writer.close()
            return
        await asyncio.sleep(POLL_S)
