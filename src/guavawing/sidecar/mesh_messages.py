"""What nodes tell each other."""

import attrs

from guavawing.traffic.model import (
    Attempt,
    Departure,
    LoadReport,
    Outcome,
    PeerRecord,
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
    """Asks an owner to execute an attempt."""

    id: int
    attempt: Attempt


@attrs.frozen
class AnswerFrame:
    """Tells how an attempt ended, with the load of the owner."""

    id: int
    outcome: Outcome
    load: LoadReport


@attrs.frozen
class CancelFrame:
    """Tells that nobody waits for an attempt."""

    id: int


@attrs.frozen
class OutcomeQuery:
    """Asks how an attempt that was sent on a lost connection ended.

    Attributes:
        id: Number of the question on its connection.
        request_id: Id of the request.
        process: Number of the process that the attempt was sent to.
    """

    id: int
    request_id: bytes
    process: int


@attrs.frozen
class Hello:
    """First message of an owner: the number that its process drew."""

    process: int


@attrs.frozen
class ConfigRequest:
    """Asks for the configuration if it is newer than a version."""

    version: int


@attrs.frozen
class ConfigFrame:
    """Holds a configuration.

    Attributes:
        base: Version that the payload is a delta for; 0 if it is whole.
        payload: The delta, or the compressed document.
    """

    base: int
    payload: bytes


@attrs.frozen
class Beacon:
    """What a node tells others from time to time.

    Attributes:
        record: The node itself.
        sequence: Rises with each beacon of a process.
        version: Configuration version that it enforces.
        load: Load of its target.
        asks: Whether it wants a beacon back at once.
        known_slots: Slots that the receiver's target had by its last beacon;
            0 if not known. It tells a process that has just started what its
            target will say itself with its next heartbeat.
        reaches_store: Whether the store answers the sender.
        departure: Target of the sender that has said that it leaves.
        known_departure: The same of the receiver, by its last beacon.
        doubts: Hosts of nodes that the sender got no answer from.
    """

    record: PeerRecord
    sequence: int
    version: int
    load: LoadReport
    reply_requested: bool
    known_slots: int
    reaches_store: bool
    departure: Departure | None = None
    known_departure: Departure | None = None
    suspects: tuple[str, ...] = ()


Frame = (
    RequestFrame
    | AnswerFrame
    | CancelFrame
    | ConfigRequest
    | OutcomeQuery
    | ConfigFrame
    | Hello
)
