"""Decimal numbers in headers."""

import re

__all__ = ["parse_decimal"]

# Finite and not negative: the length of the digits is bounded, as the range of
# a float is.
_DECIMAL = re.compile(
    rb"(?:[0-9]{1,30}(?:\.[0-9]{0,30})?|\.[0-9]{1,30})(?:[eE][+-]?[0-9]{1,2})?"
)


def parse_decimal(value: bytes) -> float | None:
    """Returns a number of at least 0; None if the value is anything else."""
    value = value.strip()
    return float(value) if _DECIMAL.fullmatch(value) else None
