"""One-time tickets that name the node which alone may run a non-repeatable call.

A ticket is final: once its request has an outcome, no later claim runs it again. A
caller that was told NOT_RUN goes on with the fresh ticket of that answer.
"""

import hashlib
import hmac
import re
from dataclasses import dataclass

from sassafraswinch.answer_store import AnswerStore, LedgerSize
from sassafraswinch.claims import (
    NOT_KEPT,
    Claim,
    Dispatch,
    Join,
    Recorded,
    Refused,
    RunState,
    final_state,
)
from sassafraswinch.errors import InvariantError
from sassafraswinch.messages import Answer, NodeId
from sassafraswinch.ticket_states import TicketStates
from sassafraswinch.verdict import Reason, Verdict

MAC_BYTES = 16
"""Length of the message authentication code of a ticket."""
FINGERPRINT_BYTES = 16
"""Length of the digest that tells one request from another."""
GRACE_MS = 60_000
"""How long an expired ticket's state is still known, if memory allows."""
MAX_RUNNING = 16_384
"""Tickets whose request may run at a time: about 40 s of calls at 375 a second."""

_TICKET = re.compile(
    r"([0-9a-f]{1,16})-([0-9a-f]{1,16})-([0-9a-f]{1,16})-([0-9a-f]{32})"
    r"-([A-Za-z0-9._:-]{1,253})"
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """The parts of a ticket's text."""

    owner: NodeId
    """The only node that may run the request."""
    number: int
    expires_at_ms: int
    """On the owner's monotonic clock."""
    mac: bytes
    """Code by the owner's secret over all other parts, organisation and operation."""


def parse_ticket(text: str) -> Ticket | None:
    """Parse a ticket; None: no node can have issued this text."""
    match = _TICKET.fullmatch(text)
    if match is None:
        return None
    number, expires_at_ms, incarnation, mac, host = match.groups()
    return Ticket(
        owner=NodeId(host, int(incarnation, 16)),
        number=int(number, 16),
        expires_at_ms=int(expires_at_ms, 16),
        mac=bytes.fromhex(mac),
    )


def serialize_ticket(ticket: Ticket) -> str:
    """Return the text that ``parse_ticket`` reads, fit for a header field."""
    return (
        f"{ticket.number:x}-{ticket.expires_at_ms:x}-{ticket.owner.incarnation:x}"
        f"-{ticket.mac.hex()}-{ticket.owner.host}"
    )


def fingerprint(method: str, target: str, body: bytes) -> bytes:
    """Return a digest that is the same only for the same method, target and body."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    digest.update(f"{len(method)} {len(target)} {method}{target}".encode())
    digest.update(body)
    return digest.digest()


_NO_TICKET = Refused(verdict=Verdict.NOT_RUN, reason=Reason.TICKET_INVALID)
_WRONG_MAC = Refused(verdict=Verdict.MAY_HAVE_RUN, reason=Reason.TICKET_INVALID)
_OTHER_HOST = Refused(
    verdict=Verdict.MAY_HAVE_RUN, reason=Reason.TICKET_OWNER_UNREACHABLE
)
_RESTARTED = Refused(verdict=Verdict.MAY_HAVE_RUN, reason=Reason.TICKET_OWNER_RESTARTED)
_FORGOTTEN = Refused(verdict=Verdict.MAY_HAVE_RUN, reason=Reason.TICKET_EXPIRED)
_EXPIRED = Refused(verdict=Verdict.NOT_RUN, reason=Reason.TICKET_EXPIRED)
_FULL = Refused(verdict=Verdict.NOT_RUN, reason=Reason.OVERLOADED)
_OTHER_REQUEST = Refused(
    verdict=Verdict.MAY_HAVE_RUN, reason=Reason.TICKET_OTHER_REQUEST
)
_OUTCOMES = {
    None: _FORGOTTEN,
    RunState.NOT_RUN: _EXPIRED,
    RunState.ANSWER_DROPPED: NOT_KEPT,
    RunState.MAY_HAVE_RUN: NOT_KEPT,
}


class TicketLedger:
    """The tickets of one node: issues them, and lets each run one request once."""

    def __init__(
        self,
        *,
        node: NodeId,
        secret: bytes,
        lifetime_ms: int,
        max_answer_bytes: int,
        grace_ms: int = GRACE_MS,
        max_running: int = MAX_RUNNING,
        states: TicketStates | None = None,
    ):
        self._node = node
        self._secret = secret
        self._lifetime_ms = lifetime_ms
        self._grace_ms = grace_ms
        self._max_running = max_running
        self._states = states or TicketStates()
        self._answers: AnswerStore[int] = AnswerStore(max_bytes=max_answer_bytes)
        self._running: dict[int, bytes] = {}
        self._answered: dict[int, bytes] = {}
        self._now_ms = 0.0
        self._dropped_below = 0

    @property
    def size(self) -> LedgerSize:
        """What the ledger holds: running and answered requests, and ticket states."""
        return LedgerSize(
            records=len(self._running) + len(self._answered),
            answer_bytes=self._answers.kept_bytes,
            state_bytes=self._states.size_bytes,
        )

    def issue(self, organisation: str, operation: str, now_ms: float) -> str:
        """Return the text of a fresh ticket for one request of this operation."""
        expires_at_ms = int(self._advance(now_ms)) + self._lifetime_ms
        number = self._states.issue(expires_at_ms)
        self._drop_forgotten()
        mac = self._mac(number, expires_at_ms, organisation, operation)
        return serialize_ticket(
            Ticket(
                owner=self._node, number=number, expires_at_ms=expires_at_ms, mac=mac
            )
        )

    def claim(
        self,
        text: str,
        organisation: str,
        operation: str,
        fingerprint: bytes,
        now_ms: float,
    ) -> Claim:
        """Decide what a request that carries this ticket gets."""
        ticket = parse_ticket(text)
        if ticket is None:
            return _NO_TICKET
        if ticket.owner != self._node:
            same_host = ticket.owner.host == self._node.host
            return _RESTARTED if same_host else _OTHER_HOST
        if not self._is_genuine(ticket, organisation, operation):
            return _WRONG_MAC
        state = self._states.get(ticket.number)
        if state is RunState.UNUSED:
            return self._first_claim(ticket, fingerprint, self._advance(now_ms))
        if state in _OUTCOMES:
            return _OUTCOMES[state]
        running = state is RunState.RUNNING
        first = (self._running if running else self._answered)[ticket.number]
        if first != fingerprint:
            return _OTHER_REQUEST
        if running:
            return Join(number=ticket.number)
        return Recorded(answer=self._answers.get(ticket.number))

    def refuse(
        self,
        text: str,
        organisation: str,
        operation: str,
        fingerprint: bytes,
        reason: Reason,
        now_ms: float,
    ) -> Claim:
        """Decide what a request gets that the node won't run now.

        Admission has to refuse through here. A NOT_RUN that it told by itself would
        be untrue for a repeat of a request that has run, and would not hold for a
        first try if another try of it still is on its way through another node.

        Returns:
            As ``claim``, but for a ticket that isn't used yet: NOT_RUN, for good.
        """
        claim = self.claim(text, organisation, operation, fingerprint, now_ms)
        if not isinstance(claim, Dispatch):
            return claim
        del self._running[claim.number]
        self._states.set(claim.number, RunState.NOT_RUN)
        return Refused(verdict=Verdict.NOT_RUN, reason=reason)

    def finish(self, ticket_number: int, answer: Answer, now_ms: float) -> None:
        """Record the outcome of a dispatched request; it is final.

        Raises:
            InvariantError: the request has an outcome already, or was never
                dispatched.
        """
        self._advance(now_ms)
        state = self._states.get(ticket_number)
        if state is None:
            return
        if state is not RunState.RUNNING:
            raise InvariantError(
                invariant="one-outcome-per-ticket",
                facts=f"ticket {ticket_number} is {state.name}, then {answer.verdict}",
            )
        fingerprint = self._running.pop(ticket_number)
        if answer.verdict is Verdict.ANSWERED:
            self._keep(ticket_number, fingerprint, answer)
        else:
            self._states.set(ticket_number, final_state(answer.verdict))

    def tick(self, now_ms: float) -> None:
        """Forget what is older than expiry and grace."""
        self._states.forget_expired(self._advance(now_ms) - self._grace_ms)
        self._drop_forgotten()

    def _first_claim(self, ticket: Ticket, fingerprint: bytes, now_ms: float) -> Claim:
        if now_ms >= ticket.expires_at_ms:
            return _EXPIRED
        if len(self._running) >= self._max_running:
            self._states.set(ticket.number, RunState.NOT_RUN)
            return _FULL
        self._states.set(ticket.number, RunState.RUNNING)
        self._running[ticket.number] = fingerprint
        return Dispatch(number=ticket.number)

    def _keep(self, number: int, fingerprint: bytes, answer: Answer) -> None:
        self._states.set(number, RunState.ANSWERED)
        self._answered[number] = fingerprint
        for dropped in self._answers.keep(number, answer):
            self._states.set(dropped, RunState.ANSWER_DROPPED)
            self._answered.pop(dropped, None)

    def _drop_forgotten(self) -> None:
        below = self._states.forgotten_below
        if below == self._dropped_below:
            return
        self._dropped_below = below
        for number in [number for number in self._running if number < below]:
            del self._running[number]
        for number in [number for number in self._answered if number < below]:
            del self._answered[number]
            self._answers.drop(number)

    def _advance(self, now_ms: float) -> float:
        """Return the latest time seen.

        A process that was paused may hand in an old time. Were it believed, a ticket
        refused as expired, NOT_RUN, could be dispatched after that.
        """
        self._now_ms = max(self._now_ms, now_ms)
        return self._now_ms

    def _is_genuine(self, ticket: Ticket, organisation: str, operation: str) -> bool:
        mac = self._mac(ticket.number, ticket.expires_at_ms, organisation, operation)
        return hmac.compare_digest(mac, ticket.mac)

    def _mac(
        self, number: int, expires_at_ms: int, organisation: str, operation: str
    ) -> bytes:
        bound = (
            f"{number} {expires_at_ms} {len(organisation)} {organisation}{operation}"
        )
        return hashlib.blake2b(
            bound.encode(), key=self._secret, digest_size=MAC_BYTES
        ).digest()
