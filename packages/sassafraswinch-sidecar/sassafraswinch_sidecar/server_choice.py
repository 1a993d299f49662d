"""Which server a request is sent to next, among those that its route allows."""

from collections.abc import Sequence

from sassafraswinch_sidecar.fleet import Instance
from sassafraswinch_sidecar.placement import Placement
from sassafraswinch_sidecar.relay_intake import Relay


def choose_server(
    placement: Placement,
    relay: Relay,
    instances: Sequence[Instance],
    now_ms: float,
    answer_bytes: float = 0.0,
) -> Instance | None:
    """Return an instance that wasn't asked yet, or else one to be asked again.

    No more servers than the route allows get the request; those that proved that they
    didn't run it may get it again.

    Args:
        placement: compares instances.
        relay: the request.
        instances: the instances of its service.
        now_ms: monotonic time.
        answer_bytes: mean length of the answers of such requests.
    """
    if len(relay.offered_to) < relay.route.max_attempts:
        chosen = placement.choose(instances, relay.tried, now_ms, answer_bytes)
        if chosen is not None or not relay.offered_to:
            return chosen
    offered_to = [each for each in instances if each.identity in relay.offered_to]
    return placement.choose(offered_to, (), now_ms, answer_bytes)
