"""Messages between the components of one node."""

import attrs

from guavawing.config import EffectivePolicy
from guavawing.policy.bound_key import BoundKey
from guavawing.verdict import Verdict

__all__ = ["Answer", "CallAttempt", "Headers"]

Headers = tuple[tuple[str, str], ...]


@attrs.frozen
class CallAttempt:
    """One attempt of a call at an owner.

    Attributes:
        call_id: Id of the call, the same at every node on its path.
        policy: Policy in force for the call.
        method: HTTP method.
        path: Path and query.
        headers: End-to-end request headers.
        body: Request body.
        deadline: Deadline of the call in the event loop's time, in seconds.
        depth: Number of calls upstream of this one.
        key: Bound key; None for an idempotent call.
        fingerprint: Digest of the request; empty for an idempotent call.
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
    """Outcome of an attempt or a call.

    Attributes:
        verdict: Whether the request may have been executed.
        status: HTTP status of the target's answer; 0 without one.
        headers: End-to-end headers of the target's answer.
        body: Complete body of the target's answer.
        key: Bound key with which the caller can query the outcome of a call
            that may have run; empty for none.
    """

    verdict: Verdict
    status: int = 0
    headers: Headers = ()
    body: bytes = b""
    key: str = ""
