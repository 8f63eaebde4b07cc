"""Which requests still begin while a process stops.

Load: a planned stop during which clients go on sending, since they learn late
that the node stops, or have nowhere else to go while much of its data centre
restarts. A request that the process can't finish is cut at its target, where a
refusal sends the client elsewhere at once.
"""

__all__ = ["LONGEST_FACTOR", "can_finish", "find_last_answer"]

# Factor of the mean time within which nearly all executions end.
LONGEST_FACTOR = 4.0
# Time reserved for the last answers before the process ends, in seconds: above
# the time after the deadline at which the wait for an owner's answer ends.
LAST_ANSWER_S = 0.3


def find_last_answer(ends_at: float) -> float:
    """Returns the time by which the last requests have to end.

    Args:
        ends_at: Time at which the process ends, in seconds.
    """
    return ends_at - LAST_ANSWER_S


def can_finish(
    *,
    now: float,
    wait_s: float,
    service_s: float | None,
    deadline: float,
    last_at: float,
) -> bool:
    """Returns whether a request is likely to end before the process does.

    Args:
        now: Current time, in seconds.
        wait_s: Expected time until it is sent to its target, in seconds.
        service_s: Mean time that the target takes, in seconds; None if it is
            not known.
        deadline: Deadline of the request, in seconds. It is `last_at` if it
            would be later without the end of the process.
        last_at: Time by which the last requests have to end, in seconds.
    """
    if deadline < last_at:
        return True
    if service_s is None:
        return False
    return now + wait_s + LONGEST_FACTOR * service_s <= last_at
