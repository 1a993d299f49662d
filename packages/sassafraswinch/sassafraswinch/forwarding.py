"""Forwarding of requests to the node that issued their ticket, the owner."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from sassafraswinch.messages import Answer, Forward, NodeId
from sassafraswinch.outcomes import outcome_of
from sassafraswinch.pending import LocalWaiter
from sassafraswinch.ports import LinkPort
from sassafraswinch.requests import Outcome, Request
from sassafraswinch.verdict import Reason, Verdict

FORWARD_GRACE_MS = 100.0
"""Wait past a deadline for the answer of the ticket's owner. The owner itself waits
50 ms for the executing node; the rest covers one round trip between availability
zones and one tick."""

OWNER_LINK_TIMEOUT_MS = 1_000.0
"""Time limit for a link to the ticket's owner to come up."""


@dataclass(slots=True, kw_only=True)
class ForwardedRequest:
    """A request that was forwarded, or is about to be, to the owner of its ticket."""

    number: int
    request: Request
    owner: NodeId
    waiter: LocalWaiter
    received_at_ms: float
    deadline_at_ms: float
    session: int | None = None
    """Session of the link it was last sent on; None while there is no link."""
    written: bool = False
    """Whether the owner may have received it, on this link or an earlier one."""


class Forwarder:
    """Forwards requests to the owners of their tickets and returns the answers.

    Sending a request twice is safe: the owner recognises the ticket and attaches the
    second copy to the first. If the owner can't be reached, it is unknown whether
    the call was executed, so the verdict is MAY_HAVE_RUN.
    """

    def __init__(
        self,
        *,
        links: LinkPort,
        next_number: Callable[[], int],
        is_known: Callable[[str], bool],
        fresh_ticket: Callable[[Request, float], str | None],
        respond: Callable[[LocalWaiter, Outcome], None],
    ):
        self.links = links
        self.next_number = next_number
        self.is_known = is_known
        self.fresh_ticket = fresh_ticket
        self.respond = respond
        self.open: dict[int, ForwardedRequest] = {}
        self.forwarded = 0
        self._incarnations: dict[str, int] = {}

    def forward(
        self,
        request: Request,
        owner: NodeId,
        waiter: LocalWaiter,
        *,
        deadline_ms: float,
        now_ms: float,
    ) -> None:
        """Forward a request to the node that issued its ticket."""
        self.forwarded += 1
        forwarded = ForwardedRequest(
            number=self.next_number(),
            request=request,
            owner=owner,
            waiter=waiter,
            received_at_ms=now_ms,
            deadline_at_ms=now_ms + deadline_ms,
        )
        if not self.is_known(owner.host):
            self._respond_unreachable(forwarded, now_ms)
            return
        self.open[forwarded.number] = forwarded
        self.links.connect(owner.host)
        if owner.host in self._incarnations:
            self._send(forwarded, now_ms)

    def handle_answer(self, host: str, answer: Answer, now_ms: float) -> bool:
        """Handle an owner's answer; return False if it matches no forwarded request."""
        forwarded = self.open.get(answer.number)
        if forwarded is None or forwarded.owner.host != host:
            return False
        del self.open[answer.number]
        outcome = outcome_of(answer, retry_after_ms=answer.retry_after_ms)
        self._respond_with_ticket(forwarded, outcome, now_ms)
        return True

    def abandon(self, handle: int) -> None:
        """Discard a request whose sender disconnected; its owner goes on with it."""
        abandoned = [
            number
            for number, forwarded in self.open.items()
            if forwarded.waiter.handle == handle
        ]
        for number in abandoned:
            del self.open[number]

    def link_up(self, node: NodeId, now_ms: float) -> None:
        """Send the requests that wait for a link to ``node``."""
        self._incarnations[node.host] = node.incarnation
        waiting = [
            forwarded
            for forwarded in self.open.values()
            if forwarded.owner.host == node.host and forwarded.session is None
        ]
        for forwarded in waiting:
            self._send(forwarded, now_ms)

    def link_lost(
        self, host: str, session: int, *, replaced: bool, now_ms: float
    ) -> None:
        """Handle a lost link; requests sent on it are sent again on the next one."""
        if not replaced:
            self._incarnations.pop(host, None)
        lost = [
            forwarded
            for forwarded in self.open.values()
            if forwarded.owner.host == host and forwarded.session == session
        ]
        for forwarded in lost:
            forwarded.session = None
            if replaced:
                self._send(forwarded, now_ms)

    def tick(self, now_ms: float) -> None:
        """Time out requests without a link or without an answer.

        Failure: a caller retries an approval through this node while the link to the
        ticket's owner is open but silent. The caller must get an outcome without
        waiting for the link to be closed.
        """
        for forwarded in list(self.open.values()):
            waited_ms = now_ms - forwarded.received_at_ms
            unsent = forwarded.session is None and waited_ms > OWNER_LINK_TIMEOUT_MS
            late_ms = now_ms - forwarded.deadline_at_ms
            if unsent or late_ms > FORWARD_GRACE_MS:
                del self.open[forwarded.number]
                self._respond_unreachable(forwarded, now_ms)

    def _send(self, forwarded: ForwardedRequest, now_ms: float) -> None:
        if self._incarnations[forwarded.owner.host] != forwarded.owner.incarnation:
            del self.open[forwarded.number]
            sent_reason = Reason.PEER_RESTARTED if forwarded.written else None
            reason = sent_reason or Reason.TICKET_OWNER_RESTARTED
            self._respond_with_ticket(forwarded, unknown_outcome(reason), now_ms)
            return
        remaining_ms = forwarded.deadline_at_ms - now_ms
        message = make_forward(forwarded.request, forwarded.number, remaining_ms)
        forwarded.session = self.links.send(forwarded.owner.host, message)
        forwarded.written |= forwarded.session is not None

    def _respond_unreachable(self, forwarded: ForwardedRequest, now_ms: float) -> None:
        """Respond to a request whose owner did not answer.

        The fate of the ticket is unknown, because the request may also have arrived
        through another node. The reason says whether this attempt was forwarded
        (LINK_LOST) or not (TICKET_OWNER_UNREACHABLE): a caller that sends a ticket for
        the first time may conclude from the latter that nothing was executed.
        """
        sent_reason = Reason.LINK_LOST if forwarded.written else None
        reason = sent_reason or Reason.TICKET_OWNER_UNREACHABLE
        self._respond_with_ticket(forwarded, unknown_outcome(reason), now_ms)

    def _respond_with_ticket(
        self, forwarded: ForwardedRequest, outcome: Outcome, now_ms: float
    ) -> None:
        """Respond, with a fresh ticket of this node for further attempts."""
        ticket = self.fresh_ticket(forwarded.request, now_ms)
        self.respond(forwarded.waiter, replace(outcome, ticket=ticket))


def unknown_outcome(reason: Reason) -> Outcome:
    """Return the outcome of a request that may or may not have been executed."""
    return Outcome(verdict=Verdict.MAY_HAVE_RUN, reason=reason)


def make_forward(request: Request, number: int, remaining_ms: float) -> Forward:
    """Return the message that forwards a request to the owner of its ticket.

    Args:
        request: the request to forward.
        number: identifies the request between the two nodes.
        remaining_ms: time left until the deadline of the request.
    """
    return Forward(
        number=number,
        ticket=request.ticket,
        caller=request.caller,
        organisation=request.organisation,
        service=request.service,
        method=request.method,
        target=request.target,
        headers=request.headers,
        body=request.body,
        remaining_ms=max(0, int(remaining_ms)),
    )


def request_from_forward(forward: Forward) -> Request:
    """Return the request that a message forwards; it has no handle on this node."""
    return Request(
        handle=0,
        service=forward.service,
        method=forward.method,
        target=forward.target,
        headers=forward.headers,
        body=forward.body,
        caller=forward.caller,
        organisation=forward.organisation,
        ticket=forward.ticket,
        deadline_ms=forward.remaining_ms,
    )
