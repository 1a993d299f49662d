"""Tests of the ticket ledger: retries, expiry, clocks that lag and little memory."""

from collections import Counter

import pytest
from hypothesis import given, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from sassafraswinch.claims import Dispatch, Join, Recorded, Refused
from sassafraswinch.messages import Answer, NodeId
from sassafraswinch.ticket_states import TicketStates
from sassafraswinch.tickets import (
    Ticket,
    TicketLedger,
    fingerprint,
    parse_ticket,
    serialize_ticket,
)
from sassafraswinch.verdict import Reason, Verdict

NODE = NodeId("archiv-1.brno-a", 77)
LIFETIME_MS = 1000
ANSWER_BYTES = 3000


def ledger(**settings_):
    return TicketLedger(
        node=NODE,
        secret=b"secret",
        lifetime_ms=LIFETIME_MS,
        max_answer_bytes=ANSWER_BYTES,
        **settings_,
    )


class TicketLedgerMachine(RuleBasedStateMachine):
    """Callers retry with valid and invalid tickets, before and after expiry."""

    @initialize(max_running=st.sampled_from([1, 3]))
    def begin(self, max_running):
        states = TicketStates(segment_tickets=2, max_segments=3)
        self.ledger = ledger(grace_ms=500, max_running=max_running, states=states)
        self.now_ms = 0.0
        self.texts = []
        self.running = []
        self.dispatched = Counter()
        self.ended = {}
        self.received_not_run = set()
        self.dispatched_at_not_run = {}
        self.issue(2)

    @precondition(lambda self: len(self.texts) < 14)
    @rule(count=st.sampled_from([1, 6]))
    def issue(self, count):
        for _ in range(count):
            self.texts.append(self.ledger.issue("acme", "approve", self.now_ms))

    @rule(
        pick=st.integers(0, 3),
        organisation=st.sampled_from(["acme", "acme", "rival"]),
        body=st.sampled_from([b"1", b"1", b"2"]),
        lag_ms=st.sampled_from([0, 0, 2 * LIFETIME_MS]),
        shed=st.sampled_from([False, False, True]),
    )
    def claim(self, pick, organisation, body, lag_ms, shed):
        ticket = max(0, len(self.texts) - 1 - pick)
        request = (self.texts[ticket], organisation, "approve", body)
        now_ms = self.now_ms - lag_ms
        if shed:
            claim = self.ledger.refuse(*request, Reason.OVERLOADED, now_ms)
        else:
            claim = self.ledger.claim(*request, now_ms)
        if isinstance(claim, Refused):
            if claim.verdict is Verdict.NOT_RUN:
                self.received_not_run.add(ticket)
                self.dispatched_at_not_run.setdefault(ticket, self.dispatched[ticket])
            return
        assert organisation == "acme"
        if isinstance(claim, Dispatch):
            assert not shed
            self.dispatched[ticket] += 1
            self.running.append((claim.number, ticket, body))
        elif isinstance(claim, Join):
            assert (claim.number, ticket, body) in self.running
        elif isinstance(claim, Recorded):
            assert claim.answer.body.startswith(f"{ticket} ".encode() + body)

    @precondition(lambda self: self.running)
    @rule(verdict=st.sampled_from(Verdict), size=st.sampled_from([0, 0, 200, 900]))
    def finish(self, verdict, size):
        number, ticket, body = self.running.pop(0)
        body = f"{ticket} ".encode() + body + b" " * size
        answer = Answer(number=1, verdict=verdict, body=body)
        self.ledger.finish(number, answer, self.now_ms)
        self.ended[ticket] = verdict

    @precondition(lambda self: self.now_ms < 3 * LIFETIME_MS)
    @rule(ms=st.sampled_from([100, 500, LIFETIME_MS]))
    def pass_time(self, ms):
        self.now_ms += ms
        self.ledger.tick(self.now_ms)

    @invariant()
    def dispatched_at_most_once(self):
        assert all(count <= 1 for count in self.dispatched.values())

    @invariant()
    def not_run_is_final(self):
        for ticket in self.received_not_run:
            assert self.dispatched[ticket] == self.dispatched_at_not_run[ticket]
            ended = self.ended.get(ticket, Verdict.NOT_RUN)
            assert ended is Verdict.NOT_RUN
            assert ticket not in [running[1] for running in self.running]

    @invariant()
    def memory_is_bounded(self):
        size = self.ledger.size
        assert size.answer_bytes <= ANSWER_BYTES
        assert size.records <= 3 + ANSWER_BYTES // 512
        assert size.state_bytes <= 2 * 3


TestTicketLedger = TicketLedgerMachine.TestCase
TestTicketLedger.settings = settings(
    derandomize=True, deadline=None, max_examples=400, stateful_step_count=40
)


def test_not_run_is_final_for_the_ticket():
    """An approval runs although its caller received NOT_RUN and took a new ticket.

    The first attempt is delayed on a stalled link between two nodes; the second one,
    through another node, is refused as overloaded. Then the link delivers the first.
    """
    ticket_ledger = ledger()
    text = ticket_ledger.issue("acme", "approve", 0)
    claim = ticket_ledger.claim(text, "acme", "approve", b"1", 1)
    ticket_ledger.finish(claim.number, Answer(number=1, verdict=Verdict.NOT_RUN), 2)
    delayed = ticket_ledger.claim(text, "acme", "approve", b"1", 3)
    assert delayed == Refused(verdict=Verdict.NOT_RUN, reason=Reason.TICKET_EXPIRED)


def test_ticket_of_a_restarted_owner_may_have_run():
    """An approval runs twice because its owner restarts between two attempts."""
    text = ledger().issue("acme", "approve", 0)
    restarted = TicketLedger(
        node=NodeId(NODE.host, 78),
        secret=b"other",
        lifetime_ms=LIFETIME_MS,
        max_answer_bytes=ANSWER_BYTES,
    )
    claim = restarted.claim(text, "acme", "approve", b"1", 0)
    assert claim == Refused(
        verdict=Verdict.MAY_HAVE_RUN, reason=Reason.TICKET_OWNER_RESTARTED
    )


@pytest.mark.parametrize("text", ["", "x", "1-2-3-4-host", "1-1-4d-" + 32 * "0" + "-"])
def test_malformed_ticket_is_refused_as_not_run(text):
    claim = ledger().claim(text, "acme", "approve", b"1", 0)
    assert claim == Refused(verdict=Verdict.NOT_RUN, reason=Reason.TICKET_INVALID)


@given(
    number=st.integers(1, 2**63 - 1),
    expires_at_ms=st.integers(0, 2**50),
    incarnation=st.integers(0, 2**63 - 1),
    mac=st.binary(min_size=16, max_size=16),
    host=st.from_regex(r"[A-Za-z0-9._:-]{1,40}", fullmatch=True),
)
@settings(derandomize=True, deadline=None)
def test_ticket_text_round_trips(number, expires_at_ms, incarnation, mac, host):
    ticket = Ticket(
        owner=NodeId(host, incarnation),
        number=number,
        expires_at_ms=expires_at_ms,
        mac=mac,
    )
    assert parse_ticket(serialize_ticket(ticket)) == ticket


def test_fingerprint_separates_method_target_and_body():
    parts = [("POST", "/ab", b"c"), ("POST", "/a", b"bc"), ("POS", "T/ab", b"c")]
    assert len({fingerprint(*part) for part in parts}) == 3
