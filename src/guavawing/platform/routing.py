"""Decoding of the configuration that the operator writes to the store.

The store holds the keys of client accounts in plain text. Only their digests
are kept and sent to other nodes.
"""

from typing import Any

import orjson

from guavawing.errors import MessageInvalidError
from guavawing.traffic.accounts import digest_key
from guavawing.traffic.model import (
    ClientAccount,
    ClientLimits,
    Route,
    Routing,
    ServiceSpec,
    SplitPart,
)

__all__ = ["RoutingDecoder", "decode_routing"]

MS_PER_S = 1000
# Kinds of route whose requests may be executed more than once. Requests of any
# other kind, including unknown ones, are executed at most once.
_IDEMPOTENT_KINDS = frozenset({"safe", "download"})
_BULK_KINDS = frozenset({"download"})
_BULK_BODY_KINDS = frozenset({"upload"})
DEFAULT_LATENCY_TARGET_MS = 300
DEFAULT_MAX_CONNECTIONS = 100
# Keys of an account, and their digests in a document without keys.
_KEYS, _DIGESTS = "apiKeys", "keyDigests"


def decode_routing(document: bytes) -> Routing:
    """Decodes one complete version of the configuration.

    The document of the result has digests in place of keys; decoding it has
    the same result.

    Raises:
        MessageInvalidError: If the document is not JSON, or a part of it is
            missing or invalid.
    """
    return RoutingDecoder().decode(document)


class RoutingDecoder:
    """Decodes versions one after the other.

    Most routes of a version are those of the version before. Their decoded
    form is used again, so that a version that changes a few of thousands of
    routes doesn't hold up the requests of the node.
    """

    __slots__ = ("_entries", "_routes")

    def __init__(self) -> None:
        # Routes of the last version by name, as received and decoded.
        self._entries: dict[str, Any] = {}
        self._routes: dict[str, Route] = {}

    def decode(self, document: bytes) -> Routing:
        """Decodes one complete version.

        The document of the result has digests in place of keys; decoding it
        has the same result.

        Raises:
            MessageInvalidError: If the document is not JSON, or a part of it
                is missing or invalid. The version before stays remembered.
        """
        try:
            content = orjson.loads(document)
            entries = content["routes"]
            routes = {
                name: self._routes[name]
                if self._entries.get(name) == entry
                else _decode_route(name, entry)
                for name, entry in entries.items()
            }
            routing = Routing(
                version=int(content["version"]),
                routes=tuple(routes.values()),
                services={
                    str(name): _decode_service(entry)
                    for name, entry in content["services"].items()
                },
                limits=_decode_limits(content.get("limits") or {}),
                document=_redact(content, document),
                accounts={
                    str(name): _decode_account(str(name), entry)
                    for name, entry in (content.get("tenants") or {}).items()
                },
            )
        except (
            ArithmeticError,
            AttributeError,
            KeyError,
            RecursionError,
            TypeError,
            ValueError,
        ) as exc:
            raise MessageInvalidError(
                f"the configuration is invalid: {exc!r}"
            ) from exc
        self._entries, self._routes = entries, routes
        return routing


def _decode_service(entry: dict[str, Any]) -> ServiceSpec:
    return ServiceSpec(
        health_path=str(entry.get("healthCheckPath", "/")),
        max_connections=int(
            entry.get("maxConnections", DEFAULT_MAX_CONNECTIONS)
        ),
    )


def _decode_route(name: str, entry: dict[str, Any]) -> Route:
    kind = entry["type"]
    timeout_ms = entry.get("timeoutMs")
    split = entry.get("trafficSplit")
    if split:
        parts = tuple(
            SplitPart(str(part["service"]), float(part["weight"]))
            for part in split
        )
    else:
        parts = (SplitPart(str(entry["service"]), 1.0),)
    return Route(
        name=name,
        host=str(entry["host"]).lower(),
        prefix=str(entry["prefix"]),
        idempotent=kind in _IDEMPOTENT_KINDS,
        bulk=kind in _BULK_KINDS,
        timeout_s=None if not timeout_ms else float(timeout_ms) / MS_PER_S,
        latency_target_s=float(
            entry.get("targetLatencyMs") or DEFAULT_LATENCY_TARGET_MS
        )
        / MS_PER_S,
        priority=int(entry.get("priority", 0)),
        max_attempts=max(1, int(entry.get("maxAttempts", 1))),
        parts=parts,
        bulk_body=kind in _BULK_BODY_KINDS,
        public=bool(entry.get("public", False)),
    )


def _decode_account(name: str, entry: dict[str, Any]) -> ClientAccount:
    if not name or not name.isprintable():
        # It is sent to targets in a header.
        raise ValueError(f"got account {name!r}, expected a printable name")
    priority = entry.get("priority")
    return ClientAccount(
        name=name,
        key_digests=frozenset(_list_digests(entry)),
        priority=None if priority is None else int(priority),
        rate_per_s=float(entry.get("ratePerS") or 0),
        burst=float(entry.get("burst") or 0),
    )


def _list_digests(entry: dict[str, Any]) -> list[bytes]:
    """Returns the digests of an account's keys."""
    digests = [bytes.fromhex(text) for text in entry.get(_DIGESTS, ())]
    # Only a document without keys may leave them out.
    keys = entry.get(_KEYS, ()) if _DIGESTS in entry else entry[_KEYS]
    return digests + [digest_key(str(key).encode()) for key in keys]


def _redact(content: dict[str, Any], document: bytes) -> bytes:
    """Returns a document with digests in place of the keys of accounts."""
    accounts = (content.get("tenants") or {}).values()
    with_keys = [entry for entry in accounts if _KEYS in entry]
    if not with_keys:
        return document
    for entry in with_keys:
        entry[_DIGESTS] = [digest.hex() for digest in _list_digests(entry)]
        del entry[_KEYS]
    return orjson.dumps(content)


def _decode_limits(entry: dict[str, Any]) -> ClientLimits:
    defaults = ClientLimits()
    return ClientLimits(
        max_header_bytes=int(
            entry.get("maxHeaderBytes", defaults.max_header_bytes)
        ),
        max_body_bytes=int(entry.get("maxBodyBytes", defaults.max_body_bytes)),
        header_timeout_s=float(
            entry.get("headerTimeoutMs", defaults.header_timeout_s * MS_PER_S)
        )
        / MS_PER_S,
        idle_timeout_s=float(
            entry.get("idleTimeoutMs", defaults.idle_timeout_s * MS_PER_S)
        )
        / MS_PER_S,
    )
