"""Proofs of the configuration's age: questions to peers, and refusals."""

import asyncio
import math
import random
from collections.abc import Callable

import attrs

from guavawing.errors import MessageInvalidError
from guavawing.platform.settings import VmSettings
from guavawing.sidecar.decision_log import DecisionLog
from guavawing.sidecar.mesh_codec import FRESHNESS_ANSWER, FRESHNESS_QUERY
from guavawing.sidecar.mesh_fields import pack, read_number, unpack
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.sidecar.steady_clock import read_steady_time
from guavawing.traffic.feed_wait import FeedWait
from guavawing.traffic.freshness import (
    ConfigFreshness,
    FreshnessAnswer,
    FreshnessTerms,
    select_sources,
)
from guavawing.traffic.model import Routing
from guavawing.traffic.peers import PeerTable
from guavawing.traffic.readers import CONFIGURATION_READERS
from guavawing.verdict import NotRun, Reason

__all__ = ["Freshness"]

MS_PER_S = 1000
# Interval of the checks for a question that is due, as a part of the time
# after which a proof is renewed.
TICK_PART = 0.25
JITTER = 0.1
# Questions without an answer after which the store is asked, and the mean
# number of nodes of a data centre that ask it then in each check.
STORE_AFTER_UNANSWERED = 3
STORE_CALLERS = 2
# Retry-After in seconds: an answer to the question that a refusal causes comes
# in far less, unless no node with a proof has been reached for a while.
ASKED_RETRY_AFTER_S = 0.25
CUT_RETRY_AFTER_S = 1.0
CUT_AFTER_UNANSWERED = 8


