"""Helpers of the steps about targets that name limits, on a paused clock."""

import asyncio

import attrs

from guavawing.platform.target_notices import decode_notice
from guavawing.sidecar.decision_log import DecisionLog
from guavawing.sidecar.link_pacer import LinkPacer
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.sidecar.owner import Owner
from guavawing.traffic.model import Outcome
from guavawing.verdict import MayHaveRun, Ran, Reason


class LimitedTarget:
    """A target in memory that names limits, in the place of a pool.

    Attributes:
        arrivals: Event loop's times at which requests arrived.
        limit: Value of its header; empty for none.
        slow_every: Every request of this number takes `slow_s`; 0 for none.
    """

    def __init__(self, service_s):
        self._service_s = service_s
        self.slow_every, self.slow_s = 0, 0.0
        self.limit = self.leaving = ""
        self.arrivals = []

    def execute(self, attempt, *, target_id, on_end, on_notice):
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        self.arrivals.append(sent_at)
        slow = self.slow_every and len(self.arrivals) % self.slow_every == 0
        early = self.read_headers()

        def answer():
            limits, leaving = early if slow else self.read_headers()
            on_notice(decode_notice(limits, leaving), sent_at)
            on_end(execution, Outcome(Ran(), 200))

        seconds = self.slow_s if slow else self._service_s
        execution = Execution(loop.call_later(seconds, answer), on_end)
        return execution

    def read_headers(self):
        limits = [self.limit.encode()] if self.limit else []
        leaving = [self.leaving.encode()] if self.leaving else []
        return limits, leaving

    def close_idle(self):
        pass


@attrs.define(eq=False)
class Execution:
    timer: asyncio.TimerHandle
    on_end: object

    def abandon(self):
        self.timer.cancel()
        self.on_end(self, Outcome(MayHaveRun(Reason.CANCELLED)))


@attrs.define
class Sent:
    """A request, its time of arrival and its outcome, if any."""

    at: float
    outcome: Outcome | None = None


def make_owner(pool, state):
    return Owner(
        service="desk",
        state=state,
        pool=pool,
        drain_s=2.0,
        pacer=LinkPacer(1e9),
        log=DecisionLog(node="a1"),
        metrics=SidecarMetrics(),
    )
