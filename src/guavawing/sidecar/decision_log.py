"""Structured logs of the daemon: one JSON object a line, by eliot.

A line tells a decision about a request or a change of what this node
believes. Refusals, failures and slow requests are written up to a rate; of
the other requests a sample by id, so that one request is logged at every node
that it crosses or at none. What was left out is counted. Writing never waits
for the reader: lines that it does not take in time are dropped and counted.
"""

import asyncio
import contextlib
import os
import zlib
from collections.abc import Iterator
from typing import Any

import eliot
import orjson

__all__ = ["DecisionLog", "open_decision_log"]

STDOUT = 1
# Lines a second about refused, failed or slow requests, and the lines that a
# burst of them may take at once: a reader follows 20 lines a second, and the
# processor time of both stays under 0.1 % of a core.
NOTABLE_PER_S = 20.0
NOTABLE_BURST = 60.0
# Lines a second about changed beliefs.
STATE_CHANGES_PER_S = 30.0
STATE_CHANGES_BURST = 200.0
# One request in so many is logged whatever becomes of it.
SAMPLE_ONE_IN = 128
FLUSH_PERIOD_S = 0.25
MAX_BUFFERED_BYTES = 256 * 1024
# Period in which the number of lines left out is told, in seconds.
REPORT_PERIOD_S = 10.0


class _TokenBucket:
    """Tokens that refill at a rate."""

    __slots__ = ("_burst", "_rate", "_refilled_at", "_tokens")

    def __init__(self, rate: float, burst: float) -> None:
        self._rate, self._burst = rate, burst
        self._tokens, self._refilled_at = burst, 0.0

    def acquire(self, now: float) -> bool:
        gained = (now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + gained)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class DecisionLog:
    """Bounded log lines of one process."""

    def __init__(self, *, node: str) -> None:
        self._loop = asyncio.get_running_loop()
        self._node = node
        self._notable = _TokenBucket(NOTABLE_PER_S, NOTABLE_BURST)
        self._state_changes = _TokenBucket(
            STATE_CHANGES_PER_S, STATE_CHANGES_BURST
        )
        self._buffer: list[bytes] = []
        self._buffered = 0
        self._flush_timer: asyncio.TimerHandle | None = None
        self.left_out = 0
        self._reported = 0
        self._reported_at = self._loop.time()

    def event(self, kind: str, **fields: Any) -> None:
        """Writes a line about this process: start, stop, reload."""
        eliot.log_message(kind, node=self._node, **fields)

    def state_change(self, kind: str, **fields: Any) -> None:
        """Writes a line about a change of what this node believes."""
        if self._state_changes.acquire(self._loop.time()):
            self.event(kind, **fields)
        else:
            self.left_out += 1

    def is_sampled(self, request_id: bytes) -> bool:
        """Returns whether a request is one of the sample."""
        return zlib.crc32(request_id) % SAMPLE_ONE_IN == 0

    def request(
        self, kind: str, request_id: bytes, *, notable: bool, **fields: Any
    ) -> None:
        """Writes a line about a request, if the rule above allows it.

        Args:
            kind: What was decided.
            request_id: Id of the request.
            notable: Whether it was refused, failed or is slow.
            **fields: Inputs of the decision and their ages.
        """
        if not self.is_sampled(request_id):
            if not notable:
                return
            if not self._notable.acquire(self._loop.time()):
                self.left_out += 1
                return
        self.event(kind, request=request_id.decode("latin-1"), **fields)

    def write(self, record: dict[str, Any]) -> None:
        """Takes a record of the logging library."""
        line = orjson.dumps(record, default=str) + b"\n"
        if self._buffered + len(line) > MAX_BUFFERED_BYTES:
            self.left_out += 1
            return
        self._buffer.append(line)
        self._buffered += len(line)
        if self._flush_timer is None:
            self._flush_timer = self._loop.call_later(
                FLUSH_PERIOD_S, self._tick
            )

    def flush(self) -> None:
        """Hands as much to the reader as it takes now."""
        data = b"".join(self._buffer)
        try:
            written = os.write(STDOUT, data) if data else 0
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads the logs any more, which can't be logged.
            written = len(data)
        rest = data[written:]
        self._buffer = [rest] if rest else []
        self._buffered = len(rest)

    def _tick(self) -> None:
        self._flush_timer = None
        now = self._loop.time()
        if now - self._reported_at > REPORT_PERIOD_S:
            self._reported_at = now
            if self.left_out > self._reported:
                count = self.left_out - self._reported
                self._reported = self.left_out
                self.event("lines-left-out", count=count)
        self.flush()
        if self._buffer and self._flush_timer is None:
            self._flush_timer = self._loop.call_later(
                FLUSH_PERIOD_S, self._tick
            )


@contextlib.contextmanager
def open_decision_log(*, node: str) -> Iterator[DecisionLog]:
    """Sends the records of this process to standard output until closed."""
    log = DecisionLog(node=node)
    os.set_blocking(STDOUT, False)
    eliot.add_destinations(log.write)
    try:
        yield log
    finally:
        eliot.remove_destination(log.write)
        log.flush()
