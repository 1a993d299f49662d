"""Whether a missing entry says that the server has gone, on a paused clock."""

import asyncio
from contextlib import contextmanager

import pytest

from sassafraswinch_sidecar.own_entry import ASK_TIMEOUT_S, OwnEntry
from sassafraswinch_sidecar.platform_reader import PlatformUnavailableError
from sidecar_standins.instances import new_instance

pytestmark = pytest.mark.looptime


class Platform:
    """Answers as it is told, and knows what it was asked."""

    def __init__(self):
        self.answer = True
        self.asked = 0

    async def lists(self, instance_id):
        self.asked += 1
        if self.answer is None:
            await asyncio.Event().wait()
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer


class World:
    def __init__(self):
        self.platform = Platform()
        self.lapsed = None
        self.told = []
        self.own = OwnEntry(
            missing=lambda: self.lapsed,
            store=self.platform,
            changed=lambda: self.told.append(self.own.is_isolated),
        )


@contextmanager
def asking():
    world = World()
    task = asyncio.create_task(world.own.run())
    yield world
    task.cancel()


async def test_nothing_is_asked_while_the_entry_is_there():
    with asking() as world:
        await asyncio.sleep(30.0)
        assert world.platform.asked == 0
        assert world.told == []


@pytest.mark.parametrize(
    "silence", [None, PlatformUnavailableError(reason="unreachable")]
)
async def test_host_that_gets_no_answer_is_isolated_until_it_gets_one(silence):
    """The host is cut off from the platform for ten seconds. Its server's entry
    expires, and the others tell so. Peers must hear that the server lives, and when
    the platform can be reached again.
    """
    with asking() as world:
        world.platform.answer = silence
        world.lapsed = new_instance(1)
        await asyncio.sleep(ASK_TIMEOUT_S + 0.5)
        assert world.told == [True]
        await asyncio.sleep(10.0)
        world.platform.answer = False
        await asyncio.sleep(ASK_TIMEOUT_S + 0.5)
        assert world.told == [True, False]


@pytest.mark.parametrize(
    "answer", [False, True, PlatformUnavailableError(reason="503", answered=True)]
)
async def test_host_that_gets_any_answer_is_not_isolated(answer):
    """A server leaves without a word, and the platform drops its entry, or turns this
    host away while it serves the others: the server must get no new work.
    """
    with asking() as world:
        world.platform.answer = answer
        world.lapsed = new_instance(1)
        await asyncio.sleep(5.0)
        assert world.platform.asked > 1
        assert world.told == []


async def test_entry_that_is_gone_for_good_is_asked_for_now_and_then():
    """Five servers leave, and the sidecars beside them live on with their callers. They
    asked for the entries seven times in three seconds each, for the rest of the day.
    """
    with asking() as world:
        world.platform.answer = False
        world.lapsed = new_instance(1)
        await asyncio.sleep(30.0)
        assert 8 <= world.platform.asked <= 11


async def test_entry_that_is_back_ends_the_isolation():
    with asking() as world:
        world.platform.answer = None
        world.lapsed = new_instance(1)
        await asyncio.sleep(2.0)
        world.lapsed = None
        await asyncio.sleep(2.0)
        assert world.told == [True, False]
