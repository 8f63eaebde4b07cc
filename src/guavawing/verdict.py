"""Verdicts: whether a request may have been executed by a target.

Every answer and every refusal of a call has one of three verdicts. After
`NotRun` a caller may safely retry any request, idempotent or not.
"""

import enum

import attrs

__all__ = ["MayHaveRun", "NotRun", "Ran", "Reason", "Verdict", "verdict_name"]


class Reason(enum.StrEnum):
    """Machine-readable reasons of a verdict, counted separately."""

    SERVED = "served"
    # Refusals at the entry node, before the call was sent to an owner.
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_ROUTE = "unknown-route"
    UNKNOWN_ACCOUNT_KEY = "unknown-account-key"
    UNPROVEN_CONFIG = "unproven-configuration"
    OVER_QUOTA = "over-quota"
    QUOTA_UNKNOWN = "quota-unknown"
    MISSING_DEADLINE = "missing-deadline"
    MALFORMED_HEADER = "malformed-header"
    HEADERS_TOO_LARGE = "headers-too-large"
    BODY_TOO_LARGE = "body-too-large"
    DEADLINE_PASSED = "deadline-passed"
    TOO_DEEP = "too-deep"
    NO_CONFIG = "no-config"
    NO_TARGET = "no-target"
    TOO_MANY_CALLS = "too-many-calls"
    STOPPING = "stopping"
    CANCELLED = "cancelled"
    INTERNAL = "internal"
    # Refusals at the owner, before the target executed the request.
    QUEUE_FULL = "queue-full"
    RATE_LIMITED = "rate-limited"
    CANNOT_MEET_DEADLINE = "cannot-meet-deadline"
    EVICTED = "evicted"
    DRAINING = "draining"
    WRONG_OWNER = "wrong-owner"
    KEY_TABLE_FULL = "key-table-full"
    TARGET_UNREACHABLE = "target-unreachable"
    TARGET_CONNECT_FAILED = "target-connect-failed"
    TARGET_REPLACED = "target-replaced"
    TARGET_SHED = "target-shed"
    KEY_STORE_UNAVAILABLE = "key-store-unavailable"
    KEY_MISSING = "key-missing"
    KEY_REUSED = "key-reused"
    KEY_RELEASED = "key-released"
    OVERLOADED_PEER = "overloaded-peer"
    # Outcomes after the request may have been sent to the target.
    OWNER_UNREACHABLE = "owner-unreachable"
    OWNER_LOST = "owner-lost"
    OWNER_REPLACED = "owner-replaced"
    KEY_EXPIRED = "key-expired"
    ANSWER_TRUNCATED = "answer-truncated"
    ANSWER_TOO_LARGE = "answer-too-large"
    ANSWER_NOT_KEPT = "answer-not-kept"
    TARGET_TIMEOUT = "target-timeout"
    TARGET_BROKE = "target-broke"


@attrs.frozen
class NotRun:
    """The target has not executed the request and never will.

    Attributes:
        reason: Why the request was refused.
        retry_after_s: Delay before a retry, in seconds; None if a retry of
            the same request can't succeed.
        budget_spent: Whether the layer below has exhausted its retry budget,
            so that outer layers must not retry.
    """

    reason: Reason
    retry_after_s: float | None = None
    budget_spent: bool = False


@attrs.frozen
class Ran:
    """The target has executed the request.

    Its complete answer was received, unless the reason is `ANSWER_NOT_KEPT`.
    """

    reason: Reason = Reason.SERVED


@attrs.frozen
class MayHaveRun:
    """The target may or may not have executed the request."""

    reason: Reason
    budget_spent: bool = False


Verdict = NotRun | Ran | MayHaveRun

_NAMES = {NotRun: "not-run", Ran: "ran", MayHaveRun: "may-have-run"}


def verdict_name(verdict: Verdict) -> str:
    """Returns the name of a verdict, as used in response headers."""
    return _NAMES[type(verdict)]
