"""Steps that parse the headers of requests."""

import math

from behave import then, when

from guavawing.platform.headers import parse_answer_head, parse_request_head


@when('a client\'s request has the headers "{text}"')
def step_headers(context, text):
    pairs = (line.encode().split(b": ") for line in text.split(", "))
    context.head = parse_request_head([(name, value) for name, value in pairs])


@then('the headers "{text}" are forwarded')
def step_forwarded(context, text):
    lines = [line.encode() + b"\r\n" for line in text.split(", ")]
    assert context.head.forwarded == b"".join(lines), context.head


@when('a target\'s answer has the headers "{text}"')
def step_answer_headers(context, text):
    context.answer_headers = [
        (name.encode(), value.strip().encode())
        for name, _, value in (line.partition(":") for line in text.split(", "))
    ]
    context.answer_head = parse_answer_head(200, context.answer_headers)


@then("it names {limit} requests per second")
def step_limit(context, limit):
    notice = context.answer_head.notice
    assert notice.names_limit
    if limit == "no":
        assert notice.limit_per_s is None, notice
    else:
        assert math.isclose(notice.limit_per_s, float(limit)), notice


@then("it {states} that the target leaves")
def step_leaving(context, states):
    assert context.answer_head.notice.leaving is (states == "states")


@then("{value} is reported as unreadable")
def step_unreadable(context, value):
    unreadable = context.answer_head.notice.unreadable
    if value == "nothing":
        assert not unreadable, unreadable
    else:
        assert unreadable.endswith(value), unreadable


@then("all of its headers are forwarded")
def step_answer_forwarded(context):
    lines = [b": ".join(pair) + b"\r\n" for pair in context.answer_headers]
    assert context.answer_head.forwarded == b"".join(lines)


@then("it asks for a retry after {seconds} s")
def step_retry_after(context, seconds):
    expected = None if seconds == "no" else float(seconds)
    assert context.answer_head.retry_after_s == expected, context.answer_head


@then("its deadline is {seconds} s")
def step_deadline(context, seconds):
    head = context.head
    if seconds == "unreadable":
        assert head.unreadable.startswith("X-Deadline-Ms"), head
        assert head.deadline_s is None, head
    else:
        assert not head.unreadable, head
        assert head.deadline_s == float(seconds), head
