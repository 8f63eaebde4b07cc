"""Effective policies: defaults, service, route and exceptions combined."""

import datetime
from typing import Any

import attrs

from guavawing.config.document import (
    Defaults,
    Document,
    ExceptionEntry,
    LimitClass,
    Overrides,
    Route,
)
from guavawing.model import CallClass

__all__ = ["EffectivePolicy", "PolicyTable"]

_DAY = datetime.timedelta(days=1)
_OVERRIDABLE = tuple(field.name for field in attrs.fields(Overrides))
_LIMITS = tuple(field.name for field in attrs.fields(LimitClass))


@attrs.frozen
class EffectivePolicy:
    """Policy that a node enforces for the requests of one route.

    Attributes:
        service: Name of the service.
        route: Name of the route.
        idempotent: Whether a request may be executed more than once.
        settings: Defaults with overrides and exceptions applied.
        limits: Fixed capacity of each target of the service.
    """

    service: str
    route: str
    idempotent: bool
    settings: Defaults
    limits: LimitClass


class PolicyTable:
    """Effective policies of one version on one day, looked up by request.

    An exception expires after its last day (UTC) without a new version. As a
    table is immutable, the node replaces it: `for_day` returns the table of a
    later day, and `next_change` is the first day whose table differs.
    """

    __slots__ = (
        "_data_centre",
        "_document",
        "_exceptions",
        "_limits",
        "_next_change",
        "_policies",
        "_queue_limits",
        "_routes",
        "_today",
    )

    def __init__(
        self, document: Document, *, data_centre: str, today: datetime.date
    ) -> None:
        self._document = document
        self._data_centre = data_centre
        self._today = today
        self._policies: dict[str, EffectivePolicy] = {}
        self._limits: dict[str, LimitClass] = {}
        self._queue_limits: dict[str, int] = {}
        self._routes: dict[tuple[str, str], list[tuple[str, str]]] = {}
        for name, route in document.routes.items():
            key = (route.service, route.http_method)
            entries = self._routes.setdefault(key, [])
            entries.append((route.path_prefix, name))
        for entries in self._routes.values():
            entries.sort(key=lambda entry: -len(entry[0]))
        self._index_exceptions()

    @property
    def next_change(self) -> datetime.date | None:
        """Day after the earliest end of an exception in this table.

        None if no exception in the table has an end.
        """
        return self._next_change

    def for_day(self, today: datetime.date) -> "PolicyTable":
        """Returns the policies of the same version on another day.

        Returns this table if no exception has ended since, and also for an
        earlier day: if the clock is set back, exceptions that have ended are
        not applied again.
        """
        if self._next_change is None or today < self._next_change:
            return self
        return PolicyTable(
            self._document, data_centre=self._data_centre, today=today
        )

    def has_service(self, service: str) -> bool:
        """Returns whether the version has `service`."""
        return service in self._document.services

    def find(
        self, service: str, http_method: str, path: str
    ) -> EffectivePolicy | None:
        """Returns the policy of the route with the longest matching prefix."""
        for prefix, name in self._routes.get((service, http_method), ()):
            if path.startswith(prefix):
                return self.get(name)
        return None

    def get(self, route: str) -> EffectivePolicy | None:
        """Returns the policy of the route named `route`."""
        policy = self._policies.get(route)
        if policy is None:
            entry = self._document.routes.get(route)
            if entry is None:
                return None
            policy = self._compute(route, entry)
            self._policies[route] = policy
        return policy

    def get_limits(self, service: str) -> LimitClass | None:
        """Returns the fixed capacity of a target of `service`."""
        limits = self._limits.get(service)
        if limits is not None:
            return limits
        entry = self._document.services.get(service)
        if entry is None:
            return None
        changes: dict[str, Any] = {
            each.setting: each.value
            for each in self._exceptions.get(service, ())
            if each.setting in _LIMITS
        }
        limits = attrs.evolve(
            self._document.limit_classes[entry.limit_class], **changes
        )
        self._limits[service] = limits
        return limits

    def get_queue_limit(self, service: str) -> int:
        """Returns how many requests may be queued for one target.

        This is the limit of the service as a whole; the limit of a single
        route is in its `EffectivePolicy`.
        """
        limit = self._queue_limits.get(service)
        if limit is None:
            limit = self._compute_settings(service, None).queue_limit
            self._queue_limits[service] = limit
        return limit

    def _index_exceptions(self) -> None:
        """Sorts the exceptions in force so that narrower scopes come last."""
        self._exceptions: dict[str, list[ExceptionEntry]] = {}
        ends = []
        for entry in self._document.exceptions.values():
            if entry.data_centre not in (None, self._data_centre):
                continue
            if entry.ends is not None:
                if entry.ends < self._today:
                    continue
                ends.append(entry.ends)
            self._exceptions.setdefault(entry.service, []).append(entry)
        for entries in self._exceptions.values():
            entries.sort(
                key=lambda e: (e.route is not None, e.data_centre is not None)
            )
        self._next_change = _find_day_after(min(ends, default=None))

    def _compute(self, name: str, route: Route) -> EffectivePolicy:
        limits = self.get_limits(route.service)
        assert limits is not None
        return EffectivePolicy(
            service=route.service,
            route=name,
            idempotent=route.idempotent,
            settings=self._compute_settings(route.service, name),
            limits=limits,
        )

    def _compute_settings(self, service: str, route: str | None) -> Defaults:
        changes: dict[str, Any] = {}
        entry = self._document.services.get(service)
        if entry is not None:
            changes |= _get_overrides(entry)
        if route is not None:
            changes |= _get_overrides(self._document.routes[route])
        for each in self._exceptions.get(service, ()):
            if each.setting in _LIMITS or each.route not in (None, route):
                continue
            value: object = each.value
            if each.setting == "call_class":
                value = CallClass(str(value))
            changes[each.setting] = value
        return attrs.evolve(self._document.defaults, **changes)


def _find_day_after(day: datetime.date | None) -> datetime.date | None:
    if day is None or day == datetime.date.max:
        return None
    return day + _DAY


def _get_overrides(entry: Overrides) -> dict[str, Any]:
    values = {name: getattr(entry, name) for name in _OVERRIDABLE}
    return {name: v for name, v in values.items() if v is not None}
