"""Load generator that retries calls with the verdict `not-run`."""

import asyncio
import itertools
import uuid
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any

import attrs

from standins.caller import Outcome
from standins.cluster import Fleet

MAX_ATTEMPTS = 8
RESEND_PAUSE_S = 0.05
DEADLINE_MS = 4_000
CALLS_PER_PUBLISH = 4


@attrs.frozen
class SentRequest:
    """A request and its outcome.

    Attributes:
        key: Idempotency key of a publish; empty for a read.
        execution_id: Value of `X-Key`, by which targets count executions of
            this request.
        outcome: Outcome at the caller.
    """

    key: str
    execution_id: str
    outcome: Outcome


class LoadGenerator:
    """Sends calls at a constant rate; every fourth one is a keyed publish.

    Args:
        fleet: The fleet.
        service: Service to call.
        per_second: Calls started per second.
        work_ms: Service time of a call at the target, in milliseconds.
        through: Substring of the names of the entry nodes to use.
        copies: Number of callers that send each publish concurrently,
            through different nodes.

    Attributes:
        stopped: Whether `run` is to stop.
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
        self._interval_s = 1 / per_second
        self._nodes = [name for name in fleet.nodes if through in name]
        self._copies = copies

    async def run(self) -> list[list[SentRequest]]:
        """Sends calls until stopped; returns the requests of each call."""
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
            await asyncio.sleep(self._interval_s)
        return await asyncio.gather(*calls)

    async def resend(self, keys: Sequence[str]) -> list[SentRequest]:
        """Sends one publish per key again, distributed over the nodes."""
        sends = [self._send(index, key) for index, key in enumerate(keys)]
        return await asyncio.gather(*sends)

    async def _call(self, first_node: int, key: str) -> list[SentRequest]:
        requests = []
        for attempt in range(MAX_ATTEMPTS):
            # Each attempt uses the node after that of the previous one.
            request = await self._send(first_node + attempt, key)
            requests.append(request)
            outcome = request.outcome
            refused = "ClientConnectorError" in outcome.reason
            if outcome.verdict != "not-run" and not refused:
                break
            await asyncio.sleep(RESEND_PAUSE_S)
        return requests

    async def _send(self, index: int, key: str) -> SentRequest:
        execution_id = uuid.uuid4().hex
        options: dict[str, Any] = {"path": "/bulletins"}
        if key:
            options |= {"method": "POST", "key": key, "body": b"{}"}
        outcome = await self._fleet.call(
            self._nodes[index % len(self._nodes)],
            service=self._service,
            deadline_ms=DEADLINE_MS,
            headers={"X-Work-Ms": str(self._work_ms), "X-Key": execution_id},
            **options,
        )
        return SentRequest(key, execution_id, outcome)


def find_false_verdicts(
    requests: Sequence[SentRequest], executions: Mapping[str, int]
) -> list[SentRequest]:
    """Returns the requests whose verdict contradicts the targets' records.

    Args:
        requests: All requests of the calls to check.
        executions: Number of executions by `execution_id`.
    """
    executions_by_key = count_by_key(requests, executions)

    def is_correct(request: SentRequest) -> bool:
        executed = executions.get(request.execution_id, 0)
        match request.outcome.verdict:
            case "not-run":
                return executed == 0
            case "ran" if request.key:
                return executions_by_key[request.key] == 1
            case "ran":
                return executed > 0
            case verdict:
                # The verdict may be missing only if there was no response.
                has_no_response = not verdict and not request.outcome.status
                return verdict == "may-have-run" or has_no_response

    return [request for request in requests if not is_correct(request)]


def count_by_key(
    requests: Sequence[SentRequest], executions: Mapping[str, int]
) -> dict[str, int]:
    """Returns the executions per key, summed over its requests."""
    counts: dict[str, int] = {}
    for request in requests:
        if request.key:
            executed = executions.get(request.execution_id, 0)
            counts[request.key] = counts.get(request.key, 0) + executed
    return counts


async def send_at_rate(
    call: Callable[[], Awaitable[Outcome]], *, per_second: float, seconds: float
) -> list[Outcome]:
    """Starts calls at a constant rate, independent of their duration.

    Args:
        call: Sends one call.
        per_second: Calls started per second.
        seconds: Duration over which calls are started.

    Returns:
        The outcomes in start order.
    """
    loop = asyncio.get_running_loop()
    start = loop.time()
    tasks = []
    for number in range(int(per_second * seconds)):
        await asyncio.sleep(start + number / per_second - loop.time())
        tasks.append(asyncio.ensure_future(call()))
    return await asyncio.gather(*tasks)
