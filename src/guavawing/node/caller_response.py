"""HTTP responses to callers; each carries the verdict of its call."""

import math
from collections.abc import Sequence

import orjson
from aiohttp import web

from guavawing.node.call_headers import (
    BOUND_KEY_HEADER,
    BUDGET_HEADER,
    CALL_ID_HEADER,
    REASON_HEADER,
    VERDICT_HEADER,
    strip_answer_headers,
)
from guavawing.node.mesh_client import MAX_EPOCH_AGE_S
from guavawing.node.messages import Answer
from guavawing.policy.bound_key import BoundKey
from guavawing.policy.key_table import EPOCH_LENGTH_S
from guavawing.verdict import MayHaveRun, Ran, Reason, Verdict, verdict_name

__all__ = ["build_keys_response", "build_response"]

_STATUS_OF_REASON = {
    Reason.UNKNOWN_SERVICE: 404,
    Reason.UNKNOWN_ROUTE: 404,
    Reason.UNKNOWN_ACCOUNT_KEY: 401,
    Reason.MISSING_DEADLINE: 400,
    Reason.MALFORMED_HEADER: 400,
    Reason.HEADERS_TOO_LARGE: 431,
    Reason.TOO_DEEP: 400,
    Reason.BODY_TOO_LARGE: 413,
    Reason.KEY_REUSED: 422,
    Reason.DEADLINE_PASSED: 504,
    Reason.TARGET_TIMEOUT: 504,
    Reason.QUEUE_FULL: 429,
    Reason.TOO_MANY_CALLS: 429,
    Reason.OVER_QUOTA: 429,
    Reason.INTERNAL: 500,
}
_STATUS_NOT_RUN = 503
_STATUS_WITHOUT_ANSWER = 502


def build_response(answer: Answer, call_id: str, message: str) -> web.Response:
    """Returns the response that carries an answer.

    Args:
        answer: Outcome of the call.
        call_id: Id of the call.
        message: Description of the error in the request; empty for none.
    """
    verdict = answer.verdict
    headers = [
        (VERDICT_HEADER, verdict_name(verdict)),
        (REASON_HEADER, str(verdict.reason)),
        (CALL_ID_HEADER, call_id),
    ]
    if getattr(verdict, "budget_spent", False):
        headers.append((BUDGET_HEADER, "1"))
    if answer.key:
        headers.append((BOUND_KEY_HEADER, answer.key))
    if verdict.reason is Reason.SERVED:
        return web.Response(
            status=answer.status,
            headers=[*strip_answer_headers(answer.headers), *headers],
            body=answer.body,
        )
    retry_after_s = getattr(verdict, "retry_after_s", None)
    if retry_after_s is not None:
        headers.append(("Retry-After", str(math.ceil(retry_after_s))))
    tree = {
        "verdict": verdict_name(verdict),
        "reason": str(verdict.reason),
        "message": message,
        "retry_after_s": retry_after_s,
        "call_id": call_id,
    }
    return web.Response(
        status=_status_of(verdict),
        headers=headers,
        body=orjson.dumps(tree),
        content_type="application/json",
    )


def build_keys_response(keys: Sequence[BoundKey]) -> web.Response:
    """Returns the response that carries new bound keys."""
    tree = {
        "keys": [str(key) for key in keys],
        "usable_s": EPOCH_LENGTH_S - MAX_EPOCH_AGE_S,
    }
    return web.Response(
        headers={VERDICT_HEADER: "ran", REASON_HEADER: str(Reason.SERVED)},
        body=orjson.dumps(tree),
        content_type="application/json",
    )


def _status_of(verdict: Verdict) -> int:
    default = _STATUS_NOT_RUN
    if isinstance(verdict, Ran | MayHaveRun):
        default = _STATUS_WITHOUT_ANSWER
    return _STATUS_OF_REASON.get(verdict.reason, default)
