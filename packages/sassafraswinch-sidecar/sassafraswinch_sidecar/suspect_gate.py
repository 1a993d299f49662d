"""The last gate before a backend server, for requests under which servers ended."""

from collections.abc import Callable, Iterable

from sassafraswinch.crash_suspects import Restriction
from sassafraswinch.request_digest import digest_request
from sassafraswinch_sidecar.relay_protocol.ttypes import RelayRequest
from sassafraswinch_sidecar.suspect_requests import (
    COPY_RUNS,
    HELD_BACK,
    SUSPECT_RUNS,
    SuspectRequests,
)


class SuspectGate:
    """Decides whether a request may start at the server beside this sidecar.

    Owners ask the register as well, but may not have heard yet, and a request that
    waits in the queue was sent before.

    Args:
        suspects: requests that ended servers.
        running: returns the requests that run at the server.
    """

    def __init__(
        self,
        *,
        suspects: SuspectRequests,
        running: Callable[[], Iterable[RelayRequest]],
    ):
        self._suspects = suspects
        self._running = running

    def refusal_reason(self, request: RelayRequest) -> str:
        """Return why a request may not start; empty if it may."""
        standing = self._suspects.decide(request).restriction
        if standing is Restriction.FREE:
            return ""
        if standing is Restriction.HELD:
            return HELD_BACK
        others = (each for each in self._running() if each is not request)
        restricted = [each for each in others if self._is_restricted(each)]
        if any(digest_request(each) == digest_request(request) for each in restricted):
            return COPY_RUNS
        return SUSPECT_RUNS if restricted else ""

    def _is_restricted(self, request: RelayRequest) -> bool:
        return self._suspects.decide(request).restriction is not Restriction.FREE
