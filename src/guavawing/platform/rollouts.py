"""Rows of roll-outs: the operator's orders and the status written for it.

The status row also holds what another node needs to go on with a roll-out
(`plan`), so that verdict and plan change in one conditional write.
"""

from typing import Any

import attrs
import orjson

from guavawing.errors import MessageInvalidError
from guavawing.platform.store_client import StoredRow
from guavawing.traffic.model import RolloutOrder
from guavawing.traffic.rollout_state import RolloutPhase

__all__ = [
    "ROLLOUT_PREFIX",
    "STATUS_TABLE",
    "StoredPlan",
    "decode_order",
    "decode_status",
    "encode_status",
]

ROLLOUT_PREFIX = "rollout/"
STATUS_TABLE = "status"
_STATES = {
    "running": RolloutPhase.RUNNING,
    "completed": RolloutPhase.COMPLETED,
    "rolled_back": RolloutPhase.ROLLED_BACK,
}
_NAMES = {phase: name for name, phase in _STATES.items()}


@attrs.frozen
class StoredPlan:
    """A roll-out as its status row holds it.

    Attributes:
        order_number: Version of the order's row; 0 if not given.
        phase: Phase of the roll-out.
        release: Release that takes over.
        share: Share of the requests that it gets.
        closing: Whether the other targets accept nothing any more.
        left_s: Time to the deadline when the row was written, in seconds.
        avoided: Releases that were rolled back before.
        decider: Host of the node that wrote it.
    """

    order_number: int
    phase: RolloutPhase
    release: str
    share: float = 0.0
    closing: bool = False
    left_s: float = 0.0
    avoided: tuple[str, ...] = ()
    decider: str = ""


def decode_order(row: StoredRow) -> RolloutOrder:
    """Decodes the row of an order.

    Raises:
        MessageInvalidError: If the row is unreadable.
    """
    try:
        content = orjson.loads(row.value or b"")
        service, release = content["service"], content["to"]
        duration_s = float(content["durationS"])
        if not isinstance(service, str) or not isinstance(release, str):
            raise TypeError("service and release have to be texts")
        if not service or not release or not duration_s >= 0:
            raise ValueError(f"got duration {duration_s}, expected 0 or more")
    except (KeyError, TypeError, ValueError) as exc:
        raise MessageInvalidError(f"invalid roll-out {row.key}: {exc}") from exc
    return RolloutOrder(service, release, duration_s, row.version)


def encode_status(plan: StoredPlan) -> bytes:
    """Returns the value of a status row."""
    return orjson.dumps(
        {
            "state": _NAMES[plan.phase],
            "to": plan.release,
            "plan": {
                "order": plan.order_number,
                "share": plan.share,
                "closing": plan.closing,
                "leftS": round(plan.left_s, 3),
                "avoided": plan.avoided,
                "decider": plan.decider,
            },
        }
    )


def decode_status(value: bytes) -> StoredPlan:
    """Decodes the value of a status row.

    Raises:
        MessageInvalidError: If the value is unreadable.
    """
    try:
        content: dict[str, Any] = orjson.loads(value)
        plan = content.get("plan") or {}
        return StoredPlan(
            int(plan.get("order", 0)),
            _STATES[content["state"]],
            str(content["to"]),
            float(plan.get("share", 0.0)),
            bool(plan.get("closing", False)),
            float(plan.get("leftS", 0.0)),
            tuple(str(release) for release in plan.get("avoided", ())),
            str(plan.get("decider", "")),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as exc:
        raise MessageInvalidError(f"invalid roll-out status: {exc}") from exc
