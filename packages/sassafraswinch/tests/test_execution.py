"""Tests of the execution ledger with late, duplicate and lost frames."""

from collections import Counter

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from sassafraswinch.errors import InvariantError
from sassafraswinch.execution import IDLE_OWNER_EVICTION_MS, ExecutionLedger
from sassafraswinch.messages import Answer, Fence, FenceReply, FenceState, NodeId
from sassafraswinch.verdict import Verdict

OWNER = NodeId("a", 1)
OTHER = NodeId("c", 1)
ANSWER_BYTES = 3000


class CallsMachine(RuleBasedStateMachine):
    """Calls of one owner: replies of the ledger stay true in any order of frames."""

    @initialize(max_dropped_calls=st.sampled_from([0, 1]))
    def begin(self, max_dropped_calls):
        self.ledger = ExecutionLedger(
            max_answer_bytes=ANSWER_BYTES,
            max_owners=1,
            max_live_calls=6,
            max_dropped_calls=max_dropped_calls,
        )
        self.now_ms = 0.0
        self.session = 1
        self.sent = 0
        self.frames = []
        self.queue = []
        self.running = []
        self.finished = []
        self.fences = []
        self.started = Counter()
        self.reported_never_started = set()

    @rule()
    def send(self):
        self.sent += 1
        self.frames.append((self.session, self.sent))

    @rule(duplicate=st.booleans())
    def running_call(self, duplicate):
        self.send()
        self.arrive(pick=len(self.frames) - 1, duplicate=duplicate)
        if self.queue:
            self.start_or_refuse(refuse=False)

    @precondition(lambda self: self.frames)
    @rule(pick=st.integers(0, 3), duplicate=st.booleans())
    def arrive(self, pick, duplicate):
        frame = self.frames[pick % len(self.frames)]
        if not duplicate:
            self.frames.remove(frame)
        if self.ledger.receive(OWNER, *frame):
            self.queue.append(frame[1])

    @precondition(lambda self: self.queue)
    @rule(refuse=st.booleans())
    def start_or_refuse(self, refuse):
        number = self.queue.pop(0)
        if refuse:
            self.finish(number, Verdict.NOT_RUN)
        elif self.ledger.start(OWNER, number):
            self.started[number] += 1
            self.running.append(number)

    @precondition(lambda self: self.running)
    @rule(body=st.sampled_from([b"", b" " * ANSWER_BYTES]))
    def answer(self, body):
        self.finish(self.running.pop(0), Verdict.ANSWERED, body)

    @precondition(lambda self: self.finished)
    @rule()
    def acknowledge(self):
        self.ledger.acknowledge(OWNER, (self.finished.pop(0),))

    @precondition(lambda self: self.session < 4)
    @rule()
    def new_link(self):
        self.session += 1
        numbers = tuple(range(1, self.sent + 1))
        self.fences.append(Fence(floor_session=self.session, numbers=numbers))
        self.fence(pick=-1)

    @precondition(lambda self: self.fences)
    @rule(pick=st.integers(0, 2))
    def fence(self, pick):
        fence = self.fences[min(pick, len(self.fences) - 1)]
        replies = self.ledger.fence(OWNER, fence).replies
        assert [reply.number for reply in replies] == list(fence.numbers)
        for reply in replies:
            refused = isinstance(reply, Answer) and reply.verdict is Verdict.NOT_RUN
            never = FenceReply(number=reply.number, state=FenceState.NEVER_STARTED)
            if refused or reply == never:
                self.reported_never_started.add(reply.number)

    @precondition(lambda self: self.sent > 2)
    @rule()
    def remove_owner(self):
        self.ledger.retire_owner(OWNER)

    @precondition(lambda self: self.sent > 2 and self.now_ms == 0)
    @rule()
    def long_idle_time_then_other_owner(self):
        self.frames.clear()  # Links that were silent for that long are closed.
        self.now_ms += IDLE_OWNER_EVICTION_MS
        self.ledger.tick(self.now_ms)
        self.ledger.receive(OTHER, 1, 1)
        self.ledger.retire_owner(OTHER)
        self.now_ms += IDLE_OWNER_EVICTION_MS
        self.ledger.tick(self.now_ms)

    def finish(self, number, verdict, body=b""):
        answer = Answer(number=number, verdict=verdict, body=body)
        self.ledger.finish(OWNER, number, answer)
        self.finished.append(number)

    @invariant()
    def started_at_most_once_and_never_means_never(self):
        assert all(count == 1 for count in self.started.values())
        assert not self.reported_never_started & self.started.keys()

    @invariant()
    def memory_is_bounded(self):
        assert self.ledger.size.answer_bytes <= ANSWER_BYTES
        assert self.ledger.size.records <= 6 + 1


TestCallsMachine = CallsMachine.TestCase
TestCallsMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=300, stateful_step_count=40
)


def test_a_frame_that_arrives_after_its_fence_does_not_start():
    """Guard against an approval that runs after its caller got NOT_RUN.

    A link goes silent with the call in transit. The owner fences the call over a new
    link and receives "never started". Then the old link delivers the call.
    """
    ledger = ExecutionLedger(max_answer_bytes=ANSWER_BYTES)
    fenced = ledger.fence(OWNER, Fence(floor_session=2, numbers=(1,)))
    assert fenced.replies == (FenceReply(number=1, state=FenceState.NEVER_STARTED),)
    assert not ledger.receive(OWNER, 1, 1)
    assert not ledger.start(OWNER, 1)


def test_a_restarted_owner_does_not_get_answers_of_its_previous_run():
    """Guard against an answer that reaches the caller of another request.

    An owner restarts and numbers its calls from 1 again, while the executing node
    still holds the answer to call 1 of the previous incarnation.
    """
    ledger = ExecutionLedger(max_answer_bytes=ANSWER_BYTES)
    ledger.receive(OWNER, 1, 1)
    ledger.finish(OWNER, 1, Answer(number=1, verdict=Verdict.ANSWERED))
    restarted = NodeId(OWNER.host, 2)
    assert ledger.receive(restarted, 1, 1)
    (reply,) = ledger.fence(restarted, Fence(floor_session=2, numbers=(1,))).replies
    assert reply == FenceReply(number=1, state=FenceState.NEVER_STARTED)


def test_calls_from_before_the_eviction_of_their_owner_are_unknown():
    """Guard against NOT_RUN for an approval that was executed.

    An owner is disconnected for so long that its state is evicted for another owner.
    After the reconnect its fences arrive in parts, and after the first part the owner
    looks like one with known state.
    """
    ledger = ExecutionLedger(max_answer_bytes=ANSWER_BYTES, max_owners=1)
    ledger.receive(OWNER, 1, 7)
    ledger.start(OWNER, 7)
    ledger.retire_owner(OWNER)
    ledger.tick(IDLE_OWNER_EVICTION_MS)
    assert ledger.receive(OTHER, 1, 1)
    ledger.retire_owner(OTHER)
    ledger.tick(2 * IDLE_OWNER_EVICTION_MS)
    for number in (3, 7):
        fenced = ledger.fence(OWNER, Fence(floor_session=2, numbers=(number,)))
        unknown = FenceReply(number=number, state=FenceState.UNKNOWN)
        assert fenced.replies == (unknown,)


def test_an_answer_of_another_call_is_an_error():
    ledger = ExecutionLedger(max_answer_bytes=ANSWER_BYTES)
    ledger.receive(OWNER, 1, 1)
    with pytest.raises(InvariantError, match="answer-of-same-call"):
        ledger.finish(OWNER, 1, Answer(number=2, verdict=Verdict.ANSWERED))
