"""Values of settings on the command line."""

import orjson

from guavawing.config import Scalar

__all__ = ["parse_value"]


def parse_value(text: str) -> Scalar:
    """Returns the number or flag that `text` is in JSON, else the text."""
    try:
        value = orjson.loads(text)
    except orjson.JSONDecodeError:
        return text
    return value if isinstance(value, bool | int | float) else text
