"""Distribution: how a node learns, checks and applies versions."""

from guavawing.distribution.keeper import (
    Applied,
    ApplyResult,
    Rejected,
    Version,
    VersionKeeper,
)

__all__ = ["Applied", "ApplyResult", "Rejected", "Version", "VersionKeeper"]
