"""The configuration document: defaults, services, routes and exceptions."""

import datetime

import attrs

from guavawing.model import CallClass

__all__ = [
    "Defaults",
    "Document",
    "ExceptionEntry",
    "LimitClass",
    "Route",
    "ServiceEntry",
]


@attrs.frozen
class LimitClass:
    """Fixed capacity of one target.

    Attributes:
        slots: Requests that the target executes at a time.
        connections: Connections that the target accepts.
    """

    slots: int
    connections: int


@attrs.frozen
class ServiceEntry:
    """A service that calls can be routed to.

    Attributes:
        limit_class: Name of the limit class of its targets.
    """

    limit_class: str


@attrs.frozen
class Route:
    """Requests of one service that are treated alike.

    Attributes:
        service: Name of the service.
        http_method: HTTP method of the requests.
        path_prefix: Start of the path of the requests.
        idempotent: Whether executing a request twice is harmless.
        call_class: Order of service; None for the fleet's default.
        deadline_ms: Longest deadline granted, in milliseconds; None for the
            fleet's default.
    """

    service: str
    http_method: str
    path_prefix: str
    idempotent: bool
    call_class: CallClass | None = None
    deadline_ms: int | None = None


@attrs.frozen
class Defaults:
    """Fleet-wide defaults for routing, limits and retries.

    Attributes:
        call_class: Order of service.
        deadline_ms: Longest deadline granted, in milliseconds.
        queue_limit: Requests that wait at one target.
        body_limit: Largest request body, in bytes.
        max_attempts: Attempts of one call, the first one included.
        retry_ratio: Retries for each first attempt.
        spill: Whether calls leave the data centre when it is full.
    """

    call_class: CallClass = CallClass.NORMAL
    deadline_ms: int = 10_000
    queue_limit: int = 40
    body_limit: int = 1_048_576
    max_attempts: int = 3
    retry_ratio: float = 0.1
    spill: bool = True


@attrs.frozen
class ExceptionEntry:
    """A deviation from the defaults.

    Attributes:
        service: Service it applies to.
        setting: Name of a field of `Defaults`.
        value: Value in place of the default.
        reason: Why the deviation is needed.
        owner: Who answers for it.
        route: Route it applies to; None for the whole service.
        data_centre: Data centre it applies to; None for all.
        ends: Last day on which it applies; None for no end.
    """

    service: str
    setting: str
    value: bool | int | float | str
    reason: str
    owner: str
    route: str | None = None
    data_centre: str | None = None
    ends: datetime.date | None = None


@attrs.frozen
class Document:
    """One version of the configuration of the whole fleet.

    Attributes:
        defaults: Fleet-wide defaults.
        limit_classes: Limit classes by name.
        services: Services by name.
        routes: Routes by name.
        exceptions: Exceptions by id.
    """

    defaults: Defaults = Defaults()
    limit_classes: dict[str, LimitClass] = attrs.field(factory=dict)
    services: dict[str, ServiceEntry] = attrs.field(factory=dict)
    routes: dict[str, Route] = attrs.field(factory=dict)
    exceptions: dict[str, ExceptionEntry] = attrs.field(factory=dict)
