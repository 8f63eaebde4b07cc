"""Doubts about a valid document: entries without effect, contradictions.

A document with doubts can be published, but an operator hardly meant the
entries that they name.
"""

import datetime
from collections.abc import Iterator

import attrs

from guavawing.config.document import Document, ExceptionEntry, LimitClass
from guavawing.config.effective import PolicyTable
from guavawing.config.fault import Fault

__all__ = ["find_doubts"]

# Stands for all data centres that no exception names.
_OTHER_DATA_CENTRE = ""
# No exception has ended on this day.
_FIRST_DAY = datetime.date.min
_LIMITS = tuple(field.name for field in attrs.fields(LimitClass))
_METHODS_WITH_BODY = frozenset({"PATCH", "POST", "PUT"})


def find_doubts(document: Document) -> Iterator[Fault]:
    """Yields the doubts about a document that violates no rule."""
    yield from _find_unused_entries(document)
    for name, entry in document.exceptions.items():
        if _is_idle(document, name, entry):
            yield Fault(
                f"exceptions.{name}",
                f"got {entry.setting!r} that applies nowhere or without the"
                " exception, too, expected one with an effect",
            )
    yield from _find_contradictions(document)


def _find_unused_entries(document: Document) -> Iterator[Fault]:
    used = {service.limit_class for service in document.services.values()}
    for name in document.limit_classes:
        if name not in used:
            yield Fault(
                f"limit_classes.{name}",
                "got no service with this limit class, expected one or more",
            )
    called = {route.service for route in document.routes.values()}
    for name in document.services:
        if name not in called:
            yield Fault(
                f"services.{name}",
                "got no route to this service, expected one or more: no"
                " request can reach it",
            )


def _is_idle(document: Document, name: str, entry: ExceptionEntry) -> bool:
    """Returns whether an exception changes nothing where it applies."""
    exceptions = {
        other: each
        for other, each in document.exceptions.items()
        if each.service == entry.service
    }
    centres = {each.data_centre for each in exceptions.values()}
    if entry.data_centre is not None:
        centres = {entry.data_centre}
    else:
        centres = {centre or _OTHER_DATA_CENTRE for centre in centres}
    alone = attrs.evolve(document, exceptions=exceptions)
    without = attrs.evolve(
        document,
        exceptions={o: e for o, e in exceptions.items() if o != name},
    )
    return all(
        _find_effect(alone, entry, centre or _OTHER_DATA_CENTRE)
        == _find_effect(without, entry, centre or _OTHER_DATA_CENTRE)
        for centre in centres
    )


def _find_effect(
    document: Document, entry: ExceptionEntry, data_centre: str
) -> list[object]:
    """Returns what applies in a data centre where an exception may."""
    table = PolicyTable(document, data_centre=data_centre, today=_FIRST_DAY)
    if entry.setting in _LIMITS:
        return [table.get_limits(entry.service)]
    return [
        table.get_queue_limit(entry.service),
        *(
            table.get(name)
            for name, route in document.routes.items()
            if route.service == entry.service
        ),
    ]


def _find_contradictions(document: Document) -> Iterator[Fault]:
    """Yields a doubt for each route whose limits contradict each other."""
    table = PolicyTable(
        document, data_centre=_OTHER_DATA_CENTRE, today=_FIRST_DAY
    )
    for name, route in document.routes.items():
        policy = table.get(name)
        assert policy is not None
        settings = policy.settings
        place = f"routes.{name}"
        if settings.max_attempts > 1 and settings.retry_ratio == 0:
            yield Fault(
                f"{place}.retry_ratio",
                f"got 0.0 beside max_attempts {settings.max_attempts},"
                " expected more: no request is sent again",
            )
        if settings.max_attempts == 1 and settings.retry_ratio > 0:
            yield Fault(
                f"{place}.max_attempts",
                f"got 1 beside retry_ratio {settings.retry_ratio}, expected"
                " more: the retries are never used",
            )
        if settings.body_limit == 0 and route.http_method in _METHODS_WITH_BODY:
            yield Fault(
                f"{place}.body_limit",
                f"got 0 for {route.http_method}, expected more: every request"
                " with a body is refused",
            )
