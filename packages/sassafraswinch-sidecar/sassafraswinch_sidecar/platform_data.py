"""What this sidecar knows of the platform's data, and how peers share it."""

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
from sassafraswinch_sidecar.replica import Delta, Replica
from sassafraswinch_sidecar.revisions import UNKNOWN, Position, Revision

ASK_AGAIN_MS = 300.0
"""Pause before changes are asked of another peer: the first may not answer."""


class PlatformData:
    """Merges what the platform and peers tell, and keeps the fleet up to date.

    A sidecar that the platform turns away, or that starts while it is down, hears of
    every change from a peer: digests and reports tell positions, and whoever is behind
    asks.

    Args:
        fleet: follows the changes.
        on_change: called after each change.
        announce: tells peers what this sidecar knows, and whether it follows the
            platform. Those that rely on it hear at once of a change, or of its loss.

    Attributes:
        following: whether this sidecar follows the platform itself.
        restores: how often the platform's store came back from an older copy.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        on_change: Callable[[], None],
        announce: Callable[[], None],
    ):
        self.following = False
        self.restores = 0
        self._fleet = fleet
        self._changed = on_change
        self._announce = announce
        self._replica = Replica(routes=fleet)
        self._loop = asyncio.get_running_loop()
        self._asked_ms = 0.0

    @property
    def revision(self) -> Revision:
        """Revision of the platform's data up to which all is known."""
        return self._replica.revision

    @property
    def position(self) -> Position:
        """How much of the platform's data is known."""
        return self._replica.position

    def apply_delta(self, delta: Delta, source: str) -> None:
        """Take in changes (ReplicaKeeper)."""
        former = self.revision
        changed = self._replica.merge(delta)
        if former > UNKNOWN and former.era < self.revision.era:
            self._note_restore(former, source)
        if not changed:
            return
        version = self._fleet.table.version if self._fleet.table else None
        self._fleet.apply_entries(changed, self._now_ms())
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
        self._changed()
        if source == PLATFORM_SOURCE:
            self._announce()

    def record_outage(self) -> None:
        """The platform can't be read (ReplicaKeeper)."""
        self._fleet.record_outage(self._now_ms())

    def record_outage_end(self) -> None:
        """The platform can be read (ReplicaKeeper)."""
        self._fleet.record_outage_end(self._now_ms())

    def record_following(self, following: bool) -> None:
        """Following has begun or ended here (ReplicaKeeper)."""
        self.following = following
        era, number = self.revision
        log_event("platform_followed", following=following, era=era, revision=number)
        self._announce()

    def tick(self, now_ms: float) -> None:
        """Drop what didn't come back after an outage."""
        self._fleet.tick(self._replica, now_ms)

    def handle_message(self, link: PeerLink, message: Message) -> None:
        """Answer a peer's question for changes, or take in its answer."""
        if isinstance(message, ReplicaRequest):
            link.send(
                serialize_delta(
                    self._replica.changes_since(parse_replica_request(message))
                )
            )
        elif isinstance(message, ReplicaReply):
            self._asked_ms = 0.0
            self.apply_delta(parse_delta(message), f"peer-{link.peer_ip}")

    def request_if_behind(self, told: Position, link: PeerLink) -> None:
        """Ask a peer for what it knows and this sidecar doesn't."""
        now_ms = self._now_ms()
        position = self.position
        if not position.is_behind(told) or now_ms - self._asked_ms < ASK_AGAIN_MS:
            return
        self._asked_ms = now_ms
        link.send(serialize_replica_request(position))

    def _note_restore(self, former: Revision, source: str) -> None:
        self.restores += 1
        log_event(
            "platform_restored",
            level="warning",
            source=source,
            era=self.revision.era,
            revision=self.revision.number,
            former_era=former.era,
            former_revision=former.number,
        )
        self._fleet.record_store_restore(self._now_ms())
        self._announce()

    def _now_ms(self) -> float:
        return self._loop.time() * 1000
