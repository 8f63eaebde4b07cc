"""An event loop whose clock jumps to the next timer instead of waiting.

What takes a second of waiting takes no time, and how busy the machine is
changes no result.
"""

import asyncio
import contextlib
from collections.abc import Iterator

__all__ = ["SimulatedTimeLoop", "open_simulated_time_loop"]


class SimulatedTimeLoop(asyncio.SelectorEventLoop):
    """Moves its clock only when nothing is ready."""

    def __init__(self) -> None:
        self._now = 0.0
        super().__init__()

    def time(self) -> float:
        """Returns the loop's own time, in seconds."""
        return self._now

    def stall(self, seconds: float) -> None:
        """Lets time pass in which nothing runs, as if the process stood."""
        self._now += seconds

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:
            self._now = max(self._now, self._scheduled[0].when())
        super()._run_once()


@contextlib.contextmanager
def open_simulated_time_loop() -> Iterator[SimulatedTimeLoop]:
    """Yields a loop; tasks that are left on it are cancelled at the end."""
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
