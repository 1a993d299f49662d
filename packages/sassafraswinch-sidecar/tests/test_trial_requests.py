"""Tests of trial requests: how many there are, and how soon they end a refusal."""

import math
import random
from dataclasses import dataclass

import pytest

from sassafraswinch.capacity_shares import Claim
from sassafraswinch_sidecar.host_reports import parse_demand, serialize_demand
from sassafraswinch_sidecar.ingress_admission import (
    INTERVAL_MS,
    LEVELS,
    NO_CAPACITY,
    Capacity,
    IngressAdmission,
    merge_claims,
)
from sassafraswinch_sidecar.trial_requests import (
    MAX_COST_AGE_MS,
    MAX_TRIAL_INTERVAL_MS,
    MIN_TRIAL_INTERVAL_MS,
    TrialRequests,
)

HISTORY = "history/archiv"
ZONES = 3
WORK_MS = {"archiv": 200.0, "prehled": 220.0}
CAPACITIES = {"archiv": Capacity(600.0, 60.0), "prehled": Capacity(300.0, 60.0)}
HOSTS = [1, 16, 560]

RECOVERY_S = 15.0
"""Time after the end of a disturbance by which requests must be served again."""


@dataclass
class Load:
    """Requests that need ``prehled`` until a release, and its loss."""

    hosts: int
    rate_per_s: float
    lost_s: float
    released_s: float = math.inf
    until_s: float = 60.0
    needing_share: float = 1.0


@dataclass
class Outcome:
    """What became of the requests of a load.

    Attributes:
        trials_s: times of the requests that were admitted while most were refused.
        served_s: times of the requests that were completed.
    """

    trials_s: list[float]
    served_s: list[float]

    def recovered_s(self, load: Load) -> float:
        """Return when half of the requests are served again."""
        seconds = range(int(load.released_s), int(load.until_s))
        counts = [sum(at <= s < at + 1 for s in self.served_s) for at in seconds]
        return next(
            at
            for at, count in zip(seconds, counts, strict=True)
            if count >= load.rate_per_s / 2
        )


def play(load: Load) -> Outcome:
    """Send a load to ingress sidecars that exchange their demand each interval."""
    rng = random.Random(3)
    sidecars = [IngressAdmission(rng=rng) for _ in range(load.hosts)]
    outcome = Outcome([], [])
    for step in range(1, round(load.until_s * 1000 / INTERVAL_MS)):
        now_ms = step * INTERVAL_MS
        now_s = now_ms / 1000
        is_lost = now_s >= load.lost_s
        for _ in range(round(load.rate_per_s * INTERVAL_MS / 1000)):
            send(rng.choice(sidecars), now_ms, rng, load, outcome)
        capacities = CAPACITIES | ({"prehled": NO_CAPACITY} if is_lost else {})
        claims = exchanged_claims(sidecars, now_ms)
        for sidecar in sidecars:
            sidecar.decide_shares(capacities, now_ms, claims)
    return outcome


def send(sidecar, now_ms, rng, load, outcome) -> None:
    """Send one request; record it if it was admitted."""
    now_s = now_ms / 1000
    sidecar.record_arrival(HISTORY, 2)
    is_limited = HISTORY in sidecar.limited_classes
    if is_limited and not sidecar.admits_trial(HISTORY):
        return
    if is_limited:
        outcome.trials_s.append(now_s)
    needs_both = now_s < load.released_s and rng.random() < load.needing_share
    if needs_both and now_s >= load.lost_s:
        sidecar.record_partial_cost(HISTORY, {"archiv": WORK_MS["archiv"]})
        return
    work_ms = WORK_MS if needs_both else {"archiv": WORK_MS["archiv"]}
    sidecar.record_completed_cost(HISTORY, work_ms, now_ms)
    outcome.served_s.append(now_s)


def exchanged_claims(sidecars, now_ms) -> list[Claim]:
    """Return the demand of the fleet, summed by zone first, as it arrives at a host."""
    zones = [sidecars[number::ZONES] for number in range(ZONES)]
    summed = [
        merge_claims(
            parse_demand(serialize_demand(each.demand(now_ms))) for each in zone
        )
        for zone in zones
    ]
    merged = merge_claims(parse_demand(serialize_demand(each)) for each in summed)
    return parse_demand(serialize_demand(merged))


