"""A sidecar's copy of the platform's data, and its synchronisation with peers."""

import asyncio
from collections.abc import Callable

from sassafraswinch_node.logs import log_event
from sassafraswinch_sidecar.fleet import Fleet
from sassafraswinch_sidecar.message_codec import (
    Message,
    parse_delta,
    parse_replica_request,
    serialize_delta,
    serialize_replica_request,
)
from sassafraswinch_sidecar.peer_link import PeerLink
from sassafraswinch_sidecar.platform_reader import PLATFORM_SOURCE
from sassafraswinch_sidecar.relay_protocol.ttypes import ReplicaReply, ReplicaRequest
from sassafraswinch_sidecar.replica import Delta, Entry, Replica
from sassafraswinch_sidecar.revisions import UNKNOWN, Position, Revision

REQUEST_AGAIN_MS = 300.0
"""Pause before changes are requested from another peer: the first may not reply."""


class PlatformData:
    """Merges changes from the platform and from peers, and updates the fleet.

    A sidecar that the platform refuses, or that starts during an outage, receives every
    change from a peer: digests and host reports hold the position of the sender, and a
    sidecar that is behind requests the changes.

    Args:
        fleet: updated with the changes.
        on_change: called after each change.
        announce: sends this sidecar's position to peers, and whether it follows the
            platform, so that those that rely on it notice a change or its loss at once.
        forward: called after a change that a peer sent; an aggregator announces its
            position then.

    Attributes:
        following: whether this sidecar follows the platform itself.
        restores: number of times that the platform's store was restored from an older
            copy.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        on_change: Callable[[], None],
        announce: Callable[[], None],
        forward: Callable[[], None],
    ):
        self.following = False
        self.restores = 0
        self._fleet = fleet
        self._on_change = on_change
        self._announce = announce
        self._forward = forward
        self._replica = Replica(routes=fleet)
        self._loop = asyncio.get_running_loop()
        self._requested_ms = 0.0
        self._unapplied: list[Entry] = []

    @property
    def revision(self) -> Revision:
        """Revision up to which all changes of the platform's data are known."""
        return self._replica.revision

    @property
    def position(self) -> Position:
        """Position of this sidecar's replica."""
        return self._replica.position

    def apply_delta(self, delta: Delta, source: str) -> None:
        """Apply changes (PlatformListener)."""
        previous = self.revision
        # Kept until the fleet has applied them: the replica won't return them again.
        self._unapplied += self._replica.merge(delta)
        if previous > UNKNOWN and previous.era < self.revision.era:
            self._record_restore(previous, source)
        if not self._unapplied:
            return
        changed = self._unapplied
        version = self._fleet.table.version if self._fleet.table else None
        self._fleet.apply_entries(changed, self._now_ms())
        self._unapplied = []
        log_event(
            "platform_data_changed",
            level="warning",
            source=source,
            era=delta.revision.era,
            revision=delta.revision.number,
            keys=",".join(entry.key for entry in changed[:4]),
            changed=len(changed),
        )
        table = self._fleet.table
        if table is not None and table.version != version:
            log_event("routes_in_force", level="warning", version=table.version)
        self._on_change()
        if source == PLATFORM_SOURCE:
            self._announce()
        else:
            self._forward()

    def record_outage(self) -> None:
        """Record that the platform can't be read (PlatformListener)."""
        self._fleet.record_outage(self._now_ms())

    def record_outage_end(self) -> None:
        """Record that the platform can be read (PlatformListener)."""
        self._fleet.record_outage_end(self._now_ms())

    def record_following(self, following: bool) -> None:
        """Record that following began or ended here (PlatformListener)."""
        self.following = following
        era, number = self.revision
        log_event("platform_followed", following=following, era=era, revision=number)
        self._announce()

    def tick(self, now_ms: float) -> None:
        """Remove instances whose registrations didn't come back after an outage."""
        self._fleet.tick(self._replica, now_ms)

    def handle_message(self, link: PeerLink, message: Message) -> None:
        """Reply to a peer's request for changes, or apply its reply."""
        if isinstance(message, ReplicaRequest):
            link.send(
                serialize_delta(
                    self._replica.changes_since(parse_replica_request(message))
                )
            )
        elif isinstance(message, ReplicaReply):
            self._requested_ms = 0.0
            self.apply_delta(parse_delta(message), f"peer-{link.peer_ip}")

    def request_if_behind(self, reported: Position, link: PeerLink) -> None:
        """Request the changes that a peer has and this sidecar lacks."""
        now_ms = self._now_ms()
        position = self.position
        if (
            not position.is_behind(reported)
            or now_ms - self._requested_ms < REQUEST_AGAIN_MS
        ):
            return
        self._requested_ms = now_ms
        link.send(serialize_replica_request(position))

    def _record_restore(self, previous: Revision, source: str) -> None:
        self.restores += 1
        log_event(
            "platform_restored",
            level="warning",
            source=source,
            era=self.revision.era,
            revision=self.revision.number,
            former_era=previous.era,
            former_revision=previous.number,
        )
        self._fleet.record_store_restore(self._now_ms())
        self._announce()

    def _now_ms(self) -> float:
        return self._loop.time() * 1000
