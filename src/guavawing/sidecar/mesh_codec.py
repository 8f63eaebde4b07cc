"""Codec of messages between nodes: msgpack arrays that begin with a kind."""

from typing import Any

import attrs

from guavawing.errors import MessageInvalidError
from guavawing.sidecar.mesh_fields import (
    decode_departure,
    decode_limit,
    decode_load,
    encode_departure,
    encode_limit,
    encode_load,
    pack,
    read_bytes,
    read_host,
    read_number,
    read_optional,
    read_port,
    read_text,
    unpack,
)
from guavawing.sidecar.mesh_messages import (
    AnswerFrame,
    Beacon,
    BodyGrant,
    BodyPiece,
    CancelFrame,
    ConfigFrame,
    ConfigRequest,
    Frame,
    Hello,
    OutcomeQuery,
    RequestFrame,
)
from guavawing.traffic.model import (
    Attempt,
    Incarnation,
    LoadReport,
    Outcome,
    PeerRecord,
    TargetRecord,
)
from guavawing.traffic.neighbours import NeighbourLoad
from guavawing.verdict import MayHaveRun, NotRun, Ran, Reason, Verdict

__all__ = [
    "FRESHNESS_ANSWER",
    "FRESHNESS_QUERY",
    "decode_beacon",
    "decode_frame",
    "encode_answer",
    "encode_beacon",
    "encode_body_grant",
    "encode_body_piece",
    "encode_cancel",
    "encode_config",
    "encode_config_request",
    "encode_hello",
    "encode_outcome_query",
    "encode_request",
    "encode_upload",
    "find_kind",
]

(
    REQUEST,
    ANSWER,
    CANCEL,
    CONFIG_REQUEST,
    CONFIG,
    OUTCOME_QUERY,
    BEACON,
    HELLO,
    # Datagrams of other components, see `Beacons.register`.
    FRESHNESS_QUERY,
    FRESHNESS_ANSWER,
    QUOTA_REQUEST,
    QUOTA_GRANT,
    ROLLOUT_COUNTS,
    SLOT_OFFER,
    ROLLOUT_STATE,
    # Requests whose bodies follow in pieces.
    UPLOAD,
    BODY_GRANT,
    BODY_PIECE,
) = range(18)
# First byte of a msgpack array of up to 15 entries and of one of up to 65,535.
SHORT_ARRAY, LONG_ARRAY = 0x90, 0xDC
RAN, NOT_RUN, MAY_HAVE_RUN = range(3)


def encode_request(
    frame_id: int,
    attempt: Attempt,
    *,
    now: float,
    known: TargetRecord,
    neighbour: NeighbourLoad | None,
) -> bytes:
    """Returns the frame that requests the execution of an attempt."""
    return pack(
        (
            REQUEST,
            *_list_request_fields(
                frame_id, attempt, attempt.body, now, known, neighbour
            ),
        )
    )


def encode_upload(
    frame_id: int,
    attempt: Attempt,
    *,
    now: float,
    known: TargetRecord,
) -> bytes:
    """Returns the frame of an attempt whose body follows in pieces."""
    return pack(
        (
            UPLOAD,
            *_list_request_fields(frame_id, attempt, b"", now, known, None),
            len(attempt.body),
        )
    )


def encode_body_grant(frame_id: int, until: int) -> bytes:
    """Returns the frame that permits to send a body up to a position."""
    return pack((BODY_GRANT, frame_id, until))


def encode_body_piece(frame_id: int, piece: bytes) -> bytes:
    """Returns the frame with the next bytes of a body."""
    return pack((BODY_PIECE, frame_id, piece))


def _list_request_fields(
    frame_id: int,
    attempt: Attempt,
    body: bytes,
    now: float,
    known: TargetRecord,
    neighbour: NeighbourLoad | None,
) -> tuple[Any, ...]:
    return (
        frame_id,
        attempt.request_id,
        attempt.service,
        attempt.origin,
        attempt.method,
        attempt.path,
        attempt.head,
        body,
        attempt.deadline - now,
        attempt.priority,
        attempt.idempotent,
        attempt.bulk,
        attempt.late,
        attempt.useful_until - now,
        attempt.spare_only,
        encode_limit(known.limit),
        encode_departure(known.departure),
        attempt.kind,
        attempt.bulk_body,
        attempt.account,
        attempt.usage,
        attempt.release,
        neighbour and (neighbour.node, neighbour.free, now - neighbour.at),
    )


