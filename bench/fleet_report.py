"""Scores and plots of simulated load patterns."""

import pathlib
from collections.abc import Mapping, Sequence
from statistics import fmean

import pygal

from bench.event_model import find_quantile
from bench.fleet_load import Pattern, Result
from bench.fleet_model import Fleet

__all__ = [
    "compute_worth_share",
    "describe_evenness",
    "plot_latency",
    "plot_worth",
]

# Share of a request's worth that a late answer still has.
LATE_SHARE = 0.3
QUANTILES = (0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99)


def compute_worth_share(
    pattern: Pattern, results: Mapping[str, Result]
) -> float:
    """Returns the worth of the served requests divided by that of all."""
    offered = served = 0.0
    for kind in pattern.kinds:
        result = results[kind.name]
        offered += kind.worth * result.offered
        served += kind.worth * (result.in_time + LATE_SHARE * result.late)
    return served / offered


def describe_evenness(runs: Sequence[Fleet]) -> list[str]:
    """Returns a line for each service and one for the messages."""
    lines = []
    for service in runs[0].evenness:
        each = [fleet.evenness[service] for fleet in runs]
        idle = fmean(one.idle / one.slots for one in each)
        waiting = fmean(one.idle_while_waiting_share for one in each)
        busiest = fmean(one.compute_busiest_ratio() for one in each)
        lines.append(
            f"{service}: idle {idle:.3f}, idle while a request waits"
            f" {waiting:.4f}, busiest over mean {busiest:.2f}"
        )
    attempts = fmean(fleet.attempts for fleet in runs)
    refusals = fmean(fleet.refusals for fleet in runs)
    passed = fmean(fleet.passed for fleet in runs)
    lines.append(
        f"attempts {attempts:.0f}, refusals {refusals:.0f},"
        f" of them passed on {passed:.0f}"
    )
    for kind in runs[0].pattern.kinds:
        elapsed_s = [s for f in runs for s in f.results[kind.name].elapsed_s]
        if elapsed_s:
            lines.append(f"{kind.name}: mean {1000 * fmean(elapsed_s):.0f} ms")
    return lines


def plot_latency(
    pattern: Pattern, results: Mapping[str, Result], path: pathlib.Path
) -> None:
    """Writes a plot of the latency quantiles by kind of request."""
    chart = pygal.Line(
        title=f"Latency: {pattern.name}",
        x_title="share of the served requests",
        y_title="ms",
    )
    chart.x_labels = [f"{share:g}" for share in QUANTILES]
    for kind in pattern.kinds:
        elapsed_s = results[kind.name].elapsed_s
        if elapsed_s:
            times = [find_quantile(elapsed_s, share) for share in QUANTILES]
            chart.add(kind.name, [1000 * time for time in times])
    chart.render_to_file(str(path))


def plot_worth(
    setting: str,
    values: Sequence[str],
    worths: Mapping[str, Sequence[float]],
    path: pathlib.Path,
) -> None:
    """Writes a plot of the worth share of patterns by value of a setting."""
    chart = pygal.Line(title=f"Worth by {setting}", x_title=setting)
    chart.x_labels = list(values)
    for name, series in worths.items():
        chart.add(name, list(series))
    chart.render_to_file(str(path))
