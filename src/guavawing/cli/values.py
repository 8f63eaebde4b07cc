"""Parsing of setting values on the command line."""

import orjson

from guavawing.config import Scalar

__all__ = ["parse_value"]


def parse_value(text: str) -> Scalar:
    """Returns a JSON number or boolean; any other text as it is."""
    try:
        value = orjson.loads(text)
    except orjson.JSONDecodeError:
        return text
    return value if isinstance(value, bool | int | float) else text