@pytest.mark.parametrize("hosts", HOSTS)
@pytest.mark.parametrize("rate_per_s", [4.0, 400.0])
def test_class_whose_calls_changed_after_a_loss_is_served_again(hosts, rate_per_s):
    """Guards against a refusal that keeps its own outdated cost: a service deep in the
    call tree is lost, and a release stops calling it, which no configuration tells.
    """
    load = Load(hosts=hosts, rate_per_s=rate_per_s, lost_s=6.0, released_s=20.0)
    assert play(load).recovered_s(load) <= load.released_s + RECOVERY_S


@pytest.mark.parametrize("hosts", HOSTS)
def test_trials_during_a_loss_are_bounded_over_the_fleet(hosts):
    """Guards against trials by host: each one runs its request in part, for nothing."""
    load = Load(hosts=hosts, rate_per_s=400.0, lost_s=6.0)
    trials_s = [at for at in play(load).trials_s if at >= load.lost_s]
    lasts_ms = (load.until_s - load.lost_s) * 1000
    assert trials_s[0] >= load.lost_s + MAX_COST_AGE_MS / 1000 - INTERVAL_MS / 1000
    assert len(trials_s) <= 2 * lasts_ms / MAX_TRIAL_INTERVAL_MS + MAX_COST_AGE_MS / (
        MIN_TRIAL_INTERVAL_MS
    )


def test_requests_that_need_the_lost_service_at_times_only_are_served():
    """Guards against refusing a whole class of which a tenth needs a lost service."""
    load = Load(hosts=16, rate_per_s=100.0, lost_s=6.0, until_s=30.0, needing_share=0.1)
    served = [at for at in play(load).served_s if at >= 20.0]
    assert len(served) >= 0.5 * 10 * load.rate_per_s


def test_recent_cost_replaces_outdated_ones_of_other_sidecars():
    """Guards against one completed trial that is outweighed by hundreds of hosts."""
    outdated = [
        Claim(
            kind=HISTORY,
            priority=2,
            rate_per_s=9.0,
            costs={"prehled": 0.2},
            age_ms=MAX_COST_AGE_MS + number,
        )
        for number in range(500)
    ]
    recent = Claim(kind=HISTORY, priority=2, rate_per_s=0.5, costs={}, age_ms=40.0)
    (merged,) = merge_claims([outdated, [recent]])
    assert merged.costs == {}
    assert merged.rate_per_s == 500 * 9.0 + 0.5
    assert merged.age_ms == 40.0


def test_measured_class_without_cost_is_reported():
    """Guards against leaving out the measurement that ends a refusal."""
    recent = Claim(kind=HISTORY, priority=2, rate_per_s=0.5, costs={}, age_ms=40.0)
    never = Claim(kind="new", priority=2, rate_per_s=0.5, costs={}, age_ms=math.inf)
    assert parse_demand(serialize_demand([recent, never])) == [recent]


def test_outdated_cost_is_replaced_by_the_next_completed_request():
    admission = IngressAdmission(rng=random.Random(1))
    admission.record_arrival(HISTORY, 2)
    admission.record_completed_cost(HISTORY, WORK_MS, 0.0)
    now_ms = MAX_COST_AGE_MS
    admission.record_completed_cost(HISTORY, {"archiv": 100.0}, now_ms)
    (claim,) = admission.demand(now_ms)
    assert claim.costs == {"archiv": 0.1}


def test_recently_measured_class_gets_no_trials():
    """Guards against trials in an overload, in which few requests are admitted."""
    admission = IngressAdmission(rng=random.Random(1))
    for step in range(1, 400):
        now_ms = step * INTERVAL_MS
        for _ in range(400):
            admission.record_arrival(HISTORY, 2)
        if step % 8 == 1:
            admission.record_completed_cost(HISTORY, WORK_MS, now_ms)
        admission.decide_shares({"archiv": Capacity(1.0, 1.0)}, now_ms)
        assert not any(admission.admits_trial(HISTORY) for _ in range(400))
    assert admission.find_blocking_service(HISTORY, LEVELS - 1) is not None


def test_class_that_is_no_longer_outdated_gets_no_trials():
    trials = TrialRequests(rng=random.Random(1))
    claim = Claim(
        kind=HISTORY, priority=2, rate_per_s=1.0, costs={}, age_ms=MAX_COST_AGE_MS
    )
    trials.set_outdated([claim])
    assert any(trials.admit(HISTORY) for _ in range(5))
    trials.set_outdated([])
    assert not any(trials.admit(HISTORY) for _ in range(50))