def encode_answer(
    frame_id: int,
    outcome: Outcome,
    load: LoadReport,
    *,
    departure: Incarnation | None,
    offered: bool = False,
) -> bytes:
    """Returns the frame with the outcome of an attempt."""
    match outcome.verdict:
        case Ran(reason=reason):
            kind, retry_after_s = RAN, None
        case NotRun(reason=reason, retry_after_s=retry_after_s):
            kind = NOT_RUN
        case MayHaveRun(reason=reason):
            kind, retry_after_s = MAY_HAVE_RUN, None
    return pack(
        (
            ANSWER,
            frame_id,
            kind,
            reason.value,
            retry_after_s,
            outcome.status,
            outcome.head,
            outcome.body,
            encode_load(load),
            outcome.held_s,
            encode_limit(load.limit),
            load.limit_wait_s,
            encode_departure(departure),
            load.release,
            offered,
            outcome.passed_to,
        )
    )


def encode_cancel(frame_id: int) -> bytes:
    """Returns the frame that cancels an attempt."""
    return pack((CANCEL, frame_id))


def encode_outcome_query(
    frame_id: int, request_id: bytes, process: int
) -> bytes:
    """Returns the frame that queries the outcome of an earlier attempt."""
    return pack((OUTCOME_QUERY, frame_id, request_id, process))


def encode_hello(process: int) -> bytes:
    """Returns the first frame that an owner sends on a connection."""
    return pack((HELLO, process, True))


def encode_config_request(version: int) -> bytes:
    """Returns the frame that requests a newer configuration."""
    return pack((CONFIG_REQUEST, version))


def encode_config(base: int, payload: bytes) -> bytes:
    """Returns the frame with a configuration or a delta."""
    return pack((CONFIG, base, payload))


def encode_beacon(beacon: Beacon) -> bytes:
    """Returns the datagram of a beacon."""
    record = beacon.record
    return pack(
        (
            BEACON,
            record.node,
            record.host,
            record.mesh_port,
            record.data_centre,
            record.service,
            record.incarnation,
            beacon.sequence,
            beacon.version,
            encode_load(beacon.load),
            beacon.reply_requested,
            beacon.known_slots,
            beacon.reaches_store,
            encode_departure(beacon.departure),
            encode_departure(beacon.known.departure),
            beacon.suspects,
            encode_limit(beacon.load.limit),
            beacon.load.limit_wait_s,
            encode_limit(beacon.known.limit),
            beacon.load.release,
        )
    )


def find_kind(payload: bytes) -> int | None:
    """Returns the kind of a message, or None if it has none."""
    kind_at = {SHORT_ARRAY: 1, LONG_ARRAY: 3}
    first = payload[0] if payload else 0
    start = kind_at.get(first & 0xF0 if first < 0xA0 else first)
    if start is None or len(payload) <= start:
        return None
    return payload[start]


def decode_frame(payload: bytes, *, now: float) -> Frame:
    """Decodes a frame of a connection between nodes.

    Args:
        payload: Encoded frame.
        now: Event loop's time, to which relative times are added.

    Raises:
        MessageInvalidError: If the bytes are not a valid frame.
    """
    try:
        fields = unpack(payload)
        match fields[0]:
            case 0:
                return _decode_request(fields, now)
            case 1:
                return _decode_answer(fields)
            case 2:
                return CancelFrame(read_number(fields[1]))
            case 3:
                return ConfigRequest(read_number(fields[1]))
            case 4:
                return ConfigFrame(
                    read_number(fields[1]), read_bytes(fields[2])
                )
            case 5:
                return OutcomeQuery(
                    read_number(fields[1]),
                    read_bytes(fields[2]),
                    read_number(fields[3]),
                )
            case 7:
                return Hello(
                    read_number(fields[1]), bool(read_optional(fields, 2))
                )
            case kind if kind == UPLOAD:
                return _decode_upload(fields, now)
            case kind if kind == BODY_GRANT:
                return BodyGrant(read_number(fields[1]), read_number(fields[2]))
            case kind if kind == BODY_PIECE:
                return BodyPiece(read_number(fields[1]), read_bytes(fields[2]))
    except (AttributeError, IndexError, TypeError, ValueError) as exc:
        raise MessageInvalidError(f"invalid mesh frame: {exc}") from exc
    raise MessageInvalidError(f"unknown kind {fields[0]!r} of a mesh frame")


