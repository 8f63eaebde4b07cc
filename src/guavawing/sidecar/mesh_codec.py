"""Codec of messages between nodes: msgpack arrays that begin with a kind."""

import math
from typing import Any

import msgpack

from guavawing.errors import MessageInvalidError
from guavawing.sidecar.mesh_messages import (
    AnswerFrame,
    Beacon,
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
    TargetLimit,
    TargetPhase,
    TargetRecord,
)
from guavawing.verdict import MayHaveRun, NotRun, Ran, Reason, Verdict

__all__ = [
    "decode_beacon",
    "decode_frame",
    "encode_answer",
    "encode_beacon",
    "encode_cancel",
    "encode_config",
    "encode_config_request",
    "encode_hello",
    "encode_outcome_query",
    "encode_request",
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
) = range(8)
RAN, NOT_RUN, MAY_HAVE_RUN = range(3)
MS_PER_S = 1000
_packer = msgpack.Packer(use_bin_type=True)


def encode_request(
    frame_id: int,
    attempt: Attempt,
    *,
    now: float,
    known: TargetRecord,
) -> bytes:
    """Returns the frame that requests the execution of an attempt."""
    return _pack(
        (
            REQUEST,
            frame_id,
            attempt.request_id,
            attempt.service,
            attempt.origin,
            attempt.method,
            attempt.path,
            attempt.head,
            attempt.body,
            attempt.deadline - now,
            attempt.priority,
            attempt.idempotent,
            attempt.bulk,
            attempt.late,
            attempt.useful_until - now,
            attempt.spare_only,
            _encode_limit(known.limit),
            _encode_departure(known.departure),
        )
    )


def encode_answer(
    frame_id: int,
    outcome: Outcome,
    load: LoadReport,
    *,
    departure: Incarnation | None,
) -> bytes:
    """Returns the frame with the outcome of an attempt."""
    match outcome.verdict:
        case Ran(reason=reason):
            kind, retry_after_s = RAN, None
        case NotRun(reason=reason, retry_after_s=retry_after_s):
            kind = NOT_RUN
        case MayHaveRun(reason=reason):
            kind, retry_after_s = MAY_HAVE_RUN, None
    return _pack(
        (
            ANSWER,
            frame_id,
            kind,
            reason.value,
            retry_after_s,
            outcome.status,
            outcome.head,
            outcome.body,
            _encode_load(load),
            outcome.held_s,
            _encode_limit(load.limit),
            load.limit_wait_s,
            _encode_departure(departure),
        )
    )


def encode_cancel(frame_id: int) -> bytes:
    """Returns the frame that cancels an attempt."""
    return _pack((CANCEL, frame_id))


def encode_outcome_query(
    frame_id: int, request_id: bytes, process: int
) -> bytes:
    """Returns the frame that queries the outcome of an earlier attempt."""
    return _pack((OUTCOME_QUERY, frame_id, request_id, process))


def encode_hello(process: int) -> bytes:
    """Returns the first frame that an owner sends on a connection."""
    return _pack((HELLO, process))


def encode_config_request(version: int) -> bytes:
    """Returns the frame that requests a newer configuration."""
    return _pack((CONFIG_REQUEST, version))


def encode_config(base: int, payload: bytes) -> bytes:
    """Returns the frame with a configuration or a delta."""
    return _pack((CONFIG, base, payload))


def encode_beacon(beacon: Beacon) -> bytes:
    """Returns the datagram of a beacon."""
    record = beacon.record
    return _pack(
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
            _encode_load(beacon.load),
            beacon.reply_requested,
            beacon.known_slots,
            beacon.reaches_store,
            _encode_departure(beacon.departure),
            _encode_departure(beacon.known.departure),
            beacon.suspects,
            _encode_limit(beacon.load.limit),
            beacon.load.limit_wait_s,
            _encode_limit(beacon.known.limit),
        )
    )


def decode_frame(payload: bytes, *, now: float) -> Frame:
    """Decodes a frame of a connection between nodes.

    Args:
        payload: Encoded frame.
        now: Event loop's time, to which relative times are added.

    Raises:
        MessageInvalidError: If the bytes are not a valid frame.
    """
    try:
        fields = _unpack(payload)
        match fields[0]:
            case 0:
                return _decode_request(fields, now)
            case 1:
                return _decode_answer(fields)
            case 2:
                return CancelFrame(_number(fields[1]))
            case 3:
                return ConfigRequest(_number(fields[1]))
            case 4:
                return ConfigFrame(_number(fields[1]), _bytes(fields[2]))
            case 5:
                return OutcomeQuery(
                    _number(fields[1]), _bytes(fields[2]), _number(fields[3])
                )
            case 7:
                return Hello(_number(fields[1]))
    except (AttributeError, IndexError, TypeError, ValueError) as exc:
        raise MessageInvalidError(f"invalid mesh frame: {exc}") from exc
    raise MessageInvalidError(f"unknown kind {fields[0]!r} of a mesh frame")


