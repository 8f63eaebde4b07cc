"""Steps about complete answers and the frames that carry them."""

import asyncio
import itertools
import random
import uuid

from behave import given, then, when

from guavawing.node.frame_queue import ByteCount, FrameQueue
from guavawing.policy.transit import TransitMeter
from standins.target import make_answer
from tests.support import PUBLISH

SENDER_CLOCK_AHEAD_S = 1_000.0
FRAMES = 50


def pick_length(rng):
    match rng.random():
        case share if share < 0.95:
            return rng.randint(0, 8_000)
        case share if share < 0.99:
            return 300_000
    return 3_000_000


def make_read(entry, length, headers=(), **options):
    """Returns the options of a call and the complete answer to it."""
    seed = uuid.uuid4().hex
    headers = {"X-Seed": seed, "X-Answer-Bytes": str(length), **dict(headers)}
    body = options.get("body", b"")
    answer = make_answer(seed.encode() + body, length)
    return {"entry": entry, "headers": headers, **options}, answer


def send_reads(context, reads, concurrency=1):
    """Sends calls and records the outcome and expected answer of each.

    Args:
        context: Context of behave.
        reads: Options and expected answer of each call.
        concurrency: Maximum number of calls sent at the same time.
    """

    async def send_all():
        limit = asyncio.Semaphore(concurrency)

        async def send(options, expected):
            async with limit:
                return await context.fleet.call(**options), expected

        return await asyncio.gather(*itertools.starmap(send, reads))

    context.answers = context.run(send_all())


@when(
    "{count:d} reads of mixed sizes are sent, {concurrency:d} at a time,"
    " through every node"
)
def step_send_reads(context, count, concurrency):
    rng = random.Random(4)

    def make_mixed(entry):
        headers = {"X-Work-Ms": str(rng.randint(0, 30))}
        if rng.random() < 0.5:
            headers["X-Chunked"] = "1"
        service, path = rng.choice((("desk", "/a"), ("feed", "/packages")))
        options = {"service": service, "path": path, "deadline_ms": 10_000}
        return make_read(entry, pick_length(rng), headers, **options)

    entries = itertools.islice(itertools.cycle(context.fleet.nodes), count)
    send_reads(context, [make_mixed(entry) for entry in entries], concurrency)


@then("every read got its own complete answer")
def step_all_complete(context):
    wrong = [
        (outcome.status, outcome.verdict, outcome.reason, len(outcome.body))
        for outcome, expected in context.answers
        if outcome.verdict != "ran" or outcome.body != expected
    ]
    assert not wrong, wrong


@when(
    "{count:d} publishes with answers of {length:d} bytes are sent one after"
    " the other"
)
def step_publishes(context, count, length):
    reads = [
        make_read("feed-bergen-1", length, **PUBLISH) for _ in range(count)
    ]
    send_reads(context, reads)


@then('{count:d} of them got "{verdict}" with reason "{reason}"')
def step_some_got(context, count, verdict, reason):
    found = [
        (outcome.verdict, outcome.reason) for outcome, _ in context.answers
    ]
    assert found.count((verdict, reason)) == count, found


@then("the others got their own complete answers")
def step_others_complete(context):
    for outcome, expected in context.answers:
        assert outcome.verdict != "ran" or outcome.body == expected
        assert outcome.verdict == "ran" or outcome.body != expected


@when(
    "a caller reads an answer of {length:d} {form} bytes from"
    ' "{service}" through "{entry}"'
)
def step_large(context, service, length, form, entry):
    headers = {"X-Chunked": "1"} if form == "chunked" else {}
    options = {"service": service, "deadline_ms": 10_000}
    send_reads(context, [make_read(entry, length, headers, **options)])
    ((context.outcome, expected),) = context.answers
    is_complete = context.outcome.body == expected
    assert is_complete == (context.outcome.verdict == "ran")


@given(
    "a connection whose first frames were exchanged from {first:g} s to"
    " {second:g} s"
)
def step_connection(context, first, second):
    context.meter = TransitMeter()
    # The sender answers immediately; its frame is not read until `second`.
    context.meter.set_bound(
        sent_at=first + SENDER_CLOCK_AHEAD_S, not_before=first, now=second
    )


@when("a frame that was sent at {sent:g} s is read at {read:g} s")
def step_frame(context, sent, read):
    context.delay_s = context.meter.measure_delay(
        sent_at=sent + SENDER_CLOCK_AHEAD_S, now=read
    )


@then("its measured delay is at least {least:g} s and at most {most:g} s")
def step_delay(context, least, most):
    assert least <= context.delay_s <= most, context.delay_s


@when(
    "the sender's clock loses {drift:d} ms per {period:d} s during {total:d} s"
)
def step_drift(context, drift, period, total):
    rate = drift / 1_000 / period
    context.delays = [
        context.meter.measure_delay(
            sent_at=now + SENDER_CLOCK_AHEAD_S - now * rate, now=now + 0.001
        )
        for now in range(10, total, 10)
    ]


@then("every measured delay is below {seconds:g} s")
def step_small_delays(context, seconds):
    assert max(context.delays) < seconds, max(context.delays)


@given("two answers of 50 frames each are queued")
def step_two_answers(context):
    context.total = ByteCount()
    context.queue = FrameQueue(context.total)
    for name in (1, 2):
        context.queue.put_stream(name, make_frames(name), size=1_000)


def make_frames(name):
    for number in range(FRAMES):
        yield f"{name}:{number}".encode()


def write_frames(queue, count, *, every=0):
    """Returns the next frames in the order in which they are written."""
    written = []
    while len(written) < count:
        written.append(queue.pop_frame())
        if every and len(written) % every == 0:
            queue.put(b"small")
    return written


@when("a small answer is queued after every third frame")
def step_small_answers(context):
    context.written = write_frames(context.queue, 120, every=3)


@then("each small answer is the next frame that is written")
def step_small_next(context):
    for index in range(3, len(context.written), 3):
        assert context.written[index] == b"small", context.written


@then("the frames of the two answers alternate and stay in order")
def step_alternate(context):
    large = [frame for frame in context.written if frame != b"small"]
    pairs = zip(make_frames(1), make_frames(2), strict=True)
    expected = list(itertools.chain(*pairs))
    assert large == expected[: len(large)], large


@when("the rest of the first answer is dropped after {count:d} frames")
def step_drop(context, count):
    write_frames(context.queue, count)
    context.queue.drop_stream(1)
    context.written = write_frames(context.queue, FRAMES - count // 2)


@then("all frames that follow are of the second answer")
def step_second_only(context):
    assert context.written == [*make_frames(2)][5:], context.written


@then("no bytes are queued at the end")
def step_nothing_queued(context):
    assert context.queue.pop_frame() is None
    assert context.queue.waiting_bytes == context.total.waiting == 0
    context.queue.put(b"frame")
    assert context.total.waiting == len(b"frame")
    context.queue.clear()
    assert context.queue.waiting_bytes == context.total.waiting == 0
