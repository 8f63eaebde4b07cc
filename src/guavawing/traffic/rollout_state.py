"""State of a roll-out and what it allows entry nodes and owners.

A roll-out moves a service from the targets that serve it to those of another
release. The load it answers: a faulty release that would otherwise get its
share of all requests, and requests under way at targets that are stopped as
soon as the roll-out is completed.

What a node may do without having heard from the decider decreases with time:
the share of the new release ends after `STALE_SHARE` of the time that a
roll-back may take.
"""

import enum
import math
import zlib
from collections.abc import Collection

import attrs

from guavawing.traffic.model import RolloutOrder
from guavawing.traffic.owner_view import OwnerView

__all__ = [
    "Group",
    "RolloutPhase",
    "RolloutState",
    "RolloutView",
]

# Share of the time allowed for a roll-back after which a share that was not
# confirmed is no longer used.
STALE_SHARE = 0.4
# Time for which a release that appears beside others is not used unless an
# order names it, in seconds: an order reaches the nodes in less.
UNORDERED_HOLD_S = 3.0
# Interval at which new releases are looked for, in seconds.
UNORDERED_CHECK_S = 0.1
# Time after a verdict in which targets of the other side, or of an unknown
# release, get nothing, in seconds; those that have to go have ended by then.
VERDICT_HOLD_S = 10.0
# Targets of the new release that take a small share: at least this many in each
# data centre, and of all as a multiple of the share. With few, each is loaded
# like the targets of the old release.
MIN_FIRST_TARGETS = 2
FIRST_TARGETS_FACTOR = 1.0
# Share from which all targets of the new release are used.
ALL_TARGETS_SHARE = 0.25


class RolloutPhase(enum.IntEnum):
    """Phases of a roll-out."""

    RUNNING = 0
    COMPLETED = 1
    ROLLED_BACK = 2


@attrs.frozen
class RolloutState:
    """One state of a roll-out, as the decider announces it.

    Attributes:
        order: The order.
        era: Era of the store in which `version` was given out.
        version: Version of the status row; 0 before it is written.
        phase: Phase of the roll-out.
        share: Share of the requests that the new release gets.
        closing: Whether targets of other releases accept nothing any more.
        halted: Whether the share is withdrawn ahead of the next write.
        decider: Host of the node that decides.
        avoided: Releases that were rolled back before.
    """

    order: RolloutOrder
    era: int = 0
    version: int = 0
    phase: RolloutPhase = RolloutPhase.RUNNING
    share: float = 0.0
    closing: bool = False
    halted: bool = False
    decider: str = ""
    avoided: tuple[str, ...] = ()

    @property
    def running(self) -> bool:
        """Whether neither verdict has been reached."""
        return self.phase is RolloutPhase.RUNNING

    def supersedes(self, other: "RolloutState") -> bool:
        """Returns whether this state was decided after another one."""
        return self._rank() > other._rank()

    def continues(self, other: "RolloutState") -> bool:
        """Returns whether this state belongs to the same order."""
        return (self.era, self.order.number) == (other.era, other.order.number)

    def is_same_version(self, other: "RolloutState") -> bool:
        """Returns whether both stand for the same version of the row."""
        return self.continues(other) and self.version == other.version

    def _rank(self) -> tuple[int, int, int, bool]:
        return (self.era, self.order.number, self.version, self.halted)


class Group(enum.IntEnum):
    """Targets of a service that a request may use."""

    ANY = 0
    OLD = 1
    NEW = 2


