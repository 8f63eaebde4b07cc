"""Calls for which a layer below has used up its retries.

A service that makes calls on behalf of a call passes the call's id on. When
such a call is given up, the node beside the service notes the id. If the
service then breaks its own answer off, the flag of the layer below is lost
with it; the note takes its place, so that no layer above tries again.
"""

from collections import OrderedDict

__all__ = ["SpentCalls"]

MAX_IDS = 4_096


class SpentCalls:
    """Ids of calls, the oldest forgotten first."""

    __slots__ = ("_ids", "_max_ids")

    def __init__(self, *, max_ids: int = MAX_IDS) -> None:
        self._ids: OrderedDict[str, None] = OrderedDict()
        self._max_ids = max_ids

    def __contains__(self, call_id: str) -> bool:
        return call_id in self._ids

    def add(self, call_id: str) -> None:
        """Notes that a call made on behalf of `call_id` was given up."""
        self._ids[call_id] = None
        self._ids.move_to_end(call_id)
        if len(self._ids) > self._max_ids:
            self._ids.popitem(last=False)
