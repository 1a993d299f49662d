"""Sends responses to the sidecars that own their requests."""

from sassafraswinch_node.logs import log_event
from sassafraswinch_sidecar.peer_link import PeerLink
from sassafraswinch_sidecar.relay_protocol.ttypes import RelayResponse, Verdict

LINK_FULL = "link-full"
"""Reason of responses that were dropped because their link has no room."""


class ResponseSender:
    """Sends responses, and a short notice in place of one for which there is no room.

    Failure: a peer reads its link slowly. A response is dropped, and its owner waits
    for it until the request times out.

    Attributes:
        dropped_responses: number of responses without room so far.
    """

    def __init__(self):
        self.dropped_responses = 0

    def send(self, link: PeerLink, response: RelayResponse) -> None:
        """Send a response; if the link is lost, its owner learns of that."""
        if link.send(response) or not link.is_open:
            return
        self.dropped_responses += 1
        log_event(
            "response_dropped",
            level="warning",
            peer=link.peer_ip,
            call=response.call_id,
            unsent_bytes=link.unsent_bytes,
        )
        has_run = response.verdict != Verdict.NOT_RUN
        response.verdict = Verdict.MAY_HAVE_RUN if has_run else Verdict.NOT_RUN
        response.status, response.headers, response.body = 0, b"", b""
        response.body_bytes = 0
        response.reason = LINK_FULL
        link.send_short(response)
