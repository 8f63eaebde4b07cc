"""Event loop with a simulated clock.

The clock advances to the next timer instead of waiting, so that tests run
without delay and results do not depend on the load of the machine.
"""

import asyncio
import contextlib
from collections.abc import Iterator

__all__ = ["SimulatedTimeLoop", "open_simulated_time_loop"]


class SimulatedTimeLoop(asyncio.SelectorEventLoop):
    """Advances its clock only when no callback is ready."""

    def __init__(self) -> None:
        self._now = 0.0
        super().__init__()

    def time(self) -> float:
        """Returns the simulated time, in seconds."""
        return self._now

    def stall(self, seconds: float) -> None:
        """Advances the clock without running callbacks.

        Simulates a stopped process.
        """
        self._now += seconds

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:
            self._now = max(self._now, self._scheduled[0].when())
        super()._run_once()


@contextlib.contextmanager
def open_simulated_time_loop() -> Iterator[SimulatedTimeLoop]:
    """Yields a loop; cancels its pending tasks on exit."""
    loop = SimulatedTimeLoop()
    try:
        yield loop
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        if tasks:
            loop.run_until_complete(
                asyncio.gather(*tasks, return_exceptions=True)
            )
    finally:
        loop.close()
