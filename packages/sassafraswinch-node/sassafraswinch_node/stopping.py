"""What a node says in its log about the calls that a cut ends."""

from sassafraswinch.node import Node
from sassafraswinch_node.logs import log_event


def log_cut(node: Node) -> int:
    """Name each call in flight in the log.

    Returns:
        How many there are.
    """
    for owned in node.awaited_calls():
        log_event(
            "call_cut",
            level="warning",
            side="owner",
            operation=owned.operation,
            root_id=owned.root_id,
            peer=owned.attempt.peer.host,
        )
    for key, running in node.executor.calls.items():
        log_event(
            "call_cut",
            level="warning",
            side="executing",
            operation=running.call.operation,
            root_id=running.call.root_id,
            peer=key.owner.host,
        )
    for forwarded in node.forwarder.open.values():
        log_event(
            "call_cut",
            level="warning",
            side="forwarding",
            service=forwarded.request.service,
            peer=forwarded.owner.host,
        )
    in_flight = node.in_flight
    log_event("node_cut", level="warning", in_flight=in_flight)
    return in_flight
