"""Process of the daemon: event loop, signals and log."""

import asyncio
import gc
import pathlib
import signal

import uvloop

from guavawing.platform.settings import VmSettings, parse_settings
from guavawing.sidecar.daemon import Sidecar
from guavawing.sidecar.decision_log import open_decision_log

__all__ = ["run_sidecar"]

# Allocations between two collections of the youngest generation.
GC_ALLOCATIONS = 20_000


def run_sidecar(path: pathlib.Path) -> None:
    """Runs the daemon until SIGTERM or SIGINT.

    Raises:
        SettingsInvalidError: If the settings file is invalid.
    """
    settings = parse_settings(path.read_text(encoding="utf-8"))
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_run(settings, path))


async def _run(settings: VmSettings, path: pathlib.Path) -> None:
    loop = asyncio.get_running_loop()
    ended = asyncio.Event()
    with open_decision_log(node=settings.node) as log:
        loop.set_exception_handler(
            lambda _, context: log.state_change(
                "fault",
                message=context.get("message"),
                error=repr(context.get("exception")),
            )
        )
        sidecar = Sidecar(settings, path, log)
        for sig in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(sig, ended.set)
        loop.add_signal_handler(signal.SIGHUP, sidecar.reload)
        try:
            await sidecar.start()
            _configure_garbage_collector()
            await ended.wait()
            await sidecar.stop()
        finally:
            sidecar.close()


def _configure_garbage_collector() -> None:
    """Excludes the objects created at start from garbage collection."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_ALLOCATIONS)
