"""Counters and latency histograms in the Prometheus text format."""

import bisect

from aioprometheus import Counter as CounterSeries
from aioprometheus import Gauge as GaugeSeries
from aioprometheus import Histogram as HistogramSeries
from aioprometheus import Registry
from aioprometheus.renderer import render

from guavawing.node.metrics import Counter, Gauge
from guavawing.verdict import Reason, Verdict, verdict_name

__all__ = ["SidecarMetrics"]

# Bucket bounds in seconds, from a single idle hop to the longest deadline.
LATENCY_BOUNDS_S = [
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.3,
    0.5,
    1.0,
    2.0,
    5.0,
]
# Accounts that have series of their own, and the label of all others.
MAX_ACCOUNT_SERIES = 100
OTHER_ACCOUNTS = "(others)"


class _Latency:
    """A histogram with cheap updates, transferred to the library on scrape."""

    def __init__(self, registry: Registry, name: str, text: str) -> None:
        self._series = HistogramSeries(
            name, text, registry=registry, buckets=LATENCY_BOUNDS_S
        )
        self._counts: list[int] = [0] * (len(LATENCY_BOUNDS_S) + 1)
        self._sums = [0.0] * (len(LATENCY_BOUNDS_S) + 1)

    def observe(self, seconds: float) -> None:
        """Records one duration in seconds."""
        index = bisect.bisect_left(LATENCY_BOUNDS_S, seconds)
        self._counts[index] += 1
        self._sums[index] += seconds

    def export(self) -> None:
        """Transfers the durations since the last call to the library."""
        for index, count in enumerate(self._counts):
            mean = self._sums[index] / count if count else 0.0
            for _ in range(count):
                self._series.observe({}, mean)
            self._counts[index], self._sums[index] = 0, 0.0


class SidecarMetrics:
    """Metrics of one process."""

    def __init__(self) -> None:
        self._registry = Registry()
        self.answers = self._counter(
            "guavawing_answers_total",
            "Requests of clients answered, by verdict and reason.",
        )
        self.retries = self._counter(
            "guavawing_retries_total",
            "Attempts after the first one, by the reason of the one before.",
        )
        self.slot_offers = self._counter(
            "guavawing_slot_offers_total",
            "Offers of free slots, by what became of them.",
        )
        self.store_calls = self._counter(
            "guavawing_store_calls_total",
            "Calls to the platform's store, by call and outcome.",
        )
        self.unreadable = self._counter(
            "guavawing_unreadable_total",
            "Rows, heartbeats and messages that could not be read, by source.",
        )
        self._quota_decisions = self._counter(
            "guavawing_quota_decisions_total",
            "Requests of client accounts with a quota, by decision.",
        )
        self._over_quota = self._counter(
            "guavawing_over_quota_total",
            "Requests refused because they exceed the quota, by account.",
        )
        self._quota_pulls = self._counter(
            "guavawing_quota_pulls_total",
            "Requests for tokens of other parts of a quota, by outcome.",
        )
        self._over_quota_accounts: set[str] = set()
        self.refused_bodies = self._counter(
            "guavawing_bodies_refused_total",
            "Large bodies refused before they arrived, by reason.",
        )
        self.held_bodies = self._gauge(
            "guavawing_held_body_bytes", "Bytes reserved for large bodies."
        )
        self.version = self._gauge(
            "guavawing_config_version", "Configuration version in force."
        )
        self.config_age = self._gauge(
            "guavawing_config_proof_age_seconds",
            "Age of the proof that the newest configuration is in force, if"
            " keys of client accounts depend on it; -1 without one.",
        )
        self.config_age.set({}, -1.0)
        self.failed_tasks = self._counter(
            "guavawing_failed_tasks_total",
            "Unexpected ends of background tasks, which were started again.",
        )
        self.store_answered = self._gauge(
            "guavawing_store_answered_timestamp_seconds",
            "Time of the store's last answer to a node that follows a table.",
        )
        self.peers = self._gauge(
            "guavawing_peers", "Other nodes that are known, by state."
        )
        self.rollout_share = self._gauge(
            "guavawing_rollout_share",
            "Share of a service's requests that its new release gets.",
        )
        self.rollout_verdict = self._gauge(
            "guavawing_rollout_verdict",
            "Roll-out of a service: 0 running, 1 completed, 2 rolled back.",
        )
        self._target_limit = self._gauge(
            "guavawing_target_limit",
            "Requests per second that the target accepts; -1 without a limit.",
        )
        self.set_target_limit(None)
        self.log_lines_left_out = self._gauge(
            "guavawing_log_lines_left_out", "Log lines that were not written."
        )
        self._entry = self._latency(
            "guavawing_entry_seconds",
            "Time from a whole request to its answer at the entry node.",
        )
        self._queue = self._latency(
            "guavawing_queue_seconds", "Time that a request waits for a slot."
        )
        self._target = self._latency(
            "guavawing_target_seconds", "Time that a target takes to answer."
        )

    def count_answer(self, verdict: Verdict) -> None:
        """Counts an answered request by verdict and reason."""
        self.answers.inc(
            {"verdict": verdict_name(verdict), "reason": verdict.reason}
        )

    def count_retry(self, reason: Reason) -> None:
        """Counts a retry by the reason of the preceding attempt."""
        self.retries.inc({"reason": reason})

    def observe_entry(self, seconds: float) -> None:
        """Records the time from request to answer at the entry node."""
        self._entry.observe(seconds)

    def observe_queue(self, seconds: float) -> None:
        """Records the time that a request waited for a slot."""
        self._queue.observe(seconds)

    def observe_target(self, seconds: float) -> None:
        """Records the execution time at the target."""
        self._target.observe(seconds)

    def set_target_limit(self, per_s: float | None) -> None:
        """Sets the limit that the target has named; None without a limit."""
        self._target_limit.set({}, -1.0 if per_s is None else per_s)

    def count_quota_decision(self, decision: str) -> None:
        """Counts a request whose account has a quota."""
        self._quota_decisions.inc({"decision": decision})

    def count_over_quota(self, account: str) -> None:
        """Counts a refusal by account; only so many accounts are told apart."""
        accounts = self._over_quota_accounts
        if account not in accounts:
            if len(accounts) >= MAX_ACCOUNT_SERIES:
                account = OTHER_ACCOUNTS
            else:
                accounts.add(account)
        self._over_quota.inc({"account": account})

    def count_quota_pull(self, *, empty: bool) -> None:
        """Counts an answer of another part of a quota."""
        self._quota_pulls.inc({"outcome": "empty" if empty else "tokens"})

    def render(self) -> bytes:
        """Returns all series in the text format."""
        for counter in (
            self.answers,
            self.retries,
            self.slot_offers,
            self.store_calls,
            self.unreadable,
            self._quota_decisions,
            self._over_quota,
            self._quota_pulls,
            self.refused_bodies,
            self.failed_tasks,
        ):
            counter.export()
        for latency in (self._entry, self._queue, self._target):
            latency.export()
        content, _ = render(self._registry, ["text/plain"])
        return bytes(content)

    def _counter(self, name: str, text: str) -> Counter:
        return Counter(CounterSeries(name, text, registry=self._registry))

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(GaugeSeries(name, text, registry=self._registry))

    def _latency(self, name: str, text: str) -> _Latency:
        return _Latency(self._registry, name, text)
