"""Datagrams of roll-outs: states from the decider, counts from the owners."""

from typing import Any

import attrs

from guavawing.errors import MessageInvalidError
from guavawing.sidecar.mesh_codec import ROLLOUT_COUNTS, ROLLOUT_STATE
from guavawing.sidecar.mesh_fields import pack, read_number, read_text, unpack
from guavawing.traffic.durations import BUCKETS
from guavawing.traffic.model import RolloutOrder
from guavawing.traffic.rollout_counts import OwnerCounts
from guavawing.traffic.rollout_state import RolloutPhase, RolloutState

__all__ = [
    "StateMessage",
    "decode_counts",
    "decode_state",
    "encode_counts",
    "encode_state",
]


@attrs.frozen
class StateMessage:
    """An announced state.

    Attributes:
        state: The state.
        left_s: Time left to the deadline, in seconds.
        age_s: Time since the decider confirmed the state, in seconds.
    """

    state: RolloutState
    left_s: float
    age_s: float


def encode_state(message: StateMessage) -> bytes:
    """Returns the datagram of a state."""
    state, order = message.state, message.state.order
    return pack(
        (
            ROLLOUT_STATE,
            order.service,
            order.release,
            order.duration_s,
            order.number,
            state.era,
            state.version,
            int(state.phase),
            state.share,
            state.closing,
            state.halted,
            state.decider,
            state.avoided,
            message.left_s,
            message.age_s,
        )
    )


def decode_state(payload: bytes) -> StateMessage:
    """Decodes the datagram of a state.

    Raises:
        MessageInvalidError: If the bytes are not a valid state.
    """
    try:
        fields = unpack(payload)
        order = RolloutOrder(
            read_text(fields[1]),
            read_text(fields[2]),
            float(fields[3]),
            read_number(fields[4]),
        )
        state = RolloutState(
            order,
            era=read_number(fields[5]),
            version=read_number(fields[6]),
            phase=RolloutPhase(fields[7]),
            share=float(fields[8]),
            closing=bool(fields[9]),
            halted=bool(fields[10]),
            decider=read_text(fields[11]),
            avoided=tuple(read_text(each) for each in fields[12]),
        )
        return StateMessage(
            state, float(fields[13]), max(0.0, float(fields[14]))
        )
    except (IndexError, TypeError, ValueError) as exc:
        raise MessageInvalidError(f"invalid roll-out state: {exc}") from exc


def encode_counts(counts: OwnerCounts) -> bytes:
    """Returns the datagram of an owner's counts."""
    return pack(
        (
            ROLLOUT_COUNTS,
            counts.service,
            counts.order_number,
            counts.release,
            counts.series,
            counts.busy,
            counts.closed,
            counts.slots,
            counts.cold,
            dict(counts.routes),
            dict(counts.running),
        )
    )


def decode_counts(payload: bytes) -> OwnerCounts:
    """Decodes the datagram of an owner's counts.

    Raises:
        MessageInvalidError: If the bytes are not valid counts.
    """
    try:
        fields = unpack(payload)
        return OwnerCounts(
            read_text(fields[1]),
            read_number(fields[2]),
            read_text(fields[3]),
            read_number(fields[4]),
            read_number(fields[5]),
            bool(fields[6]),
            read_number(fields[7]),
            bool(fields[8]),
            _read_routes(fields[9], size=BUCKETS + 1),
            _read_routes(fields[10]),
        )
    except (AttributeError, IndexError, TypeError, ValueError) as exc:
        raise MessageInvalidError(f"invalid roll-out counts: {exc}") from exc


def _read_routes(
    fields: Any, *, size: int | None = None
) -> dict[str, tuple[int, ...]]:
    routes = {}
    for name, counts in fields.items():
        if size is not None and len(counts) != size:
            raise ValueError(f"got {len(counts)} counts of a route")
        routes[read_text(name)] = tuple(read_number(each) for each in counts)
    return routes
