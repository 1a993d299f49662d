"""Which sidecars of an availability zone do a duty for the others."""

from collections.abc import Mapping


class ZoneDuty:
    """Shares a duty out by what peers say, without any agreement.

    A sidecar is on duty unless enough peers before it are. The order is that of the
    addresses, so all that see the same peers decide alike; those that see others are on
    duty as well, at worst. Whoever sees no peer is on duty at once.

    Args:
        own_ip: address of this host.
        holders: sidecars of a zone that are on duty while they can.
        step_ms: time that each further sidecar leaves to those before it, when some
            are missing.

    Attributes:
        is_own: whether this sidecar is on duty.
        is_held: whether a peer of the zone is.
        spread: how many sidecars there are for each one on duty. While nobody can do
            it, all try, each so much less often: an outage must not multiply the calls.
    """

    def __init__(self, *, own_ip: str, holders: int, step_ms: float):
        self.is_own = True
        self.is_held = False
        self.spread = 1.0
        self._own_ip = own_ip
        self._holders = holders
        self._step_ms = step_ms
        self._missing_since_ms: float | None = None

    def decide(self, peers: Mapping[str, bool], now_ms: float) -> None:
        """Decide anew.

        Args:
            peers: the sidecars of the zone that can be reached and aren't leaving, and
                whether each is on duty.
            now_ms: monotonic time.
        """
        earlier = [ip for ip in peers if ip < self._own_ip]
        self.is_held = any(peers.values())
        self.spread = max(1.0, (len(peers) + 1) / self._holders)
        if sum(peers[ip] for ip in earlier) >= self._holders:
            self._missing_since_ms = None
            self.is_own = False
            return
        if self._missing_since_ms is None:
            self._missing_since_ms = now_ms
        turn_ms = max(0, len(earlier) - self._holders + 1) * self._step_ms
        self.is_own = now_ms - self._missing_since_ms >= turn_ms
