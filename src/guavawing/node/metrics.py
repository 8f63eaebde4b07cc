"""Counters and gauges of a node, in the Prometheus text format.

A call increments several counters, and the lookup of a labelled series in
aioprometheus takes longer than the rest of the bookkeeping of a call. Values
are therefore kept in plain dictionaries, and exported to aioprometheus only
on a scrape.
"""

from collections.abc import Mapping

from aioprometheus import Counter as CounterSeries
from aioprometheus import Gauge as GaugeSeries
from aioprometheus import Registry
from aioprometheus.renderer import render

from guavawing.verdict import Reason, Verdict, verdict_name

__all__ = ["Counter", "Gauge", "Metrics"]

Labels = Mapping[str, str]


class Counter:
    """A monotonic counter for each set of labels."""

    __slots__ = ("_series", "_values")

    def __init__(self, series: CounterSeries) -> None:
        self._series = series
        self._values: dict[tuple[tuple[str, str], ...], float] = {}

    def inc(self, labels: Labels) -> None:
        """Adds one."""
        self.add(labels, 1)

    def add(self, labels: Labels, amount: float) -> None:
        """Adds an amount."""
        key = tuple(labels.items())
        self._values[key] = self._values.get(key, 0) + amount

    def get(self, labels: Labels) -> float:
        """Returns the value for `labels`; 0 if it was never incremented."""
        return self._values.get(tuple(labels.items()), 0)

    def export(self) -> None:
        """Copies the values to the aioprometheus series."""
        for key, value in self._values.items():
            self._series.set(dict(key), value)


class Gauge:
    """The newest value for each set of labels."""

    __slots__ = ("_series",)

    def __init__(self, series: GaugeSeries) -> None:
        self._series = series

    def set(self, labels: Labels, value: float) -> None:
        """Sets the value for `labels`."""
        self._series.set(dict(labels), value)


class Metrics:
    """All series that a node exposes."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._counters: list[Counter] = []
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
        self.refused_connections = self._counter(
            "guavawing_refused_connections_total",
            "Connections closed by a bound, by listener and reason.",
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
        self.dropped_datagrams = self._counter(
            "guavawing_dropped_datagrams_total",
            "Membership datagrams not read, by reason.",
        )
        self.duplicate_process_checks = self._counter(
            "guavawing_rival_checks_total",
            "Checks for a second process under this node's id, by outcome.",
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
        self.abandoned = self._gauge(
            "guavawing_target_abandoned",
            "Calls running at the target that no caller waits for.",
        )
        self.queued = self._gauge(
            "guavawing_target_queued", "Calls waiting for the target."
        )

    def count_call(self, verdict: Verdict) -> None:
        """Counts a call that ended with `verdict`."""
        self.calls.inc({"verdict": verdict_name(verdict)})
        if verdict.reason is not Reason.SERVED:
            self.refusals.inc({"reason": str(verdict.reason)})

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Returns the exposition text and its HTTP headers."""
        for counter in self._counters:
            counter.export()
        payload, headers = render(self._registry, ["text/plain"])
        return payload, dict(headers)

    def _counter(self, name: str, doc: str) -> Counter:
        series = CounterSeries(name, doc, registry=self._registry)
        counter = Counter(series)
        self._counters.append(counter)
        return counter

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(GaugeSeries(name, doc, registry=self._registry))
