"""Steps that check deltas and the entry-wise decoding of documents."""

import collections
import copy
import itertools
import json

import orjson
from behave import then
from hypothesis import strategies as st

from guavawing.config import (
    check_change,
    check_document,
    compute_digest,
    decode_document,
    encode_document,
)
from guavawing.distribution import delta as deltas
from guavawing.distribution.applier import Applied, Rejected, VersionApplier
from guavawing.distribution.patch import patch_document
from guavawing.errors import ConfigInvalidError
from standins.documents import make_fleet_document, make_newsroom_document
from tests.support import assert_raises, check_examples, make_json

SECTION = st.dictionaries(st.sampled_from("abcd"), st.integers(0, 3))
TREE = st.dictionaries(st.sampled_from("pqr"), SECTION | st.integers(0, 2))


@then("a chain of deltas gives the same bytes for {count:d} random trees")
def step_delta_property(context, count):
    @check_examples(count, st.lists(TREE, min_size=2, max_size=5))
    def check(trees):
        total = deltas.Delta()
        for old, new in itertools.pairwise(trees):
            total = deltas.compose_deltas(
                total, deltas.compute_delta(deltas.index_entries(old), new)
            )
        sent = deltas.decode_delta(deltas.encode_delta(total))
        index = deltas.patch_index(deltas.index_entries(trees[0]), sent)
        assert deltas.encode_index(index) == deltas.encode_tree(trees[-1])


JSON = make_json(
    st.integers(-(2**70), 2**70)
    | st.text(st.characters(exclude_categories=()), max_size=3),
    key_size=2,
    max_leaves=12,
)
ENTRIES = st.dictionaries(
    st.text(max_size=2), st.dictionaries(st.text(max_size=2), st.integers(0, 9))
)


@then("the index of {count:d} random payloads equals that of their trees")
def step_payload_property(context, count):
    names = st.text(max_size=2)

    @check_examples(count, st.dictionaries(names, JSON | ENTRIES, max_size=4))
    def check_any(tree):
        # json can encode a tree differently from orjson, or as bytes that
        # orjson cannot read.
        payload = json.dumps(tree, separators=(",", ":")).encode()
        index = deltas.read_index(payload)
        if index is not None:
            read = orjson.loads(payload)
            assert deltas.encode_tree(read) == payload
            assert index == deltas.index_entries(read)

    @check_examples(count, st.dictionaries(names, ENTRIES, min_size=1))
    def check_entries(tree):
        payload = deltas.encode_tree(tree)
        assert deltas.read_index(payload) == deltas.index_entries(tree)


@then("a large document and its faults equal those of the whole payload")
def step_large_document(context):
    payload = encode_document(make_fleet_document(services=100))
    version_applier = VersionApplier()
    result = version_applier.apply(1, compute_digest(1, payload), payload)
    assert result == Applied(version_applier.current)
    expected = decode_document(payload)
    assert version_applier.current.document == expected
    for name in ("services", "routes", "exceptions"):
        got = getattr(version_applier.current.document, name)
        assert list(got) == list(getattr(expected, name))
    tree = orjson.loads(payload)
    del tree["routes"]["service-0000-route-0"]["service"]
    tree["routes"]["service-0099-route-2"]["more"] = 1
    broken = deltas.encode_tree(tree)
    with assert_raises(ConfigInvalidError) as messages:
        decode_document(broken)
    result = version_applier.apply(2, compute_digest(2, broken), broken)
    assert result == Rejected(2, messages[0], permanent=True), result


LIMITS = st.builds(
    lambda slots, more: {"slots": slots, "connections": slots + more},
    st.sampled_from((2, 10, 11)),
    st.sampled_from((-1, 0, 100)),
)
EDITED = {
    "routes": st.fixed_dictionaries(
        {
            "service": st.sampled_from(("desk", "feed", "none")),
            "http_method": st.sampled_from(("GET", "PUT", "get")),
            "path_prefix": st.sampled_from(("/", "/a", "/7", "a")),
            "idempotent": st.booleans(),
        },
        optional={"deadline_ms": st.sampled_from((0, 5))},
    ),
    "services": st.fixed_dictionaries(
        {"limit_class": st.sampled_from(("small", "large"))},
        optional={"queue_limit": st.sampled_from((-1, 5))},
    ),
    "exceptions": st.fixed_dictionaries(
        {
            "service": st.sampled_from(("desk", "feed")),
            "setting": st.sampled_from(("slots", "deadline_ms")),
            "value": st.sampled_from((0, 5, 20)),
            "reason": st.sampled_from(("r", "")),
            "owner": st.just("o"),
        },
        optional={"route": st.sampled_from(("desk-read", "a"))},
    ),
    "limit_classes": LIMITS,
    # If the capacity of a removed class is removed too, the only faults are at
    # the services that refer to the class.
    "capacity limit_classes": st.none(),
}
EDIT = st.sampled_from(sorted(EDITED)).flatmap(
    lambda section: st.tuples(
        st.just(section),
        st.sampled_from(
            ("a", "b", "c c", "small", "large", "desk", "feed", "desk-read")
        ),
        st.none() | EDITED[section],
    )
)


def make_full_tree():
    """Returns a document with as many PUT routes as a service may have."""
    tree = orjson.loads(encode_document(make_newsroom_document()))
    route = tree["routes"]["desk-read"] | {"http_method": "PUT"}
    for number in range(100):
        path = {"path_prefix": f"/{number}"}
        tree["routes"][f"put-{number}"] = route | path
    return tree


@then("incremental checks equal full checks in {count:d} random deltas")
def step_check_property(context, count):
    base = make_full_tree()
    index = deltas.index_entries(base)
    before = decode_document(deltas.encode_tree(base))
    counts = collections.Counter()

    def list_faults(check, *documents):
        try:
            check(*documents)
        except ConfigInvalidError as exc:
            return exc.faults
        return ()

    @check_examples(count, st.lists(EDIT, min_size=1, max_size=3))
    def check(edits):
        tree = copy.deepcopy(base)
        for section, name, value in edits:
            for part in section.split():
                tree[part].pop(name, None)
            if value is not None:
                tree[section][name] = value
        delta = deltas.compute_delta(index, tree)
        document = patch_document(
            before, delta, deltas.patch_index(index, delta)
        )
        whole = list_faults(check_document, document)
        assert list_faults(check_change, document, before) == whole
        counts[bool(whole)] += 1

    assert min(counts[True], counts[False]) > count // 10, counts
