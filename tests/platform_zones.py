"""Zones of sidecars that follow a stand-in of the platform's store, without sockets."""

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

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
    HistoryGoneError,
    PlatformReader,
    PlatformUnavailableError,
)
from sassafraswinch_sidecar.replica import Delta
from sassafraswinch_sidecar.revisions import UNKNOWN, Revision
from sassafraswinch_sidecar.zone_follower import ZoneFollower
from sassafraswinch_sidecar.zone_role import ZoneRole

APPLY_S = 2.0
"""Time after its acknowledgement at which a change must be in force."""

ANSWER_S = 0.004
ANNOUNCE_S = MIN_ROUND_PAUSE_S + 0.01
"""Time in which what one sidecar announces reaches the others of its zone."""

OTHER_ZONES_S = 3 * ANNOUNCE_S
"""The same for other zones: it passes the aggregators of both."""

SLOW_FACTOR = 60.0
LOST_SHARE = 0.35


Interval = tuple[float, float]
"""Start and end of a disturbance."""

NEVER_S = float("inf")


@dataclass(frozen=True, kw_only=True)
class Store:
    """The platform's store: times of its changes and of its disturbances.

    Attributes:
        changes_s: times at which changes are acknowledged.
        silent_s: no call is answered.
        refusing_s: each call is answered at once with an error.
        deaf_s: watches aren't answered, and reads are. At the end the history is
            dropped, so that watches from an earlier revision fail.
        slow_s: answers take ``SLOW_FACTOR`` times as long.
        losing_s: ``LOST_SHARE`` of the answers is lost.
    """

    changes_s: Sequence[float]
    silent_s: Sequence[Interval] = ()
    refusing_s: Sequence[Interval] = ()
    deaf_s: Sequence[Interval] = ()
    slow_s: Sequence[Interval] = ()
    losing_s: Sequence[Interval] = ()

    def revision_at(self, at_s: float) -> Revision:
        return Revision(0, 1 + sum(change_s <= at_s for change_s in self.changes_s))

    def next_change_s(self, number: int) -> float:
        """Return the time of the change after a revision number."""
        later = self.changes_s[number - 1 :]
        return later[0] if later else NEVER_S

    def keeps_history(self, number: int, at_s: float) -> bool:
        """Return whether the changes after a revision number are still known."""
        dropped_s = max((end for _, end in self.deaf_s if end <= at_s), default=0.0)
        return number >= self.revision_at(dropped_s).number

    def answer_s(self, at_s: float) -> float:
        """Return the time that an answer takes."""
        return ANSWER_S * (SLOW_FACTOR if overlaps(self.slow_s, at_s, at_s) else 1)


def overlaps(intervals: Sequence[Interval], start_s: float, end_s: float) -> bool:
    """Return whether any of the intervals has begun and not ended in a time."""
    return any(start_s < until_s and end_s >= from_s for from_s, until_s in intervals)


