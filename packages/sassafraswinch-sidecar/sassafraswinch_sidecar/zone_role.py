"""Choice of the sidecars of an availability zone that act for the others."""

from collections.abc import Mapping


class ZoneRole:
    """Role that a few sidecars of a zone fill, decided from the state of the peers.

    There is no consensus protocol. A sidecar is active unless enough peers with lower
    addresses are. Sidecars that see the same peers decide alike; where they see
    different ones, more of them are active than needed, at worst. A sidecar that sees
    no peer becomes active at once.

    Args:
        own_ip: address of this host.
        active_sidecars: sidecars of a zone that are active in normal operation.
        step_ms: delay of the next sidecar in taking over when active ones are missing.
            Twice as many may take over after each further step, so that the delay stays
            short in large zones where many can't fill the role.

    Attributes:
        is_active: whether this sidecar is active.
        takeover_ms: monotonic time at which this sidecar becomes active if no peer
            does; None if it is active, or enough peers are.
        has_active_peer: whether a peer of the zone is active.
        sidecars_per_active: number of sidecars for each active one. While no
            sidecar can fill the role, all of them try, each less often by this factor:
            an outage must not multiply the calls.
        turn: place of this sidecar in the order of addresses, as a share of the
            sidecars of the zone: 1 for the last one. Attempts that start together can
            be spread by it.
    """

    def __init__(self, *, own_ip: str, active_sidecars: int, step_ms: float):
        self.is_active = True
        self.takeover_ms: float | None = None
        self.has_active_peer = False
        self.sidecars_per_active = 1.0
        self.turn = 1.0
        self._own_ip = own_ip
        self._active_sidecars = active_sidecars
        self._step_ms = step_ms
        self._missing_since_ms: float | None = None

    def update_role(self, peers: Mapping[str, bool], now_ms: float) -> None:
        """Update the role from the state of the peers.

        Args:
            peers: the sidecars of the zone that can be reached and aren't leaving, and
                whether each is active.
            now_ms: monotonic time.
        """
        earlier = [ip for ip in peers if ip < self._own_ip]
        self.has_active_peer = any(peers.values())
        sidecars = len(peers) + 1
        self.sidecars_per_active = max(1.0, sidecars / self._active_sidecars)
        self.turn = (len(earlier) + 1) / sidecars
        if sum(peers[ip] for ip in earlier) >= self._active_sidecars:
            self._missing_since_ms = self.takeover_ms = None
            self.is_active = False
            return
        if self._missing_since_ms is None:
            self._missing_since_ms = now_ms
        waiting = max(0, len(earlier) - self._active_sidecars + 1)
        takeover_ms = self._missing_since_ms + waiting.bit_length() * self._step_ms
        self.is_active = now_ms >= takeover_ms
        self.takeover_ms = None if self.is_active else takeover_ms
