"""Intake of the long bodies that peers announce: refused, awaited or received."""

from collections.abc import Callable
from functools import partial

from sassafraswinch_sidecar.executor import Executor
from sassafraswinch_sidecar.held_bytes import HeldBytes
from sassafraswinch_sidecar.peer_link import PeerLink
from sassafraswinch_sidecar.relay_protocol.ttypes import (
    RelayCancel,
    RelayRequest,
    RelayResponse,
)
from sassafraswinch_sidecar.response_sender import ResponseSender


class BodyIntake:
    """Decides when announced bodies are received.

    A request whose body doesn't fit is refused unrun, before any of it was sent. A
    response has run, so its body waits at its sender until it fits.

    Args:
        held: memory limit of this process.
        executor: runs the requests.
        responses: sends their responses.
        is_pending: returns whether the response to a call is still awaited.
        on_response: called with the address of a peer and a complete response.
    """

    def __init__(
        self,
        *,
        held: HeldBytes,
        executor: Executor,
        responses: ResponseSender,
        is_pending: Callable[[int], bool],
        on_response: Callable[[str, RelayResponse], None],
    ):
        self._held = held
        self._executor = executor
        self._responses = responses
        self._is_pending = is_pending
        self._on_response = on_response

    def receive_request(self, link: PeerLink, request: RelayRequest) -> None:
        """Run a request; one whose body is announced once it is complete."""
        if request.body_bytes:
            self._receive_body(link, request)
        else:
            self._submit(link, request)

    def _submit(self, link: PeerLink, request: RelayRequest) -> None:
        self._executor.submit(request, partial(self._responses.send, link), link)

    def _receive_body(self, link: PeerLink, request: RelayRequest) -> None:
        refusal = self._executor.refuse_announced(request)
        if refusal is not None:
            self._responses.send(link, refusal)
            return
        body_bytes = request.body_bytes

        def on_complete(complete: RelayRequest) -> None:
            self._held.release(body_bytes)
            self._submit(link, complete)

        self._held.hold(body_bytes)
        link.receive_body(request, on_complete, lambda: self._held.release(body_bytes))

    def receive_response(self, link: PeerLink, response: RelayResponse) -> None:
        """Receive an announced response, once there is memory for it.

        One that nobody awaits is declined: its sender holds its memory until then.
        """
        if not self._is_pending(response.call_id):
            link.send(RelayCancel(call_id=response.call_id))
            return

        def start() -> None:
            if not link.is_open or not self._is_pending(response.call_id):
                self._held.cancel(reservation)
                return
            link.receive_body(
                response, on_complete, lambda: self._held.cancel(reservation)
            )

        def on_complete(complete: RelayResponse) -> None:
            self._on_response(link.peer_ip, complete)
            self._held.cancel(reservation)

        reservation = self._held.reserve(response.body_bytes, start)
        if reservation.is_granted:
            start()
