"""Helpers that several step files share."""

import uuid

from guavawing.config import Document
from guavawing.model import parse_address
from guavawing.platform import Head, fetch_head, publish_document
from guavawing.platform.client import open_platform
from standins.cluster import Fleet


async def publish(
    fleet: Fleet, document: Document, *, base: int, change_id: str = ""
) -> Head:
    """Publishes a document through the platform of a fleet."""
    async with open_platform(parse_address(fleet.platform)) as platform:
        return await publish_document(
            platform,
            document,
            change_id=change_id or uuid.uuid4().hex,
            base_version=base,
            author="tests",
        )


async def read_newest(fleet: Fleet) -> int:
    """Returns the number of the newest version on a fleet's platform."""
    async with open_platform(parse_address(fleet.platform)) as platform:
        return (await fetch_head(platform)).version
