"""Which instance of a service a request is sent to."""

import math
import random
from collections import Counter
from collections.abc import Callable, Collection, Hashable, Iterable
from dataclasses import dataclass

from sassafraswinch_sidecar.ingress_admission import NO_CAPACITY, Capacity
from sassafraswinch_sidecar.instances import Instance, InstanceIdentity
from sassafraswinch_sidecar.relay_protocol.ttypes import ServerLoad

OTHER_ZONE_COST = 0.25
"""Share of the slots by which an instance in another zone must be emptier. The way
there and back takes 3 ms, and bytes between zones are paid for."""

ZONE_COST_PER_KB = 0.05
"""Added to it for each KB of the answers that a route's requests get: long answers are
what bytes between zones are made of, and callers lose nothing by a fuller server as
long as it has slots."""

MAX_BYTES_COST = 0.35
"""Bound of that: a full server in the zone still gives way to an empty one outside."""

OTHER_HOST_COST = 0.03
"""The same for another host in the zone: a link instead of none."""

JITTER = 0.06
"""Random part of the cost: sidecars that know the same don't all choose the same."""

COLD_COST = 0.4
"""Added for an instance that has just started and is slow for some seconds."""

FAILING_COST = 1.5
"""Added for each part of the recent requests that failed: an instance that fails
half of them comes after full ones."""

PACE_COST = 0.6
"""Added for each time over the mean that an instance takes: one that is twice as slow
as the others gets its requests when they are more than half fuller."""

PACE_GAIN = 0.08
"""Weight of one request in an instance's pace: the last dozen."""

PACE_BOUNDS = (0.2, 5.0)
"""Bounds of one request's pace: single long requests say little."""

MEAN_GAIN = 0.02
"""Weight of one request in the mean of its kind: the last fifty."""

SAMPLE_NEAR = 5
SAMPLE_FAR = 5
"""Instances of the own zone and of others that are compared. The cost of a choice stays
flat in large services, and sidecars that were told the same don't all choose the same:
each compares others."""

FAILURE_GAIN = 0.08
"""Weight of one end of a request in the failing share: the last dozen."""

HALF_LIFE_MS = 3_000.0
"""Time in which what was learnt of an instance halves, so that it is tried again."""


LEAVING_REFUSAL_MS = 1_000.0
"""Time in which a host isn't asked again after it refused a request since its server
leaves. It hears of that first; the platform tells the others within a second, and
also if the server stays after all."""


@dataclass(slots=True)
class PeerLoad:
    """What is known of the backend server beside a peer.

    Attributes:
        in_flight: requests that it runs.
        queued: requests that wait for it.
        limit: requests that are let onto it at once; None before the first report,
            0 while it is down.
        sent_since_report: requests sent to it since the report.
        leaving: whether the peer takes no new requests.
        refuses_until_ms: until when requests would be refused, by its last word.
        reported_ms: when it was told, by the clock of this sidecar.
        following: whether the peer follows the platform.
        isolated: whether the peer's host can't reach the platform, which therefore
            doesn't list its server.
        failure_rate: share of recent requests that failed there.
        relative_latency: time that recent requests took, as share of the mean of all instances.
        identity: lifetime of the server that the last two were learnt of.
    """

    in_flight: int = 0
    queued: int = 0
    limit: int | None = None
    sent_since_report: int = 0
    leaving: bool = False
    refuses_until_ms: float = 0.0
    reported_ms: float = -math.inf
    following: bool = False
    isolated: bool = False
    failure_rate: float = 0.0
    failure_rate_at_ms: float = 0.0
    relative_latency: float = 1.0
    relative_latency_at_ms: float = 0.0
    identity: InstanceIdentity | None = None

    def set_identity(self, identity: InstanceIdentity) -> None:
        """Note which lifetime of the server requests go to from now on.

        Failure: a server that failed half of its requests is started anew, perhaps
        under the id that it had, and is avoided for what the former one did.
        """
        if identity == self.identity:
            return
        if self.identity is not None:
            self.failure_rate = 0.0
            self.relative_latency = 1.0
        self.identity = identity

    def apply_report(self, told: ServerLoad, now_ms: float) -> None:
        """Take in what the peer says of its backend server."""
        self.reported_ms = now_ms
        self.in_flight = told.in_flight
        self.queued = told.queued
        self.limit = told.limit
        self.sent_since_report = 0

    def record_result(self, *, failed: bool, now_ms: float) -> None:
        """Count the end of a request."""
        known = self.recent_failure_rate(now_ms)
        self.failure_rate = known + FAILURE_GAIN * (float(failed) - known)
        self.failure_rate_at_ms = now_ms

    def recent_failure_rate(self, now_ms: float) -> float:
        """Return the share of recent requests that failed, fading with time."""
        if not self.failure_rate:
            return 0.0
        return self.failure_rate * _faded(now_ms - self.failure_rate_at_ms)

    def record_latency(self, pace: float, now_ms: float) -> None:
        """Count the time of a request, as share of the mean for its route."""
        low, high = PACE_BOUNDS
        known = self.recent_relative_latency(now_ms)
        self.relative_latency = known + PACE_GAIN * (min(max(pace, low), high) - known)
        self.relative_latency_at_ms = now_ms

    def recent_relative_latency(self, now_ms: float) -> float:
        """Return the pace, fading to that of the others with time."""
        if self.relative_latency == 1.0:
            return 1.0
        return 1.0 + (self.relative_latency - 1.0) * _faded(
            now_ms - self.relative_latency_at_ms
        )


