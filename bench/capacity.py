"""Computes the table in docs/CAPACITY.md from the recorded slopes.

    python -m bench.capacity --write    updates the table in the page
    python -m bench.capacity            fails when page and slopes differ

Every line states the slopes that it is computed from and the mechanism that
bounds it, at the size that the product is designed for.
"""

import pathlib
import sys

import attrs

from bench.slope import Slope, read_slopes
from guavawing.membership.summary import CONTACTS_PER_SERVICE
from guavawing.node.duplicate_process_check import SPREAD_PER_MEMBER_S
from guavawing.policy.choice import SUBSET_SIZE
from guavawing.policy.key_table import MAX_ENTRIES, MAX_KEPT_BYTES
from guavawing.store.seeds import SEEDS_PER_DATA_CENTRE

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "CAPACITY.md"
BEGIN = "<!-- begin: python -m bench.capacity --write -->"
END = "<!-- end -->"

# Design size of the fleet.
UPSTREAMS = 15_000
SERVICES = 820
CALLS_PER_S = 750_000
DATA_CENTRES = 12
CHANGES_PER_DAY = 17_000
SECONDS_PER_DAY = 86_400
LOSSES_PER_DAY = 22 + 830
# Budgets of a node for control traffic, and of the platform.
CONTROL_CORE_PERCENT = 2.4
CONTROL_BYTES_PER_S = 2_000.0
MEMORY_MB = 64.0
ADDED_LATENCY_MS = 1.0
PLATFORM_READS_PER_S = 2_000.0
PLATFORM_WRITES_PER_S = 300.0
IN_FORCE_S = 19.0

CALLS_PER_NODE = CALLS_PER_S / UPSTREAMS
CHANGES_PER_S = CHANGES_PER_DAY / SECONDS_PER_DAY
MEMBERS_HERE = UPSTREAMS / DATA_CENTRES
READS_PER_PUBLISH = 2
WRITES_PER_PUBLISH = 2
MB = 1e6


@attrs.frozen
class Line:
    """One line of the table.

    Attributes:
        role: Part of the system.
        what: Quantity that is computed.
        value: Extrapolated value.
        unit: Its unit.
        working: How the value was computed.
        mechanism: Mechanism that bounds the value.
        budget: Largest allowed value; None if none is stated.
    """

    role: str
    what: str
    value: float
    unit: str
    working: str
    mechanism: str
    budget: float | None = None

    def __str__(self) -> str:
        state = "-"
        if self.budget is not None:
            state = "**over**" if self.value > self.budget else "ok"
        budget = "-" if self.budget is None else f"{self.budget:g}"
        cells = (
            self.role,
            self.what,
            f"{self.value:.4g} {self.unit}",
            budget,
            state,
            self.working,
            self.mechanism,
        )
        return f"| {' | '.join(cells)} |"


class Slopes:
    """Recorded slopes by name; collects those that are used."""

    def __init__(self) -> None:
        self._slopes = read_slopes()
        self.used: dict[str, Slope] = {}

    def __getitem__(self, name: str) -> float:
        slope = self._slopes[name]
        self.used[name] = slope
        return slope.value


def list_call_lines(slopes: Slopes) -> list[Line]:
    """Returns the lines for the caller side and owner side of a call."""
    entry = slopes["entry_processor"]
    owner = slopes["owner_processor"]
    bare = slopes["bare_added_p99"]
    added = [
        Line(
            "both sides",
            f"added latency at p99, {hops}",
            slopes[name],
            "ms",
            f"`{name}`; the libraries alone add {bare:.3g} at two hops",
            "one message each way between two nodes",
            ADDED_LATENCY_MS,
        )
        for hops, name in (
            ("one hop", "one_hop_added_p99"),
            ("two hops", "two_hops_added_p99"),
        )
    ]
    return [
        *added,
        Line(
            "caller side",
            "processor for calls",
            CALLS_PER_NODE * entry / 1e4,
            "% of a core",
            f"{CALLS_PER_NODE:g} calls/s x `entry_processor`",
            "one process, no logging and no metric library per call",
        ),
        Line(
            "caller side",
            "connections for each service called",
            2.0 * SUBSET_SIZE,
            "connections",
            "bound of the subset here and elsewhere",
            "rendezvous subset of owners (policy/subset.py)",
        ),
        Line(
            "owner side",
            "processor for calls",
            CALLS_PER_NODE * owner / 1e4,
            "% of a core",
            f"{CALLS_PER_NODE:g} calls/s x `owner_processor`",
            "slots and queue of one target",
        ),
        Line(
            "owner side",
            "record of keys, at its bound",
            (MAX_ENTRIES * slopes["key_entry"] + MAX_KEPT_BYTES) / MB,
            "MB",
            f"{MAX_ENTRIES} x `key_entry` + {MAX_KEPT_BYTES / MB:.3g} MB of"
            " answers",
            "key epochs; refuses rather than forgets",
        ),
    ]


