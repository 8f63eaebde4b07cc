"""Encoding of documents as canonical JSON, and its digest."""

import datetime
import hashlib
import typing
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import attrs
import cattrs
import orjson
from cattrs.gen import (
    make_dict_structure_fn,
    make_dict_unstructure_fn,
    make_mapping_structure_fn,
    override,
)
from cattrs.preconf.orjson import make_converter

from guavawing.config.document import (
    Document,
    ExceptionEntry,
    Route,
    Scalar,
    ServiceEntry,
)
from guavawing.config.fault import MAX_FAULTS, Fault, Place, join_place, quote
from guavawing.config.repeated_keys import find_repeated_keys
from guavawing.errors import ConfigInvalidError
from guavawing.model import CallClass

__all__ = ["compute_digest", "decode_document", "encode_document"]

MAX_DOCUMENT_BYTES = 1024 * 1024

Hook = Callable[[Any, Any], Any]


def _structure_scalar(value: Any, _: Any) -> Scalar:
    if isinstance(value, bool | int | float | str):
        return value
    raise ValueError(f"got {quote(value)}, expected a number, a word or a flag")


def _structure_strictly(value: Any, kind: type) -> Any:
    """Accepts only values of the exact JSON type, without conversion."""
    if kind is float and type(value) is int:
        return float(value)
    if type(value) is not kind:
        raise ValueError(f"got {quote(value)}, expected {kind.__name__}")
    return value


def _structure_date(value: Any, _: Any) -> datetime.date:
    expected = "a date such as 2027-01-31"
    try:
        date = datetime.date.fromisoformat(value)
    except (TypeError, ValueError):
        raise ValueError(f"got {quote(value)}, expected {expected}") from None
    if date.isoformat() != value:
        raise ValueError(f"got {quote(value)}, expected {expected}")
    return date


def _structure_call_class(value: Any, _: Any) -> CallClass:
    try:
        return CallClass(value)
    except (TypeError, ValueError):
        names = ", ".join(CallClass)
        raise ValueError(f"got {quote(value)}, expected {names}") from None


def _require_object(inner: Hook) -> Hook:
    def structure(value: Any, kind: Any) -> Any:
        if not isinstance(value, dict):
            raise ValueError(f"got {quote(value)}, expected an object")
        return inner(value, kind)

    return structure


def _is_mapping(kind: Any) -> bool:
    return typing.get_origin(kind) is dict


_converter = make_converter(detailed_validation=True)
_converter.register_structure_hook_func(
    lambda kind: kind == Scalar, _structure_scalar
)
for _kind in (int, float, str, bool):
    _converter.register_structure_hook(_kind, _structure_strictly)
_converter.register_structure_hook(CallClass, _structure_call_class)
_converter.register_structure_hook(datetime.date, _structure_date)
_converter.register_structure_hook_factory(
    attrs.has,
    lambda cls: _require_object(
        make_dict_structure_fn(
            cls,
            _converter,
            _cattrs_forbid_extra_keys=True,
            _cattrs_detailed_validation=True,
        )
    ),
)
_converter.register_structure_hook_factory(
    _is_mapping,
    lambda kind: _require_object(
        make_mapping_structure_fn(kind, _converter, detailed_validation=True)
    ),
)
# Optional fields that are None are omitted. The fields of `Defaults` are always
# written, so that a document keeps its meaning if the defaults in the code
# change.
for _cls in (ExceptionEntry, Route, ServiceEntry):
    _absent: Any = {
        field.name: override(omit_if_default=True)
        for field in attrs.fields(_cls)
        if field.default is None
    }
    _converter.register_unstructure_hook(
        _cls, make_dict_unstructure_fn(_cls, _converter, **_absent)
    )


def encode_document(document: Document) -> bytes:
    """Returns the canonical JSON of a document: sorted keys, no spaces.

    Raises:
        ConfigInvalidError: If a value can't be encoded as JSON.
    """
    try:
        return orjson.dumps(
            _converter.unstructure(document), option=orjson.OPT_SORT_KEYS
        )
    except orjson.JSONEncodeError as exc:
        raise _make_error(str(exc)) from None


def decode_document(payload: bytes) -> Document:
    """Decodes a document from JSON.

    Raises:
        ConfigInvalidError: If `payload` is too large, not JSON, or does not
            match the schema; lists the faults, up to `MAX_FAULTS`.
    """
    if len(payload) > MAX_DOCUMENT_BYTES:
        raise _make_error(
            f"got {len(payload)} bytes, expected at most {MAX_DOCUMENT_BYTES}"
        )
    try:
        orjson.loads(payload)
        # orjson silently keeps the last one of repeated keys.
        repeated = find_repeated_keys(payload)
    except RecursionError:
        raise _make_error("got too many levels of nesting") from None
    except ValueError as exc:
        raise _make_error(f"not JSON: {exc}") from None
    if repeated:
        raise ConfigInvalidError(tuple(repeated[:MAX_FAULTS]))
    try:
        # Parsed a second time, so that only one tree is in memory at a time.
        return _converter.structure(orjson.loads(payload), Document)
    except (cattrs.BaseValidationError, ValueError) as exc:
        faults = tuple(_collect_faults(exc, ()))
        raise ConfigInvalidError(faults[:MAX_FAULTS]) from None


def compute_digest(number: int, payload: bytes) -> bytes:
    """Returns the SHA-256 digest of a version's number and payload."""
    return compute_chunked_digest(number, (payload,))


def compute_chunked_digest(number: int, chunks: Iterable[bytes]) -> bytes:
    """Returns the digest of a version whose payload is given in chunks.

    The digest includes the version number, so that versions with the same
    document have different digests.
    """
    hasher = hashlib.sha256(b"%d\n" % number)
    for chunk in chunks:
        hasher.update(chunk)
    return hasher.digest()


def _make_error(message: str) -> ConfigInvalidError:
    return ConfigInvalidError((Fault("document", message),))


def _collect_faults(exc: BaseException, place: Place) -> Iterator[Fault]:
    if isinstance(exc, cattrs.ClassValidationError):
        noted, others = exc.group_exceptions()
        for child, note in noted:
            yield from _collect_faults(child, (*place, note.name))
    elif isinstance(exc, cattrs.IterableValidationError):
        items, others = exc.group_exceptions()
        for child, item in items:
            yield from _collect_faults(child, (*place, str(item.index)))
    else:
        others = [exc]  # type: ignore[list-item]
    for other in others:
        yield from _describe(other, place)


def _describe(exc: BaseException, place: Place) -> Iterator[Fault]:
    if isinstance(exc, cattrs.ForbiddenExtraKeysError):
        known = ", ".join(field.name for field in attrs.fields(exc.cl))
        for name in sorted(exc.extra_fields):
            yield Fault(
                join_place((*place, name)),
                f"got an unknown key, expected one of {known}",
            )
    elif isinstance(exc, KeyError):
        yield Fault(join_place(place), "got nothing, expected a value")
    else:
        yield Fault(join_place(place), str(exc))
