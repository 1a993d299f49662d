"""Final responses to callers, each with its counter and its log line."""

import asyncio
import random

from sassafraswinch.organisation_rates import RateDecision
from sassafraswinch_sidecar.caller_connection import CallerConnection, HttpRequest
from sassafraswinch_sidecar.header_names import HeaderNames
from sassafraswinch_sidecar.relay_counters import RelayCounters
from sassafraswinch_sidecar.relay_intake import (
    MISSING_ID,
    NO_ROUTE,
    UNKNOWN_KEY,
    IntakeRefusal,
    Relay,
)
from sassafraswinch_sidecar.relay_protocol.ttypes import RelayResponse
from sassafraswinch_sidecar.request_log import RequestLog

RETRY_AFTER_SHARES = (0.15, 0.5)
"""Range of ``Retry-After``, as shares of the route's target latency. A retry within it
can still succeed in time, and random values spread the retries of many callers."""

RATE_WAIT_SPREAD = (0.5, 1.5)
"""Range of ``Retry-After``, as multiples of the time that rate limits take for one
second's demand. Callers that all came back within a share of the target latency would
multiply a demand that the limits can't serve."""

MIN_RETRY_AFTER_MS = 50.0
"""Minimum of ``Retry-After``: an earlier retry would meet the same queue."""

UNREADY_RETRY_AFTER_MS = 500.0
"""``Retry-After`` while no routes are known: reading them takes less than a second."""

OVERLOADED = "overloaded"
"""Reason, in logs and counters, for requests beyond the capacity of a service."""

NO_ROUTE_STATUS = 404
MISSING_ID_STATUS = 400
MISSING_ID_BODY = b"The request has no id.\n"
UNKNOWN_KEY_STATUS = 401
NOT_RUN_STATUS = 503
"""Guarantees that the request has not run and never will."""

OVER_LIMIT = "over-limit"
"""Reason, in logs and counters, for requests over their organisation's rate limit."""

OVER_LIMIT_STATUS = 429
"""Gives the same guarantee for requests over their organisation's rate limit."""

MAY_HAVE_RUN_STATUS = 502
TIMEOUT_STATUS = 504


