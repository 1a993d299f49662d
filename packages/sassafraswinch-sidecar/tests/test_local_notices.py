"""Tests of the latest notice of the local backend server."""

import dataclasses
import math

import pytest

from sassafraswinch_sidecar.fleet import Fleet
from sassafraswinch_sidecar.local_notices import LocalNotices
from sassafraswinch_sidecar.replica import Entry
from sassafraswinch_sidecar.revisions import Revision
from sassafraswinch_sidecar.server_notices import (
    NO_NOTICE,
    ServerNotice,
    StampedNotice,
    parse_notice,
    serialize_notice,
)
from sidecar_standins.fleet import INSTANCE, MemoryDecoder
from sidecar_standins.instances import instance_value


class Clocks:
    """Monotonic clock and time of day, which a test sets."""

    def __init__(self):
        self.now_ms = 1_000.0
        self.day_us = 5_000_000

    def new_notices(self) -> LocalNotices:
        """Return the notices of a process that has just started."""
        return LocalNotices(now_ms=lambda: self.now_ms, stamp_us=lambda: self.day_us)


@pytest.fixture
def clocks():
    return Clocks()


def limited(rate: float) -> ServerNotice:
    return ServerNotice(rate_limit_per_s=rate)


def report(stamp: int, *, instance="i-1", limit=3.0, leaving=False) -> StampedNotice:
    return StampedNotice(
        instance_id=instance, stamp=stamp, rate_limit_per_s=limit, leaving=leaving
    )


def lines_of(log_stream, event: str) -> list[str]:
    """Return the logged lines of an event."""
    lines = log_stream.getvalue().splitlines()
    return [line for line in lines if f"event={event} " in line]


def test_log_says_when_a_limit_is_named_changed_and_ended(log_stream, clocks):
    notices = clocks.new_notices()
    notices.record_response("i-1", NO_NOTICE)
    for rate in (12.4, 12.4, 3.0):
        clocks.now_ms += 500.0
        notices.record_response("i-1", limited(rate))
    notices.record_response("i-1", NO_NOTICE)
    lines = lines_of(log_stream, "server_rate_limit")
    assert [line.split("instance=")[1] for line in lines] == [
        "i-1 limit_per_s=12.4 former_per_s=None source=own-server age_ms=500.0",
        "i-1 limit_per_s=3.0 former_per_s=12.4 source=own-server age_ms=500.0",
        "i-1 limit_per_s=None former_per_s=3.0 source=own-server age_ms=0.0",
    ]


def test_successor_at_the_address_has_no_limit_and_does_not_leave(clocks):
    notices = clocks.new_notices()
    notices.record_response("i-1", ServerNotice(rate_limit_per_s=3.0, leaving=True))
    assert notices.gauges()["backend_rate_limit_per_s"] == 3.0
    notices.record_response("i-2", NO_NOTICE)
    assert notices.gauges()["backend_rate_limit_per_s"] == math.inf
    assert not notices.leaving
    assert notices.latest() is None


def test_unreadable_value_is_counted_and_logged_once_for_each_server(
    log_stream, clocks
):
    notices = clocks.new_notices()
    notices.record_response("i-1", limited(3.0))
    for instance in ("i-1", "i-1", "i-2"):
        notices.record_response(instance, ServerNotice(invalid_value=b"9" * 400))
    assert notices.gauges()["backend_invalid_notices"] == 3
    lines = lines_of(log_stream, "server_notice_invalid")
    assert [line.split("instance=")[1][:3] for line in lines] == ["i-1", "i-2"]
    assert max(len(line) for line in lines) < 200


def test_unreadable_value_neither_names_nor_ends_a_limit(clocks):
    notices = clocks.new_notices()
    notices.record_response("i-1", ServerNotice(invalid_value=b"nan"))
    assert notices.limit_per_s is None
    notices.record_response("i-1", limited(3.0))
    notices.record_response("i-1", ServerNotice(invalid_value=b"nan"))
    assert notices.limit_per_s == 3.0


def test_leaving_holds_for_the_rest_of_the_lifetime(clocks):
    notices = clocks.new_notices()
    notices.record_response("i-1", ServerNotice(leaving=True))
    notices.record_response("i-1", NO_NOTICE)
    assert notices.leaving
    assert notices.latest().leaving


def test_server_that_never_stated_anything_is_not_reported(clocks):
    notices = clocks.new_notices()
    notices.record_response("i-1", NO_NOTICE)
    assert notices.latest() is None
    notices.record_response("i-1", limited(3.0))
    notices.record_response("i-1", NO_NOTICE)
    assert notices.latest().rate_limit_per_s is None


def test_restarted_process_learns_the_limit_from_a_peer(clocks):
    notices = clocks.new_notices()
    notices.merge_report(report(4_000_000, limit=12.4))
    notices.merge_report(report(3_000_000, limit=20.0))
    assert (notices.instance_id, notices.limit_per_s) == ("i-1", 12.4)
    assert not notices.is_confirmed


