"""Ingress admission of a node: classifies, sheds and deduplicates callers' requests."""

import random
from collections.abc import Callable

from sassafraswinch import claims, tickets
from sassafraswinch.burn import OTHER
from sassafraswinch.classify import Classification, Classifier, admission_level
from sassafraswinch.deadlines import answer_within_ms, time_left_ms
from sassafraswinch.forwarding import Forwarder
from sassafraswinch.ingress_limits import IngressLimits, not_run, retry_key
from sassafraswinch.messages import Answer, NodeId, Rank
from sassafraswinch.outcomes import outcome_of
from sassafraswinch.owned_call import Finished, OwnedCall
from sassafraswinch.owner import Owner
from sassafraswinch.pending import Pending, RemoteWaiter, Waiter
from sassafraswinch.ports import Recorder
from sassafraswinch.requests import Outcome, Request
from sassafraswinch.retry import RetryAllowance
from sassafraswinch.verdict import Reason, Verdict

NO_DOCUMENT_RETRY_AFTER_MS = 1000
"""Retry-after of a node without a document: it requests one from its peers and the
platform within about this time."""

UNCLASSIFIED_DEADLINE_MS = 1_000.0
"""Deadline of a request that is forwarded by a node which never had a document."""

LEAVING_RETRY_AFTER_MS = 100
"""Retry-after of a leaving node: another node of the availability zone can serve the
request at once."""