class RunningMeans:
    """Means by kind of request, of the last dozens of values or of all at first.

    Failure: a mean that starts from its first value alone keeps it for dozens of
    requests. The first ones after a start are slow, so whoever is measured next looks
    fast, and an instance that hasn't been tried yet is never preferred to it.
    """

    def __init__(self):
        self._means: dict[Hashable, float] = {}
        self._counts: Counter[Hashable] = Counter()

    def add_value(self, kind: Hashable, value: float) -> None:
        """Take in one value."""
        self._counts[kind] += 1
        # The later of the first values weigh more: those after a start are slow.
        gain = max(MEAN_GAIN, 2 / (self._counts[kind] + 1))
        mean = self._means.get(kind, 0.0)
        self._means[kind] = mean + gain * (value - mean)

    def mean(self, kind: Hashable) -> float:
        """Return the mean; 0 before the first value."""
        return self._means.get(kind, 0.0)


class RelativeLatencyMeter:
    """Mean times by kind of request, against which each request is measured."""

    def __init__(self):
        self._times_ms = RunningMeans()

    def measure(self, kind: Hashable, time_ms: float) -> float:
        """Return a request's time as share of the mean, and count it."""
        self._times_ms.count(kind, time_ms)
        mean_ms = self._times_ms.mean(kind)
        return time_ms / mean_ms if mean_ms else 1.0


def _faded(age_ms: float) -> float:
    return 0.5 ** (age_ms / HALF_LIFE_MS)


class Placement:
    """Chooses the emptiest near instance.

    Args:
        own_ip: address of this host.
        availability_zone: where this host is.
        load_of: returns what is known of the server at an address; None if it
            can't be reached.
        cold_left_ms: returns how much longer an instance is slow.
        rng: source of the jitter.
    """

    def __init__(
        self,
        *,
        own_ip: str,
        availability_zone: str,
        load_of: Callable[[str], PeerLoad | None],
        cold_left_ms: Callable[[Instance, float], float],
        rng: random.Random,
    ):
        self._own_ip = own_ip
        self._zone = availability_zone
        self._load_of = load_of
        self._cold_left_ms = cold_left_ms
        self._rng = rng

    def choose_instance(
        self,
        instances: Iterable[Instance],
        tried: Collection[InstanceIdentity],
        now_ms: float,
        answer_bytes: float = 0.0,
    ) -> Instance | None:
        """Return the instance with the least cost; None if none may be tried.

        Args:
            instances: the instances of the service.
            tried: lifetimes that were asked before.
            now_ms: monotonic time.
            answer_bytes: mean length of the answers of such requests.
        """
        bytes_cost = min(answer_bytes / 1000 * ZONE_COST_PER_KB, MAX_BYTES_COST)
        other_zone_cost = OTHER_ZONE_COST + bytes_cost
        candidates = list(instances)
        if tried:
            candidates = [each for each in candidates if each.identity not in tried]
        if len(candidates) > SAMPLE_NEAR + SAMPLE_FAR:
            candidates = self._sample(candidates)
        best, best_cost = None, float("inf")
        for instance in candidates:
            cost = self._cost(instance, now_ms, other_zone_cost)
            if cost is not None and cost < best_cost:
                best, best_cost = instance, cost
        return best

    def _sample(self, candidates: list[Instance]) -> list[Instance]:
        """Return some of each sort: by chance alone hardly any is of the own zone."""
        near = [c for c in candidates if c.availability_zone == self._zone]
        far = [c for c in candidates if c.availability_zone != self._zone]
        near_count = min(len(near), SAMPLE_NEAR)
        far_count = min(len(far), SAMPLE_NEAR + SAMPLE_FAR - near_count)
        return [
            *self._rng.sample(near, near_count),
            *self._rng.sample(far, far_count),
        ]

    def _cost(
        self, instance: Instance, now_ms: float, other_zone_cost: float
    ) -> float | None:
        load = self._load_of(instance.ip)
        if load is None or load.leaving or load.limit == 0:
            return None
        if now_ms < load.refuses_until_ms:
            return None
        if load.identity != instance.identity:
            load.set_identity(instance.identity)
        limit = load.limit or max(instance.slots, 1)
        cost = (load.in_flight + load.queued + load.sent_since_report) / limit
        if load.failure_rate:
            cost += FAILING_COST * load.recent_failure_rate(now_ms)
        cost += PACE_COST * (load.recent_relative_latency(now_ms) - 1.0)
        cost += JITTER * self._rng.random()
        if instance.cold_ms and self._cold_left_ms(instance, now_ms):
            cost += COLD_COST
        if instance.availability_zone != self._zone:
            cost += other_zone_cost
        elif instance.ip != self._own_ip:
            cost += OTHER_HOST_COST
        return cost


def capacities_of(
    instances: Iterable[Instance], load_of: Callable[[str], PeerLoad | None]
) -> dict[str, Capacity]:
    """Return the slots that can be reached, by service, and how many are in use."""
    capacities: dict[str, Capacity] = {}
    for instance in instances:
        load = load_of(instance.ip)
        if load is None or load.leaving:
            continue
        known = capacities.get(instance.service, NO_CAPACITY)
        limit = instance.slots if load.limit is None else load.limit
        capacities[instance.service] = Capacity(
            known.slots + limit, known.used + load.in_flight + load.queued
        )
    return capacities
