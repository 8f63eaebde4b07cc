"""Messages between nodes."""

import attrs

from guavawing.traffic.model import (
    Attempt,
    Incarnation,
    LoadReport,
    Outcome,
    PeerRecord,
    TargetLimit,
)

__all__ = [
    "AnswerFrame",
    "Beacon",
    "CancelFrame",
    "ConfigFrame",
    "ConfigRequest",
    "Frame",
    "Hello",
    "OutcomeQuery",
    "RequestFrame",
]


@attrs.frozen
class RequestFrame:
    """Requests the execution of an attempt by an owner.

    Attributes:
        id: Id of the request on its connection.
        attempt: The attempt.
        known_limit: Limit of the owner's target that the sender has recorded,
            if any. It binds an owner whose process has just started.
    """

    id: int
    attempt: Attempt
    known_limit: TargetLimit | None = None


@attrs.frozen
class AnswerFrame:
    """Outcome of an attempt, with the load of the owner."""

    id: int
    outcome: Outcome
    load: LoadReport


@attrs.frozen
class CancelFrame:
    """Cancels an attempt."""

    id: int


@attrs.frozen
class OutcomeQuery:
    """Queries the outcome of an attempt that was sent on a lost connection.

    Attributes:
        id: Id of the query on its connection.
        request_id: Id of the request.
        process: Process number of the owner to which the attempt was sent.
    """

    id: int
    request_id: bytes
    process: int


@attrs.frozen
class Hello:
    """First frame of an owner, with the random number of its process."""

    process: int


@attrs.frozen
class ConfigRequest:
    """Requests the configuration if it is newer than a version."""

    version: int


@attrs.frozen
class ConfigFrame:
    """A configuration, complete or as a delta.

    Attributes:
        base: Version to which the delta applies; 0 for a complete document.
        payload: The delta, or the compressed document.
    """

    base: int
    payload: bytes


@attrs.frozen
class Beacon:
    """Periodic state announcement of a node.

    Attributes:
        record: Record of the sender.
        sequence: Increases with each beacon of a process.
        version: Configuration version in force at the sender.
        load: Load of the sender's target.
        reply_requested: Whether the receiver should send a beacon at once.
        known_slots: Slots of the receiver's target, as reported by its last
            beacon; 0 if unknown. A process that has just started uses them
            until the next heartbeat of its target.
        reaches_store: Whether the store answers the sender.
        departure: Incarnation that the sender's target has announced, if any.
        known_departure: Incarnation of the receiver's target, as announced by
            the receiver's last beacon, if any.
        suspects: Hosts of nodes that did not answer the sender.
        known_limit: Limit of the receiver's target, as last reported by the
            receiver, if any.
    """

    record: PeerRecord
    sequence: int
    version: int
    load: LoadReport
    reply_requested: bool
    known_slots: int
    reaches_store: bool
    departure: Incarnation | None = None
    known_departure: Incarnation | None = None
    suspects: tuple[str, ...] = ()
    known_limit: TargetLimit | None = None


Frame = (
    RequestFrame
    | AnswerFrame
    | CancelFrame
    | ConfigRequest
    | OutcomeQuery
    | ConfigFrame
    | Hello
)
