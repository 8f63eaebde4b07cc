"""Callers that load a fleet and resend what was not run."""

import asyncio
import itertools
import uuid
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any

import attrs

from standins.caller import Outcome
from standins.cluster import Fleet

CALLER_ATTEMPTS = 8
RESEND_PAUSE_S = 0.05
DEADLINE_MS = 4_000
CALLS_PER_PUBLISH = 4


@attrs.frozen
class SentRequest:
    """A request that a caller has sent, and how it ended.

    Attributes:
        key: Idempotency key of a publish; empty for a read.
        mark: Name under which targets count executions of this sending.
        outcome: What the caller got.
    """

    key: str
    mark: str
    outcome: Outcome


class LoadGenerator:
    """Sends calls at a steady rate, every fourth one a publish with a key.

    Args:
        fleet: The fleet.
        service: Service to call.
        per_second: Calls to start each second.
        work_ms: Time that a target works on a call, in milliseconds.
        through: Part of the names of the nodes to send through.
        copies: How many callers send each publish at the same time, through
            different nodes.
    """

    def __init__(
        self,
        fleet: Fleet,
        service: str,
        per_second: float,
        work_ms: int,
        through: str = "",
        copies: int = 1,
    ) -> None:
        self.stopped = False
        self._fleet = fleet
        self._service = service
        self._work_ms = work_ms
        self._gap_s = 1 / per_second
        self._nodes = [name for name in fleet.nodes if through in name]
        self._copies = copies

    async def run(self) -> list[list[SentRequest]]:
        """Sends calls until stopped; returns the sendings of each."""
        loop = asyncio.get_running_loop()
        calls = []
        for number in itertools.count():
            if self.stopped:
                break
            is_publish = number % CALLS_PER_PUBLISH == 0
            key = f"load-{id(self)}-{number}" if is_publish else ""
            for copy in range(self._copies if is_publish else 1):
                call = self._call(number + copy, key)
                calls.append(loop.create_task(call))
            await asyncio.sleep(self._gap_s)
        return await asyncio.gather(*calls)

    async def resend(self, keys: Sequence[str]) -> list[SentRequest]:
        """Sends publishes under their keys once more, a node for each."""
        sends = [self._send(turn, key) for turn, key in enumerate(keys)]
        return await asyncio.gather(*sends)

    async def _call(self, first: int, key: str) -> list[SentRequest]:
        sendings = []
        for attempt in range(CALLER_ATTEMPTS):
            # Each try of a call goes to another node than the one before.
            sending = await self._send(first + attempt, key)
            sendings.append(sending)
            outcome = sending.outcome
            refused = "ClientConnectorError" in outcome.reason
            if outcome.verdict != "not-run" and not refused:
                break
            await asyncio.sleep(RESEND_PAUSE_S)
        return sendings

    async def _send(self, turn: int, key: str) -> SentRequest:
        mark = uuid.uuid4().hex
        options: dict[str, Any] = {"path": "/bulletins"}
        if key:
            options |= {"method": "POST", "key": key, "body": b"{}"}
        outcome = await self._fleet.call(
            self._nodes[turn % len(self._nodes)],
            service=self._service,
            deadline_ms=DEADLINE_MS,
            headers={"X-Work-Ms": str(self._work_ms), "X-Key": mark},
            **options,
        )
        return SentRequest(key, mark, outcome)


def find_false_verdicts(
    sendings: Sequence[SentRequest], executions: Mapping[str, int]
) -> list[SentRequest]:
    """Returns the sendings whose verdict the targets' records refute.

    Args:
        sendings: Every sending of the calls that are checked.
        executions: How often each sending was executed, by its mark.
    """
    by_key = count_by_key(sendings, executions)

    def is_true(sending: SentRequest) -> bool:
        times = executions.get(sending.mark, 0)
        match sending.outcome.verdict:
            case "not-run":
                return times == 0
            case "ran" if sending.key:
                return by_key[sending.key] == 1
            case "ran":
                return times > 0
            case verdict:
                # Without a verdict there is no answer at all.
                is_lost = not verdict and not sending.outcome.status
                return verdict == "may-have-run" or is_lost

    return [sending for sending in sendings if not is_true(sending)]


def count_by_key(
    sendings: Sequence[SentRequest], executions: Mapping[str, int]
) -> dict[str, int]:
    """Returns how often each key was executed, by all its sendings."""
    counts: dict[str, int] = {}
    for sending in sendings:
        if sending.key:
            times = executions.get(sending.mark, 0)
            counts[sending.key] = counts.get(sending.key, 0) + times
    return counts


async def send_at_rate(
    call: Callable[[], Awaitable[Outcome]], *, per_second: float, seconds: float
) -> list[Outcome]:
    """Starts calls at a steady rate, however long they take.

    Args:
        call: Sends one call.
        per_second: Calls to start each second.
        seconds: Time over which to start them.

    Returns:
        The outcomes, in the order of the starts.
    """
    loop = asyncio.get_running_loop()
    start = loop.time()
    tasks = []
    for number in range(int(per_second * seconds)):
        await asyncio.sleep(start + number / per_second - loop.time())
        tasks.append(asyncio.ensure_future(call()))
    return await asyncio.gather(*tasks)
