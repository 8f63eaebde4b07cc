"""Reads the processor time and memory of a process."""

import os
import pathlib

import attrs

__all__ = ["ProcessUsage", "read_usage"]

BYTES_PER_KB = 1024
BYTES_PER_MB = 1_000_000
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@attrs.frozen
class ProcessUsage:
    """Resource usage of a process.

    Attributes:
        processor_s: Processor time since its start, in seconds.
        resident_mb: Resident memory, in MB.
        peak_mb: Largest resident memory so far, in MB.
    """

    processor_s: float
    resident_mb: float
    peak_mb: float


def read_usage(pid: int) -> ProcessUsage:
    """Returns the resource usage of the process `pid`."""
    folder = pathlib.Path("/proc") / str(pid)
    # The process name is in parentheses and may contain blanks.
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    memory = {}
    for line in (folder / "status").read_text().splitlines():
        name, _, value = line.partition(":")
        if name in ("VmRSS", "VmHWM"):
            memory[name] = int(value.split()[0]) * BYTES_PER_KB / BYTES_PER_MB
    return ProcessUsage(ticks / TICKS_PER_S, memory["VmRSS"], memory["VmHWM"])
