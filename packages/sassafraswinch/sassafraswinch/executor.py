"""Call executor of a node: runs calls of owners on the local backend server."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from sassafraswinch.answer_store import AnswerStore
from sassafraswinch.dispatch_result import judge
from sassafraswinch.errors import InvariantError
from sassafraswinch.execution import ExecutionLedger
from sassafraswinch.gate import Gate, GateDecision
from sassafraswinch.messages import (
    Answer,
    Call,
    Cancel,
    Fence,
    FenceReply,
    Load,
    NodeId,
)
from sassafraswinch.ports import BackendPort
from sassafraswinch.requests import BackendResult, CallKey
from sassafraswinch.retry import ChildCalls, RetryAllowance
from sassafraswinch.running_call import RunningCall, thresholds_met
from sassafraswinch.traceparent import (
    make_span,
    parse_traceparent,
    serialize_traceparent,
)
from sassafraswinch.verdict import Reason, Verdict

MAX_DEPTH = 64
"""Maximum depth of a call tree; a deeper one is taken for a loop between services."""

MAX_CHILD_ANSWER_BYTES = 8_388_608
"""Memory for answers of non-repeatable child calls, kept until their parent ends."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """An answer to be sent to the owner of a call."""

    owner: NodeId
    message: Answer | FenceReply


class Executor:
    """Admits, starts, cancels and answers the calls that owners send to this host."""

    def __init__(
        self,
        *,
        gate: Gate,
        ledger: ExecutionLedger,
        backend: BackendPort,
        rng: random.Random,
    ):
        self.gate = gate
        self.ledger = ledger
        self.backend = backend
        self.rng = rng
        self.leaving = False
        self.has_document = False
        """Set with the first document in force, which child calls are classified by."""
        self.received = 0
        self.calls: dict[CallKey, RunningCall] = {}
        self._by_span: dict[str, RunningCall] = {}
        self._child_answers: AnswerStore[tuple[CallKey, int]] = AnswerStore(
            max_bytes=MAX_CHILD_ANSWER_BYTES
        )
        self._replies: list[Reply] = []
        self._ended: list[RunningCall] = []

    def take_replies(self) -> list[Reply]:
        """Return the replies to owners made since the last call."""
        replies, self._replies = self._replies, []
        return replies

    def take_ended(self) -> list[RunningCall]:
        """Return the calls ended since the last call; their child calls are orphans."""
        ended, self._ended = self._ended, []
        return ended

    def find_parent(self, traceparent: str | None) -> RunningCall | None:
        """Return the running call whose span a child call's ``traceparent`` names."""
        ids = parse_traceparent(traceparent)
        running = self._by_span.get(ids[1]) if ids else None
        if running is None or running.call.root_id != ids[0]:
            return None
        return running

    def receive(self, owner: NodeId, session: int, call: Call, now_ms: float) -> None:
        """Receive a call; its answer follows by ``take_replies``.

        Without a document the call is refused. Failure: a restarted node receives an
        approval while it still requests the newest document from its peers. If the
        approval started, its child calls would be refused for lack of a document and
        its work would be wasted.
        """
        if not self.ledger.receive(owner, session, call.number):
            return
        self.received += 1
        running = self._make_running_call(CallKey(owner, call.number), call, now_ms)
        self.calls[running.key] = running
        if self.leaving:
            self._refuse(running, Reason.LEAVING, 0, now_ms)
            return
        if not self.has_document:
            self._refuse(running, Reason.NO_DOCUMENT, 0, now_ms)
            return
        if call.depth > MAX_DEPTH:
            self._refuse(running, Reason.BAD_REQUEST, 0, now_ms)
            return
        decision = self.gate.offer(
            key=running.key,
            rank=call.rank,
            progress=call.progress,
            operation=call.operation,
            deadline_at_ms=running.deadline_at_ms,
            now_ms=now_ms,
        )
        self._apply(decision, now_ms)

    def _make_running_call(
        self, key: CallKey, call: Call, now_ms: float
    ) -> RunningCall:
        allowance = RetryAllowance(granted=call.allowance)
        children = ChildCalls(
            parent=key,
            parent_repeatable=call.repeatable,
            allowance=allowance,
            answers=self._child_answers,
        )
        return RunningCall(
            key=key,
            call=call,
            deadline_at_ms=now_ms + call.remaining_ms,
            allowance=allowance,
            span_id=make_span(call.root_id, self.rng),
            children=children,
        )

    def cancel(self, owner: NodeId, cancel: Cancel, now_ms: float) -> None:
        """Cancel a call at the request of its owner.

        A queued call is withdrawn, which proves NOT_RUN. A started one is stopped only
        if it is repeatable, since a partial run of an approval is of no use.
        """
        running = self.calls.get(CallKey(owner, cancel.number))
        if running is not None:
            self.cancel_call(running, now_ms)

    def cancel_call(self, running: RunningCall, now_ms: float) -> None:
        """Withdraw a queued call, or stop a started repeatable one."""
        if running.started_at_ms is None:
            decision = self.gate.withdraw(running.key, now_ms)
            self._refuse(running, Reason.CANCELLED, 0, now_ms)
            self._apply(decision, now_ms)
        elif running.call.repeatable and not running.cancelled:
            running.cancelled = True
            self.backend.cancel(running.key)

    def fence(self, owner: NodeId, fence: Fence, now_ms: float) -> None:
        """Handle the fence of an owner that lost a link.

        See ``ExecutionLedger.fence``.
        """
        result = self.ledger.fence(owner, fence)
        withdrawn = [CallKey(owner, number) for number in result.withdrawn]
        for key in withdrawn:
            running = self.calls.pop(key, None)
            if running is not None:
                self._apply(self.gate.withdraw(key, now_ms), now_ms)
        self._replies.extend(
            Reply(owner=owner, message=message) for message in result.replies
        )

    def backend_done(self, key: CallKey, result: BackendResult, now_ms: float) -> None:
        """Handle the end of a dispatch to the backend server."""
        running = self.calls.get(key)
        if running is None:
            return
        verdict, reason, outcome = judge(
            result,
            cancelled=running.cancelled,
            made_child_calls=running.made_child_calls,
        )
        decision = self.gate.finished(
            key=key,
            self_time_ms=running.self_time_ms(now_ms),
            outcome=outcome,
            now_ms=now_ms,
        )
        self._finish(running, result, verdict, reason, now_ms)
        self._apply(decision, now_ms)

    def tick(self, now_ms: float) -> None:
        """Refuse queued calls that can't finish in time and update adaptive limits."""
        self._apply(self.gate.tick(now_ms), now_ms)

    def leave(self, now_ms: float) -> None:
        """Refuse new and queued calls; started ones run to their end."""
        self.leaving = True
        self._apply(self.gate.leave(), now_ms)

    def _apply(self, decision: GateDecision, now_ms: float) -> None:
        for refusal in decision.refused:
            running = self.calls.get(refusal.key)
            if running is not None:
                self._refuse(running, refusal.reason, refusal.retry_after_ms, now_ms)
        self._start_all(decision.start, now_ms)

    def _start_all(self, keys: Iterable[CallKey], now_ms: float) -> None:
        for key in keys:
            running = self.calls.get(key)
            if running is None or running.started_at_ms is not None:
                raise InvariantError(
                    invariant="a call starts once", facts=f"{key} was started twice"
                )
            if not self.ledger.start(key.owner, key.number):
                raise InvariantError(
                    invariant="a call starts once", facts=f"{key} was fenced"
                )
            running.started_at_ms = now_ms
            self._by_span[running.span_id] = running
            header = serialize_traceparent(running.call.root_id, running.span_id)
            self.backend.dispatch(key, running.call, header)

    def _refuse(
        self, running: RunningCall, reason: Reason, retry_after_ms: int, now_ms: float
    ) -> None:
        if running.started_at_ms is not None:
            raise InvariantError(
                invariant="NOT_RUN means not run", facts=f"{running.key} was started"
            )
        del self.calls[running.key]
        load = self.load(now_ms)
        self._answer(
            running,
            Answer(
                number=running.key.number,
                verdict=Verdict.NOT_RUN,
                reason=reason,
                unspent=running.allowance.close(),
                thresholds=thresholds_met(running, load),
                retry_after_ms=retry_after_ms,
                load=load,
            ),
        )

    def _finish(
        self,
        running: RunningCall,
        result: BackendResult,
        verdict: Verdict,
        reason: Reason | None,
        now_ms: float,
    ) -> None:
        del self.calls[running.key]
        del self._by_span[running.span_id]
        running.children.close()
        self._ended.append(running)
        answered = verdict is Verdict.ANSWERED
        load = self.load(now_ms)
        self._answer(
            running,
            Answer(
                number=running.key.number,
                verdict=verdict,
                reason=reason,
                status=result.status if answered else 0,
                headers=result.headers if answered else (),
                body=result.body if answered else b"",
                unspent=running.allowance.close(),
                thresholds=thresholds_met(running, load),
                load=load,
            ),
        )

    def _answer(self, running: RunningCall, answer: Answer) -> None:
        self.ledger.finish(running.key.owner, running.key.number, answer)
        self._replies.append(Reply(owner=running.key.owner, message=answer))

    def load(self, now_ms: float) -> Load:
        """Return the load of the backend server, as reported to other nodes."""
        return self.gate.load(now_ms)
