"""Steps that decode and check documents and build policies from them."""

import copy
import datetime
import json
import re

import orjson
from behave import given, register_type, then, when
from hypothesis import strategies as st

from guavawing.config import (
    Document,
    PolicyTable,
    check_document,
    decode_document,
    encode_document,
)
from guavawing.errors import ConfigInvalidError
from standins.documents import make_newsroom_document
from tests.support import check_examples, make_json

register_type(Day=datetime.date.fromisoformat)
register_type(Json=json.loads)

E1 = {
    "service": "desk",
    "setting": "deadline_ms",
    "value": 20_000,
    "reason": "the archive is moved this month",
    "owner": "desk team",
}
SCOPE = re.compile(
    r"(?P<service>\w+)(/(?P<route>[\w-]+))?( in (?P<data_centre>\w+))?"
    r"( until (?P<ends>[\d-]+))? value (?P<value>\d+)"
)
BASE_TREE = orjson.loads(encode_document(make_newsroom_document()))
BASE_TREE["exceptions"] = {"e1": E1}
RAW = {
    "nothing": b"",
    "invalid UTF-8": b'{"\xff":1}',
    "100000 times [": b"[" * 100_000,
    "900 times [": b"[" * 900 + b"]" * 900,
    "9000000 times x": b"x" * 9_000_000,
}


def get_tree(context):
    if not hasattr(context, "tree"):
        context.tree = copy.deepcopy(BASE_TREE)
    return context.tree


def read_document(context):
    if hasattr(context, "tree"):
        context.payload = json.dumps(context.tree).encode()
    document = decode_document(context.payload)
    check_document(document)
    return document


@given('a document in which "{place}" is {value}')
def step_edit(context, place, value):
    node = get_tree(context)
    *parents, last = place.split(".")
    for name in parents:
        node = node[name]
    if value == "ABSENT":
        del node[last]
    else:
        node[last] = json.loads(value)


@given('an exception "{name}" of "{setting}" for {scope}')
def step_exception(context, name, setting, scope):
    if scope == "nothing":
        return
    fields = SCOPE.fullmatch(scope).groupdict()
    fields |= {"setting": setting, "reason": "r", "owner": "o"}
    fields["value"] = int(fields["value"])
    get_tree(context)["exceptions"][name] = fields


@given("a document with {count:d} {what}")
def step_many(context, count, what):
    tree = get_tree(context)
    names = [f"s{i}" for i in range(200 if what == "routes" else count)]
    tree["services"] |= {name: {"limit_class": "small"} for name in names}
    match what:
        case "exceptions":
            tree[what] = {name: E1 | {"service": name} for name in names}
        case "routes":
            route = tree[what]["desk-read"]
            for i in range(count):
                where = {"service": names[i % 200], "path_prefix": f"/{i}"}
                tree[what][f"r{i}"] = route | where


@given("the payload {text}")
def step_bytes(context, text):
    context.payload = RAW.get(text, text.encode())


@when("the document is decoded and checked")
def step_check(context):
    context.faults = ()
    try:
        read_document(context)
    except ConfigInvalidError as exc:
        context.faults = exc.faults


@then('one fault is at "{place}" and contains "{text}"')
def step_one_fault(context, place, text):
    assert [fault.place for fault in context.faults] == [place], context.faults
    assert text in context.faults[0].message, context.faults


@then("there are faults at these places")
def step_faults(context):
    places = sorted(fault.place for fault in context.faults)
    assert places == [row["place"] for row in context.table], places


@then("there are no faults")
def step_no_faults(context):
    assert not context.faults, context.faults


@when('the policies of "{centre}" are built for {day:Day}')
def step_policies(context, centre, day):
    document = read_document(context)
    context.policies = PolicyTable(document, data_centre=centre, today=day)


@when("the date changes to {day:Day}")
def step_day(context, day):
    context.policies = context.policies.for_day(day)


@then('route "{route}" has "{setting}" {value:d}')
def step_setting(context, route, setting, value):
    policy = context.policies.get(route)
    assert getattr(policy.settings, setting) == value, policy


@then('a target of "{service}" has {slots:d} slots')
def step_slots(context, service, slots):
    assert context.policies.get_limits(service).slots == slots


@then('a target of "{service}" has a queue of {limit:d}')
def step_queue(context, service, limit):
    assert context.policies.get_queue_limit(service) == limit


@then("the policies have no further change")
@then("the next change of the policies is on {day:Day}")
def step_change_day(context, day=None):
    assert context.policies.next_change == day, context.policies.next_change


def read_any(payload):
    """Returns the document, or None if it is refused with valid faults."""
    try:
        document = decode_document(payload)
        check_document(document)
    except ConfigInvalidError as exc:
        assert exc.faults
        assert all(fault.place and fault.message for fault in exc.faults)
        return None
    return document


NAMES = ("desk", "desk-read", "slots", "2027-01-31", "urgent")
TREES = make_json(
    st.integers() | st.text(max_size=8) | st.sampled_from(NAMES),
    key_size=4,
    max_leaves=6,
)


def list_places(tree, prefix=()):
    for name, child in tree.items():
        yield (*prefix, name)
        if isinstance(child, dict):
            yield from list_places(child, (*prefix, name))


PLACES = list(list_places(BASE_TREE))


@st.composite
def damaged_payloads(draw):
    tree = copy.deepcopy(BASE_TREE)
    for _ in range(draw(st.integers(1, 3))):
        *parents, last = draw(st.sampled_from(PLACES))
        node = tree
        for name in parents:
            node = node.get(name) if isinstance(node, dict) else None
        if isinstance(node, dict):
            if draw(st.booleans()):
                last = draw(st.text(max_size=4))
            node[last] = draw(TREES)
    payload = json.dumps(tree).encode()
    if draw(st.booleans()):
        cut = draw(st.integers(0, len(payload)))
        payload = payload[:cut] + draw(st.binary(max_size=4)) + payload[cut:]
    return payload


@then("{count:d} random payloads give a document or a fault")
def step_fuzz(context, count):
    @check_examples(count, damaged_payloads() | st.binary(max_size=40))
    def check(payload):
        document = read_any(payload)
        if document is not None:
            encoded = encode_document(document)
            assert encode_document(decode_document(encoded)) == encoded


def make_documents():
    """Returns a strategy of documents, most of which are invalid."""
    scalars = {
        int: st.integers(-(2**63), 2**64 - 1),
        float: st.floats(allow_nan=False, allow_infinity=False),
        datetime.date: st.dates(),
    }
    for kind, strategy in scalars.items():
        st.register_type_strategy(kind, strategy)
    return st.from_type(Document)


@then("{count:d} random documents are encoded to the same bytes after decoding")
def step_round_trip(context, count):
    @check_examples(count, make_documents())
    def check(document):
        payload = encode_document(document)
        assert decode_document(payload) == document
        assert encode_document(decode_document(payload)) == payload
