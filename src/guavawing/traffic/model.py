"""Value classes of routing, targets and nodes."""

import enum
from collections.abc import Mapping

import attrs

from guavawing.model import Address
from guavawing.verdict import Verdict

__all__ = [
    "NO_ACCOUNT",
    "NO_TARGET_RECORD",
    "Attempt",
    "ClientAccount",
    "ClientLimits",
    "Incarnation",
    "LoadReport",
    "Outcome",
    "PeerRecord",
    "RolloutOrder",
    "Route",
    "Routing",
    "ServiceSpec",
    "SplitPart",
    "TargetLimit",
    "TargetNotice",
    "TargetPhase",
    "TargetRecord",
    "TargetReport",
    "make_kind",
]


def make_kind(priority: int, idempotent: bool, bulk: bool) -> int:
    """Returns the number of the kind of request of a route.

    Args:
        priority: Priority of the route.
        idempotent: Whether requests may be executed more than once.
        bulk: Whether answers are large.
    """
    return priority << 2 | idempotent << 1 | bulk


@attrs.frozen
class SplitPart:
    """A service and its share of a route's requests."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """How the requests under one host and path prefix are served.

    Attributes:
        name: Key of the route in the configuration.
        host: Value of the `Host` header, lower case, without a port.
        prefix: Prefix of the path; begins and ends with a slash.
        idempotent: Whether a request may be executed more than once.
        bulk: Whether answers are large.
        bulk_body: Whether requests are large.
        public: Whether a request needs no key of a client account.
        timeout_s: Maximum time to an answer, in seconds; None if only the
            caller's deadline bounds it.
        latency_target_s: Time within which an answer is fully useful, in
            seconds.
        priority: Order of service, 0 first.
        max_attempts: Maximum number of targets that a request is sent to.
        parts: Services that share the requests, with their weights.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    bulk: bool
    timeout_s: float | None
    latency_target_s: float
    priority: int
    max_attempts: int
    parts: tuple[SplitPart, ...]
    bulk_body: bool = False
    public: bool = False

    @property
    def kind(self) -> int:
        """Number of its kind of request; service times are kept by kind."""
        return make_kind(self.priority, self.idempotent, self.bulk)


@attrs.frozen
class ClientAccount:
    """A client account of the configuration.

    Attributes:
        name: Name of the account; targets receive it with each request.
        key_digests: SHA-256 digests of its keys.
        priority: Order of service of its requests, 0 first; None if the
            priority of the route applies.
        rate_per_s: Requests per second that it may send to the whole fleet; 0
            for no limit.
        burst: Requests that it may send beyond that rate at once.
    """

    name: str
    key_digests: frozenset[bytes]
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


NO_ACCOUNT = ""


@attrs.frozen
class RolloutOrder:
    """An operator's order to move a service to the targets of a release.

    Attributes:
        service: The service.
        release: Release of the targets that take over.
        duration_s: Time within which the move has to be completed or rolled
            back, in seconds.
        number: Version of the order's row in the store.
    """

    service: str
    release: str
    duration_s: float
    number: int


@attrs.frozen
class ServiceSpec:
    """Configuration of a service's targets."""

    health_path: str
    max_connections: int


@attrs.frozen
class ClientLimits:
    """Limits on the size of requests and the idle time of clients."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class Routing:
    """One complete version of the configuration.

    Attributes:
        version: Number of the version; a newer one has a greater number.
        routes: All routes.
        services: Services by name.
        limits: Limits for clients.
        accounts: Client accounts by name; without any, requests carry no
            keys.
        document: Encoded document of the version, to send to other nodes.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec]
    limits: ClientLimits
    document: bytes
    accounts: Mapping[str, ClientAccount] = attrs.field(factory=dict)


class TargetPhase(enum.IntEnum):
    """Phase of a target, as the node beside it observes it."""

    UNKNOWN = 0
    READY = 1
    DRAINING = 2
    GONE = 3


@attrs.frozen
class TargetReport:
    """One heartbeat of a target.

    Attributes:
        id: Id of the target's incarnation.
        service: Service that it belongs to.
        address: Address at which it accepts requests.
        slots: Requests that it executes concurrently.
        draining: Whether it is draining before it stops.
        sequence: Number that increases with each heartbeat of one process.
        cold_s: Remaining time for which it is slow after its start, in
            seconds.
        born_ms: Start of its process, Unix time in milliseconds; 0 if not
            given.
        release: Release of its software; empty if not given.
    """

    id: str
    service: str
    address: Address
    slots: int
    draining: bool
    sequence: int
    cold_s: float
    born_ms: int
    release: str = ""


@attrs.frozen
class Incarnation:
    """One process of a target.

    Attributes:
        target_id: Id under which it runs; a later process may have it too.
        born_ms: Start of its process, Unix time in milliseconds; 0 if not
            given.
    """

    target_id: str
    born_ms: int


