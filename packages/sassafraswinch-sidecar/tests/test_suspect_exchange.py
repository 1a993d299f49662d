"""Tests of the exchange of crash suspects between sidecars."""

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
    """Link that records sent messages, or refuses them while closed."""

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
def test_reports_survive_serialization(reports):
    payload = serialize_message(serialize_suspect_reports(reports))[LENGTH_BYTES:]
    assert parse_suspect_reports(parse_message(payload)) == reports


def test_only_changes_are_sent_to_a_link(exchange, suspects):
    link = Link()
    suspects.record_crash(BAD, "i-1", 900.0)
    exchange.send_changes(link)
    exchange.send_changes(link)
    assert len(link.sent) == 1
    suspects.record_crash(BAD, "i-2", 950.0)
    exchange.send_changes(link)
    assert len(link.sent) == 2


def test_changes_that_could_not_be_sent_are_sent_later(exchange, suspects):
    link = Link(is_open=False)
    suspects.record_crash(BAD, "i-1", 900.0)
    exchange.send_changes(link)
    link.is_open = True
    exchange.send_changes(link)
    assert len(link.sent) == 1


def test_nothing_is_sent_to_an_older_sidecar(exchange, suspects):
    """A release replaces the sidecars one by one. An older one would close the link on
    a message type that it doesn't know.
    """
    link = Link(takes_suspects=False)
    for number in range(3):
        suspects.record_crash(BAD, f"i-{number}", 900.0)
    exchange.send_restricted(link)
    exchange.send_changes(link)
    assert not link.sent


def test_new_link_is_sent_the_requests_that_must_not_run_freely(exchange, suspects):
    link = Link()
    suspects.record_crash((b"o" * 16,), "i-1", 900.0)
    exchange.send_restricted(link)
    assert not link.sent
    for number in range(3):
        suspects.record_crash(BAD, f"i-{number}", 900.0)
    exchange.send_restricted(link)
    (message,) = link.sent
    assert [suspect.digest for suspect in message.suspects] == list(BAD)


def test_received_change_is_announced_once(exchange, suspects, changes):
    reports = [SuspectReport(BAD[0], {"a": 1.0, "b": 2.0, "c": 3.0})]
    exchange.merge_message(serialize_suspect_reports(reports))
    exchange.merge_message(serialize_suspect_reports(reports))
    assert len(changes) == 1
    assert suspects.decide(BAD, 1_000.0).restriction is Restriction.HELD
