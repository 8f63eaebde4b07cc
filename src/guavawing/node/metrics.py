"""Counters and gauges of a node, in the Prometheus text format."""

from aioprometheus import Counter, Gauge, Registry
from aioprometheus.renderer import render

from guavawing.verdict import Reason, Verdict, verdict_name

__all__ = ["Metrics"]


class Metrics:
    """Every series that a node exposes."""

    def __init__(self) -> None:
        self._registry = Registry()
        self.calls = self._counter(
            "guavawing_calls_total", "Calls answered, by verdict."
        )
        self.refusals = self._counter(
            "guavawing_refusals_total",
            "Calls answered without a target's answer, by reason.",
        )
        self.retries = self._counter(
            "guavawing_retries_total",
            "Attempts after the first one, by reason of the one before.",
        )
        self.owner_refusals = self._counter(
            "guavawing_owner_refusals_total",
            "Attempts refused beside the target, by reason.",
        )
        self.rejections = self._counter(
            "guavawing_config_rejections_total",
            "Configuration versions kept out.",
        )
        self.fetch_faults = self._counter(
            "guavawing_fetch_faults_total",
            "Fetches of a version that brought none, by reason.",
        )
        self.pulls_answered = self._counter(
            "guavawing_pulls_answered_total",
            "Pulls of other nodes, by what was answered.",
        )
        self.control_bytes = self._counter(
            "guavawing_control_bytes_total",
            "Bytes of control traffic, by direction, kind and whether they"
            " crossed data centres.",
        )
        self.version = self._gauge(
            "guavawing_config_version", "Configuration version in force."
        )
        self.members = self._gauge(
            "guavawing_members", "Members known, by state."
        )
        self.running = self._gauge(
            "guavawing_target_running", "Calls running at the target."
        )
        self.queued = self._gauge(
            "guavawing_target_queued", "Calls waiting for the target."
        )

    def count_call(self, verdict: Verdict) -> None:
        """Counts a call that was answered with `verdict`."""
        self.calls.inc({"verdict": verdict_name(verdict)})
        if verdict.reason is not Reason.SERVED:
            self.refusals.inc({"reason": str(verdict.reason)})

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Returns the exposition text and its HTTP headers."""
        payload, headers = render(self._registry, ["text/plain"])
        return payload, dict(headers)

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(name, doc, registry=self._registry)

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(name, doc, registry=self._registry)
