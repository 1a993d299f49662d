"""Tests of zones whose store, or connections to it, go silent, on a paused clock."""

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

import pytest

from sassafraswinch_platform.store import (
    CALL_TIMEOUT_S,
    MAX_IDLE_MS,
    WATCH_RESPONSE_TIMEOUT_S,
)
from sassafraswinch_sidecar.fleet_exchange import MIN_ROUND_PAUSE_S
from sassafraswinch_sidecar.ingress_admission import INTERVAL_MS
from sassafraswinch_sidecar.platform_reader import (
    WATCHER_TAKEOVER_STEP_MS,
    WATCHERS_PER_ZONE,
    PlatformReader,
    PlatformUnavailableError,
)
from sassafraswinch_sidecar.replica import Delta
from sassafraswinch_sidecar.revisions import UNKNOWN, Revision
from sassafraswinch_sidecar.zone_follower import ZoneFollower
from sassafraswinch_sidecar.zone_role import ZoneRole

pytestmark = pytest.mark.looptime

STABLE_S = 3.0
"""Time after a disturbance from which changes must be in force in time."""

APPLY_S = 2.0
"""Time after its acknowledgement at which a change must be in force."""

ANSWER_S = 0.004
ANNOUNCE_S = MIN_ROUND_PAUSE_S + 0.01
"""Time in which what one sidecar announces reaches the others of its zone."""

OTHER_ZONES_S = 3 * ANNOUNCE_S
"""The same for other zones: it passes the aggregators of both."""

AIM_S = 1.5
"""Part of ``APPLY_S`` that is planned; the rest is for a loaded machine."""

SIDECARS = [1, 5, 24]
STARTS_S = [0.3 + 0.61 * step for step in range(12)]
"""Times after the start of the sidecars at which the store or connections go silent.
Within the first seconds every sidecar has just used its connection."""


FORMER_S = 5.0
PAUSES_S = [0.0, 0.02, 0.13, 0.29, 0.41, 0.66, 0.97, 1.4]
"""Time of a change, and times from it until followers are cut: in the pause after it,
at the start, in the middle and at the end of a watch."""

LARGE_ZONES = [(3, 26, 0.02), (3, 26, 0.66), (3, 100, 0.02)]
"""Numbers of zones and of sidecars in each, and one of the pauses."""


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

    Attributes:
        is_cut: whether no call of this sidecar is answered any more.
    """

    era = 0

    def __init__(self, *, store: Store, cut_s: float = float("inf")):
        self.is_cut = False
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
        await asyncio.sleep(answer_s)
        if not is_lost and not is_dead and not self.is_cut:
            self._used_s = now_s()
            return
        await asyncio.sleep(timeout_s - answer_s)
        self._opened_s = self._used_s = now_s()
        raise PlatformUnavailableError(reason="no answer")


class Sidecar:
    """Reader and role of one sidecar (PlatformListener).

    Args:
        zones: the sidecars of all zones.
        number: zone of this sidecar.

    Attributes:
        known_s: time at which each revision number became known.
    """

    def __init__(
        self,
        *,
        zones: list[list["Sidecar"]],
        number: int,
        ip: str,
        client: StoreClient,
        seed: int,
    ):
        self.ip = ip
        self.client = client
        self.revision = UNKNOWN
        self.known_s: dict[int, float] = {}
        self.following = False
        self.role = ZoneRole(
            own_ip=ip,
            active_sidecars=WATCHERS_PER_ZONE,
            step_ms=WATCHER_TAKEOVER_STEP_MS,
        )
        rng = random.Random(seed)
        self.reader = PlatformReader(
            store=client, listener=self, role=self.role, rng=rng
        )
        self._following_by_peer: dict[str, bool] = {}
        self._is_update_due = False
        self.follower = ZoneFollower(
            role=self.role,
            following_by_peer=lambda: self._following_by_peer,
            on_active=self.reader.wake,
        )
        self.role_phase_s = rng.uniform(0, INTERVAL_MS / 1000)
        self._zones = zones
        self._number = number

    def apply_delta(self, delta, source):
        if not self.learn(delta.revision):
            return
        loop = asyncio.get_running_loop()
        for number, zone in enumerate(self._zones):
            delay_s = ANNOUNCE_S if number == self._number else OTHER_ZONES_S
            for peer in zone:
                loop.call_later(delay_s, peer.learn, delta.revision)

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
        loop = asyncio.get_running_loop()
        for peer in self._zones[self._number]:
            if peer is not self:
                loop.call_later(ANNOUNCE_S, peer.learn_state, self.ip, following)

    def learn_state(self, ip, following):
        """Learn whether a peer of the zone follows the platform."""
        self._following_by_peer[ip] = following
        if not self._is_update_due:
            self._is_update_due = True
            asyncio.get_running_loop().call_soon(self._update_role)

    def _update_role(self):
        self._is_update_due = False
        self.follower.update()

    async def update_role(self):
        """Update the role at intervals, as a sidecar does beside its peers' news."""
        for peer in self._zones[self._number]:
            if peer is not self:
                self._following_by_peer.setdefault(peer.ip, False)
        await asyncio.sleep(self.role_phase_s)
        while True:
            self.follower.update()
            await asyncio.sleep(INTERVAL_MS / 1000)


