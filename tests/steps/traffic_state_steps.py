"""Steps about the state of targets, routes, peers and documents."""

import copy
import json
import random

from behave import given, then, when
from hypothesis import strategies as st

from guavawing.errors import MessageInvalidError
from guavawing.model import parse_address
from guavawing.platform.heartbeats import decode_heartbeat
from guavawing.platform.routing import decode_routing
from guavawing.sidecar.mesh_codec import (
    decode_beacon,
    decode_frame,
    encode_cancel,
    encode_config_request,
    encode_hello,
    encode_outcome_query,
)
from guavawing.traffic.document_delta import apply_delta, make_delta
from guavawing.traffic.model import (
    Incarnation,
    LoadReport,
    PeerRecord,
    TargetPhase,
)
from guavawing.traffic.owner_view import OwnerView
from guavawing.traffic.peers import PeerTable
from guavawing.traffic.readers import is_reader
from guavawing.traffic.routes import RouteTable
from guavawing.traffic.target_state import TargetState
from tests.golden_files import check_golden
from tests.support import check_examples
from tests.traffic_documents import make_route, make_routing
from tests.traffic_sessions import SESSIONS


@given("the node of target address {address} in service {service}")
def step_node(context, address, service):
    context.address, context.service = address, service
    context.target = TargetState(service, parse_address(address))


@when("heartbeats arrive")
def step_heartbeats(context):
    for row in context.table:
        body = {
            "address": context.address,
            "born": int(row["born"]),
            "info": {"service": context.service, "slots": int(row["slots"])},
            "status": {
                "state": row["state"],
                "sequence": int(row["sequence"]),
                "coldRemainingMs": 0,
            },
        }
        report = decode_heartbeat(row["id"], json.dumps(body).encode())
        assert context.target.is_own_target(report)
        context.target.apply_report(report, now=1.0)


@when('target "{target_id}" departs')
def step_departs(context, target_id):
    context.target.apply_departure(target_id, now=1.0)


@when('a health check is answered by "{target_id}"')
def step_probe(context, target_id):
    assert context.target.apply_probe(target_id)


@when('a peer reports the departure of "{target_id}", born {born:d}')
def step_peer_departure(context, target_id, born):
    departure = Incarnation(target_id, born)
    context.target.apply_known_departure(departure, now=1.0)


@when("{count:d} targets depart one after the other")
def step_many_depart(context, count):
    for number in range(count):
        context.target.apply_departure(f"t{number}", now=float(number))


@then("at most {count:d} departures are recorded")
def step_recorded(context, count):
    departed = [
        number
        for number in range(1000)
        if not copy.deepcopy(context.target).apply_probe(f"t{number}")
    ]
    assert len(departed) <= count, len(departed)


@then('the announced departure is that of "{target_id}", born {born:d}')
def step_announced_departure(context, target_id, born):
    departure = context.target.departure
    assert departure == Incarnation(target_id, born), departure


@then('a health check answered by "{target_id}" is ignored')
def step_probe_ignored(context, target_id):
    assert not context.target.apply_probe(target_id)


@then("the target is unknown")
def step_unknown(context):
    assert context.target.phase is TargetPhase.UNKNOWN, context.target.phase


@when("a peer reports {slots:d} slots")
def step_slots_reported(context, slots):
    assert context.target.apply_peer_slots(slots)


@then('the target is "{target_id}", {phase}, with {slots:d} slots')
def step_target(context, target_id, phase, slots):
    target = context.target
    found = (target.target_id, target.phase.name.lower(), target.slots)
    assert found == (target_id, phase, slots), found


@then("the heartbeat {body} is rejected")
def step_rejected(context, body):
    try:
        report = decode_heartbeat("a", body.encode())
    except MessageInvalidError:
        return
    raise AssertionError(report)


@given("a configuration with routes")
def step_routes(context):
    routes = {
        f"r-{number}": make_route(
            row["host"], row["prefix"], service=row["service"]
        )
        for number, row in enumerate(context.table)
    }
    context.routes = RouteTable(make_routing(routes), rng=random.Random(1))


@then("requests are routed")
def step_routed(context):
    for row in context.table:
        route = context.routes.find(row["host"], row["path"])
        found = "" if route is None else context.routes.pick_service(route)
        assert found == row["service"], (row, found)


def make_record(host, *, node="", service="desk", incarnation=1):
    return PeerRecord(node or host, host, 7000, "bergen", service, incarnation)


def make_table(host):
    view = OwnerView(host, local=True, near=True)
    return PeerTable(make_record(host), view)


@given('nodes "{names}" of one data centre')
def step_nodes(context, names):
    context.tables = {name: make_table(name) for name in names.split()}
    for table in context.tables.values():
        for name in context.tables:
            table.apply_record(make_record(name), now=0.0)


