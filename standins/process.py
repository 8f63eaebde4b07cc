"""Processes of a fleet, stopped by their ids."""

import asyncio
import contextlib
import pathlib
import signal
import sys

import attrs

STOP_TIMEOUT_S = 45.0


@attrs.define
class Process:
    """A process of the fleet, stopped by its id.

    Attributes:
        name: What it is called in messages.
        argv: Its command line; empty for a process that is another's.
        env: Its environment; None for that of this process.
        starts: How often it was started.
        proc: The running process, if any.
    """

    name: str
    argv: list[str]
    env: dict[str, str] | None = None
    starts: int = 0
    proc: asyncio.subprocess.Process | None = None

    async def start(self, *, log: pathlib.Path) -> None:
        """Starts the process; its standard error goes to `log`."""
        self.starts += 1
        with log.open("ab") as stream:
            self.proc = await asyncio.create_subprocess_exec(
                *self.argv,
                env=self.env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=stream,
                stderr=stream,
            )

    def send(self, sig: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self.proc is not None
        with contextlib.suppress(ProcessLookupError):
            self.proc.send_signal(sig)

    async def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Waits for the end of the process and returns its exit code."""
        assert self.proc is not None
        async with asyncio.timeout(timeout_s):
            return await self.proc.wait()

    async def kill(self) -> None:
        """Ends the process at once."""
        if self.proc is None or self.proc.returncode is not None:
            return
        self.send(signal.SIGKILL)
        await self.proc.wait()


def make_command(module: str, *args: str) -> list[str]:
    """Returns the command line that runs a module."""
    return [sys.executable, "-m", module, *args]
