"""Measures the worth share of load patterns in the simulated fleet."""

from bench.figure import Figure
from bench.fleet_model import simulate
from bench.fleet_patterns import PATTERNS
from bench.fleet_report import compute_worth_share

__all__ = ["run"]

SEED = 1


async def run() -> list[Figure]:
    """Simulates each pattern once."""
    return [
        Figure(
            f"{pattern.name}-worth",
            compute_worth_share(pattern, simulate(pattern, seed=SEED)),
            "of 1",
        )
        for pattern in PATTERNS
    ]
