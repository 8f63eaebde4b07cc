"""Heartbeat and deregistration calls of targets."""

from typing import Any

import orjson

from guavawing.errors import InvalidArgumentError, MessageInvalidError
from guavawing.model import parse_address
from guavawing.traffic.model import TargetReport

__all__ = [
    "DEREGISTRATION_PATH",
    "HEARTBEAT_PATH",
    "decode_deregistration",
    "decode_heartbeat",
]

HEARTBEAT_PATH = "/-/Instances.Heartbeat/"
DEREGISTRATION_PATH = "/-/Instances.Deregister/"
MS_PER_S = 1000
MAX_ID_LENGTH = 200
# Largest accepted numbers: slots of a target, time for which it stays slow
# after its start, and counters, which are exact in JSON up to this one.
MAX_SLOTS = 1_000_000
MAX_COLD_MS = 24 * 3600 * MS_PER_S
MAX_COUNT = 2**53
_DRAINING_BY_STATE = {"ready": False, "draining": True}


def decode_heartbeat(target_id: str, body: bytes) -> TargetReport:
    """Decodes a heartbeat.

    Args:
        target_id: Id in the path of the call.
        body: Body of the call.

    Raises:
        MessageInvalidError: If the body is not JSON, or a field is missing
            or has an unexpected type or value.
    """
    try:
        content = orjson.loads(body)
        info, status = content["info"], content["status"]
        return TargetReport(
            id=_check_type(target_id, str),
            service=_check_type(info["service"], str),
            address=parse_address(_check_type(content["address"], str)),
            slots=_check_number(info["slots"], MAX_SLOTS),
            draining=_DRAINING_BY_STATE[_check_type(status["state"], str)],
            sequence=_check_number(status["sequence"], MAX_COUNT),
            cold_s=max(
                0,
                _check_number(
                    status.get("coldRemainingMs", 0),
                    MAX_COLD_MS,
                    least=-MAX_COLD_MS,
                ),
            )
            / MS_PER_S,
            born_ms=_check_number(content.get("born", 0), MAX_COUNT),
            release=_check_type(info.get("version", ""), str),
        )
    except (
        AttributeError,
        InvalidArgumentError,
        KeyError,
        TypeError,
        ValueError,
    ) as exc:
        raise MessageInvalidError(
            f"the heartbeat of {target_id[:MAX_ID_LENGTH]!r} is invalid:"
            f" {exc!r}"
        ) from exc


def decode_deregistration(target_id: str, body: bytes) -> int:
    """Decodes the start of a target that deregisters.

    Args:
        target_id: Id in the path of the call.
        body: Body of the call.

    Returns:
        Start of its process, Unix time in milliseconds; 0 if not given.

    Raises:
        MessageInvalidError: If the body is neither empty nor JSON, or the
            start has an unexpected type or value.
    """
    try:
        content = orjson.loads(body or b"{}")
        return _check_number(content.get("born", 0), MAX_COUNT)
    except (AttributeError, TypeError, ValueError) as exc:
        raise MessageInvalidError(
            f"the deregistration of {target_id[:MAX_ID_LENGTH]!r} is invalid:"
            f" {exc!r}"
        ) from exc


def _check_type(value: Any, kind: type) -> Any:
    """Returns a value of exactly a type; a bool is not an int here."""
    if type(value) is not kind:
        raise TypeError(f"got {value!r}, expected {kind.__name__}")
    return value


def _check_number(value: Any, most: int, *, least: int = 0) -> int:
    """Returns a whole number within bounds."""
    number: int = _check_type(value, int)
    if not least <= number <= most:
        raise ValueError(f"got {number}, expected {least} to {most}")
    return number