def decode_beacon(payload: bytes) -> Beacon:
    """Decodes the datagram of a beacon.

    Raises:
        MessageInvalidError: If the bytes are not a valid beacon.
    """
    try:
        fields = unpack(payload)
        if fields[0] != BEACON:
            raise ValueError(f"got kind {fields[0]!r}, expected {BEACON}")
        return Beacon(
            PeerRecord(
                read_text(fields[1]),
                read_host(fields[2]),
                read_port(fields[3]),
                read_text(fields[4]),
                read_text(fields[5]),
                read_number(fields[6]),
            ),
            read_number(fields[7]),
            read_number(fields[8]),
            decode_load(
                fields[9],
                fields[16:18],
                release=read_optional(fields, 19) or "",
            ),
            bool(fields[10]),
            read_number(fields[11]),
            bool(fields[12]),
            decode_departure(fields[13]),
            TargetRecord(
                decode_departure(fields[14]),
                decode_limit(read_optional(fields, 18)),
            ),
            # Nodes of earlier releases send fewer fields.
            tuple(read_text(host) for host in fields[15:16] and fields[15]),
        )
    except (AttributeError, IndexError, TypeError, ValueError) as exc:
        raise MessageInvalidError(f"invalid beacon: {exc}") from exc


def _decode_upload(fields: list[Any], now: float) -> RequestFrame:
    *request_fields, size = fields
    if read_number(size) <= 0:
        raise ValueError(f"got a body of {size} bytes, expected a size")
    return attrs.evolve(_decode_request(request_fields, now), body_bytes=size)


def _decode_request(fields: list[Any], now: float) -> RequestFrame:
    return RequestFrame(
        read_number(fields[1]),
        Attempt(
            request_id=read_bytes(fields[2]),
            service=read_text(fields[3]),
            origin=read_text(fields[4]),
            method=read_bytes(fields[5]),
            path=read_bytes(fields[6]),
            head=read_bytes(fields[7]),
            body=read_bytes(fields[8]),
            deadline=now + float(fields[9]),
            priority=read_number(fields[10]),
            idempotent=bool(fields[11]),
            bulk=bool(fields[12]),
            late=bool(fields[13]),
            useful_until=now + float(fields[14]),
            spare_only=bool(fields[15]),
            **_decode_later_fields(fields),
        ),
        TargetRecord(
            decode_departure(read_optional(fields, 17)),
            decode_limit(read_optional(fields, 16)),
        ),
        _decode_neighbour(read_optional(fields, 23), now),
    )


def _decode_neighbour(fields: Any, now: float) -> NeighbourLoad | None:
    if fields is None:
        return None
    node, free, age_s = fields
    return NeighbourLoad(read_text(node), read_number(free), now - float(age_s))


def _decode_later_fields(fields: list[Any]) -> dict[str, Any]:
    """Decodes fields that nodes of earlier releases do not send."""
    if len(fields) < 23:
        return {}
    return {
        "kind": read_number(fields[18]),
        "bulk_body": bool(fields[19]),
        "account": read_text(fields[20]),
        "usage": float(fields[21]),
        "release": read_text(fields[22]),
    }


def _decode_answer(fields: list[Any]) -> AnswerFrame:
    reason = Reason(fields[3])
    verdict: Verdict
    match fields[2]:
        case 0:
            verdict = Ran(reason)
        case 1:
            retry_after_s = None if fields[4] is None else float(fields[4])
            verdict = NotRun(reason, retry_after_s)
        case 2:
            verdict = MayHaveRun(reason)
        case _:
            raise ValueError(f"got verdict {fields[2]!r}")
    outcome = Outcome(
        verdict,
        read_number(fields[5]),
        read_bytes(fields[6]),
        read_bytes(fields[7]),
        float(fields[9]),
        read_text(read_optional(fields, 15) or ""),
    )
    load = decode_load(
        fields[8], fields[10:12], release=read_optional(fields, 13) or ""
    )
    departure = decode_departure(read_optional(fields, 12))
    offered = bool(read_optional(fields, 14))
    return AnswerFrame(
        read_number(fields[1]), outcome, load, departure, offered
    )
