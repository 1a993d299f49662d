"""Tests of the handler of the local server's notices."""

import pytest

from sassafraswinch_sidecar.header_names import HeaderNames
from sassafraswinch_sidecar.local_notices import LocalNotices
from sassafraswinch_sidecar.notice_handler import NoticeHandler
from sassafraswinch_sidecar.server_notices import StampedNotice, serialize_notice
from sassafraswinch_sidecar.server_queue import ServerQueue
from sidecar_standins.notices import MemoryNoticeDecoder


class Harness:
    """A handler, and the lifetimes that it announced as leaving."""

    def __init__(self):
        self.announced = []
        self.notices = LocalNotices(now_ms=lambda: 0.0, stamp_us=lambda: 5)
        self.handler = NoticeHandler(
            queue=ServerQueue(limit=4),
            notices=self.notices,
            decoder=MemoryNoticeDecoder(),
            client=None,
            names=HeaderNames(),
            now_ms=lambda: 0.0,
            on_paced=lambda: None,
            on_notice=self.announce,
        )

    def announce(self):
        self.announced.append((self.notices.incarnation, self.notices.leaving))

    def merge_leave_notice(self, incarnation, stamp):
        notice = StampedNotice(
            instance_id="i-1",
            stamp=stamp,
            rate_limit_per_s=None,
            leaving=True,
            incarnation=incarnation,
        )
        self.handler.merge_report(serialize_notice(notice))


@pytest.fixture
def harness():
    return Harness()


def test_leave_notice_of_the_next_lifetime_is_announced_as_well(harness):
    """Guards against hosts that go on sending, as the former lifetime left already."""
    harness.merge_leave_notice(1, stamp=7)
    harness.merge_leave_notice(1, stamp=8)
    harness.merge_leave_notice(2, stamp=9)
    assert harness.announced == [(1, True), (2, True)]


def test_leave_notice_is_announced_again_once_its_lifetime_is_known(harness):
    """Guards against hosts that can't tell which lifetime a notice belongs to."""
    harness.merge_leave_notice(0, stamp=7)
    harness.handler.record_registration("i-1", 3)
    assert harness.announced == [(0, True), (3, True)]
    harness.handler.record_registration("i-1", 4)
    assert harness.announced == [(0, True), (3, True)]
    assert harness.handler.report() is None
