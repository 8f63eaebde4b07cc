"""Delay of messages between two processes with unsynchronised clocks.

Each message carries the sender's clock. The minimum observed difference
between the receiver's clock and the sender's corresponds to the fastest
transit of the connection; any excess over it is time for which the message
waited, in the network or in a suspended receiver.

The two clocks drift apart slowly. The minimum difference is therefore raised
over time by the maximum drift of two clocks; otherwise an old minimum would
appear as a growing delay.

The first messages of a connection have no earlier ones to compare with: if
the receiver was suspended when they arrived, their wait would count as transit.
The handshake therefore provides a lower bound: the sender's first message
answers one of the receiver's, so it was not sent before that one.
"""

__all__ = ["TransitMeter"]

# Maximum relative drift of two monotonic clocks, seconds per second.
MAX_DRIFT_RATE = 0.0002


class TransitMeter:
    """Minimum clock difference observed on one connection."""

    __slots__ = ("_recorded_at", "_smallest_difference_s")

    def __init__(self) -> None:
        self._smallest_difference_s: float | None = None
        self._recorded_at = 0.0

    def set_bound(
        self, *, sent_at: float, not_before: float, now: float
    ) -> None:
        """Sets the earliest time at which a message can have been sent.

        Args:
            sent_at: Sender's clock when the message was sent, in seconds.
            not_before: Receiver's clock when it sent the message that this
                one answers, in seconds.
            now: Receiver's clock, in seconds.
        """
        self._smallest_difference_s = not_before - sent_at
        self._recorded_at = now

    def measure_delay(self, *, sent_at: float, now: float) -> float:
        """Returns how long a message waited beyond the fastest transit.

        Args:
            sent_at: Sender's clock when the message was sent, in seconds.
            now: Receiver's clock, in seconds.
        """
        difference = now - sent_at
        smallest = self._smallest_difference_s
        if smallest is not None:
            smallest += (now - self._recorded_at) * MAX_DRIFT_RATE
        if smallest is None or difference < smallest:
            self._smallest_difference_s = difference
            self._recorded_at = now
            return 0.0
        return difference - smallest
