"""Messages between nodes."""

import attrs

from guavawing.traffic.model import (
    NO_TARGET_RECORD,
    Attempt,
    Incarnation,
    LoadReport,
    Outcome,
    PeerRecord,
    TargetRecord,
)
from guavawing.traffic.neighbours import NeighbourLoad

__all__ = [
    "AnswerFrame",
    "Beacon",
    "BodyGrant",
    "BodyPiece",
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
        known: What the sender has recorded about the owner's target. It binds
            an owner whose process has just started.
        neighbour: Load of another owner, known to the sender; None if the
            attempt must not be passed on.
        body_bytes: Size of the body, which follows in pieces as the owner
            grants them; 0 if the attempt contains its body.
    """

    id: int
    attempt: Attempt
    known: TargetRecord = NO_TARGET_RECORD
    neighbour: NeighbourLoad | None = None
    body_bytes: int = 0


@attrs.frozen
class BodyGrant:
    """Permits an entry node to send the body of a request.

    Attributes:
        id: Id of the request on its connection.
        until: Position in bytes up to which it may be sent.
    """

    id: int
    until: int


@attrs.frozen
class BodyPiece:
    """The next bytes of the body of a request."""

    id: int
    piece: bytes


@attrs.frozen
class AnswerFrame:
    """Outcome of an attempt, with the state of the owner's target.

    Attributes:
        id: Id of the request on its connection.
        outcome: The outcome.
        load: Load of the target.
        departure: Announced departure of the target, if any.
        offered: Whether the owner offers the receiver a free slot.
    """

    id: int
    outcome: Outcome
    load: LoadReport
    departure: Incarnation | None = None
    offered: bool = False


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
    """First frame of an owner.

    Attributes:
        process: Random number of its process.
        grants_bodies: Whether it grants large bodies; owners of earlier
            releases expect them within the request.
    """

    process: int
    grants_bodies: bool = False


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
        departure: Departure that the sender's target has announced, if any.
        known: What the sender has recorded about the receiver's target.
        suspects: Hosts of nodes that did not answer the sender.
    """

    record: PeerRecord
    sequence: int
    version: int
    load: LoadReport
    reply_requested: bool
    known_slots: int
    reaches_store: bool
    departure: Incarnation | None = None
    known: TargetRecord = NO_TARGET_RECORD
    suspects: tuple[str, ...] = ()


Frame = (
    RequestFrame
    | AnswerFrame
    | CancelFrame
    | ConfigRequest
    | OutcomeQuery
    | ConfigFrame
    | Hello
    | BodyGrant
    | BodyPiece
)