class RolloutView:
    """What one node knows of the roll-outs of one service.

    Attributes:
        state: The latest state; None if no roll-out is known.
        confirmed_at: Event loop's time up to which the decider has confirmed
            it, in seconds.
        changed_at: Time at which the state was adopted, in seconds.
        binding: Whether the state binds. An order that a node finds when it
            starts may have been carried out long ago, so it waits for what the
            row or a peer says.
    """

    __slots__ = (
        "_checked_at",
        "_first_seen",
        "_held",
        "_stale_s",
        "binding",
        "changed_at",
        "confirmed_at",
        "state",
    )

    def __init__(self, *, roll_back_s: float) -> None:
        self._stale_s = STALE_SHARE * roll_back_s
        self._first_seen: dict[str, float] = {}
        self._held: frozenset[str] = frozenset()
        self._checked_at = -math.inf
        self.state: RolloutState | None = None
        self.binding = True
        self.confirmed_at = -math.inf
        self.changed_at = -math.inf

    def apply(
        self, state: RolloutState, *, confirmed_at: float, now: float
    ) -> bool:
        """Applies an announced state.

        Args:
            state: The state.
            confirmed_at: Event loop's time up to which it is confirmed.
            now: Event loop's time, in seconds.

        Returns:
            Whether it is newer than the one known.
        """
        known = self.state
        if known is None or state.supersedes(known):
            if known and known.halted and state.continues(known):
                state = attrs.evolve(state, halted=state.running)
            self.state = state
            self.binding = True
            self.confirmed_at = confirmed_at
            self.changed_at = now
            return True
        if state.version and known.is_same_version(state):
            self.confirmed_at = max(self.confirmed_at, confirmed_at)
        return False

    @property
    def _binding(self) -> RolloutState | None:
        return self.state if self.binding else None

    def is_fresh(self, *, now: float) -> bool:
        """Returns whether the decider has confirmed the state recently."""
        return now - self.confirmed_at <= self._stale_s

    def share(self, *, now: float) -> float:
        """Returns the share of requests that the new release gets."""
        state = self.state
        if state is None or state.phase is RolloutPhase.ROLLED_BACK:
            return 0.0
        if state.phase is RolloutPhase.COMPLETED:
            return 1.0
        if state.halted:
            return 0.0
        # In closing, the other targets refuse until a later state, so nothing
        # is gained by going back to them.
        if state.closing:
            return 1.0
        return state.share if self.is_fresh(now=now) else 0.0

    def pick_groups(
        self, draw: float, *, failed_new: bool, now: float
    ) -> tuple[Group, ...]:
        """Returns the targets that an attempt may use, the preferred first.

        Args:
            draw: Random number from 0 to 1 of the request, the same for all its
                attempts, so that refusals do not raise the share.
            failed_new: Whether a target of the new release has failed the
                request or refused it.
            now: Event loop's time, in seconds.
        """
        state = self._binding
        if state is None:
            return (Group.ANY,)
        held = now - self.changed_at < VERDICT_HOLD_S
        match state.phase:
            case RolloutPhase.COMPLETED:
                return (Group.NEW, Group.ANY) if held else (Group.ANY,)
            case RolloutPhase.ROLLED_BACK:
                return (Group.OLD,) if held else (Group.OLD, Group.ANY)
        share = self.share(now=now)
        if share >= 1.0:
            return (Group.NEW,)
        if failed_new or draw >= share:
            return (Group.OLD,)
        return (Group.NEW, Group.OLD)

    def select(
        self,
        owners: Collection[OwnerView],
        group: Group,
        *,
        now: float,
    ) -> Collection[OwnerView]:
        """Returns the owners whose targets belong to a group."""
        state = self._binding
        if state is None:
            return self._select_unordered(owners, now)
        release, avoided = state.order.release, state.avoided
        match group:
            case Group.ANY:
                if state.phase is RolloutPhase.ROLLED_BACK:
                    avoided = (release, *avoided)
                return [
                    each for each in owners if _release(each) not in avoided
                ]
            case Group.OLD:
                # A target of unknown release may have the new one, so it gets
                # nothing until its next heartbeat names it.
                old = [
                    each
                    for each in owners
                    if _release(each) not in ("", release, *avoided)
                ]
                if old:
                    return old
                # Those with the new release refuse what doesn't name it.
                unknown = [each for each in owners if not _release(each)]
                if unknown and state.running:
                    return unknown
                # The ordered release is the one in force.
                return [each for each in owners if _release(each) == release]
        new = [each for each in owners if _release(each) == release]
        share = self.share(now=now)
        if share >= ALL_TARGETS_SHARE or state.closing:
            return new
        return _select_first(new, share, salt=state.order.number)

    def admits(self, release: str, asked: str, *, now: float) -> bool:
        """Returns whether an owner may admit an attempt.

        Args:
            release: Release of its target; empty if not known.
            asked: Release that the entry node chose; empty if it did not.
            now: Event loop's time, in seconds.
        """
        if asked and asked != release:
            return False
        state = self._binding
        if state is None:
            return True
        new = release == state.order.release
        match state.phase:
            case RolloutPhase.ROLLED_BACK:
                return not new and release not in state.avoided
            case RolloutPhase.COMPLETED:
                held = now - self.changed_at < VERDICT_HOLD_S
                return new or not held
        if new:
            return asked == release and not state.halted
        if release in state.avoided:
            return False
        return not state.closing or state.halted

    def _select_unordered(
        self, owners: Collection[OwnerView], now: float
    ) -> Collection[OwnerView]:
        """Leaves out owners whose release has just appeared beside others.

        Without an order within `UNORDERED_HOLD_S`, targets are replaced one
        after the other, and the release is used like any other.
        """
        if now - self._checked_at >= UNORDERED_CHECK_S:
            self._checked_at = now
            self._held = self._find_held(owners, now)
        held = self._held
        if not held:
            return owners
        return [each for each in owners if _release(each) not in held]

    def _find_held(
        self, owners: Collection[OwnerView], now: float
    ) -> frozenset[str]:
        seen = {
            _release(each)
            for each in owners
            if each.alive and each.accepts_requests()
        } - {""}
        if not self._first_seen:
            self._first_seen = dict.fromkeys(seen, -math.inf)
        for release in seen - self._first_seen.keys():
            self._first_seen[release] = now
        held = {
            release
            for release in seen
            if now - self._first_seen[release] < UNORDERED_HOLD_S
        }
        return frozenset(held) if held != seen else frozenset()


def _release(owner: OwnerView) -> str:
    return "" if owner.report is None else owner.report.release


def _select_first(
    owners: Collection[OwnerView], share: float, *, salt: int
) -> list[OwnerView]:
    """Returns the targets that take a small share, the same at each node."""
    selected: list[OwnerView] = []
    for near in (True, False):
        group = [
            each
            for each in owners
            if each.near is near and each.alive and each.accepts_requests()
        ]
        count = max(
            MIN_FIRST_TARGETS,
            math.ceil(FIRST_TARGETS_FACTOR * share * len(group)),
        )
        group.sort(key=lambda each: zlib.crc32(f"{salt} {each.node}".encode()))
        selected += group[:count]
        if selected:
            # Those of other data centres have their own entry nodes.
            break
    return selected
