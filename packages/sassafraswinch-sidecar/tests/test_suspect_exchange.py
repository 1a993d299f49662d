"""What sidecars tell each other of requests that ended servers."""

import pytest
from hypothesis import given, settings, strategies as st

from sassafraswinch.crash_suspects import CrashSuspects, Restriction, SuspectReport
from sassafraswinch_node.frames import LENGTH_BYTES
from sassafraswinch_sidecar.message_codec import parse_message, serialize_message
from sassafraswinch_sidecar.suspect_exchange import (
    MAX_WIRE_AGE_MS,
    SuspectExchange,
    parse_suspect_reports,
    serialize_suspect_reports,
)

BAD = (b"b" * 16,)
AGES = st.integers(0, MAX_WIRE_AGE_MS)


class Link:
    """A link that keeps what is sent, or is closed."""

    def __init__(self, *, takes_suspects=True, is_open=True):
        self.takes_suspects = takes_suspects
        self.suspects_sent_up_to = 0
        self.is_open = is_open
        self.sent = []

    def send(self, message):
        if self.is_open:
            self.sent.append(message)
        return self.is_open


@pytest.fixture
def suspects():
    return CrashSuspects()


@pytest.fixture
def changes():
    return []


@pytest.fixture
def exchange(suspects, changes):
    return SuspectExchange(
        suspects=suspects,
        now_ms=lambda: 1_000.0,
        on_local_change=lambda: None,
        on_received_change=lambda: changes.append(1),
    )


@settings(derandomize=True, deadline=None)
@given(
    st.lists(
        st.builds(
            SuspectReport,
            digest=st.binary(min_size=16, max_size=16),
            crash_ages_ms=st.dictionaries(st.text(max_size=20), AGES, max_size=4),
            answered_age_ms=st.none() | AGES,
        ),
        max_size=4,
    )
)
def test_words_come_back_equal(words):
    payload = serialize_message(serialize_suspect_reports(words))[LENGTH_BYTES:]
    assert parse_suspect_reports(parse_message(payload)) == words


def test_link_is_told_only_what_is_new(exchange, suspects):
    link = Link()
    suspects.record_crash(BAD, "i-1", 900.0)
    exchange.send_changes(link)
    exchange.send_changes(link)
    assert len(link.sent) == 1
    suspects.record_crash(BAD, "i-2", 950.0)
    exchange.send_changes(link)
    assert len(link.sent) == 2


def test_what_was_not_sent_is_told_again(exchange, suspects):
    link = Link(is_open=False)
    suspects.record_crash(BAD, "i-1", 900.0)
    exchange.send_changes(link)
    link.is_open = True
    exchange.send_changes(link)
    assert len(link.sent) == 1


def test_older_sidecar_is_told_nothing(exchange, suspects):
    """A release replaces the sidecars one by one. An older one would give up the link
    for a message that it doesn't know.
    """
    link = Link(takes_suspects=False)
    for number in range(3):
        suspects.record_crash(BAD, f"i-{number}", 900.0)
    exchange.send_restricted(link)
    exchange.send_changes(link)
    assert not link.sent


def test_greeting_tells_of_requests_that_must_not_run_freely(exchange, suspects):
    link = Link()
    suspects.record_crash((b"o" * 16,), "i-1", 900.0)
    exchange.send_restricted(link)
    assert not link.sent
    for number in range(3):
        suspects.record_crash(BAD, f"i-{number}", 900.0)
    exchange.send_restricted(link)
    (news,) = link.sent
    assert [told.digest for told in news.suspects] == list(BAD)


def test_news_is_handed_on_once(exchange, suspects, changes):
    words = [SuspectReport(BAD[0], {"a": 1.0, "b": 2.0, "c": 3.0})]
    exchange.merge_message(serialize_suspect_reports(words))
    exchange.merge_message(serialize_suspect_reports(words))
    assert len(changes) == 1
    assert suspects.decide(BAD, 1_000.0).restriction is Restriction.HELD
