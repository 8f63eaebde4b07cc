"""Frames of the connections on which nodes pass calls to each other."""

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
MICROSECONDS = 1_000_000
MILLISECONDS = 1_000


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
        echo_us: Clock in the frame that this one answers, if any.
    """
    hello = pb.Hello(
        member_id=member_id,
        incarnation=incarnation,
        sent_at_us=int(now * MICROSECONDS),
        load=encode_load(load),
        echo_us=echo_us,
    )
    return pb.MeshFrame(hello=hello)


def build_request(
    attempt: CallAttempt, frame_id: int, *, now: float
) -> pb.MeshFrame:
    """Returns the frame that asks an owner to execute an attempt."""
    time_left_s = max(attempt.deadline - now, 0.0)
    request = pb.CallRequest(
        id=frame_id,
        call_id=attempt.call_id,
        time_left_us=int(time_left_s * MICROSECONDS),
        sent_at_us=int(now * MICROSECONDS),
        service=attempt.policy.service,
        route=attempt.policy.route,
        method=attempt.method,
        path=attempt.path,
        headers=encode_headers(attempt.headers),
        body=attempt.body,
        key="" if attempt.key is None else str(attempt.key),
        depth=attempt.depth,
        fingerprint=attempt.fingerprint,
    )
    return pb.MeshFrame(request=request)


def build_answer_frames(
    answer: Answer, frame_id: int, load: LoadReport
) -> Iterator[pb.MeshFrame]:
    """Yields the frames that carry an answer, its body in chunks."""
    verdict = answer.verdict
    retry_after_ms = 0
    if isinstance(verdict, NotRun) and verdict.retry_after_s is not None:
        # One is added so that 0 stands for no time at all.
        retry_after_ms = round(verdict.retry_after_s * MILLISECONDS) + 1
    head = pb.CallAnswer(
        id=frame_id,
        verdict=verdict_name(verdict),
        reason=str(verdict.reason),
        retry_after_ms=retry_after_ms,
        budget_spent=getattr(verdict, "budget_spent", False),
        status=answer.status,
        headers=encode_headers(answer.headers),
        body_length=len(answer.body),
        body=answer.body[:CHUNK_BYTES],
        load=encode_load(load),
    )
    yield pb.MeshFrame(answer=head)
    for start in range(CHUNK_BYTES, len(answer.body), CHUNK_BYTES):
        chunk = answer.body[start : start + CHUNK_BYTES]
        yield pb.MeshFrame(body=pb.CallBody(id=frame_id, chunk=chunk))


def read_verdict(answer: pb.CallAnswer) -> Verdict:
    """Returns the verdict of an answer frame.

    Raises:
        MessageInvalidError: If the frame names no known verdict or reason.
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
                retry_after_s = (answer.retry_after_ms - 1) / MILLISECONDS
            return NotRun(reason, retry_after_s, answer.budget_spent)
    raise MessageInvalidError(
        f"got verdict {answer.verdict!r}, expected ran, not-run or may-have-run"
    )


def read_key(request: pb.CallRequest) -> BoundKey | None:
    """Returns the bound key of a request frame.

    Raises:
        MessageInvalidError: If the frame holds a malformed key.
    """
    if not request.key:
        return None
    try:
        return parse_bound_key(request.key)
    except InvalidArgumentError as exc:
        raise MessageInvalidError(str(exc)) from exc


def decode_frame(payload: bytes) -> pb.MeshFrame:
    """Reads a frame of a connection between two nodes.

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
    """Returns the load that an owner reported."""
    return LoadReport(
        slots=load.slots,
        running=load.running,
        queued=load.queued,
        draining=load.draining,
        key_epoch=load.key_epoch,
    )


def encode_load(load: LoadReport) -> pb.Load:
    """Returns the message that reports an owner's load."""
    return pb.Load(
        slots=load.slots,
        running=load.running,
        queued=load.queued,
        draining=load.draining,
        key_epoch=load.key_epoch,
    )


def encode_headers(headers: Headers) -> Iterable[str]:
    """Returns names and values in turn."""
    return itertools.chain.from_iterable(headers)


def decode_headers(headers: Iterable[str]) -> Headers:
    """Returns header pairs.

    Raises:
        MessageInvalidError: If the last name has no value.
    """
    texts = list(headers)
    if len(texts) % 2:
        raise MessageInvalidError(
            f"got {len(texts)} names and values, expected an even number"
        )
    return tuple(zip(texts[::2], texts[1::2], strict=True))
