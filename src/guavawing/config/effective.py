"""The policy in force for one request: defaults, route, exceptions."""

import datetime
from typing import Any

import attrs

from guavawing.config.document import Defaults, Document, LimitClass, Route
from guavawing.model import CallClass

__all__ = ["EffectivePolicy", "PolicyTable"]


@attrs.frozen
class EffectivePolicy:
    """What a node enforces for the requests of one route.

    Attributes:
        service: Name of the service.
        route: Name of the route.
        idempotent: Whether executing a request twice is harmless.
        settings: Defaults with the exceptions applied.
        limits: Fixed capacity of each target of the service.
    """

    service: str
    route: str
    idempotent: bool
    settings: Defaults
    limits: LimitClass


class PolicyTable:
    """Effective policies of one version, looked up by request."""

    __slots__ = ("_data_centre", "_document", "_policies", "_routes", "_today")

    def __init__(
        self, document: Document, *, data_centre: str, today: datetime.date
    ) -> None:
        self._document = document
        self._data_centre = data_centre
        self._today = today
        self._policies: dict[str, EffectivePolicy] = {}
        self._routes: dict[tuple[str, str], list[tuple[str, str]]] = {}
        for name, route in document.routes.items():
            key = (route.service, route.http_method)
            entries = self._routes.setdefault(key, [])
            entries.append((route.path_prefix, name))
        for entries in self._routes.values():
            entries.sort(key=lambda entry: -len(entry[0]))

    def has_service(self, service: str) -> bool:
        """Returns whether the version knows `service`."""
        return service in self._document.services

    def find(
        self, service: str, http_method: str, path: str
    ) -> EffectivePolicy | None:
        """Returns the policy of the route with the longest prefix."""
        for prefix, name in self._routes.get((service, http_method), ()):
            if path.startswith(prefix):
                return self.get(name)
        return None

    def get(self, route: str) -> EffectivePolicy | None:
        """Returns the policy of a route by its name."""
        policy = self._policies.get(route)
        if policy is None:
            entry = self._document.routes.get(route)
            if entry is None:
                return None
            policy = self._compute(route, entry)
            self._policies[route] = policy
        return policy

    def limits_of(self, service: str) -> LimitClass | None:
        """Returns the fixed capacity of a target of `service`."""
        entry = self._document.services.get(service)
        if entry is None:
            return None
        return self._document.limit_classes[entry.limit_class]

    def _compute(self, name: str, route: Route) -> EffectivePolicy:
        changes: dict[str, Any] = {}
        if route.call_class is not None:
            changes["call_class"] = route.call_class
        if route.deadline_ms is not None:
            changes["deadline_ms"] = route.deadline_ms
        for entry in self._document.exceptions.values():
            if entry.service != route.service:
                continue
            if entry.route not in (None, name):
                continue
            if entry.data_centre not in (None, self._data_centre):
                continue
            if entry.ends is not None and entry.ends < self._today:
                continue
            value: object = entry.value
            if entry.setting == "call_class":
                value = CallClass(str(value))
            changes[entry.setting] = value
        service = self._document.services[route.service]
        return EffectivePolicy(
            service=route.service,
            route=name,
            idempotent=route.idempotent,
            settings=attrs.evolve(self._document.defaults, **changes),
            limits=self._document.limit_classes[service.limit_class],
        )
