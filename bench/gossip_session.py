"""Simulated membership sessions that detect regressions in every view."""

from collections.abc import Callable, Mapping

import attrs

from bench.gossip_driver import GossipDriver, Node, make_member
from guavawing.membership import Member, MemberState
from guavawing.model import Address

__all__ = ["STEP_S", "Session"]

STEP_S = 0.25
MAX_DESCRIBED = 20


class Session:
    """A driver with numbered members of several data centres.

    Attributes:
        driver: The simulated network.
        deaths: Members that any running node has recorded as dead.
        regressions: Records whose precedence decreased in a view: viewer,
            record, previous precedence.
        killed: Names of members that a test has killed together.
    """

    def __init__(
        self, counts: Mapping[str, int], seed: int = 7, encoded: bool = False
    ) -> None:
        self.driver = GossipDriver(seed, encoded=encoded)
        self.deaths: set[str] = set()
        self.regressions: list[tuple[str, Member, tuple[int, int, int]]] = []
        self.killed: list[str] = []
        self._versions: dict[tuple[Node, str], tuple[int, int, int]] = {}
        number = 0
        for centre, count in counts.items():
            for copy in range(1, count + 1):
                number += 1
                member = make_member(
                    f"desk-{centre}-{copy}", number, data_centre=centre
                )
                self.driver.add(member, self.seeds())

    def seeds(self) -> list[Address]:
        """Returns the control addresses of the first members."""
        members = [n.gossip.me for n in self.driver.nodes.values()]
        return [member.control for member in members[:3]]

    def node(self, name: str) -> Node:
        """Returns the newest process of a member."""
        return self.driver.nodes[name]

    def live(self, centre: str = "") -> list[Node]:
        """Returns the running nodes, optionally of one data centre."""
        return [
            node
            for node in self.driver.nodes.values()
            if node.up
            and not node.paused
            and centre in node.gossip.me.data_centre
        ]

    def run(self, seconds: float) -> None:
        """Advances by `seconds` and checks every view after each step."""
        for _ in range(round(seconds / STEP_S)):
            self.driver.run(STEP_S)
            self._observe()

    def within(self, seconds: float, holds: Callable[[], bool]) -> None:
        """Runs until a condition holds; fails after `seconds`."""
        for _ in range(round(seconds / STEP_S)):
            if holds():
                return
            self.run(STEP_S)
        assert holds(), self.describe()

    def describe(self) -> list[str]:
        """Returns the members that are not alive, and table sizes by node."""
        lines = [
            f"{node.id}: {member.id} {member.state.name} {member.version()}"
            for node in self.live()
            for member in node.gossip.table
            if member.state is not MemberState.ALIVE
        ]
        lines += [f"{n.id}: {len(n.gossip.table)} members" for n in self.live()]
        return lines[:MAX_DESCRIBED]

    def restart(self, name: str, incarnation: int | None = None) -> None:
        """Starts a new process of a member under the same address."""
        me = self.node(name).gossip.me
        member = attrs.evolve(
            me,
            incarnation=incarnation or me.incarnation + 1,
            sequence=0,
            state=MemberState.ALIVE,
        )
        seeds = [n.gossip.me.control for n in self.live() if n.id != name]
        self.driver.add(member, seeds[:3])

    def pause_for(self, name: str, seconds: float) -> None:
        """Pauses a process for a time; its datagrams are buffered."""
        node = self.node(name)
        node.paused = True
        self.run(seconds)
        self.driver.resume(node)

    def is_known_alive(self, member: Member) -> bool:
        """Returns whether all nodes of its data centre have its own record."""
        here = self.live(member.data_centre)
        return all(n.gossip.table.get(member.id) == member for n in here)

    def all_alive(self) -> bool:
        """Returns whether every running member's own record is known."""
        return all(self.is_known_alive(node.gossip.me) for node in self.live())

    def offers(self, name: str, centre: str = "") -> list[str]:
        """Returns the nodes that offer a member to callers."""
        return [
            node.id
            for node in self.live(centre)
            if node.id != name
            and name in {m.id for m in node.gossip.table.serving("desk")}
        ]

    def _observe(self) -> None:
        for node in self.live():
            for member in node.gossip.table:
                key = (node, member.id)
                last = self._versions.get(key, member.precedence())
                if member.precedence() < last:
                    self.regressions.append((node.id, member, last))
                self._versions[key] = member.precedence()
                if member.state is MemberState.DEAD:
                    self.deaths.add(member.id)
