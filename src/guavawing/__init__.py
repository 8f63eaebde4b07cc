"""Configuration distribution and call routing for a service mesh."""

from guavawing.errors import GuavawingError
from guavawing.verdict import MayHaveRun, NotRun, Ran, Reason, Verdict

__all__ = [
    "GuavawingError",
    "MayHaveRun",
    "NotRun",
    "Ran",
    "Reason",
    "Verdict",
]
