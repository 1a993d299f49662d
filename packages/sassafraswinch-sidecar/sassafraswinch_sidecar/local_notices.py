"""Latest notice of the backend server beside this sidecar, and its log lines."""

import math
import time
from collections.abc import Callable

from sassafraswinch_node.logs import log_event
from sassafraswinch_sidecar.instances import NO_INCARNATION
from sassafraswinch_sidecar.server_notices import ServerNotice, StampedNotice

MAX_LOGGED_VALUE_BYTES = 40
"""Length at which an unreadable value is cut in the log."""

OWN_SERVER, PEER = "own-server", "peer"
"""Sources of a notice: a response that this sidecar read, or another sidecar."""


def log_rate_limit(
    *,
    instance_id: str,
    limit_per_s: float | None,
    former_per_s: float | None,
    source: str,
    age_ms: float,
) -> None:
    """Log that a limit is named, changed or ended.

    Args:
        instance_id: instance that the limit applies to.
        limit_per_s: the new limit; None if it has ended.
        former_per_s: the former limit; None if there was none.
        source: who reported it.
        age_ms: time since the former notice of the server.
    """
    log_event(
        "server_rate_limit",
        level="warning",
        instance=instance_id,
        limit_per_s=limit_per_s,
        former_per_s=former_per_s,
        source=source,
        age_ms=age_ms,
    )


def time_us() -> int:
    """Return the time of day in microseconds."""
    return time.time_ns() // 1000


