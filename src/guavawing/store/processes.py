"""Process rows: which process under a node's id registered last.

Only processes that suspect another one under their id write a row, so a row
may be missing, or name a process that is long gone.
"""

import attrs

from guavawing.errors import InvalidArgumentError
from guavawing.membership.duplicate import Rank
from guavawing.model import MemberId, parse_address
from guavawing.store.client import Row, Write
from guavawing.store.conditional import log_unreadable, write_if_unchanged
from guavawing.store.store import PlatformStore

__all__ = ["ProcessRow", "fetch_process", "write_process"]

TABLE = "node-processes"


@attrs.frozen
class ProcessRow:
    """The row of one id.

    Attributes:
        member_id: The id.
        rank: Rank of the process that registered last; None if there is
            none, or the row can't be read.
        revision: Revision of the row; 0 if there is none yet.
    """

    member_id: MemberId
    rank: Rank | None
    revision: int


async def fetch_process(
    platform: PlatformStore, member_id: MemberId
) -> ProcessRow:
    """Returns the row of an id.

    Raises:
        PlatformUnavailableError: If the platform gives no usable answer.
    """
    row = await platform.read_row(TABLE, member_id)
    if row is None:
        return ProcessRow(member_id, None, 0)
    return ProcessRow(member_id, _decode_rank(row), row.revision)


async def write_process(platform: PlatformStore, row: ProcessRow) -> bool:
    """Writes a rank into a row that still has the revision of `row`.

    Returns:
        Whether the row is known to be written.
    """
    assert row.rank is not None
    value = {
        "incarnation": row.rank.incarnation,
        "control": str(row.rank.control),
    }
    write = Write(TABLE, row.member_id, value, row.revision)
    return await write_if_unchanged(platform, write)


def _decode_rank(row: Row) -> Rank | None:
    """Returns the rank in a row, or None if the row can't be read."""
    try:
        return Rank(
            int(row.value["incarnation"]),
            parse_address(str(row.value["control"])),
        )
    except (KeyError, TypeError, ValueError, InvalidArgumentError) as exc:
        log_unreadable(TABLE, row, exc)
        return None
