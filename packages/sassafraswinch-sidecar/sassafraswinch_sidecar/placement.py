"""Placement: chooses the instance of a service that a request is sent to."""

import math
import random
from collections import Counter
from collections.abc import Callable, Collection, Hashable, Iterable
from dataclasses import dataclass

from sassafraswinch_sidecar.ingress_admission import NO_CAPACITY, Capacity
from sassafraswinch_sidecar.instances import (
    NO_INCARNATION,
    Instance,
    InstanceIdentity,
)
from sassafraswinch_sidecar.relay_protocol.ttypes import HostNotice, ServerLoad
from sassafraswinch_sidecar.server_notices import StampedNotice, parse_notice
from sassafraswinch_sidecar.server_pace import start_interval_ms
from sassafraswinch_sidecar.server_queue import INITIAL_HOLD_MS

OTHER_ZONE_COST = 0.25
"""Cost of an instance in another zone, as a share of its slots. The round trip takes
3 ms, and traffic between zones is billed."""

OTHER_ZONE_COST_PER_KB = 0.05
"""Addition to ``OTHER_ZONE_COST`` for each KB of the mean answer of the route. Long
answers make up most of the traffic between zones, and callers lose nothing by a fuller
server as long as it has free slots."""

MAX_OTHER_ZONE_BYTES_COST = 0.35
"""Bound of that addition: an idle server in another zone is still preferred to a full
one in the own zone."""

OTHER_HOST_COST = 0.03
"""Cost of another host in the own zone: a link is needed to reach it."""

JITTER_COST = 0.06
"""Random part of the cost, so that sidecars with the same data don't all choose the
same instance."""

COLD_COST = 0.4
"""Cost of an instance that has just started and is slow for some seconds."""

FAILURE_COST = 1.5
"""Cost per share of recent requests that failed: an instance that fails half of its
requests is chosen after full ones."""

LATENCY_COST = 0.6
"""Cost per unit of relative latency above 1: an instance that is twice as slow as the
others is chosen when they are more than half fuller."""

LATENCY_EWMA_WEIGHT = 0.08
"""Weight of one request in an instance's relative latency: the last dozen requests."""

LATENCY_BOUNDS = (0.2, 5.0)
"""Bounds of one request's relative latency: single long requests say little."""

MIN_MEAN_GAIN = 0.02
"""Least weight of one value in the mean of its kind: the last fifty values."""

OWN_ZONE_SAMPLE = 5
OTHER_ZONES_SAMPLE = 5
"""Number of instances of the own zone and of other zones that are compared. The cost of
a choice stays constant in large services, and sidecars that received the same loads
don't all choose the same instance, since each compares others."""

FAILURE_GAIN = 0.08
"""Weight of one finished request in the failure rate: the last dozen requests."""

HALF_LIFE_MS = 3_000.0
"""Half-life of the failure rate and the relative latency of an instance, so that it is
tried again."""


LEAVING_REFUSAL_MS = 1_000.0
"""Time for which a host gets no requests after it refused one because its server is
leaving. The host is the first to know; the platform reports it to the others within a
second, and also reports if the server stays after all."""


RATE_WAIT_COST = 1.0
"""Cost of an instance whose rate limit makes a request wait for as long as it may; one
that would wait longer isn't chosen."""

PACED_WAIT_MS = 100.0
"""Wait in front of a limited server, or that of two requests where it is longer, which
isn't a backlog."""

ReportedNotice = ServerLoad | HostNotice
"""Reports that contain a notice, the wait and the mean slot time."""

NoticeListener = Callable[[StampedNotice, StampedNotice | None], None]
"""Receives a newer notice of a server and the one before it."""


