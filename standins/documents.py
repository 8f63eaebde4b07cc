"""Configuration documents for demos, tests and benchmarks."""

from guavawing.config import (
    Capacity,
    Defaults,
    Document,
    LimitClass,
    Route,
    ServiceEntry,
)
from guavawing.model import CallClass


def make_newsroom_document() -> Document:
    """Returns a document with two services, `desk` and `feed`."""
    return Document(
        defaults=Defaults(deadline_ms=10_000),
        limit_classes={"small": LimitClass(slots=10, connections=110)},
        capacity={"small": Capacity(2, 10, 110)},
        services={
            "desk": ServiceEntry("small"),
            "feed": ServiceEntry("small"),
        },
        routes={
            "desk-read": Route("desk", "GET", "/", idempotent=True),
            "desk-publish": Route(
                "desk", "POST", "/bulletins", idempotent=False
            ),
            "desk-withdraw": Route(
                "desk", "DELETE", "/bulletins", idempotent=False
            ),
            "feed-pull": Route(
                "feed",
                "GET",
                "/packages",
                idempotent=True,
                call_class=CallClass.BULK,
            ),
            "feed-rights": Route(
                "feed",
                "GET",
                "/rights",
                idempotent=True,
                call_class=CallClass.URGENT,
                deadline_ms=1_000,
            ),
            "feed-publish": Route(
                "feed", "POST", "/packages", idempotent=False
            ),
        },
    )
