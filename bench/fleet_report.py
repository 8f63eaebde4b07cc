"""Scores and plots of simulated load patterns."""

import pathlib
from collections.abc import Mapping, Sequence

import pygal

from bench.event_model import find_quantile
from bench.fleet_load import Pattern, Result

__all__ = ["compute_worth_share", "plot_latency", "plot_worth"]

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