class StoreClient:
    """One sidecar's connection to the store (PlatformStore).

    Args:
        store: the store.
        cut_s: time at which the connection that is open then goes silent for good.
        rng: draws the answers that are lost.

    Attributes:
        is_cut: whether no call of this sidecar is answered any more.
        calls_s: times at which calls began.
    """

    era = 0

    def __init__(self, *, store: Store, rng: random.Random, cut_s: float = NEVER_S):
        self.is_cut = False
        self.calls_s: list[float] = []
        self._store = store
        self._rng = rng
        self._cut_s = cut_s
        self._opened_s = self._used_s = now_s()

    async def read(self):
        await self._call(0.0, CALL_TIMEOUT_S, self._store.silent_s)
        return Delta(
            revision=self._store.revision_at(now_s()), is_full=True, entries=()
        )

    async def watch(self, after, wait_ms):
        wait_s = wait_ms / 1000
        until_s = self._store.next_change_s(after.number) - now_s()
        unanswered_s = (*self._store.silent_s, *self._store.deaf_s)
        if not self._store.keeps_history(after.number, now_s()):
            await self._call(0.0, WATCH_RESPONSE_TIMEOUT_S, unanswered_s)
            raise HistoryGoneError
        until_s = min(max(until_s, 0.0), wait_s)
        await self._call(until_s, wait_s + WATCH_RESPONSE_TIMEOUT_S, unanswered_s)
        return Delta(
            revision=self._store.revision_at(now_s()), is_full=False, entries=()
        )

    async def _call(
        self, wait_s: float, timeout_s: float, unanswered_s: Sequence[Interval]
    ) -> None:
        """Wait for the answer, or until the call fails."""
        if (now_s() - self._used_s) * 1000 >= MAX_IDLE_MS:
            self._opened_s = now_s()
        start_s = now_s()
        answer_s = wait_s + self._store.answer_s(start_s + wait_s)
        end_s = start_s + answer_s
        self.calls_s.append(start_s)
        is_lost = overlaps(unanswered_s, start_s, end_s) or (
            overlaps(self._store.losing_s, end_s, end_s)
            and self._rng.random() < LOST_SHARE
        )
        is_dead = self._opened_s <= self._cut_s < end_s
        if overlaps(self._store.refusing_s, start_s, start_s):
            await asyncio.sleep(ANSWER_S)
            raise PlatformUnavailableError(reason="refused")
        is_unanswered = is_lost or is_dead or self.is_cut or answer_s > timeout_s
        try:
            await asyncio.sleep(timeout_s if is_unanswered else answer_s)
        except asyncio.CancelledError:
            self._opened_s = now_s()
            raise
        finally:
            self._used_s = now_s()
        if is_unanswered:
            self._opened_s = now_s()
            raise PlatformUnavailableError(reason="no answer", timed_out=True)


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
        self._states = 0
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
        self._state_by_peer: dict[str, tuple[int, bool]] = {}
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
        self._states += 1
        loop = asyncio.get_running_loop()
        for peer in self._zones[self._number]:
            if peer is not self:
                state = (self._states, following)
                loop.call_later(ANNOUNCE_S, peer.learn_state, self.ip, state)

    def learn_state(self, ip, state):
        """Learn whether a peer of the zone follows the platform.

        Messages of a link arrive in order; timers of the same moment may not.
        """
        self._state_by_peer[ip] = max(state, self._state_by_peer.get(ip, state))
        self._following_by_peer[ip] = self._state_by_peer[ip][1]
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
    store: Store, *, zones: int, count: int, seed: int = 0, cut_s: float = NEVER_S
) -> list[list[Sidecar]]:
    """Return the sidecars of zones of the same size."""
    found: list[list[Sidecar]] = [[] for _ in range(zones)]
    for number, zone in enumerate(found):
        zone += [
            Sidecar(
                zones=found,
                number=number,
                ip=f"10.{number}.0.{each:03}",
                client=StoreClient(
                    store=store,
                    cut_s=cut_s,
                    rng=random.Random(seed + number * count + each),
                ),
                seed=seed + number * count + each,
            )
            for each in range(count)
        ]
    return found


async def run_zone(count: int, store: Store, *, cut_s=NEVER_S, until_s: float):
    """Run the sidecars of one zone until a time, and return them."""
    (zone,) = zones = new_zones(store, zones=1, count=count, cut_s=cut_s)
    await run_zones(zones, until_s=until_s)
    return zone


def assert_changes_in_force(
    zone: list[Sidecar], store: Store, *, within_s: float = APPLY_S
) -> None:
    for sidecar, (index, at_s) in itertools.product(zone, enumerate(store.changes_s)):
        known_s = sidecar.known_s.get(index + 2, NEVER_S)
        assert known_s <= at_s + within_s, (sidecar.ip, at_s, known_s)


def now_s() -> float:
    return asyncio.get_running_loop().time()
