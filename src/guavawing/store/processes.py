"""Process rows: the process that registered last under a node id.

A process writes a row only if it suspects a duplicate process with its id. So
a row may be missing, or name a process that has ended.
"""

import attrs

from guavawing.errors import InvalidArgumentError
from guavawing.membership.duplicate import Rank
from guavawing.model import MemberId, parse_address
from guavawing.store.client import Row, Write
from guavawing.store.conditional import log_unreadable_row, write_if_unchanged
from guavawing.store.store import PlatformStore

__all__ = ["ProcessRow", "fetch_process", "write_process"]

TABLE = "node-processes"


@attrs.frozen
class ProcessRow:
    """The process row of one id.

    Attributes:
        member_id: The id.
        rank: Rank of the process that registered last; None if there is
            no row, or it can't be decoded.
        revision: Revision of the row; 0 if there is none yet.
    """

    member_id: MemberId
    rank: Rank | None
    revision: int


async def fetch_process(
    platform: PlatformStore, member_id: MemberId
) -> ProcessRow:
    """Returns the process row of an id.

    Raises:
        PlatformUnavailableError: If the platform gives no usable answer.
    """
    row = await platform.read_row(TABLE, member_id)
    if row is None:
        return ProcessRow(member_id, None, 0)
    return ProcessRow(member_id, _decode_rank(row), row.revision)


async def write_process(platform: PlatformStore, row: ProcessRow) -> bool:
    """Writes the rank of `row` if its stored revision is unchanged.

    Returns:
        Whether the write was confirmed.
    """
    assert row.rank is not None
    value = {
        "incarnation": row.rank.incarnation,
        "control": str(row.rank.control),
    }
    write = Write(TABLE, row.member_id, value, row.revision)
    return await write_if_unchanged(platform, write)


def _decode_rank(row: Row) -> Rank | None:
    """Returns the rank in a row, or None if it can't be decoded."""
    try:
        return Rank(
            int(row.value["incarnation"]),
            parse_address(str(row.value["control"])),
        )
    except (KeyError, TypeError, ValueError, InvalidArgumentError) as exc:
        log_unreadable_row(TABLE, row, exc)
        return None
