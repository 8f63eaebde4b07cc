"""Suspicions: the time that a suspect has to refute."""

import math

from guavawing.model import MemberId

__all__ = ["Suspicion"]

# Independent accusers, after the first, that bring the shortest timeout.
CONFIRMATIONS_WANTED = 3
MIN_MULTIPLIER = 4.0
MAX_TO_MIN_RATIO = 6.0


class Suspicion:
    """A suspicion that shrinks its timeout with each independent accuser.

    One accuser alone may be at fault itself and has to wait long; several
    that don't depend on each other hardly are.
    """

    __slots__ = ("_accusers", "_max_s", "_min_s", "_started", "_wanted")

    def __init__(
        self,
        accuser: MemberId,
        *,
        period_s: float,
        members: int,
        now: float,
    ) -> None:
        self._accusers = [accuser]
        self._started = now
        # The subject and the first accuser can't confirm.
        self._wanted = max(0, min(CONFIRMATIONS_WANTED, members - 2))
        scale = max(1.0, math.log10(max(1, members)))
        self._min_s = MIN_MULTIPLIER * scale * period_s
        self._max_s = MAX_TO_MIN_RATIO * self._min_s

    def confirm(self, accuser: MemberId) -> bool:
        """Takes an accuser; returns whether the news is worth passing on."""
        if not self.wants(accuser):
            return False
        self._accusers.append(accuser)
        return True

    def wants(self, accuser: MemberId) -> bool:
        """Returns whether this accuser's word would shorten the timeout."""
        full = len(self._accusers) > self._wanted
        return not full and accuser not in self._accusers

    def restart(self, now: float) -> None:
        """Starts the whole time again, without confirmations."""
        self._started = now
        del self._accusers[1:]

    @property
    def deadline(self) -> float:
        """When the suspect is to be held dead."""
        return self._started + self._timeout_s()

    def _timeout_s(self) -> float:
        if self._wanted == 0:
            return self._min_s
        confirmations = len(self._accusers) - 1
        share = math.log(confirmations + 1) / math.log(self._wanted + 1)
        return max(
            self._min_s, self._max_s - (self._max_s - self._min_s) * share
        )
