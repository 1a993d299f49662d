"""Tests of following the platform through outages, lost history and silence."""

import asyncio
import random

import pytest

from sassafraswinch_sidecar.platform_reader import (
    FIRST_WATCH_TIMEOUT_MS,
    RETRY_PAUSE_S,
    WATCH_OVERDUE_MS,
    WATCH_TIMEOUT_MS,
    HistoryGoneError,
    PlatformReader,
    PlatformUnavailableError,
)
from sassafraswinch_sidecar.replica import Delta
from sassafraswinch_sidecar.revisions import UNKNOWN, Revision
from sassafraswinch_sidecar.zone_role import ZoneRole


class ScriptedStore:
    """A store that returns given answers in turn; further calls never return."""

    era = 0

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []
        self.waits_ms = []

    async def read(self):
        return await self._next("read")

    async def watch(self, after, wait_ms):
        self.waits_ms.append(wait_ms)
        return await self._next(("watch", *call_arguments(after)))

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


def call_arguments(revision):
    """Return a revision as recorded in calls: the first era is left out."""
    return revision if revision.era else (revision.number,)


class BurstStore:
    """A store that changes at a fixed interval and answers watches at each change."""

    era = 0

    def __init__(self, *, changes, gap_s):
        self.changes = changes
        self.gap_s = gap_s
        self.watches = 0
        self.reported = 0
        self._started_s = asyncio.get_running_loop().time()

    async def read(self):
        return Delta(revision=UNKNOWN, is_full=True, entries=())

    async def watch(self, after, wait_ms):
        self.watches += 1
        while self._change_count() <= after.number:
            await asyncio.sleep(self.gap_s / 4)
        self.reported = self._change_count()
        return Delta(revision=Revision(0, self.reported), is_full=False, entries=())

    def _change_count(self):
        elapsed_s = asyncio.get_running_loop().time() - self._started_s
        return min(self.changes, int(elapsed_s / self.gap_s))


class RecordingListener:
    """Records the calls of the reader."""

    def __init__(self):
        self.revision = UNKNOWN
        self.states = []
        self.followed = []

    def apply_delta(self, delta, source):
        self.revision = max(self.revision, delta.revision)

    def record_outage(self):
        self.states.append("away")

    def record_outage_end(self):
        self.states.append("back")

    def record_following(self, following):
        self.followed.append(following)


def new_reader(store, listener, role):
    return PlatformReader(
        store=store, listener=listener, role=role, rng=random.Random(1)
    )


async def follow(*answers):
    store, listener = ScriptedStore(*answers), RecordingListener()
    reader = new_reader(
        store, listener, ZoneRole(own_ip="10.0.0.1", active_sidecars=2, step_ms=50.0)
    )
    task = asyncio.create_task(reader.run())
    async with asyncio.timeout(10):
        while store.answers or len(store.calls) <= len(answers):
            await asyncio.sleep(0.01)
    task.cancel()
    return store, listener


async def test_read_is_followed_by_watches_from_its_revision():
    store, _ = await follow(4, 6)
    assert store.calls == ["read", ("watch", 4), ("watch", 6)]


async def test_changes_after_the_first_of_a_burst_are_fetched_in_one_call():
    """The servers of a service are replaced, with a dozen changes within a second.
    Every sidecar would call the platform again after each.
    """
    store = BurstStore(changes=12, gap_s=0.02)
    reader = new_reader(
        store,
        RecordingListener(),
        ZoneRole(own_ip="10.0.0.1", active_sidecars=2, step_ms=50.0),
    )
    task = asyncio.create_task(reader.run())
    async with asyncio.timeout(10):
        while store.reported < 12:
            await asyncio.sleep(0.01)
    task.cancel()
    assert store.watches <= 3


async def test_lost_history_causes_a_full_read():
    store, _ = await follow(4, HistoryGoneError(), 9)
    assert store.calls == ["read", ("watch", 4), "read", ("watch", 9)]


async def test_outage_is_reported_and_the_watch_continues_from_its_revision():
    """The platform is unreachable for a moment. Changes of that time are still in its
    history, so there is no full read: all hosts would do one at once.
    """
    down = PlatformUnavailableError(reason="reset")
    store, listener = await follow(4, down, 5)
    assert store.calls == ["read", ("watch", 4), ("watch", 4), ("watch", 5)]
    assert listener.states == ["back", "away", "back"]


async def test_calls_are_counted_for_operators():
    """Guards against an outage in which nothing shows whether a zone still calls."""
    down = PlatformUnavailableError(reason="status 503", answered=True)
    store, listener = ScriptedStore(4, down, down, 5), RecordingListener()
    reader = new_reader(store, listener, role_of("10.0.0.1"))
    await run_until(lambda: not store.answers, reader)
    gauges = reader.gauges()
    assert gauges["platform_calls"] == len(store.calls)
    assert gauges["platform_failed_calls"] == 2
    assert 0 <= gauges["platform_call_age_ms"] < 2_000


