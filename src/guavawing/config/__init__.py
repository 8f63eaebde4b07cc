"""Configuration documents: shape, rules, encoding, effective policies."""

from guavawing.config.codec import (
    compute_digest,
    decode_document,
    encode_document,
)
from guavawing.config.document import (
    Defaults,
    Document,
    ExceptionEntry,
    LimitClass,
    Route,
    ServiceEntry,
)
from guavawing.config.effective import EffectivePolicy, PolicyTable
from guavawing.config.fault import Fault
from guavawing.config.validation import check_document, find_faults

__all__ = [
    "Defaults",
    "Document",
    "EffectivePolicy",
    "ExceptionEntry",
    "Fault",
    "LimitClass",
    "PolicyTable",
    "Route",
    "ServiceEntry",
    "check_document",
    "compute_digest",
    "decode_document",
    "encode_document",
    "find_faults",
]
