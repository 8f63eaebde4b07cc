"""Calls for which a lower layer has given up retrying.

A service that makes nested calls propagates the id of the call it serves.
When a nested call is given up, the node beside the service records that id.
If the service then aborts its own answer, the `budget_spent` flag of the lower
layer is lost; the record replaces it, so that no layer above retries.
"""

from collections import OrderedDict

__all__ = ["SpentCalls"]

MAX_IDS = 4_096


class SpentCalls:
    """Bounded set of call ids; the oldest are removed first."""

    __slots__ = ("_ids", "_max_ids")

    def __init__(self, *, max_ids: int = MAX_IDS) -> None:
        self._ids: OrderedDict[str, None] = OrderedDict()
        self._max_ids = max_ids

    def __contains__(self, call_id: str) -> bool:
        return call_id in self._ids

    def add(self, call_id: str) -> None:
        """Records that a nested call of `call_id` was given up."""
        self._ids[call_id] = None
        self._ids.move_to_end(call_id)
        if len(self._ids) > self._max_ids:
            self._ids.popitem(last=False)
