"""Share of a service's answers that are failures of its targets.

If one target fails, another attempt helps. If all of them fail, for instance
because a service that they call is overloaded, each attempt uses a slot and
makes its own nested calls, and so adds to the overload that causes the failure.
"""

__all__ = ["FailureShare"]

# Weight of the newest answer in the moving share.
WEIGHT = 0.02
# Share above which failures count as common to the service: one of seven
# targets that fails half of its requests stays below.
COMMON_SHARE = 0.12


class FailureShare:
    """Moving shares of failures, by service."""

    __slots__ = ("_shares",)

    def __init__(self) -> None:
        self._shares: dict[str, float] = {}

    def observe(self, service: str, *, failed: bool) -> None:
        """Records an answer of a target."""
        share = self._shares.get(service, 0.0)
        self._shares[service] = share + WEIGHT * (failed - share)

    def are_common(self, service: str) -> bool:
        """Returns whether another attempt is likely to fail as well."""
        return self._shares.get(service, 0.0) > COMMON_SHARE
