"""Encoding and decoding of membership datagrams.

The decoder validates sizes, counts, names and ranges, so that the membership
state machines process only values that a member could have sent.
"""

import ipaddress
import string

from google.protobuf.message import DecodeError

from guavawing.errors import MessageInvalidError
from guavawing.membership import (
    MAX_DATAGRAM_BYTES,
    MAX_INCARNATION,
    MAX_SEQUENCE,
    Ack,
    Body,
    Claim,
    Datagram,
    Listeners,
    Member,
    MemberState,
    Nack,
    Notice,
    Ping,
    PingRequest,
    Push,
    SummaryAge,
    SyncPage,
    SyncRequest,
)
from guavawing.membership.sync import BUCKETS
from guavawing.model import Address
from guavawing.proto import gossip_pb2 as pb

__all__ = ["MAX_DATAGRAM_BYTES", "decode_datagram", "encode_datagram"]

MAX_NAME_LENGTH = 64
NAME_CHARACTERS = frozenset(string.ascii_letters + string.digits + "-_.")
DIGEST_BYTES = 32
MAX_VERSION = 2**53
MAX_SLOTS = 100_000
MAX_UPDATES = 128
MAX_AGE_MS = 2**40
NUMBER_MASK = 2**32 - 1
PORT_BYTES = 2
IP_BYTES = (4, 16)

RECORD_STATES = (MemberState.ALIVE, MemberState.LEFT)
CLAIM_STATES = (MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT)


def encode_datagram(datagram: Datagram) -> bytes:
    """Returns the encoded form of a membership datagram."""
    message = pb.GossipDatagram(
        sender=datagram.sender,
        version=pb.VersionNotice(
            version=datagram.notice.version, digest=datagram.notice.digest
        ),
        records=[_encode_member(member) for member in datagram.records],
        claims=[_encode_claim(claim) for claim in datagram.claims],
        ages=[
            pb.SummaryAge(data_centre=age.data_centre, age_ms=age.age_ms)
            for age in datagram.ages
        ],
    )
    _encode_body(message, datagram.body)
    payload: bytes = message.SerializeToString()
    return payload


def decode_datagram(payload: bytes) -> Datagram:
    """Decodes and validates a membership datagram.

    Raises:
        MessageInvalidError: If the bytes are malformed or a value is out of
            range.
    """
    if len(payload) > MAX_DATAGRAM_BYTES:
        raise _refuse("size", len(payload), f"at most {MAX_DATAGRAM_BYTES}")
    message = pb.GossipDatagram()
    try:
        message.ParseFromString(payload)
    except DecodeError as exc:
        raise MessageInvalidError(f"not a gossip datagram: {exc}") from exc
    count = len(message.records) + len(message.claims) + len(message.ages)
    _check_range("updates", count, MAX_UPDATES)
    return Datagram(
        sender=_check_name("sender", message.sender),
        body=_decode_body(message),
        notice=_decode_notice(message.version),
        records=tuple(_decode_member(each) for each in message.records),
        claims=tuple(_decode_claim(each) for each in message.claims),
        ages=tuple(_decode_age(each) for each in message.ages),
    )


def _encode_body(message: pb.GossipDatagram, body: Body) -> None:
    match body:
        case Ping():
            message.ping.number = body.number & NUMBER_MASK
            message.ping.subject = body.subject
            message.ping.reply_to = _encode_address(body.reply_to)
        case PingRequest():
            message.ping_request.number = body.number & NUMBER_MASK
            message.ping_request.subject = body.subject
            message.ping_request.address = _encode_address(body.address)
            message.ping_request.reply_to = _encode_address(body.reply_to)
        case Ack():
            message.ack.number = body.number & NUMBER_MASK
            message.ack.subject = body.subject
        case Nack():
            message.nack.number = body.number & NUMBER_MASK
            message.nack.subject = body.subject
        case Push():
            message.push.SetInParent()
        case SyncRequest():
            message.sync_request.data_centre = body.data_centre
            message.sync_request.cursor = body.cursor
            message.sync_request.digests.extend(body.digests)
            message.sync_request.reply_to = _encode_address(body.reply_to)
        case SyncPage():
            message.sync_page.data_centre = body.data_centre
            message.sync_page.next_cursor = body.next_cursor


def _decode_body(message: pb.GossipDatagram) -> Body:
    match message.WhichOneof("body"):
        case "ping":
            ping = message.ping
            return Ping(
                ping.number,
                _check_name("subject", ping.subject),
                _decode_address(ping.reply_to),
            )
        case "ping_request":
            request = message.ping_request
            return PingRequest(
                request.number,
                _check_name("subject", request.subject),
                _decode_address(request.address),
                _decode_address(request.reply_to),
            )
        case "ack":
            ack = message.ack
            return Ack(ack.number, _check_name("subject", ack.subject))
        case "nack":
            nack = message.nack
            return Nack(nack.number, _check_name("subject", nack.subject))
        case "push":
            return Push()
        case "sync_request":
            return _decode_sync_request(message.sync_request)
        case "sync_page":
            page = message.sync_page
            return SyncPage(
                _check_name("data centre", page.data_centre), page.next_cursor
            )
        case kind:
            raise _refuse("body", kind, "one of the known bodies")