@attrs.frozen
class TargetLimit:
    """Rate limit of one process of a target.

    Attributes:
        incarnation: The process.
        per_s: Requests per second that it accepts from all nodes together;
            None if it names no limit.
    """

    incarnation: Incarnation
    per_s: float | None


@attrs.frozen
class TargetRecord:
    """What a node has recorded about the target beside another node.

    It is sent to that node, whose process may have started since.

    Attributes:
        departure: Process of the target whose departure was announced, if any.
        limit: Rate limit of the target, if any.
    """

    departure: Incarnation | None = None
    limit: TargetLimit | None = None


NO_TARGET_RECORD = TargetRecord()


@attrs.frozen
class TargetNotice:
    """What a target states about itself in the headers of an answer.

    Attributes:
        names_limit: Whether it names a limit, readable or not.
        limit_per_s: Requests per second that it accepts from all nodes
            together; None if it names no limit or an unreadable one.
        leaving: Whether it states that it leaves.
        unreadable: Names and values of headers that could not be read.
    """

    names_limit: bool = False
    limit_per_s: float | None = None
    leaving: bool = False
    unreadable: str = ""


@attrs.frozen
class LoadReport:
    """Load of one target as its node measures it.

    Attributes:
        phase: Phase of the target; new requests are accepted in `READY`.
        slots: Requests that it executes concurrently.
        running: Requests that hold a slot.
        queued: Requests that wait for a slot.
        service_s: Mean time that a request holds a slot, in seconds; 0 if it
            has executed none.
        refused_share: Share of recent requests that were refused for lack of
            capacity.
        link_wait_s: Time that the link needs to send the pending large
            answers, in seconds.
        kind_s: Mean time that a request holds a slot, in seconds, by kind of
            request (`Attempt.kind`), for the kinds that were executed.
        limit: Rate limit of the target; None if it is not known whether it has
            one, as in a process that has just started.
        limit_wait_s: Time until that rate admits another request, in seconds;
            negative if it admits one already.
        release: Release of the target's software; empty if not known.
    """

    phase: TargetPhase
    slots: int
    running: int
    queued: int
    service_s: float
    refused_share: float = 0.0
    link_wait_s: float = 0.0
    kind_s: Mapping[int, float] = attrs.field(factory=dict)
    limit: TargetLimit | None = None
    limit_wait_s: float = 0.0
    release: str = ""


@attrs.frozen
class PeerRecord:
    """Record of a node, which it announces to other nodes.

    Attributes:
        node: Name of the node.
        host: IP address of its VM.
        mesh_port: TCP port for requests of other nodes.
        data_centre: Data centre of its VM.
        service: Service of the target beside it.
        incarnation: Start of its process, Unix time in milliseconds; 0 in a
            stored record.
    """

    node: str
    host: str
    mesh_port: int
    data_centre: str
    service: str
    incarnation: int


@attrs.frozen
class Attempt:
    """A request as it is sent to one target.

    Attributes:
        request_id: Id that the client gave it.
        service: Service that is to execute it.
        origin: Service of the VM where the request originated.
        method: HTTP method.
        path: Path with its query, as it was sent.
        head: Header lines to forward.
        body: Complete body.
        deadline: Event loop's time at which it is given up, in seconds.
        priority: Order of service, 0 first.
        idempotent: Whether it may be executed more than once.
        bulk: Whether its answer is large.
        late: Whether its answer is too late to be fully useful in any case.
        useful_until: Event loop's time until which its answer is fully
            useful, in seconds.
        spare_only: Whether it may use only a slot that no queued request
            needs.
        kind: Kind of request (`make_kind`).
        bulk_body: Whether its body is large.
        account: Name of its client account; `NO_ACCOUNT` if it has none.
        usage: Recent use of its client account relative to what the account
            may use, 1 if it uses just that; 0 without an account.
        release: Release of the targets that may execute it; empty for any.
    """

    request_id: bytes
    service: str
    origin: str
    method: bytes
    path: bytes
    head: bytes
    body: bytes
    deadline: float
    priority: int
    idempotent: bool
    bulk: bool
    late: bool
    useful_until: float
    spare_only: bool
    kind: int = attrs.field(
        default=attrs.Factory(
            lambda self: make_kind(self.priority, self.idempotent, self.bulk),
            takes_self=True,
        )
    )
    bulk_body: bool = False
    account: str = NO_ACCOUNT
    usage: float = 0.0
    release: str = ""


@attrs.frozen
class Outcome:
    """Outcome of an attempt.

    Attributes:
        verdict: Whether it has run, and why not or how it failed.
        status: Status of the target's answer; 0 if there is none.
        head: Header lines of the target's answer to forward.
        body: Complete body of the target's answer.
        held_s: Time that the attempt spent at the owner, in seconds.
        passed_to: Node of another owner with a free slot, named by the one
            that refused the attempt; empty if there is none.
    """

    verdict: Verdict
    status: int = 0
    head: bytes = b""
    body: bytes = b""
    held_s: float = 0.0
    passed_to: str = ""
