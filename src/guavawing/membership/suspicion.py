"""Suspicions: the time in which a suspect can refute."""

import math

from guavawing.model import MemberId

__all__ = ["Suspicion"]

# Independent accusers, after the first, for the minimum timeout.
MAX_CONFIRMATIONS = 3
MIN_MULTIPLIER = 4.0
MAX_TO_MIN_RATIO = 6.0


class Suspicion:
    """A suspicion whose timeout decreases with each independent accuser.

    A single accuser may itself be faulty, so its timeout is long; several
    independent accusers are unlikely to be faulty at the same time.
    """

    __slots__ = (
        "_accusers",
        "_max_confirmations",
        "_max_s",
        "_min_s",
        "_started",
    )

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
        # The subject and the first accuser cannot confirm.
        self._max_confirmations = max(0, min(MAX_CONFIRMATIONS, members - 2))
        scale = max(1.0, math.log10(max(1, members)))
        self._min_s = MIN_MULTIPLIER * scale * period_s
        self._max_s = MAX_TO_MIN_RATIO * self._min_s

    def confirm(self, accuser: MemberId) -> bool:
        """Adds an accuser; returns whether it is new and to be disseminated."""
        if not self.accepts(accuser):
            return False
        self._accusers.append(accuser)
        return True

    def accepts(self, accuser: MemberId) -> bool:
        """Returns whether this accuser would shorten the timeout."""
        full = len(self._accusers) > self._max_confirmations
        return not full and accuser not in self._accusers

    def restart(self, now: float) -> None:
        """Restarts the timeout without the confirmations so far."""
        self._started = now
        del self._accusers[1:]

    @property
    def deadline(self) -> float:
        """When the suspect is marked dead."""
        return self._started + self._timeout_s()

    def _timeout_s(self) -> float:
        if self._max_confirmations == 0:
            return self._min_s
        confirmations = len(self._accusers) - 1
        share = math.log(confirmations + 1) / math.log(
            self._max_confirmations + 1
        )
        return max(
            self._min_s, self._max_s - (self._max_s - self._min_s) * share
        )
