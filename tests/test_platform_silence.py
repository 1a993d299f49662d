"""Tests of zones whose store, or connections to it, go silent, on a paused clock."""

import asyncio
import itertools
import random
from collections.abc import Sequence
from dataclasses import dataclass

import pytest

from sassafraswinch_platform.store import (
    CALL_TIMEOUT_S,
    MAX_IDLE_MS,
    WATCH_RESPONSE_TIMEOUT_S,
)
from sassafraswinch_sidecar.platform_reader import (
    WATCHER_TAKEOVER_STEP_MS,
    WATCHERS_PER_ZONE,
    PlatformReader,
    PlatformUnavailableError,
)
from sassafraswinch_sidecar.replica import Delta
from sassafraswinch_sidecar.revisions import UNKNOWN, Revision
from sassafraswinch_sidecar.zone_role import ZoneRole

pytestmark = pytest.mark.looptime

STABLE_S = 3.0
"""Time after a disturbance from which changes must be in force in time."""

APPLY_S = 2.0
"""Time after its acknowledgement at which a change must be in force."""

ANSWER_S = 0.004
SPREAD_S = 0.3
"""Time in which a change that one sidecar reads reaches the others of its zone."""

ROLE_INTERVAL_S = 0.1
SIDECARS = [1, 5, 24]
STARTS_S = [0.3 + 0.61 * step for step in range(12)]
"""Times after the start of the sidecars at which the store or connections go silent.
Within the first seconds every sidecar has just used its connection."""


@dataclass(frozen=True, kw_only=True)
class Store:
    """The platform's store: times of its changes and of its silent outages."""

    changes_s: Sequence[float]
    silent_s: Sequence[tuple[float, float]] = ()

    def revision_at(self, now_s: float) -> Revision:
        return Revision(0, 1 + sum(at_s <= now_s for at_s in self.changes_s))

    def next_change_s(self, number: int) -> float:
        """Return the time of the change after a revision number."""
        later = self.changes_s[number - 1 :]
        return later[0] if later else float("inf")


class StoreClient:
    """One sidecar's connection to the store (PlatformStore).

    Args:
        store: the store.
        cut_s: time at which the connection that is open then goes silent for good.
    """

    era = 0

    def __init__(self, *, store: Store, cut_s: float):
        self._store = store
        self._cut_s = cut_s
        self._opened_s = self._used_s = now_s()

    async def read(self):
        await self._call(ANSWER_S, CALL_TIMEOUT_S)
        return Delta(
            revision=self._store.revision_at(now_s()), is_full=True, entries=()
        )

    async def watch(self, after, wait_ms):
        wait_s = wait_ms / 1000
        until_s = self._store.next_change_s(after.number) - now_s()
        answer_s = min(max(until_s, 0.0), wait_s) + ANSWER_S
        await self._call(answer_s, wait_s + WATCH_RESPONSE_TIMEOUT_S)
        return Delta(
            revision=self._store.revision_at(now_s()), is_full=False, entries=()
        )

    async def _call(self, answer_s: float, timeout_s: float) -> None:
        """Wait for the answer, or until the call times out."""
        if (now_s() - self._used_s) * 1000 >= MAX_IDLE_MS:
            self._opened_s = now_s()
        start_s, end_s = now_s(), now_s() + answer_s
        is_lost = any(
            start_s < until_s and end_s > from_s
            for from_s, until_s in self._store.silent_s
        )
        is_dead = self._opened_s <= self._cut_s < end_s
        if not is_lost and not is_dead:
            await asyncio.sleep(answer_s)
            self._used_s = now_s()
            return
        await asyncio.sleep(timeout_s)
        self._opened_s = self._used_s = now_s()
        raise PlatformUnavailableError(reason="no answer")


