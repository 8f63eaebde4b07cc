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
        slots: Requests that the target executes concurrently.
        connections: Connections that the target accepts.
    """

    slots: int
    connections: int


@attrs.frozen
class Capacity:
    """Capacity bought for each target of a limit class.

    Both the limit class and exceptions must stay within these bounds.

    Attributes:
        slots_floor: Minimum slots of a target.
        slots_ceiling: Maximum slots, as bought.
        connections_ceiling: Maximum connections, as bought.
    """

    slots_floor: int
    slots_ceiling: int
    connections_ceiling: int


@attrs.frozen(kw_only=True)
class Overrides:
    """Overrides of `Defaults`; None inherits the value of the wider scope."""

    call_class: CallClass | None = None
    deadline_ms: int | None = None
    queue_limit: int | None = None
    body_limit: int | None = None
    max_attempts: int | None = None
    retry_ratio: float | None = None
    spill: bool | None = None


@attrs.frozen
class ServiceEntry(Overrides):
    """A service to which calls can be routed.

    Attributes:
        limit_class: Name of the limit class of its targets.
    """

    limit_class: str = attrs.field(converter=sys.intern)


@attrs.frozen
class Route(Overrides):
    """Requests of one service that have the same policy.

    Attributes:
        service: Name of the service.
        http_method: HTTP method of the requests.
        path_prefix: Prefix of the path of the requests.
        idempotent: Whether a request may be executed more than once.
    """

    # Interned: thousands of routes have the same few values.
    service: str = attrs.field(converter=sys.intern)
    http_method: str = attrs.field(converter=sys.intern)
    path_prefix: str = attrs.field(converter=sys.intern)
    idempotent: bool


@attrs.frozen
class Defaults:
    """Fleet-wide defaults for routing, limits and retries.

    Attributes:
        call_class: Priority of the calls.
        deadline_ms: Upper bound on deadlines of calls, in milliseconds.
        queue_limit: Requests that may be queued for one target.
        body_limit: Largest request body, in bytes.
        max_attempts: Attempts of one call, including the first.
        retry_ratio: Retries per first attempt.
        spill: Whether calls are routed to other data centres if the local one
            has no capacity.
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
        service: Service to which it applies.
        setting: Name of a field of `Defaults`, or `slots` or `connections`.
        value: Value that replaces that of the defaults or the limit class.
        reason: Why the deviation is needed.
        owner: Person or team responsible for it.
        route: Route to which it applies; None for the whole service.
        data_centre: Data centre to which it applies; None for all.
        ends: Last day (UTC) on which it applies; None if unlimited.
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
        capacity: Bought capacity, by name of the limit class.
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