Disturbance = Callable[[list[list[Sidecar]]], Awaitable[None]]
"""Disturbs the sidecars of all zones while they run."""


async def run_zones(
    zones: list[list[Sidecar]], *, until_s: float, disturb: Disturbance | None = None
) -> None:
    """Run the sidecars of all zones until a time, with a disturbance."""
    sidecars = list(itertools.chain.from_iterable(zones))
    tasks = [
        asyncio.create_task(run())
        for sidecar in sidecars
        for run in (sidecar.reader.run, sidecar.update_role)
    ]
    if disturb is not None:
        await disturb(zones)
    await asyncio.sleep(until_s - now_s())
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for sidecar in sidecars:
        sidecar.follower.close()


def new_zones(
    store: Store, *, zones: int, count: int, seed: int = 0, cut_s: float = float("inf")
) -> list[list[Sidecar]]:
    """Return the sidecars of zones of the same size."""
    found: list[list[Sidecar]] = [[] for _ in range(zones)]
    for number, zone in enumerate(found):
        zone += [
            Sidecar(
                zones=found,
                number=number,
                ip=f"10.{number}.0.{each:03}",
                client=StoreClient(store=store, cut_s=cut_s),
                seed=seed + number * count + each,
            )
            for each in range(count)
        ]
    return found


async def run_zone(count: int, store: Store, *, cut_s=float("inf"), until_s: float):
    """Run the sidecars of one zone until a time, and return them."""
    (zone,) = zones = new_zones(store, zones=1, count=count, cut_s=cut_s)
    await run_zones(zones, until_s=until_s)
    return zone


def assert_changes_in_force(
    zone: list[Sidecar], store: Store, *, within_s: float = APPLY_S
) -> None:
    for sidecar, (index, at_s) in itertools.product(zone, enumerate(store.changes_s)):
        known_s = sidecar.known_s.get(index + 2, float("inf"))
        assert known_s <= at_s + within_s, (sidecar.ip, at_s, known_s)


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


@pytest.mark.parametrize("cut_per_zone", [1, 2, None], ids=["one", "two", "nearly-all"])
@pytest.mark.parametrize(
    "zones, count, pause_s",
    [*itertools.product([2], [5], PAUSES_S), *LARGE_ZONES],
)
async def test_followers_of_all_zones_cut_after_a_change_delay_no_change(
    zones, count, cut_per_zone, pause_s
):
    """Guards against zones that all wait for a follower that is cut off, whatever it
    did at that moment: a watch, or the pause after a change.
    """
    cut_s = FORMER_S + pause_s
    store = Store(changes_s=[FORMER_S, cut_s + 0.001, cut_s + 0.7])
    fleet = new_zones(store, zones=zones, count=count, seed=round(pause_s * 1000))

    async def cut_followers(fleet):
        await asyncio.sleep(cut_s - now_s())
        for zone in fleet:
            number = cut_per_zone or len(zone) - 1
            for sidecar in sorted(zone, key=follows_first)[:number]:
                sidecar.client.is_cut = True

    until_s = store.changes_s[-1] + APPLY_S + 0.5
    await run_zones(fleet, until_s=until_s, disturb=cut_followers)
    for zone in fleet:
        assert_changes_in_force(zone, store, within_s=AIM_S)


def follows_first(sidecar: Sidecar) -> tuple[bool, str]:
    """Return a sort key: the followers first, then by address."""
    return not sidecar.following, sidecar.ip
