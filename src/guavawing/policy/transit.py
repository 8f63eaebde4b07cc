"""Time that a message has spent between two processes.

The clocks of two VMs are not compared. Each message carries the sender's
clock; the smallest difference seen between the receiver's clock and it
stands for the fastest transit of the connection, and any excess over it is
time the message waited, in a network or in a receiver that was paused.

The two clocks drift apart slowly. The smallest difference is therefore let
rise by the largest drift that two clocks can have, so an old smallest
difference does not turn into a growing delay.

The first messages of a connection have no earlier ones to compare with: if
the receiver was paused when they came, their wait would pass for transit.
The handshake therefore gives a lower bound: the sender's first message
answers one of the receiver's, so it was not sent before that one.
"""

__all__ = ["TransitMeter"]

# Largest rate by which two monotonic clocks drift apart, seconds a second.
MAX_DRIFT_RATE = 0.0002


class TransitMeter:
    """Smallest clock difference seen on one connection."""

    __slots__ = ("_seen_at", "_smallest_difference_s")

    def __init__(self) -> None:
        self._smallest_difference_s: float | None = None
        self._seen_at = 0.0

    def set_bound(
        self, *, sent_at: float, not_before: float, now: float
    ) -> None:
        """Takes when the message with `sent_at` can have been sent at first.

        Args:
            sent_at: Sender's clock when the message was sent, in seconds.
            not_before: Receiver's clock when it sent the message that this
                one answers, in seconds.
            now: Receiver's clock, in seconds.
        """
        self._smallest_difference_s = not_before - sent_at
        self._seen_at = now

    def measure_delay(self, *, sent_at: float, now: float) -> float:
        """Returns how long a message waited beyond the fastest transit.

        Args:
            sent_at: Sender's clock when the message was sent, in seconds.
            now: Receiver's clock, in seconds.
        """
        difference = now - sent_at
        smallest = self._smallest_difference_s
        if smallest is not None:
            smallest += (now - self._seen_at) * MAX_DRIFT_RATE
        if smallest is None or difference < smallest:
            self._smallest_difference_s = difference
            self._seen_at = now
            return 0.0
        return difference - smallest
