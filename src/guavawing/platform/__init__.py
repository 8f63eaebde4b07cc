"""Access to the platform's table service and object store."""

from guavawing.platform.client import Platform, Row, Write
from guavawing.platform.publisher import publish_document, publish_edit
from guavawing.platform.store import PlatformStore
from guavawing.platform.versions import (
    Change,
    Head,
    fetch_change,
    fetch_document,
    fetch_head,
    fetch_history,
    fetch_version,
    parse_change_id,
)

__all__ = [
    "Change",
    "Head",
    "Platform",
    "PlatformStore",
    "Row",
    "Write",
    "fetch_change",
    "fetch_document",
    "fetch_head",
    "fetch_history",
    "fetch_version",
    "parse_change_id",
    "publish_document",
    "publish_edit",
]
