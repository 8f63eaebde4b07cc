"""Worth of the load patterns of a fleet of sidecars, in the model."""

from bench.figure import Figure
from bench.fleet_model import simulate
from bench.fleet_patterns import PATTERNS
from bench.fleet_report import compute_worth_share

__all__ = ["run"]

SEED = 1


async def run() -> list[Figure]:
    """Plays each pattern once."""
    return [
        Figure(
            f"{pattern.name}-worth",
            compute_worth_share(pattern, simulate(pattern, seed=SEED)),
            "of 1",
        )
        for pattern in PATTERNS
    ]
