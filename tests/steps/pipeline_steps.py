"""Steps that pipeline requests to a server without a network."""

import asyncio
import tracemalloc
from random import Random

from behave import given, then, when

from guavawing.platform.headers import build_answer, build_refusal
from guavawing.sidecar.http_connection import ServerConnection, ServerState
from guavawing.sidecar.http_server import HttpServer
from guavawing.traffic.model import ClientLimits
from guavawing.traffic.pipeline import MAX_IN_FLIGHT, Pipeline

MB = 1024 * 1024
BAD_BYTES = {
    "garbage": b"\x00\x01 what\r\n\r\n",
    "two lengths": (
        b"GET /safe/x HTTP/1.1\r\nContent-Length: 1\r\n"
        b"Content-Length: 2\r\n\r\nab"
    ),
    "an oversized header": (
        b"GET /safe/x HTTP/1.1\r\nX: " + b"a" * 20_000 + b"\r\n\r\n"
    ),
}

CHUNKED = b"POST /safe/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
# First bytes, and bytes that are repeated after them.
ENDLESS = {
    "a header line": (b"GET /safe/x HTTP/1.1\r\nX: a", b"a" * 1000),
    "a path": (b"GET /safe/x", b"a" * 1000),
    "a chunk extension": (CHUNKED + b"2;a", b"a" * 1000),
    "trailers": (CHUNKED + b"2\r\nhi\r\n0\r\n", b"X: aaaaaaa\r\n" * 80),
}
# Number of packets after which a connection that still reads has no limit.
MAX_PACKETS = 2000


class MemoryTransport:
    """Records written bytes and holds packets that have not been read."""

    def __init__(self):
        self.written, self.closed, self.reading = b"", False, True
        self.packets = []
        # Whether what is written stays in the transport.
        self.holds = False

    def write(self, data):
        assert not self.closed, "written after the close"
        self.written += data

    def close(self):
        self.closed = True

    abort = close

    def get_write_buffer_size(self):
        return len(self.written) if self.holds else 0

    def pause_reading(self):
        assert self.reading, "paused twice"
        self.reading = False

    def resume_reading(self):
        assert not self.reading, "resumed twice"
        self.reading = True


class Client:
    """A client and the server's end of its connection."""

    def __init__(self, server):
        self.conn = ServerConnection(server)
        self.transport = MemoryTransport()
        self.conn.connection_made(self.transport)

    def send(self, *packets):
        self.transport.packets += packets
        self.deliver()

    def deliver(self):
        """Delivers packets until the server pauses reading."""
        transport = self.transport
        while transport.packets and transport.reading and not transport.closed:
            self.conn.data_received(transport.packets.pop(0))

    def answers(self):
        """Returns the path, or the status of a refusal, of each answer."""
        found = []
        for part in self.transport.written.split(b"HTTP/1.1 ")[1:]:
            head, _, body = part.partition(b"\r\n\r\n")
            status = head.split(b" ")[0]
            found.append((body if status == b"200" else status).decode())
        return found


def make_request(path, body=b""):
    head = f"POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}"
    return head.encode() + b"\r\n\r\n" + body


def make_server(context):
    context.begun, context.cancelled, context.waited = [], [], {}
    context.errors = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, error: context.errors.append(error))
    context.read = 0

    def handle(request):
        path = request.path.decode()
        if path.startswith("/full/"):
            closes = not request.keeps_open(refused=True)
            request.respond(build_refusal(503, b"", closes=closes))
            return
        if path.startswith("/fault/"):
            raise RuntimeError("unexpected error of a handler")
        now = asyncio.get_running_loop().time()
        context.waited[path] = now - request.arrived_at
        request.on_disconnect = lambda: context.cancelled.append(path)
        context.begun.append((path, request))

    context.server = ServerState(
        handler=handle,
        overlaps=lambda request: not request.path.startswith(b"/unsafe"),
        max_connections=100,
        pacer=None,
        last_request_at=0.0,
        limits=ClientLimits(max_body_bytes=2 * MB),
    )
    context.clients = []


