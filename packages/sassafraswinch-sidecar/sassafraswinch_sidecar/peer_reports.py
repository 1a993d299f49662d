"""What a sidecar tells its peers in heartbeats, and takes in from theirs."""

from collections.abc import Callable

from sassafraswinch.fitting_shares import Claim
from sassafraswinch_sidecar.entry_admission import EntryAdmission
from sassafraswinch_sidecar.executor import Executor
from sassafraswinch_sidecar.platform_data import PlatformData
from sassafraswinch_sidecar.relay_protocol.ttypes import (
    Heartbeat,
    HeartbeatReply,
    RouteDemand,
    SentCount,
)
from sassafraswinch_sidecar.repeat_budget import Counted, RepeatBudget


class PeerReports:
    """Demand and repeats of this entry, load of this backend server, and revisions.

    Args:
        data: what is known of the platform.
        executor: runs requests at the backend server.
        admission: knows what all entries' arrivals need.
        budget: knows how much all sidecars repeat.
        is_stopping: whether this sidecar takes no new work.
        is_isolated: whether this host can't reach the platform, which therefore
            doesn't list the server.
        now_ms: monotonic clock.
    """

    def __init__(
        self,
        *,
        data: PlatformData,
        executor: Executor,
        admission: EntryAdmission,
        budget: RepeatBudget,
        is_stopping: Callable[[], bool],
        is_isolated: Callable[[], bool],
        now_ms: Callable[[], float],
    ):
        self._data = data
        self._executor = executor
        self._admission = admission
        self._budget = budget
        self._is_stopping = is_stopping
        self._is_isolated = is_isolated
        self._now_ms = now_ms
        self._sequence = 0

    def heartbeat(self) -> Heartbeat:
        """Return the next heartbeat, the same for all peers."""
        self._sequence += 1
        counted = self._budget.counted(self._now_ms())
        return Heartbeat(
            sequence=self._sequence,
            revision=self._data.revision,
            demand=[serialize_claim(claim) for claim in self._admission.demand()],
            counts=[
                SentCount(service, [], count.requests, count.repeats)
                for service, count in counted.items()
            ],
        )

    def reply(self, sequence: int) -> HeartbeatReply:
        """Return the reply to a heartbeat; 0 where it answers none, as an announcement.

        Args:
            sequence: number of the heartbeat.
        """
        return HeartbeatReply(
            sequence=sequence,
            revision=self._data.revision,
            load=self._executor.load(),
            leaving=self._is_stopping(),
            following=self._data.following,
            isolated=self._is_isolated(),
        )

    def heard(self, peer_ip: str, heartbeat: Heartbeat) -> None:
        """Take in a peer's demand and repeats."""
        now_ms = self._now_ms()
        demand = [parse_claim(told) for told in heartbeat.demand or ()]
        self._admission.heard(peer_ip, demand, now_ms)
        counts = {
            told.service_name: Counted(told.sent, told.repeated)
            for told in heartbeat.counts
        }
        self._budget.heard(peer_ip, counts, now_ms)


def serialize_claim(claim: Claim) -> RouteDemand:
    """Write what one route's requests need."""
    slot_us = {service: round(slot_s * 1e6) for service, slot_s in claim.needs.items()}
    return RouteDemand(claim.kind, claim.priority, claim.rate_per_s, slot_us)


def parse_claim(told: RouteDemand) -> Claim:
    """Read what one route's requests need."""
    return Claim(
        kind=told.route_name,
        priority=told.priority,
        rate_per_s=told.rate_per_s,
        needs={service: slot_us / 1e6 for service, slot_us in told.slot_us.items()},
    )
