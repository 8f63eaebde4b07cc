"""Sample configuration documents for demos, tests and benchmarks."""

import datetime
from collections.abc import Sequence
from typing import Any

from guavawing.config import (
    Capacity,
    Defaults,
    Document,
    ExceptionEntry,
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


def make_chain_document(services: Sequence[str]) -> Document:
    """Returns a document in which each service has one idempotent route."""
    return Document(
        defaults=Defaults(deadline_ms=10_000),
        limit_classes={"small": LimitClass(slots=10, connections=110)},
        capacity={"small": Capacity(2, 10, 110)},
        services={name: ServiceEntry("small") for name in services},
        routes={
            name: Route(name, "GET", "/", idempotent=True) for name in services
        },
    )


def make_fleet_document(
    *, services: int, routes_each: int = 3, exceptions: int = 100
) -> Document:
    """Returns a document as large as that of a production fleet.

    Args:
        services: Number of services.
        routes_each: Routes per service, one of them not idempotent.
        exceptions: Number of exceptions, distributed over the services in
            turn.
    """
    names = [f"service-{number:04d}" for number in range(services)]
    routes = {}
    for name in names:
        for number in range(routes_each):
            is_write = number == 0
            routes[f"{name}-route-{number}"] = Route(
                name,
                "POST" if is_write else "GET",
                f"/v1/collection-{number}/items",
                idempotent=not is_write,
                call_class=CallClass.NORMAL if is_write else CallClass.URGENT,
                deadline_ms=2_000 + number,
            )
    return Document(
        limit_classes={"small": LimitClass(slots=10, connections=110)},
        capacity={"small": Capacity(2, 10, 110)},
        services=dict.fromkeys(names, ServiceEntry("small")),
        routes=routes,
        exceptions={
            f"exception-{number:03d}": ExceptionEntry(
                service=names[number % services],
                setting="queue_limit",
                value=20 + number,
                reason="the disks of these machines are slower until May",
                owner="platform team",
                ends=datetime.date(2027, 5, 31),
            )
            for number in range(exceptions)
        },
    )


def make_exception(**fields: Any) -> ExceptionEntry:
    """Returns an exception for the queue limit of `desk`.

    Args:
        **fields: Fields that replace the default ones.
    """
    fields = {
        "service": "desk",
        "setting": "queue_limit",
        "value": 9,
        "reason": "r",
        "owner": "o",
    } | fields
    return ExceptionEntry(**fields)