def test_own_response_counts_more_than_what_peers_know(clocks):
    """Guards against a limit that a peer's old notice brings back."""
    notices = clocks.new_notices()
    notices.record_response("i-1", NO_NOTICE)
    notices.merge_report(report(4_000_000))
    notices.merge_report(report(9_000_000))
    assert notices.limit_per_s is None
    # The peer must learn that the limit has ended.
    notices.record_response("i-1", NO_NOTICE)
    assert notices.latest().stamp > 9_000_000
    assert notices.latest().rate_limit_per_s is None


def test_notice_of_a_former_server_is_ignored_once_another_answered(clocks):
    notices = clocks.new_notices()
    notices.record_response("i-2", NO_NOTICE)
    notices.merge_report(report(9_000_000, instance="i-1", leaving=True))
    assert notices.limit_per_s is None
    assert not notices.leaving


def test_stamps_rise_over_a_restart_with_the_clock_set_back(clocks):
    """Guards against an ended limit that peers keep, as its stamp is in the future."""
    first = clocks.new_notices()
    first.record_response("i-1", limited(3.0))
    known_to_peers = first.latest()
    clocks.day_us -= 3_000_000
    restarted = clocks.new_notices()
    restarted.merge_report(known_to_peers)
    assert restarted.limit_per_s == 3.0
    restarted.record_response("i-1", NO_NOTICE)
    assert restarted.latest().stamp > known_to_peers.stamp
    assert restarted.latest().rate_limit_per_s is None


@pytest.mark.parametrize("limit", [None, 0.0, 12.4])
def test_notice_survives_a_round_trip(limit):
    notice = report(7, limit=limit, leaving=True)
    assert parse_notice(serialize_notice(notice)) == notice
    assert parse_notice(serialize_notice(None)) is None


def test_server_that_starts_again_under_its_id_is_not_reported_as_leaving(clocks):
    """Guards against a leave notice that outlasts its lifetime where ids are kept."""
    notices = clocks.new_notices()
    notices.record_response("i-1", ServerNotice(leaving=True))
    # The next lifetime at the address has the same id and states nothing.
    notices.record_response("i-1", NO_NOTICE)
    fleet = Fleet(decoder=MemoryDecoder(), report_error=print)
    for number in (1, 2):
        entry = Entry(
            key=f"{INSTANCE}i-1",
            revision=Revision(0, number),
            value=instance_value(incarnation=number),
        )
        fleet.apply_entries([entry], 0.0)
    if notices.latest().leaving:
        fleet.record_leave_notice(notices.latest().instance_id)
    assert [found.id for found in fleet.of_service("archiv")] == ["i-1"]


LEAVING = ServerNotice(leaving=True)


def in_force(notices):
    """Return the limit and whether the server is leaving."""
    return notices.limit_per_s, notices.leaving


def test_limit_and_leave_notice_end_with_the_registration_of_the_next_lifetime(clocks):
    """Guards against a limit that outlasts its lifetime until the next response."""
    notices = clocks.new_notices()
    notice = ServerNotice(rate_limit_per_s=3.0, leaving=True)
    notices.record_response("i-1", notice, 1)
    notices.record_registration("i-1", 1)
    assert in_force(notices) == (3.0, True)
    notices.record_registration("i-1", 2)
    assert in_force(notices) == (None, False)
    assert notices.latest() is None


def test_response_that_states_nothing_takes_no_leave_notice_back(clocks):
    """Guards against a response made before the notice and read after it."""
    notices = clocks.new_notices()
    notices.record_response("i-1", LEAVING, 1)
    notices.record_response("i-1", NO_NOTICE, 1)
    notices.record_registration("i-1", 1)
    assert notices.leaving


def test_late_response_of_a_former_lifetime_states_nothing(clocks):
    """Guards against a leave notice of the former server, read on another connection
    after its successor was registered.
    """
    notices = clocks.new_notices()
    notices.record_response("i-1", NO_NOTICE, 1)
    notices.record_registration("i-1", 2)
    notices.record_response("i-1", ServerNotice(rate_limit_per_s=3.0, leaving=True), 1)
    assert in_force(notices) == (None, False)
    notices.record_response("i-1", LEAVING, 2)
    assert notices.leaving


def test_restarted_process_takes_notices_of_its_server_lifetime_only(clocks):
    """Guards against peers that return a notice of the former lifetime."""
    old = report(4_000_000, leaving=True)
    old = dataclasses.replace(old, incarnation=1)
    unaware = clocks.new_notices()
    unaware.merge_report(old)
    assert in_force(unaware) == (3.0, True)
    unaware.record_registration("i-1", 2)
    assert in_force(unaware) == (None, False)
    unaware.merge_report(old)
    assert in_force(unaware) == (None, False)
    answered = clocks.new_notices()
    answered.record_response("i-1", NO_NOTICE, 2)
    answered.merge_report(old)
    assert in_force(answered) == (None, False)


def test_notice_read_before_the_registration_is_reported_with_its_lifetime(clocks):
    """Guards against a notice whose lifetime peers can't tell while the store is silent
    when it is read.
    """
    notices = clocks.new_notices()
    notices.record_response("i-1", LEAVING)
    first = notices.latest()
    notices.record_registration("i-1", 4)
    assert notices.latest().incarnation == 4
    assert notices.latest().stamp > first.stamp
    assert notices.leaving
