"""Measures document size, processing time and memory at full size.

`python -m bench document` prints the figures, and `python -m
bench.measure_document` also writes the slopes for each service into
`bench/slopes/document.json`.
"""

import asyncio
import datetime
import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterator

import attrs

from bench.figure import Figure
from bench.slope import Slope, write_slopes
from guavawing.config import (
    PolicyTable,
    check_document,
    decode_document,
    encode_document,
)
from standins.documents import make_fleet_document

SERVICES = 820
SIZES = (205, 410, 820)
ROUTES_EACH = 3
EXCEPTIONS = 100
REPEATS = 15
CHANGES_PER_DAY = 17_000
DAY_S = 86_400
CORE_SHARE_BOUND_PERCENT = 2.4
MEMORY_BOUND_MB = 64
MB = 1e6
TODAY = datetime.date(2027, 3, 1)
COMMAND = "python -m bench.measure_document"


@attrs.frozen
class Sample:
    """Costs of a document of one size.

    Attributes:
        services: Number of services.
        bytes: Size of the payload.
        encode_ms: Time to encode it.
        decode_ms: Time to decode it.
        check_ms: Time to validate it.
        build_ms: Time to build the policy table.
        policies_ms: Time to compute the policy of every route once.
        kept_mb: Memory held by the decoded document.
        peak_mb: Peak memory while it is decoded and checked.
    """

    services: int
    bytes: float
    encode_ms: float
    decode_ms: float
    check_ms: float
    build_ms: float
    policies_ms: float
    kept_mb: float
    peak_mb: float

    @property
    def apply_ms(self) -> float:
        """Time in ms to apply a version, when every route is called."""
        return self.decode_ms + self.check_ms + self.build_ms + self.policies_ms


UNITS = {
    "bytes": "B",
    "encode_ms": "ms",
    "decode_ms": "ms",
    "check_ms": "ms",
    "build_ms": "ms",
    "policies_ms": "ms",
    "kept_mb": "MB",
    "peak_mb": "MB",
}


def measure_ms(action: Callable[[], object]) -> float:
    """Returns the shortest time of several runs, in milliseconds.

    The shortest run is the least disturbed by other load on the machine.
    """
    times = []
    for _ in range(REPEATS):
        start = time.perf_counter()
        action()
        times.append((time.perf_counter() - start) * 1000)
    return min(times)


def measure_memory(payload: bytes) -> tuple[float, float]:
    """Returns the memory held after decoding and the peak, in MB."""
    tracemalloc.start()
    try:
        document = decode_document(payload)
        check_document(document)
        kept, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return kept / MB, peak / MB


def measure(services: int) -> Sample:
    """Measures a document with the given number of services."""
    document = make_fleet_document(
        services=services, routes_each=ROUTES_EACH, exceptions=EXCEPTIONS
    )
    payload = encode_document(document)

    def build() -> PolicyTable:
        return PolicyTable(document, data_centre="bergen", today=TODAY)

    def compute_policies() -> None:
        table = build()
        for name in document.routes:
            table.get(name)

    build_ms = measure_ms(build)
    kept_mb, peak_mb = measure_memory(payload)
    return Sample(
        services=services,
        bytes=len(payload),
        encode_ms=measure_ms(lambda: encode_document(document)),
        decode_ms=measure_ms(lambda: decode_document(payload)),
        check_ms=measure_ms(lambda: check_document(document)),
        build_ms=build_ms,
        policies_ms=measure_ms(compute_policies) - build_ms,
        kept_mb=kept_mb,
        peak_mb=peak_mb,
    )


async def run() -> list[Figure]:
    """Returns the figures of a document at full size."""
    sample = measure(SERVICES)
    figures = [
        Figure(
            f"document_{name}",
            getattr(sample, name),
            unit,
            MEMORY_BOUND_MB if unit == "MB" else None,
        )
        for name, unit in UNITS.items()
    ]
    changes_per_s = CHANGES_PER_DAY / DAY_S
    share = sample.apply_ms / 1000 * changes_per_s * 100
    figures += [
        Figure(
            "document_apply_core_share",
            share,
            "%",
            CORE_SHARE_BOUND_PERCENT,
        ),
        # Cost without deltas; all control traffic may use 2,000 B/s.
        Figure(
            "document_whole_at_every_change",
            sample.bytes * changes_per_s,
            "B/s",
        ),
    ]
    return figures


def measure_slopes() -> Iterator[Slope]:
    """Yields the cost of each additional service, by least squares."""
    samples = [measure(services) for services in SIZES]
    for name, unit in UNITS.items():
        line = statistics.linear_regression(
            SIZES, [getattr(sample, name) for sample in samples]
        )
        yield Slope(
            name=f"document_{name}_per_service",
            value=float(f"{line.slope:.4g}"),
            unit=f"{unit}/service",
            command=COMMAND,
        )


def main() -> None:
    """Prints the figures and writes the slopes."""
    for figure in asyncio.run(run()):
        print(figure)
    write_slopes("document", measure_slopes())


if __name__ == "__main__":
    main()
