"""Versions that the steps of configuration distribution publish."""

import attrs

from guavawing.config import compute_digest, encode_document
from guavawing.config.document import Route
from guavawing.distribution import VersionId
from standins.documents import make_newsroom_document


def make_payload(number):
    """Returns the payload of a valid version."""
    document = make_newsroom_document()
    defaults = attrs.evolve(
        document.defaults, deadline_ms=1_000 + number % 10_000
    )
    # Each version adds, removes and changes one entry.
    routes = {
        f"extra-{index}": Route(
            "desk", "GET", f"/extra/{index}/{number % 3}", idempotent=True
        )
        for index in ((number + step) % 5 for step in range(3))
    }
    document = attrs.evolve(
        document, defaults=defaults, routes=routes | document.routes
    )
    return encode_document(document)


def make_invalid_payload(number):
    """Returns a payload with a route to a service that does not exist."""
    document = make_newsroom_document()
    route = Route(f"missing-{number}", "GET", "/", idempotent=True)
    routes = document.routes | {"astray": route}
    return encode_document(attrs.evolve(document, routes=routes))


def make_version(number, payload=None):
    payload = payload or make_payload(number)
    return VersionId(number, compute_digest(number, payload))
