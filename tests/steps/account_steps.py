"""Steps about client accounts and their keys."""

import random

import attrs
import orjson
from behave import given, then, use_step_matcher, when

from guavawing.errors import MessageInvalidError
from guavawing.platform.headers import (
    build_target_request,
    parse_request_head,
)
from guavawing.platform.routing import decode_routing
from guavawing.traffic.routes import RouteTable
from standins.vm_fleet import HOST_NAME, make_document


def make_accounts(rows):
    """Returns the accounts of a configuration, from a table of a scenario."""
    accounts = {}
    for row in rows:
        entry = {"apiKeys": row["keys"].split(), "ratePerS": 0, "burst": 0}
        if row.get("priority"):
            entry["priority"] = int(row["priority"])
        accounts[row["name"]] = entry
    return accounts


def decode_accounts(accounts, **changes):
    document = make_document(3, tenants=accounts, **changes)
    return decode_routing(orjson.dumps(document))


def parse_headers(text):
    lines = (line.partition(":") for line in text.split(", ") if line)
    return [(name.encode(), value.strip().encode()) for name, _, value in lines]


@when("a client's request has these headers, {with_or_not} client accounts")
def step_account_headers(context, with_or_not):
    context.head = parse_request_head(
        parse_headers(context.text), has_accounts=with_or_not == "with"
    )


@when("a client's request has a key of {length:d} bytes, with client accounts")
def step_long_key(context, length):
    headers = [(b"Authorization", b"Token " + b"k" * length)]
    context.head = parse_request_head(headers, has_accounts=True)


@then("its key has {length:d} bytes")
def step_key_length(context, length):
    assert len(context.head.key) == length


@when('a request of the account "{account}" is sent to a target')
@when('a request of the account "" is sent to a target')
def step_sent(context, account=""):
    context.payload = build_target_request(
        b"GET",
        b"/x",
        b"Accept: a\r\n",
        b"",
        deadline_s=1.0,
        target_id="i-1",
        origin="desk",
        account=account,
    )


@then("the target receives nothing as names of the account")
@then('the target receives "{name}" as names of the account')
def step_received(context, name=None):
    lines = context.payload.split(b"\r\n")
    found = [line for line in lines if line.lower().startswith(b"x-tenant:")]
    expected = [] if name is None else [f"X-Tenant: {name}".encode()]
    assert found == expected, context.payload
    assert context.payload.endswith(b"\r\n\r\n"), context.payload


@given("the client accounts")
def step_accounts(context):
    context.accounts = make_accounts(context.table)
    context.routing = decode_accounts(context.accounts)


@then("these keys belong to these accounts")
def step_owned(context):
    table = RouteTable(context.routing, rng=random.Random(1))
    for row in context.table:
        account = table.accounts.find(row["key"].encode())
        name = "no" if account is None else account.name
        assert name == row["account"], row


@then('a version with an account named "{name}" is unreadable')
@then('a version with an account named "" is unreadable')
def step_bad_name(context, name=""):
    name = name.encode().decode("unicode_escape")
    try:
        decode_accounts({name: {"apiKeys": ["k-1"]}})
    except MessageInvalidError:
        return
    raise AssertionError(f"decoded an account named {name!r}")


@then('its document has none of the keys "{keys}"')
def step_no_keys(context, keys):
    for key in keys.split():
        assert key.encode() not in context.routing.document


@then("decoding it again has the same result")
def step_same(context):
    again = decode_routing(context.routing.document)
    assert attrs.asdict(again) == attrs.asdict(context.routing)


@given(
    "a keyed route of priority {keyed:d} and a public one of priority"
    " {public:d}"
)
def step_routes(context, keyed, public):
    routes = {
        name: {
            "host": HOST_NAME,
            "prefix": f"/{name}/",
            "type": "safe",
            "priority": priority,
            "service": "desk",
            "public": name == "public",
        }
        for name, priority in (("keyed", keyed), ("public", public))
    }
    context.routing = decode_accounts(context.accounts, routes=routes)


@given("no client accounts")
def step_no_accounts(context):
    context.accounts = {}


def rank_requests(context):
    """Returns rank and route of the requests of each account, and public."""
    table = RouteTable(context.routing, rng=random.Random(1))
    keyed, public = context.routing.routes
    accounts = context.routing.accounts
    requests = {"public": (None, public)}
    requests |= {name: (each, keyed) for name, each in accounts.items()}
    return table, {
        name: (table.rank_request(account, route), route)
        for name, (account, route) in requests.items()
    }


@then('requests are served in the order "{order}"')
def step_order(context, order):
    _, ranked = rank_requests(context)
    ranks = {name: rank for name, (rank, _) in ranked.items()}
    groups = [group.split("=") for group in order.split()]
    for group in groups:
        assert len({ranks[name] for name in group}) == 1, ranks
    firsts = [ranks[group[0]] for group in groups]
    assert firsts == sorted(set(firsts)), ranks


@then('the most urgent ones are "{names}"')
def step_urgent(context, names):
    table, ranked = rank_requests(context)
    found = {
        name
        for name, (rank, route) in ranked.items()
        if table.is_most_urgent(route, priority=rank)
    }
    assert found == set(names.split()), found


@then("requests of the keyed route have the order of service {rank:d}")
def step_route_order(context, rank):
    table = RouteTable(context.routing, rng=random.Random(1))
    assert table.rank_request(None, context.routing.routes[0]) == rank


use_step_matcher("re")


@then('its key is "(.*)"')
def step_key(context, key):
    assert context.head.key == key.encode(), context.head.key


@then('only the headers "(.*)" are forwarded')
def step_account_forwarded(context, text):
    lines = [b"%b: %b\r\n" % pair for pair in parse_headers(text)]
    assert context.head.forwarded == b"".join(lines), context.head


use_step_matcher("parse")
