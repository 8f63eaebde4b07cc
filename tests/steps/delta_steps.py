"""Steps about deltas and about documents that are read by their entries."""

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


@then("a chain of deltas makes the same bytes in {count:d} random trees")
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


@then("{count:d} random payloads are read as their trees are")
def step_payload_property(context, count):
    names = st.text(max_size=2)

    @check_examples(count, st.dictionaries(names, JSON | ENTRIES, max_size=4))
    def check_any(tree):
        # What json writes is not always what orjson writes, or reads.
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


@then("a large document and its faults are those of the whole payload")
def step_large_document(context):
    payload = encode_document(make_fleet_document(services=100))
    keeper = VersionApplier()
    result = keeper.apply(1, compute_digest(1, payload), payload)
    assert result == Applied(keeper.current)
    expected = decode_document(payload)
    assert keeper.current.document == expected
    for name in ("services", "routes", "exceptions"):
        got = getattr(keeper.current.document, name)
        assert list(got) == list(getattr(expected, name))
    tree = orjson.loads(payload)
    del tree["routes"]["service-0000-route-0"]["service"]
    tree["routes"]["service-0099-route-2"]["more"] = 1
    broken = deltas.encode_tree(tree)
    with assert_raises(ConfigInvalidError) as messages:
        decode_document(broken)
    result = keeper.apply(2, compute_digest(2, broken), broken)
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
    # Only without its capacity can a class be missed by its services alone.
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


def make_crowded_tree():
    """Returns a document with as many PUT routes as a service may have."""
    tree = orjson.loads(encode_document(make_newsroom_document()))
    route = tree["routes"]["desk-read"] | {"http_method": "PUT"}
    for number in range(100):
        path = {"path_prefix": f"/{number}"}
        tree["routes"][f"put-{number}"] = route | path
    return tree


@then("the check of what changed agrees in {count:d} random deltas")
def step_check_property(context, count):
    base = make_crowded_tree()
    index = deltas.index_entries(base)
    before = decode_document(deltas.encode_tree(base))
    seen = collections.Counter()

    def find(check, *documents):
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
        whole = find(check_document, document)
        assert find(check_change, document, before) == whole
        seen[bool(whole)] += 1

    assert min(seen[True], seen[False]) > count // 10, seen
