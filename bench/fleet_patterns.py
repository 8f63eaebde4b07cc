"""Load patterns of a simulated fleet, named after their load or fault."""

from bench.fleet_load import Fault, Kind, Moments, Pattern, Wave

__all__ = ["PATTERNS"]

# Traffic of a newsroom: reads that call another service, publications, pulls
# and withdrawals.
KINDS = (
    Kind(
        "read",
        "desk",
        5.4,
        0.18,
        0.8,
        0.77,
        3.0,
        2,
        calls=("check", 2, 0.7),
    ),
    Kind("publish", "desk", 1.9, 0.24, 0.5, 0.81, 5.0, 1, worth=2.0),
    Kind("pull", "feed", 0.87, 0.15, 0.5, 1.16, 4.0, 2),
    Kind("withdraw", "feed", 0.74, 0.15, 0.5, 0.66, 3.0, 2),
    Kind("check", "feed", 0.0, 0.046, 0.5, 0.25, 0.6, 0, worth=0.0),
)
SPEEDS = (0.6, 1.0, 1.4)


def _make(name: str, rate: float, *faults: Fault) -> Pattern:
    return Pattern(
        name=name,
        owners={"desk": 19, "feed": 5},
        slots=5,
        speeds=SPEEDS,
        kinds=KINDS,
        rate=rate,
        faults=faults,
    )


# Traffic of a record search: searches that call the archive, holds that must
# not run twice, and uploads into the archive.
SEARCH_KINDS = (
    Kind(
        "search",
        "lookup",
        5.39,
        0.167,
        0.3,
        0.736,
        3.33,
        2,
        calls=("fetch", 2, 0.7),
    ),
    Kind("hold", "lookup", 1.87, 0.222, 0.5, 0.77, 5.63, 1, worth=2.0),
    Kind("upload", "archive", 0.824, 0.2, 0.3, 1.09, 7.49, 1, worth=2.0),
    Kind("fetch", "archive", 0.0, 0.05, 0.5, 0.29, 0.67, 1, worth=0.0),
)
UNEVEN_SPEEDS = (0.7, 0.5, 1.7, 1.0, 1.5)


def make_uneven(name: str, rate: float, swing: float) -> Pattern:
    """Returns a pattern of targets of unequal and changing speeds."""
    return Pattern(
        name=name,
        owners={"lookup": 20, "archive": 5},
        slots=5,
        speeds=UNEVEN_SPEEDS,
        kinds=SEARCH_KINDS,
        rate=rate,
        wave=Wave(swing, 17.0) if swing else None,
        moments=Moments(0.15, 2.5, 0.6),
    )


PATTERNS = (
    _make("usual", 700.0),
    _make("near-full", 850.0),
    _make("twice-the-usual", 1_400.0),
    _make(
        "slow-targets",
        700.0,
        Fault("desk", 0.15, 5.0, 8.0, slowdown=4.5),
        Fault("feed", 0.15, 5.0, 8.0, slowdown=4.5),
    ),
    _make("refusing-feed", 700.0, Fault("feed", 1.0, 5.0, 8.0, refused=0.55)),
    _make("limited-desk", 500.0, Fault("desk", 0.7, 5.0, 8.0, limit_per_s=2.0)),
    make_uneven("uneven-targets", 650.0, 0.0),
    make_uneven("uneven-targets-in-a-wave", 800.0, 0.55),
    _make(
        "cold-after-a-power-loss",
        700.0,
        Fault("desk", 0.6, 5.0, 3.0, slowdown=2.0),
        Fault("feed", 0.6, 5.0, 3.0, slowdown=2.0),
    ),
)
