"""Datagrams about the quotas of client accounts."""

import math
from typing import Any

import attrs

from guavawing.errors import MessageInvalidError
from guavawing.sidecar.mesh_codec import QUOTA_GRANT, QUOTA_REQUEST
from guavawing.sidecar.mesh_fields import (
    pack,
    read_number,
    read_text,
    unpack,
)
from guavawing.traffic.quota_parts import Part

__all__ = [
    "Ask",
    "Grant",
    "PartDeposit",
    "PartPull",
    "QuotaRequest",
    "decode_grant",
    "decode_quota_request",
    "encode_grant",
    "encode_quota_request",
]

ASK, PULL, DEPOSIT = range(3)
MS_PER_S = 1000
# Digits of tokens, of the usage and of demands that are sent.
TOKEN_DIGITS = 3
USAGE_DIGITS = 2
DEMAND_DIGITS = 2


@attrs.frozen
class Ask:
    """Asks for a token for one request.

    Attributes:
        part: Part of the account's quota.
        stock: Further tokens wanted for later requests.
    """

    part: Part
    stock: int


@attrs.frozen
class PartPull:
    """Asks for tokens of another part.

    Attributes:
        part: Part that is to give them.
        tokens: Tokens wanted.
        data_centre: Data centre of the part that asks.
        shard: Its shard.
        demand: Demand for it, in tokens per second.
        reply_to: Host to answer, if the message was forwarded to the holder;
            empty for its sender.
    """

    part: Part
    tokens: float
    data_centre: str
    shard: int
    demand: float
    reply_to: str = ""


@attrs.frozen
class PartDeposit:
    """Gives tokens to the holder of a part."""

    part: Part
    tokens: float


QuotaRequest = Ask | PartPull | PartDeposit


@attrs.frozen
class Grant:
    """Answer to an `Ask` or a `PartPull`.

    Attributes:
        tokens: Tokens that the receiver may use.
        wait_s: Time after which there is a token, in seconds; only if there
            is none.
        usage: Recent demand for the part relative to its rate.
        pending: Whether another answer follows once other parts were asked.
        demand: Demand for the part that was asked for tokens by another one,
            in tokens per second.
    """

    tokens: float
    wait_s: float = 0.0
    usage: float = 0.0
    pending: bool = False
    demand: float = 0.0


def encode_quota_request(nonce: int, message: QuotaRequest) -> bytes:
    """Returns the datagram of a request; `nonce` identifies its answer."""
    head = (QUOTA_REQUEST, nonce)
    match message:
        case Ask(part=part, stock=stock):
            return pack((*head, ASK, *part, stock))
        case PartPull(part=part):
            return pack(
                (
                    *head,
                    PULL,
                    *part,
                    round(message.tokens, TOKEN_DIGITS),
                    message.data_centre,
                    message.shard,
                    round(message.demand, DEMAND_DIGITS),
                    message.reply_to,
                )
            )
        case PartDeposit(part=part, tokens=tokens):
            return pack((*head, DEPOSIT, *part, tokens))


def decode_quota_request(payload: bytes) -> tuple[int, QuotaRequest]:
    """Decodes a request and its nonce.

    Raises:
        MessageInvalidError: If the bytes are not a valid request.
    """
    try:
        fields = unpack(payload)
        nonce = read_number(fields[1])
        part = Part(read_text(fields[3]), read_number(fields[4]))
        match fields[2]:
            case 0:
                return nonce, Ask(part, read_number(fields[5]))
            case 1:
                return nonce, PartPull(
                    part,
                    _read_tokens(fields[5]),
                    read_text(fields[6]),
                    read_number(fields[7]),
                    _read_tokens(fields[8]),
                    read_text(fields[9]),
                )
            case 2:
                return nonce, PartDeposit(part, _read_tokens(fields[5]))
    except (AttributeError, IndexError, TypeError, ValueError) as exc:
        raise MessageInvalidError(f"invalid quota request: {exc}") from exc
    raise MessageInvalidError(f"unknown quota request {fields[2]!r}")


def encode_grant(nonce: int, grant: Grant) -> bytes:
    """Returns the datagram of an answer."""
    return pack(
        (
            QUOTA_GRANT,
            nonce,
            grant.tokens,
            math.ceil(grant.wait_s * MS_PER_S),
            round(grant.usage, USAGE_DIGITS),
            grant.pending,
            round(grant.demand, DEMAND_DIGITS),
        )
    )


def decode_grant(payload: bytes) -> tuple[int, Grant]:
    """Decodes an answer and the nonce of its request.

    Raises:
        MessageInvalidError: If the bytes are not a valid answer.
    """
    try:
        fields = unpack(payload)
        return read_number(fields[1]), Grant(
            _read_tokens(fields[2]),
            read_number(fields[3]) / MS_PER_S,
            _read_tokens(fields[4]),
            bool(fields[5]),
            _read_tokens(fields[6]),
        )
    except (AttributeError, IndexError, TypeError, ValueError) as exc:
        raise MessageInvalidError(f"invalid quota grant: {exc}") from exc


def _read_tokens(value: Any) -> float:
    tokens = float(value)
    if not 0 <= tokens < math.inf:
        raise ValueError(f"got {value!r}, expected a number of at least 0")
    return tokens
