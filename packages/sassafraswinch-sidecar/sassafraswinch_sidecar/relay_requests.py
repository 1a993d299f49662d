"""Construction of the request message from the owner to the executing sidecar."""

from sassafraswinch_sidecar.relay_intake import Relay
from sassafraswinch_sidecar.relay_protocol.ttypes import RelayRequest
from sassafraswinch_sidecar.server_notices import StampedNotice, serialize_notice

ROOT_WAIT_SHARE = 0.12
"""Share of the target latency that a root request may wait for a slot. After that, time
remains to try another instance or to let the caller retry."""

CHILD_WAIT_SHARE = 0.4
"""Share of its remaining time that a child call may wait for a slot. It may wait longer
because refusing it would waste the work already done for its root request."""


def max_queue_wait_ms(relay: Relay, remaining_ms: float) -> float:
    """Return how long a request may wait in front of a backend server.

    Args:
        relay: the request.
        remaining_ms: time until its deadline.
    """
    if relay.parent is not None:
        wait_ms = remaining_ms * CHILD_WAIT_SHARE
    else:
        wait_ms = relay.route.target_latency_ms * ROOT_WAIT_SHARE
    now_ms = relay.deadline_ms - remaining_ms
    return min(wait_ms, max(relay.start_by_ms - now_ms, 0.0))


def request_of(
    relay: Relay,
    *,
    remaining_ms: float,
    is_leaf: bool,
    notice: StampedNotice | None = None,
) -> RelayRequest:
    """Return the message for a request that was placed on an instance.

    Args:
        relay: the request, with its call id and instance set.
        remaining_ms: time until its deadline.
        is_leaf: whether it is a root request without child calls.
        notice: latest known notice of the server; the sidecar beside it may have
            restarted and not know it any more.
    """
    return RelayRequest(
        call_id=relay.call_id,
        instance_id=relay.instance_id,
        service_name=relay.service,
        request_id=relay.request_id,
        method=relay.method,
        target=relay.target,
        headers=relay.headers,
        body=relay.body,
        remaining_ms=int(remaining_ms),
        max_wait_ms=int(max_queue_wait_ms(relay, remaining_ms)),
        priority=relay.priority,
        level=relay.level,
        inner=relay.parent is not None,
        idempotent=relay.route.idempotent,
        repeated=relay.is_retry,
        progress=relay.progress,
        last=is_leaf,
        organisation=relay.organisation,
        notice=serialize_notice(notice),
    )
