"""Rate limits that simulated servers name, and how well they are kept and used."""

from sassafraswinch_sidecar.server_notices import NO_NOTICE, ServerNotice
from sassafraswinch_standins.rate_windows import most_in_window
from sassafraswinch_standins.simulator_host import Host
from sassafraswinch_standins.simulator_load import Pattern

WINDOW_MS = 4_000.0
STABLE_MS = 3_000.0
EXCESS_FACTOR, SLACK_REQUESTS = 1.5, 5
"""What a server tolerates: from ``STABLE_MS`` after its first limit, within
``WINDOW_MS``, the limit times the factor and another ``SLACK_REQUESTS`` requests."""


def limit_per_s(pattern: Pattern, host: Host, now_ms: float) -> float | None:
    """Return the limit that a host's server names now; None for no limit."""
    limits = [
        disturbance.rate_limit_per_s
        for disturbance in pattern.of_service(host.instance.service, now_ms)
        if disturbance.rate_limit_per_s is not None
        and host.number < disturbance.limited_servers
    ]
    return min(limits, default=None)


def apply_response(pattern: Pattern, host: Host, now_ms: float) -> None:
    """Apply what a response states to the sidecar beside the server."""
    limit = limit_per_s(pattern, host, now_ms)
    notice = NO_NOTICE if limit is None else ServerNotice(rate_limit_per_s=limit)
    host.notices.record_response(host.instance.id, notice)
    if host.queue.pace.limit_per_s != limit:
        host.queue.pace.set_limit(limit, now_ms)


def limit_figures(pattern: Pattern, hosts: list[Host]) -> dict[str, float]:
    """Return how far limits were exceeded and used; empty without limits.

    Returns:
        ``limit excess``: the largest ratio of the requests in a window to those
        tolerated, which must not exceed 1. ``limit used``: the share of the limits that
        was used.
    """
    excesses, got, allowed = [], 0, 0.0
    for disturbance in pattern.disturbances:
        limit = disturbance.rate_limit_per_s
        if limit is None:
            continue
        from_ms = disturbance.from_s * 1000 + STABLE_MS
        until_ms = disturbance.until_s * 1000
        for host in hosts:
            if host.instance.service != disturbance.service:
                continue
            if host.number >= disturbance.limited_servers:
                continue
            starts_ms = [at for at in host.starts_ms if from_ms <= at < until_ms]
            tolerated = EXCESS_FACTOR * limit * WINDOW_MS / 1000 + SLACK_REQUESTS
            excesses.append(most_in_window(starts_ms, WINDOW_MS) / tolerated)
            got += len(starts_ms)
            allowed += limit * (until_ms - from_ms) / 1000
    if not excesses:
        return {}
    return {"limit excess": max(excesses), "limit used": got / allowed}
