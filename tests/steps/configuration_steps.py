"""Steps about decoding versions and passing them on."""

import json

from behave import given, then, when

from guavawing.errors import MessageInvalidError
from guavawing.platform.routing import RoutingDecoder, decode_routing
from guavawing.sidecar.configuration import Configuration
from guavawing.sidecar.decision_log import DecisionLog
from guavawing.sidecar.mesh_messages import ConfigFrame
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.traffic.document_delta import apply_delta, decompress
from guavawing.traffic.model import PeerRecord
from guavawing.traffic.owner_view import OwnerView
from guavawing.traffic.peers import Peer
from tests.support import assert_raises
from tests.traffic_documents import SERVICE, make_route


def encode_version(version, routes):
    return json.dumps(
        {"version": version, "routes": routes, "services": {"one": SERVICE}}
    ).encode()


def make_routes(count):
    return {
        f"r{i}": make_route("a.example", f"/p{i}/", service="one")
        for i in range(count)
    }


@given("a decoder that has decoded a version with {count:d} routes")
def step_decoder(context, count):
    context.decoder = RoutingDecoder()
    context.routes = make_routes(count)
    context.before = context.decoder.decode(encode_version(1, context.routes))


@when("it gets a version with a route of no type")
def step_invalid_version(context):
    routes = context.routes | {"r0": {"host": "a.example", "prefix": "/p0/"}}
    with assert_raises(MessageInvalidError, "the configuration is invalid"):
        context.decoder.decode(encode_version(2, routes))


@when("it decodes a version that changes 1 route, adds 1 and removes 1")
def step_next_version(context):
    routes = dict(context.routes)
    routes["r0"] = {**routes["r0"], "timeoutMs": 700}
    routes["added"] = make_route("a.example", "/added/", service="one")
    del routes["r1"]
    context.document = encode_version(3, routes)
    context.after = context.decoder.decode(context.document)


@then("{count:d} routes are those of the version before")
def step_reused_routes(context, count):
    earlier = {id(route) for route in context.before.routes}
    reused = sum(id(route) in earlier for route in context.after.routes)
    assert reused == count, reused


@then("the version is the same as one decoded alone")
def step_same_version(context):
    assert context.after == decode_routing(context.document)


@given("a node with versions 1, 2 and 3 of a configuration")
def step_node_with_versions(context):
    async def make():
        return Configuration(
            on_version=lambda *_: None,
            request_from_peer=lambda *_: None,
            is_store_reader=lambda: False,
            log=DecisionLog(node="a1"),
            metrics=SidecarMetrics(),
        )

    context.configuration = context.run(make())
    context.documents = {
        version: encode_version(version, make_routes(10 + version))
        for version in (1, 2, 3)
    }
    for document in context.documents.values():
        context.configuration.apply_document(document, source="store")


@when("two peers with version 1 and two with none request an update")
def step_request_updates(context):
    context.updates = [
        context.configuration.make_update(version) for version in (1, 1, 0, 0)
    ]


@then("both peers of a version get the same encoded update")
def step_same_updates(context):
    first, second, third, fourth = context.updates
    assert first is second
    assert third is fourth


@then("the updates lead to version 3")
def step_updates_lead(context):
    (base, delta), _, (none, payload), _ = context.updates
    assert (base, none) == (1, 0)
    assert apply_delta(context.documents[1], delta) == context.documents[3]
    assert decompress(payload) == context.documents[3]


@given("another node with a different document of version 1")
def step_different_document(context):
    context.requested = []

    def answer(peer, version):
        context.requested.append(version)
        update = context.configuration.make_update(version)
        context.other.apply_config(ConfigFrame(*update))

    async def make():
        return Configuration(
            on_version=lambda *_: None,
            request_from_peer=answer,
            is_store_reader=lambda: False,
            log=DecisionLog(node="a2"),
            metrics=SidecarMetrics(),
        )

    context.other = context.run(make())
    document = encode_version(1, make_routes(5))
    assert document != context.documents[1]
    context.other.apply_document(document, source="store")


@when("that node hears that the first one has version 3")
def step_hears(context):
    record = PeerRecord("a1", "10.0.0.1", 7380, "bergen", "desk", 1)
    view = OwnerView(record.host, local=False, near=True)
    peer = Peer(record, view, 0.0, version=3)

    async def handle():
        context.other.handle_peer_version(peer)

    context.run(handle())


@then("it requests an update from version 1, then the whole document")
def step_requested(context):
    assert context.requested == [1, 0], context.requested


@then("version 3 is in force at it")
def step_in_force(context):
    assert context.other.version == 3, context.other.version
