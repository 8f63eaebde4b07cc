"""Validation of exceptions."""

from collections.abc import Iterator
from typing import Any

import attrs

from guavawing.config.bounds import (
    RANGES,
    check_name,
    check_range,
    check_text,
)
from guavawing.config.document import (
    Document,
    ExceptionEntry,
    LimitClass,
    Overrides,
)
from guavawing.config.fault import Fault, describe_names, quote
from guavawing.model import CallClass

__all__ = ["check_exceptions"]

MAX_REASON_LENGTH = 500
MAX_OWNER_LENGTH = 100

_SETTING_TYPES: dict[str, type] = {
    "call_class": str,
    "deadline_ms": int,
    "queue_limit": int,
    "body_limit": int,
    "max_attempts": int,
    "retry_ratio": float,
    "spill": bool,
    "slots": int,
    "connections": int,
}
_LIMITS = tuple(field.name for field in attrs.fields(LimitClass))
assert set(_SETTING_TYPES) == {
    *(field.name for field in attrs.fields(Overrides)),
    *_LIMITS,
}


def check_exceptions(document: Document) -> Iterator[Fault]:
    """Yields a fault for each rule that the exceptions violate."""
    first_names: dict[tuple[object, ...], str] = {}
    for name, entry in document.exceptions.items():
        place = f"exceptions.{name}"
        yield from _check_scope(document, entry, place)
        yield from check_text(
            f"{place}.reason", entry.reason, MAX_REASON_LENGTH
        )
        yield from check_text(f"{place}.owner", entry.owner, MAX_OWNER_LENGTH)
        yield from _check_value(document, entry, place)
        scope = (entry.service, entry.route, entry.data_centre, entry.setting)
        first = first_names.setdefault(scope, name)
        if first != name:
            yield Fault(
                place,
                "got the same service, route, data centre and setting as"
                f" exception {first!r}, expected one exception for them",
            )


def _check_scope(
    document: Document, entry: ExceptionEntry, place: str
) -> Iterator[Fault]:
    if entry.service not in document.services:
        yield Fault(
            f"{place}.service",
            f"got {quote(entry.service)}, expected one of"
            f" {describe_names(document.services)}",
        )
    if entry.data_centre is not None:
        yield from check_name(f"{place}.data_centre", entry.data_centre)
    if entry.route is None:
        return
    route = document.routes.get(entry.route)
    if route is None or route.service != entry.service:
        yield Fault(
            f"{place}.route",
            f"got {quote(entry.route)}, expected a route of"
            f" {quote(entry.service)}",
        )
    elif entry.setting in _LIMITS:
        yield Fault(
            f"{place}.route",
            f"got {quote(entry.route)}, expected none: {entry.setting!r}"
            " holds for the whole service",
        )


def _check_value(
    document: Document, entry: ExceptionEntry, place: str
) -> Iterator[Fault]:
    kind = _SETTING_TYPES.get(entry.setting)
    if kind is None:
        yield Fault(
            f"{place}.setting",
            f"got {quote(entry.setting)}, expected one of"
            f" {', '.join(sorted(_SETTING_TYPES))}",
        )
        return
    place = f"{place}.value"
    value: Any = entry.value
    # JSON encoders may write integral floats without a decimal point.
    accepted = (float, int) if kind is float else (kind,)
    if type(value) not in accepted:
        yield Fault(place, f"got {quote(value)}, expected {kind.__name__}")
    elif entry.setting == "call_class" and value not in list(CallClass):
        yield Fault(
            place, f"got {quote(value)}, expected {', '.join(CallClass)}"
        )
    elif entry.setting in _LIMITS:
        yield from _check_limit(document, entry, value, place)
    elif entry.setting in RANGES:
        yield from check_range(place, value, *RANGES[entry.setting])


def _check_limit(
    document: Document, entry: ExceptionEntry, value: int, place: str
) -> Iterator[Fault]:
    """Yields a fault if an exception exceeds the bought capacity.

    Within the bounds, a target has at least one connection for each slot
    under any combination of the exceptions of its service.
    """
    service = document.services.get(entry.service)
    if service is None:
        return
    limits = document.limit_classes.get(service.limit_class)
    bought = document.capacity.get(service.limit_class)
    if limits is None or bought is None:
        return
    if entry.setting == "slots":
        low = bought.slots_floor
        high = min(bought.slots_ceiling, limits.connections)
    else:
        low, high = bought.slots_ceiling, bought.connections_ceiling
    yield from check_range(place, value, low, high)
