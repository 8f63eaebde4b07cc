"""A clock that never steps and counts while the VM is suspended."""

import time

__all__ = ["read_steady_time"]


def read_steady_time() -> float:
    """Returns the time since the VM was started, in seconds.

    Unlike the event loop's time it is that of the call, also after a process
    was stopped for a while, and includes the time in which the VM was
    suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
