"""Child processes of a fleet."""

import asyncio
import contextlib
import pathlib
import signal
import sys

import attrs

STOP_TIMEOUT_S = 45.0


@attrs.define
class Process:
    """Child process that is signalled by its process id.

    Attributes:
        name: Name in messages.
        argv: Command line; empty if the process of another node is used.
        env: Environment; None to inherit that of this process.
        starts: Number of starts.
        proc: The process started last, if any.
    """

    name: str
    argv: list[str]
    env: dict[str, str] | None = None
    starts: int = 0
    proc: asyncio.subprocess.Process | None = None

    async def start(self, *, log: pathlib.Path) -> None:
        """Starts the process; its output is appended to `log`."""
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
        """Sends a signal to the process; does nothing if it has exited."""
        assert self.proc is not None
        with contextlib.suppress(ProcessLookupError):
            self.proc.send_signal(sig)

    def read_peak_memory_mb(self) -> float:
        """Returns the peak resident memory of the running process, in MB."""
        assert self.proc is not None
        # The process may end at any time.
        with contextlib.suppress(OSError):
            status = pathlib.Path(f"/proc/{self.proc.pid}/status").read_text()
            for line in status.splitlines():
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    async def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Waits for the process to exit and returns its exit code.

        Raises:
            TimeoutError: If it is still running after `timeout_s`.
        """
        assert self.proc is not None
        async with asyncio.timeout(timeout_s):
            return await self.proc.wait()

    async def kill(self) -> None:
        """Kills the process with SIGKILL, if it is running."""
        if self.proc is None or self.proc.returncode is not None:
            return
        self.send(signal.SIGKILL)
        await self.proc.wait()


def make_command(module: str, *args: str) -> list[str]:
    """Returns the command line that runs a module."""
    return [sys.executable, "-m", module, *args]
