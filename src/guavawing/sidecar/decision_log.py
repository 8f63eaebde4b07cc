"""Structured logs of the daemon: one JSON object per line, written by eliot.

A line records a decision about a request or a state change of this node.
Refused, failed and slow requests are logged up to a rate limit. Other requests
are sampled by id, so that a request is logged either at every node on its path
or at none. Writes never block on the reader: if it is too slow, lines are
dropped. All omitted lines are counted.
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
# Rate limit, in lines per second, and burst of lines about refused, failed or
# slow requests: a reader can follow 20 lines per second, and writing and
# reading them takes less than 0.1 % of a core.
NOTABLE_PER_S = 20.0
NOTABLE_BURST = 60.0
# Rate limit, in lines per second, and burst of lines about state changes.
STATE_CHANGES_PER_S = 30.0
STATE_CHANGES_BURST = 200.0
# One request in this many is logged whatever its outcome.
SAMPLE_ONE_IN = 128
FLUSH_PERIOD_S = 0.25
MAX_BUFFERED_BYTES = 256 * 1024
# Interval at which the number of omitted lines is logged, in seconds.
REPORT_PERIOD_S = 10.0


class _TokenBucket:
    """Rate limiter that refills at a constant rate up to a burst."""

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
    """Rate-limited, buffered log of one process.

    Attributes:
        left_out: Number of lines omitted so far.
    """

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
        """Logs an event of this process, such as a start, without limit."""
        eliot.log_message(kind, node=self._node, **fields)

    def state_change(self, kind: str, **fields: Any) -> None:
        """Logs a change of the state that this node maintains."""
        if self._state_changes.acquire(self._loop.time()):
            self.event(kind, **fields)
        else:
            self.left_out += 1

    def is_sampled(self, request_id: bytes) -> bool:
        """Returns whether a request belongs to the sample."""
        return zlib.crc32(request_id) % SAMPLE_ONE_IN == 0

    def request(
        self, kind: str, request_id: bytes, *, notable: bool, **fields: Any
    ) -> None:
        """Logs a decision about a request if sampled or notable.

        Args:
            kind: Name of the log event.
            request_id: Id of the request.
            notable: Whether it was refused, failed or is slow.
            **fields: Inputs of the decision.
        """
        if not self.is_sampled(request_id):
            if not notable:
                return
            if not self._notable.acquire(self._loop.time()):
                self.left_out += 1
                return
        self.event(kind, request=request_id.decode("latin-1"), **fields)

    def write(self, record: dict[str, Any]) -> None:
        """Buffers a record of the logging library."""
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
        """Writes as much of the buffer as is possible without blocking."""
        data = b"".join(self._buffer)
        try:
            written = os.write(STDOUT, data) if data else 0
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader has closed the pipe, so the error can't be logged.
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
    """Writes the records of this process to standard output until exit."""
    log = DecisionLog(node=node)
    os.set_blocking(STDOUT, False)
    eliot.add_destinations(log.write)
    try:
        yield log
    finally:
        eliot.remove_destination(log.write)
        log.flush()
