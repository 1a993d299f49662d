"""Choice of the next backend server for a request, within the limits of its route."""

import zlib
from collections.abc import Sequence

from sassafraswinch.crash_suspects import Restriction, SuspectDecision
from sassafraswinch_sidecar.instances import Instance
from sassafraswinch_sidecar.placement import Placement
from sassafraswinch_sidecar.relay_intake import Relay
from sassafraswinch_sidecar.relay_requests import max_queue_wait_ms


def choose_server(
    placement: Placement,
    relay: Relay,
    instances: Sequence[Instance],
    now_ms: float,
    answer_bytes: float = 0.0,
) -> Instance | None:
    """Return an instance not yet tried, or else one that is tried once more.

    No more servers than the route allows get the request; those that proved that they
    didn't run it may get it again.

    Args:
        placement: compares instances.
        relay: the request.
        instances: the instances of its service.
        now_ms: monotonic time.
        answer_bytes: mean length of the answers of such requests.
    """
    wait_ms = max_queue_wait_ms(relay, relay.deadline_ms - now_ms)
    if len(relay.offered_to) < relay.route.max_attempts:
        chosen = placement.choose_instance(
            instances, relay.tried, now_ms, answer_bytes, wait_ms
        )
        if chosen is not None or not relay.offered_to:
            return chosen
    offered_to = [each for each in instances if each.identity in relay.offered_to]
    return placement.choose_instance(offered_to, (), now_ms, answer_bytes, wait_ms)


def choose_server_for_suspect(
    placement: Placement,
    relay: Relay,
    instances: Sequence[Instance],
    now_ms: float,
    judged: SuspectDecision,
) -> Instance | None:
    """Return the instance for a request that ran when servers crashed.

    Load pattern: copies of it arrive at many hosts at once, and each would crash a
    server. All hosts rank the servers alike for a request, so its copies meet at one
    server, which runs one at a time. Innocent requests that were lost with it rank the
    servers differently and so go to other ones. A trial has no second choice: hosts
    that don't know its outcome yet must not try the next server.
    """
    ranked = sorted(instances, key=lambda each: _server_rank(judged.digest, each.ip))
    if judged.restriction is Restriction.TRIAL:
        ranked = ranked[:1]
    choices = (
        choose_server(placement, relay, [instance], now_ms) for instance in ranked
    )
    return next((choice for choice in choices if choice is not None), None)


def _server_rank(digest: bytes, ip: str) -> int:
    return zlib.crc32(digest + ip.encode())
