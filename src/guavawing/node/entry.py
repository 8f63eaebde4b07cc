"""Entry role of a node: choice of owners, connections, retry budgets."""

import asyncio
from collections.abc import Sequence

from guavawing.membership import Member, MemberTable
from guavawing.model import MemberId
from guavawing.node.call import Call
from guavawing.node.call_headers import is_budget_spent
from guavawing.node.call_router import CallRouter
from guavawing.node.mesh_pool import MeshPool
from guavawing.node.messages import Answer, CallAttempt
from guavawing.node.metrics import Metrics
from guavawing.node.owner import Owner
from guavawing.node.submission import Submission
from guavawing.policy.bound_key import BoundKey
from guavawing.policy.choice import Candidate, Chooser, LoadReport
from guavawing.policy.retry import RetryBudget
from guavawing.store.claims import ClaimTable
from guavawing.verdict import Verdict

__all__ = ["Entry"]

KEYS_PER_OWNER = 32


class Entry:
    """Routes calls to owners, including the one of this node."""

    def __init__(
        self,
        *,
        me: Member,
        table: MemberTable,
        owner: Owner,
        pool: MeshPool,
        chooser: Chooser,
        claims: ClaimTable,
        metrics: Metrics,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._me = me
        self._table = table
        self._owner = owner
        self._pool = pool
        self._chooser = chooser
        self._claims = claims
        self._metrics = metrics
        self._budgets: dict[str, RetryBudget] = {}
        self._candidates: dict[MemberId, tuple[Member, Candidate]] = {}

    async def call(self, call: Call) -> Answer:
        """Returns the final answer of a call, by its deadline at the latest."""
        router = CallRouter(self, call)
        try:
            async with asyncio.timeout_at(call.attempt.deadline):
                answer = await router.route()
        except TimeoutError:
            answer = router.answer_at_deadline()
        if is_budget_spent(answer):
            self._owner.spent_calls.add(call.attempt.call_id)
        return answer

    def budget(self, service: str) -> RetryBudget:
        """Returns the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget()
        return budget

    def choose(
        self, service: str, excluded: set[MemberId], *, spill: bool
    ) -> Member | None:
        """Returns the member for the next attempt, or None."""
        members = self._table.serving(service)
        chosen = self._chooser.choose(
            self._list_candidates(members),
            excluded=excluded,
            spill=spill,
            now=self._loop.time(),
        )
        return None if chosen is None else self._table.get(chosen.id)

    def find_owner(self, key: BoundKey) -> Member | None:
        """Returns the member that a key is bound to; None if replaced.

        A member in the dead state is returned too: failure detection can be
        wrong, and only the owner has the outcome of the key.
        """
        member = self._table.get(key.owner)
        if member is None or member.incarnation > key.incarnation:
            return None
        return member

    async def mint_key(self, member: Member) -> BoundKey | None:
        """Returns a new key bound to a member, or None if unreachable."""
        if member.id == self._me.id:
            return self._owner.mint_key()
        conn = await self._pool.connect(member)
        if conn is None or not await conn.refresh_epoch():
            return None
        return conn.mint_key()

    async def mint_keys(self, service: str, count: int) -> list[BoundKey]:
        """Returns up to `count` new keys, spread over the owners."""
        keys: list[BoundKey] = []
        excluded: set[MemberId] = set()
        unreachable: set[MemberId] = set()
        # Owners in other data centres may be unreachable: keys are minted
        # there only if this data centre has no owner.
        spill = self.choose(service, excluded, spill=False) is None
        while len(keys) < count:
            member = self.choose(service, excluded | unreachable, spill=spill)
            if member is None and not excluded:
                break
            if member is None:
                # Every owner has minted its share; start another round.
                excluded.clear()
                continue
            excluded.add(member.id)
            for _ in range(min(count - len(keys), KEYS_PER_OWNER)):
                key = await self.mint_key(member)
                if key is None:
                    unreachable.add(member.id)
                    break
                keys.append(key)
        return keys

    async def submit(
        self, member: Member, attempt: CallAttempt
    ) -> Submission | None:
        """Sends an attempt to a member; None if it was not sent."""
        if member.id == self._me.id:
            return self._owner.submit(attempt)
        conn = await self._pool.connect(member)
        if conn is None or not conn.open:
            return None
        return conn.submit(attempt)

    def start(self, member: Member) -> None:
        """Counts an attempt as outstanding at a member."""
        self._chooser.start(self._make_candidate(member))

    def finish(
        self,
        member: Member,
        *,
        verdict: Verdict | None = None,
        elapsed_s: float | None = None,
    ) -> None:
        """Ends an outstanding attempt at a member.

        Args:
            member: The member to which it was sent.
            verdict: Its verdict; None if the caller cancelled it.
            elapsed_s: Time from its start, in seconds.
        """
        candidate = self._make_candidate(member)
        now = self._loop.time()
        self._chooser.finish(
            candidate,
            now=now,
            verdict=verdict,
            elapsed_s=elapsed_s,
            list_peers=lambda: self._list_candidates(
                self._table.serving(member.service)
            ),
        )
        if member.id == self._me.id:
            self._chooser.report(candidate, self._owner.load(), now=now)

    def remove_departed(self) -> None:
        """Removes the loads of members that are not in the table any more."""
        known = {(member.id, member.incarnation) for member in self._table}
        self._chooser.prune(known)
        for gone in self._candidates.keys() - {key[0] for key in known}:
            del self._candidates[gone]

    def record_load(
        self, member_id: MemberId, incarnation: int, load: LoadReport
    ) -> None:
        """Records the load that an owner reported."""
        _, candidate = self._candidates.get(member_id, (None, None))
        if candidate is None or candidate.incarnation != incarnation:
            candidate = Candidate(member_id, incarnation, local=False, slots=0)
        self._chooser.report(candidate, load, now=self._loop.time())

    @property
    def claims(self) -> ClaimTable:
        """Store of the bindings of callers' keys."""
        return self._claims

    @property
    def metrics(self) -> Metrics:
        """Counters of this node."""
        return self._metrics

    def _list_candidates(self, members: Sequence[Member]) -> list[Candidate]:
        return [self._make_candidate(member) for member in members]

    def _make_candidate(self, member: Member) -> Candidate:
        """Returns the candidate of a member, cached for each member record."""
        cached = self._candidates.get(member.id)
        if cached is not None and cached[0] is member:
            return cached[1]
        candidate = Candidate(
            member.id,
            member.incarnation,
            local=member.data_centre == self._me.data_centre,
            slots=member.slots,
        )
        self._candidates[member.id] = (member, candidate)
        return candidate
