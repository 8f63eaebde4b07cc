"""Steps that check the encoding of membership datagrams."""

import contextlib

import attrs
from behave import then
from hypothesis import strategies as st

from bench.gossip_driver import make_member
from guavawing import membership as ms
from guavawing.errors import MessageInvalidError
from guavawing.model import Address
from guavawing.node.datagrams import decode_datagram, encode_datagram
from guavawing.proto import gossip_pb2 as pb
from tests.support import assert_raises, check_examples

names = st.text("abz09-_.", min_size=1, max_size=64)
numbers = st.integers(0, 2**32 - 1)
ports = st.integers(1, 65_535)
addresses = st.builds(Address, st.ip_addresses().map(str), ports)
digests = st.lists(numbers, min_size=64, max_size=64).map(tuple)
versions = {
    "incarnation": st.integers(0, ms.MAX_INCARNATION),
    "sequence": st.integers(0, ms.MAX_SEQUENCE),
}
records = st.builds(
    lambda member, addresses, **changes: attrs.evolve(
        member,
        host=addresses[0].host,
        listeners=ms.Listeners.share(*addresses),
        **changes,
    ),
    st.just(make_member("desk-bergen-1", 1)),
    st.tuples(addresses, addresses, addresses)
    | addresses.map(lambda each: (each,) * 3),
    id=names,
    state=st.sampled_from((ms.MemberState.ALIVE, ms.MemberState.LEFT)),
    service=names,
    serving=st.booleans(),
    **versions,
)
claims = st.builds(
    ms.Claim,
    subject=names,
    state=st.sampled_from(list(ms.MemberState)[1:]),
    accuser=names,
    **versions,
)
bodies = st.one_of(
    st.builds(ms.Ping, numbers, names, addresses),
    st.builds(ms.PingRequest, numbers, names, addresses, addresses),
    st.builds(ms.Ack, numbers, names),
    st.builds(ms.Nack, numbers, names),
    st.just(ms.Push()),
    st.builds(ms.SyncRequest, names, numbers, st.just(()) | digests, addresses),
    st.builds(ms.SyncPage, names, numbers),
)
notices = st.builds(
    ms.Notice, st.integers(1, 2**53), st.binary(min_size=32, max_size=32)
)
ages = st.builds(ms.SummaryAge, names, st.integers(0, 2**40))
updates = (st.lists(e, max_size=2).map(tuple) for e in (records, claims, ages))
datagrams = st.builds(ms.Datagram, names, bodies, notices, *updates)


@then("{count:d} random datagrams are decoded as they were encoded")
def step_round_trip(context, count):
    @check_examples(count, datagrams)
    def check(datagram):
        payload = encode_datagram(datagram)
        assert len(payload) <= ms.MAX_DATAGRAM_BYTES, len(payload)
        assert decode_datagram(payload) == datagram


@then("{count:d} random payloads raise nothing but MessageInvalidError")
def step_fuzz(context, count):
    damaged = st.builds(
        damage,
        datagrams.map(encode_datagram),
        st.lists(st.tuples(st.integers(0, 2**16), st.integers(0, 255))),
        st.integers(0, 2**16),
    )

    @check_examples(count, st.one_of(st.binary(max_size=1_500), damaged))
    def check(payload):
        with contextlib.suppress(MessageInvalidError):
            decode_datagram(payload)


def damage(payload, changes, cut):
    damaged = bytearray(payload)
    for place, value in changes:
        damaged[place % len(damaged)] = value
    return bytes(damaged[: cut % (len(damaged) + 1) or None])


def make_message():
    member = make_member("desk-bergen-1", 1)
    claim = ms.Claim(
        "desk-bergen-2", 1, 1, ms.MemberState.DEAD, "desk-bergen-3"
    )
    notice = ms.Notice(1, bytes(32))
    datagram = ms.Datagram(
        "desk-bergen-1", ms.Push(), notice, (member,), (claim,)
    )
    return pb.GossipDatagram.FromString(encode_datagram(datagram))


SUMMARY_AGE = pb.SummaryAge(data_centre="x")
SYNC_REQUEST = pb.SyncRequest(
    data_centre="bergen", digests=[1, 2, 3], reply_to=bytes(5) + b"1"
)
FAULTS = {
    "a record in state suspect": lambda m: setattr(m.records[0], "state", 2),
    "a claim of state alive": lambda m: setattr(m.claims[0], "state", 1),
    "an unknown state": lambda m: setattr(m.claims[0], "state", 77),
    "too high an incarnation": lambda m: setattr(
        m.records[0], "incarnation", ms.MAX_INCARNATION + 1
    ),
    "too high a sequence": lambda m: setattr(
        m.claims[0], "sequence", ms.MAX_SEQUENCE + 1
    ),
    "a name with blanks": lambda m: setattr(m.records[0], "service", "a b"),
    "an empty sender": lambda m: setattr(m, "sender", ""),
    "too long a name": lambda m: setattr(m.claims[0], "accuser", "x" * 65),
    "a short address": lambda m: setattr(m.records[0], "mesh", b"12"),
    "port 0": lambda m: setattr(m.records[0], "control", bytes(6)),
    "a short digest": lambda m: setattr(m.version, "digest", bytes(31)),
    "three bucket digests": lambda m: m.sync_request.MergeFrom(SYNC_REQUEST),
    "no body": lambda m: m.ClearField("body"),
    "too many updates": lambda m: m.ages.extend([SUMMARY_AGE] * 129),
    "too many bytes": lambda m: m.claims.extend([m.claims[0]] * 40),
}


@then("a datagram with {fault} is refused")
def step_refused(context, fault):
    message = make_message()
    decode_datagram(message.SerializeToString())
    FAULTS[fault](message)
    with assert_raises(MessageInvalidError):
        decode_datagram(message.SerializeToString())
