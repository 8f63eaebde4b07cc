"""The configuration document: defaults, services, routes and exceptions."""

import datetime
import sys

import attrs

from guavawing.model import CallClass

__all__ = [
    "Capacity",
    "Defaults",
    "Document",
    "ExceptionEntry",
    "LimitClass",
    "Overrides",
    "Route",
    "Scalar",
    "ServiceEntry",
]


Scalar = bool | int | float | str


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
class Capacity:
    """What was bought for each target of a limit class.

    Neither the limit class nor an exception may leave these bounds.

    Attributes:
        slots_floor: Fewest slots that a target may be limited to.
        slots_ceiling: Most slots, as many as were bought.
        connections_ceiling: Most connections, as many as were bought.
    """

    slots_floor: int
    slots_ceiling: int
    connections_ceiling: int


@attrs.frozen(kw_only=True)
class Overrides:
    """Values in place of those of `Defaults`; None keeps the wider value."""

    call_class: CallClass | None = None
    deadline_ms: int | None = None
    queue_limit: int | None = None
    body_limit: int | None = None
    max_attempts: int | None = None
    retry_ratio: float | None = None
    spill: bool | None = None


@attrs.frozen
class ServiceEntry(Overrides):
    """A service that calls can be routed to.

    Attributes:
        limit_class: Name of the limit class of its targets.
    """

    limit_class: str = attrs.field(converter=sys.intern)


@attrs.frozen
class Route(Overrides):
    """Requests of one service that are treated alike.

    Attributes:
        service: Name of the service.
        http_method: HTTP method of the requests.
        path_prefix: Start of the path of the requests.
        idempotent: Whether executing a request twice is harmless.
    """

    # Thousands of routes name the same few of these: one copy is kept.
    service: str = attrs.field(converter=sys.intern)
    http_method: str = attrs.field(converter=sys.intern)
    path_prefix: str = attrs.field(converter=sys.intern)
    idempotent: bool


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
        setting: Name of a field of `Defaults`, or `slots` or `connections`.
        value: Value in place of the default or of the limit class.
        reason: Why the deviation is needed.
        owner: Who answers for it.
        route: Route it applies to; None for the whole service.
        data_centre: Data centre it applies to; None for all.
        ends: Last day (UTC) on which it applies; None for no end.
    """

    service: str
    setting: str
    value: Scalar
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
        capacity: What was bought, by name of the limit class.
        services: Services by name.
        routes: Routes by name.
        exceptions: Exceptions by id.
    """

    defaults: Defaults = Defaults()
    limit_classes: dict[str, LimitClass] = attrs.field(factory=dict)
    capacity: dict[str, Capacity] = attrs.field(factory=dict)
    services: dict[str, ServiceEntry] = attrs.field(factory=dict)
    routes: dict[str, Route] = attrs.field(factory=dict)
    exceptions: dict[str, ExceptionEntry] = attrs.field(factory=dict)
