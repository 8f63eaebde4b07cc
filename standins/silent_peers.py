"""Peers of a node that take calls and answer none."""

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
    """Takes every call and answers none; records what it refused.

    Attributes:
        incarnation: Incarnation of its process.
        refused: Keys of the calls that it was told to refuse.
        futs: Futures of the answers that it owes.
    """

    def __init__(self) -> None:
        self.incarnation = 1
        self.refused: list[BoundKey | None] = []
        self.futs: list[asyncio.Future[Answer]] = []

    def load(self) -> LoadReport:
        """Returns the report that goes with every frame."""
        return LOAD

    def submit(self, attempt: CallAttempt) -> Submission:
        """Takes a call."""
        self.futs.append(asyncio.get_running_loop().create_future())
        return Submission(self.futs[-1])

    def refuse(
        self, key: BoundKey | None, fingerprint: bytes, verdict: Verdict
    ) -> Submission:
        """Records a refusal and answers with it."""
        self.refused.append(key)
        fut = asyncio.get_running_loop().create_future()
        fut.set_result(Answer(verdict))
        return Submission(fut)


class SilentEntry:
    """Takes every call and answers none before its deadline."""

    async def call(self, call: Call) -> Answer:
        """Waits for the deadline."""
        assert isinstance(call, Call)
        await asyncio.sleep(ENTRY_DEADLINE_S)
        return Answer(NotRun(Reason.DEADLINE_PASSED))


class SilentTarget:
    """Takes every call and ends it when told to.

    Attributes:
        given: Futures of the calls that it was given.
    """

    def __init__(self) -> None:
        self.given: list[asyncio.Future[Execution]] = []

    async def execute(self, attempt: CallAttempt, *, now: float) -> Execution:
        """Waits until the call is ended."""
        self.given.append(asyncio.get_running_loop().create_future())
        return await self.given[-1]

    def end(self, execution: Execution) -> None:
        """Ends every call that runs."""
        for fut in self.given:
            if not fut.done():
                fut.set_result(execution)
