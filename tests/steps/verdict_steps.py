"""Steps about the transmission of verdicts to callers."""

import asyncio
import socket

import attrs
from behave import given, then, when
from hypothesis import strategies as st

from guavawing.config import Defaults, EffectivePolicy, LimitClass
from guavawing.model import Address
from guavawing.node.call_headers import (
    BUDGET_HEADER,
    CALL_ID_HEADER,
    DEADLINE_HEADER,
    DEPTH_HEADER,
    REASON_HEADER,
    VERDICT_HEADER,
    build_target_headers,
)
from guavawing.node.caller_response import build_response
from guavawing.node.frames import build_answer_frames, read_verdict
from guavawing.node.messages import Answer, CallAttempt
from guavawing.node.target_client import open_target_client
from guavawing.policy.choice import LoadReport
from guavawing.policy.retry import GiveUp, Retry, RetryBudget, decide_retry
from guavawing.verdict import MayHaveRun, NotRun, Ran, Reason, verdict_name
from tests.support import (
    check_examples,
    make_publish,
    make_verdict,
    read_metrics,
)

POLICY = EffectivePolicy("desk", "read", True, Defaults(), LimitClass(1, 1))
LOAD = LoadReport(1, 0, 0, draining=False, key_epoch=0)
FIRST_ERROR = 400


@then("the response for each verdict and reason names both")
def step_all_responses(context):
    for reason in Reason:
        for kind in (NotRun, Ran, MayHaveRun):
            verdict = kind(reason)
            answer = Answer(verdict, 200 if reason is Reason.SERVED else 0)
            resp = build_response(answer, "id", "")
            assert resp.headers[VERDICT_HEADER] == verdict_name(verdict)
            assert resp.headers[REASON_HEADER] == str(reason)
            is_error = resp.status >= FIRST_ERROR
            assert is_error == (reason is not Reason.SERVED), verdict
        spent = build_response(Answer(MayHaveRun(reason, True)), "id", "")
        assert reason is Reason.SERVED or spent.headers[BUDGET_HEADER] == "1"


@then("{count:d} random verdicts are unchanged by a frame")
def step_frames(context, count):
    reasons = st.sampled_from(Reason)
    retry_delays = st.none() | st.integers(0, 10**6).map(lambda ms: ms / 1000)
    verdicts = st.one_of(
        st.builds(NotRun, reasons, retry_delays, st.booleans()),
        st.builds(Ran, reasons),
        st.builds(MayHaveRun, reasons, st.booleans()),
    )

    @check_examples(count, verdicts)
    def check(verdict):
        (frame,) = build_answer_frames(Answer(verdict), 1, LOAD)
        found = read_verdict(frame.answer)
        assert found == verdict, (found, verdict)


@then(
    "a retry delay of each whole number of milliseconds below {end:d} is kept"
)
def step_retry_delays(context, end):
    for ms in range(end):
        verdict = NotRun(Reason.QUEUE_FULL, ms / 1000)
        (frame,) = build_answer_frames(Answer(verdict), 1, LOAD)
        assert read_verdict(frame.answer) == verdict, verdict


@when("a target answers with the headers of another call's verdict")
def step_target_headers(context):
    headers = {
        VERDICT_HEADER: "not-run",
        REASON_HEADER.lower(): "queue-full",
        BUDGET_HEADER: "1",
    }
    answer = Answer(Ran(), 503, tuple(headers.items()))
    context.resp = build_response(answer, "id", "")


@then('the response has one verdict, "{verdict}" with reason "{reason}"')
def step_one_verdict(context, verdict, reason):
    headers = context.resp.headers
    assert headers.getall(VERDICT_HEADER) == [verdict]
    assert headers.getall(REASON_HEADER) == [reason]
    # The budget-spent flag is the only header that is passed on to the
    # layers above.
    assert headers.getall(BUDGET_HEADER) == ["1"]


@given("a call at depth {depth:d} with a deadline at {deadline:g} s")
def step_attempt(context, depth, deadline):
    context.attempt = CallAttempt(
        "id", POLICY, "GET", "/", (("X-A", "b"),), b"", deadline, depth
    )


