"""Figures: measured values with optional bounds."""

import operator

import attrs

__all__ = ["Figure"]


@attrs.frozen
class Figure:
    """A measured value.

    Attributes:
        name: Name of the figure, without blanks.
        value: The value.
        unit: Its unit.
        bound: Bound from a stated objective; None if there is none.
        at_least: Whether the bound is a lower bound.
    """

    name: str
    value: float
    unit: str
    bound: float | None = None
    at_least: bool = False

    @property
    def over(self) -> bool:
        """Whether the value violates its bound."""
        if self.bound is None:
            return False
        breaks = operator.lt if self.at_least else operator.gt
        return bool(breaks(self.value, self.bound))

    def __str__(self) -> str:
        bound = "-" if self.bound is None else f"{self.bound:g}"
        state = "over" if self.over else "ok"
        return f"{self.name} {self.value:.4g} {self.unit} bound {bound} {state}"
