"""Construction of the request message from the owner to the executing sidecar."""

from sassafraswinch_sidecar.relay_intake import Relay
from sassafraswinch_sidecar.relay_protocol.ttypes import RelayRequest

ROOT_WAIT_SHARE = 0.12
"""Share of the target latency that a root request may wait for a slot. After that, time
remains to try another instance or to let the caller retry."""

CHILD_WAIT_SHARE = 0.4
"""Share of its remaining time that a child call may wait for a slot. It may wait longer
because refusing it would waste the work already done for its root request."""


def request_of(relay: Relay, *, remaining_ms: float, is_leaf: bool) -> RelayRequest:
    """Return the message for a request that was placed on an instance.

    Args:
        relay: the request, with its call id and instance set.
        remaining_ms: time until its deadline.
        is_leaf: whether it is a root request without child calls.
    """
    is_child = relay.parent is not None
    share = CHILD_WAIT_SHARE if is_child else ROOT_WAIT_SHARE
    span_ms = remaining_ms if is_child else relay.route.target_latency_ms
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
        max_wait_ms=int(span_ms * share),
        priority=relay.priority,
        level=relay.level,
        inner=is_child,
        idempotent=relay.route.idempotent,
        repeated=relay.is_retry,
        progress=relay.progress,
        last=is_leaf,
        organisation=relay.organisation,
    )
