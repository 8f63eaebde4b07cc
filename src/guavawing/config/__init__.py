"""Configuration documents: schema, rules, encoding, effective policies."""

from guavawing.config.codec import (
    compute_chunked_digest,
    compute_digest,
    decode_document,
    encode_document,
)
from guavawing.config.difference import Difference, compare_documents
from guavawing.config.document import (
    Capacity,
    Defaults,
    Document,
    ExceptionEntry,
    LimitClass,
    Overrides,
    Route,
    Scalar,
    ServiceEntry,
)
from guavawing.config.doubts import find_doubts
from guavawing.config.effective import EffectivePolicy, PolicyTable
from guavawing.config.fault import Fault, describe_names
from guavawing.config.validation import (
    check_change,
    check_document,
    find_ended_exceptions,
    find_faults,
)

__all__ = [
    "Capacity",
    "Defaults",
    "Difference",
    "Document",
    "EffectivePolicy",
    "ExceptionEntry",
    "Fault",
    "LimitClass",
    "Overrides",
    "PolicyTable",
    "Route",
    "Scalar",
    "ServiceEntry",
    "check_change",
    "check_document",
    "compare_documents",
    "compute_chunked_digest",
    "compute_digest",
    "decode_document",
    "describe_names",
    "encode_document",
    "find_doubts",
    "find_ended_exceptions",
    "find_faults",
]
