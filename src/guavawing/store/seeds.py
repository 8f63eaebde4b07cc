"""Seed rows: members of each data centre in the platform's table.

A data centre has up to `SEEDS_PER_DATA_CENTRE` rows. A row has a member's id,
gossip address and data centre, but no timestamp: a reader determines from its
member table whether the row is stale. The row of a member that is alive is
therefore not rewritten.
"""

from typing import Any

import attrs

from guavawing.errors import InvalidArgumentError
from guavawing.model import Address, MemberId, parse_address
from guavawing.store.client import Row, Write
from guavawing.store.conditional import log_unreadable_row, write_if_unchanged
from guavawing.store.store import PlatformStore

__all__ = ["SEEDS_PER_DATA_CENTRE", "Seed", "fetch_seeds", "write_seed"]

SEED_TABLE = "seeds"
SEEDS_PER_DATA_CENTRE = 5


@attrs.frozen
class Seed:
    """One seed row.

    Attributes:
        data_centre: Data centre of the row.
        slot: Index of the row within its data centre.
        member_id: Id of the member.
        control: Gossip address of the member.
        revision: Revision of the row; 0 if there is none yet.
    """

    data_centre: str
    slot: int
    member_id: MemberId
    control: Address
    revision: int


async def fetch_seeds(platform: PlatformStore) -> list[Seed]:
    """Returns the valid seed rows of all data centres.

    Raises:
        PlatformUnavailableError: If the platform gives no usable answer.
    """
    rows = await platform.scan_rows(SEED_TABLE)
    seeds = (_decode_seed(row) for row in rows)
    return [seed for seed in seeds if seed is not None]


async def write_seed(platform: PlatformStore, seed: Seed) -> bool:
    """Writes a seed if the stored revision of its row is unchanged.

    Returns:
        Whether the write was confirmed.
    """
    value: dict[str, Any] = {
        "data_centre": seed.data_centre,
        "slot": seed.slot,
        "member_id": seed.member_id,
        "control": str(seed.control),
    }
    key = f"{seed.data_centre}.{seed.slot}"
    write = Write(SEED_TABLE, key, value, seed.revision)
    return await write_if_unchanged(platform, write)


def _decode_seed(row: Row) -> Seed | None:
    """Returns the seed in a row, or None if it can't be decoded."""
    try:
        return Seed(
            str(row.value["data_centre"]),
            int(row.value["slot"]),
            str(row.value["member_id"]),
            parse_address(str(row.value["control"])),
            row.revision,
        )
    except (KeyError, TypeError, ValueError, InvalidArgumentError) as exc:
        log_unreadable_row(SEED_TABLE, row, exc)
        return None