async def test_each_failed_call_is_logged_with_the_pause_after_it(log_stream):
    """Guards against an outage whose log can't tell failing calls from missing ones."""
    down = PlatformUnavailableError(reason="reset")
    await follow(4, down, down, 5)
    lines = [line for line in log_stream.getvalue().splitlines() if "failed" in line]
    assert len(lines) == 2
    assert all("reason=reset" in line and "pause_ms=" in line for line in lines)


async def test_start_during_an_outage_reads_after_its_end():
    down = PlatformUnavailableError(reason="status 503")
    store, listener = await follow(down, down, 7)
    assert store.calls == ["read", "read", "read", ("watch", 7)]
    assert listener.revision == Revision(0, 7)


async def test_return_of_the_platform_is_detected_before_the_next_change():
    """A watch is interrupted for a moment, and the next one waits for a change. Three
    seconds later a server is removed. If the platform counted as unreachable until that
    reply, the removal would be taken for an expiry during a long outage and be held,
    and the server would get work for two more seconds.
    """
    down = PlatformUnavailableError(reason="reset")
    store, listener = await follow(4, down, 4)
    assert store.waits_ms[0] == WATCH_TIMEOUT_MS
    assert store.waits_ms[1] == FIRST_WATCH_TIMEOUT_MS
    assert store.waits_ms[2] == WATCH_TIMEOUT_MS
    assert listener.states == ["back", "away", "back"]


def role_of(own_ip, **peers):
    role = ZoneRole(own_ip=own_ip, active_sidecars=2, step_ms=50.0)
    role.update_role(
        {f"10.0.0.{name[1:]}": follows for name, follows in peers.items()}, 0
    )
    return role


async def run_until(condition, reader):
    task = asyncio.create_task(reader.run())
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.01)
    task.cancel()


async def test_inactive_sidecar_reads_once_and_then_makes_no_calls():
    """Guards against thirty sidecars of a zone calling the platform for each change."""
    store, listener = ScriptedStore(4, 5, 6), RecordingListener()
    role = role_of("10.0.0.3", p1=True, p2=True)
    await run_until(
        lambda: listener.followed[-1:] == [False], new_reader(store, listener, role)
    )
    assert store.calls == ["read"]
    assert listener.followed == [True, False]


async def test_sidecar_becomes_active_when_the_watchers_are_lost():
    """Both watchers are isolated. Their zone must receive the next change in time: the
    first call shows at once whether the platform can be read, and peers rely on that.
    """
    store, listener = ScriptedStore(4), RecordingListener()
    role = role_of("10.0.0.3", p1=True, p2=True)
    reader = new_reader(store, listener, role)
    task = asyncio.create_task(reader.run())
    async with asyncio.timeout(10):
        while listener.followed != [True, False]:
            await asyncio.sleep(0.01)
        store.answers = [4]
        role.update_role({}, 1_000)
        while listener.followed != [True, False, True]:
            await asyncio.sleep(0.01)
    task.cancel()
    assert store.calls[:2] == ["read", ("watch", 4)]
    assert store.waits_ms[0] == FIRST_WATCH_TIMEOUT_MS


class SilentStore(ScriptedStore):
    """A store that answers after a delay, and watches after their wait and a delay.

    Attributes:
        read_s: time that a read takes.
        response_s: time that a watch takes after its wait.
    """

    def __init__(self, *, response_s):
        super().__init__()
        self.response_s = response_s
        self.read_s = 0.0

    async def read(self):
        self.calls.append("read")
        await asyncio.sleep(self.read_s)
        return Delta(revision=Revision(0, 4), is_full=True, entries=())

    async def watch(self, after, wait_ms):
        self.calls.append("watch")
        await asyncio.sleep(wait_ms / 1000 + self.response_s)
        return Delta(revision=after, is_full=False, entries=())


@pytest.mark.looptime
async def test_overdue_watch_ends_following_while_the_call_goes_on():
    """Guards against peers that rely on a follower until its call has timed out."""
    store, listener = SilentStore(response_s=0.004), RecordingListener()
    task = asyncio.create_task(new_reader(store, listener, role_of("10.0.0.1")).run())
    await asyncio.sleep(3.0)
    assert listener.followed == [True]
    watches, reads = store.calls.count("watch"), store.calls.count("read")
    store.response_s = store.read_s = 60.0
    await asyncio.sleep((2 * WATCH_TIMEOUT_MS + WATCH_OVERDUE_MS) / 1000 + 0.01)
    assert listener.followed == [True, False]
    assert store.calls.count("watch") <= watches + 1
    assert store.calls.count("read") <= reads + 1
    task.cancel()