def decode_beacon(payload: bytes) -> Beacon:
    """Decodes the datagram of a beacon.

    Raises:
        MessageInvalidError: If the bytes are not a valid beacon.
    """
    try:
        fields = _unpack(payload)
        if fields[0] != BEACON:
            raise ValueError(f"got kind {fields[0]!r}, expected {BEACON}")
        return Beacon(
            PeerRecord(
                _text(fields[1]),
                _text(fields[2]),
                _number(fields[3]),
                _text(fields[4]),
                _text(fields[5]),
                _number(fields[6]),
            ),
            _number(fields[7]),
            _number(fields[8]),
            _decode_load(fields[9], fields[16:18]),
            bool(fields[10]),
            _number(fields[11]),
            bool(fields[12]),
            _decode_departure(fields[13]),
            TargetRecord(
                _decode_departure(fields[14]),
                _decode_limit(_optional(fields, 18)),
            ),
            # Nodes of earlier releases send fewer fields.
            tuple(_text(host) for host in fields[15:16] and fields[15]),
        )
    except (AttributeError, IndexError, TypeError, ValueError) as exc:
        raise MessageInvalidError(f"invalid beacon: {exc}") from exc


def _pack(fields: tuple[Any, ...]) -> bytes:
    payload: bytes = _packer.pack(fields)
    return payload


def _unpack(payload: bytes) -> list[Any]:
    try:
        fields = msgpack.unpackb(payload, strict_map_key=False)
    except (msgpack.UnpackException, RecursionError) as exc:
        raise ValueError(str(exc)) from exc
    if not isinstance(fields, list) or not fields:
        raise ValueError("expected a non-empty array")
    return fields


def _decode_request(fields: list[Any], now: float) -> RequestFrame:
    return RequestFrame(
        _number(fields[1]),
        Attempt(
            request_id=_bytes(fields[2]),
            service=_text(fields[3]),
            origin=_text(fields[4]),
            method=_bytes(fields[5]),
            path=_bytes(fields[6]),
            head=_bytes(fields[7]),
            body=_bytes(fields[8]),
            deadline=now + float(fields[9]),
            priority=_number(fields[10]),
            idempotent=bool(fields[11]),
            bulk=bool(fields[12]),
            late=bool(fields[13]),
            useful_until=now + float(fields[14]),
            spare_only=bool(fields[15]),
        ),
        TargetRecord(
            _decode_departure(_optional(fields, 17)),
            _decode_limit(_optional(fields, 16)),
        ),
    )


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
        _number(fields[5]),
        _bytes(fields[6]),
        _bytes(fields[7]),
        float(fields[9]),
    )
    load = _decode_load(fields[8], fields[10:12])
    departure = _decode_departure(_optional(fields, 12))
    return AnswerFrame(_number(fields[1]), outcome, load, departure)


def _encode_load(load: LoadReport) -> tuple[Any, ...]:
    return (
        int(load.phase),
        load.slots,
        load.running,
        load.queued,
        load.service_s,
        load.refused_share,
        load.link_wait_s,
        # msgpack encodes whole milliseconds in fewer bytes than floats.
        {kind: round(s * MS_PER_S) for kind, s in load.kind_s.items()},
    )


def _decode_load(fields: Any, limit_fields: list[Any]) -> LoadReport:
    """Decodes a load report.

    Args:
        fields: The report without the rate limit.
        limit_fields: Limit and wait; empty from nodes of earlier releases.
    """
    limit, limit_wait_s = limit_fields or (None, 0.0)
    phase, slots, running, queued, service_s, refused, link_wait_s, kind_ms = (
        fields
    )
    return LoadReport(
        TargetPhase(phase),
        _number(slots),
        _number(running),
        _number(queued),
        float(service_s),
        float(refused),
        float(link_wait_s),
        {_number(kind): _number(ms) / MS_PER_S for kind, ms in kind_ms.items()},
        _decode_limit(limit),
        _finite(limit_wait_s),
    )


def _encode_limit(
    limit: TargetLimit | None,
) -> tuple[str, int, float | None] | None:
    if limit is None:
        return None
    incarnation = limit.incarnation
    return incarnation.target_id, incarnation.born_ms, limit.per_s


def _decode_limit(fields: Any) -> TargetLimit | None:
    if fields is None:
        return None
    target_id, born_ms, per_s = fields
    if per_s is not None and _finite(per_s) < 0:
        raise ValueError(f"got {per_s!r}, expected no negative rate")
    return TargetLimit(Incarnation(_text(target_id), _number(born_ms)), per_s)


def _encode_departure(departure: Incarnation | None) -> tuple[str, int] | None:
    if departure is None:
        return None
    return departure.target_id, departure.born_ms


def _decode_departure(fields: Any) -> Incarnation | None:
    if fields is None:
        return None
    target_id, born_ms = fields
    return Incarnation(_text(target_id), _number(born_ms))


def _optional(fields: list[Any], index: int) -> Any:
    """Returns a field that nodes of earlier releases do not send, or None."""
    return fields[index] if index < len(fields) else None


def _finite(value: Any) -> float:
    if type(value) is not float or not math.isfinite(value):
        raise TypeError(f"got {value!r}, expected a finite number")
    return value


def _number(value: Any) -> int:
    if type(value) is not int:
        raise TypeError(f"got {value!r}, expected a number")
    return value


def _bytes(value: Any) -> bytes:
    if type(value) is not bytes:
        raise TypeError(f"got {value!r:.80}, expected bytes")
    return value


def _text(value: Any) -> str:
    if type(value) is not str:
        raise TypeError(f"got {value!r:.80}, expected text")
    return value
