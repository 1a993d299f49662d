"""Requests whose ticket another node issued: passed on to that node, their owner."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from sassafraswinch.messages import Answer, Forward, NodeId
from sassafraswinch.outcomes import outcome_of
from sassafraswinch.pending import LocalWaiter
from sassafraswinch.ports import LinkPort
from sassafraswinch.requests import Outcome, Request
from sassafraswinch.verdict import Reason, Verdict

FORWARD_GRACE_MS = 100.0
"""Wait past a deadline for the word of the ticket's owner, which waits 50 ms for that
of the executing node: two ways between availability zones and a tick are added."""

UNREACHABLE_AFTER_MS = 1_000.0
"""How long a link to the ticket's owner may take to come up."""


@dataclass(slots=True, kw_only=True)
class Forwarded:
    """One request at its ticket's owner."""

    number: int
    request: Request
    owner: NodeId
    waiter: LocalWaiter
    begun_at_ms: float
    deadline_at_ms: float
    session: int | None = None
    """The link it was last written on; None while there is none."""
    written: bool = False
    """Whether its owner may have received it, on whatever link."""


class Forwarder:
    """Carries requests to the owners of their tickets and answers back.

    Sending one twice is safe: the owner knows its ticket and lets the second join
    the first. A node that can't reach the owner proves nothing: MAY_HAVE_RUN.
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
        self.open: dict[int, Forwarded] = {}
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
        """Pass a request on to the node that issued its ticket."""
        self.forwarded += 1
        forwarded = Forwarded(
            number=self.next_number(),
            request=request,
            owner=owner,
            waiter=waiter,
            begun_at_ms=now_ms,
            deadline_at_ms=now_ms + deadline_ms,
        )
        if not self.is_known(owner.host):
            self._tell_unreachable(forwarded, now_ms)
            return
        self.open[forwarded.number] = forwarded
        self.links.connect(owner.host)
        if owner.host in self._incarnations:
            self._send(forwarded, now_ms)

    def answered(self, host: str, answer: Answer, now_ms: float) -> bool:
        """Take in an owner's answer; False if it answers no forwarded request."""
        forwarded = self.open.get(answer.number)
        if forwarded is None or forwarded.owner.host != host:
            return False
        del self.open[answer.number]
        outcome = outcome_of(answer, retry_after_ms=answer.retry_after_ms)
        self._tell(forwarded, outcome, now_ms)
        return True

    def abandon(self, handle: int) -> None:
        """Forget a request whose sender has gone; its owner goes on."""
        gone = [
            number
            for number, forwarded in self.open.items()
            if forwarded.waiter.handle == handle
        ]
        for number in gone:
            del self.open[number]

    def link_up(self, node: NodeId, now_ms: float) -> None:
        """Send what waits for a link to ``node``."""
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
        """Note a lost link; what was on it is sent again on the next."""
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
        """Give up what no link came up for, or what got no answer in time.

        Story: a caller repeats an approval through this node, while the link to the
        ticket's owner is open but silent. Its outcome must not wait for the link.
        """
        for forwarded in list(self.open.values()):
            waited_ms = now_ms - forwarded.begun_at_ms
            unsent = forwarded.session is None and waited_ms > UNREACHABLE_AFTER_MS
            late_ms = now_ms - forwarded.deadline_at_ms
            if unsent or late_ms > FORWARD_GRACE_MS:
                del self.open[forwarded.number]
                self._tell_unreachable(forwarded, now_ms)

    def _send(self, forwarded: Forwarded, now_ms: float) -> None:
        if self._incarnations[forwarded.owner.host] != forwarded.owner.incarnation:
            del self.open[forwarded.number]
            lost = Reason.PEER_RESTARTED if forwarded.written else None
            reason = lost or Reason.TICKET_OWNER_RESTARTED
            self._tell(forwarded, unproved(reason), now_ms)
            return
        left_ms = forwarded.deadline_at_ms - now_ms
        message = forward_of(forwarded.request, forwarded.number, left_ms)
        forwarded.session = self.links.send(forwarded.owner.host, message)
        forwarded.written |= forwarded.session is not None

    def _tell_unreachable(self, forwarded: Forwarded, now_ms: float) -> None:
        """End a request whose owner gave no answer.

        Nothing is proved of the ticket, which may have come through another node. The
        reason tells whether this attempt was passed on: a caller that sends a ticket
        for the first time may conclude from the second one that nothing ran.
        """
        lost = Reason.LINK_LOST if forwarded.written else None
        reason = lost or Reason.TICKET_OWNER_UNREACHABLE
        self._tell(forwarded, unproved(reason), now_ms)

    def _tell(self, forwarded: Forwarded, outcome: Outcome, now_ms: float) -> None:
        """Respond with a fresh ticket of this node, to go on with."""
        ticket = self.fresh_ticket(forwarded.request, now_ms)
        self.respond(forwarded.waiter, replace(outcome, ticket=ticket))


def unproved(reason: Reason) -> Outcome:
    """Return the outcome of a request whose fate isn't known here."""
    return Outcome(verdict=Verdict.MAY_HAVE_RUN, reason=reason)


def forward_of(request: Request, number: int, left_ms: float) -> Forward:
    """Return the message that hands a request to the owner of its ticket.

    Args:
        request: the request.
        number: names it between the two nodes.
        left_ms: time in which an answer is of use.
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
        remaining_ms=max(0, int(left_ms)),
    )


def request_of(forward: Forward) -> Request:
    """Return the request that a message hands over; no caller of this node sent it."""
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