class CallerResponses:
    """Sends the final responses to callers."""

    def __init__(
        self,
        *,
        names: HeaderNames,
        counters: RelayCounters,
        log: RequestLog,
        rng: random.Random,
    ):
        self._request_id_name = names.request_id
        self._counters = counters
        self._log = log
        self._rng = rng
        self._loop = asyncio.get_running_loop()

    def deliver(self, relay: Relay, response: RelayResponse) -> None:
        """Forward the response of a backend server."""
        held_ms = self._held_ms(relay.http)
        self._counters.record_response(relay.route.name, held_ms, response.status)
        log = self._log.served if response.status < 400 else self._log.failed
        log(
            "answered",
            relay.request_id,
            status=response.status,
            route=relay.route.name,
            instance=relay.instance_id,
            offers=relay.offers,
            held_ms=held_ms,
        )
        relay.connection.respond(
            relay.http,
            status=response.status,
            header_lines=response.headers,
            body=response.body,
        )

    def spread_rate_wait_ms(self, rate_wait_ms: float) -> float:
        """Return a random ``Retry-After`` for a service bound by rate limits.

        Args:
            rate_wait_ms: how long the limits take for one second's demand.
        """
        spread = self._rng.uniform(*RATE_WAIT_SPREAD)
        return max(rate_wait_ms * spread, MIN_RETRY_AFTER_MS)

    def refuse_overloaded(self, relay: Relay, service: str, share: float) -> None:
        """Refuse a root request because a service lacks the capacity for it.

        Under overload most responses are of this kind, so each has only one log line.

        Args:
            relay: the request.
            service: the overloaded service.
            share: admitted share of the route's requests.
        """
        self._counters.record_unserved(OVERLOADED)
        self._log.failed(
            "refused_at_entry",
            relay.request_id,
            route=relay.route.name,
            status=NOT_RUN_STATUS,
            blocked_by=service,
            share=share,
            level_of_request=relay.level,
        )
        self._respond_with_error(relay, NOT_RUN_STATUS)

    def refuse_over_limit(self, relay: Relay, decision: RateDecision) -> None:
        """Refuse a request over its organisation's rate limit.

        Args:
            relay: the request, whose ``retry_after_ms`` is set.
            decision: decision of the rate limit.
        """
        self._counters.record_unserved(OVER_LIMIT)
        limit = relay.caller.limit
        self._log.failed(
            "refused_over_limit",
            relay.request_id,
            route=relay.route.name,
            status=OVER_LIMIT_STATUS,
            organisation=relay.organisation,
            rate_per_s=limit.rate_per_s,
            burst=limit.burst,
            part=decision.limit_share,
            asked_per_s=decision.asked_per_s,
            spent=decision.spent,
            share=decision.share,
            version=relay.table_version,
        )
        self._respond_with_error(relay, OVER_LIMIT_STATUS)

    def fail(self, relay: Relay, reason: str, status: int) -> None:
        """Send an error response for a request without a backend server's response.

        Args:
            relay: the request.
            reason: reason of the failure, for logs and counters.
            status: status code; ``NOT_RUN_STATUS`` only with a proof that the request
                has not run.
        """
        self._counters.record_unserved(reason)
        self._log.failed(
            "not_served",
            relay.request_id,
            route=relay.route.name,
            status=status,
            reason=reason,
            offers=relay.offers,
            places=relay.placements,
            instance=relay.instance_id,
            held_ms=self._held_ms(relay.http),
            inner=relay.parent is not None,
        )
        self._respond_with_error(relay, status)

    def _respond_with_error(self, relay: Relay, status: int) -> None:
        lines = b"%b: %b\r\n" % (
            self._request_id_name,
            relay.request_id.encode("latin-1"),
        )
        if status in (NOT_RUN_STATUS, OVER_LIMIT_STATUS):
            lines += _serialize_retry_after(self._retry_after_ms(relay))
        relay.connection.respond(relay.http, status=status, header_lines=lines)

    def refuse(
        self, http: HttpRequest, connection: CallerConnection, refusal: IntakeRefusal
    ) -> None:
        """Send an error response for a request that was refused at intake."""
        self._counters.record_unserved(refusal.reason)
        self._log.failed(
            "refused",
            refusal.request_id,
            reason=refusal.reason,
            host=refusal.host,
            version=refusal.version,
        )
        if refusal.reason == NO_ROUTE:
            connection.respond(http, status=NO_ROUTE_STATUS, header_lines=b"")
            return
        if refusal.reason == MISSING_ID:
            connection.respond(
                http, status=MISSING_ID_STATUS, header_lines=b"", body=MISSING_ID_BODY
            )
            return
        if refusal.reason == UNKNOWN_KEY:
            lines = b"WWW-Authenticate: Bearer\r\n"
            connection.respond(http, status=UNKNOWN_KEY_STATUS, header_lines=lines)
            return
        lines = _serialize_retry_after(UNREADY_RETRY_AFTER_MS)
        connection.respond(http, status=NOT_RUN_STATUS, header_lines=lines)

    def _retry_after_ms(self, relay: Relay) -> float:
        if relay.retry_after_ms is not None:
            return relay.retry_after_ms
        share = self._rng.uniform(*RETRY_AFTER_SHARES)
        return max(relay.route.target_latency_ms * share, MIN_RETRY_AFTER_MS)

    def _held_ms(self, http: HttpRequest) -> float:
        return self._loop.time() * 1000 - http.arrived_ms


def _serialize_retry_after(wait_ms: float) -> bytes:
    return b"Retry-After: %.3f\r\n" % (wait_ms / 1000)