@then("a target that gets it at {now:g} s receives {ms} ms and depth {depth}")
def step_received_headers(context, now, ms, depth):
    headers = dict(build_target_headers(context.attempt, now=now))
    received = headers[DEADLINE_HEADER], headers[DEPTH_HEADER], headers["X-A"]
    assert received == (ms, depth, "b"), received


async def record_request_head(path):
    """Returns the lines that a target receives before the body."""
    heads = []

    async def answer(reader, writer):
        heads.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        writer.close()

    target = await asyncio.start_server(answer, "127.0.0.1")
    port = target.sockets[0].getsockname()[1]
    attempt = attrs.evolve(make_publish(None), path=path, body=b"text")
    async with (
        target,
        open_target_client(Address("127.0.0.1", port), connections=1) as client,
    ):
        execution = await client.execute(attempt, now=0.0)
    assert execution.answer.verdict == Ran(), execution
    return heads[0].decode().splitlines()


@when('a call of "{path}" is sent to a target')
def step_send_to_target(context, path):
    context.head = context.run(record_request_head(path))


@then('the request line has the path "{path}"')
def step_request_line(context, path):
    assert context.head[0] == f"POST {path} HTTP/1.1", context.head


@then("the target gets no header that neither caller nor node has set")
def step_no_additional_headers(context):
    names = {line.partition(":")[0] for line in context.head[1:] if line}
    expected = {"Host", "Content-Length"}
    expected |= {DEADLINE_HEADER, DEPTH_HEADER, CALL_ID_HEADER}
    assert names == expected, names


@given("a retry budget with {tokens:d} tokens")
def step_budget(context, tokens):
    context.budget = RetryBudget()
    context.budget.earn(tokens)


@when('an attempt of {kind} call ends with "{verdict}"')
def step_attempt_ends(context, kind, verdict):
    match verdict:
        case "not-run permanently":
            ended = NotRun(Reason.UNKNOWN_SERVICE)
        case "may-have-run budget-spent":
            ended = MayHaveRun(Reason.TARGET_BROKE, budget_spent=True)
        case _:
            ended = make_verdict(verdict)
    context.decision = decide_retry(
        ended,
        idempotent=kind == "an idempotent",
        attempts=1,
        max_attempts=3,
        budget=context.budget,
    )


@then('the decision is "{decision}"')
def step_decision(context, decision):
    names = {
        "give up": GiveUp(budget_spent=False),
        "give up, budget spent": GiveUp(budget_spent=True),
        "retry": Retry(),
        "redirect": Retry(redirect=True),
    }
    assert context.decision == names[decision], context.decision


@when('a caller sends "{entry}" a raw request with {fault}')
def step_send_raw(context, entry, fault):
    texts = {
        "a bad request line": b"HELLO\r\n\r\n",
        "a bad header": b"GET / HTTP/1.1\r\nHost: a\r\nbad header\r\n\r\n",
        "a long header": b"GET / HTTP/1.1\r\nA: " + b"b" * 20_000 + b"\r\n\r\n",
    }
    host, _, port = context.fleet.nodes[entry].caller.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=10.0) as sock:
        sock.sendall(texts[fault])
        parts = iter(lambda: sock.recv(65_536), b"")
        context.raw_response = b"".join(parts).decode()


@then('the raw response has verdict "{verdict}" and reason "{reason}"')
def step_raw_response(context, verdict, reason):
    lines = context.raw_response.split("\r\n")
    assert f"{VERDICT_HEADER}: {verdict}" in lines, context.raw_response
    assert f"{REASON_HEADER}: {reason}" in lines, context.raw_response


@then('the counter "{name}" of "{node}" with {label} "{value}" is above 0')
def step_counter(context, name, node, label, value):
    start = f'{name}{{{label}="{value}"}} '
    lines = read_metrics(context, node)
    values = [
        float(line.removeprefix(start))
        for line in lines
        if line.startswith(start)
    ]
    assert values and values[0] > 0, lines