class Entry:
    """Admits requests of callers as owned calls and returns their outcomes."""

    def __init__(
        self,
        *,
        node: NodeId,
        owner: Owner,
        ledger: tickets.TicketLedger,
        forwarder: Forwarder,
        limits: IngressLimits,
        respond: Callable[[Waiter, Outcome], None],
        recorder: Recorder | None,
        rng: random.Random,
    ):
        self.node = node
        self.owner = owner
        self.ledger = ledger
        self.forwarder = forwarder
        self.limits = limits
        self.respond = respond
        self.recorder = recorder
        self.rng = rng
        self.classifier: Classifier | None = None
        """Classifier of the document in force; None without one, as after a resume
        from a process pause."""
        self._latest_classifier: Classifier | None = None
        self.leaving = False
        self._calls_by_ticket: dict[int, OwnedCall] = {}

    def set_classifier(self, classifier: Classifier | None) -> None:
        """Set the classifier; None: admit no request."""
        self.classifier = classifier
        self._latest_classifier = classifier or self._latest_classifier

    def submit(
        self, request: Request, waiter: Waiter, now_ms: float
    ) -> OwnedCall | None:
        """Submit a request of a caller, or one that another node forwarded.

        Returns:
            The owned call that the waiter now waits for, or None.
        """
        ticket = self._parsed_ticket(request)
        if ticket is not None and ticket.owner != self.node:
            return self._forward(request, ticket, waiter, now_ms)
        classifier = self.classifier if ticket is None else self._latest_classifier
        if classifier is None:
            reason = Reason.NO_DOCUMENT
            self._refuse(request, waiter, reason, NO_DOCUMENT_RETRY_AFTER_MS, now_ms)
            return None
        classification = _classify(classifier, request)
        if classification is None:
            self._refuse(request, waiter, Reason.UNKNOWN_OPERATION, 0, now_ms)
            return None
        return self.submit_classified(request, classification, waiter, now_ms)

    def submit_classified(
        self,
        request: Request,
        classification: Classification,
        waiter: Waiter,
        now_ms: float,
    ) -> OwnedCall | None:
        """Submit a request that is classified already.

        A ticket is honoured even if this node's document says that the operation is
        repeatable: the caller got the ticket from a node with another document.
        """
        ticket = self._parsed_ticket(request)
        if ticket is not None and ticket.owner != self.node:
            return self._forward(request, ticket, waiter, now_ms)
        if ticket is None and classification.repeatable:
            return self._admit(request, classification, waiter, None, now_ms)
        if request.ticket is None and self.leaving:
            reason = Reason.LEAVING
            self._refuse(request, waiter, reason, LEAVING_RETRY_AFTER_MS, now_ms)
            return None
        if request.ticket is None:
            ticket = self._issue_ticket(request.organisation, classification, now_ms)
            outcome = Outcome(
                verdict=Verdict.NOT_RUN, reason=Reason.TICKET_REQUIRED, ticket=ticket
            )
            self.respond(waiter, outcome)
            return None
        return self._claim(request, classification, waiter, now_ms)

    def handle_finished(self, finished: Finished, now_ms: float) -> None:
        """Settle the waiters and the ticket of a finished call."""
        pending: Pending = finished.owned.context
        answer = finished.answer
        classification = pending.classification
        self.limits.shedder.apply_thresholds(
            classification.operation.name,
            answer.thresholds,
            now_ms,
            complete=answer.verdict is Verdict.ANSWERED,
        )
        if pending.ticket_number is not None and not finished.timed_out:
            self.ledger.finish(pending.ticket_number, answer, now_ms)
            self._calls_by_ticket.pop(pending.ticket_number, None)
        if pending.waiters:
            self._record_answer(pending, answer, now_ms)
        waiters, pending.waiters = pending.waiters, []
        for waiter in waiters:
            outcome = self._outcome(pending, finished.owned.rank, answer, now_ms)
            self.respond(waiter, outcome)

    def _forward(
        self,
        request: Request,
        ticket: tickets.Ticket,
        waiter: Waiter,
        now_ms: float,
    ) -> None:
        """Forward a request to the owner of its ticket; this needs no document."""
        if isinstance(waiter, RemoteWaiter) or ticket.owner.host == self.node.host:
            self._refuse(request, waiter, Reason.TICKET_OWNER_RESTARTED, 0, now_ms)
            return
        classification = self._latest_classifier and _classify(
            self._latest_classifier, request
        )
        deadline_ms = (
            answer_within_ms(classification)
            if classification
            else UNCLASSIFIED_DEADLINE_MS
        )
        self.forwarder.forward(
            request,
            ticket.owner,
            waiter,
            deadline_ms=deadline_ms,
            now_ms=now_ms,
        )

    def _parsed_ticket(self, request: Request) -> tickets.Ticket | None:
        return tickets.parse_ticket(request.ticket) if request.ticket else None

    def _claim(
        self,
        request: Request,
        classification: Classification,
        waiter: Waiter,
        now_ms: float,
    ) -> OwnedCall | None:
        organisation = request.organisation
        claim = self.ledger.claim(
            request.ticket,
            organisation,
            classification.operation.name,
            tickets.fingerprint(request.method, request.target, request.body),
            now_ms,
        )
        match claim:
            case claims.Dispatch(number=number):
                return self._admit(request, classification, waiter, number, now_ms)
            case claims.Join(number=number):
                deadline_ms = time_left_ms(request, classification)
                return self._join(
                    self._calls_by_ticket[number], waiter, now_ms + deadline_ms
                )
            case claims.Recorded(answer=answer):
                ticket = self._issue_ticket(organisation, classification, now_ms)
                self.respond(waiter, outcome_of(answer, ticket=ticket))
            case claims.Refused(verdict=verdict, reason=reason):
                self._record_outcome(classification, verdict, reason, 0.0, now_ms)
                ticket = self._issue_ticket(organisation, classification, now_ms)
                self.respond(
                    waiter, Outcome(verdict=verdict, reason=reason, ticket=ticket)
                )
        return None

    def _join(
        self, owned: OwnedCall, waiter: Waiter, wait_until_ms: float
    ) -> OwnedCall:
        self.owner.attach_waiter(owned, wait_until_ms)
        pending: Pending = owned.context
        if waiter not in pending.waiters:
            pending.waiters.append(waiter)
        return owned

    def _admit(
        self,
        request: Request,
        classification: Classification,
        waiter: Waiter,
        ticket_number: int | None,
        now_ms: float,
    ) -> OwnedCall | None:
        root_id = f"{self.rng.getrandbits(128) | 1:032x}"
        rank = Rank(
            classification.class_order, admission_level(request.organisation, root_id)
        )
        pending = Pending(
            classification=classification,
            organisation=request.organisation,
            begun_at_ms=now_ms,
            waiters=[waiter],
            retry_key=retry_key(request),
            ticket_number=ticket_number,
        )
        refusal = self._closed_answer() or self.limits.refusal(pending, rank, now_ms)
        if refusal is not None:
            if ticket_number is not None:
                self.ledger.finish(ticket_number, refusal, now_ms)
            self._record_answer(pending, refusal, now_ms)
            self.respond(waiter, self._outcome(pending, rank, refusal, now_ms))
            return None
        owned = OwnedCall(
            service=request.service,
            operation=classification.operation.name,
            class_name=classification.class_name,
            repeatable=classification.repeatable and ticket_number is None,
            rank=rank,
            root_id=root_id,
            depth=0,
            progress=0,
            deadline_at_ms=now_ms + time_left_ms(request, classification),
            begun_at_ms=now_ms,
            allowance=RetryAllowance(granted=classification.allowance),
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=request.body,
            context=pending,
        )
        if ticket_number is not None:
            self._calls_by_ticket[ticket_number] = owned
        self.owner.begin(owned, now_ms)
        return owned

    def _closed_answer(self) -> Answer | None:
        """Return the NOT_RUN answer while no request is admitted, else None."""
        if self.classifier is None:
            return not_run(Reason.NO_DOCUMENT, NO_DOCUMENT_RETRY_AFTER_MS)
        if self.leaving:
            return not_run(Reason.LEAVING, LEAVING_RETRY_AFTER_MS)
        return None

    def _outcome(
        self, pending: Pending, rank: Rank, answer: Answer, now_ms: float
    ) -> Outcome:
        classification = pending.classification
        retry_after_ms = self.limits.retry_after_delay_ms(pending, rank, answer, now_ms)
        ticket = None
        if not classification.repeatable and pending.parent is None:
            ticket = self._issue_ticket(pending.organisation, classification, now_ms)
        return outcome_of(answer, ticket=ticket, retry_after_ms=retry_after_ms)

    def _record_answer(self, pending: Pending, answer: Answer, now_ms: float) -> None:
        latency_ms = now_ms - pending.begun_at_ms
        classification = pending.classification
        self._record_outcome(
            classification, answer.verdict, answer.reason, latency_ms, now_ms
        )

    def _record_outcome(
        self,
        classification: Classification,
        verdict: Verdict,
        reason: Reason | None,
        latency_ms: float,
        now_ms: float,
    ) -> None:
        if self.recorder is None:
            return
        self.recorder.record(
            class_name=classification.class_name,
            operation=classification.operation.name,
            verdict=verdict,
            reason=reason,
            latency_ms=latency_ms,
            now_ms=now_ms,
        )

    def issue_ticket(self, request: Request, now_ms: float) -> str | None:
        """Issue a ticket for another request of this organisation and operation."""
        classification = self._latest_classifier and _classify(
            self._latest_classifier, request
        )
        if not classification or classification.repeatable:
            return None
        return self._issue_ticket(request.organisation, classification, now_ms)

    def _issue_ticket(
        self, organisation: str, classification: Classification, now_ms: float
    ) -> str | None:
        """Issue a ticket for the next request, or None once this node is leaving.

        A ticket of a leaving node would be spent on a refusal, or its owner would be
        gone; no node could prove then that the ticket was never used.
        """
        if self.leaving:
            return None
        return self.ledger.issue(organisation, classification.operation.name, now_ms)

    def _refuse(
        self,
        request: Request,
        waiter: Waiter,
        reason: Reason,
        retry_after_ms: int,
        now_ms: float,
    ) -> None:
        """Refuse a request that this node can't admit or forward.

        A request with a ticket gets MAY_HAVE_RUN. Failure: an approval runs, and its
        caller retries it through a node that has just started. The ticket's owner may
        have run it, so after NOT_RUN the caller would use a new ticket and the
        approval would run twice.
        """
        verdict = Verdict.MAY_HAVE_RUN if request.ticket else Verdict.NOT_RUN
        outcome = Outcome(verdict=verdict, reason=reason, retry_after_ms=retry_after_ms)
        if self.recorder is not None:
            self.recorder.record(
                class_name=OTHER,
                operation=OTHER,
                verdict=verdict,
                reason=reason,
                latency_ms=0.0,
                now_ms=now_ms,
            )
        self.respond(waiter, outcome)


def _classify(classifier: Classifier, request: Request) -> Classification | None:
    operation = classifier.find_operation(
        request.service, request.method, request.target
    )
    if operation is None:
        return None
    return classifier.classify(
        caller=request.caller, organisation=request.organisation, operation=operation
    )
