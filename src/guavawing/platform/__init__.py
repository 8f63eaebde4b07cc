"""Access to the platform's table service and object store."""

from guavawing.platform.client import Platform, Row, Write
from guavawing.platform.publisher import (
    Head,
    fetch_document,
    fetch_head,
    publish_document,
)

__all__ = [
    "Head",
    "Platform",
    "Row",
    "Write",
    "fetch_document",
    "fetch_head",
    "publish_document",
]
