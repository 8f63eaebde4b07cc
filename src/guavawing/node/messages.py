"""Typed messages between the tasks of one node."""

import attrs

from guavawing.config import EffectivePolicy
from guavawing.policy.bound_key import BoundKey
from guavawing.verdict import MayHaveRun, NotRun, Ran, Verdict

__all__ = ["Answer", "CallAttempt", "Headers", "refuse"]

Headers = tuple[tuple[str, str], ...]


@attrs.frozen
class CallAttempt:
    """One attempt of a call, on its way to an owner.

    Attributes:
        call_id: Id of the call, the same at every node it crosses.
        policy: Policy in force for the call.
        method: HTTP method.
        path: Path and query.
        headers: End-to-end request headers.
        body: Request body.
        deadline: Event loop's time at which the caller gives up, in seconds.
        depth: How many calls led to this one.
        key: Bound key; None for an idempotent call.
        fingerprint: Digest of the request under a key.
    """

    call_id: str
    policy: EffectivePolicy
    method: str
    path: str
    headers: Headers
    body: bytes
    deadline: float
    depth: int
    key: BoundKey | None = None
    fingerprint: bytes = b""


@attrs.frozen
class Answer:
    """How an attempt or a call ended.

    Attributes:
        verdict: Whether the request may have been executed.
        status: HTTP status of the target's answer; 0 without one.
        headers: End-to-end headers of the target's answer.
        body: Whole body of the target's answer.
        key: Bound key under which the caller may ask what has become of a
            call that may have run; empty for none.
    """

    verdict: Verdict
    status: int = 0
    headers: Headers = ()
    body: bytes = b""
    key: str = ""


def refuse(verdict: NotRun | MayHaveRun | Ran) -> Answer:
    """Returns an answer that carries a verdict and nothing else."""
    return Answer(verdict)
