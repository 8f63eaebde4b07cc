"""Background tasks that are started again if they end unexpectedly."""

import asyncio
from collections.abc import Awaitable, Callable

from guavawing.sidecar.decision_log import DecisionLog
from guavawing.sidecar.metrics import SidecarMetrics

__all__ = ["BackgroundTasks"]

# Wait before a failed task is started again, in seconds: far below the time
# within which a version has to be in force.
RESTART_S = 0.2


class BackgroundTasks:
    """The tasks of a daemon that run until it is closed."""

    def __init__(self, *, log: DecisionLog, metrics: SidecarMetrics) -> None:
        """Creates a group without tasks.

        Args:
            log: Receives the failures of tasks.
            metrics: Counts them.
        """
        self._log = log
        self._metrics = metrics
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Starts a task.

        Args:
            name: Name of the task in the log.
            run: Runs it until it is done or cancelled.
        """
        supervision = self._supervise(name, run)
        task = asyncio.get_running_loop().create_task(supervision)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Cancels all tasks."""
        for task in tuple(self._tasks):
            task.cancel()

    async def _supervise(
        self, name: str, run: Callable[[], Awaitable[None]]
    ) -> None:
        while True:
            try:
                await run()
            except Exception as exc:
                # Without the task the node would go on with what it has.
                self._metrics.failed_tasks.inc({"task": name})
                self._log.state_change(
                    "task-failed", task=name, error=repr(exc)
                )
                await asyncio.sleep(RESTART_S)
            else:
                return
