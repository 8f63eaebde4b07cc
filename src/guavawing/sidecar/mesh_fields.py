"""Fields that several messages between nodes share, and their types."""

import ipaddress
import math
from typing import Any

import msgpack

from guavawing.model import MAX_PORT
from guavawing.traffic.model import (
    Incarnation,
    LoadReport,
    TargetLimit,
    TargetPhase,
)

__all__ = [
    "decode_departure",
    "decode_limit",
    "decode_load",
    "encode_departure",
    "encode_limit",
    "encode_load",
    "pack",
    "read_bytes",
    "read_host",
    "read_number",
    "read_optional",
    "read_port",
    "read_text",
    "unpack",
]

MS_PER_S = 1000
_packer = msgpack.Packer(use_bin_type=True)


def pack(fields: tuple[Any, ...]) -> bytes:
    """Encodes the fields of a message."""
    payload: bytes = _packer.pack(fields)
    return payload


def unpack(payload: bytes) -> list[Any]:
    """Decodes the fields of a message.

    Raises:
        ValueError: If the bytes are not an array with fields.
    """
    try:
        fields = msgpack.unpackb(payload, strict_map_key=False)
    except (msgpack.UnpackException, RecursionError) as exc:
        raise ValueError(str(exc)) from exc
    if not isinstance(fields, list) or not fields:
        raise ValueError("expected a non-empty array")
    return fields


def encode_load(load: LoadReport) -> tuple[Any, ...]:
    """Returns the fields of a load report without the rate limit."""
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


def decode_load(
    fields: Any, limit_fields: list[Any], *, release: str = ""
) -> LoadReport:
    """Decodes a load report.

    Args:
        fields: The report without the rate limit.
        limit_fields: Limit and wait; empty from nodes of earlier releases.
        release: Release of the target's software.
    """
    limit, limit_wait_s = limit_fields or (None, 0.0)
    phase, slots, running, queued, service_s, refused, link_wait_s, kind_ms = (
        fields
    )
    return LoadReport(
        TargetPhase(phase),
        read_number(slots),
        read_number(running),
        read_number(queued),
        float(service_s),
        float(refused),
        float(link_wait_s),
        {
            read_number(kind): read_number(ms) / MS_PER_S
            for kind, ms in kind_ms.items()
        },
        decode_limit(limit),
        _finite(limit_wait_s),
        read_text(release),
    )


def encode_limit(
    limit: TargetLimit | None,
) -> tuple[str, int, float | None] | None:
    """Returns the fields of a limit, or None."""
    if limit is None:
        return None
    incarnation = limit.incarnation
    return incarnation.target_id, incarnation.born_ms, limit.per_s


def decode_limit(fields: Any) -> TargetLimit | None:
    """Decodes a limit, or None.

    Raises:
        TypeError: If a field has another type.
        ValueError: If a value is invalid.
    """
    if fields is None:
        return None
    target_id, born_ms, per_s = fields
    if per_s is not None and _finite(per_s) < 0:
        raise ValueError(f"got {per_s!r}, expected no negative rate")
    return TargetLimit(
        Incarnation(read_text(target_id), read_number(born_ms)), per_s
    )


def encode_departure(departure: Incarnation | None) -> tuple[str, int] | None:
    """Returns the fields of a departure, or None."""
    if departure is None:
        return None
    return departure.target_id, departure.born_ms


def decode_departure(fields: Any) -> Incarnation | None:
    """Decodes a departure, or None."""
    if fields is None:
        return None
    target_id, born_ms = fields
    return Incarnation(read_text(target_id), read_number(born_ms))


def read_optional(fields: list[Any], index: int) -> Any:
    """Returns a field that nodes of earlier releases do not send, or None."""
    return fields[index] if index < len(fields) else None


def _finite(value: Any) -> float:
    if type(value) is not float or not math.isfinite(value):
        raise TypeError(f"got {value!r}, expected a finite number")
    return value


def read_number(value: Any) -> int:
    """Returns a whole number.

    Raises:
        TypeError: If it is anything else.
    """
    if type(value) is not int:
        raise TypeError(f"got {value!r}, expected a number")
    return value


def read_bytes(value: Any) -> bytes:
    """Returns bytes.

    Raises:
        TypeError: If it is anything else.
    """
    if type(value) is not bytes:
        raise TypeError(f"got {value!r:.80}, expected bytes")
    return value


def read_text(value: Any) -> str:
    """Returns text.

    Raises:
        TypeError: If it is anything else.
    """
    if type(value) is not str:
        raise TypeError(f"got {value!r:.80}, expected text")
    return value


def read_host(value: Any) -> str:
    """Returns the address of a VM, to which datagrams can be sent.

    Raises:
        TypeError: If it is no text.
        ValueError: If it is no IPv4 address of a single VM.
    """
    address = ipaddress.IPv4Address(read_text(value))
    if address.is_unspecified or address.is_multicast or address.is_reserved:
        raise ValueError(f"got {value!r}, expected the address of one VM")
    return str(address)


def read_port(value: Any) -> int:
    """Returns a port.

    Raises:
        TypeError: If it is no number.
        ValueError: If it is out of range.
    """
    if not 0 < read_number(value) <= MAX_PORT:
        raise ValueError(f"got port {value}, expected 1 to {MAX_PORT}")
    return int(value)
