"""Calls by which targets tell of themselves."""

from typing import Any

import orjson

from guavawing.errors import InvalidArgumentError, MessageInvalidError
from guavawing.model import parse_address
from guavawing.traffic.model import TargetReport

__all__ = ["DEREGISTRATION_PATH", "HEARTBEAT_PATH", "decode_heartbeat"]

HEARTBEAT_PATH = "/-/Instances.Heartbeat/"
DEREGISTRATION_PATH = "/-/Instances.Deregister/"
MS_PER_S = 1000
MAX_ID_LENGTH = 200
_DRAINING = {"ready": False, "draining": True}


def decode_heartbeat(target_id: str, body: bytes) -> TargetReport:
    """Reads a heartbeat.

    Args:
        target_id: Id in the path of the call.
        body: Body of the call.

    Raises:
        MessageInvalidError: If the body can't be read, or a field is missing
            or has a type or a value that the platform does not use.
    """
    try:
        content = orjson.loads(body)
        info, status = content["info"], content["status"]
        return TargetReport(
            id=_check(target_id, str),
            service=_check(info["service"], str),
            address=parse_address(_check(content["address"], str)),
            slots=_check(info["slots"], int),
            draining=_DRAINING[_check(status["state"], str)],
            sequence=_check(status["sequence"], int),
            cold_s=max(0, _check(status.get("coldRemainingMs", 0), int))
            / MS_PER_S,
            born_ms=_check(content.get("born", 0), int),
        )
    except (
        AttributeError,
        InvalidArgumentError,
        KeyError,
        TypeError,
        ValueError,
    ) as exc:
        raise MessageInvalidError(
            f"the heartbeat of {target_id[:MAX_ID_LENGTH]!r} can't be read:"
            f" {exc!r}"
        ) from exc


def _check(value: Any, kind: type) -> Any:
    """Returns a value of a type; a bool is no number here."""
    if type(value) is not kind:
        raise TypeError(f"got {value!r}, expected {kind.__name__}")
    return value