def list_control_lines(slopes: Slopes) -> list[Line]:
    """Returns the lines for membership and distribution, per node."""
    gossip = 2 * slopes["idle_sent_1250"]
    pulls = 2 * CHANGES_PER_S * slopes["pull-new-connection"]
    core = 100 * (slopes["idle_core_1250"] - slopes["idle_core_48"])
    changing = slopes["large-24-changing-processor"]
    members = (UPSTREAMS - 24) * slopes["table_bytes_per_member"] / MB
    resident = slopes["large-24-changing-resident-max"]
    return [
        Line(
            "membership",
            "bytes sent and received",
            gossip,
            "B/s",
            "2 x `idle_sent_1250`, IP and UDP headers included",
            "probes of a constant number of members a second, piggybacked"
            " changes (SWIM)",
            CONTROL_BYTES_PER_S,
        ),
        Line(
            "membership",
            "processor",
            100 * slopes["idle_core_1250"],
            "% of a core",
            "`idle_core_1250`",
            "the same",
            CONTROL_CORE_PERCENT,
        ),
        Line(
            "membership",
            "table of members",
            UPSTREAMS * slopes["table_bytes_per_member"] / MB,
            "MB",
            f"{UPSTREAMS} x `table_bytes_per_member`; a service has about"
            f" {UPSTREAMS / SERVICES / DATA_CENTRES:.1f} targets a data"
            f" centre and the summary up to {CONTACTS_PER_SERVICE} contacts,"
            " so nearly all members are known everywhere",
            "summaries of the other data centres",
        ),
        Line(
            "summaries",
            "bytes sent for them",
            slopes["centres_idle_sent"] - slopes["idle_sent_12"],
            "B/s",
            "`centres_idle_sent` - `idle_sent_12`, 12 data centres of 12",
            "a few reporters a data centre, picked by rendezvous hash",
            CONTROL_BYTES_PER_S,
        ),
        Line(
            "distribution",
            "bytes of pulls, asked and answered",
            pulls,
            "B/s",
            f"2 x {CHANGES_PER_S:.3g} changes/s x `pull-new-connection`",
            "deltas between neighbours, one pull a version and node",
            CONTROL_BYTES_PER_S,
        ),
        Line(
            "distribution",
            "time until in force, 1,250 nodes",
            slopes["machines-1x1250-convergence-max"],
            "s",
            "`machines-1x1250-convergence-max`",
            "notices on gossip, announced at once to a few members",
            IN_FORCE_S,
        ),
        Line(
            "all control",
            "bytes a node",
            gossip + pulls,
            "B/s",
            "membership + distribution",
            "as above",
            CONTROL_BYTES_PER_S,
        ),
        Line(
            "all control",
            "processor a node",
            changing + core,
            "% of a core",
            "`large-24-changing-processor` + growth of membership from 48 to"
            " 1,250 members",
            "as above",
            CONTROL_CORE_PERCENT,
        ),
        Line(
            "all control",
            "resident memory a node",
            resident + members,
            "MB",
            "`large-24-changing-resident-max` + the other members",
            "encoded entries of one document, one record a member",
            MEMORY_MB,
        ),
    ]


