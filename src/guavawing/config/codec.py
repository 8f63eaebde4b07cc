"""Encoding of documents: canonical JSON and its digest."""

import datetime
import hashlib
from typing import Any

import cattrs
import cattrs.errors
import orjson
from cattrs.preconf.orjson import make_converter

from guavawing.config.document import Document
from guavawing.config.fault import Fault
from guavawing.errors import ConfigInvalidError
from guavawing.model import CallClass

__all__ = ["compute_digest", "decode_document", "encode_document"]

MAX_DOCUMENT_BYTES = 8 * 1024 * 1024

Scalar = bool | int | float | str


def _structure_scalar(value: Any, _: Any) -> Scalar:
    if isinstance(value, bool | int | float | str):
        return value
    raise ValueError(f"got {value!r}, expected a number, a word or a flag")


def _structure_strictly(value: Any, kind: type) -> Any:
    """Accepts only values of the JSON type itself, without conversion."""
    if isinstance(value, bool) and kind is not bool:
        raise ValueError(f"got {value!r}, expected {kind.__name__}")
    if kind is float and isinstance(value, int):
        return float(value)
    if not isinstance(value, kind):
        raise ValueError(f"got {value!r}, expected {kind.__name__}")
    return value


def _structure_date(value: Any, _: Any) -> datetime.date:
    try:
        return datetime.date.fromisoformat(value)
    except (TypeError, ValueError):
        raise ValueError(
            f"got {value!r}, expected a date such as 2027-01-31"
        ) from None


def _structure_call_class(value: Any, _: Any) -> CallClass:
    try:
        return CallClass(value)
    except ValueError:
        names = ", ".join(CallClass)
        raise ValueError(f"got {value!r}, expected one of {names}") from None


_converter = make_converter(
    forbid_extra_keys=True, omit_if_default=False, detailed_validation=True
)
_converter.register_structure_hook_func(
    lambda kind: kind == Scalar, _structure_scalar
)
for _kind in (int, float, str, bool):
    _converter.register_structure_hook(_kind, _structure_strictly)
_converter.register_structure_hook(CallClass, _structure_call_class)
_converter.register_structure_hook(datetime.date, _structure_date)


def encode_document(document: Document) -> bytes:
    """Returns the canonical JSON of a document: sorted keys, no blanks."""
    return orjson.dumps(
        _converter.unstructure(document), option=orjson.OPT_SORT_KEYS
    )


def decode_document(payload: bytes) -> Document:
    """Reads a document from JSON.

    Raises:
        ConfigInvalidError: If `payload` is too large, not JSON, or not shaped
            like a document; every fault found is listed.
    """
    if len(payload) > MAX_DOCUMENT_BYTES:
        raise ConfigInvalidError(
            (
                Fault(
                    "document",
                    f"got {len(payload)} bytes, expected at most"
                    f" {MAX_DOCUMENT_BYTES}",
                ),
            )
        )
    try:
        tree = orjson.loads(payload)
    except orjson.JSONDecodeError as exc:
        raise ConfigInvalidError(
            (Fault("document", f"not JSON: {exc}"),)
        ) from None
    try:
        return _converter.structure(tree, Document)
    except (cattrs.BaseValidationError, TypeError, ValueError) as exc:
        raise ConfigInvalidError(_collect_faults(exc)) from None


def compute_digest(payload: bytes) -> bytes:
    """Returns the SHA-256 digest that names `payload` in the object store."""
    return hashlib.sha256(payload).digest()


def _collect_faults(exc: Exception) -> tuple[Fault, ...]:
    if not isinstance(exc, cattrs.BaseValidationError):
        return (Fault("document", str(exc)),)
    lines = cattrs.transform_error(exc, path="document")
    faults = []
    for line in lines:
        message, _, place = line.rpartition(" @ ")
        faults.append(Fault(place, message))
    return tuple(faults)