class LocalNotices:
    """Latest notice of the local backend server.

    Notices are stamped in the order in which this sidecar reads the responses. A stamp
    is the time of day, but always greater than all stamps seen before, so that notices
    stay in order when this process restarts, even if the clock was set back: a
    restarted sidecar learns its predecessor's notices, with their stamps, from peers.

    Args:
        now_ms: monotonic clock.
        stamp_us: time of day in microseconds.

    Attributes:
        instance_id: instance that gave the notice; empty until one is known.
        incarnation: its lifetime; ``NO_INCARNATION`` until a registration is known.
        limit_per_s: requests per second that the server accepts; None for no limit.
        leaving: whether the server accepts no new requests.
        is_confirmed: whether the server has answered since the start of this process.
        invalid_values: number of responses with an unreadable value.
    """

    def __init__(
        self, *, now_ms: Callable[[], float], stamp_us: Callable[[], int] = time_us
    ):
        self.instance_id = ""
        self.incarnation = NO_INCARNATION
        self.limit_per_s: float | None = None
        self.leaving = False
        self.is_confirmed = False
        self.invalid_values = 0
        self._now_ms = now_ms
        self._stamp_us = stamp_us
        self._stamp = 0
        self._stated_ms: float | None = None
        self._is_reported = False
        self._has_logged_invalid_value = False

    def record_response(
        self,
        instance_id: str,
        notice: ServerNotice,
        incarnation: int = NO_INCARNATION,
    ) -> None:
        """Record what a response of an instance states.

        A request that was sent before the current lifetime was registered may have been
        answered by the former one, on any connection: its response counts for neither.

        Args:
            instance_id: the instance.
            notice: what the response states.
            incarnation: lifetime that was registered when the request was sent.
        """
        if self._is_former(instance_id, incarnation):
            return
        self._enter_lifetime(instance_id, incarnation)
        self.is_confirmed = True
        if notice.invalid_value is not None:
            self._record_invalid_value(notice.invalid_value)
        else:
            self._stamp = max(self._stamp + 1, self._stamp_us())
            self._set_limit(notice.rate_limit_per_s, OWN_SERVER)
        if notice.leaving:
            self._set_leaving()

    def record_registration(self, instance_id: str, incarnation: int) -> None:
        """Record which lifetime of the current instance is registered.

        What a former lifetime stated ends with it.
        """
        if instance_id == self.instance_id:
            self._enter_lifetime(instance_id, incarnation)

    def merge_report(self, notice: StampedNotice) -> None:
        """Merge a notice that a peer received, perhaps from a former process.

        What the server stated to this process is newer. It is kept, and reported to
        peers from now on.
        """
        is_former = self._is_former(notice.instance_id, notice.incarnation)
        if not is_former and not self.is_confirmed and notice.stamp > self._stamp:
            self._enter_lifetime(notice.instance_id, notice.incarnation)
            self._set_limit(notice.rate_limit_per_s, PEER)
        if notice.may_be_of(self.instance_id, self.incarnation):
            self._enter_lifetime(notice.instance_id, notice.incarnation)
            self._is_reported = True
            if notice.leaving:
                self._set_leaving()
        self._stamp = max(self._stamp, notice.stamp)

    def latest(self) -> StampedNotice | None:
        """Return the notice to report to peers; None if there never was one."""
        if not self._is_reported:
            return None
        return StampedNotice(
            instance_id=self.instance_id,
            stamp=self._stamp,
            rate_limit_per_s=self.limit_per_s,
            leaving=self.leaving,
            incarnation=self.incarnation,
        )

    def age_ms(self) -> float:
        """Return the time since the latest notice; 0 before the first one."""
        return 0.0 if self._stated_ms is None else self._now_ms() - self._stated_ms

    def gauges(self) -> dict[str, float]:
        """Return the current gauges by name."""
        return {
            "backend_rate_limit_per_s": (
                math.inf if self.limit_per_s is None else self.limit_per_s
            ),
            "backend_leaving": self.leaving,
            "backend_invalid_notices": self.invalid_values,
        }

    def _is_former(self, instance_id: str, incarnation: int) -> bool:
        """Return whether a lifetime is known to be over: a later one is registered."""
        is_known = incarnation != NO_INCARNATION
        is_older = is_known and incarnation < self.incarnation
        return instance_id == self.instance_id and is_older

    def _enter_lifetime(self, instance_id: str, incarnation: int) -> None:
        """Start a lifetime unless it is the current one, perhaps not known as such."""
        if instance_id != self.instance_id:
            self._start_lifetime(instance_id, incarnation)
        elif incarnation > self.incarnation == NO_INCARNATION:
            self.incarnation = incarnation
            # Peers accept the notice with its lifetime only if it is newer.
            self._stamp += 1
        elif incarnation > self.incarnation:
            self._start_lifetime(instance_id, incarnation)

    def _start_lifetime(self, instance_id: str, incarnation: int) -> None:
        if self.limit_per_s is not None:
            self._log_limit(None, OWN_SERVER)
        self.incarnation = incarnation
        self.instance_id = instance_id
        self.limit_per_s = None
        self.leaving = False
        self._is_reported = False
        self._has_logged_invalid_value = False

    def _set_limit(self, limit_per_s: float | None, source: str) -> None:
        if limit_per_s != self.limit_per_s:
            self._log_limit(limit_per_s, source)
            self.limit_per_s = limit_per_s
            self._is_reported = True
        self._stated_ms = self._now_ms()

    def _set_leaving(self) -> None:
        if not self.leaving:
            self.leaving = True
            self._is_reported = True
            log_event("server_leaving", level="warning", instance=self.instance_id)

    def _record_invalid_value(self, value: bytes) -> None:
        """Count an unreadable value, with one line for each server: each response may
        have it.
        """
        self.invalid_values += 1
        if self._has_logged_invalid_value:
            return
        self._has_logged_invalid_value = True
        log_event(
            "server_notice_invalid",
            level="warning",
            instance=self.instance_id,
            value=value[:MAX_LOGGED_VALUE_BYTES].decode("latin-1"),
        )

    def _log_limit(self, limit_per_s: float | None, source: str) -> None:
        log_rate_limit(
            instance_id=self.instance_id,
            limit_per_s=limit_per_s,
            former_per_s=self.limit_per_s,
            source=source,
            age_ms=self.age_ms(),
        )
