"""Following the platform through outages, lost history and silence."""

import asyncio
import random

from sassafraswinch_sidecar.platform_reader import (
    FIRST_WATCH_TIMEOUT_MS,
    RETRY_PAUSE_S,
    WATCH_TIMEOUT_MS,
    HistoryGoneError,
    PlatformReader,
    PlatformUnavailableError,
)
from sassafraswinch_sidecar.replica import Delta
from sassafraswinch_sidecar.revisions import UNKNOWN, Revision
from sassafraswinch_sidecar.zone_role import ZoneRole


class ScriptedStore:
    """Answers calls in turn; the last answer is waited for for ever."""

    era = 0

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []
        self.waits_ms = []

    async def read(self):
        return await self._next("read")

    async def watch(self, after, wait_ms):
        self.waits_ms.append(wait_ms)
        return await self._next(("watch", *spelt(after)))

    async def _next(self, call):
        self.calls.append(call)
        if not self.answers:
            await asyncio.Event().wait()
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        revision = answer if isinstance(answer, Revision) else Revision(0, answer)
        self.era = revision.era
        return Delta(revision=revision, is_full=call == "read", entries=())


def spelt(revision):
    """Return a revision as the calls of most tests name it: without the first era."""
    return revision if revision.era else (revision.number,)


class BurstStore:
    """Makes one change after the other, and answers watches as soon as there is one."""

    era = 0

    def __init__(self, *, changes, gap_s):
        self.changes = changes
        self.gap_s = gap_s
        self.watches = 0
        self.told = 0
        self._began_s = asyncio.get_running_loop().time()

    async def read(self):
        return Delta(revision=UNKNOWN, is_full=True, entries=())

    async def watch(self, after, wait_ms):
        self.watches += 1
        while self._made() <= after.number:
            await asyncio.sleep(self.gap_s / 4)
        self.told = self._made()
        return Delta(revision=Revision(0, self.told), is_full=False, entries=())

    def _made(self):
        passed_s = asyncio.get_running_loop().time() - self._began_s
        return min(self.changes, int(passed_s / self.gap_s))


class Keeper:
    """Notes what it is told."""

    def __init__(self):
        self.revision = UNKNOWN
        self.told = []
        self.followed = []

    def take(self, delta, source):
        self.revision = max(self.revision, delta.revision)

    def platform_away(self):
        self.told.append("away")

    def platform_back(self):
        self.told.append("back")

    def platform_followed(self, following):
        self.followed.append(following)


def new_reader(store, keeper, duty):
    return PlatformReader(store=store, listener=keeper, role=duty, rng=random.Random(1))


async def follow(*answers):
    store, keeper = ScriptedStore(*answers), Keeper()
    reader = new_reader(
        store, keeper, ZoneRole(own_ip="10.0.0.1", active_sidecars=2, step_ms=50.0)
    )
    task = asyncio.create_task(reader.run())
    async with asyncio.timeout(10):
        while store.answers or len(store.calls) <= len(answers):
            await asyncio.sleep(0.01)
    task.cancel()
    return store, keeper


async def test_reading_is_held_by_watches_from_its_revision():
    store, _ = await follow(4, 6)
    assert store.calls == ["read", ("watch", 4), ("watch", 6)]


async def test_changes_in_a_burst_take_one_call_for_all_but_the_first():
    """The servers of a service are replaced: a dozen changes within a second, and
    every sidecar calls the platform again after each.
    """
    store = BurstStore(changes=12, gap_s=0.02)
    reader = new_reader(
        store, Keeper(), ZoneRole(own_ip="10.0.0.1", active_sidecars=2, step_ms=50.0)
    )
    task = asyncio.create_task(reader.run())
    async with asyncio.timeout(10):
        while store.told < 12:
            await asyncio.sleep(0.01)
    task.cancel()
    assert store.watches <= 3


async def test_lost_history_is_read_anew():
    store, _ = await follow(4, HistoryGoneError(), 9)
    assert store.calls == ["read", ("watch", 4), "read", ("watch", 9)]


async def test_outage_is_told_and_the_watch_goes_on_where_it_was():
    """The platform is away for a moment. Changes of the meantime are still in its
    history, so nothing is read anew: all hosts would do so at once.
    """
    down = PlatformUnavailableError(reason="reset")
    store, keeper = await follow(4, down, 5)
    assert store.calls == ["read", ("watch", 4), ("watch", 4), ("watch", 5)]
    assert keeper.told == ["back", "away", "back"]


async def test_start_during_an_outage_reads_once_it_is_over():
    down = PlatformUnavailableError(reason="status 503")
    store, keeper = await follow(down, down, 7)
    assert store.calls == ["read", "read", "read", ("watch", 7)]
    assert keeper.revision == Revision(0, 7)


