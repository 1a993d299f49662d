"""Simulated host: the decision parts of a sidecar and the state of its server."""

import random
from collections.abc import Callable, Sequence

from sassafraswinch.capacity_shares import Claim
from sassafraswinch.crash_suspects import CrashSuspects
from sassafraswinch_sidecar.admission_levels import AdmissionLevels
from sassafraswinch_sidecar.executor import Execution
from sassafraswinch_sidecar.ingress_admission import IngressAdmission
from sassafraswinch_sidecar.instances import Instance
from sassafraswinch_sidecar.local_notices import LocalNotices
from sassafraswinch_sidecar.outcome_recorder import OutcomeRecorder
from sassafraswinch_sidecar.placement import PeerLoad, Placement
from sassafraswinch_sidecar.relay_protocol.ttypes import ServerLoad
from sassafraswinch_sidecar.relay_retry_policy import RelayRetryPolicy
from sassafraswinch_sidecar.retry_budget import FleetTotals, RetryBudget
from sassafraswinch_sidecar.server_notices import serialize_notice
from sassafraswinch_sidecar.server_queue import USABLE_SLOT_SHARE, ServerQueue
from sassafraswinch_sidecar.suspect_gate import SuspectGate
from sassafraswinch_sidecar.suspect_requests import SuspectRequests
from sassafraswinch_standins.simulator_clock import Clock

REPEAT_RATIO, REPEAT_SLACK, REPEAT_WINDOW_MS = 0.2, 50.0, 10_000.0

Done = Callable[[int], None]
"""Callback that receives the final status of a request."""


class Host:
    """Decision parts of a sidecar, and the state of the backend server beside it.

    Args:
        instance: instance of the backend server.
        number: number of the server within its service, from 0.
        speed: work time of the server as a multiple of the mean.
        ips: addresses of all hosts.
        worths: worth by priority that ingress sidecars admit by.
        clock: simulated time.
        rng: source of random choices.

    Attributes:
        up: whether the backend server runs.
        executions: requests that are queued or running at the server.
        notices: latest notice of the server.
        starts_ms: times at which requests started at the server.
        last_reported: last change of this host's suspects that each zone has received.
        totals: totals of retry counts as last received.
        demand: demand of all ingress sidecars as last received.
    """

    def __init__(
        self,
        *,
        instance: Instance,
        number: int,
        speed: float,
        ips: Sequence[str],
        worths: Sequence[float],
        clock: Clock,
        rng: random.Random,
    ):
        def now_ms() -> float:
            return clock.now_ms

        self._now_ms = now_ms
        self.instance = instance
        self.number = number
        self.speed = speed
        self.up = True
        self.executions: set[Execution] = set()
        self.notices = LocalNotices(
            now_ms=now_ms, stamp_us=lambda: int(now_ms() * 1000)
        )
        self.starts_ms: list[float] = []
        self.suspects = CrashSuspects()
        self.suspect_requests = SuspectRequests(
            suspects=self.suspects, now_ms=now_ms, on_change=lambda: None
        )
        self.gate = SuspectGate(
            suspects=self.suspect_requests,
            running=lambda: (each.request for each in self.executions),
        )
        self.last_reported: dict[str, int] = {}
        self.queue = ServerQueue(limit=int(instance.slots * USABLE_SLOT_SHARE))
        self.loads = {ip: PeerLoad() for ip in ips}
        self.admission = IngressAdmission(rng=rng, worths=worths)
        self.levels = AdmissionLevels(rng=rng)
        self.totals: FleetTotals = ({}, 0)
        self.demand: list[Claim] = []
        self.budget = RetryBudget(
            ratio=REPEAT_RATIO,
            slack=REPEAT_SLACK,
            window_ms=REPEAT_WINDOW_MS,
            max_sidecars=lambda: len(ips),
            sidecars=lambda: len(ips),
            totals=lambda now_ms: self.totals,
        )
        self.repeats = RelayRetryPolicy(budget=self.budget, now_ms=now_ms)
        self.outcomes = OutcomeRecorder(admission=self.admission, now_ms=now_ms)
        self.placement = Placement(
            own_ip=instance.ip,
            availability_zone=instance.availability_zone,
            load_of=self.loads.get,
            cold_left_ms=lambda candidate, at_ms: 0.0,
            rng=rng,
        )

    def load(self) -> ServerLoad:
        """Return the server load that is reported to other hosts."""
        queue = self.queue
        load = ServerLoad(queue.running, queue.queued, queue.limit if self.up else 0)
        load.notice = serialize_notice(self.notices.latest())
        if queue.pace.limit_per_s is not None:
            wait_ms = queue.pace.wait_ms(queue.queued + 1, self._now_ms())
            load.rate_wait_ms = int(wait_ms)
            load.mean_hold_us = int(queue.mean_hold_ms * 1000)
        return load
