"""Validation of documents before they are published or applied."""

import datetime
import itertools
import re
from collections.abc import Iterator, Mapping
from typing import TypeVar

from guavawing.config.bounds import (
    MAX_CONNECTIONS,
    MAX_SLOTS,
    RANGES,
    check_name,
    check_range,
)
from guavawing.config.document import (
    Capacity,
    Defaults,
    Document,
    LimitClass,
    Overrides,
    Route,
    ServiceEntry,
)
from guavawing.config.exception_rules import check_exceptions
from guavawing.config.fault import MAX_FAULTS, Fault, describe_names, quote
from guavawing.errors import ConfigInvalidError

__all__ = [
    "check_change",
    "check_document",
    "find_ended_exceptions",
    "find_faults",
]

MAX_LIMIT_CLASSES = 100
MAX_SERVICES = 2_000
MAX_ROUTES = 5_000
MAX_ROUTES_PER_METHOD = 100
MAX_EXCEPTIONS = 200
MAX_PREFIX_LENGTH = 256

HTTP_METHODS = ("DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT")

T = TypeVar("T")

_PATH_PREFIX = re.compile(r"/[!-~]*")


def check_document(document: Document) -> None:
    """Checks that a document violates no rule.

    Raises:
        ConfigInvalidError: With all faults, up to `MAX_FAULTS`.
    """
    faults = tuple(itertools.islice(find_faults(document), MAX_FAULTS))
    if faults:
        raise ConfigInvalidError(faults)


def check_change(document: Document, before: Document) -> None:
    """Checks that a document violates no rule, given a valid predecessor.

    Entries that are the same objects as in the predecessor are not checked
    again: rules for single entries still hold. Rules for groups of entries
    can be violated only by a changed entry, and are checked for all entries in
    its group.

    Args:
        document: The document to check.
        before: The predecessor, which violates no rule.

    Raises:
        ConfigInvalidError: With all faults, up to `MAX_FAULTS`.
    """
    removed = before.services.keys() - document.services.keys()
    if removed or document.limit_classes != before.limit_classes:
        check_document(document)
        return
    services = _select_changed(document.services, before.services)
    changed = _select_changed(document.routes, before.routes).values()
    groups = {(route.service, route.http_method) for route in changed}
    routes = {
        name: route
        for name, route in document.routes.items()
        if (route.service, route.http_method) in groups
    }
    if any(_find_faults(document, services, routes)):
        check_document(document)


def _select_changed(
    current: dict[str, T], before: dict[str, T]
) -> dict[str, T]:
    return {
        name: entry
        for name, entry in current.items()
        if before.get(name) is not entry
    }


def find_faults(document: Document) -> Iterator[Fault]:
    """Yields all faults of a document."""
    yield from _find_faults(document, document.services, document.routes)


def _find_faults(
    document: Document,
    services: dict[str, ServiceEntry],
    routes: dict[str, Route],
) -> Iterator[Fault]:
    """Yields all faults, with only the given services and routes checked."""
    yield from _check_counts(document)
    yield from _check_names(document, services, routes)
    yield from _check_settings(document.defaults, "defaults")
    yield from _check_capacities(document)
    for name, limits in document.limit_classes.items():
        yield from _check_limit_class(document, name, limits)
    for name, service in services.items():
        place = f"services.{name}"
        if service.limit_class not in document.limit_classes:
            yield Fault(
                f"{place}.limit_class",
                f"got {quote(service.limit_class)}, expected one of"
                f" {describe_names(document.limit_classes)}",
            )
        yield from _check_settings(service, place)
    yield from _check_routes(document, routes)
    yield from check_exceptions(document)


def find_ended_exceptions(
    document: Document,
    today: datetime.date,
    *,
    base: Document | None = None,
) -> Iterator[Fault]:
    """Yields a fault for each exception whose last day has passed.

    Publishing rejects these, while a node only stops applying them. An
    exception that is unchanged since `base` is skipped: it ended while in
    force, and must not prevent operators from publishing other changes.
    """
    known = {} if base is None else base.exceptions
    for name, entry in document.exceptions.items():
        if entry.ends is None or entry.ends >= today:
            continue
        if known.get(name) != entry:
            yield Fault(
                f"exceptions.{name}.ends",
                f"got {entry.ends}, expected {today} or later",
            )


