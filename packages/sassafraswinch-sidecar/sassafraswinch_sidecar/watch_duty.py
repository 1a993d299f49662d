"""Which sidecars of an availability zone follow the platform for the others."""

from collections.abc import Mapping

WATCHERS = 2
"""Sidecars of a zone that follow the platform while they can. Each call is paid for;
with one, its loss would leave the zone without news until that is noticed."""

STEP_MS = 50.0
"""Time that each further sidecar leaves to those before it, when watchers are missing:
one call to the platform and its news take a few milliseconds."""


class WatchDuty:
    """Shares the duty out by what peers say, without any agreement.

    A sidecar is on duty unless enough peers before it follow the platform. The order is
    that of the addresses, so all that see the same peers decide alike; those that see
    others follow as well, at worst. Whoever sees no peer is on duty at once.

    Args:
        own_ip: address of this host.

    Attributes:
        is_own: whether this sidecar must follow the platform.
        is_followed: whether a peer of the zone follows it.
        relied_on: peers that this sidecar relies on.
        spread: how many sidecars there are for each watcher. While nobody follows, all
            try, each so much less often: an outage must not multiply the calls.
    """

    def __init__(self, *, own_ip: str):
        self.is_own = True
        self.is_followed = False
        self.relied_on: frozenset[str] = frozenset()
        self.spread = 1.0
        self._own_ip = own_ip
        self._missing_since_ms: float | None = None

    def decide(self, peers: Mapping[str, bool], now_ms: float) -> None:
        """Decide anew.

        Args:
            peers: the sidecars of the zone that can be reached and aren't leaving, and
                whether each follows the platform.
            now_ms: monotonic time.
        """
        earlier = [ip for ip in peers if ip < self._own_ip]
        watchers = sorted(ip for ip in earlier if peers[ip])[:WATCHERS]
        self.is_followed = any(peers.values())
        self.spread = max(1.0, (len(peers) + 1) / WATCHERS)
        if len(watchers) == WATCHERS:
            self._missing_since_ms = None
            self.is_own = False
            self.relied_on = frozenset(watchers)
            return
        if self._missing_since_ms is None:
            self._missing_since_ms = now_ms
        turn_ms = max(0, len(earlier) - WATCHERS + 1) * STEP_MS
        self.is_own = now_ms - self._missing_since_ms >= turn_ms
        self.relied_on = frozenset()