def list_platform_lines(slopes: Slopes) -> list[Line]:
    """Returns the lines for the platform load of the whole fleet."""
    head_reads = DATA_CENTRES * slopes["machines-1x1250-reads"]
    objects = slopes["machines-12x100-far-0.1-objects"] * CHANGES_PER_S
    published = CHANGES_PER_S * WRITES_PER_PUBLISH
    seeds = DATA_CENTRES * SEEDS_PER_DATA_CENTRE / SECONDS_PER_DAY
    return [
        Line(
            "platform poller",
            "reads of the head and of objects",
            head_reads + objects,
            "reads/s",
            f"{DATA_CENTRES} x `machines-1x1250-reads` +"
            f" {CHANGES_PER_S:.3g} x `machines-12x100-far-0.1-objects`",
            "shared polling: a data centre reads about once a second,"
            " whatever its size",
            PLATFORM_READS_PER_S,
        ),
        Line(
            "publisher",
            "writes",
            published,
            "writes/s",
            f"{WRITES_PER_PUBLISH} a change ({READS_PER_PUBLISH} reads)",
            "object first, then one transaction",
            PLATFORM_WRITES_PER_S,
        ),
        Line(
            "joining",
            "reads of seed rows while the whole fleet starts",
            slopes["storm_lonely_reads_15000"],
            "reads/s",
            "`storm_lonely_reads_15000`",
            "first reads spread over seconds, then by live members",
            PLATFORM_READS_PER_S,
        ),
        Line(
            "joining",
            "reads of seed rows, head and objects while the whole fleet starts"
            " without a version",
            slopes["storm_lonely_published_all_reads_15000"],
            "reads/s",
            "`storm_lonely_published_all_reads_15000`",
            "a node that has met nobody reads the head later and seldom",
            PLATFORM_READS_PER_S,
        ),
        Line(
            "joining",
            "writes of seed rows while the whole fleet starts",
            slopes["storm_answered_writes_15000"],
            "writes/s",
            "`storm_answered_writes_15000`",
            f"{SEEDS_PER_DATA_CENTRE} seed rows a data centre, written only"
            " when stale",
            PLATFORM_WRITES_PER_S,
        ),
        Line(
            "joining",
            "losses and restarts on an ordinary day",
            LOSSES_PER_DAY / SECONDS_PER_DAY + seeds,
            "writes/s at most",
            f"{LOSSES_PER_DAY} a day, each a seed row at most",
            "the same",
            PLATFORM_WRITES_PER_S,
        ),
        Line(
            "membership",
            "checks of a second process under the id, if peers lie to all",
            1 / SPREAD_PER_MEMBER_S,
            "writes/s",
            "1 / `SPREAD_PER_MEMBER_S`; as many reads",
            "a check is put off by a random time that grows with the fleet",
            PLATFORM_WRITES_PER_S,
        ),
        Line(
            "caller side",
            "room for new keys that callers chose",
            PLATFORM_WRITES_PER_S - published,
            "keys/s",
            "what the publisher leaves; one write a claimed key",
            "keys asked for beforehand need no write",
        ),
        Line(
            "operator's client",
            "requests of one `config wait`",
            float(UPSTREAMS),
            "requests",
            "one a node, 512 at a time; times: `python -m bench wait`",
            "each node is asked until it enforces the version",
        ),
    ]


def render() -> str:
    """Returns the table and the slopes that it is computed from."""
    slopes = Slopes()
    lines = [
        *list_call_lines(slopes),
        *list_control_lines(slopes),
        *list_platform_lines(slopes),
    ]
    rows = [
        "| role | what | at full size | budget | state | worked out from |"
        " mechanism |",
        "| --- | --- | --- | --- | --- | --- | --- |",
        *map(str, lines),
        "",
        "| slope | value | measured by |",
        "| --- | --- | --- |",
    ]
    rows += [
        f"| `{slope.name}` | {slope.value:.5g} {slope.unit} |"
        f" `{slope.command}` |"
        for _, slope in sorted(slopes.used.items())
    ]
    return "\n".join(rows)


def replace_table(page: str) -> str:
    """Returns the page with an updated table."""
    before, _, rest = page.partition(BEGIN)
    _, _, after = rest.partition(END)
    return f"{before}{BEGIN}\n{render()}\n{END}{after}"


def main() -> int:
    """Updates the page, or returns 1 when it differs from the slopes."""
    page = PAGE.read_text()
    renewed = replace_table(page)
    if "--write" in sys.argv[1:]:
        PAGE.write_text(renewed)
        return 0
    if renewed != page:
        print("docs/CAPACITY.md differs from bench/slopes", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
