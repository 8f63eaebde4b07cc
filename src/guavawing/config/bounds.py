"""Bounds of single values, and checks of them."""

import re
from collections.abc import Iterator

from guavawing.config.fault import Fault, quote

__all__ = ["RANGES", "check_name", "check_range", "check_text"]

MAX_SLOTS = 10_000
MAX_CONNECTIONS = 10_000
MAX_QUEUE = 100_000
MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_ATTEMPTS = 10
MAX_DEADLINE_MS = 600_000
MAX_RETRY_RATIO = 1.0

_NAME = re.compile(r"[A-Za-z0-9_.-]{1,64}")
RANGES: dict[str, tuple[float, float]] = {
    "deadline_ms": (1, MAX_DEADLINE_MS),
    "queue_limit": (0, MAX_QUEUE),
    "body_limit": (0, MAX_BODY_BYTES),
    "max_attempts": (1, MAX_ATTEMPTS),
    "retry_ratio": (0.0, MAX_RETRY_RATIO),
}


def check_range(
    place: str, value: float, low: float, high: float
) -> Iterator[Fault]:
    """Yields a fault if a value is outside `low` to `high`, inclusive."""
    if not low <= value <= high:
        yield Fault(place, f"got {value}, expected from {low} to {high}")


def check_name(place: str, name: str) -> Iterator[Fault]:
    """Yields a fault if `name` is not a valid name of an entry."""
    if _NAME.fullmatch(name) is None:
        yield Fault(
            place,
            f"got {quote(name)}, expected a name of 1 to 64 letters, digits,"
            " '-', '_' or '.'",
        )


def check_text(place: str, text: str, max_length: int) -> Iterator[Fault]:
    """Yields a fault if `text` is blank, too long or not a single line."""
    if not text.strip() or not text.isprintable() or len(text) > max_length:
        yield Fault(
            place,
            f"got {quote(text)}, expected one line of 1 to {max_length}"
            " characters",
        )
