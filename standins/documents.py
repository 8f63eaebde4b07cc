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


def make_large_document(services: int = 820, *, routes: int = 4) -> Document:
    """Returns a document of a whole fleet.

    Args:
        services: Number of services.
        routes: Routes of each service.
    """
    names = [f"service-{index:03}" for index in range(services)]
    methods = ("GET", "POST", "DELETE", "PUT")
    table = {
        f"{name}-route-{index}": Route(
            name,
            methods[index % len(methods)],
            f"/resources/{index}",
            idempotent=methods[index % len(methods)] == "GET",
            deadline_ms=1_000 + index,
        )
        for name in names
        for index in range(routes)
    }
    return Document(
        defaults=Defaults(deadline_ms=10_000),
        limit_classes={"small": LimitClass(slots=10, connections=110)},
        capacity={"small": Capacity(2, 10, 110)},
        services={name: ServiceEntry("small") for name in names},
        routes=table,
    )
