"""Translation between gossip datagrams and their bytes."""

from google.protobuf.message import DecodeError

from guavawing.errors import InvalidArgumentError, MessageInvalidError
from guavawing.membership import Datagram, Member, MemberState, Notice
from guavawing.model import parse_address
from guavawing.proto import gossip_pb2 as pb

__all__ = ["MAX_DATAGRAM_BYTES", "decode_datagram", "encode_datagram"]

MAX_DATAGRAM_BYTES = 8_192


def encode_datagram(datagram: Datagram) -> bytes:
    """Returns the bytes of a gossip datagram."""
    message = pb.GossipDatagram(
        sender=datagram.sender,
        records=[_encode_member(member) for member in datagram.records],
        version=pb.VersionNotice(
            version=datagram.notice.version, digest=datagram.notice.digest
        ),
        reply_wanted=datagram.reply_wanted,
    )
    payload: bytes = message.SerializeToString()
    return payload


def decode_datagram(payload: bytes) -> Datagram:
    """Reads a gossip datagram.

    Raises:
        MessageInvalidError: If the bytes are not a datagram.
    """
    message = pb.GossipDatagram()
    try:
        message.ParseFromString(payload)
        return Datagram(
            sender=message.sender,
            records=tuple(_decode_member(each) for each in message.records),
            notice=Notice(message.version.version, message.version.digest),
            reply_wanted=message.reply_wanted,
        )
    except (DecodeError, InvalidArgumentError, ValueError) as exc:
        raise MessageInvalidError(f"not a gossip datagram: {exc}") from exc


def _encode_member(member: Member) -> pb.MemberRecord:
    return pb.MemberRecord(
        id=member.id,
        incarnation=member.incarnation,
        sequence=member.sequence,
        state=pb.MemberState.ValueType(member.state),
        data_centre=member.data_centre,
        region=member.region,
        service=member.service,
        mesh=str(member.mesh),
        control=str(member.control),
        admin=str(member.admin),
        slots=member.slots,
        serving=member.serving,
    )


def _decode_member(record: pb.MemberRecord) -> Member:
    return Member(
        id=record.id,
        incarnation=record.incarnation,
        sequence=record.sequence,
        state=MemberState(record.state),
        data_centre=record.data_centre,
        region=record.region,
        service=record.service,
        mesh=parse_address(record.mesh),
        control=parse_address(record.control),
        admin=parse_address(record.admin),
        slots=record.slots,
        serving=record.serving,
    )
