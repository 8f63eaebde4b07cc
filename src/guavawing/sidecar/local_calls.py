"""Handlers of HTTP calls from the platform and the target on this VM."""

import asyncio
from collections.abc import Callable

from guavawing.errors import MessageInvalidError
from guavawing.platform.headers import build_answer, build_refusal
from guavawing.platform.heartbeats import (
    DEREGISTRATION_PATH,
    HEARTBEAT_PATH,
    decode_deregistration,
    decode_heartbeat,
)
from guavawing.sidecar.decision_log import DecisionLog
from guavawing.sidecar.http_request import HttpRequest
from guavawing.sidecar.metrics import SidecarMetrics
from guavawing.traffic.heartbeat_proof import HeartbeatProof
from guavawing.traffic.peers import PeerTable
from guavawing.traffic.target_state import TargetState
from guavawing.traffic.uploads import BodyRoom

__all__ = ["LocalCalls"]

OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
UNAVAILABLE = 503
JSON_HEAD = b"Content-Type: application/json\r\n"
TEXT_HEAD = b"Content-Type: text/plain; version=0.0.4\r\n"
MAX_LOGGED_ID_CHARS = 80


class LocalCalls:
    """Handlers of heartbeats, readiness checks and metrics scrapes."""

    def __init__(
        self,
        *,
        target: TargetState,
        proof: HeartbeatProof,
        on_unverified: Callable[[], None],
        on_target: Callable[[], None],
        is_ready: Callable[[], bool],
        peers: PeerTable,
        room: BodyRoom,
        log: DecisionLog,
        metrics: SidecarMetrics,
    ) -> None:
        """Creates handlers for `HttpServer`.

        Args:
            target: Updated by heartbeats and departures.
            proof: Holds heartbeats that have to be verified.
            on_unverified: Called when it holds one.
            on_target: Called when the state of the target has changed.
            is_ready: Returns whether clients may send requests to this VM.
            peers: The other nodes, whose numbers are in the metrics.
            room: Memory for large bodies, whose use is in the metrics.
            log: Receives rejected heartbeats.
            metrics: The metrics to expose.
        """
        self._loop = asyncio.get_running_loop()
        self._target = target
        self._proof = proof
        self._on_unverified = on_unverified
        self._on_target = on_target
        self._is_ready = is_ready
        self._peers = peers
        self._room = room
        self._log = log
        self._metrics = metrics

    def handle_readiness(self, request: HttpRequest) -> None:
        """Answers the readiness check of the platform."""
        status = OK if self._is_ready() else UNAVAILABLE
        request.respond(build_refusal(status, b""))

    def handle_scrape(self, request: HttpRequest) -> None:
        """Answers a scrape with the metrics."""
        alive = sum(1 for peer in self._peers if peer.view.alive)
        self._metrics.peers.set({"state": "alive"}, alive)
        self._metrics.peers.set({"state": "lost"}, len(self._peers) - alive)
        self._metrics.held_bodies.set({}, self._room.held_bytes)
        self._metrics.log_lines_left_out.set({}, self._log.left_out)
        payload = build_answer(
            OK, TEXT_HEAD, self._metrics.render(), closes=False
        )
        request.respond(payload)

    def handle_target_call(self, request: HttpRequest) -> None:
        """Handles a heartbeat or the departure of the target."""
        path = request.path.decode("latin-1")
        if path.startswith(HEARTBEAT_PATH):
            target_id = path.removeprefix(HEARTBEAT_PATH)
            status = self._apply_heartbeat(target_id, request.body)
        elif path.startswith(DEREGISTRATION_PATH):
            target_id = path.removeprefix(DEREGISTRATION_PATH)
            status = self._apply_deregistration(target_id, request.body)
        else:
            status = NOT_FOUND
        body = b"{}" if status == OK else b""
        payload = build_answer(status, JSON_HEAD, body, closes=False)
        request.respond(payload)

    def _apply_deregistration(self, target_id: str, body: bytes) -> int:
        born_ms = 0
        try:
            born_ms = decode_deregistration(target_id, body)
        except MessageInvalidError as exc:
            # The path names the target, so its departure binds all the same.
            self._metrics.unreadable.inc({"source": "deregistration"})
            self._log.state_change("deregistration-unreadable", cause=str(exc))
        born_ms = born_ms or self._proof.find_start(target_id)
        self._log.state_change(
            "target-deregistered",
            target=target_id[:MAX_LOGGED_ID_CHARS],
            born_ms=born_ms,
            known=target_id == self._target.target_id,
        )
        if self._target.apply_departure(
            target_id, born_ms=born_ms, now=self._loop.time()
        ):
            self._on_target()
        return OK

    def _apply_heartbeat(self, target_id: str, body: bytes) -> int:
        try:
            report = decode_heartbeat(target_id, body)
        except MessageInvalidError as exc:
            self._metrics.unreadable.inc({"source": "heartbeat"})
            self._log.state_change("heartbeat-unreadable", cause=str(exc))
            return BAD_REQUEST
        if not self._target.is_own_target(report):
            self._metrics.unreadable.inc({"source": "heartbeat"})
            self._log.state_change(
                "heartbeat-of-another", target=target_id[:MAX_LOGGED_ID_CHARS]
            )
            return BAD_REQUEST
        now = self._loop.time()
        if not self._proof.admit(report, now=now):
            self._log.state_change(
                "heartbeat-unverified",
                target=target_id[:MAX_LOGGED_ID_CHARS],
                sequence=report.sequence,
            )
            self._on_unverified()
        elif self._target.apply_report(report, now=now):
            self._on_target()
        return OK