def answer(context, wanted):
    for path, request in context.begun:
        if path == wanted:
            closes = not request.keeps_open()
            payload = build_answer(200, b"", path.encode(), closes=closes)
            request.respond(payload, closes=closes)
            return
    raise AssertionError(f"{wanted} has not been begun")


def open_client(context, packets):
    async def send():
        if "server" not in context:
            make_server(context)
        client = Client(context.server)
        context.clients.append(client)
        client.send(*packets)

    context.run(send())


@given("a server that has begun to stop")
def step_stopping_server(context):
    async def make():
        make_server(context)
        context.server.stopping = True

    context.run(make())


@given('a client that sends "{paths}"')
def step_client(context, paths):
    packet = b"".join(make_request(path) for path in paths.split())
    open_client(context, [packet])


@given('a client asks for a tunnel to "{target}"')
def step_connect(context, target):
    request = f"CONNECT {target} HTTP/1.1\r\nHost: {target}\r\n\r\n"
    open_client(context, [request.encode()])


@given(
    '{size:d} bytes{form} are sent with an offer to upgrade, and then "{path}"'
)
@given('{size:d} bytes are sent with an offer to upgrade, and then "{path}"')
def step_upgrade(context, size, path, form=""):
    body = b"b" * size
    framing = b"Content-Length: %d" % size
    if "chunks" in form:
        framing = b"Transfer-Encoding: chunked"
        body = b"%x\r\n%b\r\n0\r\n\r\n" % (size, body)
    data = (
        b"POST /unsafe/1 HTTP/1.1\r\nHost: a\r\nUpgrade: h2c\r\n"
        b"Connection: Upgrade, HTTP2-Settings\r\nHTTP2-Settings: AAMAAABk\r\n"
        + framing
        + b"\r\n\r\n"
        + body
        + make_request(path)
    )
    pieces = [data]
    if "byte by byte" in form:
        pieces = [data[at : at + 1] for at in range(len(data))]
    open_client(context, pieces)
    context.run(deliver_all(context.clients[-1]))


@then('"{paths}" have been received with bodies of {sizes} bytes')
def step_received(context, paths, sizes):
    async def run():
        # One that is not idempotent holds up those behind it.
        answer(context, paths.split()[0])

    context.run(run())
    received = [path for path, _ in context.begun]
    assert received == paths.split(), received
    bodies = [request.body for _, request in context.begun]
    assert [len(body) for body in bodies] == list(map(int, sizes.split()))
    assert set(b"".join(bodies)) <= set(b"b")


@given('a client that sends "{paths}" and reads nothing')
def step_client_reads_nothing(context, paths):
    step_client(context, paths)
    context.clients[-1].transport.holds = True


@when("the client has read everything")
def step_has_read(context):
    async def read():
        client = context.clients[-1]
        client.transport.holds = False
        client.conn.connection_lost(None)

    context.run(read())


@then("the server is {verdict}")
def step_busy(context, verdict):
    async def read():
        server = HttpServer(lambda _: None, max_connections=1)
        server.state = context.server
        return server.busy

    assert context.run(read()) == (verdict == "busy"), verdict


@given('a client that sends "{paths}" and then {what}')
def step_bad_client(context, paths, what):
    packets = [make_request(path) for path in paths.split()]
    open_client(context, [*packets, BAD_BYTES[what]])


@given('a client that sends {count:d} requests "/{kind}/N"')
@given('a client that sends {count:d} requests "/{kind}/N" in one packet')
def step_packet(context, count, kind):
    context.paths = [f"/{kind}/{number}" for number in range(count)]
    open_client(context, [b"".join(map(make_request, context.paths))])


@given('a client that sends {count:d} requests "/{kind}/N" one packet each')
def step_packets(context, count, kind):
    context.paths = [f"/{kind}/{number}" for number in range(count)]
    open_client(context, map(make_request, context.paths))


