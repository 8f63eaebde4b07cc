"""Tokens of client accounts that an entry node holds for a short time.

`now` is the event loop's time in seconds.
"""

import math

import attrs

from guavawing.traffic.quota_bucket import DEMAND_S, ROUNDING

__all__ = ["TokenStock"]


@attrs.define
class _Stock:
    tokens: float = 0.0
    expires_at: float = 0.0
    used_per_s: float = 0.0
    used_at: float = 0.0
    refused_until: float = 0.0
    available_at: float = 0.0
    usage: float = 0.0


class TokenStock:
    """Tokens that an entry node has received and not used yet."""

    def __init__(self) -> None:
        self._stocks: dict[str, _Stock] = {}

    def clear(self) -> None:
        """Drops all tokens and refusals."""
        self._stocks.clear()

    def take(self, account: str, *, now: float) -> float | None:
        """Uses a token; returns when it would have expired, None without one.

        Args:
            account: Name of the account.
            now: Event loop's time, in seconds.
        """
        stock = self._stocks.setdefault(account, _Stock(used_at=now))
        elapsed_s = now - stock.used_at
        stock.used_per_s *= math.exp(-elapsed_s / DEMAND_S)
        stock.used_per_s += 1 / DEMAND_S
        stock.used_at = now
        if now >= stock.expires_at or stock.tokens < 1 - ROUNDING:
            return None
        stock.tokens -= 1
        return stock.expires_at

    def find_wanted(self, account: str, *, lifetime_s: float) -> int:
        """Returns the tokens that are likely to be used in half a lifetime."""
        stock = self._stocks.get(account)
        return 0 if stock is None else int(stock.used_per_s * lifetime_s / 2)

    def add(
        self,
        account: str,
        tokens: float,
        *,
        expires_at: float,
        usage: float = 0.0,
        now: float,
    ) -> None:
        """Adds tokens that expire at a time.

        Args:
            account: Name of the account.
            tokens: Tokens for later requests.
            expires_at: Event loop's time at which they expire.
            usage: Recent demand of the account relative to its share.
            now: Event loop's time, in seconds.
        """
        if tokens <= 0 or now >= expires_at:
            return
        stock = self._stocks.setdefault(account, _Stock(used_at=now))
        if stock.tokens <= 0 or now >= stock.expires_at:
            stock.tokens, stock.expires_at = tokens, expires_at
        else:
            stock.tokens += tokens
            stock.expires_at = min(stock.expires_at, expires_at)
        stock.usage = usage

    def find_usage(self, account: str) -> float:
        """Returns the usage that came with the last tokens."""
        stock = self._stocks.get(account)
        return 0.0 if stock is None else stock.usage

    def refuse(
        self, account: str, *, until: float, available_at: float
    ) -> None:
        """Records a refusal of the holder.

        Args:
            account: Name of the account.
            until: Event loop's time until which the holder isn't asked again.
            available_at: Time at which it expects to have a token.
        """
        stock = self._stocks.get(account)
        if stock is not None:
            stock.refused_until = until
            stock.available_at = available_at

    def find_refusal_s(self, account: str, *, now: float) -> float | None:
        """Returns the time until a token is expected; None if unknown.

        It is known for a short time after a refusal of the holder.
        """
        stock = self._stocks.get(account)
        if stock is None or now >= stock.refused_until:
            return None
        return stock.available_at - now
