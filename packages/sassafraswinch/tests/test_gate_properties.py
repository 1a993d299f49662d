"""Stateful property tests of all gates, with calls and events in any order."""

import random

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from sassafraswinch.admission import AdaptiveGate
from sassafraswinch.class_hold import HOLD_MS
from sassafraswinch.gate import BackendOutcome, OpenGate, StaticGate
from sassafraswinch.messages import Rank
from sassafraswinch.verdict import Reason

CAPACITY_REASONS = {Reason.OVERLOADED, Reason.EVICTED}


class GateMachine(RuleBasedStateMachine):
    """One gate of any kind with arbitrary calls, outcomes and times."""

    @initialize(
        kind=st.sampled_from(["open", "static", "adaptive"]),
        slots=st.one_of(st.none(), st.integers(1, 12)),
    )
    def start(self, kind, slots):
        self.kind = kind
        self.gate = {
            "open": OpenGate,
            "static": lambda: StaticGate(slots=slots, queue_bound=8),
            "adaptive": lambda: AdaptiveGate(slots=slots, rng=random.Random(1)),
        }[kind]()
        self.now_ms = 0.0
        self.next_key = 0
        self.ranks = {}
        self.waiting, self.running, self.ended = set(), [], set()
        self.refused_at_ms = {}
        self.left = False

    def apply_decision(self, decision):
        for key in decision.start:
            assert key in self.waiting, "call was started twice, or after its end"
            self.waiting.remove(key)
            self.running.append(key)
        for refusal in decision.refused:
            assert refusal.key in self.waiting, (
                "call was refused twice, or after its start"
            )
            assert refusal.retry_after_ms >= 0
            self.waiting.remove(refusal.key)
            self.ended.add(refusal.key)
        if decision.start and self.kind != "open":
            load = self.gate.load(self.now_ms)
            assert len(self.running) == load.in_flight <= load.limit
        if self.kind == "adaptive":
            self.check_classes(decision)

    def check_classes(self, decision):
        for refusal in decision.refused:
            if refusal.reason in CAPACITY_REASONS:
                order = self.ranks[refusal.key].class_order
                self.refused_at_ms[order] = self.now_ms
        for key in decision.start:
            order = self.ranks[key].class_order
            for refused, at_ms in self.refused_at_ms.items():
                inverted = refused < order and self.now_ms - at_ms < HOLD_MS
                assert not inverted, (
                    "call of a lower class started just after a higher one was refused"
                )

    @rule(
        order=st.integers(0, 2),
        level=st.integers(0, 127),
        progress=st.integers(0, 2),
        deadline_ms=st.sampled_from([5.0, 50.0, 2000.0]),
        calls=st.integers(1, 6),
    )
    def offer(self, order, level, progress, deadline_ms, calls):
        for _ in range(calls):
            key, self.next_key = self.next_key, self.next_key + 1
            self.ranks[key] = Rank(order, level)
            self.waiting.add(key)
            self.apply_decision(
                self.gate.offer(
                    key=key,
                    rank=self.ranks[key],
                    progress=progress,
                    operation="lookup",
                    deadline_at_ms=self.now_ms + deadline_ms,
                    now_ms=self.now_ms,
                )
            )

    @precondition(lambda self: self.running)
    @rule(
        data=st.data(),
        outcome=st.sampled_from(BackendOutcome),
        calls=st.integers(1, 8),
    )
    def finish(self, data, outcome, calls):
        for _ in range(min(calls, len(self.running))):
            index = data.draw(st.integers(0, len(self.running) - 1))
            key = self.running.pop(index)
            self.ended.add(key)
            self.apply_decision(
                self.gate.finished(
                    key=key, self_time_ms=5.0, outcome=outcome, now_ms=self.now_ms
                )
            )

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def withdraw(self, data):
        key = data.draw(st.sampled_from(sorted(self.waiting)))
        self.waiting.remove(key)
        self.ended.add(key)
        self.apply_decision(self.gate.withdraw(key, self.now_ms))

    @rule(ms=st.sampled_from([0.1, 3.0, 30.0, 300.0, 3000.0]))
    def pass_time(self, ms):
        self.now_ms += ms
        self.apply_decision(self.gate.tick(self.now_ms))

    @rule(slots=st.one_of(st.none(), st.integers(1, 12)))
    def set_hint(self, slots):
        self.gate.set_slots(slots)

    @rule()
    def leave(self):
        self.left = True
        self.apply_decision(self.gate.leave())

    @invariant()
    def counts_agree(self):
        load = self.gate.load(self.now_ms)
        assert load.in_flight == len(self.running)
        assert load.queued == len(self.waiting)
        assert load.leaving == self.left
        if self.left:
            assert not self.waiting


GateMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=300, stateful_step_count=40
)
TestGate = GateMachine.TestCase
