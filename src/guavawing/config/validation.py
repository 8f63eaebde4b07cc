"""Rules that a document must keep before it is published or applied."""

from collections.abc import Iterator
from typing import Any

import attrs

from guavawing.config.document import (
    Defaults,
    Document,
    ExceptionEntry,
    LimitClass,
    Route,
)
from guavawing.config.fault import Fault
from guavawing.errors import ConfigInvalidError
from guavawing.model import CallClass

__all__ = ["check_document", "find_faults"]

MAX_SLOTS = 10_000
MAX_CONNECTIONS = 10_000
MAX_QUEUE = 100_000
MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_ATTEMPTS = 10
MAX_DEADLINE_MS = 600_000
MAX_RETRY_RATIO = 1.0

_FIELD_TYPES = {
    "call_class": str,
    "deadline_ms": int,
    "queue_limit": int,
    "body_limit": int,
    "max_attempts": int,
    "retry_ratio": float,
    "spill": bool,
}


def check_document(document: Document) -> None:
    """Refuses a document that breaks a rule.

    Raises:
        ConfigInvalidError: With every fault found.
    """
    faults = tuple(find_faults(document))
    if faults:
        raise ConfigInvalidError(faults)


def find_faults(document: Document) -> Iterator[Fault]:
    """Yields every broken rule of a document."""
    yield from _check_defaults(document.defaults, "defaults")
    for name, limits in document.limit_classes.items():
        yield from _check_limit_class(limits, f"limit_classes.{name}")
    for name, service in document.services.items():
        if service.limit_class not in document.limit_classes:
            yield Fault(
                f"services.{name}.limit_class",
                f"got {service.limit_class!r}, expected one of"
                f" {sorted(document.limit_classes)}",
            )
    for name, route in document.routes.items():
        yield from _check_route(document, route, f"routes.{name}")
    for name, entry in document.exceptions.items():
        yield from _check_exception(document, entry, f"exceptions.{name}")


def _check_range(
    place: str, value: float, low: float, high: float
) -> Iterator[Fault]:
    if not low <= value <= high:
        yield Fault(place, f"got {value}, expected from {low} to {high}")


def _check_limit_class(limits: LimitClass, place: str) -> Iterator[Fault]:
    yield from _check_range(f"{place}.slots", limits.slots, 1, MAX_SLOTS)
    yield from _check_range(
        f"{place}.connections",
        limits.connections,
        limits.slots,
        MAX_CONNECTIONS,
    )


def _check_defaults(defaults: Defaults, place: str) -> Iterator[Fault]:
    for name, low, high in (
        ("deadline_ms", 1, MAX_DEADLINE_MS),
        ("queue_limit", 0, MAX_QUEUE),
        ("body_limit", 0, MAX_BODY_BYTES),
        ("max_attempts", 1, MAX_ATTEMPTS),
        ("retry_ratio", 0.0, MAX_RETRY_RATIO),
    ):
        yield from _check_range(
            f"{place}.{name}", getattr(defaults, name), low, high
        )


def _check_route(
    document: Document, route: Route, place: str
) -> Iterator[Fault]:
    if route.service not in document.services:
        yield Fault(
            f"{place}.service",
            f"got {route.service!r}, expected one of"
            f" {sorted(document.services)}",
        )
    if not route.path_prefix.startswith("/"):
        yield Fault(
            f"{place}.path_prefix",
            f"got {route.path_prefix!r}, expected a path that starts with /",
        )
    if route.deadline_ms is not None:
        yield from _check_range(
            f"{place}.deadline_ms", route.deadline_ms, 1, MAX_DEADLINE_MS
        )


def _check_exception(
    document: Document, entry: ExceptionEntry, place: str
) -> Iterator[Fault]:
    if entry.service not in document.services:
        yield Fault(
            f"{place}.service",
            f"got {entry.service!r}, expected one of"
            f" {sorted(document.services)}",
        )
    if entry.route is not None and entry.route not in document.routes:
        yield Fault(
            f"{place}.route",
            f"got {entry.route!r}, expected one of {sorted(document.routes)}",
        )
    for name in ("reason", "owner"):
        if not getattr(entry, name).strip():
            yield Fault(f"{place}.{name}", "got an empty text")
    yield from _check_setting(entry, place)


def _check_setting(entry: ExceptionEntry, place: str) -> Iterator[Fault]:
    kind = _FIELD_TYPES.get(entry.setting)
    if kind is None:
        yield Fault(
            f"{place}.setting",
            f"got {entry.setting!r}, expected one of {sorted(_FIELD_TYPES)}",
        )
        return
    value = entry.value
    if kind is float and type(value) is int:
        value = float(value)
    if type(value) is not kind:
        yield Fault(
            f"{place}.value", f"got {value!r}, expected {kind.__name__}"
        )
        return
    if entry.setting == "call_class":
        if value not in list(CallClass):
            yield Fault(
                f"{place}.value",
                f"got {value!r}, expected one of {[*map(str, CallClass)]}",
            )
        return
    change: dict[str, Any] = {entry.setting: value}
    changed = attrs.evolve(Defaults(), **change)
    yield from _check_defaults(changed, f"{place}.value")
