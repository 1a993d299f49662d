"""Final answers to callers, each with its count and its line in the log."""

import asyncio
import random

from sassafraswinch.organisation_rates import RateDecision
from sassafraswinch_sidecar.dialect import HeaderNames
from sassafraswinch_sidecar.http_server import CallerConnection, HttpRequest
from sassafraswinch_sidecar.relay_counts import RelayCounts
from sassafraswinch_sidecar.relay_intake import (
    NO_ROUTE,
    UNKNOWN_KEY,
    Relay,
    Unroutable,
)
from sassafraswinch_sidecar.relay_protocol.ttypes import RelayResponse
from sassafraswinch_sidecar.request_log import RequestLog

RETRY_AFTER_SHARES = (0.15, 0.5)
"""Parts of the target latency between which refused callers are told to come back:
soon enough for an answer of full worth, and spread so that they don't come at once."""

MIN_RETRY_AFTER_MS = 50.0
"""Shortest wait told: below it a caller meets the same queue."""

UNREADY_RETRY_MS = 500.0
"""Wait told while no routes are known: reading them takes less than a second."""

OVERLOADED = "overloaded"
"""Word of logs and counters for requests that the services below can't carry."""

NO_ROUTE_STATUS = 404
UNKNOWN_KEY_STATUS = 401
NOT_RUN_STATUS = 503
"""Promises that the request hasn't run and never will."""

OVER_LIMIT = "over-limit"
"""Word of logs and counters for requests beyond their organisation's rate."""

OVER_LIMIT_STATUS = 429
"""Promises the same, for requests beyond their organisation's rate."""

MAY_HAVE_RUN_STATUS = 502
TIMEOUT_STATUS = 504


class RelayAnswers:
    """Writes what callers get."""

    def __init__(
        self,
        *,
        names: HeaderNames,
        counts: RelayCounts,
        log: RequestLog,
        rng: random.Random,
    ):
        self._id_name = names.request_id
        self._counts = counts
        self._log = log
        self._rng = rng
        self._loop = asyncio.get_running_loop()

    def deliver(self, relay: Relay, response: RelayResponse) -> None:
        """Pass a backend server's answer on."""
        held_ms = self._held_ms(relay.http)
        self._counts.answered(relay.route.name, held_ms, response.status)
        told = self._log.served if response.status < 400 else self._log.failed
        told(
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

    def refuse_overloaded(self, relay: Relay, service: str, share: float) -> None:
        """Refuse a root request that the services below can't carry.

        Under overload these are most of the answers, so each has one line.

        Args:
            relay: the request.
            service: the service that is full.
            share: part of the route's requests that is admitted.
        """
        self._counts.ended(OVERLOADED)
        self._log.failed(
            "refused_at_entry",
            relay.request_id,
            route=relay.route.name,
            status=NOT_RUN_STATUS,
            blocked_by=service,
            share=share,
            level_of_request=relay.level,
        )
        self._respond_unserved(relay, NOT_RUN_STATUS)

    def refuse_over_limit(self, relay: Relay, decision: RateDecision) -> None:
        """Refuse a request beyond its organisation's rate.

        Args:
            relay: the request; it knows when its caller may come back.
            decision: what it was refused by.
        """
        self._counts.ended(OVER_LIMIT)
        limit = relay.caller.limit
        self._log.failed(
            "refused_over_limit",
            relay.request_id,
            route=relay.route.name,
            status=OVER_LIMIT_STATUS,
            organisation=relay.organisation,
            rate_per_s=limit.rate_per_s,
            burst=limit.burst,
            part=decision.part,
            asked_per_s=decision.asked_per_s,
            spent=decision.spent,
            share=decision.share,
            version=relay.table_version,
        )
        self._respond_unserved(relay, OVER_LIMIT_STATUS)

    def fail(self, relay: Relay, reason: str, status: int) -> None:
        """Answer a request that has no answer of a backend server.

        Args:
            relay: the request.
            reason: why, as a word for logs and counters.
            status: ``NOT_RUN_STATUS`` only with a proof.
        """
        self._counts.ended(reason)
        self._log.failed(
            "not_served",
            relay.request_id,
            route=relay.route.name,
            status=status,
            reason=reason,
            offers=relay.offers,
            places=relay.places,
            instance=relay.instance_id,
            held_ms=self._held_ms(relay.http),
            inner=relay.parent is not None,
        )
        self._respond_unserved(relay, status)

    def _respond_unserved(self, relay: Relay, status: int) -> None:
        lines = b"%b: %b\r\n" % (self._id_name, relay.request_id.encode("latin-1"))
        if status in (NOT_RUN_STATUS, OVER_LIMIT_STATUS):
            lines += _retry_after(self._wait_ms(relay))
        relay.connection.respond(relay.http, status=status, header_lines=lines)

    def refuse(
        self, http: HttpRequest, connection: CallerConnection, why: Unroutable
    ) -> None:
        """Answer a request that takes no route."""
        self._counts.ended(why.reason)
        self._log.failed(
            "refused",
            why.request_id,
            reason=why.reason,
            host=why.host,
            version=why.version,
        )
        if why.reason == NO_ROUTE:
            connection.respond(http, status=NO_ROUTE_STATUS, header_lines=b"")
            return
        if why.reason == UNKNOWN_KEY:
            lines = b"WWW-Authenticate: Bearer\r\n"
            connection.respond(http, status=UNKNOWN_KEY_STATUS, header_lines=lines)
            return
        lines = _retry_after(UNREADY_RETRY_MS)
        connection.respond(http, status=NOT_RUN_STATUS, header_lines=lines)

    def _wait_ms(self, relay: Relay) -> float:
        if relay.retry_after_ms is not None:
            return relay.retry_after_ms
        share = self._rng.uniform(*RETRY_AFTER_SHARES)
        return max(relay.route.target_latency_ms * share, MIN_RETRY_AFTER_MS)

    def _held_ms(self, http: HttpRequest) -> float:
        return self._loop.time() * 1000 - http.arrived_ms


def _retry_after(wait_ms: float) -> bytes:
    return b"Retry-After: %.3f\r\n" % (wait_ms / 1000)
