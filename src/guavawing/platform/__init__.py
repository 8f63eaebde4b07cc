"""Access to the platform's table service and object store."""

from guavawing.platform.client import Platform, Row, Write
from guavawing.platform.publisher import publish_document, publish_edit
from guavawing.platform.retention import (
    PruneState,
    RetentionRule,
    prune,
)
from guavawing.platform.store import PlatformStore
from guavawing.platform.versions import (
    Change,
    Head,
    fetch_change,
    fetch_document,
    fetch_head,
    fetch_history,
    fetch_version,
    name_object,
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
    "name_object",
    "parse_change_id",
    "prune",
    "publish_document",
    "publish_edit",
]
