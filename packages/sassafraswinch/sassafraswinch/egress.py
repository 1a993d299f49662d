"""Egress of a node: child calls that the local backend server makes."""

from collections.abc import Callable

from sassafraswinch.claims import Dispatch, Join, Recorded, Refused
from sassafraswinch.classify import Classification, Classifier
from sassafraswinch.entry import Entry
from sassafraswinch.executor import Executor
from sassafraswinch.outcomes import outcome_of
from sassafraswinch.owned_call import Finished, OwnedCall
from sassafraswinch.owner import Owner
from sassafraswinch.pending import LocalWaiter, Pending
from sassafraswinch.requests import CallKey, Outcome, Request
from sassafraswinch.retry import RetryAllowance
from sassafraswinch.running_call import RunningCall
from sassafraswinch.tickets import fingerprint
from sassafraswinch.traceparent import is_own_span
from sassafraswinch.verdict import Reason, Verdict


class Egress:
    """Admits child calls of running parents as owned calls and returns their outcomes.

    A parent runs once and its node owns all its child calls, so a child call needs no
    ticket: a retry of the same child call passes through this node and is recognised.
    """

    def __init__(
        self,
        *,
        executor: Executor,
        owner: Owner,
        entry: Entry,
        respond: Callable[[LocalWaiter, Outcome], None],
    ):
        self.executor = executor
        self.owner = owner
        self.entry = entry
        self.respond = respond
        self.classifier: Classifier | None = None
        self._running: dict[tuple[CallKey, int], OwnedCall] = {}

    def submit(
        self, request: Request, waiter: LocalWaiter, now_ms: float
    ) -> OwnedCall | None:
        """Submit a call of the local backend server.

        Returns:
            The owned call that the waiter now waits for, or None.
        """
        parent = self.executor.find_parent(request.traceparent)
        orphan = parent is None and is_own_span(request.traceparent)
        operation = None
        if self.classifier is not None:
            operation = self.classifier.find_operation(
                request.service, request.method, request.target
            )
        if operation is None:
            return self._refuse_unclassified(parent, orphan, waiter)
        classification = self.classifier.lowest_classification(operation)
        if parent is not None:
            return self._submit_child(request, classification, parent, waiter, now_ms)
        if orphan:
            may_have_run = not classification.repeatable
            return self._refuse(waiter, Reason.CANCELLED, may_have_run=may_have_run)
        return self.entry.submit_classified(request, classification, waiter, now_ms)

    def handle_finished(self, finished: Finished, now_ms: float) -> None:
        """Settle the parent and the waiters of a finished child call."""
        owned = finished.owned
        pending: Pending = owned.context
        parent = pending.parent
        if not finished.timed_out:
            number = pending.child_number
            del self._running[parent.key, number]
            parent.allowance.reclaim(number, owned.allowance.unspent)
            parent.children.finish(number, finished.answer, repeatable=owned.repeatable)
            parent.record_child_end(now_ms, finished.answer.thresholds)
        waiters, pending.waiters = pending.waiters, []
        for waiter in waiters:
            self.respond(waiter, outcome_of(finished.answer))

    def cancel_children(self, parent: RunningCall, now_ms: float) -> None:
        """Cancel the open child calls of a parent that has ended."""
        orphans = [
            owned
            for owned in self.owner.open.values()
            if owned.context.parent is parent and not owned.abandoned
        ]
        for owned in orphans:
            self.owner.abandon(owned, now_ms)

    def _submit_child(
        self,
        request: Request,
        classification: Classification,
        parent: RunningCall,
        waiter: LocalWaiter,
        now_ms: float,
    ) -> OwnedCall | None:
        claim = parent.children.claim(
            classification.operation.name,
            child_key(request),
            repeatable=classification.repeatable,
        )
        match claim:
            case Dispatch(number=number):
                return self._begin(
                    request, classification, parent, number, waiter, now_ms
                )
            case Join(number=number):
                return self._join(parent, number, waiter)
            case Recorded(answer=answer):
                self.respond(waiter, outcome_of(answer))
            case Refused(verdict=verdict, reason=reason):
                self.respond(waiter, Outcome(verdict=verdict, reason=reason))
        return None

    def _begin(
        self,
        request: Request,
        classification: Classification,
        parent: RunningCall,
        number: int,
        waiter: LocalWaiter,
        now_ms: float,
    ) -> OwnedCall:
        pending = Pending(
            classification=classification,
            organisation=request.organisation,
            begun_at_ms=now_ms,
            waiters=[waiter],
            parent=parent,
            child_number=number,
            granted_retries=parent.allowance.reserve_for_child(number),
        )
        call = parent.call
        owned = OwnedCall(
            service=request.service,
            operation=classification.operation.name,
            repeatable=classification.repeatable,
            rank=call.rank,
            root_id=call.root_id,
            depth=call.depth + 1,
            progress=call.progress + parent.finished_children + 1,
            deadline_at_ms=parent.deadline_at_ms,
            begun_at_ms=now_ms,
            allowance=RetryAllowance(granted=pending.granted_retries),
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=request.body,
            context=pending,
        )
        self._running[parent.key, number] = owned
        parent.record_child_start(now_ms)
        self.owner.begin(owned, now_ms)
        return owned

    def _join(self, parent: RunningCall, number: int, waiter: LocalWaiter) -> OwnedCall:
        owned = self._running[parent.key, number]
        self.owner.attach_waiter(owned, parent.deadline_at_ms)
        owned.context.waiters.append(waiter)
        return owned

    def _refuse_unclassified(
        self, parent: RunningCall | None, orphan: bool, waiter: LocalWaiter
    ) -> None:
        """Refuse a call of an unknown operation, or any call without a document."""
        no_document = self.classifier is None
        reason = Reason.NO_DOCUMENT if no_document else Reason.UNKNOWN_OPERATION
        may_have_run = orphan or (parent is not None and parent.made_child_calls)
        self._refuse(waiter, reason, may_have_run=may_have_run)

    def _refuse(
        self, waiter: LocalWaiter, reason: Reason, *, may_have_run: bool
    ) -> None:
        """Refuse a call, with MAY_HAVE_RUN if an earlier one like it may have run.

        Failure: an approval is cancelled, or its node restarts, while its backend
        server waits for a release, and the backend server retries the release. The
        record of the first release was lost with the parent, and that release may have
        run or may still run.
        """
        verdict = Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN
        self.respond(waiter, Outcome(verdict=verdict, reason=reason))


def child_key(request: Request) -> bytes:
    """Return a key that is the same for a child call and its retries."""
    if request.idempotency_key is not None:
        return request.idempotency_key.encode()
    return fingerprint(request.method, request.target, request.body)