def _decode_sync_request(request: pb.SyncRequest) -> SyncRequest:
    digests = tuple(request.digests)
    if len(digests) not in (0, BUCKETS):
        raise _refuse("digests", len(digests), f"0 or {BUCKETS}")
    return SyncRequest(
        _check_name("data centre", request.data_centre),
        request.cursor,
        digests,
        _decode_address(request.reply_to),
    )


def _decode_notice(notice: pb.VersionNotice) -> Notice:
    _check_range("version", notice.version, MAX_VERSION)
    size = DIGEST_BYTES if notice.version else 0
    if len(notice.digest) != size:
        raise _refuse("digest bytes", len(notice.digest), str(size))
    return Notice(notice.version, notice.digest)


def _encode_member(member: Member) -> pb.MemberRecord:
    return pb.MemberRecord(
        id=member.id,
        incarnation=member.incarnation,
        sequence=member.sequence,
        state=pb.MemberState.ValueType(member.state),
        data_centre=member.data_centre,
        region=member.region,
        service=member.service,
        mesh=_encode_address(member.mesh),
        control=_encode_address(member.control),
        admin=_encode_address(member.admin),
        slots=member.slots,
        serving=member.serving,
    )


def _decode_member(record: pb.MemberRecord) -> Member:
    mesh = _decode_address(record.mesh)
    return Member(
        id=_check_name("id", record.id),
        incarnation=_check_range(
            "incarnation", record.incarnation, MAX_INCARNATION
        ),
        sequence=_check_range("sequence", record.sequence, MAX_SEQUENCE),
        state=_check_state(record.state, RECORD_STATES),
        data_centre=_check_name("data centre", record.data_centre),
        region=_check_name("region", record.region),
        service=_check_name("service", record.service),
        host=mesh.host,
        listeners=Listeners.share(
            mesh,
            _decode_address(record.control),
            _decode_address(record.admin),
        ),
        slots=_check_range("slots", record.slots, MAX_SLOTS),
        serving=record.serving,
    )


def _encode_claim(claim: Claim) -> pb.Claim:
    return pb.Claim(
        subject=claim.subject,
        incarnation=claim.incarnation,
        sequence=claim.sequence,
        state=pb.MemberState.ValueType(claim.state),
        accuser=claim.accuser,
    )


def _decode_claim(claim: pb.Claim) -> Claim:
    return Claim(
        subject=_check_name("subject", claim.subject),
        incarnation=_check_range(
            "incarnation", claim.incarnation, MAX_INCARNATION
        ),
        sequence=_check_range("sequence", claim.sequence, MAX_SEQUENCE),
        state=_check_state(claim.state, CLAIM_STATES),
        accuser=_check_name("accuser", claim.accuser),
    )


def _decode_age(age: pb.SummaryAge) -> SummaryAge:
    return SummaryAge(
        _check_name("data centre", age.data_centre),
        _check_range("age", age.age_ms, MAX_AGE_MS),
    )


def _encode_address(address: Address) -> bytes:
    ip = ipaddress.ip_address(address.host)
    return ip.packed + address.port.to_bytes(PORT_BYTES, "big")


def _decode_address(payload: bytes) -> Address:
    ip_bytes = len(payload) - PORT_BYTES
    port = int.from_bytes(payload[-PORT_BYTES:], "big")
    if ip_bytes not in IP_BYTES or port == 0:
        raise _refuse("address", payload, "an IP address and a port")
    return Address(str(ipaddress.ip_address(payload[:-PORT_BYTES])), port)


def _check_name(field: str, name: str) -> str:
    if not 0 < len(name) <= MAX_NAME_LENGTH or set(name) - NAME_CHARACTERS:
        raise _refuse(field, name, f"1 to {MAX_NAME_LENGTH} ASCII characters")
    return name


def _check_range(field: str, value: int, highest: int) -> int:
    if value > highest:
        raise _refuse(field, value, f"at most {highest}")
    return value


def _check_state(value: int, allowed: tuple[MemberState, ...]) -> MemberState:
    for state in allowed:
        if state == value:
            return state
    raise _refuse("state", value, f"one of {[int(each) for each in allowed]}")


def _refuse(field: str, value: object, expected: str) -> MessageInvalidError:
    return MessageInvalidError(
        f"gossip datagram: got {field} {value!r:.80}, expected {expected}"
    )
