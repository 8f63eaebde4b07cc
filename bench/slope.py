"""Slopes: measured costs per unit, recorded as data in bench/slopes.

Each benchmark writes the slopes that it measures; docs/CAPACITY.md is computed
from the files.
"""

import pathlib
from collections.abc import Iterable

import attrs
import orjson

__all__ = ["Slope", "read_slopes", "write_slopes"]

FOLDER = pathlib.Path(__file__).parent / "slopes"


@attrs.frozen
class Slope:
    """A measured cost per unit.

    Attributes:
        name: Name, unique among all files.
        value: Cost per unit.
        unit: Unit, such as `us/call`.
        command: Command that measures it.
    """

    name: str
    value: float
    unit: str
    command: str


def read_slopes() -> dict[str, Slope]:
    """Returns every recorded slope by name."""
    slopes: dict[str, Slope] = {}
    for path in sorted(FOLDER.glob("*.json")):
        for entry in orjson.loads(path.read_bytes()):
            slope = Slope(**entry)
            if slope.name in slopes:
                raise ValueError(f"duplicate slope {slope.name}")
            slopes[slope.name] = slope
    return slopes


def write_slopes(file: str, slopes: Iterable[Slope]) -> None:
    """Records the slopes of one benchmark in `bench/slopes/FILE.json`."""
    payload = orjson.dumps(
        [attrs.asdict(slope) for slope in slopes],
        option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE,
    )
    (FOLDER / f"{file}.json").write_bytes(payload)
