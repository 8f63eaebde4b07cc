"""The process of a node, which runs until a signal or its replacement."""

import asyncio
import contextlib
import signal

import uvloop

from guavawing.errors import NodeReplacedError
from guavawing.node.daemon import Node
from guavawing.node.logs import open_logs
from guavawing.node.settings import Settings

__all__ = ["run_node"]

# Time to close sockets after the drain has ended.
STOP_MARGIN_S = 10.0


def run_node(settings: Settings) -> None:
    """Runs a node until it gets SIGTERM or SIGINT.

    Raises:
        NodeReplacedError: If another process has taken over the node's id.
    """
    with (
        open_logs(file=settings.log_file, level=settings.log_level),
        asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
    ):
        runner.run(_run(settings))


async def _run(settings: Settings) -> None:
    loop = asyncio.get_running_loop()
    ended = asyncio.Event()
    for sig in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(sig, ended.set)
    node = Node(settings, on_replaced=ended.set)
    ending = loop.create_task(ended.wait())
    starting = loop.create_task(node.start())
    await asyncio.wait((starting, ending), return_when=asyncio.FIRST_COMPLETED)
    if not starting.done() or starting.exception() is not None:
        await _abort_start(node, starting)
        return
    await ending
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(settings.drain_timeout_s + STOP_MARGIN_S):
            await node.stop()
    if node.replaced:
        raise NodeReplacedError(settings.node_id)


async def _abort_start(node: Node, starting: asyncio.Task[None]) -> None:
    """Closes a partly started node; raises the error of its start, if any."""
    starting.cancel()
    try:
        with contextlib.suppress(asyncio.CancelledError):
            await starting
    finally:
        await node.close()