def _check_counts(document: Document) -> Iterator[Fault]:
    for place, entries, max_entries in (
        ("limit_classes", document.limit_classes, MAX_LIMIT_CLASSES),
        ("services", document.services, MAX_SERVICES),
        ("routes", document.routes, MAX_ROUTES),
        ("exceptions", document.exceptions, MAX_EXCEPTIONS),
    ):
        if len(entries) > max_entries:
            yield Fault(
                place,
                f"got {len(entries)} entries, expected at most {max_entries}",
            )


def _check_names(
    document: Document,
    services: dict[str, ServiceEntry],
    routes: dict[str, Route],
) -> Iterator[Fault]:
    parts: dict[str, Mapping[str, object]] = {
        "limit_classes": document.limit_classes,
        "services": services,
        "routes": routes,
        "exceptions": document.exceptions,
    }
    for part, entries in parts.items():
        for name in entries:
            yield from check_name(f"{part}.{name}", name)


def _check_settings(
    values: Defaults | Overrides, place: str
) -> Iterator[Fault]:
    for name, (low, high) in RANGES.items():
        value = getattr(values, name)
        if value is not None:
            yield from check_range(f"{place}.{name}", value, low, high)


def _check_capacities(document: Document) -> Iterator[Fault]:
    for name, bought in document.capacity.items():
        place = f"capacity.{name}"
        if name not in document.limit_classes:
            yield Fault(place, f"got {quote(name)}, expected a limit class")
            continue
        yield from _check_capacity(bought, place)


def _check_capacity(bought: Capacity, place: str) -> Iterator[Fault]:
    yield from check_range(
        f"{place}.slots_floor", bought.slots_floor, 1, bought.slots_ceiling
    )
    yield from check_range(
        f"{place}.slots_ceiling", bought.slots_ceiling, 1, MAX_SLOTS
    )
    yield from check_range(
        f"{place}.connections_ceiling",
        bought.connections_ceiling,
        bought.slots_ceiling,
        MAX_CONNECTIONS,
    )


def _check_limit_class(
    document: Document, name: str, limits: LimitClass
) -> Iterator[Fault]:
    bought = document.capacity.get(name)
    if bought is None:
        yield Fault(
            f"capacity.{name}",
            "got nothing, expected what was bought for this limit class",
        )
        return
    place = f"limit_classes.{name}"
    yield from check_range(
        f"{place}.slots", limits.slots, bought.slots_floor, bought.slots_ceiling
    )
    yield from check_range(
        f"{place}.connections",
        limits.connections,
        limits.slots,
        bought.connections_ceiling,
    )


def _check_routes(
    document: Document, routes: dict[str, Route]
) -> Iterator[Fault]:
    first_names: dict[tuple[str, str, str], str] = {}
    counts: dict[tuple[str, str], int] = {}
    for name, route in routes.items():
        place = f"routes.{name}"
        yield from _check_route(document, route, place)
        # The longest prefix matches first, so a route is shadowed only by one
        # with an equal prefix.
        requests = (route.service, route.http_method, route.path_prefix)
        first = first_names.setdefault(requests, name)
        if first != name:
            yield Fault(
                place,
                f"got the same service, method and path as route {first!r},"
                " expected other requests",
            )
        group = requests[:2]
        counts[group] = counts.get(group, 0) + 1
        if counts[group] == MAX_ROUTES_PER_METHOD + 1:
            yield Fault(
                place,
                f"got one more route of {group[1]} requests, expected at most"
                f" {MAX_ROUTES_PER_METHOD} for a service",
            )


def _check_route(
    document: Document, route: Route, place: str
) -> Iterator[Fault]:
    if route.service not in document.services:
        yield Fault(
            f"{place}.service",
            f"got {quote(route.service)}, expected one of"
            f" {describe_names(document.services)}",
        )
    if route.http_method not in HTTP_METHODS:
        yield Fault(
            f"{place}.http_method",
            f"got {quote(route.http_method)}, expected one of"
            f" {', '.join(HTTP_METHODS)}",
        )
    prefix = route.path_prefix
    matchable = _PATH_PREFIX.fullmatch(prefix) and not set("?#") & set(prefix)
    if not matchable or len(prefix) > MAX_PREFIX_LENGTH:
        yield Fault(
            f"{place}.path_prefix",
            f"got {quote(prefix)}, expected a path that starts with / and has"
            f" no space, ? or #, of at most {MAX_PREFIX_LENGTH} characters",
        )
    yield from _check_settings(route, place)
