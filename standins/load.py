"""Callers that load a fleet and resend what was not run."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from typing import Any

from standins.caller import Outcome
from standins.cluster import Fleet

CALLER_ATTEMPTS = 8
RESEND_PAUSE_S = 0.05
DEADLINE_MS = 4_000
CALLS_PER_PUBLISH = 4


class Load:
    """Sends calls at a steady rate, every fourth one a publish with a key."""

    def __init__(
        self,
        fleet: Fleet,
        service: str,
        per_second: float,
        work_ms: int,
        through: str = "",
    ) -> None:
        self.stopped = False
        self._fleet = fleet
        self._service = service
        self._work_ms = work_ms
        self._gap_s = 1 / per_second
        self._nodes = [name for name in fleet.nodes if through in name]

    async def run(self) -> list[tuple[Outcome, str]]:
        """Sends calls until stopped; returns outcomes and keys."""
        loop = asyncio.get_running_loop()
        calls = []
        for number in itertools.count():
            if self.stopped:
                break
            calls.append(loop.create_task(self._call(number)))
            await asyncio.sleep(self._gap_s)
        return await asyncio.gather(*calls)

    async def _call(self, number: int) -> tuple[Outcome, str]:
        options: dict[str, Any] = {"path": f"/bulletins?{number}"}
        key = ""
        if number % CALLS_PER_PUBLISH == 0:
            key = f"load-{id(self)}-{number}"
            options |= {"method": "POST", "key": key, "body": b"{}"}
        for attempt in range(CALLER_ATTEMPTS):
            # Each try of a call goes to another node than the one before.
            turn = (number + attempt) % len(self._nodes)
            outcome = await self._fleet.call(
                self._nodes[turn],
                service=self._service,
                deadline_ms=DEADLINE_MS,
                headers={"X-Work-Ms": str(self._work_ms)},
                **options,
            )
            refused = "ClientConnectorError" in outcome.reason
            if outcome.verdict != "not-run" and not refused:
                break
            await asyncio.sleep(RESEND_PAUSE_S)
        return outcome, key


async def send_paced(
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
