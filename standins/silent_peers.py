"""Stand-ins for peers that accept calls without answering them."""

import asyncio

from guavawing.node.call import Call
from guavawing.node.messages import Answer, CallAttempt
from guavawing.node.submission import Submission
from guavawing.node.target_client import Execution
from guavawing.policy.bound_key import BoundKey
from guavawing.policy.choice import LoadReport
from guavawing.verdict import NotRun, Reason, Verdict

ENTRY_DEADLINE_S = 1.0
LOAD = LoadReport(1, 0, 0, draining=False, key_epoch=0)


class SilentOwner:
    """Owner that accepts all calls and never answers; records refusals.

    Attributes:
        incarnation: Incarnation of the owner.
        refused: Keys of the calls passed to `refuse`.
        futs: Futures of the pending answers.
    """

    def __init__(self) -> None:
        self.incarnation = 1
        self.refused: list[BoundKey | None] = []
        self.futs: list[asyncio.Future[Answer]] = []

    def load(self) -> LoadReport:
        """Returns the load report attached to every frame."""
        return LOAD

    def submit(self, attempt: CallAttempt) -> Submission:
        """Accepts a call; its answer stays pending."""
        self.futs.append(asyncio.get_running_loop().create_future())
        return Submission(self.futs[-1])

    def refuse(
        self, key: BoundKey | None, fingerprint: bytes, verdict: Verdict
    ) -> Submission:
        """Records a refusal and answers with its verdict."""
        self.refused.append(key)
        fut = asyncio.get_running_loop().create_future()
        fut.set_result(Answer(verdict))
        return Submission(fut)


class SilentEntry:
    """Entry that refuses every call when its deadline has passed."""

    async def call(self, call: Call) -> Answer:
        """Waits for the deadline and returns a refusal."""
        assert isinstance(call, Call)
        await asyncio.sleep(ENTRY_DEADLINE_S)
        return Answer(NotRun(Reason.DEADLINE_PASSED))


class SilentTarget:
    """Target whose executions run until `end` is called.

    Attributes:
        given: Futures of the executions, in start order.
    """

    def __init__(self) -> None:
        self.given: list[asyncio.Future[Execution]] = []

    async def execute(self, attempt: CallAttempt, *, now: float) -> Execution:
        """Waits for `end` and returns its execution."""
        self.given.append(asyncio.get_running_loop().create_future())
        return await self.given[-1]

    def end(self, execution: Execution) -> None:
        """Completes all running executions with the same result."""
        for fut in self.given:
            if not fut.done():
                fut.set_result(execution)
