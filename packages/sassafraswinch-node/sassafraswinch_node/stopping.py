"""Log lines for the calls that a forced stop of a node aborts."""

from sassafraswinch.node import Node
from sassafraswinch_node.logs import log_event


def log_aborted_calls(node: Node) -> int:
    """Log each call in flight.

    Returns:
        The number of calls in flight.
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
