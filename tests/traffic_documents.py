"""Builds small configurations of the platform for steps about routes."""

import json

from guavawing.platform.routing import decode_routing

__all__ = ["SERVICE", "make_route", "make_routing"]

SERVICE = {"healthCheckPath": "/health", "maxConnections": 110}


def make_routing(routes, version=1):
    """Returns a decoded configuration with the routes."""
    document = {
        "version": version,
        "routes": routes,
        "services": {"one": SERVICE, "two": SERVICE},
        "limits": {"idleTimeoutMs": 15000},
    }
    return decode_routing(json.dumps(document).encode())


def make_route(host, prefix, **options):
    """Returns a route in the operator's format."""
    return {"host": host, "prefix": prefix, "type": "safe", **options}
