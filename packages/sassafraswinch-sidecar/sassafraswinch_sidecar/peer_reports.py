"""What a sidecar tells its peers in heartbeats, and takes in from theirs."""

from collections.abc import Callable

from sassafraswinch_sidecar.entry_admission import EntryAdmission
from sassafraswinch_sidecar.executor import Executor
from sassafraswinch_sidecar.platform_data import PlatformData
from sassafraswinch_sidecar.relay_protocol.ttypes import (
    Heartbeat,
    HeartbeatReply,
    ServiceDemand,
)
from sassafraswinch_sidecar.repeat_budget import Counted, RepeatBudget

NOTHING_COUNTED = Counted(0, 0)


class PeerReports:
    """Demand and repeats of this entry, load of this backend server, and revisions.

    Args:
        data: what is known of the platform.
        executor: runs requests at the backend server.
        admission: knows what all entries' arrivals need.
        budget: knows how much all sidecars repeat.
        is_stopping: whether this sidecar takes no new work.
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
        now_ms: Callable[[], float],
    ):
        self._data = data
        self._executor = executor
        self._admission = admission
        self._budget = budget
        self._is_stopping = is_stopping
        self._now_ms = now_ms
        self._sequence = 0

    def heartbeat(self) -> Heartbeat:
        """Return the next heartbeat, the same for all peers."""
        self._sequence += 1
        slots = self._admission.demand()
        counted = self._budget.counted(self._now_ms())
        demand = [
            ServiceDemand(
                service,
                slots.get(service, []),
                counted.get(service, NOTHING_COUNTED).requests,
                counted.get(service, NOTHING_COUNTED).repeats,
            )
            for service in slots.keys() | counted.keys()
        ]
        return Heartbeat(
            sequence=self._sequence, revision=self._data.revision, demand=demand
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
        )

    def heard(self, peer_ip: str, heartbeat: Heartbeat) -> None:
        """Take in a peer's demand and repeats."""
        now_ms = self._now_ms()
        told = heartbeat.demand
        self._admission.heard(
            peer_ip, {each.service_name: each.slots for each in told}, now_ms
        )
        self._budget.heard(
            peer_ip,
            {each.service_name: Counted(each.sent, each.repeated) for each in told},
            now_ms,
        )
