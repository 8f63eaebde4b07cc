"""Simulates load patterns with different values of a policy constant.

python -m bench.fleet_experiment balancer.COMPARED_OWNERS 2 3 5
"""

import contextlib
import importlib
import pathlib
from collections.abc import Iterator
from types import ModuleType

import click

from bench.fleet_model import simulate
from bench.fleet_patterns import PATTERNS
from bench.fleet_report import (
    compute_worth_share,
    describe_evenness,
    plot_latency,
    plot_worth,
)

__all__ = ["main"]

PACKAGE = "guavawing.traffic"
NAMES = [pattern.name for pattern in PATTERNS]


@contextlib.contextmanager
def override(module: ModuleType, name: str, value: float) -> Iterator[None]:
    """Overrides a module constant for the duration of the context."""
    before = getattr(module, name)
    setattr(module, name, type(before)(value))
    try:
        yield
    finally:
        setattr(module, name, before)


def find_constant(setting: str) -> tuple[ModuleType, str]:
    """Returns the module and the name of `MODULE.CONSTANT`."""
    module_name, _, name = setting.partition(".")
    try:
        module = importlib.import_module(f"{PACKAGE}.{module_name}")
        value = getattr(module, name)
    except (AttributeError, ImportError) as exc:
        raise click.BadParameter(f"{setting!r} is not in {PACKAGE}") from exc
    if not isinstance(value, int | float):
        raise click.BadParameter(f"{setting!r} is not a number")
    return module, name


@click.command()
@click.argument("setting")
@click.argument("values", nargs=-1, required=True, type=float)
@click.option("--pattern", "names", multiple=True, type=click.Choice(NAMES))
@click.option("--seeds", default=2, show_default=True, help="Runs of each.")
@click.option(
    "--plots",
    default="build/plots",
    show_default=True,
    type=click.Path(path_type=pathlib.Path, file_okay=False),
)
def main(
    setting: str,
    values: tuple[float, ...],
    names: tuple[str, ...],
    seeds: int,
    plots: pathlib.Path,
) -> None:
    """Simulates patterns with each of VALUES of SETTING, `MODULE.CONSTANT`.

    Prints the mean worth share of each and the evenness of the load, and
    writes plots as SVG files.

    Example: python -m bench.fleet_experiment balancer.COMPARED_OWNERS 2 3 5
    """
    module, name = find_constant(setting)
    plots.mkdir(parents=True, exist_ok=True)
    worths: dict[str, list[float]] = {}
    for pattern in PATTERNS:
        if names and pattern.name not in names:
            continue
        series = worths.setdefault(pattern.name, [])
        for value in values:
            with override(module, name, value):
                runs = [simulate(pattern, seed=seed) for seed in range(seeds)]
            shares = [
                compute_worth_share(pattern, fleet.results) for fleet in runs
            ]
            series.append(sum(shares) / len(shares))
            click.echo(f"{pattern.name} {setting}={value:g} {series[-1]:.4f}")
            for line in describe_evenness(runs):
                click.echo(f"    {line}")
            stem = f"{pattern.name}-{setting}-{value:g}"
            plot_latency(pattern, runs[0].results, plots / f"{stem}.svg")
    labels = [f"{value:g}" for value in values]
    plot_worth(setting, labels, worths, plots / f"{setting}.svg")


if __name__ == "__main__":
    main()