class Sidecar:
    """Reader and role of one sidecar (PlatformListener).

    Attributes:
        known_s: time at which each revision number became known.
    """

    def __init__(self, *, zone: list["Sidecar"], ip: str, client: StoreClient, seed):
        self.ip = ip
        self.revision = UNKNOWN
        self.known_s: dict[int, float] = {}
        self.following = False
        self.role = ZoneRole(
            own_ip=ip,
            active_sidecars=WATCHERS_PER_ZONE,
            step_ms=WATCHER_TAKEOVER_STEP_MS,
        )
        self.reader = PlatformReader(
            store=client, listener=self, role=self.role, rng=random.Random(seed)
        )
        self._zone = zone

    def apply_delta(self, delta, source):
        if self.learn(delta.revision):
            loop = asyncio.get_running_loop()
            for peer in self._zone:
                loop.call_later(SPREAD_S, peer.learn, delta.revision)

    def learn(self, revision) -> bool:
        if revision <= self.revision:
            return False
        for number in range(self.revision.number + 1, revision.number + 1):
            self.known_s[number] = now_s()
        self.revision = revision
        return True

    def record_outage(self):
        """Do nothing: only the reading is tested."""

    def record_outage_end(self):
        """Do nothing: only the reading is tested."""

    def record_following(self, following):
        self.following = following

    def update_role(self):
        peers = {peer.ip: peer.following for peer in self._zone if peer is not self}
        self.role.update_role(peers, now_s() * 1000)


async def run_zone(count: int, store: Store, *, cut_s=float("inf"), until_s: float):
    """Run the sidecars of one zone until a time, and return them."""
    zone: list[Sidecar] = []
    for number in range(count):
        client = StoreClient(store=store, cut_s=cut_s)
        ip = f"10.0.0.{number:02}"
        zone.append(Sidecar(zone=zone, ip=ip, client=client, seed=number))
    tasks = [asyncio.create_task(sidecar.reader.run()) for sidecar in zone]
    while now_s() < until_s:
        for sidecar in zone:
            sidecar.update_role()
        await asyncio.sleep(ROLE_INTERVAL_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return zone


def assert_changes_in_force(zone: list[Sidecar], store: Store) -> None:
    for sidecar, (index, at_s) in itertools.product(zone, enumerate(store.changes_s)):
        known_s = sidecar.known_s.get(index + 2, float("inf"))
        assert known_s <= at_s + APPLY_S, (sidecar.ip, at_s, known_s)


def now_s() -> float:
    return asyncio.get_running_loop().time()


@pytest.mark.parametrize("sidecars", SIDECARS)
@pytest.mark.parametrize("lasts_s", [0.6, 2.1, 3.3, 7.0])
@pytest.mark.parametrize("start_s", STARTS_S)
async def test_call_in_the_last_moments_of_a_silent_outage_delays_no_change(
    sidecars, lasts_s, start_s
):
    """Guards against a zone that waits for an answer that was lost in the outage, or
    pauses after it, while changes are made.
    """
    end_s = start_s + lasts_s
    changes_s = [end_s + STABLE_S + after_s for after_s in (0.01, 1.0, 2.3)]
    store = Store(changes_s=changes_s, silent_s=[(start_s, end_s)])
    zone = await run_zone(sidecars, store, until_s=changes_s[-1] + APPLY_S + 0.5)
    assert_changes_in_force(zone, store)


@pytest.mark.parametrize("sidecars", SIDECARS)
@pytest.mark.parametrize("cut_s", STARTS_S)
async def test_connections_that_go_silent_for_good_delay_no_change(sidecars, cut_s):
    """Guards against a watch on a connection that nobody answers any more."""
    changes_s = [cut_s + STABLE_S + after_s for after_s in (0.01, 1.0, 2.3)]
    store = Store(changes_s=changes_s)
    until_s = changes_s[-1] + APPLY_S + 0.5
    zone = await run_zone(sidecars, store, cut_s=cut_s, until_s=until_s)
    assert_changes_in_force(zone, store)


@pytest.mark.parametrize("sidecars", [5, 24])
@pytest.mark.parametrize("cut_s", [4.0 + 0.37 * step for step in range(8)])
async def test_follower_that_is_cut_from_the_store_delays_no_change(sidecars, cut_s):
    """Guards against a zone that waits for its follower's watch while changes are made,
    though the other sidecars of the zone can reach the store.
    """
    changes_s = [cut_s + after_s for after_s in (0.01, 0.4, 1.2)]
    store = Store(changes_s=changes_s)
    until_s = changes_s[-1] + APPLY_S + 0.5
    zone = await run_zone(sidecars, store, cut_s=cut_s, until_s=until_s)
    assert_changes_in_force(zone, store)