class Freshness:
    """Decides whether the configuration is fresh enough for client accounts.

    Without strict terms of withdrawal, or without client accounts, nothing is
    asked and all keys are judged by the version in force.
    """

    def __init__(
        self,
        settings: VmSettings,
        peers: PeerTable,
        *,
        send: Callable[[bytes, str], None],
        read_store: Callable[[], None],
        on_newer_version: Callable[[str, int], None],
        log: DecisionLog,
        metrics: SidecarMetrics,
    ) -> None:
        """Creates a task that has not started.

        Args:
            settings: Settings with the terms of withdrawal.
            peers: The other nodes.
            send: Sends a datagram to the node on a VM.
            read_store: Requests a read of the configuration from the store.
            on_newer_version: Called with the host of a node and the newer
                version that it has.
            log: Receives when the configuration is proven and unproven.
            metrics: Receives the age of the proof.
        """
        self._host = settings.host
        self._peers = peers
        self._send = send
        self._read_store = read_store
        self._on_newer_version = on_newer_version
        self._log = log
        self._metrics = metrics
        self._rng = random.Random()
        terms = settings.withdrawal
        self._strict = terms is not None and terms.strict
        within_s = terms.within_s if terms is not None else math.inf
        self._state = ConfigFreshness(
            FreshnessTerms(within_s, settings.apply_s), rng=self._rng
        )
        self._version = 0
        self._has_accounts = False
        self._proven = False

    @property
    def _enabled(self) -> bool:
        return self._strict and self._has_accounts

    def check_key(self, *, known: bool) -> NotRun | None:
        """Returns why a request with a key is refused, or None.

        It is called when the request has been received, which is later than
        it was sent; what happens to it afterwards needs no further check.

        Args:
            known: Whether the key belongs to a client account.
        """
        unknown = NotRun(Reason.UNKNOWN_ACCOUNT_KEY)
        if not self._enabled:
            return None if known else unknown
        now = read_steady_time()
        if known and self._state.admits_keys(now=now):
            return None
        if not known and self._state.denies_keys(now=now):
            return unknown
        self._ask(demanded=True)
        cut = self._state.unanswered >= CUT_AFTER_UNANSWERED
        return NotRun(
            Reason.UNPROVEN_CONFIG,
            CUT_RETRY_AFTER_S if cut else ASKED_RETRY_AFTER_S,
        )

    @property
    def awaits_proof(self) -> bool:
        """Whether all keyed requests are refused for lack of a proof."""
        return self._enabled and not self._state.admits_keys(
            now=read_steady_time()
        )

    def age_s(self) -> float:
        """Returns the age of the proof, in seconds; infinite without one."""
        return self._state.age_s(now=read_steady_time())

    def limit_feed_wait(self, limits: FeedWait) -> FeedWait:
        """Returns the time limits of a call of the store's change feed.

        Args:
            limits: Those without client accounts.
        """
        if not self._enabled:
            return limits
        renewed = self._state.is_renewed(now=read_steady_time())
        renewal_s = self._state.terms.renewal_s if renewed else 0.0
        return attrs.evolve(limits, wait_s=min(limits.wait_s, renewal_s))

    def set_routing(self, routing: Routing) -> None:
        """Records that a version has come into force."""
        self._version = routing.version
        self._has_accounts = bool(routing.accounts)
        self._state.set_version(routing.version)
        self.ask_if_unproven()

    def ask_if_unproven(self) -> None:
        """Asks other nodes, as often as is allowed, without a proof."""
        if self.awaits_proof:
            self._ask(demanded=True)

    def record_store_read(self, asked_at: float, era: int) -> None:
        """Records that the store's newest version has been applied."""
        self._state.record_store_read(asked_at, era=era, now=read_steady_time())

    def record_peer_version(self, version: int) -> None:
        """Records the version in force at another node."""
        self._state.record_peer_version(version)

    async def run(self) -> None:
        """Renews the proof until cancelled."""
        while self._strict:
            jitter = self._rng.uniform(1 - JITTER, 1 + JITTER)
            tick_s = TICK_PART * self._state.terms.renewal_s
            await asyncio.sleep(tick_s * jitter)
            if self._enabled:
                self._ask()
                self._report()

    def handle_query(self, payload: bytes, host: str) -> None:
        """Answers the question of another node.

        Raises:
            MessageInvalidError: If it is unreadable.
        """
        nonce, version = _decode(payload, 3)
        self._state.record_peer_version(version)
        answer = self._state.answer(now=read_steady_time())
        if answer is not None:
            # Rounded up, as the age must not be understated.
            age_ms = math.ceil(answer.age_s * MS_PER_S)
            fields = (FRESHNESS_ANSWER, nonce, answer.version, age_ms)
            self._send(pack(fields), host)

    def handle_answer(self, payload: bytes, host: str) -> None:
        """Applies the answer of another node.

        Raises:
            MessageInvalidError: If it is unreadable.
        """
        nonce, version, age_ms = _decode(payload, 4)
        answer = FreshnessAnswer(version, age_ms / MS_PER_S)
        now = read_steady_time()
        applied = self._state.apply_answer(nonce, answer, now=now)
        if applied and version > self._version:
            self._on_newer_version(host, version)

    def _ask(self, *, demanded: bool = False) -> None:
        """Asks other nodes if a question is due."""
        state, now = self._state, read_steady_time()
        if not state.is_due(now=now, demanded=demanded):
            return
        near = [p for p in self._peers.near() if p.view.alive]
        reaching = [p.record.host for p in near if p.reaches_store]
        sources = select_sources(
            self._host,
            reaching or [p.record.host for p in near],
            [p.record.host for p in self._peers.far() if p.view.alive],
            unanswered=state.unanswered,
            readers=CONFIGURATION_READERS,
            rng=self._rng,
        )
        # Few nodes of a data centre ask a store that turns all of them away.
        share = STORE_CALLERS / (1 + len(near))
        lost = state.unanswered >= STORE_AFTER_UNANSWERED
        if lost and self._rng.random() < share:
            self._read_store()
        if sources:
            state.begin_round(now=now)
        for host in sources:
            nonce = state.make_nonce(now=read_steady_time())
            self._send(pack((FRESHNESS_QUERY, nonce, self._version)), host)

    def _report(self) -> None:
        now = read_steady_time()
        age_s = self._state.age_s(now=now)
        known = age_s < math.inf
        self._metrics.config_age.set({}, round(age_s, 3) if known else -1.0)
        proven = self._state.admits_keys(now=now)
        if proven is self._proven:
            return
        self._proven = proven
        self._log.state_change(
            "configuration-proven" if proven else "configuration-unproven",
            version=self._version,
            age_s=round(age_s, 3) if known else None,
            unanswered=self._state.unanswered,
        )


def _decode(payload: bytes, length: int) -> list[int]:
    """Returns the numbers of a message after its kind."""
    try:
        fields = unpack(payload)
        if len(fields) < length:
            raise ValueError(f"got {len(fields)} fields, expected {length}")
        return [read_number(field) for field in fields[1:length]]
    except (TypeError, ValueError) as exc:
        raise MessageInvalidError(
            f"invalid message about freshness: {exc}"
        ) from exc