@dataclass(slots=True)
class PeerLoad:
    """Last known load and health of the backend server beside a peer.

    Attributes:
        in_flight: requests that it runs.
        queued: requests that wait for it.
        limit: requests that it may run at once; None before the first report, 0 while
            it is down.
        sent_since_report: requests sent to it since the report.
        leaving: whether the peer accepts no new requests.
        refuses_until_ms: time until which the peer is assumed to refuse requests, by
            its last answer.
        reported_ms: time of the report, by the clock of this sidecar.
        following: whether the peer follows the platform's data itself.
        isolated: whether the peer's host can't reach the platform, which therefore
            doesn't list its server.
        failure_rate: share of recent requests that failed there.
        failure_rate_at_ms: time of the last update of that share.
        relative_latency: latency of recent requests, relative to the mean of all
            instances.
        relative_latency_at_ms: time of the last update of that latency.
        identity: lifetime of the server in which the failures and latencies were
            measured.
        notice: latest notice of the server that has been received.
        rate_wait_ms: time until a new request would start, by the server's rate limit,
            as reported.
        mean_hold_ms: mean time that a request holds a slot of a server with a limit.
        on_notice: called with each newer notice and the one before it.
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
    notice: StampedNotice | None = None
    rate_wait_ms: float = 0.0
    mean_hold_ms: float = INITIAL_HOLD_MS
    on_notice: NoticeListener | None = None

    def set_identity(self, identity: InstanceIdentity) -> None:
        """Set the lifetime of the server that requests go to from now on.

        Failure: a server that failed half of its requests is restarted, perhaps under
        its former id, and would be avoided for the failures of its former lifetime.
        """
        if identity == self.identity:
            return
        if self.identity is not None:
            self.failure_rate = 0.0
            self.relative_latency = 1.0
        self.identity = identity

    def apply_report(self, reported: ServerLoad, now_ms: float) -> None:
        """Apply the peer's report on its backend server."""
        self.reported_ms = now_ms
        self.in_flight = reported.in_flight
        self.queued = reported.queued
        self.limit = reported.limit
        self.sent_since_report = 0
        self.rate_wait_ms = 0.0
        if reported.notice is not None:
            self.apply_notice(reported)

    def apply_notice(self, reported: ReportedNotice) -> None:
        """Apply the notice in a report, unless a newer one is known.

        A report without a notice changes nothing: a sidecar that has just started
        doesn't know those that its server gave before.
        """
        self.rate_wait_ms = reported.rate_wait_ms
        self.mean_hold_ms = reported.mean_hold_us / 1000 or self.mean_hold_ms
        former, notice = self.notice, parse_notice(reported.notice)
        if former is None or former.stamp < notice.stamp:
            self.notice = notice
            if self.on_notice is not None:
                self.on_notice(notice, former)

    def notice_of(
        self, instance_id: str, incarnation: int = NO_INCARNATION
    ) -> StampedNotice | None:
        """Return the notice of an instance; its next lifetime has none yet."""
        notice = self.notice
        if notice is None or not notice.may_be_of(instance_id, incarnation):
            return None
        return notice

    def rate_limit_of(
        self, instance_id: str, incarnation: int = NO_INCARNATION
    ) -> float | None:
        """Return an instance's limit in requests per second; None for no limit."""
        notice = self.notice_of(instance_id, incarnation)
        return None if notice is None else notice.rate_limit_per_s

    def paced_backlog(self, limit_per_s: float) -> float:
        """Return the backlog in front of a limited server, as a share of its slots."""
        usual_ms = max(PACED_WAIT_MS, 2 * start_interval_ms(limit_per_s))
        excess_ms = self.rate_wait_ms - usual_ms
        return min(max(excess_ms / PACED_WAIT_MS, 0.0), 1.0)

    def expected_rate_wait_ms(self, limit_per_s: float, now_ms: float) -> float:
        """Return the time until one more request would start, by the rate limit."""
        sent_ms = self.sent_since_report * start_interval_ms(limit_per_s)
        return max(0.0, self.rate_wait_ms + sent_ms - (now_ms - self.reported_ms))

    def record_result(self, *, failed: bool, now_ms: float) -> None:
        """Update the failure rate with a finished request."""
        current = self.recent_failure_rate(now_ms)
        self.failure_rate = current + FAILURE_GAIN * (float(failed) - current)
        self.failure_rate_at_ms = now_ms

    def recent_failure_rate(self, now_ms: float) -> float:
        """Return the share of recent requests that failed, decaying with time."""
        if not self.failure_rate:
            return 0.0
        return self.failure_rate * _decay(now_ms - self.failure_rate_at_ms)

    def record_latency(self, relative_latency: float, now_ms: float) -> None:
        """Update the relative latency with a finished request."""
        low, high = LATENCY_BOUNDS
        current = self.recent_relative_latency(now_ms)
        self.relative_latency = current + LATENCY_EWMA_WEIGHT * (
            min(max(relative_latency, low), high) - current
        )
        self.relative_latency_at_ms = now_ms

    def recent_relative_latency(self, now_ms: float) -> float:
        """Return the relative latency, decaying to 1 with time."""
        if self.relative_latency == 1.0:
            return 1.0
        return 1.0 + (self.relative_latency - 1.0) * _decay(
            now_ms - self.relative_latency_at_ms
        )


class RunningMeans:
    """Exponential moving averages by kind of request, plain averages at first.

    Failure: an average that starts from its first value alone keeps it for dozens of
    requests. The first requests after a start are slow, so the instance measured next
    looks fast, and one that hasn't been tried yet is never preferred to it.
    """

    def __init__(self):
        self._means: dict[Hashable, float] = {}
        self._counts: Counter[Hashable] = Counter()

    def add_value(self, kind: Hashable, value: float) -> None:
        """Add one value."""
        self._counts[kind] += 1
        # Later values weigh more at first: those just after a start are slow.
        gain = max(MIN_MEAN_GAIN, 2 / (self._counts[kind] + 1))
        mean = self._means.get(kind, 0.0)
        self._means[kind] = mean + gain * (value - mean)

    def mean(self, kind: Hashable) -> float:
        """Return the mean; 0 before the first value."""
        return self._means.get(kind, 0.0)


