"""Runs benchmarks: `python -m bench [NAME...]`.

A benchmark is a module `bench.measure_NAME` with a coroutine function `run`
that returns a list of figures.
"""

import asyncio
import importlib
import pathlib
import sys

import click

from bench.figure import Figure

FOLDER = pathlib.Path(__file__).parent
PREFIX = "measure_"


def find_benchmarks() -> list[str]:
    """Returns the names of all benchmarks."""
    paths = sorted(FOLDER.glob(f"{PREFIX}*.py"))
    return [path.stem.removeprefix(PREFIX) for path in paths]


@click.command()
@click.argument("names", nargs=-1, type=click.Choice(find_benchmarks()))
def main(names: tuple[str, ...]) -> None:
    """Runs the benchmarks NAMES, or all of them.

    Prints a line per figure and ends with exit code 1 when one is over its
    bound.

    Example: python -m bench latency
    """
    figures: list[Figure] = []
    for name in names or find_benchmarks():
        module = importlib.import_module(f"bench.{PREFIX}{name}")
        for figure in asyncio.run(module.run()):
            print(figure, flush=True)
            figures.append(figure)
    sys.exit(1 if any(figure.over for figure in figures) else 0)


if __name__ == "__main__":
    main()
