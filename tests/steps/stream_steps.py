"""Steps that drive the frame stream of one connection."""

import asyncio

from behave import then, when
from hypothesis import strategies

from guavawing.errors import MessageInvalidError
from guavawing.node.frame_stream import (
    MAX_FRAME_BYTES,
    FrameStream,
    Keepalive,
)
from tests.support import check_examples

TICK_S = 0.02
REFUSED = b"refused"


class Recorder:
    """Records the events of a stream."""

    def __init__(self):
        self.stream = None
        self.frames = []

    def on_open(self, stream):
        self.stream = stream

    def on_frame(self, payload):
        self.frames.append(payload)
        if payload == REFUSED:
            raise MessageInvalidError("refused")

    def on_writable(self):
        pass

    def on_close(self):
        pass


class RecordingTransport(asyncio.Transport):
    """Keeps the bytes that are written."""

    def __init__(self):
        super().__init__()
        self.sent = bytearray()

    def write(self, data):
        self.sent += data

    def abort(self):
        pass


def make_end(*, probes=True):
    """Returns a stream with the recorder of its events and its transport."""
    recorder, transport = Recorder(), RecordingTransport()
    stream = FrameStream(recorder, keepalive=Keepalive(TICK_S, probes))
    stream.connection_made(transport)
    return recorder, stream, transport


def write_frames(*frames):
    _, stream, transport = make_end()
    for frame in frames:
        stream.write(frame)
    return bytes(transport.sent)


@then("random frames in random pieces are received as they were written")
def step_pieces(context):
    frames = strategies.lists(strategies.binary(min_size=1, max_size=90))
    sizes = strategies.lists(strategies.integers(1, 40), min_size=1)

    async def run(written, pieces):
        data = write_frames(*written)
        recorder, stream, _ = make_end()
        turn = start = 0
        while start < len(data):
            size = pieces[turn % len(pieces)]
            stream.data_received(data[start : start + size])
            start, turn = start + size, turn + 1
        assert recorder.frames == written

    @check_examples(300, frames, sizes)
    def check(written, pieces):
        asyncio.run(run(written, pieces))


@when("a peer sends {what}, then {rest}")
def step_send(context, what, rest):
    async def run():
        context.recorder, stream, _ = make_end()
        refused = "refused" in what
        data = write_frames(REFUSED if refused else b"frame", b"more")
        if not refused:
            length = (MAX_FRAME_BYTES + 1).to_bytes(4, "big")
            data = write_frames(b"frame") + length + b"more"
        stream.data_received(data)

    asyncio.run(run())


@then("the connection is closed and {count:d} frames were received")
def step_closed(context, count):
    assert context.recorder.stream.closed
    assert len(context.recorder.frames) == count, context.recorder.frames


@when("the peer {does} for {ticks:d} ticks")
def step_keepalive(context, does, ticks):
    async def run():
        context.recorder, near, near_transport = make_end()
        _, far, far_transport = make_end(probes=False)
        for _ in range(ticks):
            await asyncio.sleep(TICK_S)
            if does == "answers":
                far.data_received(bytes(near_transport.sent))
                near_transport.sent.clear()
            if does == "sends a frame each tick":
                near.data_received(write_frames(b"frame"))
            if far_transport.sent:
                near.data_received(bytes(far_transport.sent))
                far_transport.sent.clear()

    asyncio.run(run())


@then("the connection is {state}")
def step_state(context, state):
    assert context.recorder.stream.closed == (state == "closed")
