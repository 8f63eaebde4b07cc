"""Share of a service's answers that are failures of its targets.

Where one target fails, another attempt helps. Where all of them fail, for
instance because what they call has no room, each attempt takes a slot and
makes its own calls, and so adds to the overload that it fails from.
"""

__all__ = ["FailureShare"]

# Weight of the newest answer in the share.
WEIGHT = 0.02
# Share from which on failures are taken for common: one in seven targets that
# fails half of its requests stays below.
COMMON_SHARE = 0.12


class FailureShare:
    """Shares by service."""

    __slots__ = ("_shares",)

    def __init__(self) -> None:
        self._shares: dict[str, float] = {}

    def observe(self, service: str, *, failed: bool) -> None:
        """Takes an answer of a target."""
        share = self._shares.get(service, 0.0)
        self._shares[service] = share + WEIGHT * (failed - share)

    def are_common(self, service: str) -> bool:
        """Returns whether another attempt would likely fail as well."""
        return self._shares.get(service, 0.0) > COMMON_SHARE
