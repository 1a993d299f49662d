"""The ends of the backend server beside this sidecar, and what ran there then."""

import os
import zlib
from collections import deque
from collections.abc import Callable

from sassafraswinch.request_digest import Digests, digest_request, digest_text
from sassafraswinch_sidecar.relay_protocol.ttypes import RelayRequest
from sassafraswinch_sidecar.request_log import RequestLog
from sassafraswinch_sidecar.suspect_requests import SuspectRequests

NAME_BYTES = 4
"""Random part of an end's name: an instance may start again under the id it had."""

MOST_GIVEN_UP = 64
"""Requests without an answer that are remembered; a server hangs under the first."""

PROVEN_MS = 10_000.0
"""Time for which an answer shows that a request doesn't end its server."""

MOST_PROVEN = 1_024
"""Answered requests that are remembered: a busy server's last seconds. What many
callers send comes again within them."""


class ServerEnds:
    """Makes suspects of the requests that ran when the server's process ended.

    Only the sidecar beside a server can see that its process ended, so only it names an
    end; all others repeat the name. Given up requests count as well until the server
    answers anything: one under which it hangs is given up long before the hanging
    server is ended.

    What the server answered a moment ago is no suspect. Failure: all servers of a
    service end together, by a loss of power say, and the page that everybody asks for
    ran on each; it would be held back when they are up again.

    Args:
        suspects: is told of the suspects.
        is_leaving: tells whether an instance was about to leave, so that its end says
            nothing of its requests.
        log: lines about single requests.
        now_ms: monotonic clock.
    """

    def __init__(
        self,
        *,
        suspects: SuspectRequests,
        is_leaving: Callable[[str], bool],
        log: RequestLog,
        now_ms: Callable[[], float],
    ):
        self._suspects = suspects
        self._is_leaving = is_leaving
        self._log = log
        self._now_ms = now_ms
        self._proven_ms: dict[int, float] = {}
        self._name = ""
        self._given_up: deque[tuple[str, Digests]] = deque(maxlen=MOST_GIVEN_UP)

    @property
    def has_given_up(self) -> bool:
        """Whether requests were given up since the server's last answer."""
        return bool(self._given_up)

    def gave_up(self, request: RelayRequest) -> None:
        """Note a request that is no longer waited for, and may still run."""
        self._given_up.append((request.instance_id, digest_request(request)))

    def answered(self) -> None:
        """Note that the server answers, so it outlived what was given up."""
        self._given_up.clear()

    def ran_well(self, request: RelayRequest) -> None:
        """Note that the server has run a request to a good end."""
        proven_ms = self._proven_ms
        checksum = _checksum(request)
        proven_ms.pop(checksum, None)
        proven_ms[checksum] = self._now_ms()
        if len(proven_ms) > MOST_PROVEN:
            del proven_ms[next(iter(proven_ms))]

    def begin(self, instance_id: str) -> None:
        """Note that the server's process has ended.

        Args:
            instance_id: instance that requests ran at; empty where none did.
        """
        given_up = [*self._given_up]
        self._given_up.clear()
        if given_up and not instance_id:
            instance_id, _ = given_up[-1]
        self._name = f"{instance_id}/{os.urandom(NAME_BYTES).hex()}"
        for instance_id, digests in given_up:
            self._note(instance_id, digests)

    def add(self, request: RelayRequest) -> str | None:
        """Note a request that ran then; return the end's name, for its owner.

        None where the end says nothing of the request.
        """
        proven_ms = self._proven_ms.get(_checksum(request))
        if proven_ms is not None and self._now_ms() - proven_ms < PROVEN_MS:
            return None
        return self._note(
            request.instance_id, digest_request(request), request.request_id
        )

    def _note(
        self, instance_id: str, digests: Digests, request_id: str = ""
    ) -> str | None:
        if self._is_leaving(instance_id):
            return None
        self._log.failed(
            "ran_at_server_end",
            request_id,
            instance=instance_id,
            end=self._name,
            digest=digest_text(digests[0]),
        )
        self._suspects.ended(digests, self._name)
        return self._name


def _checksum(request: RelayRequest) -> int:
    """Return what tells requests apart well enough, at the cost of a microsecond."""
    return zlib.crc32(request.body, zlib.crc32(request.target))
