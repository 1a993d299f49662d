"""Ticket ledger: one-time tickets for requests that must run at most once.

A ticket names its owner, the only node that may run the request. It is final: once
its request has an outcome, no later claim of the ticket runs it again. A caller that
received NOT_RUN retries with the fresh ticket in that answer.
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
"""Length of the message authentication code (MAC) of a ticket."""
FINGERPRINT_BYTES = 16
"""Length of the digest that distinguishes requests with the same ticket."""
GRACE_MS = 60_000
"""How long the state of a ticket is retained after expiry, if memory allows."""
MAX_RUNNING_REQUESTS = 16_384
"""Ticketed requests that may run at a time: about 40 s of calls at 375 a second."""

_TICKET = re.compile(
    r"([0-9a-f]{1,16})-([0-9a-f]{1,16})-([0-9a-f]{1,16})-([0-9a-f]{32})"
    r"-([A-Za-z0-9._:-]{1,253})"
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """Parsed ticket."""

    owner: NodeId
    """Only node that may run the request."""
    number: int
    expires_at_ms: int
    """Expiry time on the owner's monotonic clock."""
    mac: bytes
    """MAC with the owner's secret over the other fields, organisation and operation."""


def parse_ticket(text: str) -> Ticket | None:
    """Parse a ticket; return None if no node can have issued ``text``."""
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
    """Return the text of a ticket, as ``parse_ticket`` reads it, for a header field."""
    return (
        f"{ticket.number:x}-{ticket.expires_at_ms:x}-{ticket.owner.incarnation:x}"
        f"-{ticket.mac.hex()}-{ticket.owner.host}"
    )