def list_readers(context):
    return [
        name
        for name, table in context.tables.items()
        if is_reader(name, table.near(), readers=2)
    ]


@then("{count:d} of them follow the store")
def step_readers(context, count):
    assert len(list_readers(context)) == count, list_readers(context)


@when("the nodes that follow the store are lost")
def step_readers_lost(context):
    for lost in list_readers(context):
        del context.tables[lost]
        for table in context.tables.values():
            table.get(lost).view.alive = False


PIECES = st.lists(
    st.sampled_from(['"a":{"x":1},', '"b":{"y":[2]},', '"c":{}', "z", "{"]),
    max_size=12,
).map(lambda parts: "".join(parts).encode())


@then("{count:d} random pairs of documents are equal after their delta")
def step_delta_random(context, count):
    @check_examples(count, PIECES, PIECES)
    def check(base, document):
        assert apply_delta(base, make_delta(base, document)) == document


def make_large_document(changed):
    routes = {
        f"r-{number}": make_route(
            f"h{number}.ex",
            f"/{random.Random(number).random()}/",
            timeoutMs=2 if number in changed else 1,
            service="one",
        )
        for number in range(1000)
    }
    return json.dumps({"version": len(changed), "routes": routes}).encode()


@then("a change of 3 of 1000 routes takes under {most:d} bytes")
def step_delta_small(context, most):
    base = make_large_document(set())
    delta = make_delta(base, make_large_document({5, 500, 999}))
    assert len(delta) < most, len(delta)


@then("a delta for another document is refused")
def step_delta_refused(context):
    delta = make_delta(b"{one}", b"{one}{two}")
    cases = ((b"{other}", delta), (b"{one}", delta[:-3]), (b"", b""))
    for base, payload in cases:
        try:
            apply_delta(base, payload)
        except MessageInvalidError:
            continue
        raise AssertionError(base)


@given(
    'a node with a record of the node "{node}" of service {service} at {host}'
)
def step_has_record(context, node, service, host):
    context.peers = make_table("10.0.0.1")
    record = make_record(host, node=node, service=service, incarnation=5000)
    peer = context.peers.apply_record(record, now=0.0)
    context.peers.record_liveness(peer, now=0.0)


@when(
    'after {seconds:g} s a beacon of node "{node}" of service {service} arrives'
    " from {host}"
)
def step_reused(context, seconds, node, service, host):
    # The clock of the new VM is behind that of the previous one.
    record = make_record(host, node=node, service=service, incarnation=4000)
    assert context.peers.apply_record(record, now=seconds) is not None


@then("no owner of {service} counts as restarting")
def step_none_restarting(context, service):
    peer = context.peers.get("10.0.0.9")
    load = LoadReport(TargetPhase.READY, 9, 0, 0, 0.1)
    context.peers.apply_load(peer, load, now=0.0)
    assert not context.peers.has_many_restarting(service, now=1.0)


@when("the node at {host} reports that it drains")
def step_node_drains(context, host):
    load = LoadReport(TargetPhase.DRAINING, 9, 0, 0, 0.1)
    context.peers.apply_load(context.peers.get(host), load, now=1.0)


@then("an owner of {service} counts as restarting for {seconds:g} s")
def step_restarting(context, service, seconds):
    restarting = context.peers.has_many_restarting
    assert restarting(service, now=1.0)
    assert restarting(service, now=seconds - 0.1)
    assert not restarting(service, now=seconds + 0.1)


@then("service {one} has no owner and service {two} has {count:d}")
def step_owner_counts(context, one, two, count):
    others = [v for v in context.peers.owners(one) if not v.local]
    assert not others, others
    assert len(context.peers.owners(two)) == count


@then("{count:d} random messages are decoded or rejected")
def step_fuzz(context, count):
    messages = [
        encode_cancel(7),
        encode_config_request(3),
        encode_hello(9),
        encode_outcome_query(1, b"id", 4),
    ]
    mutated = st.tuples(
        st.sampled_from(messages), st.integers(0, 12), st.binary(max_size=6)
    ).map(lambda t: t[0][: t[1]] + t[2] + t[0][t[1] + len(t[2]) :])

    @check_examples(count, st.binary(max_size=80) | mutated)
    def check(payload):
        for decode in (
            decode_beacon,
            lambda data: decode_frame(data, now=0.0),
            lambda data: decode_heartbeat("a", data),
            decode_routing,
        ):
            try:
                decode(payload)
            except MessageInvalidError:
                continue


@then('the session of traffic decisions "{name}" equals its golden file')
def step_session(context, name):
    check_golden(name, "\n".join(SESSIONS[name]()) + "\n")
