"""Encoding and decoding of the frames of mesh connections."""

import itertools
from collections.abc import Iterable, Iterator

from google.protobuf.message import DecodeError

from guavawing.errors import InvalidArgumentError, MessageInvalidError
from guavawing.node.messages import Answer, CallAttempt, Headers
from guavawing.policy.bound_key import BoundKey, parse_bound_key
from guavawing.policy.choice import LoadReport
from guavawing.proto import calls_pb2 as pb
from guavawing.verdict import (
    MayHaveRun,
    NotRun,
    Ran,
    Reason,
    Verdict,
    verdict_name,
)

__all__ = [
    "CHUNK_BYTES",
    "MAX_ANSWER_BYTES",
    "build_answer_frames",
    "build_hello",
    "build_request",
    "decode_frame",
    "decode_headers",
    "decode_load",
    "read_key",
    "read_verdict",
]

CHUNK_BYTES = 64 * 1024
MAX_ANSWER_BYTES = 64 * 1024 * 1024
US_PER_S = 1_000_000
MS_PER_S = 1_000


def build_hello(
    member_id: str,
    incarnation: int,
    load: LoadReport,
    *,
    now: float,
    echo_us: int = 0,
) -> pb.MeshFrame:
    """Returns the first frame of a connection.

    Args:
        member_id: Id of this node.
        incarnation: Incarnation of this process.
        load: Load of this node's target.
        now: Event loop's time, in seconds.
        echo_us: `sent_at_us` of the hello that this one answers; 0 for none.
    """
    frame = pb.MeshFrame()
    hello = frame.hello
    hello.member_id = member_id
    hello.incarnation = incarnation
    hello.sent_at_us = int(now * US_PER_S)
    hello.echo_us = echo_us
    fill_load(hello.load, load)
    return frame


def build_request(
    attempt: CallAttempt, frame_id: int, *, now: float
) -> pb.MeshFrame:
    """Returns the frame that requests an owner to execute an attempt."""
    time_left_s = max(attempt.deadline - now, 0.0)
    # Messages are filled in place, as a constructor copies the messages that
    # are passed to it.
    frame = pb.MeshFrame()
    request = frame.request
    request.id = frame_id
    request.call_id = attempt.call_id
    request.time_left_us = int(time_left_s * US_PER_S)
    request.sent_at_us = int(now * US_PER_S)
    request.service = attempt.policy.service
    request.route = attempt.policy.route
    request.method = attempt.method
    request.path = attempt.path
    request.headers.extend(encode_headers(attempt.headers))
    request.body = attempt.body
    request.depth = attempt.depth
    request.fingerprint = attempt.fingerprint
    if attempt.key is not None:
        request.key = str(attempt.key)
    return frame


def build_answer_frames(
    answer: Answer, frame_id: int, load: LoadReport
) -> Iterator[pb.MeshFrame]:
    """Yields the frames that carry an answer, its body in chunks."""
    verdict = answer.verdict
    retry_after_ms = 0
    if isinstance(verdict, NotRun) and verdict.retry_after_s is not None:
        # 0 encodes the absence of a time, so the value is shifted by one.
        retry_after_ms = round(verdict.retry_after_s * MS_PER_S) + 1
    frame = pb.MeshFrame()
    head = frame.answer
    head.id = frame_id
    head.verdict = verdict_name(verdict)
    head.reason = str(verdict.reason)
    head.retry_after_ms = retry_after_ms
    head.budget_spent = getattr(verdict, "budget_spent", False)
    head.status = answer.status
    head.headers.extend(encode_headers(answer.headers))
    head.body_length = len(answer.body)
    head.body = answer.body[:CHUNK_BYTES]
    fill_load(head.load, load)
    yield frame
    for start in range(CHUNK_BYTES, len(answer.body), CHUNK_BYTES):
        chunk = answer.body[start : start + CHUNK_BYTES]
        yield pb.MeshFrame(body=pb.CallBody(id=frame_id, chunk=chunk))


def read_verdict(answer: pb.CallAnswer) -> Verdict:
    """Returns the verdict of an answer frame.

    Raises:
        MessageInvalidError: If the verdict or the reason is unknown.
    """
    try:
        reason = Reason(answer.reason)
    except ValueError as exc:
        raise MessageInvalidError(str(exc)) from exc
    match answer.verdict:
        case "ran":
            return Ran(reason)
        case "may-have-run":
            return MayHaveRun(reason, answer.budget_spent)
        case "not-run":
            retry_after_s = None
            if answer.retry_after_ms:
                retry_after_s = (answer.retry_after_ms - 1) / MS_PER_S
            return NotRun(reason, retry_after_s, answer.budget_spent)
    raise MessageInvalidError(
        f"got verdict {answer.verdict!r}, expected ran, not-run or may-have-run"
    )


def read_key(request: pb.CallRequest) -> BoundKey | None:
    """Returns the bound key of a request frame; None if it has none.

    Raises:
        MessageInvalidError: If the key is malformed.
    """
    if not request.key:
        return None
    try:
        return parse_bound_key(request.key)
    except InvalidArgumentError as exc:
        raise MessageInvalidError(str(exc)) from exc


def decode_frame(payload: bytes) -> pb.MeshFrame:
    """Decodes a frame of a mesh connection.

    Raises:
        MessageInvalidError: If the bytes are not a frame.
    """
    frame = pb.MeshFrame()
    try:
        frame.ParseFromString(payload)
    except DecodeError as exc:
        raise MessageInvalidError(f"not a mesh frame: {exc}") from exc
    return frame


def decode_load(load: pb.Load) -> LoadReport:
    """Returns the load report of an owner."""
    return LoadReport(
        slots=load.slots,
        running=load.running,
        queued=load.queued,
        draining=load.draining,
        key_epoch=load.key_epoch,
    )


def fill_load(message: pb.Load, load: LoadReport) -> None:
    """Fills a message with an owner's load."""
    message.slots = load.slots
    message.running = load.running
    message.queued = load.queued
    message.draining = load.draining
    message.key_epoch = load.key_epoch
    # Sets the presence of the message also if all fields are zero.
    message.SetInParent()


def encode_headers(headers: Headers) -> Iterable[str]:
    """Yields names and values alternately."""
    return itertools.chain.from_iterable(headers)


def decode_headers(headers: Iterable[str]) -> Headers:
    """Returns header pairs.

    Raises:
        MessageInvalidError: If the last name has no value.
    """
    texts = iter(headers)
    try:
        return tuple(zip(texts, texts, strict=True))
    except ValueError as exc:
        raise MessageInvalidError("the last header has no value") from exc
