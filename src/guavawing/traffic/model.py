"""Value classes of routing, targets and nodes."""

import enum
from collections.abc import Mapping

import attrs

from guavawing.model import Address
from guavawing.verdict import Verdict

__all__ = [
    "Attempt",
    "ClientLimits",
    "Departure",
    "LoadReport",
    "Outcome",
    "PeerRecord",
    "Route",
    "Routing",
    "ServiceSpec",
    "SplitPart",
    "TargetPhase",
    "TargetReport",
]


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
        prefix: Begin of the path; begins and ends with a slash.
        idempotent: Whether a request may be executed more than once.
        bulk: Whether answers are large.
        timeout_s: Longest time to an answer; None if only the caller's
            deadline bounds it.
        latency_target_s: Time within which an answer is useful in full.
        priority: Order of service, 0 first.
        max_attempts: Most targets that one request is sent to.
        parts: Services that share the requests, by weight.
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


@attrs.frozen
class ServiceSpec:
    """What the configuration says of a service's targets."""

    health_path: str
    max_connections: int


@attrs.frozen
class ClientLimits:
    """Bounds on what a client may send and how long it may stay idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class Routing:
    """One whole version of the configuration.

    Attributes:
        version: Number of the version; a newer one has a greater number.
        routes: All routes.
        services: Services by name.
        limits: Bounds for clients.
        document: The bytes that the version was read from, for other nodes.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec]
    limits: ClientLimits
    document: bytes


class TargetPhase(enum.IntEnum):
    """What a node knows of the target beside it."""

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
        address: Where it takes requests.
        slots: Requests that it executes at a time.
        draining: Whether it is about to stop.
        sequence: Rises with each heartbeat of one process.
        cold_s: Time for which it stays slow after its start, in seconds.
        born_ms: Start of its process, Unix time in milliseconds; 0 if not
            given.
    """

    id: str
    service: str
    address: Address
    slots: int
    draining: bool
    sequence: int
    cold_s: float
    born_ms: int


@attrs.frozen
class Departure:
    """A target that has said that it leaves.

    Attributes:
        target_id: Id of its incarnation.
        born_ms: Start of its process, Unix time in milliseconds; 0 if not
            given.
    """

    target_id: str
    born_ms: int


@attrs.frozen
class LoadReport:
    """Load of one target as its node sees it.

    Attributes:
        phase: Whether the target takes new requests.
        slots: Requests that it executes at a time.
        running: Requests that hold a slot.
        queued: Requests that wait for a slot.
        service_s: Mean time that a request holds a slot, in seconds; 0 if it
            has executed none.
        refused_share: Share of the latest requests that it refused for lack
            of room.
        link_wait_s: Time that the link takes for the large answers that are
            to be sent, in seconds.
        kind_s: The mean time by kind of request (`Attempt.kind`), for kinds
            that it has executed.
    """

    phase: TargetPhase
    slots: int
    running: int
    queued: int
    service_s: float
    refused_share: float = 0.0
    link_wait_s: float = 0.0
    kind_s: Mapping[int, float] = attrs.field(factory=dict)


@attrs.frozen
class PeerRecord:
    """What a node tells others of itself.

    Attributes:
        node: Name of the node.
        host: IP address of its VM.
        mesh_port: TCP port that takes requests of other nodes.
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
    """A request on its way to one target.

    Attributes:
        request_id: Id that the client gave it.
        service: Service that is to execute it.
        origin: Service of the VM where it began.
        method: HTTP method.
        path: Path with its query, as it was sent.
        head: Header lines to be passed on.
        body: Whole body.
        deadline: Event loop's time at which it is given up, in seconds.
        priority: Order of service, 0 first.
        idempotent: Whether it may be executed more than once.
        bulk: Whether its answer is large.
        late: Whether its answer comes too late to be of full use anyway.
        useful_until: Event loop's time until which its answer is of full use.
        spare_only: Whether it may use a slot that nobody waits for only.
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

    @property
    def kind(self) -> int:
        """Number of the kind of request, by which times are compared."""
        return self.priority << 2 | self.idempotent << 1 | self.bulk


@attrs.frozen
class Outcome:
    """How an attempt ended.

    Attributes:
        verdict: Whether it has run.
        status: Status of the target's answer; 0 if there is none.
        head: Header lines of the target's answer to be passed on.
        body: Whole body of the target's answer.
        held_s: Time that the owner had the attempt, in seconds.
    """

    verdict: Verdict
    status: int = 0
    head: bytes = b""
    body: bytes = b""
    held_s: float = 0.0
