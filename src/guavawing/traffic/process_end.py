"""Which requests still begin while a process stops.

Load: a planned stop during which clients go on sending, since they learn late
that the node stops, or have nowhere else to go while much of its data centre
restarts. A request that the process can't finish is cut at its target, where a
refusal sends the client elsewhere at once.
"""

import math

import attrs

__all__ = ["LAST_ANSWER_S", "ProcessEnd"]

# Factor of the mean time within which nearly all executions end, if their times
# differ little.
LONGEST_FACTOR = 4.0
# Time reserved for the last answers before the process ends, in seconds: above
# the time after the deadline at which the wait for an owner's answer ends.
LAST_ANSWER_S = 0.3


@attrs.define
class ProcessEnd:
    """End of this process, shared by the components that admit requests.

    Attributes:
        at: Time at which the process ends, in seconds; infinite unless it
            stops.
        clients_informed: Whether clients have had the time to learn that the
            process stops. Requests that it can't finish are refused since.
    """

    at: float = math.inf
    clients_informed: bool = False

    @property
    def last_answer(self) -> float:
        """Time by which the last requests have to end, in seconds."""
        return self.at - LAST_ANSWER_S

    def can_finish(
        self,
        *,
        now: float,
        wait_s: float,
        service_s: float | None,
        longest_s: float | None,
        idempotent: bool,
        deadline: float,
    ) -> bool:
        """Returns whether a request may begin.

        Args:
            now: Current time, in seconds.
            wait_s: Expected time until it is sent to its target, in seconds.
            service_s: Mean time that the target takes, in seconds; None if it
                is not known.
            longest_s: Time within which nearly all requests like it have
                ended, in seconds; None if it is not known.
            idempotent: Whether it may be sent again after it was cut. If not,
                what is not known keeps it from beginning.
            deadline: Deadline of the request, in seconds. It is `last_answer`
                if it would be later without the end of the process.
        """
        if not self.clients_informed or deadline < self.last_answer:
            return True
        if service_s is None or (longest_s is None and not idempotent):
            return False
        needed_s = max(wait_s + LONGEST_FACTOR * service_s, longest_s or 0.0)
        return now + needed_s <= self.last_answer

    def can_take(
        self, *, now: float, service_s: float, longest_s: float | None
    ) -> bool:
        """Returns whether an attempt of another node may begin.

        It is refused from the start of the stop on, as the other node can send
        it elsewhere at once.

        Args:
            now: Current time, in seconds.
            service_s: Mean time that the target takes, in seconds.
            longest_s: See `can_finish`.
        """
        needed_s = max(LONGEST_FACTOR * service_s, longest_s or 0.0)
        return now + needed_s <= self.at
