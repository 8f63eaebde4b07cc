"""Names of the HTTP headers of calls, and filters for them."""

from collections.abc import Iterable

from guavawing.node.messages import Answer, CallAttempt, Headers

__all__ = [
    "BOUND_KEY_HEADER",
    "BUDGET_HEADER",
    "CALL_ID_HEADER",
    "DEADLINE_HEADER",
    "DEPTH_HEADER",
    "KEY_HEADER",
    "REASON_HEADER",
    "SERVICE_HEADER",
    "VERDICT_HEADER",
    "build_target_headers",
    "is_budget_spent",
    "strip_answer_headers",
    "strip_call_headers",
    "strip_hop_headers",
]

SERVICE_HEADER = "Guavawing-Service"
DEADLINE_HEADER = "Guavawing-Deadline-Ms"
DEPTH_HEADER = "Guavawing-Depth"
CALL_ID_HEADER = "Guavawing-Call-Id"
KEY_HEADER = "Idempotency-Key"
VERDICT_HEADER = "Guavawing-Verdict"
REASON_HEADER = "Guavawing-Reason"
BUDGET_HEADER = "Guavawing-Budget-Spent"
# Key with which a caller can query the outcome of its call.
BOUND_KEY_HEADER = "Guavawing-Key"
MS_PER_S = 1_000

_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_REPLACED_IN_CALLS = _HOP_HEADERS | {
    DEADLINE_HEADER.lower(),
    DEPTH_HEADER.lower(),
    CALL_ID_HEADER.lower(),
}
# A target that makes calls itself may forward their verdicts by mistake.
_REPLACED_IN_ANSWERS = frozenset(
    {
        VERDICT_HEADER.lower(),
        REASON_HEADER.lower(),
        BOUND_KEY_HEADER.lower(),
        CALL_ID_HEADER.lower(),
    }
)


def strip_hop_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Returns the end-to-end headers."""
    return _strip(headers, _HOP_HEADERS)


def strip_call_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Returns the headers of a call that are forwarded unchanged."""
    return _strip(headers, _REPLACED_IN_CALLS)


def strip_answer_headers(headers: Headers) -> Headers:
    """Returns a target's headers without those that a node sets."""
    return _strip(headers, _REPLACED_IN_ANSWERS)


def build_target_headers(attempt: CallAttempt, *, now: float) -> Headers:
    """Returns the headers of a request to a target.

    A service that makes calls on behalf of this one forwards the depth and
    the time left, so that no hop has a later deadline than the one before it
    and the depth is bounded.
    """
    time_left_ms = int((attempt.deadline - now) * MS_PER_S)
    return (
        *attempt.headers,
        (DEADLINE_HEADER, str(max(time_left_ms, 1))),
        (DEPTH_HEADER, str(attempt.depth)),
        (CALL_ID_HEADER, attempt.call_id),
    )


def is_budget_spent(answer: Answer) -> bool:
    """Returns whether a downstream service has exhausted its retries.

    The verdict of a service that answers with an error because a call of its
    own failed is `Ran`; the service forwards the header of the response to
    that call.
    """
    if getattr(answer.verdict, "budget_spent", False):
        return True
    name = BUDGET_HEADER.lower()
    return any(header.lower() == name for header, _ in answer.headers)


def _strip(
    headers: Iterable[tuple[str, str]], names: frozenset[str]
) -> Headers:
    return tuple([pair for pair in headers if pair[0].lower() not in names])
