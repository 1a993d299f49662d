"""Memory limit of the request and response bodies that a process holds."""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    rule,
)

from sassafraswinch_sidecar.held_bytes import (
    REQUEST_SHARE,
    HeldBytes,
    max_held_bytes,
)

MAX_BYTES = 1_000


def test_unsent_bytes_count_towards_the_limit():
    held = HeldBytes(max_bytes=100)
    held.hold(60)
    assert held.fits(20)
    assert not held.fits(21)
    held.set_unsent(21)
    assert not held.fits()
    held.release(60)
    assert held.total_bytes == 21


@pytest.mark.parametrize("memory_mb", [64, 200, 300])
def test_three_copies_of_held_bodies_leave_memory_for_the_program(memory_mb):
    program_mb = 50
    assert 3 * max_held_bytes(memory_mb) / 1e6 + program_mb < memory_mb


def test_longest_body_is_received_alone():
    """Guards against bodies within the limits that never fit."""
    held = HeldBytes(max_bytes=100)
    assert held.fits(100)
    assert not held.fits(101)
    held.hold(1)
    assert not held.fits(80)


def test_response_waits_until_it_fits():
    held = HeldBytes(max_bytes=100)
    granted = []
    held.add_unread(50)
    first = held.reserve(40, lambda: granted.append("first"))
    held.reserve(40, lambda: granted.append("second"))
    held.reserve(5, lambda: granted.append("third"))
    assert (first.is_granted, granted, held.waiting) == (True, [], 2)
    held.cancel(first)
    assert granted == ["second", "third"]


def test_responses_of_requests_that_fill_the_memory_are_received_one_at_a_time():
    """Guards against requests that keep out the responses by which they would end."""
    held = HeldBytes(max_bytes=100)
    held.hold(80)
    first = held.reserve(50, lambda: None)
    second = held.reserve(50, lambda: None)
    assert (first.is_granted, second.is_granted) == (True, False)
    held.cancel(first)
    assert second.is_granted


class HeldBytesMachine(RuleBasedStateMachine):
    """Requests, responses and slow readers come and go in any order."""

    requests = Bundle("requests")
    responses = Bundle("responses")
    sizes = st.integers(min_value=0, max_value=MAX_BYTES)

    def __init__(self):
        super().__init__()
        self.held = HeldBytes(max_bytes=MAX_BYTES)
        self.request_bytes = 0
        self.open = []
        self.unread_bytes = 0

    @rule(target=requests, size=sizes)
    def receive_request(self, size):
        if not self.held.fits(size):
            return 0
        self.held.hold(size)
        self.request_bytes += size
        return size

    @rule(size=consumes(requests))
    def end_request(self, size):
        self.held.release(size)
        self.request_bytes -= size

    @rule(target=responses, size=sizes)
    def announce_response(self, size):
        reservation = self.held.reserve(size, lambda: None)
        self.open.append(reservation)
        return reservation

    @rule(reservation=consumes(responses), is_unread=st.booleans())
    def end_response(self, reservation, is_unread):
        if is_unread and reservation.is_granted:
            self.unread_bytes += reservation.size_bytes
            self.held.add_unread(reservation.size_bytes)
        self.open.remove(reservation)
        self.held.cancel(reservation)

    @rule()
    def read_responses(self):
        unread_bytes, self.unread_bytes = self.unread_bytes, 0
        self.held.add_unread(-unread_bytes)

    @invariant()
    def everything_is_counted(self):
        granted_bytes = sum(each.size_bytes for each in self.open if each.is_granted)
        expected_bytes = self.request_bytes + self.unread_bytes + granted_bytes
        assert self.held.total_bytes == expected_bytes

    @invariant()
    def requests_leave_room(self):
        is_alone = self.request_bytes <= MAX_BYTES * REQUEST_SHARE
        assert is_alone or not self.held.fits(1)

    @invariant()
    def at_most_one_response_exceeds_the_limit(self):
        granted = [each.size_bytes for each in self.open if each.is_granted]
        if self.held.total_bytes > MAX_BYTES:
            others_bytes = self.held.total_bytes - max(granted, default=0)
            assert others_bytes <= MAX_BYTES or self.unread_bytes

    @invariant()
    def somebody_makes_progress(self):
        """Nothing waits for memory while only requests that await responses hold it."""
        is_blocked = any(each.is_granted for each in self.open) or self.unread_bytes
        assert is_blocked or not self.held.waiting


TestHeldBytes = HeldBytesMachine.TestCase