@pytest.mark.looptime
async def test_store_whose_watches_hear_nothing_is_followed_by_reads():
    """Guards against a takeover by the whole zone of a store that answers reads."""
    store, listener = SilentStore(response_s=0.004), RecordingListener()
    task = asyncio.create_task(new_reader(store, listener, role_of("10.0.0.1")).run())
    await asyncio.sleep(3.0)
    store.response_s = 60.0
    reads = store.calls.count("read")
    await asyncio.sleep(10.0)
    assert listener.followed == [True]
    assert 10 <= store.calls.count("read") - reads <= 25
    task.cancel()


@pytest.mark.looptime
async def test_store_that_is_too_slow_for_a_long_read_is_followed_by_watches():
    """Guards against reads without end where a watch would be answered in time."""
    store, listener = SilentStore(response_s=0.004), RecordingListener()
    task = asyncio.create_task(new_reader(store, listener, role_of("10.0.0.1")).run())
    await asyncio.sleep(3.0)
    store.response_s, store.read_s = 0.45, 1.5
    await asyncio.sleep(6.0)
    settled = len(listener.followed)
    await asyncio.sleep(20.0)
    assert listener.followed[settled - 1 :] == [True]
    task.cancel()


@pytest.mark.looptime
async def test_slow_store_is_followed_without_interruption():
    """Guards against a takeover with each watch while the store is slow for all."""
    store, listener = SilentStore(response_s=0.24), RecordingListener()
    task = asyncio.create_task(new_reader(store, listener, role_of("10.0.0.1")).run())
    await asyncio.sleep(3.0)
    settled = len(listener.followed)
    await asyncio.sleep(20.0)
    assert len(listener.followed) == settled
    assert listener.followed[-1]
    task.cancel()


@pytest.mark.looptime
async def test_woken_sidecar_calls_the_platform_at_once():
    """Guards against a takeover that waits for the next check of the role."""
    store, listener = ScriptedStore(4), RecordingListener()
    role = role_of("10.0.0.3", p1=True, p2=True)
    reader = new_reader(store, listener, role)
    task = asyncio.create_task(reader.run())
    await asyncio.sleep(1.03)
    assert store.calls == ["read"]
    role.update_role({}, 1_030.0)
    reader.wake()
    await asyncio.sleep(0.001)
    assert store.calls == ["read", ("watch", 4)]
    task.cancel()


async def test_refused_sidecar_does_not_count_the_platform_as_unreachable():
    """The platform refuses one sidecar and serves its peers. A server is removed. If
    the removal were held as an expiry during an outage, the server would get work for
    two more seconds.
    """
    down = PlatformUnavailableError(reason="status 429")
    store, listener = ScriptedStore(4, down, down, 5), RecordingListener()
    role = role_of("10.0.0.1", p2=True, p3=True)
    await run_until(lambda: not store.answers, new_reader(store, listener, role))
    assert "away" not in listener.states


async def test_watch_answered_in_another_era_causes_a_full_read():
    """Guards against merging changes of a restored store without what it has lost."""
    store, listener = await follow(4, Revision(1, 6), Revision(1, 5), Revision(1, 7))
    assert store.calls == [
        "read",
        ("watch", 4),
        "read",
        ("watch", 1, 5),
        ("watch", 1, 7),
    ]
    assert listener.revision == Revision(1, 7)


async def test_new_era_in_any_reply_causes_a_full_read():
    """Guards against missing a new era that only a refusal has reported."""
    store, listener = ScriptedStore(4, 5, Revision(1, 3)), RecordingListener()
    reader = new_reader(store, listener, role_of("10.0.0.1"))
    store.watch = with_era_in_refusal(store, store.watch)
    await run_until(lambda: listener.revision == Revision(1, 3), reader)
    assert store.calls[:3] == ["read", ("watch", 4), "read"]


def with_era_in_refusal(store, watch):
    """Return a watch whose first reply is a refusal with the next era."""

    async def refused(after, wait_ms):
        await watch(after, wait_ms)
        store.watch = watch
        store.era = 1
        raise PlatformUnavailableError(reason="status 503", answered=True)

    return refused


async def test_reply_of_an_older_era_is_rejected():
    """Guards against a late reply that takes the replica back to an older era."""
    store, listener = ScriptedStore(4, Revision(2, 6)), RecordingListener()
    listener.revision = Revision(2, 5)
    reader = new_reader(store, listener, role_of("10.0.0.1"))
    await run_until(lambda: listener.revision == Revision(2, 6), reader)
    assert store.calls[:2] == ["read", "read"]


async def test_store_that_keeps_no_history_is_read_with_pauses():
    """Guards against full reads and lost histories in a loop without pauses."""
    gone = [answer for _ in range(20) for answer in (4, HistoryGoneError())]
    store, listener = ScriptedStore(*gone), RecordingListener()
    reader = new_reader(store, listener, role_of("10.0.0.1"))
    task = asyncio.create_task(reader.run())
    await asyncio.sleep(0.5)
    task.cancel()
    assert store.calls.count("read") <= 2 + 0.5 / RETRY_PAUSE_S[0]