@given(
    'a client that sends {count:d} requests "/{kind}/N" with bodies of '
    "{size:g} MB"
)
def step_bodies(context, count, kind, size):
    send_bodies(context, 1, count, kind, size)


@given(
    '{clients:d} clients that each send {count:d} requests "/{kind}/N" with '
    "bodies of {size:g} MB"
)
def step_many_bodies(context, clients, count, kind, size):
    send_bodies(context, clients, count, kind, size)


@given("a client that sends {what} without end")
def step_endless(context, what):
    first, repeated = ENDLESS[what]
    context.sent = len(first) + len(repeated) * MAX_PACKETS
    open_client(context, [first] + [repeated] * MAX_PACKETS)
    context.run(deliver_all(context.clients[-1]))


async def deliver_all(client):
    """Delivers the packets of a client as its turns come."""
    async with asyncio.timeout(20):
        while client.transport.packets and not client.transport.closed:
            await asyncio.sleep(0.001)
            client.deliver()


@given("{count:d} clients that each send a body of {size:d} KB in chunks of 2")
def step_tiny_chunks(context, count, size):
    chunks = b"2\r\naa\r\n" * (size * 512)
    for number in range(count):
        head = CHUNKED.replace(b"/safe/x", b"/safe/%d" % number)
        open_client(context, [head, chunks, b"0\r\n\r\n"])


@then("at most {size:d} KB of each have been parsed")
def step_parsed(context, size):
    for client in context.clients:
        left = len(client.conn._unparsed) + sum(
            map(len, client.transport.packets)
        )
        total = 512 * 7 * 200 + 5
        assert total - left <= size * 1024, (total, left)


@then("each body arrives whole, {size:d} KB, and uses at most {most:d} KB")
def step_whole_bodies(context, size, most):
    async def receive():
        tracemalloc.start()
        try:
            await asyncio.gather(*map(deliver_all, context.clients))
            async with asyncio.timeout(20):
                while len(context.begun) < len(context.clients):
                    await asyncio.sleep(0.001)
            _, context.peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()

    context.run(receive())
    for _, request in context.begun:
        assert request.body == b"a" * (size * 1024), len(request.body)
    assert context.peak <= most * 1024 * len(context.clients), context.peak


def send_bodies(context, clients, count, kind, size):
    context.paths = [f"/{kind}/{number}" for number in range(count)]
    body = b"b" * int(size * MB)
    for _ in range(clients):
        open_client(
            context, [make_request(path, body) for path in context.paths]
        )


@when('"{path}" is answered')
def step_answer(context, path):
    async def run():
        answer(context, path)

    context.run(run())


@when('"{first}" and then "{second}" are answered')
def step_answers(context, first, second):
    async def run():
        answer(context, first)
        answer(context, second)

    context.run(run())


@when('{seconds:g} s pass and then "{path}" is answered')
def step_late_answer(context, seconds, path):
    async def run():
        await asyncio.sleep(seconds)
        answer(context, path)

    context.run(run())


@when("the server begins to stop")
def step_stop(context):
    context.server.stopping = True


@when("the client disconnects")
def step_disconnect(context):
    async def run():
        context.clients[0].transport.closed = True
        context.clients[0].conn.connection_lost(None)

    context.run(run())


@when("all begun requests are answered until none is left")
def step_answer_all(context):
    async def run():
        answered = 0
        while answered < len(context.begun):
            path, request = context.begun[answered]
            request.respond(build_answer(200, b"", path.encode(), closes=False))
            answered += 1
            for client in context.clients:
                client.deliver()

    context.run(run())


@then('"{paths}" have been begun')
def step_begun(context, paths):
    found = [path for path, _ in context.begun]
    assert found == paths.split(), found