def fingerprint(method: str, target: str, body: bytes) -> bytes:
    """Return a digest that identifies the combination of method, target and body."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    digest.update(f"{len(method)} {len(target)} {method}{target}".encode())
    digest.update(body)
    return digest.digest()


_INVALID_TICKET = Refused(verdict=Verdict.NOT_RUN, reason=Reason.TICKET_INVALID)
_WRONG_MAC = Refused(verdict=Verdict.MAY_HAVE_RUN, reason=Reason.TICKET_INVALID)
_OTHER_HOST = Refused(
    verdict=Verdict.MAY_HAVE_RUN, reason=Reason.TICKET_OWNER_UNREACHABLE
)
_RESTARTED = Refused(verdict=Verdict.MAY_HAVE_RUN, reason=Reason.TICKET_OWNER_RESTARTED)
_STATE_EVICTED = Refused(verdict=Verdict.MAY_HAVE_RUN, reason=Reason.TICKET_EXPIRED)
_EXPIRED = Refused(verdict=Verdict.NOT_RUN, reason=Reason.TICKET_EXPIRED)
_OVERLOADED = Refused(verdict=Verdict.NOT_RUN, reason=Reason.OVERLOADED)
_OTHER_REQUEST = Refused(
    verdict=Verdict.MAY_HAVE_RUN, reason=Reason.TICKET_OTHER_REQUEST
)
_REFUSALS = {
    None: _STATE_EVICTED,
    RunState.NOT_RUN: _EXPIRED,
    RunState.ANSWER_DROPPED: NOT_KEPT,
    RunState.MAY_HAVE_RUN: NOT_KEPT,
}


class TicketLedger:
    """Issues the tickets of one node and lets each ticket run one request once."""

    def __init__(
        self,
        *,
        node: NodeId,
        secret: bytes,
        lifetime_ms: int,
        max_answer_bytes: int,
        grace_ms: int = GRACE_MS,
        max_running: int = MAX_RUNNING_REQUESTS,
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
        self._evicted_below = 0

    @property
    def size(self) -> LedgerSize:
        """Memory use of the ledger: running and answered requests, ticket states."""
        return LedgerSize(
            records=len(self._running) + len(self._answered),
            answer_bytes=self._answers.kept_bytes,
            state_bytes=self._states.size_bytes,
        )

    def issue(self, organisation: str, operation: str, now_ms: float) -> str:
        """Issue a ticket for one request of this operation and return its text."""
        expires_at_ms = int(self._advance_clock(now_ms)) + self._lifetime_ms
        number = self._states.issue(expires_at_ms)
        self._drop_evicted()
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
        """Return how to handle a request that carries this ticket."""
        ticket = parse_ticket(text)
        if ticket is None:
            return _INVALID_TICKET
        if ticket.owner != self._node:
            same_host = ticket.owner.host == self._node.host
            return _RESTARTED if same_host else _OTHER_HOST
        if not self._is_genuine(ticket, organisation, operation):
            return _WRONG_MAC
        state = self._states.get(ticket.number)
        if state is RunState.UNUSED:
            return self._claim_unused(ticket, fingerprint, self._advance_clock(now_ms))
        if state in _REFUSALS:
            return _REFUSALS[state]
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
        """Return how to handle a request with a ticket that the node won't run now.

        Admission control must refuse such requests through this method. If it sent
        NOT_RUN by itself, that would be false for a retry of a request that has run,
        and would not stay true for a first attempt if another attempt is still on its
        way through another node.

        Returns:
            The result of ``claim``, except for an unused ticket: that one becomes
            NOT_RUN permanently.
        """
        claim = self.claim(text, organisation, operation, fingerprint, now_ms)
        if not isinstance(claim, Dispatch):
            return claim
        del self._running[claim.number]
        self._states.set(claim.number, RunState.NOT_RUN)
        return Refused(verdict=Verdict.NOT_RUN, reason=reason)

    def finish(self, ticket_number: int, answer: Answer, now_ms: float) -> None:
        """Record the final outcome of a dispatched request.

        Raises:
            InvariantError: if the request already has an outcome or was never
                dispatched.
        """
        self._advance_clock(now_ms)
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
            self._store_answer(ticket_number, fingerprint, answer)
        else:
            self._states.set(ticket_number, final_state(answer.verdict))

    def tick(self, now_ms: float) -> None:
        """Evict the state of tickets that expired more than the grace time ago."""
        self._states.evict_expired(self._advance_clock(now_ms) - self._grace_ms)
        self._drop_evicted()

    def _claim_unused(self, ticket: Ticket, fingerprint: bytes, now_ms: float) -> Claim:
        if now_ms >= ticket.expires_at_ms:
            return _EXPIRED
        if len(self._running) >= self._max_running:
            self._states.set(ticket.number, RunState.NOT_RUN)
            return _OVERLOADED
        self._states.set(ticket.number, RunState.RUNNING)
        self._running[ticket.number] = fingerprint
        return Dispatch(number=ticket.number)

    def _store_answer(self, number: int, fingerprint: bytes, answer: Answer) -> None:
        self._states.set(number, RunState.ANSWERED)
        self._answered[number] = fingerprint
        for dropped in self._answers.keep(number, answer):
            self._states.set(dropped, RunState.ANSWER_DROPPED)
            self._answered.pop(dropped, None)

    def _drop_evicted(self) -> None:
        below = self._states.evicted_below
        if below == self._evicted_below:
            return
        self._evicted_below = below
        for number in [number for number in self._running if number < below]:
            del self._running[number]
        for number in [number for number in self._answered if number < below]:
            del self._answered[number]
            self._answers.drop(number)

    def _advance_clock(self, now_ms: float) -> float:
        """Return the latest time seen, so that time never goes backwards.

        A process that was paused may pass an old time. If that time were used, a
        ticket that was refused as expired, with NOT_RUN, could still be dispatched.
        """
        self._now_ms = max(self._now_ms, now_ms)
        return self._now_ms

    def _is_genuine(self, ticket: Ticket, organisation: str, operation: str) -> bool:
        mac = self._mac(ticket.number, ticket.expires_at_ms, organisation, operation)
        return hmac.compare_digest(mac, ticket.mac)

    def _mac(
        self, number: int, expires_at_ms: int, organisation: str, operation: str
    ) -> bytes:
        signed_text = (
            f"{number} {expires_at_ms} {len(organisation)} {organisation}{operation}"
        )
        return hashlib.blake2b(
            signed_text.encode(), key=self._secret, digest_size=MAC_BYTES
        ).digest()
