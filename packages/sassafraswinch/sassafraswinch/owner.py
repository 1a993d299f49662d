"""Call owner of a node: places calls on hosts, retries them and sets their outcome."""

import itertools
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from sassafraswinch.membership import Membership
from sassafraswinch.messages import (
    Acknowledge,
    Answer,
    Cancel,
    FenceReply,
    NodeId,
)
from sassafraswinch.owned_call import Attempt, Finished, OwnedCall
from sassafraswinch.ports import LinkPort
from sassafraswinch.routing import Router
from sassafraswinch.sent_calls import SentCalls
from sassafraswinch.verdict import Reason, Verdict

DEADLINE_GRACE_MS = 50.0
"""Wait past a deadline for the executing node's proof that a call never ran."""

MIN_RETRY_TIME_MS = 5.0
"""Minimum time left for a retry; with less it can't be answered in time."""

RETRIED_REASONS = frozenset(
    {
        Reason.LEAVING,
        Reason.NO_DOCUMENT,
        Reason.BACKEND_SHED,
        Reason.BACKEND_UNREACHABLE,
        Reason.LINK_LOST,
        Reason.FENCED,
    }
)
"""Reasons of a NOT_RUN that concern one host only, so another host is tried."""

OVERLOAD_REASONS = frozenset({Reason.OVERLOADED, Reason.EVICTED, Reason.DEADLINE})
"""Reasons of a NOT_RUN for lack of capacity: only a host that still admits lower
classes is tried, so that retries add no load to a service that is overloaded on all
hosts."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Peer:
    """An executing node and the session of the newest link to it."""

    node: NodeId
    session: int


class Owner:
    """Brings every owned call to exactly one final answer.

    Guard against duplicate execution: a non-repeatable call has at most one attempt
    without an outcome. The next one starts only once NOT_RUN is proved for the last.
    """

    def __init__(
        self,
        *,
        node: NodeId,
        links: LinkPort,
        membership: Membership,
        router: Router,
        service_called: Callable[[str], None] = lambda service: None,
    ):
        self.node = node
        self.links = links
        self.membership = membership
        self.router = router
        self.service_called = service_called
        self.open: dict[int, OwnedCall] = {}
        self.retries = 0
        self._numbers = itertools.count(1)
        self._sent = SentCalls()
        self._peers: dict[str, Peer] = {node.host: Peer(node=node, session=0)}
        self._finished: list[Finished] = []
        self._acknowledge: dict[str, list[int]] = defaultdict(list)

    def next_number(self) -> int:
        """Return a new number, unique within this incarnation."""
        return next(self._numbers)

    def take_finished(self) -> list[Finished]:
        """Return the calls that got their final answer since the last call."""
        finished, self._finished = self._finished, []
        return finished

    def begin(self, owned: OwnedCall, now_ms: float) -> None:
        """Dispatch a new call to a host."""
        self._place(owned, None, now_ms)

    def abandon(self, owned: OwnedCall, now_ms: float) -> None:
        """Mark a call as abandoned by its waiters; a queued or repeatable one stops."""
        owned.abandoned = True
        attempt = owned.attempt
        if attempt is None:
            return
        self.links.send(attempt.peer.host, Cancel(number=attempt.number))
        if owned.repeatable:
            self._close_attempt(attempt)
            self._end(owned, Verdict.MAY_HAVE_RUN, Reason.CANCELLED)

    def attach_waiter(self, owned: OwnedCall, wait_until_ms: float) -> None:
        """Record another waiter for a call that was dispatched before.

        Example: the caller of an approval got MAY_HAVE_RUN at the deadline and sends
        the same ticket again. The retry has its own deadline, but the earliest deadline
        ends the wait of all waiters, so that none is answered late.
        """
        owned.abandoned = False
        owned.wait_until_ms = min(owned.wait_ends_ms, wait_until_ms)

    def handle_answer(self, peer: NodeId, answer: Answer, now_ms: float) -> None:
        """Handle an answer from an executing node."""
        self._acknowledge[peer.host].append(answer.number)
        if not self._sent.is_open(answer.number, peer):
            return
        owned = self.open[answer.number]
        attempt = owned.attempt
        self._sent.settle(attempt.number)
        del self.open[attempt.number]
        ran = answer.verdict is Verdict.ANSWERED
        latency_ms = now_ms - attempt.sent_at_ms if ran else None
        self.router.record_answer(peer.host, latency_ms, answer.load, now_ms)
        owned.allowance.reclaim(attempt.number, answer.unspent)
        if answer.verdict is Verdict.ANSWERED:
            self._finished.append(Finished(owned=owned, answer=answer))
        else:
            self._handle_failure(owned, attempt, answer, now_ms)

    def handle_fence_reply(
        self, peer: NodeId, reply: FenceReply, now_ms: float
    ) -> None:
        """Handle the executing node's state of a call whose link was lost."""
        verdict = self._sent.settle_fenced(peer, reply)
        if verdict is None:
            return
        owned = self.open[reply.number]
        attempt = owned.attempt
        self._close_attempt(attempt)
        reason = Reason.LINK_LOST
        if verdict is Verdict.NOT_RUN:
            owned.allowance.reclaim(attempt.number, attempt.granted_retries)
            reason = Reason.FENCED
        self._handle_failure(
            owned, attempt, _make_answer(attempt, verdict, reason), now_ms
        )

    def link_up(self, peer: NodeId, session: int, now_ms: float) -> None:
        """Record a new link to an executing node and fence calls sent on older ones.

        Failure: a link goes silent while an approval runs behind it. A resend would run
        it twice, and an early end would leave the caller without the outcome. So the
        state is requested over the newer link. A restarted node has lost its records,
        so its calls end with MAY_HAVE_RUN.
        """
        self._peers[peer.host] = Peer(node=peer, session=session)
        recovery = self._sent.link_up(peer, session)
        for fence in recovery.fences:
            self.links.send(peer.host, fence)
        for number in recovery.lost:
            self._end_lost_attempt(self.open[number], Reason.PEER_RESTARTED, now_ms)

    def link_lost(self, host: str, session: int, now_ms: float) -> None:
        """Record the loss of a link.

        If a newer link is open, the calls are fenced already. Otherwise a repeatable
        call is retried at once on another host, and a non-repeatable one waits for the
        next link.
        """
        peer = self._peers.get(host)
        if peer is None or peer.session > session:
            return
        del self._peers[host]
        self.router.record_failure(host, now_ms)
        for owned in self._on_host(host):
            if owned.repeatable:
                self._end_lost_attempt(owned, Reason.LINK_LOST, now_ms)

    def tick(self, now_ms: float) -> None:
        """Time out calls past their deadline and send due acknowledgements."""
        late = [
            owned
            for owned in self.open.values()
            if now_ms > owned.wait_ends_ms + DEADLINE_GRACE_MS
        ]
        for owned in late:
            self._time_out(owned, now_ms)
        self._send_acknowledgements()

    def is_linked(self, node: NodeId) -> bool:
        """Return whether this node dialled an open link to ``node``."""
        peer = self._peers.get(node.host)
        return peer is not None and peer.node == node

    def _on_host(self, host: str) -> list[OwnedCall]:
        return [
            owned for owned in self.open.values() if owned.attempt.peer.host == host
        ]

    def _place(self, owned: OwnedCall, last: Answer | None, now_ms: float) -> None:
        self.service_called(owned.service)
        candidates = self.membership.candidates(owned.service, now_ms)
        while True:
            view = self.router.choose(
                candidates, excluded=owned.failed_hosts, now_ms=now_ms
            )
            if view is None:
                self._end_unplaced(owned, last)
                return
            if self._send(owned, view.name, now_ms):
                return
            owned.failed_hosts |= {view.name}
            self.router.record_failure(view.name, now_ms)

    def _send(self, owned: OwnedCall, host: str, now_ms: float) -> bool:
        peer = self._peers.get(host)
        if peer is None:
            return False
        number = self.next_number()
        if not self._sent.add(number, peer=peer.node, session=peer.session):
            return False
        granted = owned.allowance.reserve_for_child(number)
        session = self.links.send(host, owned.message(number, granted, now_ms))
        if session is None:
            self._sent.settle(number)
            owned.allowance.reclaim(number, granted)
            return False
        owned.attempt = Attempt(
            number=number, peer=peer.node, granted_retries=granted, sent_at_ms=now_ms
        )
        self.open[number] = owned
        self.router.record_sent(host, now_ms)
        return True

    def _close_attempt(self, attempt: Attempt) -> None:
        """Stop waiting for the answer of an attempt."""
        self._sent.settle(attempt.number)
        del self.open[attempt.number]
        self.router.record_abandoned(attempt.peer.host)

    def _handle_failure(
        self, owned: OwnedCall, attempt: Attempt, answer: Answer, now_ms: float
    ) -> None:
        owned.attempt = None
        if answer.verdict is Verdict.MAY_HAVE_RUN:
            owned.may_have_run = True
        if self._may_retry(owned, answer, now_ms):
            owned.failed_hosts |= {attempt.peer.host}
            if answer.reason in OVERLOAD_REASONS:
                owned.failed_hosts |= self._hosts_without_capacity(owned, now_ms)
            if self._has_other_host(owned, now_ms) and owned.allowance.spend():
                self.retries += 1
                self._place(owned, answer, now_ms)
                return
        self._end_with(owned, answer)

    def _may_retry(self, owned: OwnedCall, answer: Answer, now_ms: float) -> bool:
        if owned.abandoned or now_ms + MIN_RETRY_TIME_MS > owned.deadline_at_ms:
            return False
        if answer.verdict is Verdict.MAY_HAVE_RUN:
            return owned.repeatable
        return answer.reason in RETRIED_REASONS or answer.reason in OVERLOAD_REASONS

    def _hosts_without_capacity(
        self, owned: OwnedCall, now_ms: float
    ) -> frozenset[str]:
        """Return the hosts not known to admit classes below that of the call.

        Failure: a paying call is refused by the busiest host while another host of the
        service still serves trial calls. The retry goes to such a host only.
        """
        return frozenset(
            view.name
            for view in self.membership.candidates(owned.service, now_ms)
            if not self.router.admits_below(view.name, owned.rank, now_ms)
        )

    def _has_other_host(self, owned: OwnedCall, now_ms: float) -> bool:
        return any(
            view.name not in owned.failed_hosts and view.name in self._peers
            for view in self.membership.candidates(owned.service, now_ms)
        )

    def _end_lost_attempt(
        self, owned: OwnedCall, reason: Reason, now_ms: float
    ) -> None:
        attempt = owned.attempt
        self._close_attempt(attempt)
        answer = _make_answer(attempt, Verdict.MAY_HAVE_RUN, reason)
        self._handle_failure(owned, attempt, answer, now_ms)

    def _time_out(self, owned: OwnedCall, now_ms: float) -> None:
        """End the wait for a call past its deadline.

        The executing node answers by the deadline even if its backend server doesn't.
        So a missing answer is a fault of the node or the link, and the host counts as
        failed for the router.
        """
        attempt = owned.attempt
        self.router.record_failure(attempt.peer.host, now_ms)
        self.links.send(attempt.peer.host, Cancel(number=attempt.number))
        if owned.repeatable or now_ms > owned.detached_wait_ends_ms:
            self._close_attempt(attempt)
            self._end(owned, Verdict.MAY_HAVE_RUN, Reason.DEADLINE)
            return
        owned.abandoned = True
        owned.wait_until_ms = owned.detached_wait_ends_ms
        answer = _make_answer(attempt, Verdict.MAY_HAVE_RUN, Reason.DEADLINE)
        self._finished.append(Finished(owned=owned, answer=answer, timed_out=True))

    def _end_unplaced(self, owned: OwnedCall, last: Answer | None) -> None:
        if last is not None:
            self._end_with(owned, last)
        else:
            self._end(owned, Verdict.NOT_RUN, Reason.NO_HOST)

    def _end(self, owned: OwnedCall, verdict: Verdict, reason: Reason) -> None:
        self._end_with(owned, Answer(number=0, verdict=verdict, reason=reason))

    def _end_with(self, owned: OwnedCall, answer: Answer) -> None:
        if owned.may_have_run and answer.verdict is Verdict.NOT_RUN:
            answer = Answer(
                number=answer.number,
                verdict=Verdict.MAY_HAVE_RUN,
                reason=answer.reason,
                thresholds=answer.thresholds,
                retry_after_ms=answer.retry_after_ms,
            )
        owned.attempt = None
        self._finished.append(Finished(owned=owned, answer=answer))

    def _send_acknowledgements(self) -> None:
        due, self._acknowledge = self._acknowledge, defaultdict(list)
        for host, numbers in due.items():
            self.links.send(host, Acknowledge(numbers=tuple(numbers)))


def _make_answer(attempt: Attempt, verdict: Verdict, reason: Reason) -> Answer:
    return Answer(number=attempt.number, verdict=verdict, reason=reason)
