"""Steps about doubts that a valid document raises."""

import json

from behave import given, then

from guavawing.config import check_document, decode_document, find_doubts
from tests.steps.document_steps import get_tree


def list_doubts(context):
    document = decode_document(json.dumps(get_tree(context)).encode())
    check_document(document)
    return list(find_doubts(document))


@given("a document")
def step_document(context):
    get_tree(context)


@given(
    "an exception of the same setting with another value for each route of"
    ' "{service}"'
)
def step_route_exceptions(context, service):
    tree = get_tree(context)
    wide = tree["exceptions"]["wide"]
    for name, route in tree["routes"].items():
        if route["service"] == service:
            tree["exceptions"][name] = {**wide, "route": name, "value": 900}


@then("it raises no doubt")
def step_no_doubt(context):
    assert not list_doubts(context), list_doubts(context)


@then('it raises one doubt, at "{place}", that contains "{text}"')
def step_one_doubt(context, place, text):
    doubts = list_doubts(context)
    assert [doubt.place for doubt in doubts] == [place], doubts
    assert text in doubts[0].message, doubts
