"""Calls to the platform's store, its answers, and the era that they name."""

import re
from collections.abc import Awaitable, Callable, Sequence

import attrs

from guavawing.errors import PlatformUnavailableError, PlatformWriteUnknownError

__all__ = [
    "ERA_HEADER",
    "HttpAnswer",
    "HttpCall",
    "StoreEra",
    "Transport",
    "check_written",
    "parse_era",
]

# Statuses of requests that the store rejected without writing anything.
_REFUSALS = frozenset({400, 403, 404, 413, 429, 503, 507})
OK = 200
ERA_HEADER = "Store-Era"
_ERA = re.compile(r"[0-9]{1,18}")


@attrs.frozen
class HttpCall:
    """A call to the store.

    Attributes:
        method: HTTP method.
        path: Path and query.
        body: Complete body.
        timeout_s: Timeout of the answer, in seconds; a transport may extend it
            while the answer arrives.
        fresh: Whether it is sent on a new connection, since idle ones may have
            been lost without a sign.
    """

    method: str
    path: str
    body: bytes
    timeout_s: float
    fresh: bool = False


@attrs.frozen
class HttpAnswer:
    """An answer of the store.

    Attributes:
        status: HTTP status.
        body: Complete body.
        era: Era of the store; None if the answer names none that is readable.
    """

    status: int
    body: bytes
    era: int | None


# Executes a call. Raises PlatformUnavailableError if the call was not sent, and
# PlatformWriteUnknownError if no answer arrived.
Transport = Callable[[HttpCall], Awaitable[HttpAnswer]]


class StoreEra:
    """Newest era of the store that was seen.

    Attributes:
        newest: The era; 0 if no answer has named one.
        on_unreadable: Called for each answer whose era is missing, unreadable
            or lower than it was when the call was sent. Such an answer counts
            as one of the newest era.
        on_restored: Called when an answer is the first of a new era.
    """

    __slots__ = ("newest", "on_restored", "on_unreadable")

    def __init__(self) -> None:
        self.newest = 0
        self.on_restored: Callable[[], None] = lambda: None
        self.on_unreadable: Callable[[], None] = lambda: None

    def observe(self, era: int | None, *, before: int) -> bool:
        """Records the era of an answer; returns whether it is the newest.

        Args:
            era: The era that the answer names, if any.
            before: The newest era when the call was sent.
        """
        if era is None or era < before:
            if before:
                self.on_unreadable()
            return True
        is_newest = era >= self.newest
        known, self.newest = self.newest, max(self.newest, era)
        if 0 < known < era:
            self.on_restored()
        return is_newest


def parse_era(values: Sequence[str]) -> int | None:
    """Returns the era that the header lines of an answer name.

    It is None if there is no line, more than one, or no readable number.
    """
    if len(values) != 1 or not _ERA.fullmatch(values[0]):
        return None
    return int(values[0])


def check_written(status: int) -> None:
    """Checks the status of the answer to a write.

    Raises:
        PlatformUnavailableError: If nothing was written.
        PlatformWriteUnknownError: If the write may have been executed.
    """
    if status == OK:
        return
    if status in _REFUSALS:
        raise PlatformUnavailableError(
            f"the store gave no usable answer: status {status}"
        )
    # With any other status, the write may have been forwarded and executed, and
    # its answer lost.
    raise PlatformWriteUnknownError(
        f"the store answered a write with status {status}"
    )
