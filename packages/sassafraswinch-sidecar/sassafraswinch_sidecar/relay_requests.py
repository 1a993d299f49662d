"""What an owner sends to the sidecar beside the server that it chose."""

from sassafraswinch_sidecar.relay_intake import Relay
from sassafraswinch_sidecar.relay_protocol.ttypes import RelayRequest

ROOT_WAIT_SHARE = 0.12
"""Part of the target latency that a root request waits for a slot: after that it is
better off elsewhere, or told to come back while there is time."""

CHILD_WAIT_SHARE = 0.4
"""Part of its time that a call of a running request waits for a slot. Refusing it
would waste what its root request has taken so far."""


def request_of(relay: Relay, *, left_ms: float, last: bool) -> RelayRequest:
    """Return the request between sidecars for a relay that was placed.

    Args:
        relay: the request, with its call and its instance.
        left_ms: time in which an answer is of use.
        last: whether its tree ends with it.
    """
    inner = relay.parent is not None
    share = CHILD_WAIT_SHARE if inner else ROOT_WAIT_SHARE
    span_ms = left_ms if inner else relay.route.target_latency_ms
    return RelayRequest(
        call_id=relay.call_id,
        instance_id=relay.instance_id,
        service_name=relay.service,
        request_id=relay.request_id,
        method=relay.method,
        target=relay.target,
        headers=relay.headers,
        body=relay.body,
        remaining_ms=int(left_ms),
        max_wait_ms=int(span_ms * share),
        priority=relay.priority,
        level=relay.level,
        inner=inner,
        idempotent=relay.route.idempotent,
        repeated=relay.is_retry,
        progress=relay.progress,
        last=last,
        organisation=relay.organisation,
    )
