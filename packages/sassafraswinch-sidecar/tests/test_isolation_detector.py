"""Tests of the detection of isolated hosts, on a simulated clock."""

import asyncio
from contextlib import contextmanager

import pytest

from sassafraswinch_sidecar.isolation_detector import (
    LOOKUP_TIMEOUT_S,
    IsolationDetector,
)
from sassafraswinch_sidecar.platform_reader import PlatformUnavailableError
from sidecar_standins.instances import new_instance

pytestmark = pytest.mark.looptime


class StubStore:
    """A store that returns a configured answer and counts the lookups."""

    def __init__(self):
        self.answer = True
        self.lookups = 0

    async def has_instance(self, instance_id):
        self.lookups += 1
        if self.answer is None:
            await asyncio.Event().wait()
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer


class Harness:
    def __init__(self):
        self.store = StubStore()
        self.missing = None
        self.states = []
        self.detector = IsolationDetector(
            find_missing=lambda: self.missing,
            store=self.store,
            on_change=lambda: self.states.append(self.detector.is_isolated),
        )


@contextmanager
def running_harness():
    harness = Harness()
    task = asyncio.create_task(harness.detector.run())
    yield harness
    task.cancel()


async def test_no_lookup_while_the_registration_exists():
    with running_harness() as harness:
        await asyncio.sleep(30.0)
        assert harness.store.lookups == 0
        assert harness.states == []


@pytest.mark.parametrize(
    "silence", [None, PlatformUnavailableError(reason="unreachable")]
)
async def test_host_without_a_reply_is_isolated_until_it_gets_one(silence):
    """A host is isolated from the platform for ten seconds. Its server's registration
    expires, and peers report the removal. They must be notified that the server is
    running, and when the platform can be reached again.
    """
    with running_harness() as harness:
        harness.store.answer = silence
        harness.missing = new_instance(1)
        await asyncio.sleep(LOOKUP_TIMEOUT_S + 0.5)
        assert harness.states == [True]
        await asyncio.sleep(10.0)
        harness.store.answer = False
        await asyncio.sleep(LOOKUP_TIMEOUT_S + 0.5)
        assert harness.states == [True, False]


@pytest.mark.parametrize(
    "answer", [False, True, PlatformUnavailableError(reason="503", answered=True)]
)
async def test_host_that_gets_any_reply_is_not_isolated(answer):
    """A server leaves without notice, and the platform removes its registration, or
    refuses this host while it serves the others. The server must get no new work.
    """
    with running_harness() as harness:
        harness.store.answer = answer
        harness.missing = new_instance(1)
        await asyncio.sleep(5.0)
        assert harness.store.lookups > 1
        assert harness.states == []


async def test_registration_that_is_gone_for_good_is_rarely_looked_up():
    """Five servers leave, and the sidecars beside them keep running for their callers.
    Each of them looked up the registration seven times in three seconds, for the rest
    of the day.
    """
    with running_harness() as harness:
        harness.store.answer = False
        harness.missing = new_instance(1)
        await asyncio.sleep(30.0)
        assert 8 <= harness.store.lookups <= 11


async def test_returned_registration_ends_the_isolation():
    with running_harness() as harness:
        harness.store.answer = None
        harness.missing = new_instance(1)
        await asyncio.sleep(2.0)
        harness.missing = None
        await asyncio.sleep(2.0)
        assert harness.states == [True, False]
