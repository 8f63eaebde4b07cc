"""Decoding of the headers in which a target states its limit or departure."""

from collections.abc import Sequence

from guavawing.platform.decimals import parse_decimal
from guavawing.traffic.model import TargetNotice

__all__ = ["NO_NOTICE", "decode_notice"]

NO_NOTICE = TargetNotice()
_LEAVING_VALUES = {b"1": True, b"0": False}
MAX_QUOTED_CHARS = 80


def decode_notice(
    limits: Sequence[bytes], leaving: Sequence[bytes]
) -> TargetNotice:
    """Decodes the statements of one answer.

    If a target names several limits, the lowest readable one counts. Values
    that cannot be read are reported and have no other effect.

    Args:
        limits: Values of `Server-Limit`, one for each header line.
        leaving: Values of `Server-Leaving`, one for each header line.
    """
    per_s: list[float] = []
    leaves = False
    unreadable: list[str] = []
    for value in _split_lists(limits):
        number = parse_decimal(value)
        if number is None:
            unreadable.append(f"Server-Limit {_quote(value)}")
        else:
            per_s.append(number)
    for value in _split_lists(leaving):
        if value in _LEAVING_VALUES:
            leaves = leaves or _LEAVING_VALUES[value]
        else:
            unreadable.append(f"Server-Leaving {_quote(value)}")
    return TargetNotice(
        names_limit=bool(limits),
        limit_per_s=min(per_s, default=None),
        leaving=leaves,
        unreadable=", ".join(unreadable)[:MAX_QUOTED_CHARS],
    )


def _split_lists(values: Sequence[bytes]) -> list[bytes]:
    """Returns the members of comma-separated header values."""
    return [part.strip() for value in values for part in value.split(b",")]


def _quote(value: bytes) -> str:
    return repr(value.decode("latin-1"))