class RelativeLatencyMeter:
    """Measures requests relative to the mean latency of their kind."""

    def __init__(self):
        self._latencies_ms = RunningMeans()

    def measure(self, kind: Hashable, latency_ms: float) -> float:
        """Add a request's latency to the mean, and return it relative to the mean."""
        self._latencies_ms.add_value(kind, latency_ms)
        mean_ms = self._latencies_ms.mean(kind)
        return latency_ms / mean_ms if mean_ms else 1.0


def _decay(age_ms: float) -> float:
    return 0.5 ** (age_ms / HALF_LIFE_MS)


class Placement:
    """Chooses the least loaded instance nearby.

    Args:
        own_ip: address of this host.
        availability_zone: zone of this host.
        load_of: returns the load of the server at an address; None if it can't be
            reached.
        cold_left_ms: returns how much longer an instance is slow after its start.
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
        max_rate_wait_ms: float = math.inf,
    ) -> Instance | None:
        """Return the instance with the least cost; None if none may be tried.

        Args:
            instances: the instances of the service.
            tried: lifetimes that the request was sent to before.
            now_ms: monotonic time.
            answer_bytes: mean length of the answers of such requests.
            max_rate_wait_ms: longest wait for an instance with a rate limit.
        """
        bytes_cost = min(
            answer_bytes / 1000 * OTHER_ZONE_COST_PER_KB, MAX_OTHER_ZONE_BYTES_COST
        )
        other_zone_cost = OTHER_ZONE_COST + bytes_cost
        candidates = list(instances)
        if tried:
            candidates = [each for each in candidates if each.identity not in tried]
        if len(candidates) > OWN_ZONE_SAMPLE + OTHER_ZONES_SAMPLE:
            candidates = self._sample(candidates)
        best, best_cost = None, float("inf")
        for instance in candidates:
            cost = self._cost(instance, now_ms, other_zone_cost, max_rate_wait_ms)
            if cost is not None and cost < best_cost:
                best, best_cost = instance, cost
        return best

    def _sample(self, candidates: list[Instance]) -> list[Instance]:
        """Sample both groups: one random sample would rarely hold the own zone."""
        own_zone = [c for c in candidates if c.availability_zone == self._zone]
        others = [c for c in candidates if c.availability_zone != self._zone]
        own_count = min(len(own_zone), OWN_ZONE_SAMPLE)
        other_count = min(len(others), OWN_ZONE_SAMPLE + OTHER_ZONES_SAMPLE - own_count)
        return [
            *self._rng.sample(own_zone, own_count),
            *self._rng.sample(others, other_count),
        ]

    def shortest_rate_wait_ms(
        self, instances: Iterable[Instance], now_ms: float
    ) -> float | None:
        """Return the shortest wait for an instance with a rate limit.

        Returns None if no instance has one.
        """
        waits_ms = []
        for instance in instances:
            load = self._load_of(instance.ip)
            limit_per_s = load.rate_limit_of(*instance.identity) if load else None
            if limit_per_s is not None:
                waits_ms.append(load.expected_rate_wait_ms(limit_per_s, now_ms))
        return min(waits_ms, default=None)

    def _cost(
        self,
        instance: Instance,
        now_ms: float,
        other_zone_cost: float,
        max_rate_wait_ms: float,
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
        rate_limit_per_s = load.rate_limit_of(*instance.identity)
        if rate_limit_per_s is not None:
            wait_ms = load.expected_rate_wait_ms(rate_limit_per_s, now_ms)
            if wait_ms > max_rate_wait_ms:
                return None
            cost += RATE_WAIT_COST * wait_ms / max(max_rate_wait_ms, 1.0)
        if load.failure_rate:
            cost += FAILURE_COST * load.recent_failure_rate(now_ms)
        cost += LATENCY_COST * (load.recent_relative_latency(now_ms) - 1.0)
        cost += JITTER_COST * self._rng.random()
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
    """Return the reachable slots of each service, and how many are in use."""
    capacities: dict[str, Capacity] = {}
    for instance in instances:
        load = load_of(instance.ip)
        if load is None or load.leaving:
            continue
        capacity = capacities.get(instance.service, NO_CAPACITY)
        slots = instance.slots if load.limit is None else load.limit
        used = load.in_flight + load.queued
        limit_per_s = load.rate_limit_of(*instance.identity)
        paced_slots = 0.0
        if limit_per_s is not None:
            # Requests start at the limit and hold a slot each for the mean time.
            slots = min(slots, load.mean_hold_ms / start_interval_ms(limit_per_s))
            used = min(load.in_flight, slots)
            used += slots * load.paced_backlog(limit_per_s)
            paced_slots = slots
        capacities[instance.service] = Capacity(
            capacity.slots + slots,
            capacity.used + used,
            capacity.paced_slots + paced_slots,
        )
    return capacities