async def test_return_of_the_platform_is_found_at_once_and_not_by_the_next_change():
    """The watch is cut for a moment, and the next one waits for a change. Three seconds
    later a server is removed. If the platform counted as away until that answer, the
    removal would pass for an expiry of a long outage and be held back: the server
    would get work for two seconds more.
    """
    down = PlatformUnavailableError(reason="reset")
    store, keeper = await follow(4, down, 4)
    assert store.waits_ms[0] == WATCH_TIMEOUT_MS
    assert store.waits_ms[1] == FIRST_WATCH_TIMEOUT_MS
    assert store.waits_ms[2] == WATCH_TIMEOUT_MS
    assert keeper.told == ["back", "away", "back"]


def duty_of(own_ip, **peers):
    duty = ZoneRole(own_ip=own_ip, active_sidecars=2, step_ms=50.0)
    duty.update_role(
        {f"10.0.0.{name[1:]}": follows for name, follows in peers.items()}, 0
    )
    return duty


async def run_until(condition, reader):
    task = asyncio.create_task(reader.run())
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.01)
    task.cancel()


async def test_sidecar_off_duty_reads_once_and_leaves_the_platform_to_others():
    """A zone of thirty sidecars calls the platform thirty times for each change."""
    store, keeper = ScriptedStore(4, 5, 6), Keeper()
    duty = duty_of("10.0.0.3", p1=True, p2=True)
    await run_until(
        lambda: keeper.followed[-1:] == [False], new_reader(store, keeper, duty)
    )
    assert store.calls == ["read"]
    assert keeper.followed == [True, False]


async def test_sidecar_comes_on_duty_when_the_watchers_are_gone():
    """Both watchers are cut off. Their zone must hear of the next change in time: the
    first call tells at once whether the platform can be read, and peers rely on that.
    """
    store, keeper = ScriptedStore(4), Keeper()
    duty = duty_of("10.0.0.3", p1=True, p2=True)
    reader = new_reader(store, keeper, duty)
    task = asyncio.create_task(reader.run())
    async with asyncio.timeout(10):
        while keeper.followed != [True, False]:
            await asyncio.sleep(0.01)
        store.answers = [4]
        duty.update_role({}, 1_000)
        while keeper.followed != [True, False, True]:
            await asyncio.sleep(0.01)
    task.cancel()
    assert store.calls[:2] == ["read", ("watch", 4)]
    assert store.waits_ms[0] == FIRST_WATCH_TIMEOUT_MS


async def test_sidecar_turned_away_doesnt_take_the_platform_for_lost():
    """The platform turns one sidecar away and serves its peers. A server is removed:
    held back as the expiry of an outage, it would get work for two seconds more.
    """
    down = PlatformUnavailableError(reason="status 429")
    store, keeper = ScriptedStore(4, down, down, 5), Keeper()
    duty = duty_of("10.0.0.1", p2=True, p3=True)
    await run_until(lambda: not store.answers, new_reader(store, keeper, duty))
    assert "away" not in keeper.told


async def test_watch_answered_in_another_era_is_no_continuation():
    """Guards against changes of a restored store without what it has lost."""
    store, keeper = await follow(4, Revision(1, 6), Revision(1, 5), Revision(1, 7))
    assert store.calls == [
        "read",
        ("watch", 4),
        "read",
        ("watch", 1, 5),
        ("watch", 1, 7),
    ]
    assert keeper.revision == Revision(1, 7)


async def test_era_that_any_answer_bears_is_read_anew():
    """Guards against a new era that only a refusal has told."""
    store, keeper = ScriptedStore(4, 5, Revision(1, 3)), Keeper()
    reader = new_reader(store, keeper, duty_of("10.0.0.1"))
    store.watch = told_by_refusal(store, store.watch)
    await run_until(lambda: keeper.revision == Revision(1, 3), reader)
    assert store.calls[:3] == ["read", ("watch", 4), "read"]


def told_by_refusal(store, watch):
    """Return a watch whose first answer is a refusal that bears the next era."""

    async def refused(after, wait_ms):
        await watch(after, wait_ms)
        store.watch = watch
        store.era = 1
        raise PlatformUnavailableError(reason="status 503", answered=True)

    return refused


async def test_answer_of_an_older_era_is_not_taken():
    """Guards against a late answer that takes a copy back to an older era."""
    store, keeper = ScriptedStore(4, Revision(2, 6)), Keeper()
    keeper.revision = Revision(2, 5)
    reader = new_reader(store, keeper, duty_of("10.0.0.1"))
    await run_until(lambda: keeper.revision == Revision(2, 6), reader)
    assert store.calls[:2] == ["read", "read"]


async def test_store_that_keeps_no_history_is_read_with_pauses():
    """Guards against readings and lost histories in turn, each at once."""
    gone = [answer for _ in range(20) for answer in (4, HistoryGoneError())]
    store, keeper = ScriptedStore(*gone), Keeper()
    reader = new_reader(store, keeper, duty_of("10.0.0.1"))
    task = asyncio.create_task(reader.run())
    await asyncio.sleep(0.5)
    task.cancel()
    assert store.calls.count("read") <= 2 + 0.5 / RETRY_PAUSE_S[0]
