"""Access to the platform's table service and object store."""

from guavawing.store.client import Platform, Row, Write
from guavawing.store.publisher import publish_document, publish_edit
from guavawing.store.retention import (
    PruneState,
    RetentionRule,
    prune,
)
from guavawing.store.store import PlatformStore
from guavawing.store.versions import (
    Change,
    Head,
    fetch_change,
    fetch_document,
    fetch_head,
    fetch_history,
    fetch_version,
    format_object_name,
    parse_change_id,
)

__all__ = [
    "Change",
    "Head",
    "Platform",
    "PlatformStore",
    "PruneState",
    "RetentionRule",
    "Row",
    "Write",
    "fetch_change",
    "fetch_document",
    "fetch_head",
    "fetch_history",
    "fetch_version",
    "format_object_name",
    "parse_change_id",
    "prune",
    "publish_document",
    "publish_edit",
]