@then("{begun:d} requests have been begun and at most {read:d} have been read")
def step_read(context, begun, read):
    assert len(context.begun) == begun, len(context.begun)
    waiting = len(context.clients[0].conn._pipeline)
    assert waiting <= read, waiting


@then('"{path}" has been waiting for {seconds:g} s when it is begun')
def step_waited(context, path, seconds):
    waited = context.waited[path]
    assert seconds <= waited < seconds + 0.1, waited


@then('"{paths}" have been cancelled')
def step_cancelled(context, paths):
    assert context.cancelled == paths.split(), context.cancelled


@then("the client has received nothing")
def step_nothing(context):
    assert not context.clients[0].transport.written


@then("one error has been reported")
def step_error(context):
    assert len(context.errors) == 1, context.errors


@then('the last client has received "{answers}"')
def step_last_received(context, answers):
    assert context.clients[-1].answers() == answers.split()


@then('the client has received "{answers}"')
def step_received(context, answers):
    found = context.clients[0].answers()
    assert found == answers.split(), found


@then("the client has received {count:d} answers in the order of its requests")
@then("each client has received {count:d} answers in the order of its requests")
def step_received_all(context, count):
    refused = ["503"] * count
    for client in context.clients:
        found = client.answers()
        assert found in (context.paths, refused), (len(found), found[:3])


@then("at most {size:g} MB are buffered")
def step_buffered(context, size):
    assert context.server.held_bytes <= size * MB, context.server.held_bytes


@then("at most {size:g} MB of it have been read")
def step_packets_read(context, size):
    unread = sum(map(len, context.clients[0].transport.packets))
    read = context.sent - unread
    assert read <= size * MB, read


@then("nothing is buffered")
def step_none_buffered(context):
    assert context.server.held_bytes == 0, context.server.held_bytes


@then("the client's connection is {state}")
def step_conn_state(context, state):
    transport = context.clients[0].transport
    found = {
        "open": not transport.closed,
        "closed": transport.closed,
        "read": transport.reading,
        "not read": not transport.reading,
    }
    assert found[state], found


@then(
    "over {count:d} sessions of random events answers are in order, requests "
    "that are not idempotent run alone, and none behind a closed connection "
    "has been begun"
)
def step_sessions(context, count):
    for seed in range(count):
        try:
            check_session(Random(seed))
        except AssertionError as exc:
            raise AssertionError(f"seed {seed}: {exc}") from exc


def check_session(rng):
    """Checks random requests and answers of one connection until it ends."""
    idempotent = {}
    pipeline = Pipeline(lambda number: idempotent[number])
    running, begun, sent, ended, number = {}, [], [], False, 0
    # Number of requests received when the last answer was decided.
    last = 0
    while not ended and number < 60:
        if rng.random() < 0.55:
            idempotent[number] = rng.random() < 0.7
            pipeline.add(number, rng.randrange(100))
            number += 1
        elif running:
            exchange = running.pop(rng.choice(list(running)))
            closes = pipeline.is_last(exchange) and rng.random() < 0.1
            last = number if closes else last
            pipeline.answer(exchange, b"%d" % exchange.request, closes=closes)
        while (exchange := pipeline.pop_answer()) is not None:
            sent.append(exchange.request)
            if exchange.closes:
                assert not pipeline.clear(), "begun behind the last answer"
                assert len(sent) == last, "dropped behind the last answer"
                ended = True
                break
        for exchange in pipeline.begin(ahead=rng.random() < 0.8):
            begun.append(exchange.request)
            running[exchange.request] = exchange
            open_before = [n for n in range(exchange.request) if n not in sent]
            alone = not open_before
            assert alone or idempotent[exchange.request], "not run alone"
            assert all(idempotent[n] for n in open_before), (
                "begun behind one that has to run alone"
            )
            assert len(running) <= MAX_IN_FLIGHT, len(running)
    assert sent == list(range(len(sent))), sent
    assert begun == list(range(len(begun))), begun
    if ended:
        assert begun == sent, (begun, sent)
